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

WAIT_STEP_S = 0.01
# A submission and the renewal that follows it may overtake each other.
SETTLE_S = 0.15
RETRY_AFTER_S = 1.0
# An instance that has reached no owner for so long, twice a takeover, lets no new job wait.
BLIND_S = 2.0
# The first number of a part is drawn from so many; an instance gives out 10,000 a second at most.
FIRST_NUMBERS = 1 << 48


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
        times: settings.RerunSettings,
        runtime: runtime_module.Runtime,
        peers: peer.Peers,
        known: fleet_view.Fleet,
        listed: pool_index.Pools,
        submit: Callable[[messages.Instance, messages.Submit], None],
    ):
        self.times = times
        self.runtime = runtime
        self.peers = peers
        self.fleet = known
        self.pools = listed
        self.submit = submit
        self.jobs: dict[str, pending_job.HeldJob] = {}
        # A cut can hold a message up until its job has ended here and was sent again.  Taken for
        # news of the new submission it would make tasks run twice, so no number is used again,
        # also not by the next process under this name.
        self.numbers = itertools.count(int(runtime.random() * FIRST_NUMBERS))
        self.withdrawal = withdrawal.Withdrawal(self)
        known.on_owner.append(self._on_owner)

    def run(self, work: job.Job, gone: runtime_module.Signal) -> job.Outcome:
        """Block until a job has ended, its caller is gone, or its time is over.

        Parameters
        ----------
        gone : Signal
            Set when the caller no longer waits.
        """
        held = self.jobs.get(work.id)
        if held is None:
            names = {name for name, _ in work.task_names()}
            held = pending_job.HeldJob(work, self.runtime.now(), self.runtime.signal(), set(names))
            self.jobs[work.id] = held
            self._seek(held, names)
        self.runtime.spawn(self._watch, held, gone)
        held.waiters += 1
        held.ended.wait(work.timeout_s)
        held.waiters -= 1
        if not held.ended.is_set():
            self.end(held, self._unfinished(held, "the caller's time is over"))
        return held.ended.value

    def _watch(self, held, gone):
        gone.wait(held.work.timeout_s)
        # The caller may have sent its job again on another connection, which waits beside.
        if gone.is_set() and held.waiters <= 1 and not held.ended.is_set():
            self.end(held, job.Outcome(job.End.CANCELLED, "the caller is gone"))

    def _unfinished(self, held, reason):
        if held.may_have_run():
            return job.Outcome(job.End.LOST, reason)
        return job.Outcome(job.End.REFUSED, reason, RETRY_AFTER_S)

    def end(self, held: pending_job.HeldJob, outcome: job.Outcome) -> None:
        """End a job here; its owner is told unless the outcome came from there."""
        if held.ended.is_set():
            return
        self.jobs.pop(held.work.id, None)
        metric.count(metrics.JOBS[outcome.end.value])
        after_ms = (self.runtime.now() - held.arrived_at) * 1000
        if outcome.end is job.End.SUCCEEDED:
            metric.timing(metrics.RESPONSE, after_ms)
        else:
            self._cancel(held)
            event.log(
                events.JOB_ENDED,
                job=held.work.id,
                end=outcome.end.value,
                reason=outcome.reason,
                after_ms=round(after_ms),
                objective_ms=round(held.work.objective_s * 1000),
                queue=held.work.queue,
                pools=sorted({part.pool for part in held.parts.values()}),
            )
        held.ended.set(outcome)

    def _cancel(self, held):
        """Stop what still runs of a job."""
        message = messages.Cancel(held.work.id, self.fleet.own)
        owners = {}
        for part in held.parts.values():
            claim = self.fleet.owner_of(part.pool)
            if claim is not None and not part.is_done:
                owners[claim.owner.name] = claim.owner
        for target in owners.values():
            self.send(target, message)

    def send(self, instance: messages.Instance, message: object) -> None:
        """Send a message that is repeated or made good by the next renewal if it is lost."""
        try:
            self.peers.send(peer.at_address(instance.address), message)
        except peer.PeerError as error:
            event.log(events.MESSAGE_NOT_SENT, to=instance.name, error=error)

    def ask(self, instance: messages.Instance, question: object, timeout_s: float) -> Any:
        """Return an instance's answer, None if none came."""
        try:
            return self.peers.request(peer.at_address(instance.address), question, timeout_s)
        except peer.PeerError as error:
            event.log(events.MESSAGE_NOT_SENT, to=instance.name, error=error)
            return None

    def cancel(self, job_id: str) -> bool:
        """End a job that its caller cancelled; return whether it is held here."""
        held = self.jobs.get(job_id)
        if held is None:
            return False
        self.end(held, job.Outcome(job.End.CANCELLED, "the caller cancelled it"))
        return True

    def waiting(self, queue: str) -> int:
        """Return the jobs of a queue that have not begun, as far as the pools report."""
        unsent = sum(held.work.queue == queue and not held.parts for held in self.jobs.values())
        reports = [known.report for known in self.fleet.pools.values() if known.report]
        return unsent + sum(report.waiting.get(queue, 0) for report in reports)

    # Pools.

    def choose_pools(self, work: job.Job, count: int) -> dict[str, int]:
        """Return how many tasks of a job go to each pool, empty if no owner is in reach."""
        views = [
            routing.View(
                pool,
                self.fleet.pools[pool].report,
                self.fleet.pools[pool].submitted_millicores,
                ports.data_centre_of(pool) == self.fleet.own.data_centre,
            )
            for pool in self.pools.of_service(work.service)
            if self.fleet.is_fresh(pool)
        ]
        return routing.split(work, count, views, self.runtime.random())

    def _reported_owner(self, pool):
        """Return the claim of a pool whose owner has reported itself, else None."""
        known = self.fleet.pools.get(pool)
        return known.claim if known is not None and known.report is not None else None

    def _seek(self, held, names, moves=0):
        """Hand tasks of a job to pools."""
        if not held.is_withdrawn:
            self.runtime.spawn(self._find_pool, held, names, moves, held.withdrawals)

    def hand_over_missing(self, held: pending_job.HeldJob) -> None:
        """Hand over the tasks of a job that are in no part, after parts were taken back."""
        parts = [part.tasks for part in held.parts.values() if not part.is_done]
        missing = held.undone.difference(*parts)
        if missing:
            self._seek(held, missing)

    def _find_pool(self, held, names, moves, withdrawals):
        """Hand tasks to pools; wait for a moment if none has an owner."""
        give_up = self.runtime.now() + self.times.wait_for_owner_s
        if self.fleet.blind_since is not None:
            # Cut off for longer than any takeover: the caller is better served elsewhere, at once.
            give_up = min(give_up, self.fleet.blind_since + BLIND_S)
        while not held.ended.is_set():
            if held.withdrawals != withdrawals:
                return  # these tasks are handed over together with those that were taken back
            shares = self.choose_pools(held.work, len(names))
            if shares:
                self._add_parts(held, shares, names, moves)
                return
            if self.runtime.now() >= give_up:
                self.end(held, self._unfinished(held, "no pool has an owner in reach"))
                return
            self.runtime.sleep(WAIT_STEP_S)

    def _add_parts(self, held, shares, names, moves):
        """Hand so many tasks to each pool."""
        left = sorted(names)
        for pool, count in shares.items():
            if held.ended.is_set():
                return  # by the part before: a part of an ended job would run unrenewed
            part, left = left[:count], left[count:]
            self._add_part(held, self._reported_owner(pool), set(part), moves)

    def _add_part(self, held, claim, names, moves, might_before=False):
        """Hand tasks to an owner as a new part of the job."""
        now = self.runtime.now()
        part = pending_job.Part(next(self.numbers), claim.pool, set(names), claim.token, now)
        part.might_before, part.moves = might_before, moves
        offset_s = self.fleet.pools[claim.pool].clock_offset_s
        message = messages.Submit(
            claim.pool,
            part.number,
            now + offset_s,
            held.work,
            self.fleet.own,
            now - held.arrived_at,
            tuple(sorted(part.tasks)),
            might_before,
            held.has_started,
            moves,
        )
        held.parts[part.number] = part
        self.fleet.note_submitted(claim.pool, held.work.millicores_of(part.tasks))
        self.submit(claim.owner, message)

    def _add_again(self, held, part, claim):
        """Hand a part over again, under a new number.

        What is still on its way about the old number, such as that its tasks were released,
        would otherwise be taken for news of the new one, and the tasks would run twice.
        """
        if held.is_withdrawn:
            return  # its owner says with the next renewal that it doesn't know the part
        del held.parts[part.number]
        self._add_part(held, claim, part.tasks, part.moves, might_before=True)

    def _on_owner(self, claim):
        """Hand the tasks of a pool to its new owner, which finds what still runs of them."""
        for held, part in list(self._open_parts()):
            if part.pool == claim.pool and part.token < claim.token:
                self._add_again(held, part, claim)

    def _open_parts(self):
        """Yield each part that isn't done, with its job."""
        for held in self.jobs.values():
            for part in held.parts.values():
                if not part.is_done:
                    yield held, part

    # What owners say.

    def renewed(self, owner: str) -> tuple[messages.PartKey, ...]:
        """Return the parts of jobs that an owner has."""
        return tuple(
            (held.work.id, part.number)
            for held, part in self._open_parts()
            if self._owner_name(part.pool) == owner
        )

    def owners(self) -> set[str]:
        """Return the names of the owners that have jobs of this instance."""
        return {self._owner_name(part.pool) for _, part in self._open_parts()}

    def _owner_name(self, pool):
        claim = self.fleet.owner_of(pool)
        return claim.owner.name if claim else ""

    def on_unknown(self, keys: tuple[messages.PartKey, ...], asked_at: float) -> None:
        """Hand over again what an owner doesn't know although it was sent before the renewal."""
        for job_id, number in keys:
            held, part = self._part(job_id, number)
            if held is None or part.sent_at > asked_at - SETTLE_S:
                continue
            claim = self._reported_owner(part.pool)
            if claim is not None:
                self._add_again(held, part, claim)

    def _part(self, job_id, number):
        """Return a job and its part as long as it isn't done, else None for both."""
        held = self.jobs.get(job_id)
        part = held.parts.get(number) if held else None
        return (held, part) if part is not None and not part.is_done else (None, None)

    def on_ended(self, message: messages.JobEnded) -> None:
        """Take the end of a part of a job from its owner."""
        if message.report is not None:
            self.fleet.take_room(message.report)
        held, part = self._part(message.job_id, message.part)
        if held is None:
            return
        # A success is true whoever says it.  A former owner's other news is not: its successor
        # may be running the tasks.
        if message.outcome.end is not job.End.SUCCEEDED:
            if message.token >= part.token:
                self._on_part_failed(held, part, message.outcome)
            return
        held.has_started = True
        missing = part.tasks - set(message.tasks)
        if missing:
            # The owner has released these, and its message was lost.
            part.tasks = set(message.tasks) & part.tasks
            self._seek(held, missing, part.moves + 1)
        part.is_done = True
        held.undone -= part.tasks
        if not held.undone:
            self.end(held, message.outcome)

    def _on_part_failed(self, held, part, outcome):
        if outcome.end is job.End.REFUSED:
            self.withdrawal.on_refused(held, part, outcome)
        else:
            self.end(held, outcome)

    def on_released(self, message: messages.Released) -> None:
        """Hand tasks that a full pool gives back to the one that has room."""
        held, part = self._part(message.job_id, message.part)
        if held is None or message.token < part.token:
            return
        held.has_started |= message.has_started
        names = part.tasks & set(message.tasks)
        part.tasks -= names
        if not part.tasks:
            del held.parts[part.number]
        claim = self._reported_owner(message.toward)
        if claim is None or held.is_withdrawn:
            self._seek(held, names, message.moves)
        else:
            self._add_part(held, claim, names, message.moves)

    def on_not_owner(self, message: messages.NotOwner) -> None:
        """Look for another pool: the one asked has done nothing with the tasks."""
        held, part = self._part(message.job_id, message.part)
        if held is None or held.is_withdrawn:
            return
        claim = self._reported_owner(message.pool)
        if claim is not None and claim.token > part.token:
            del held.parts[part.number]
            self._add_part(held, claim, part.tasks, part.moves, part.might_before)
        elif not part.might_before:
            del held.parts[part.number]
            self._seek(held, part.tasks, part.moves)

    def check_owners(self) -> None:
        """Give up the jobs of owners that have been silent for too long.

        Their runs end by the owner's own bound on silent holders or by their leases, before a
        caller may send its job again.
        """
        lost = job.Outcome(job.End.LOST, "a pool's owner does not answer")
        for held, part in list(self._open_parts()):
            if self._is_owner_lost(part):
                self.end(held, lost)

    def _is_owner_lost(self, part):
        since = self.runtime.now() - part.sent_at
        is_known = part.pool in self.fleet.pools
        silence_s = self.fleet.silence_s(part.pool) if is_known else since
        return min(silence_s, since) > self.times.owner_lost_s
