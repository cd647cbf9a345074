"""State of one entry instance that the parts of the claim protocol share."""

import attrs

from rosedyke import runtime
from rosedyke.job import answer_cache, authority, claim, job, messages, ports, registrar, settings
from rosedyke.membership import member
from rosedyke.membership import ports as membership_ports
from rosedyke.wire import peer


@attrs.define(eq=False)
class TrackedJob:
    """A job in progress whose caller waits at this instance.

    Attributes
    ----------
    job : Job
        The job aggregate, which receives the final answer.
    round : int
        Sequence number of the present claim.
    has_claim : bool
        Whether this instance has requested or holds the claim and has not withdrawn it.
    is_started : bool
        Whether the claim was granted, so that the job may run.
    contacted : set of Peer
        Registrars that may have recorded the claim.
    ended : Signal
        Set when the job is closed.
    """

    job: job.Job
    ended: runtime.Signal
    round: int = 0
    has_claim: bool = False
    is_started: bool = False
    contacted: set[peer.Peer] = attrs.Factory(set)


@attrs.define(eq=False)
class Instance:
    """Job-related state and ports of one entry instance.

    Attributes
    ----------
    tracked_jobs : dict of str to TrackedJob
        Jobs in progress by id.
    under_replicated : set of str
        Started jobs whose claim one registrar has not confirmed yet.
    last_round : int
        Last round number assigned.
    is_leaving : bool
        Whether claims are being handed over, so that this registrar grants no more.
    has_drained : bool
        Whether the jobs have ended, so that the instance only refuses further ones until it exits.
    is_stopped : bool
        Whether the instance is stopping, which ends its background tasks.
    """

    settings: settings.JobSettings
    runtime: runtime.Runtime
    peers: peer.Peers
    membership: membership_ports.Membership
    dispatcher: ports.Dispatcher
    authority: authority.Authority
    registrar: registrar.Registrar
    answer_cache: answer_cache.AnswerCache
    tracked_jobs: dict[str, TrackedJob] = attrs.Factory(dict)
    under_replicated: set[str] = attrs.Factory(set)
    last_round: int = 0
    is_leaving: bool = False
    has_drained: bool = False
    is_stopped: bool = False

    @property
    def is_ending(self) -> bool:
        """Whether a job of another instance may outlast this one."""
        return self.has_drained or self.is_stopped

    @property
    def own(self) -> peer.Peer:
        """Identity of this instance in its present incarnation."""
        return self.authority.own

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.runtime.now()

    def data_centres(self) -> tuple[str, ...]:
        """Return all data centres of the region in name order, including unreachable ones.

        A job may be claimed in a data centre that is unreachable at present.
        """
        visible = {entry.data_centre for entry in self.membership.view.members}
        return tuple(sorted(visible | set(self.settings.data_centres) | {self.own.data_centre}))

    def registrars(self, job_id: str, data_centre: str) -> tuple[peer.Peer, ...]:
        """Return a job's registrars in a data centre, according to the local view."""
        if data_centre == self.own.data_centre:
            return self.authority.registrars(job_id)
        ranked = self.membership.view.ranked(job_id, data_centre)
        return tuple(entry.peer for entry in ranked[: authority.REGISTRARS_PER_JOB])

    def is_dead(self, instance: peer.Peer) -> bool:
        """Return whether an incarnation has ended, according to the membership."""
        entry = self.membership.view.find(instance.name)
        if entry is None:
            return True
        return entry.peer.incarnation > instance.incarnation or entry.state is member.State.DEAD

    def next_round(self) -> int:
        """Return a round number that no earlier claim of this instance used."""
        self.last_round += 1
        return self.last_round

    def request_all(self, targets, message, timeout_s: float) -> dict[peer.Peer, object]:
        """Send a message to all targets concurrently and return the replies by target.

        The value is a ``PeerError`` for a target that did not reply.
        """
        replies: dict[peer.Peer, object] = {}
        remote = [target for target in targets if target != self.own]
        tasks = [
            self.runtime.spawn(self._request_reply, target, message, timeout_s, replies)
            for target in remote[1:]
        ]
        if self.own in targets:
            self._request_reply(self.own, message, timeout_s, replies)
        if remote:
            self._request_reply(remote[0], message, timeout_s, replies)
        for task in tasks:
            task.wait()
        return replies

    def _request_reply(self, target, message, timeout_s, replies):
        try:
            replies[target] = self.peers.request(target, message, timeout_s)
        except peer.PeerError as error:
            replies[target] = error

    def record_own_claim(self, tracked: TrackedJob) -> None:
        """Record this instance's own claim before it is requested from the registrars.

        From then on, membership changes transfer it like any other claim.
        """
        request = tracked.job.request
        record = self.registrar.find(request.job_id)
        self.registrar.claims.pop(request.job_id, None)
        self.registrar.claims[request.job_id] = claim.Claim(
            self.own,
            tracked.round,
            claim.closing_attempt(request.attempt),
            record.closed_through if record is not None else 0,
            request.digest,
            self.now() + self.settings.claim_life_s,
        )

    def claim_request(self, tracked: TrackedJob, pair, closes: int = 0) -> messages.ClaimRequest:
        """Return the request that claims a job, or closes its attempts, at a pair of registrars."""
        request = tracked.job.request
        return messages.ClaimRequest(
            request.job_id,
            request.attempt,
            request.digest,
            request.age_s,
            tracked.round,
            tuple(authority.identity(registrar_peer) for registrar_peer in pair),
            closes,
        )
