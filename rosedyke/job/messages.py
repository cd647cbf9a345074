"""What entry instances say to each other about jobs."""

import enum

import attrs

from rosedyke.job import answer as answers
from rosedyke.job import claim, status
from rosedyke.wire import codec, peer


@codec.message("job.claim")
@attrs.frozen
class ClaimRequest:
    """Ask a registrar for a job's claim, or to close attempts without one.

    Attributes
    ----------
    registrars : tuple of str
        The pair that the sender computed, by ``identity``; a registrar with another pair does
        not grant, because the two would then not exclude each other's holders.
    closes : int
        Greater than 0 to close attempts up to it and take no claim.
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
    """What the registrar says, and who holds the claim if another does."""

    outcome: claim.Outcome
    holder: peer.Peer | None = None


@codec.message("job.release")
@attrs.frozen
class ReleaseRequest:
    """Give a claim back: nothing started under it, and nothing will.

    ``closed_through`` is 0 when the sender only made way for another holder.
    """

    job_id: str
    round: int
    closed_through: int = 0


@codec.message("job.done")
@attrs.frozen
class Done:
    """The request was carried out."""


class HolderState(enum.Enum):
    """What the holder of a claim knows of its job."""

    CLAIMING = "claiming"
    RUNNING = "running"
    ENDED = "ended"
    RELEASED = "released"  # this incarnation started nothing under its claim and never will
    FORGOTTEN = "forgotten"  # not known here
    OTHER_BODY = "other_body"


@codec.message("job.attach")
@attrs.frozen
class AttachRequest:
    """Ask a holder for the final answer; it waits up to ``wait_s`` for it."""

    job_id: str
    digest: bytes
    wait_s: float


@codec.message("job.attach_reply")
@attrs.frozen
class AttachReply:
    """The holder's state and, when ended, its answer."""

    state: HolderState
    answer: answers.Answer | None = None
    closed_through: int = 0


@codec.message("job.cancel")
@attrs.frozen
class CancelRequest:
    """Ask a holder to end a job."""

    job_id: str


@codec.message("job.locate")
@attrs.frozen
class LocateRequest:
    """Ask a registrar who holds a job; takes nothing."""

    job_id: str


@codec.message("job.locate_reply")
@attrs.frozen
class LocateReply:
    """The holder that the registrar knows, if any."""

    holder: peer.Peer | None = None


@codec.message("job.find")
@attrs.frozen
class FindRequest:
    """Ask a holder how a job stands."""

    job_id: str


@codec.message("job.find_reply")
@attrs.frozen
class FindReply:
    """How the job stands at its holder."""

    state: status.State
    answer: answers.Answer | None = None


@attrs.frozen
class TransferredClaim:
    """A claim on its way to another registrar, with the life it has left."""

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
    """Claims that the receiver is now a registrar of."""

    claims: tuple[TransferredClaim, ...]


@attrs.frozen
class Death:
    """An incarnation that ended without handing over, ``age_s`` ago."""

    name: str
    incarnation: int
    age_s: float


@codec.message("job.registered")
@attrs.frozen
class TransferAcknowledgement:
    """The sender has moved its claims to the registrars of a set of members.

    From here on its new claims follow that set.

    Attributes
    ----------
    members : int
        Digest of the set, see ``authority``.
    known_s : float
        For how long the sender knows what happened in the data centre.
    deaths : tuple of Death
        Those that the sender knows of.
    is_final : bool
        The sender handed everything over and ends.
    """

    members: int
    known_s: float
    deaths: tuple[Death, ...]
    is_final: bool = False


@attrs.frozen
class HandedOverAnswer:
    """A final answer that another instance keeps from now on."""

    answer: answers.Answer
    digest: bytes
    attempt: int
    life_s: float


@codec.message("job.handover")
@attrs.frozen
class HandoverRequest:
    """Final answers of an instance that ends."""

    answers: tuple[HandedOverAnswer, ...]
