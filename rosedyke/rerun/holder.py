"""A holder's side of a job: finds a pool for it, keeps it renewed, and gives its caller the end."""

from collections.abc import Callable

import attrs

from rosedyke import runtime as runtime_module
from rosedyke.observe import event
from rosedyke.rerun import events, fleet, job, messages, ports, settings
from rosedyke.wire import peer

# A report that is older says nothing about the room in a pool; owners far away send one each 0.3 s.
FRESH_S = 0.5
# Another data centre's pool has to promise at least this much less waiting: the way there and
# back, and a cut between the data centres would cost the job.
FAR_S = 0.02
WAIT_STEP_S = 0.01
# A submission and the renewal that follows it may overtake each other.
SETTLE_S = 0.15
RETRY_AFTER_S = 1.0


@attrs.define(eq=False)
class HeldJob:
    """One job that a caller waits for.

    Attributes
    ----------
    pool, token
        Where it was sent; empty and 0 while it has no owner.
    sent_at : float
        When.
    may_have_run : bool
        It was sent to an owner, so something of it may have started.
    might_before : bool
        ``may_have_run`` before it was sent the last time.
    waiters : int
        Requests of callers that wait for it.
    """

    work: job.Job
    arrived_at: float
    ended: runtime_module.Signal
    pool: str = ""
    token: int = 0
    sent_at: float = 0.0
    may_have_run: bool = False
    might_before: bool = False
    waiters: int = 0


class Holder:
    """Holds the jobs of this instance's callers.

    Parameters
    ----------
    known : Fleet
        The owners.
    registry : Registry
        The backend servers, for the pools of a service.
    """

    def __init__(
        self,
        times: settings.RerunSettings,
        runtime: runtime_module.Runtime,
        peers: peer.Peers,
        known: fleet.Fleet,
        registry: ports.Registry,
        submit: Callable[[messages.Instance, messages.Submit], None],
    ):
        self.times = times
        self.runtime = runtime
        self.peers = peers
        self.fleet = known
        self.registry = registry
        self.submit = submit
        self.jobs: dict[str, HeldJob] = {}
        known.on_claim.append(self._on_claim)

    def run(self, work: job.Job, gone: runtime_module.Signal) -> job.Outcome:
        """Block until a job has ended, its caller is gone, or its time is over.

        Parameters
        ----------
        gone : Signal
            Set when the caller no longer waits.
        """
        held = self.jobs.get(work.id)
        if held is None:
            held = HeldJob(work, self.runtime.now(), self.runtime.signal())
            self.jobs[work.id] = held
            self.runtime.spawn(self._find_pool, held)
            self.runtime.spawn(self._watch, held, gone)
        else:
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
        if held.may_have_run:
            return job.Outcome(job.End.LOST, reason)
        return job.Outcome(job.End.REFUSED, reason, RETRY_AFTER_S)

    def end(self, held: HeldJob, outcome: job.Outcome) -> None:
        """End a job here; its owner is told unless the outcome came from there."""
        if held.ended.is_set():
            return
        self.jobs.pop(held.work.id, None)
        if held.pool and outcome.end in (job.End.CANCELLED, job.End.LOST):
            self._cancel(held)
        if outcome.end is not job.End.SUCCEEDED:
            event.log(
                events.JOB_ENDED,
                job=held.work.id,
                end=outcome.end.value,
                reason=outcome.reason,
                after_ms=round((self.runtime.now() - held.arrived_at) * 1000),
                objective_ms=round(held.work.objective_s * 1000),
                queue=held.work.queue,
                pool=held.pool,
            )
        held.ended.set(outcome)

    def _cancel(self, held):
        claim = self.fleet.owner_of(held.pool)
        if claim is not None:
            self.send(claim.owner, messages.Cancel(held.work.id, self.fleet.own))

    def send(self, instance: messages.Instance, message: object) -> None:
        """Send a message that is repeated or made good by the next renewal if it is lost."""
        try:
            self.peers.send(peer.at_address(instance.address), message)
        except peer.PeerError as error:
            event.log(events.MESSAGE_NOT_SENT, to=instance.name, error=error)

    def cancel(self, job_id: str) -> bool:
        """End a job that its caller cancelled; return whether it is held here."""
        held = self.jobs.get(job_id)
        if held is None:
            return False
        self.end(held, job.Outcome(job.End.CANCELLED, "the caller cancelled it"))
        return True

    def waiting(self, queue: str) -> int:
        """Return the jobs of a queue that have not begun, as far as the pools report."""
        unsent = sum(held.work.queue == queue and not held.pool for held in self.jobs.values())
        reports = [known.report for known in self.fleet.pools.values() if known.report]
        return unsent + sum(report.waiting.get(queue, 0) for report in reports)

    # Pools.

    def pools_of(self, service: str) -> set[str]:
        """Return the pools that have servers of a service."""
        return {
            ports.pool_of(server)
            for server in self.registry.servers()
            if server.service == service and not server.is_draining
        }

    def choose_pool(self, work: job.Job) -> str:
        """Return the pool that promises the earliest end, empty if none has an owner in reach."""
        best, best_s = "", 0.0
        for pool in self.pools_of(work.service):
            known = self.fleet.pools.get(pool)
            if known is None or known.report is None or self.fleet.silence_s(pool) > FRESH_S:
                continue
            wait_s = self._wait_s(known.report, work)
            if ports.data_centre_of(pool) != self.fleet.own.data_centre:
                wait_s += FAR_S
            if not best or wait_s < best_s:
                best, best_s = pool, wait_s
        return best

    @staticmethod
    def _wait_s(report, work):
        """Return roughly how long a job would wait in a pool."""
        needed = sum(step.count * step.demand.millicores for step in work.steps)
        missing = max(0, needed - report.free_millicores)
        longest_s = max((step.estimate_s for step in work.steps), default=0.0)
        if not report.capacity_millicores:
            return 60.0
        return report.backlog_s + longest_s * missing / report.capacity_millicores

    def _find_pool(self, held):
        """Hand a job to a pool, waiting for a moment if none has an owner just now."""
        give_up = self.runtime.now() + self.times.wait_for_owner_s
        while not held.ended.is_set():
            pool = self.choose_pool(held.work)
            claim = self.fleet.owner_of(pool) if pool else None
            if claim is not None:
                self._hand_over(held, claim)
                return
            if self.runtime.now() >= give_up:
                self.end(held, self._unfinished(held, "no pool has an owner in reach"))
                return
            self.runtime.sleep(WAIT_STEP_S)

    def _hand_over(self, held, claim):
        now = self.runtime.now()
        message = messages.Submit(
            claim.pool,
            held.work,
            self.fleet.own,
            now - held.arrived_at,
            held.may_have_run,
        )
        held.pool, held.token, held.sent_at = claim.pool, claim.token, now
        held.might_before, held.may_have_run = held.may_have_run, True
        self.submit(claim.owner, message)

    def _on_claim(self, claim):
        """Hand the jobs of a pool to its new owner, which finds what still runs of them."""
        for held in list(self.jobs.values()):
            if held.pool == claim.pool and held.token < claim.token:
                self._hand_over(held, claim)

    # What owners say.

    def renewed(self, owner: str) -> tuple[str, ...]:
        """Return the ids of the jobs that an owner has."""
        return tuple(
            held.work.id
            for held in self.jobs.values()
            if held.pool and self._owner_name(held.pool) == owner
        )

    def _owner_name(self, pool):
        claim = self.fleet.owner_of(pool)
        return claim.owner.name if claim else ""

    def on_unknown(self, job_ids: tuple[str, ...], asked_at: float) -> None:
        """Hand over again what an owner doesn't know although it was sent before the renewal."""
        for job_id in job_ids:
            held = self.jobs.get(job_id)
            if held is None or held.sent_at > asked_at - SETTLE_S:
                continue
            claim = self.fleet.owner_of(held.pool)
            if claim is not None:
                self._hand_over(held, claim)

    def on_ended(self, message: messages.JobEnded) -> None:
        """Take a job's end from its owner."""
        held = self.jobs.get(message.job_id)
        if held is None or held.pool != message.pool:
            return
        # A success is true whoever says it.  A former owner's other news is not: its successor
        # may be running the job.
        is_current = message.token >= held.token
        if is_current or message.outcome.end is job.End.SUCCEEDED:
            self.end(held, message.outcome)

    def on_not_owner(self, message: messages.NotOwner) -> None:
        """Look for another pool: the one asked has done nothing with the job."""
        held = self.jobs.get(message.job_id)
        if held is None or held.pool != message.pool:
            return
        held.may_have_run = held.might_before
        claim = self.fleet.owner_of(message.pool)
        if claim is not None and claim.owner.name != message.sender.name:
            self._hand_over(held, claim)
        elif not held.may_have_run:
            held.pool = ""
            self.runtime.spawn(self._find_pool, held)

    def check_owners(self) -> None:
        """Give up the jobs of owners that have been silent for too long.

        Their runs end by the owner's own bound on silent holders or by their leases, before a
        caller may send its job again.
        """
        for held in list(self.jobs.values()):
            if not held.pool:
                continue
            is_known = held.pool in self.fleet.pools
            since = self.runtime.now() - held.sent_at
            silence_s = self.fleet.silence_s(held.pool) if is_known else since
            if min(silence_s, since) > self.times.owner_lost_s:
                self.end(held, job.Outcome(job.End.LOST, "the pool's owner does not answer"))
