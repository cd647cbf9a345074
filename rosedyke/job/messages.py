"""Messages between entry instances about jobs."""

import enum

import attrs

from rosedyke.job import answer as answers
from rosedyke.job import claim, status
from rosedyke.wire import codec, peer


@codec.message("job.claim")
@attrs.frozen
class ClaimRequest:
    """Request a job's claim from a registrar, or close attempts without claiming.

    Attributes
    ----------
    registrars : tuple of str
        The job's registrars as computed by the sender, see ``authority.identity``.  A registrar
        that computes another pair does not grant, as two pairs could grant to two holders.
    closes : int
        If positive, attempts up to this one are closed and no claim is taken.
    """

    job_id: str
    attempt: int | None
    digest: bytes
    age_s: float
    round: int
    registrars: tuple[str, ...]
    closes: int = 0


@codec.message("job.claim_reply")
@attrs.frozen
class ClaimReply:
    """The registrar's decision, and the present holder if another instance has the claim."""

    outcome: claim.Outcome
    holder: peer.Peer | None = None


@codec.message("job.release")
@attrs.frozen
class ReleaseRequest:
    """Release a claim under which no task started or will start.

    ``closed_through`` is 0 if the sender only withdrew in favour of another claimant.
    """

    job_id: str
    round: int
    closed_through: int = 0


@codec.message("job.done")
@attrs.frozen
class Done:
    """Acknowledges that a request was processed."""


class HolderState(enum.Enum):
    """State of a job at the holder of its claim."""

    CLAIMING = "claiming"
    RUNNING = "running"
    ENDED = "ended"
    RELEASED = "released"  # no task was or will be started under the claim
    FORGOTTEN = "forgotten"  # no record of the job
    OTHER_BODY = "other_body"


@codec.message("job.attach")
@attrs.frozen
class AttachRequest:
    """Request the final answer from a holder, which waits up to ``wait_s`` for it (long poll)."""

    job_id: str
    digest: bytes
    wait_s: float


@codec.message("job.attach_reply")
@attrs.frozen
class AttachReply:
    """State of the job at the holder and, if it ended, its answer."""

    state: HolderState
    answer: answers.Answer | None = None
    closed_through: int = 0


@codec.message("job.cancel")
@attrs.frozen
class CancelRequest:
    """Cancel a job at its holder."""

    job_id: str


@codec.message("job.locate")
@attrs.frozen
class LocateRequest:
    """Ask a registrar for the holder of a job, without claiming it."""

    job_id: str


@codec.message("job.locate_reply")
@attrs.frozen
class LocateReply:
    """The holder on record at the registrar, if any."""

    holder: peer.Peer | None = None


@codec.message("job.find")
@attrs.frozen
class FindRequest:
    """Request the state of a job from its holder."""

    job_id: str


@codec.message("job.find_reply")
@attrs.frozen
class FindReply:
    """State of a job at its holder."""

    state: status.State
    answer: answers.Answer | None = None


@attrs.frozen
class TransferredClaim:
    """A claim sent to another registrar, with its remaining lifetime."""

    job_id: str
    holder: peer.Peer | None
    round: int
    attempt: int
    closed_through: int
    digest: bytes
    life_s: float
    moves: int = 0


@codec.message("job.transfer")
@attrs.frozen
class TransferRequest:
    """Claims of which the receiver has become a registrar."""

    claims: tuple[TransferredClaim, ...]


@attrs.frozen
class Death:
    """An incarnation that ended ``age_s`` ago without handing over its state."""

    name: str
    incarnation: int
    age_s: float


@codec.message("job.registered")
@attrs.frozen
class TransferAcknowledgement:
    """The sender has transferred its claims to the registrars under a set of members.

    It takes new claims under that set.

    Attributes
    ----------
    members : int
        Digest of the set of members, see ``authority.members_of``.
    known_s : float
        Length of the sender's complete history of the data centre.
    deaths : tuple of Death
        Deaths on record at the sender.
    is_final : bool
        Whether the sender has handed over all its state and is shutting down.
    """

    members: int
    known_s: float
    deaths: tuple[Death, ...]
    is_final: bool = False


@attrs.frozen
class HandedOverAnswer:
    """A final answer moved to another instance, with its remaining lifetime."""

    answer: answers.Answer
    digest: bytes
    attempt: int
    life_s: float


@codec.message("job.handover")
@attrs.frozen
class HandoverRequest:
    """Final answers of an instance that is shutting down."""

    answers: tuple[HandedOverAnswer, ...]
