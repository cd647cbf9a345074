"""Messages between the instances about rerunnable jobs."""

import attrs

from rosedyke.rerun import job
from rosedyke.wire import codec

# A job's id and the number of one of its parts.
PartKey = tuple[str, int]


@attrs.frozen
class Instance:
    """An entry instance as the others reach it, whichever incarnation runs there.

    Attributes
    ----------
    cores : float
        How much processor it has, in cores of normal speed; more than 0.
    """

    name: str
    address: str
    data_centre: str
    cores: float = 1.0


@attrs.frozen
class PoolReport:
    """What an owner says about its pool with each renewal.

    Attributes
    ----------
    pool : str
        The pool.
    token : int
        The owner's fencing token; of two owners the one with the higher token counts.
    backlog_s : float
        How long the waiting work would keep all servers of the pool busy.
    rooms : tuple of (int, float)
        Millicores that no task takes up on each server that may get some, and its speed.
    capacity_millicores : int
        Of the servers that answer.
    waiting : dict of str to int
        Jobs of each queue of which no task has started.
    servers : dict of str to float
        The servers that it may have started something on, with their learned speeds.  A successor
        whose own list lacks one of them knows that it doesn't see all runs yet.
    """

    pool: str
    token: int
    backlog_s: float
    rooms: tuple[tuple[int, float], ...]
    capacity_millicores: int
    waiting: dict[str, int]
    servers: dict[str, float]


@codec.message("rerun.claim")
@attrs.frozen
class Claim:
    """An instance owns a pool from now on."""

    pool: str
    owner: Instance
    token: int


@codec.message("rerun.renew")
@attrs.frozen
class Renew:
    """A holder is alive, and these parts of jobs at the receiving owner are still wanted.

    Attributes
    ----------
    sender : Instance
        The holder.
    parts : tuple of (str, int)
        Job ids and numbers of their parts.
    tokens : dict of str to int
        The token of each pool's owner, as far as the sender knows.
    revisions : dict of str to int
        The newest revision of each shared document that the sender holds.
    """

    sender: Instance
    parts: tuple[PartKey, ...]
    tokens: dict[str, int]
    revisions: dict[str, int]


@codec.message("rerun.report")
@attrs.frozen
class RenewReply:
    """The answer to ``Renew``.

    Attributes
    ----------
    unknown : tuple of (str, int)
        Renewed parts that the sender doesn't have.
    clock_s : float
        The sender's clock, by which holders say when they sent a ``Submit``.
    pools : tuple of PoolReport
        The pools that it owns.
    claims : tuple of Claim
        Owners that the asking instance doesn't know of yet.
    """

    sender: Instance
    unknown: tuple[PartKey, ...]
    clock_s: float
    pools: tuple[PoolReport, ...]
    claims: tuple[Claim, ...]
    revisions: dict[str, int]


@codec.message("rerun.submit")
@attrs.frozen
class Submit:
    """A holder hands a job, or a part of one, to a pool's owner.

    Attributes
    ----------
    pool : str
        The pool that shall run it.
    part : int
        Numbers what the holder hands over of the job, anew each time.  Each is ended and released
        by itself, also when two come to one pool: the end of one must not be taken for that of
        both, nor a late message about a part for one about its successor.
    sent_s : float
        When it was sent, by the owner's clock.
    work : Job
        The job.
    holder : Instance
        Who answers the caller.
    age_s : float
        Time since the holder got the job.
    tasks : tuple of str
        The tasks that this pool shall run; the others run elsewhere.
    may_have_run : bool
        An earlier owner of the pool had these tasks, so some may be running or done.
    has_started : bool
        Something of the job may have started, so it can't be refused any more.
    moves : int
        How often these tasks were released by a pool before.
    """

    pool: str
    part: int
    sent_s: float
    work: job.Job
    holder: Instance
    age_s: float
    tasks: tuple[str, ...]
    may_have_run: bool
    has_started: bool
    moves: int = 0


@codec.message("rerun.ended")
@attrs.frozen
class JobEnded:
    """An owner tells a holder how its part of a job ended.

    Attributes
    ----------
    tasks : tuple of str
        All that the part had.
    report : PoolReport or None
        The pool's room at this moment; between two renewals holders learn of it by this.
    """

    job_id: str
    part: int
    pool: str
    token: int
    outcome: job.Outcome
    tasks: tuple[str, ...]
    report: PoolReport | None = None


@codec.message("rerun.released")
@attrs.frozen
class TasksReleased:
    """An owner gives back tasks that it hasn't started, since another pool has room for them.

    Attributes
    ----------
    toward : str
        The pool that has room.
    moves : int
        How often these tasks have been released, this time included.
    has_started : bool
        Something of the part has started, though nothing of these tasks is under way.
    """

    job_id: str
    part: int
    pool: str
    token: int
    tasks: tuple[str, ...]
    toward: str
    moves: int
    has_started: bool


@codec.message("rerun.want_room")
@attrs.frozen
class CapacityRequest:
    """The owner of a full pool asks another owner to tell it when room comes up there.

    Attributes
    ----------
    sender : Instance
        The owner that asks.
    pool : str
        Its full pool.
    service : str
        Whose servers are wanted.
    smallest_millicores, millicores : int
        What the smallest of the waiting tasks needs, and all of them together.
    """

    sender: Instance
    pool: str
    service: str
    smallest_millicores: int
    millicores: int


@codec.message("rerun.offer")
@attrs.frozen
class CapacityOffer:
    """The answer to ``CapacityRequest``, sent once there is room and again when more comes up.

    Attributes
    ----------
    pool : str
        The pool that has room.
    wanted_by, service : str
        The full pool, and whose servers it wanted.
    rooms : tuple of (int, float)
        Free millicores and speed of the servers that are offered to nobody else for a moment.
    """

    pool: str
    wanted_by: str
    service: str
    rooms: tuple[tuple[int, float], ...]


@codec.message("rerun.not_owner")
@attrs.frozen
class NotOwner:
    """The receiver of a ``Submit`` did nothing with it.

    Attributes
    ----------
    is_late : bool
        It owns the pool and got the message too late; else it doesn't own it.
    """

    job_id: str
    part: int
    pool: str
    sender: Instance
    is_late: bool


@codec.message("rerun.withdraw")
@attrs.frozen
class Withdraw:
    """A holder takes a part of a job back unless something of it may have started."""

    job_id: str
    part: int
    pool: str


@codec.message("rerun.withdrawn")
@attrs.frozen
class Withdrawn:
    """The answer to ``Withdraw``.

    Attributes
    ----------
    is_withdrawn : bool
        Nothing of the part has started there or will.  If not, the part is as it was, or nothing
        is known of it.
    """

    is_withdrawn: bool


@codec.message("rerun.cancel")
@attrs.frozen
class Cancel:
    """The holder no longer wants a job."""

    job_id: str
    sender: Instance


@codec.message("rerun.cancel_held")
@attrs.frozen
class CancelHeld:
    """A caller cancelled a job at an instance that may not be its holder."""

    job_id: str


@codec.message("rerun.query")
@attrs.frozen
class ContactAgeQuery:
    """A candidate asks whether anyone still hears a silent owner."""

    pool: str
    token: int


@codec.message("rerun.heard")
@attrs.frozen
class ContactAge:
    """How long ago the answering instance heard that owner; None: never, or it isn't its owner."""

    age_s: float | None


@codec.message("rerun.resign")
@attrs.frozen
class Resign:
    """An owner gives its pool to the receiver, for example since it shuts down."""

    pool: str
    token: int
    servers: dict[str, float]


@codec.message("rerun.resign_answer")
@attrs.frozen
class ResignAnswer:
    """Whether the receiver of a ``Resign`` owns the pool now; it doesn't if it is leaving too."""

    is_taken: bool


@codec.message("rerun.fetch")
@attrs.frozen
class FetchDocument:
    """Asks for a shared document, such as the configuration, that the sender has an older one of.

    A document is spread between instances so that one that the platform's store turns away, or
    that starts while the store is down, follows the others.
    """

    topic: str


@codec.message("rerun.copy")
@attrs.frozen
class DocumentCopy:
    """A shared document; revision 0 means that the sender has none."""

    topic: str
    revision: int
    content: bytes
