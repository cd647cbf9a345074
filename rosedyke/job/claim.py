"""A claim: the record that a job may have started, and which instance runs it.

A claim is never taken from its holder.  It ends when the holder gives it back without having
started anything, or when it has outlived every attempt that the network could still deliver.
"""

import enum

import attrs

from rosedyke.wire import peer

# Closes every attempt, for a submission that didn't number its attempts.
ALL_ATTEMPTS = 2**31


class Outcome(enum.Enum):
    """What a registrar says to a claim."""

    GRANTED = "granted"
    HELD = "held"
    CLOSED = "closed"
    OTHER_BODY = "other_body"
    HISTORY_LOST = "history_lost"
    UNSETTLED = "unsettled"
    FULL = "full"


@attrs.define
class Claim:
    """What a registrar remembers of one job.

    Attributes
    ----------
    holder : Peer or None
        The incarnation that may start the job's tasks; None when attempts were only closed.
    round : int
        The holder's number for this try; a release of an earlier try doesn't end this one.
    attempt : int
        The attempt it was taken for.
    closed_through : int
        Attempts up to this one were told "not run" and are refused for ever.
    digest : bytes
        Of the body that the id stands for.
    expires : float
        Monotonic seconds.
    moves : int
        How often a holder that left gave the job's answer to another; the latest move counts.
    """

    holder: peer.Peer | None
    round: int
    attempt: int
    closed_through: int
    digest: bytes
    expires: float
    moves: int = 0


def closing_attempt(attempt: int | None) -> int:
    """Return the attempt through which a refusal of ``attempt`` closes the job.

    A submission without a number can't be told from a delayed copy of itself.  Were later
    ones still allowed, the copy could run after its caller was told that it did not.
    """
    return ALL_ATTEMPTS if attempt is None else attempt


def is_closed_for(record: Claim, attempt: int | None) -> bool:
    """Return whether the record refuses an attempt; one without a number may be any."""
    if not record.closed_through:
        return False
    return attempt is None or attempt <= record.closed_through
