"""In-memory table of the claims for which this instance is a registrar.

Decisions are made without blocking and are therefore serialised.  ``authority`` decides whether
the table is authoritative, that is, whether a missing claim proves that the job never started.
"""

import attrs

from rosedyke.job import claim, events, messages
from rosedyke.observe import event
from rosedyke.wire import peer


@attrs.frozen
class Decision:
    """A decision on a claim request, and the present holder if there is one."""

    outcome: claim.Outcome
    holder: peer.Peer | None = None


class Registrar:
    """Claims by job id, oldest first.

    Parameters
    ----------
    claim_life_s : float
        How long a claim is kept after its last grant.
    max_claims : int
        Capacity of the table.
    """

    def __init__(self, claim_life_s: float, max_claims: int):
        self.claim_life_s = claim_life_s
        self.max_claims = max_claims
        self.claims: dict[str, claim.Claim] = {}

    def find(self, job_id: str) -> claim.Claim | None:
        """Return the claim of a job, None if there is none."""
        return self.claims.get(job_id)

    def is_full(self, now: float) -> bool:
        """Return whether the table has reached its capacity after expiry."""
        self.expire(now)
        return len(self.claims) >= self.max_claims

    def conflict(
        self, sender: peer.Peer, request: messages.ClaimRequest, now: float
    ) -> Decision | None:
        """Return why the claims on record rule out a grant; None if they don't."""
        record = self.claims.get(request.job_id)
        if record is None:
            return Decision(claim.Outcome.FULL) if self.is_full(now) else None
        if record.digest != request.digest:
            return Decision(claim.Outcome.OTHER_BODY, record.holder)
        if record.holder is not None and record.holder != sender:
            return Decision(claim.Outcome.HELD, record.holder)
        if claim.is_closed_for(record, request.attempt):
            return Decision(claim.Outcome.CLOSED)
        return None

    def grant(self, sender: peer.Peer, request: messages.ClaimRequest, now: float) -> Decision:
        """Record the claim or the closed attempts; ``conflict`` must have returned None."""
        record = self.claims.pop(request.job_id, None)
        holder = None if request.closes else sender
        current_round = record.round if record is not None and record.holder == sender else 0
        closed_attempts = record.closed_through if record is not None else 0
        self.claims[request.job_id] = claim.Claim(
            holder=holder,
            # A delayed duplicate of an earlier request must not lower the round: a release of
            # that earlier round would then end the claim.
            round=max(current_round, request.round),
            attempt=claim.closing_attempt(request.attempt),
            closed_through=max(closed_attempts, request.closes),
            digest=request.digest,
            expires=now + self.claim_life_s,
            moves=record.moves if record is not None else 0,
        )
        return Decision(claim.Outcome.GRANTED)

    def release(self, sender: peer.Peer, request: messages.ReleaseRequest, now: float) -> None:
        """End the sender's claim of the given round and close the attempts of the request."""
        record = self.claims.get(request.job_id)
        if record is None or record.holder != sender or record.round != request.round:
            return
        record.holder = None
        record.closed_through = max(record.closed_through, request.closed_through)
        if not record.closed_through:
            del self.claims[request.job_id]

    def accept_transfer(self, transfer: messages.TransferredClaim, now: float) -> None:
        """Record a claim transferred by its holder or by another registrar."""
        record = self.claims.get(transfer.job_id)
        if record is None:
            self.claims[transfer.job_id] = claim.Claim(
                transfer.holder,
                transfer.round,
                transfer.attempt,
                transfer.closed_through,
                transfer.digest,
                now + transfer.life_s,
                transfer.moves,
            )
            return
        record.closed_through = max(record.closed_through, transfer.closed_through)
        is_later = transfer.moves > record.moves
        if transfer.holder is not None and (record.holder is None or is_later):
            # This may revive a claim whose release arrived first; a superfluous claim is safe.
            record.holder = transfer.holder
            record.round = transfer.round
            record.attempt = transfer.attempt
            record.moves = transfer.moves
        elif transfer.moves < record.moves:
            return
        elif transfer.holder is not None and record.holder != transfer.holder:
            event.log(
                events.CLAIM_CONFLICT,
                job=transfer.job_id,
                holder=record.holder.name,
                other=transfer.holder.name,
            )

    def expire(self, now: float) -> None:
        """Remove expired claims in insertion order, up to the first that has not expired.

        A transferred claim may expire before an older entry and is then removed with that one.
        """
        while self.claims:
            job_id = next(iter(self.claims))
            if self.claims[job_id].expires > now:
                return
            del self.claims[job_id]
