"""The orders of a pool's owner to its servers: starts, stops, and the renewal of leases.

Each order is a task of its own, and one more for each server renews the lease and reads the
listing.  They change the owner's state only between blocking calls.
"""

from rosedyke.observe import event, metric
from rosedyke.rerun import events, fencing_token, metrics, ports, server_state

# A server that a start or look failed on is left alone for this long.
SERVER_BACKOFF_S = 0.2
# A token that this many raises don't bring above what a server has seen is not ours to raise.
MAX_TOKEN_RAISES = 6
REFUSED_RETRY_DELAY_S = 0.03
# A run is overdue so long after its expected end; the answer of a long poll takes 1 to 5 ms.
OVERDUE_MARGIN_S = 0.03
# A server with an overdue run is read again this long after its last listing.  Estimates are off by
# up to 40%, so a third of the servers have such a run, and each costs two readings in a long poll.
OVERDUE_READ_INTERVAL_S = 0.1


class ServerCommands:
    """Sends orders for one owner and takes in how they end.

    Attributes
    ----------
    token_raises : int
        How often the fencing token was raised since the pool was taken.
    """

    def __init__(self, owner):
        self.owner = owner
        self.token_raises = 0

    def start(self, owned, state, run):
        """Start a run on a server and take note of the answer."""
        if not self.owner.can_send():
            return
        now = self.owner.runtime.now()
        command = ports.Start(
            run.task,
            run.number,
            owned.work.payload,
            state.lease_end_ms(now, self.owner.settings),
            self.owner.token,
        )
        try:
            self.owner.gateway.start(state.server, command, self.owner.settings.order_s)
        except ports.NotReached:
            self._suspend(state)
            self.owner.discard_run(state, run)
        except ports.Refused as error:
            self._on_refused_start(state, run, command, error)
        except ports.NoAnswer:
            self._on_no_answer(state, run)
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
        if error.reason is ports.Refusal.FENCED and command.token == self.owner.token:
            self._on_fenced(state)
        elif error.reason in (ports.Refusal.UNHEALTHY, ports.Refusal.INVALID):
            self._suspend(state)
        elif error.reason is ports.Refusal.OTHER_INCARNATION:
            state.is_synced = False
        self.owner.discard_run(state, run)
        task = self.owner.task_of(run)
        if error.reason is ports.Refusal.OLD_RUN and task is not None:
            # An earlier run of the task ended there, started by an owner that we know nothing
            # of; doubling passes its number after a few tries.
            task.run = max(task.run, 2 * run.number)

    def _on_no_answer(self, state, run):
        if run.key not in state.runs or run.state is server_state.RunState.STOPPING:
            return
        metric.count(metrics.ORDERS_UNANSWERED)
        event.log(events.ORDER_UNANSWERED, task=run.task, run=run.number, server=state.server.id)
        self._refresh(state)
        if state.runs.get(run.key) is run and run.confirmed_at is None:
            self.stop(state, run)

    def stop(self, state, run):
        """End a run; until that is certain, it takes up room and its task waits."""
        if run.state is server_state.RunState.STOPPING:
            return
        run.state = server_state.RunState.STOPPING
        self.owner.runtime.spawn(self._stop_until_answered, state, run)

    def _stop_until_answered(self, state, run):
        """Send a stop until it is answered; only then, or with its lease, a run is over."""
        while self.owner.can_send() and state.runs.get(run.key) is run:
            try:
                self.owner.gateway.stop(
                    state.server,
                    run.task,
                    run.number,
                    self.owner.token,
                    self.owner.settings.order_s,
                )
            except ports.Refused as error:
                if error.reason is ports.Refusal.FENCED:
                    self._on_fenced(state)
                elif error.reason is ports.Refusal.OTHER_INCARNATION:
                    state.is_synced = False
                self.owner.runtime.sleep(self.owner.settings.stop_retry_s)
            except ports.ServerError:
                self.owner.runtime.sleep(self.owner.settings.stop_retry_s)
            else:
                run.confirmed_at = self.owner.runtime.now()
                self._refresh(state)
                return

    def _refresh(self, state):
        """Read a listing at once rather than with the next look."""
        if not self.owner.can_send():
            return
        asked_at = self.owner.runtime.now()
        try:
            listing = self.owner.gateway.hold(
                state.server,
                self.owner.token,
                state.acknowledged,
                None,
                0.0,
                self.owner.settings.order_s,
            )
        except ports.ServerError:
            return  # the next look logs what is wrong with the server
        self.owner.apply_listing(state, listing, asked_at)

    def read_overdue(self, now):
        """Read the listings of servers on which a run should have ended, if none came lately.

        The long poll that would tell of its end may be lost, which shows only when it is given up
        half a second later; jobs of 60 ms would miss their objective by then.
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
        return is_started and now > self.owner.task_release.end_of(state, run) + OVERDUE_MARGIN_S

    def poll_server(self, state):
        """Renew a server's lease and read its listing for as long as it is owned."""
        while self.owner.can_send() and self.owner.server_states.get(state.server.id) is state:
            now = self.owner.runtime.now()
            state.clear_lapse()
            needs_sync = not state.is_synced or state.has_lease_lapsed
            wait_s = 0.0 if needs_sync else self.owner.settings.look_s
            lease_end = None if needs_sync else state.lease_end_ms(now, self.owner.settings)
            token_used = self.owner.token
            try:
                listing = self.owner.gateway.hold(
                    state.server,
                    token_used,
                    state.acknowledged,
                    lease_end,
                    wait_s,
                    wait_s + self.owner.settings.order_s * 2,
                )
            except ports.Refused as error:
                self._on_refused_poll(state, token_used, error)
            except ports.ServerError as error:
                self._on_no_response(state, error)
            else:
                self.owner.apply_listing(state, listing, now)

    def _on_refused_poll(self, state, token_used, error):
        if error.reason is ports.Refusal.FENCED and token_used == self.owner.token:
            self._on_fenced(state)
        else:
            event.log(events.LOOK_REFUSED, server=state.server.id, error=error)
            state.is_synced = False
        self.owner.runtime.sleep(REFUSED_RETRY_DELAY_S)

    def _on_no_response(self, state, error):
        now = self.owner.runtime.now()
        if state.is_synced and now - state.last_contact_at > self.owner.settings.contact_s:
            event.log(events.SERVER_SILENT, server=state.server.id, error=error)
            state.is_synced = False
        if state.is_lease_over(now, self.owner.settings):
            # The next listing is read before the lease is renewed: an order that was carried out
            # late must not come alive with it.
            state.is_synced = False
            state.has_lease_lapsed = True
            for run in list(state.runs.values()):
                self.owner.requeue_task(run)
            self.owner.wake_scheduler()
        self.owner.runtime.sleep(self.owner.settings.order_s / 2)

    def _suspend(self, state):
        state.suspended_until = self.owner.runtime.now() + SERVER_BACKOFF_S

    def _on_fenced(self, state):
        """Stand down for a higher token, or, at the first contact, try a higher one."""
        if not self.owner.is_active:
            return
        if state.is_fenced or self.token_raises >= MAX_TOKEN_RAISES:
            self.owner.step_down(f"server {state.server.id} has seen a higher fencing token")
            return
        self.token_raises += 1
        self.owner.token = fencing_token.skip_ahead(self.owner.token)
        event.log(
            events.TOKEN_RAISED,
            pool=self.owner.name,
            server=state.server.id,
            raises=self.token_raises,
        )
        self.owner.listener.on_token_raised(self.owner)
