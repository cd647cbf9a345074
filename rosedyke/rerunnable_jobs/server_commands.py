"""Sends a pool owner's commands to its servers: starts, stops, and lease renewals.

Each command runs in its own green thread, and one more for each server renews the lease and reads
the listing.  They change the owner's state only between blocking calls.
"""

from rosedyke.observe import event, metric
from rosedyke.rerunnable_jobs import events, fencing_token, job, metrics, ports, server_state

# How long a server gets no tasks after a failed command.
SERVER_BACKOFF_S = 0.2
# After this many raises another owner is assumed to hold the higher token.
MAX_TOKEN_RAISES = 6
REFUSED_RETRY_DELAY_S = 0.03
# After this many failed polls in a row, the delay before the next one doubles, up to a maximum.
# An entry without a server, or whose address another server has, must not keep the owner busy.
PATIENT_POLLS = 4
MAX_POLL_DELAY_S, MAX_DOUBLINGS = 0.5, 5
# A run is overdue this long after its expected end; the reply to a long poll takes 1 to 5 ms.
OVERDUE_MARGIN_S = 0.03
# Minimum interval between reads of a server with an overdue run.  Estimates are off by up to 40%,
# so overdue runs are common.
OVERDUE_READ_INTERVAL_S = 0.1
# Refusals of a start that do not prove that no run of the task has started: the server has seen a
# run of it, or gave no known reason.
UNCERTAIN_REFUSALS = (ports.RefusalReason.OLD_RUN, ports.RefusalReason.INVALID)
# Size of a start command without the payload.
START_HEADER_BYTES = 250


def start_bytes(work: job.Job) -> int:
    """Return the approximate size of the start command of a job's task."""
    return START_HEADER_BYTES + len(work.payload)


class ServerCommands:
    """Sends commands for one owner and processes their results.

    Attributes
    ----------
    token_raises : int
        How often the fencing token was raised since this owner took the pool.
    """

    def __init__(self, owner):
        self.owner = owner
        self.token_raises = 0

    def start(self, owned, state, run):
        """Start a run on a server and process the result."""
        self.owner.delay.outgoing.release(start_bytes(owned.work))
        if not self.owner.can_send():
            return
        if not state.expects_start(run):
            event.log(events.START_DISCARDED, task=run.task, run=run.number, server=state.server.id)
            self.owner.discard_run(state, run)
            return
        command = ports.StartCommand(
            run.task, run.number, owned.work.payload, run.lease_end_ms, self.owner.token
        )
        try:
            self.owner.gateway.start(state.server, command, self._timeout_s())
        except ports.ConnectionFailed:
            self._suspend(state)
            self.owner.discard_run(state, run)
        except ports.CommandRefused as error:
            self._on_refused_start(state, run, command, error)
        except ports.NoReply:
            self._on_no_reply(state, run)
        else:
            self._on_started(state, run)

    def _on_started(self, state, run):
        now = self.owner.runtime.now()
        state.last_contact_at = now
        if run.confirmed_at is None:
            run.confirmed_at = run.progress_at = now
        if run.state is server_state.RunState.STARTING:
            run.state = server_state.RunState.STARTED

    def _on_refused_start(self, state, run, command, error):
        metric.count(metrics.STARTS_REFUSED)
        if error.reason is ports.RefusalReason.FENCED and command.token == self.owner.token:
            self._on_fenced(state)
        elif error.reason in (ports.RefusalReason.UNHEALTHY, ports.RefusalReason.INVALID):
            self._suspend(state)
        elif error.reason is ports.RefusalReason.OTHER_INCARNATION:
            state.is_synced = False
        self.owner.discard_run(state, run, error.reason not in UNCERTAIN_REFUSALS)
        task = self.owner.task_of(run)
        if error.reason is ports.RefusalReason.OLD_RUN and task is not None:
            # An unknown earlier owner started a run of this task there.  Doubling the number
            # exceeds that run's number after a few attempts.
            task.run_number = max(task.run_number, 2 * run.number)

    def _on_no_reply(self, state, run):
        if run.key not in state.runs or run.state is server_state.RunState.STOPPING:
            return
        metric.count(metrics.STARTS_UNANSWERED)
        event.log(events.COMMAND_UNANSWERED, task=run.task, run=run.number, server=state.server.id)
        if self.owner.delay.is_limited:
            self._read_after_own_delay(state, run)
        else:
            self._refresh(state)
        if self._is_unresolved(state, run):
            self.stop(state, run)

    @staticmethod
    def _is_unresolved(state, run):
        return state.runs.get(run.key) is run and run.confirmed_at is None

    def _read_after_own_delay(self, state, run):
        """Read a listing that shows whether a run has started, unless its lease ends before.

        The start or its reply may only wait for this instance, and a stop would end the run.
        """
        self.owner.runtime.sleep(self.owner.delay.allowance_s(self.owner.runtime.now()))
        while (
            self._is_unresolved(state, run)
            and run.state is server_state.RunState.STARTING
            and not run.is_over
            and self.owner.can_send()
            and not self._refresh(state)
        ):
            self.owner.runtime.sleep(self.owner.timing.stop_retry_s)

    def stop(self, state, run):
        """Stop a run; until that is confirmed, it keeps its capacity and its task waits."""
        if run.state is server_state.RunState.STOPPING:
            return
        run.state = server_state.RunState.STOPPING
        self.owner.runtime.spawn(self._stop_until_answered, state, run)

    def resume_stops(self, state):
        """Stop the unresolved runs of a server that is listed again."""
        for run in state.runs.values():
            run.state = server_state.RunState.STOPPING
            self.owner.runtime.spawn(self._stop_until_answered, state, run)

    def _stop_until_answered(self, state, run):
        """Repeat a stop command until the server answers it."""
        while self.owner.can_send() and state.runs.get(run.key) is run:
            try:
                self.owner.gateway.stop(
                    state.server,
                    run.task,
                    run.number,
                    self.owner.token,
                    self._timeout_s(),
                )
            except ports.CommandRefused as error:
                if error.reason is ports.RefusalReason.FENCED:
                    self._on_fenced(state)
                elif error.reason is ports.RefusalReason.OTHER_INCARNATION:
                    state.is_synced = False
                self.owner.runtime.sleep(self.owner.timing.stop_retry_s)
            except ports.ServerError:
                self.owner.runtime.sleep(self.owner.timing.stop_retry_s)
            else:
                run.confirmed_at = self.owner.runtime.now()
                self._refresh(state)
                return

    def renew_lease(self, state):
        """Renew a server's lease at once, after the last of its orphans was claimed."""
        now = self.owner.runtime.now()
        self.check_lease(state, now)
        if state.is_synced and not state.has_lease_lapsed:
            self._refresh(state, state.lease_end_ms(now, self.owner.timing))

    def _refresh(self, state, lease_end=None):
        """Read a server's listing instead of waiting for the long poll; return whether it came."""
        if not self.owner.can_send():
            return False
        requested_at = self.owner.runtime.now()
        try:
            listing = self.owner.gateway.renew_lease(
                state.server,
                self.owner.token,
                state.acknowledged,
                lease_end,
                0.0,
                self._timeout_s(),
            )
        except ports.ServerError:
            return False  # the next poll logs the server's error
        self.owner.apply_listing(state, listing, requested_at)
        return True

    def read_overdue(self, now):
        """Read the listings of servers with overdue runs.

        The long poll that would report the end may be lost.  Its timeout of half a second is too
        long for jobs of 60 ms.
        """
        for state in self.owner.server_states.values():
            if (
                not state.is_synced
                or now - max(state.clock_at, state.last_read_at) < OVERDUE_READ_INTERVAL_S
            ):
                continue
            if any(self._is_overdue(state, run, now) for run in state.runs.values()):
                state.last_read_at = now
                self.owner.runtime.spawn(self._refresh, state)

    def _is_overdue(self, state, run, now):
        is_started = run.state is server_state.RunState.STARTED and run.estimate_s
        return (
            is_started and now > self.owner.releaser.expected_run_end(state, run) + OVERDUE_MARGIN_S
        )

    def poll_server(self, state):
        """Renew a server's lease and read its listing until the owner steps down."""
        while self.owner.can_send() and self.owner.server_states.get(state.server.id) is state:
            now = self.owner.runtime.now()
            self.check_lease(state, now)
            needs_sync = not state.is_synced or state.has_lease_lapsed
            wait_s = 0.0 if needs_sync else self.owner.timing.look_s
            lease_end = None if needs_sync else state.lease_end_ms(now, self.owner.timing)
            token_used = self.owner.token
            try:
                listing = self.owner.gateway.renew_lease(
                    state.server,
                    token_used,
                    state.acknowledged,
                    lease_end,
                    wait_s,
                    wait_s + self.owner.timing.order_s + self._timeout_s(),
                )
            except ports.CommandRefused as error:
                self._on_refused_poll(state, token_used, error)
            except ports.ServerError as error:
                self._on_no_response(state, error)
            else:
                state.failed_polls = 0
                self.owner.apply_listing(state, listing, now)

    def _on_refused_poll(self, state, token_used, error):
        if error.reason is ports.RefusalReason.FENCED and token_used == self.owner.token:
            self._on_fenced(state)
        else:
            if not state.failed_polls:
                event.log(events.POLL_REFUSED, server=state.server.id, error=error)
            state.is_synced = False
        self._delay_poll(state, REFUSED_RETRY_DELAY_S)

    def _delay_poll(self, state, delay_s):
        if state.runs:
            # The lapse of their lease is noticed between polls.
            self.owner.runtime.sleep(delay_s)
            return
        state.failed_polls += 1
        doublings = min(max(0, state.failed_polls - PATIENT_POLLS), MAX_DOUBLINGS)
        self.owner.runtime.sleep(min(delay_s * 2**doublings, MAX_POLL_DELAY_S))

    def _on_no_response(self, state, error):
        now = self.owner.runtime.now()
        if state.is_synced and now - state.last_contact_at > self.owner.contact_s(now):
            event.log(events.SERVER_UNRESPONSIVE, server=state.server.id, error=error)
            state.is_synced = False
        self.check_lease(state, now)
        self._delay_poll(state, self.owner.timing.order_s / 2)

    def check_lease(self, state, now):
        """Requeue the tasks of a server whose lease is over, since no run can be left there.

        Called before each renewal and after a failed poll.  If a start sent before the lapse is
        unresolved, the lease is not renewed, because the server would execute that start under the
        renewed lease.
        """
        if not state.is_lease_over(now, self.owner.timing):
            return
        if any(run.confirmed_at is None for run in state.runs.values()):
            state.is_synced = False
            state.has_lease_lapsed = True
        requeued = [run for run in state.runs.values() if not run.is_over]
        if not requeued:
            return
        event.log(
            events.LEASE_LAPSED,
            server=state.server.id,
            tasks=[run.task for run in requeued],
            unconfirmed=sum(run.confirmed_at is None for run in requeued),
        )
        for run in requeued:
            self.owner.requeue_task(run)
        self.owner.wake_scheduler()

    def _timeout_s(self):
        """Return the timeout of a command that is sent now."""
        now = self.owner.runtime.now()
        return self.owner.timing.order_s + self.owner.delay.added_command_s(now)

    def _suspend(self, state):
        until = self.owner.runtime.now() + SERVER_BACKOFF_S
        state.suspended_until = max(state.suspended_until, until)

    def _on_fenced(self, state):
        """Step down because of a higher token, or raise the token at the first contact."""
        if not self.owner.is_active:
            return
        if state.is_fenced or self.token_raises >= MAX_TOKEN_RAISES:
            self.owner.step_down(f"server {state.server.id} has seen a higher fencing token")
            return
        self.token_raises += 1
        self.owner.predecessors.on_token_raised(self.owner.token)
        self.owner.token = fencing_token.skip_ahead(self.owner.token)
        event.log(
            events.TOKEN_RAISED,
            pool=self.owner.name,
            server=state.server.id,
            raises=self.token_raises,
        )
        self.owner.listener.on_token_raised(self.owner)
