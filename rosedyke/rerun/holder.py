"""A holder's side of a job: finds a pool for it, keeps it renewed, and gives its caller the end."""

import itertools
from collections.abc import Callable
from typing import Any

from rosedyke import runtime as runtime_module
from rosedyke.observe import event, metric
from rosedyke.rerun import (
    events,
    fleet_view,
    job,
    messages,
    metrics,
    pending_job,
    pool_index,
    ports,
    routing,
    settings,
    withdrawal,
)
from rosedyke.wire import peer

OWNER_POLL_INTERVAL_S = 0.01
# A submission and the renewal that follows it may overtake each other.
REORDER_WINDOW_S = 0.15
RETRY_AFTER_S = 1.0
# An instance that has reached no owner for so long, twice a takeover, lets no new job wait.
ISOLATED_WAIT_S = 2.0
# The first number of a part is drawn from so many; an instance gives out 10,000 a second at most.
PART_NUMBER_RANGE = 1 << 48


class Holder:
    """Holds the jobs of this instance's callers.

    Parameters
    ----------
    known : Fleet
        The owners.
    listed : Pools
        The backend servers by pool.
    """

    def __init__(
        self,
        rerun_settings: settings.RerunSettings,
        runtime: runtime_module.Runtime,
        peers: peer.Peers,
        view: fleet_view.FleetView,
        indexed_pools: pool_index.PoolIndex,
        submit: Callable[[messages.Instance, messages.Submit], None],
    ):
        self.settings = rerun_settings
        self.runtime = runtime
        self.peers = peers
        self.fleet = view
        self.pools = indexed_pools
        self.submit = submit
        self.jobs: dict[str, pending_job.PendingJob] = {}
        # A cut can hold a message up until its job has ended here and was sent again.  Taken for
        # news of the new submission it would make tasks run twice, so no number is used again,
        # also not by the next process under this name.
        self.part_numbers = itertools.count(int(runtime.random() * PART_NUMBER_RANGE))
        self.withdrawal = withdrawal.Withdrawal(self)
        view.owner_callbacks.append(self._on_owner)

    def run(self, work: job.Job, disconnected: runtime_module.Signal) -> job.Outcome:
        """Block until a job has ended, its caller is gone, or its time is over.

        Parameters
        ----------
        disconnected : Signal
            Set when the caller no longer waits.
        """
        pending = self.jobs.get(work.id)
        if pending is None:
            all_tasks = {name for name, _ in work.task_names()}
            pending = pending_job.PendingJob(
                work, self.runtime.now(), self.runtime.signal(), set(all_tasks)
            )
            self.jobs[work.id] = pending
            self._assign_pools(pending, all_tasks)
        self.runtime.spawn(self._watch_caller, pending, disconnected)
        pending.waiters += 1
        pending.ended.wait(work.timeout_s)
        pending.waiters -= 1
        if not pending.ended.is_set():
            self.end(pending, self._unfinished_outcome(pending, "the caller's time is over"))
        return pending.ended.value

    def _watch_caller(self, pending, disconnected):
        disconnected.wait(pending.work.timeout_s)
        # The caller may have sent its job again on another connection, which waits beside.
        if disconnected.is_set() and pending.waiters <= 1 and not pending.ended.is_set():
            self.end(pending, job.Outcome(job.End.CANCELLED, "the caller is gone"))

    def _unfinished_outcome(self, pending, reason):
        if pending.may_have_run():
            return job.Outcome(job.End.LOST, reason)
        return job.Outcome(job.End.REFUSED, reason, RETRY_AFTER_S)

    def end(self, pending: pending_job.PendingJob, outcome: job.Outcome) -> None:
        """End a job here; its owner is told unless the outcome came from there."""
        if pending.ended.is_set():
            return
        self.jobs.pop(pending.work.id, None)
        metric.count(metrics.JOBS[outcome.end.value])
        elapsed_ms = (self.runtime.now() - pending.arrived_at) * 1000
        if outcome.end is job.End.SUCCEEDED:
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
            )
        pending.ended.set(outcome)

    def _cancel(self, pending):
        """Stop what still runs of a job."""
        message = messages.Cancel(pending.work.id, self.fleet.own)
        owners = {}
        for part in pending.parts.values():
            claim = self.fleet.claim_of(part.pool)
            if claim is not None and not part.is_done:
                owners[claim.owner.name] = claim.owner
        for instance in owners.values():
            self.send(instance, message)

    def send(self, instance: messages.Instance, message: object) -> None:
        """Send a message that is repeated or made good by the next renewal if it is lost."""
        try:
            self.peers.send(peer.at_address(instance.address), message)
        except peer.PeerError as error:
            event.log(events.MESSAGE_NOT_SENT, to=instance.name, error=error)

    def request_reply(self, instance: messages.Instance, message: object, timeout_s: float) -> Any:
        """Return an instance's answer, None if none came."""
        try:
            return self.peers.request(peer.at_address(instance.address), message, timeout_s)
        except peer.PeerError as error:
            event.log(events.MESSAGE_NOT_SENT, to=instance.name, error=error)
            return None

    def cancel(self, job_id: str) -> bool:
        """End a job that its caller cancelled; return whether it is held here."""
        pending = self.jobs.get(job_id)
        if pending is None:
            return False
        self.end(pending, job.Outcome(job.End.CANCELLED, "the caller cancelled it"))
        return True

    def waiting(self, queue: str) -> int:
        """Return the jobs of a queue that have not begun, as far as the pools report."""
        unsent = sum(
            pending.work.queue == queue and not pending.parts for pending in self.jobs.values()
        )
        reports = [known.report for known in self.fleet.owners.values() if known.report]
        return unsent + sum(report.waiting.get(queue, 0) for report in reports)

    # Pools.

    def choose_pools(self, work: job.Job, count: int) -> dict[str, int]:
        """Return how many tasks of a job go to each pool, empty if no owner is in reach."""
        pool_views = [
            routing.PoolView(
                pool,
                self.fleet.owners[pool].report,
                self.fleet.owners[pool].submitted_millicores,
                ports.data_centre_of(pool) == self.fleet.own.data_centre,
            )
            for pool in self.pools.of_service(work.service)
            if self.fleet.has_recent_report(pool)
        ]
        return routing.split(work, count, pool_views, self.runtime.random())

    def _reported_owner(self, pool):
        """Return the claim of a pool whose owner has reported itself, else None."""
        owner = self.fleet.owners.get(pool)
        return owner.claim if owner is not None and owner.report is not None else None

    def _assign_pools(self, pending, task_names, moves=0):
        """Hand tasks of a job to pools."""
        if not pending.is_withdrawn:
            self.runtime.spawn(
                self._submit_when_owned, pending, task_names, moves, pending.withdrawals
            )

    def resubmit_missing(self, pending: pending_job.PendingJob) -> None:
        """Hand over the tasks of a job that are in no part, after parts were taken back."""
        parts = [part.tasks for part in pending.parts.values() if not part.is_done]
        missing = pending.unfinished_tasks.difference(*parts)
        if missing:
            self._assign_pools(pending, missing)

    def _submit_when_owned(self, pending, task_names, moves, withdrawals):
        """Hand tasks to pools; wait for a moment if none has an owner."""
        deadline = self.runtime.now() + self.settings.wait_for_owner_s
        if self.fleet.isolated_since is not None:
            # Cut off for longer than any takeover: the caller is better served elsewhere, at once.
            deadline = min(deadline, self.fleet.isolated_since + ISOLATED_WAIT_S)
        while not pending.ended.is_set():
            if pending.withdrawals != withdrawals:
                return  # these tasks are handed over together with those that were taken back
            shares = self.choose_pools(pending.work, len(task_names))
            if shares:
                self._submit_parts(pending, shares, task_names, moves)
                return
            if self.runtime.now() >= deadline:
                self.end(
                    pending, self._unfinished_outcome(pending, "no pool has an owner in reach")
                )
                return
            self.runtime.sleep(OWNER_POLL_INTERVAL_S)

    def _submit_parts(self, pending, shares, task_names, moves):
        """Hand so many tasks to each pool."""
        remaining = sorted(task_names)
        for pool, count in shares.items():
            if pending.ended.is_set():
                return  # by the part before: a part of an ended job would run unrenewed
            part_tasks, remaining = remaining[:count], remaining[count:]
            self._submit_part(pending, self._reported_owner(pool), set(part_tasks), moves)

    def _submit_part(self, pending, claim, task_names, moves, had_earlier_owner=False):
        """Hand tasks to an owner as a new part of the job."""
        now = self.runtime.now()
        part = pending_job.Part(
            next(self.part_numbers), claim.pool, set(task_names), claim.token, now
        )
        part.had_earlier_owner, part.moves = had_earlier_owner, moves
        offset_s = self.fleet.owners[claim.pool].clock_offset_s
        message = messages.Submit(
            claim.pool,
            part.number,
            now + offset_s,
            pending.work,
            self.fleet.own,
            now - pending.arrived_at,
            tuple(sorted(part.tasks)),
            had_earlier_owner,
            pending.has_started,
            moves,
        )
        pending.parts[part.number] = part
        self.fleet.record_submission(claim.pool, pending.work.millicores_of(part.tasks))
        self.submit(claim.owner, message)

    def _resubmit_part(self, pending, part, claim):
        """Hand a part over again, under a new number.

        What is still on its way about the old number, such as that its tasks were released,
        would otherwise be taken for news of the new one, and the tasks would run twice.
        """
        if pending.is_withdrawn:
            return  # its owner says with the next renewal that it doesn't know the part
        del pending.parts[part.number]
        self._submit_part(pending, claim, part.tasks, part.moves, had_earlier_owner=True)

    def _on_owner(self, claim):
        """Hand the tasks of a pool to its new owner, which finds what still runs of them."""
        for pending, part in list(self._open_parts()):
            if part.pool == claim.pool and part.token < claim.token:
                self._resubmit_part(pending, part, claim)

    def _open_parts(self):
        """Yield each part that isn't done, with its job."""
        for pending in self.jobs.values():
            for part in pending.parts.values():
                if not part.is_done:
                    yield pending, part

    # What owners say.

    def parts_at(self, owner: str) -> tuple[messages.PartKey, ...]:
        """Return the parts of jobs that an owner has."""
        return tuple(
            (pending.work.id, part.number)
            for pending, part in self._open_parts()
            if self._owner_name(part.pool) == owner
        )

    def owners(self) -> set[str]:
        """Return the names of the owners that have jobs of this instance."""
        return {self._owner_name(part.pool) for _, part in self._open_parts()}

    def _owner_name(self, pool):
        claim = self.fleet.claim_of(pool)
        return claim.owner.name if claim else ""

    def on_unknown_parts(self, keys: tuple[messages.PartKey, ...], asked_at: float) -> None:
        """Hand over again what an owner doesn't know although it was sent before the renewal."""
        for job_id, number in keys:
            pending, part = self._open_part(job_id, number)
            if pending is None or part.sent_at > asked_at - REORDER_WINDOW_S:
                continue
            claim = self._reported_owner(part.pool)
            if claim is not None:
                self._resubmit_part(pending, part, claim)

    def _open_part(self, job_id, number):
        """Return a job and its part as long as it isn't done, else None for both."""
        pending = self.jobs.get(job_id)
        part = pending.parts.get(number) if pending else None
        return (pending, part) if part is not None and not part.is_done else (None, None)

    def on_ended(self, message: messages.JobEnded) -> None:
        """Take the end of a part of a job from its owner."""
        if message.report is not None:
            self.fleet.refresh_report(message.report)
        pending, part = self._open_part(message.job_id, message.part)
        if pending is None:
            return
        # A success is true whoever says it.  A former owner's other news is not: its successor
        # may be running the tasks.
        if message.outcome.end is not job.End.SUCCEEDED:
            if message.token >= part.token:
                self._on_part_failed(pending, part, message.outcome)
            return
        pending.has_started = True
        missing = part.tasks - set(message.tasks)
        if missing:
            # The owner has released these, and its message was lost.
            part.tasks = set(message.tasks) & part.tasks
            self._assign_pools(pending, missing, part.moves + 1)
        part.is_done = True
        pending.unfinished_tasks -= part.tasks
        if not pending.unfinished_tasks:
            self.end(pending, message.outcome)

    def _on_part_failed(self, pending, part, outcome):
        if outcome.end is job.End.REFUSED:
            self.withdrawal.on_refused(pending, part, outcome)
        else:
            self.end(pending, outcome)

    def on_released(self, message: messages.TasksReleased) -> None:
        """Hand tasks that a full pool gives back to the one that has room."""
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
        """Look for another pool: the one asked has done nothing with the tasks."""
        pending, part = self._open_part(message.job_id, message.part)
        if pending is None or pending.is_withdrawn:
            return
        claim = self._reported_owner(message.pool)
        if claim is not None and claim.token > part.token:
            del pending.parts[part.number]
            self._submit_part(pending, claim, part.tasks, part.moves, part.had_earlier_owner)
        elif not part.had_earlier_owner:
            del pending.parts[part.number]
            self._assign_pools(pending, part.tasks, part.moves)

    def check_owners(self) -> None:
        """Give up the jobs of owners that have been silent for too long.

        Their runs end by the owner's own bound on silent holders or by their leases, before a
        caller may send its job again.
        """
        lost = job.Outcome(job.End.LOST, "a pool's owner does not answer")
        for pending, part in list(self._open_parts()):
            if self._is_owner_lost(part):
                self.end(pending, lost)

    def _is_owner_lost(self, part):
        since_submit_s = self.runtime.now() - part.sent_at
        has_owner = part.pool in self.fleet.owners
        contact_age_s = self.fleet.owner_contact_age_s(part.pool) if has_owner else since_submit_s
        return min(contact_age_s, since_submit_s) > self.settings.owner_lost_s
