"""What the parts of the claim protocol share in one entry instance."""

import attrs

from rosedyke import runtime
from rosedyke.job import authority, claim, job, kept, messages, ports, registrar, settings
from rosedyke.membership import member
from rosedyke.membership import ports as membership_ports
from rosedyke.wire import peer


@attrs.define(eq=False)
class Held:
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
    is_holding: bool = False
    is_started: bool = False
    places: set[peer.Peer] = attrs.Factory(set)


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
    kept: kept.KeptAnswers
    held: dict[str, Held] = attrs.Factory(dict)
    half_held: set[str] = attrs.Factory(set)
    rounds: int = 0
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
        seen = {one.data_centre for one in self.membership.view.members}
        return tuple(sorted(seen | set(self.settings.data_centres) | {self.own.data_centre}))

    def registrars(self, job_id: str, data_centre: str) -> tuple[peer.Peer, ...]:
        """Return a job's registrars in any data centre, as seen here."""
        if data_centre == self.own.data_centre:
            return self.authority.registrars(job_id)
        ranked = self.membership.view.ranked(job_id, data_centre)
        return tuple(one.peer for one in ranked[: authority.REGISTRARS])

    def is_dead(self, instance: peer.Peer) -> bool:
        """Return whether an incarnation is over, as far as the membership knows."""
        seen = self.membership.view.find(instance.name)
        if seen is None:
            return True
        return seen.peer.incarnation > instance.incarnation or seen.state is member.State.DEAD

    def next_round(self) -> int:
        """Return a number that no earlier claim of this instance had."""
        self.rounds += 1
        return self.rounds

    def ask(self, targets, message, timeout_s: float) -> dict[peer.Peer, object]:
        """Send one message to each target at once and return their replies.

        A target without a reply has its ``PeerError`` instead.
        """
        replies: dict[peer.Peer, object] = {}
        remote = [target for target in targets if target != self.own]
        tasks = [
            self.runtime.spawn(self._ask_one, target, message, timeout_s, replies)
            for target in remote[1:]
        ]
        if self.own in targets:
            self._ask_one(self.own, message, timeout_s, replies)
        if remote:
            self._ask_one(remote[0], message, timeout_s, replies)
        for task in tasks:
            task.wait()
        return replies

    def _ask_one(self, target, message, timeout_s, replies):
        try:
            replies[target] = self.peers.request(target, message, timeout_s)
        except peer.PeerError as error:
            replies[target] = error

    def remember(self, held: Held) -> None:
        """Keep a copy of the own claim, before any registrar is asked.

        From here on a change of members moves it like every other claim.
        """
        request = held.job.request
        record = self.registrar.find(request.job_id)
        self.registrar.claims.pop(request.job_id, None)
        self.registrar.claims[request.job_id] = claim.Claim(
            self.own,
            held.round,
            claim.closing_attempt(request.attempt),
            record.closed_through if record is not None else 0,
            request.digest,
            self.now() + self.settings.claim_life_s,
        )

    def claim_request(self, held: Held, pair, closes: int = 0) -> messages.ClaimRequest:
        """Return the message that claims a job at a pair of registrars."""
        request = held.job.request
        return messages.ClaimRequest(
            request.job_id,
            request.attempt,
            request.digest,
            request.age_s,
            held.round,
            tuple(authority.identity(one) for one in pair),
            closes,
        )
