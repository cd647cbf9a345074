"""What the parts of the claim protocol share in one entry instance."""

import attrs

from rosedyke import runtime
from rosedyke.job import answer_cache, authority, claim, job, messages, ports, registrar, settings
from rosedyke.membership import member
from rosedyke.membership import ports as membership_ports
from rosedyke.wire import peer


@attrs.define(eq=False)
class TrackedJob:
    """A job that a caller is waiting for here and that this instance claims or runs.

    Attributes
    ----------
    job : Job
        The aggregate; its answer is the final one.
    round : int
        Number of the present claim.
    is_holding : bool
        False while nothing is claimed: before, and after making way for another holder.
    is_started : bool
        The claim is complete; the job may run.
    places : set of Peer
        Registrars that may remember the claim.
    ended : Signal
        Set when the job is closed or turned out to be another instance's.
    """

    job: job.Job
    ended: runtime.Signal
    round: int = 0
    has_claim: bool = False
    is_started: bool = False
    contacted: set[peer.Peer] = attrs.Factory(set)


@attrs.define(eq=False)
class Instance:
    """State and ports of one entry instance, as far as jobs are concerned.

    Attributes
    ----------
    held : dict of str to Held
        Jobs in progress by id.
    half_held : set of str
        Started jobs of which one registrar has not confirmed the claim.
    rounds : int
        Last round number given out.
    is_leaving : bool
        Claims are being handed over; as a registrar it grants no more.
    is_stopped : bool
        The instance ends; background tasks end with it.
    """

    settings: settings.JobSettings
    runtime: runtime.Runtime
    peers: peer.Peers
    membership: membership_ports.Membership
    dispatcher: ports.Dispatcher
    authority: authority.Authority
    registrar: registrar.Registrar
    answer_cache: answer_cache.AnswerCache
    held: dict[str, TrackedJob] = attrs.Factory(dict)
    under_replicated: set[str] = attrs.Factory(set)
    last_round: int = 0
    is_leaving: bool = False
    is_stopped: bool = False

    @property
    def own(self) -> peer.Peer:
        """The own instance in its present incarnation."""
        return self.authority.own

    def now(self) -> float:
        """Return monotonic seconds."""
        return self.runtime.now()

    def data_centres(self) -> tuple[str, ...]:
        """Return every data centre of the region in name order, also those out of reach.

        One that is left out because it can't be seen could hold the claim that matters.
        """
        visible = {entry.data_centre for entry in self.membership.view.members}
        return tuple(sorted(visible | set(self.settings.data_centres) | {self.own.data_centre}))

    def registrars(self, job_id: str, data_centre: str) -> tuple[peer.Peer, ...]:
        """Return a job's registrars in any data centre, as seen here."""
        if data_centre == self.own.data_centre:
            return self.authority.registrars(job_id)
        ranked = self.membership.view.ranked(job_id, data_centre)
        return tuple(entry.peer for entry in ranked[: authority.REGISTRARS_PER_JOB])

    def is_dead(self, instance: peer.Peer) -> bool:
        """Return whether an incarnation is over, as far as the membership knows."""
        entry = self.membership.view.find(instance.name)
        if entry is None:
            return True
        return entry.peer.incarnation > instance.incarnation or entry.state is member.State.DEAD

    def next_round(self) -> int:
        """Return a number that no earlier claim of this instance had."""
        self.last_round += 1
        return self.last_round

    def request_all(self, targets, message, timeout_s: float) -> dict[peer.Peer, object]:
        """Send one message to each target at once and return their replies.

        A target without a reply has its ``PeerError`` instead.
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
        """Keep a copy of the own claim, before any registrar is asked.

        From here on a change of members moves it like every other claim.
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
        """Return the message that claims a job at a pair of registrars."""
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
