"""Holds the jobs of an instance's callers: submits them to pools and returns their outcomes."""

import bisect
import collections
import itertools
from collections.abc import Callable
from typing import Any

import attrs
import msgspec

from rosedyke import runtime as runtime_module
from rosedyke.observe import event, metric
from rosedyke.overload import metrics as overload_metrics
from rosedyke.overload import own_delay
from rosedyke.rerunnable_jobs import (
    events,
    fleet_view,
    job,
    job_claims,
    job_registrar,
    last_answers,
    messages,
    metrics,
    pending_job,
    pool_index,
    ports,
    predecessors,
    resubmissions,
    routing,
    settings,
    single_holder,
    spill_log,
    withdrawal,
)
from rosedyke.scheduling import admission, retry_after
from rosedyke.wire import peer

OWNER_POLL_INTERVAL_S = 0.01
# A renewal may overtake a submission that was sent less than this before it.
REORDER_WINDOW_S = 0.15
RETRY_AFTER_S = 1.0
# A job that no owner reported as started is withdrawn this long before its caller's timeout, so
# that the caller is told whether it ran.  Several times a round trip within a region.
FINAL_WITHDRAWAL_S = 0.05
# An instance that has reached no owner for this long, twice a takeover, refuses new jobs at once.
ISOLATED_WAIT_S = 2.0
TIME_IS_OVER = "the caller's time is over"
# Interval at which a job without a caller here is ended unless another holder waits for it.
JOINED_CHECK_INTERVAL_S = 0.1


class Holder:
    """Holds the jobs of this instance's callers.

    Parameters
    ----------
    view : FleetView
        The known pool owners.
    indexed_pools : PoolIndex
        The backend servers by pool.
    submit : callable
        Sends a submission to an owner; returns false if it was certainly not sent.
    retry_budget : Resubmissions
        The budget of this instance.
    delay : OwnDelay
        The instance's own delay.
    registrar : JobRegistrar
        The registrar of this instance.
    """

    def __init__(
        self,
        timing: settings.RerunSettings,
        runtime: runtime_module.Runtime,
        peers: peer.Peers,
        view: fleet_view.FleetView,
        indexed_pools: pool_index.PoolIndex,
        submit: Callable[[messages.Instance, messages.Submit], bool],
        retry_budget: resubmissions.Resubmissions,
        delay: own_delay.OwnDelay,
        registrar: job_registrar.JobRegistrar,
    ):
        self.delay = delay
        # Submissions that wait for capacity on the link, and since when, in the order of arrival.
        self.awaiting_link: collections.deque = collections.deque()
        self.timing = timing
        self.runtime = runtime
        self.peers = peers
        self.fleet = view
        self.pools = indexed_pools
        self.submit = submit
        self.resubmissions = retry_budget
        self.registrar = registrar
        self.jobs: dict[str, pending_job.PendingJob] = {}
        # A network partition can delay a message until its job has ended and was resubmitted.  If
        # it then matched the new part, tasks could run twice, so part numbers are never reused, not
        # even by the instance's next incarnation.
        self.part_numbers = itertools.count(view.first_number)
        self.caller_numbers = itertools.count()
        self.withdrawal = withdrawal.Withdrawal(self)
        self.spilling = spill_log.SpillLog(view.this_instance, runtime)
        self.last_answers = last_answers.LastAnswers(self)
        claims = job_claims.JobClaims(timing, runtime, peers, view, registrar, delay)
        self.single_holder = single_holder.SingleHolder(self, claims, runtime.now())
        view.owner_callbacks.append(self._on_owner)

    def run(
        self,
        work: job.Job,
        disconnected: runtime_module.Signal,
        arrival: pending_job.Arrival = pending_job.UNKNOWN_ARRIVAL,
    ) -> job.Outcome:
        """Block until a job has ended, its caller has disconnected, or it has timed out.

        Parameters
        ----------
        disconnected : Signal
            Set when the caller disconnects.
        arrival : Arrival
            How the request arrived.
        """
        refusal = self.last_answers.refuse(work, arrival)
        if refusal is not None:
            return refusal
        deadline = self.last_answers.deadline(work.timeout_s)
        pending = self.jobs.get(work.id)
        if pending is None:
            limited = self.last_answers.limit(work)
            all_tasks = {name for name, _ in work.named_steps()}
            pending = pending_job.PendingJob(
                limited,
                self.runtime.now(),
                self.runtime.signal(),
                set(all_tasks),
                arrival=arrival,
                is_limited=limited is not work,
                stall_s=self.delay.loop.maximum_s(self.runtime.now()),
            )
            self.jobs[work.id] = pending
            self.resubmissions.record_accepted()
            self.runtime.spawn(self._begin, pending, all_tasks)
        caller = next(self.caller_numbers)
        pending.callers.add(caller)
        self.runtime.spawn(self._watch_caller, pending, caller, disconnected)
        self._wait(pending, caller, deadline)
        if not pending.ended.is_set():
            pending.callers.discard(caller)
            if self._has_callers(pending):
                self.runtime.spawn(self._end_without_callers, pending)
                return job.Outcome(job.EndState.LOST, TIME_IS_OVER)
            self.finish(pending, self.unfinished_outcome(pending, TIME_IS_OVER))
        return pending.ended.value

    def _begin(self, pending, task_names):
        """Submit a job once this instance is its only holder."""
        if self.single_holder.acquire(pending):
            self._assign_pools(pending, task_names, waits_since=pending.arrived_at)

    def _wait(self, pending, caller, deadline):
        """Wait for the end of a job, and withdraw it shortly before its last caller's deadline."""
        timeout_s = deadline - self.runtime.now()
        if self.timing.predicts_completion:
            final_s = min(FINAL_WITHDRAWAL_S, timeout_s / 10)
            pending.ended.wait(timeout_s - final_s)
            if pending.ended.is_set():
                return
            if self._is_last_caller(pending, caller) and not pending.is_withdrawn:
                pending.begin_withdrawal()
                self.withdrawal.withdraw_parts(pending, final_s)
                if pending.ended.is_set():
                    return
                if self._is_last_caller(pending, caller):
                    if not pending.may_have_run():
                        return
                elif pending.is_claimed and not pending.is_withdrawn:
                    self.resubmit_missing(pending)  # without a claim, once it has one
        pending.ended.wait(max(0.0, deadline - self.runtime.now()))

    def _is_last_caller(self, pending, caller):
        """Return whether no other caller than the given one waits for a job."""
        return pending.callers <= {caller} and not self.single_holder.has_joined(pending)

    def _has_callers(self, pending):
        """Return whether a caller waits for a job, here or at another holder."""
        return bool(pending.callers) or self.single_holder.has_joined(pending)

    def _watch_caller(self, pending, caller, disconnected):
        if disconnected.wait(pending.work.timeout_s):
            pending.callers.discard(caller)
            self._end_without_callers(pending)

    def _end_without_callers(self, pending):
        """End a job once its last caller has gone; callers of other holders go unannounced."""
        # The caller may have sent the job again on another connection, which still waits.
        while not pending.callers and not pending.ended.is_set():
            if not self.single_holder.has_joined(pending):
                self.finish(pending, job.Outcome(job.EndState.CANCELLED, "the caller is gone"))
                return
            pending.ended.wait(JOINED_CHECK_INTERVAL_S)

    def leave_to_other_holder(self, pending: pending_job.PendingJob) -> None:
        """Stop the runs of a job that another instance holds by now."""
        self._cancel(pending)
        pending.parts.clear()

    def unfinished_outcome(self, pending: pending_job.PendingJob, reason: str) -> job.Outcome:
        """Return the outcome of a job that ends before its tasks are done."""
        if pending.may_have_run():
            return job.Outcome(job.EndState.LOST, reason)
        retry_after_s = self.retry_after_s(pending.work.priority)
        return job.Outcome(job.EndState.REFUSED, reason, retry_after_s)

    def retry_after_s(self, priority: int) -> float:
        """Return when a caller should submit a job again that no pool's queue has refused."""
        # Other instances serve the callers of one that shuts down at once.
        if self.last_answers.has_begun() or not self.timing.predicts_completion:
            return RETRY_AFTER_S
        return retry_after.delay_s(RETRY_AFTER_S, priority, self.runtime.random())

    def finish(self, pending: pending_job.PendingJob, outcome: job.Outcome) -> None:
        """End a job, and cancel it at its owners unless it succeeded."""
        if pending.ended.is_set():
            return
        if pending.is_limited and outcome.end is job.EndState.REFUSED:
            # Other instances have the time that is missing here.
            outcome = attrs.evolve(outcome, retry_after_s=RETRY_AFTER_S)
        self.jobs.pop(pending.work.id, None)
        metric.count(metrics.JOBS[outcome.end.value])
        elapsed_ms = (self.runtime.now() - pending.arrived_at) * 1000
        if outcome.end is job.EndState.SUCCEEDED:
            metric.timing(metrics.RESPONSE, elapsed_ms)
        else:
            self._cancel(pending)
            event.log(
                events.JOB_ENDED,
                job=pending.work.id,
                end=outcome.end.value,
                reason=outcome.reason,
                after_ms=round(elapsed_ms),
                objective_ms=round(pending.work.objective_s * 1000),
                queue=pending.work.queue,
                pools=sorted({part.pool for part in pending.parts.values()}),
                stall_ms=round(pending.stall_s * 1000),
                **pending.arrival.fields(),
            )
        self.single_holder.on_finished(pending, outcome)
        pending.ended.set(outcome)

    def _cancel(self, pending):
        """Cancel the unfinished parts of a job at their owners."""
        message = messages.Cancel(pending.work.id, self.fleet.this_instance)
        owners = {}
        for part in pending.parts.values():
            claim = self.fleet.claim_of(part.pool)
            if claim is not None and not part.is_done:
                owners[claim.owner.name] = claim.owner
        for instance in owners.values():
            self.send(instance, message)

    def send(self, instance: messages.Instance, message: object) -> bool:
        """Send a message whose loss the next renewal repairs.

        Returns false if it was certainly not sent.
        """
        try:
            self.peers.send(peer.at_address(instance.address), message)
        except peer.PeerError as error:
            event.log(events.MESSAGE_NOT_SENT, to=instance.name, error=error)
            return not isinstance(error, peer.PeerNotSent)
        return True

    def request_reply(self, instance: messages.Instance, message: object, timeout_s: float) -> Any:
        """Return an instance's reply, None if the request failed."""
        try:
            return self.peers.request(peer.at_address(instance.address), message, timeout_s)
        except peer.PeerError as error:
            event.log(events.MESSAGE_NOT_SENT, to=instance.name, error=error)
            return None

    def cancel(self, job_id: str) -> bool:
        """Cancel a job for its caller; return whether it is held here."""
        pending = self.jobs.get(job_id)
        if pending is None:
            return False
        self.finish(pending, job.CANCELLED_BY_CALLER)
        return True

    def queued_jobs(self, queue: str) -> int:
        """Return the number of jobs of a queue that have not started, by the pools' reports."""
        unsent = sum(
            pending.work.queue == queue and not pending.parts and pending.joined_to is None
            for pending in self.jobs.values()
        )
        reports = [state.report for state in self.fleet.owners.values() if state.report]
        return unsent + sum(report.waiting.get(queue, 0) for report in reports)

    # Pools.

    def choose_pools(self, work: job.Job, count: int) -> dict[str, int]:
        """Return how many tasks of a job go to each pool, empty if no owner is reachable."""
        views, random_value = self.pool_views(work), self.runtime.random()
        if not self.timing.balances_data_centres:
            return routing.split(work, count, views, random_value)
        shares, is_spilled = routing.split_by_slack(work, count, views, random_value)
        if is_spilled:
            self.spilling.record_job()
        return shares

    def pool_views(self, work: job.Job) -> list[routing.PoolView]:
        """Return the pools of a job's service whose owners have reported lately."""
        return [
            routing.PoolView(
                pool,
                self.fleet.owners[pool].report,
                self.fleet.owners[pool].submitted_millicores,
                ports.data_centre_of(pool) == self.fleet.this_instance.data_centre,
            )
            for pool in self.pools.of_service(work.service)
            if self.fleet.has_recent_report(pool)
        ]

    def submit_elsewhere(self, pending: pending_job.PendingJob, part: pending_job.Part) -> bool:
        """Submit a refused part to another pool that can still serve it; return whether one can."""
        work, count = pending.work, len(part.tasks)
        views = [view for view in self.pool_views(work) if view.pool not in pending.refused_by]
        until = admission.useful_until(
            pending.arrived_at, work.objective_s, work.timeout_s, self.timing.late_factor, False
        )
        longest_s = max(step.estimate_s for step in work.steps)
        pool = admission.choose_other_pool(
            routing.after_refusal(work, count, views),
            count,
            longest_s / routing.fastest_speed(views),
            until - self.runtime.now(),
        )
        if not pool or not self.resubmissions.try_spend():
            return False
        metric.count(metrics.MOVED_AFTER_REFUSAL)
        self._submit_part(pending, self._reported_owner(pool), part.tasks, part.moves)
        return True

    def _reported_owner(self, pool):
        """Return the claim of a pool's owner, None before its first report."""
        state = self.fleet.owners.get(pool)
        return state.claim if state is not None and state.report is not None else None

    def _assign_pools(self, pending, task_names, moves=0, waits_since=None):
        """Start submitting tasks of a job to pools.

        Parameters
        ----------
        waits_since : float or None
            Decides the order of the submissions that wait for the link; None for now.
        """
        if pending.is_withdrawn:
            return
        submission = (pending, task_names, moves, pending.withdrawals)
        if not self.delay.is_limited:
            self.runtime.spawn(self._submit_when_owned, *submission)
            return
        since = self.runtime.now() if waits_since is None else waits_since
        index = bisect.bisect(self.awaiting_link, since, key=lambda entry: entry[0])
        # The first one may be about to be sent.
        self.awaiting_link.insert(max(index, 1), (since, submission))
        if len(self.awaiting_link) == 1:
            self.runtime.spawn(self._submit_waiting)

    def _submit_waiting(self):
        """Submit the waiting jobs one by one, as the link gets capacity for them."""
        was_held = False
        while self.awaiting_link:
            _, submission = self.awaiting_link[0]
            if submission[0].ended.is_set():
                self.awaiting_link.popleft()
                continue
            now = self.runtime.now()
            hold_s = self.delay.hold_s(now)
            if hold_s:
                was_held = True
                self.delay.record_hold(now)
                self.runtime.sleep(hold_s)
                continue
            if was_held:
                was_held = False
                metric.count(overload_metrics.SUBMISSIONS_HELD)
            self.runtime.spawn(self._submit_when_owned, *submission)
            self.runtime.sleep(0)  # until the submission is recorded in the link's account
            self.awaiting_link.popleft()

    def added_delay_s(self, now: float) -> float:
        """Return the delay that this instance adds to the jobs that it holds.

        The outgoing backlog counts by the submissions that wait for it: on an owner's link most of
        it is start commands, which wait for as long whoever holds their jobs.
        """
        waiting_s = now - self.awaiting_link[0][0] if self.awaiting_link else 0.0
        return max(waiting_s, self.delay.incoming.backlog_s(now), self.delay.loop.mean_s)

    def resubmit_missing(self, pending: pending_job.PendingJob) -> None:
        """Submit the tasks that are in no part after a withdrawal."""
        parts = [part.tasks for part in pending.parts.values() if not part.is_done]
        missing = pending.unfinished_tasks.difference(*parts)
        if missing:
            self._assign_pools_again(pending, missing)

    def _assign_pools_again(self, pending, task_names, moves=0):
        """Submit tasks again; without retry budget, a job that has not started is refused."""
        if self.resubmissions.try_spend():
            self._assign_pools(pending, task_names, moves)
        elif pending.may_have_run():
            self.runtime.spawn(self._assign_when_affordable, pending, task_names, moves)
        else:
            reason = "too many jobs are submitted again"
            self.finish(pending, self.unfinished_outcome(pending, reason))

    def _assign_when_affordable(self, pending, task_names, moves):
        """Submit tasks of a job that may have started once there is retry budget."""
        withdrawals = pending.withdrawals
        while True:
            self.runtime.sleep(resubmissions.RETRY_INTERVAL_S)
            if pending.ended.is_set() or pending.withdrawals != withdrawals:
                return  # after a withdrawal these tasks are submitted together with others
            if self.resubmissions.try_spend():
                self._assign_pools(pending, task_names, moves)
                return

    def _submit_when_owned(self, pending, task_names, moves, withdrawals):
        """Submit tasks to pools, waiting for an owner if there is none."""
        deadline = self.runtime.now() + self.timing.wait_for_owner_s
        if self.fleet.isolated_since is not None:
            # Isolated for longer than a takeover: refuse early, so that the caller goes elsewhere.
            deadline = min(deadline, self.fleet.isolated_since + ISOLATED_WAIT_S)
        while not pending.ended.is_set():
            if pending.withdrawals != withdrawals:
                return  # these tasks are submitted together with the withdrawn ones
            shares = self.choose_pools(pending.work, len(task_names))
            if shares:
                self._submit_parts(pending, shares, task_names, moves)
                return
            if self.pools.is_evacuated(pending.work.service):
                reason = "every data centre with servers of the service is being evacuated"
                self.withdrawal.end(pending, reason)
                return
            if self.runtime.now() >= deadline:
                self.withdrawal.end(pending, "no pool has an owner in reach")
                return
            self.runtime.sleep(OWNER_POLL_INTERVAL_S)

    def _submit_parts(self, pending, shares, task_names, moves):
        """Submit the given number of tasks to each pool."""
        remaining = sorted(task_names)
        for pool, count in shares.items():
            if pending.ended.is_set():
                return  # ended while the previous part was submitted
            part_tasks, remaining = remaining[:count], remaining[count:]
            self._submit_part(pending, self._reported_owner(pool), set(part_tasks), moves)

    def _submit_part(
        self, pending, claim, task_names, moves, had_earlier_owner=False, former_owners=()
    ):
        """Submit tasks to an owner as a new part of the job."""
        if not self.single_holder.may_submit(pending):
            return  # submitted once the claim is confirmed
        now = self.runtime.now()
        part = pending_job.Part(
            next(self.part_numbers), claim.pool, set(task_names), claim.token, now
        )
        part.had_earlier_owner, part.moves = had_earlier_owner, moves
        part.former_owners = former_owners
        offset_s = self.fleet.owners[claim.pool].clock_offset_s
        message = messages.Submit(
            claim.pool,
            part.number,
            now + offset_s,
            pending.work,
            self.fleet.this_instance,
            now - pending.arrived_at,
            tuple(sorted(part.tasks)),
            had_earlier_owner,
            pending.has_started,
            moves,
            tuple(
                messages.FormerOwner(former.token, former.servers_version, now - former.left_at)
                for former in former_owners
            )
            or msgspec.UNSET,
        )
        pending.parts[part.number] = part
        self.fleet.record_submission(claim.pool, pending.work.millicores_of(part.tasks))
        part.is_sent = self.submit(claim.owner, message) is not False

    def _resubmit_part(self, pending, part, claim):
        """Submit a part again under a new number.

        A delayed message about the old number, such as the release of its tasks, must not be
        applied to the new part, or tasks could run twice.
        """
        if not self.single_holder.may_submit(pending) or pending.is_withdrawn:
            return  # the next renewal reports the part as unknown
        del pending.parts[part.number]
        self._submit_part(
            pending,
            claim,
            part.tasks,
            part.moves,
            part.may_have_run(),
            self._former_owners(part),
        )

    def _former_owners(self, part):
        """Return the owners of a part whose runs may not be over if it gets another owner."""
        now = self.runtime.now()
        former_owners = tuple(
            former
            for former in part.former_owners
            if now - former.left_at <= self.timing.holder_lease_end_s
        )
        if not part.is_sent:
            return former_owners
        version = self.fleet.newest_servers_version(part.pool, part.token)
        if version is None:
            version = predecessors.EVERY_VERSION
        return (*former_owners, predecessors.FormerOwner(part.token, version, now))

    def _on_owner(self, claim):
        """Resubmit the parts of a pool to its new owner, which adopts their runs."""
        for pending, part in list(self._open_parts()):
            if part.pool == claim.pool and part.token < claim.token:
                self._resubmit_part(pending, part, claim)

    def _open_parts(self):
        """Yield each unfinished part with its job."""
        for pending in self.jobs.values():
            for part in pending.parts.values():
                if not part.is_done:
                    yield pending, part

    # Messages from owners.

    def parts_at(self, owner: str) -> tuple[messages.PartKey, ...]:
        """Return the keys of the unfinished parts at an owner."""
        return tuple(
            (pending.work.id, part.number)
            for pending, part in self._open_parts()
            if self._owner_name(part.pool) == owner
        )

    def owner_names(self) -> set[str]:
        """Return the names of the owners that run jobs of this instance."""
        return {self._owner_name(part.pool) for _, part in self._open_parts()}

    def _owner_name(self, pool):
        claim = self.fleet.claim_of(pool)
        return claim.owner.name if claim else ""

    def on_unknown_parts(self, keys: tuple[messages.PartKey, ...], renewed_at: float) -> None:
        """Resubmit parts that an owner does not know although they were sent before the renewal."""
        for job_id, number in keys:
            pending, part = self._open_part(job_id, number)
            if pending is None or part.sent_at > renewed_at - REORDER_WINDOW_S:
                continue
            claim = self._reported_owner(part.pool)
            if claim is not None:
                self._resubmit_part(pending, part, claim)

    def _open_part(self, job_id, number):
        """Return a job and its unfinished part, or None for both."""
        pending = self.jobs.get(job_id)
        part = pending.parts.get(number) if pending else None
        return (pending, part) if part is not None and not part.is_done else (None, None)

    def on_ended(self, message: messages.JobEnded) -> None:
        """Process the outcome of a part of a job."""
        if message.report is not None:
            self.fleet.refresh_report(message.report)
        pending, part = self._open_part(message.job_id, message.part)
        if pending is None:
            return
        # A success is final whichever owner reports it.  Other outcomes from a former owner are
        # ignored, because its successor may be running the tasks.
        if message.outcome.end is not job.EndState.SUCCEEDED:
            if message.token >= part.token:
                self._on_part_failed(pending, part, message.outcome)
            return
        pending.has_started = True
        missing = part.tasks - set(message.tasks)
        if missing:
            # The owner has released these tasks, but its message was lost.
            part.tasks = set(message.tasks) & part.tasks
            self._assign_pools(pending, missing, part.moves + 1)
        part.is_done = True
        pending.unfinished_tasks -= part.tasks
        if not pending.unfinished_tasks:
            self.finish(pending, message.outcome)

    def _on_part_failed(self, pending, part, outcome):
        if outcome.end is job.EndState.REFUSED:
            self.withdrawal.on_refused(pending, part, outcome)
        else:
            self.finish(pending, outcome)

    def on_released(self, message: messages.TasksReleased) -> None:
        """Move tasks that a pool has released to the pool with free capacity."""
        if message.report is not None:
            self.fleet.refresh_report(message.report)
        pending, part = self._open_part(message.job_id, message.part)
        if pending is None or message.token < part.token:
            return
        pending.has_started |= message.has_started
        task_names = part.tasks & set(message.tasks)
        part.tasks -= task_names
        if not part.tasks:
            del pending.parts[part.number]
        claim = self._reported_owner(message.toward)
        if claim is None or pending.is_withdrawn:
            self._assign_pools(pending, task_names, message.moves)
        else:
            self._submit_part(pending, claim, task_names, message.moves)

    def on_not_owner(self, message: messages.NotOwner) -> None:
        """Choose another pool, because the receiver of a submission did not accept it."""
        pending, part = self._open_part(message.job_id, message.part)
        if pending is None:
            return
        if not self.single_holder.may_submit(pending) or pending.is_withdrawn:
            if not part.had_earlier_owner:
                del pending.parts[part.number]  # its only receiver has not started it
            return
        claim = self._reported_owner(message.pool)
        if claim is not None and claim.token > part.token:
            del pending.parts[part.number]
            self._submit_part(
                pending,
                claim,
                part.tasks,
                part.moves,
                part.had_earlier_owner,
                part.former_owners,
            )
        elif not part.had_earlier_owner:
            del pending.parts[part.number]
            if message.is_late:
                self._assign_pools_again(pending, part.tasks, part.moves)
            else:
                self._assign_pools(pending, part.tasks, part.moves)

    def end_jobs_of_lost_owners(self) -> None:
        """End the jobs of owners that have been unresponsive for too long.

        Their runs end by the owner's timeout for lost holders or by their leases, before a caller
        may resubmit its job.
        """
        for pending, part in list(self._open_parts()):
            if self._is_owner_lost(part):
                reason = "a pool's owner does not answer"
                self.finish(pending, self.unfinished_outcome(pending, reason))

    def _is_owner_lost(self, part):
        since_submit_s = self.runtime.now() - part.sent_at
        contact_age_s = self.fleet.owner_contact_age_s(part.pool)
        return min(contact_age_s, since_submit_s) > self.timing.owner_lost_s
