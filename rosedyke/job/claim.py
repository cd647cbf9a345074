"""A claim: the record of which instance may start a job's tasks.

A claim is never revoked.  It ends when its holder releases it without having started a task, or
when it expires, which is later than any attempt that the network could still deliver.
"""

import enum

import attrs

from rosedyke.wire import peer

# Closes all attempts of a job whose submission had no attempt number.
ALL_ATTEMPTS = 2**31


class Outcome(enum.Enum):
    """A registrar's decision on a claim request."""

    GRANTED = "granted"
    HELD = "held"
    CLOSED = "closed"
    OTHER_BODY = "other_body"
    HISTORY_LOST = "history_lost"
    UNSETTLED = "unsettled"
    FULL = "full"


@attrs.define
class Claim:
    """A registrar's record of one job.

    Attributes
    ----------
    holder : Peer or None
        The incarnation that may start the job's tasks; None if attempts were only closed.
    round : int
        The holder's sequence number of the claim; a release of an earlier round is ignored.
    attempt : int
        The attempt that the claim was taken for.
    closed_through : int
        Attempts up to this one were answered "not run" and are refused permanently.
    digest : bytes
        Hash of the submission's body.
    expires : float
        Monotonic time in seconds.
    moves : int
        How often a leaving holder handed the job's answer to another instance; the record with
        the highest count is the newest.
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

    A submission without an attempt number is indistinguishable from a delayed duplicate of it, so
    its refusal closes all attempts.  Otherwise the duplicate could run after the answer "not run".
    """
    return ALL_ATTEMPTS if attempt is None else attempt


def is_closed_for(record: Claim, attempt: int | None) -> bool:
    """Return whether the record refuses an attempt; one without a number matches any closure."""
    if not record.closed_through:
        return False
    return attempt is None or attempt <= record.closed_through
