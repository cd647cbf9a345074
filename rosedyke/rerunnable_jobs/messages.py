"""Messages between instances about rerunnable jobs."""

import collections
import zlib
from collections.abc import Iterable
from typing import Annotated

import attrs
import msgspec

from rosedyke.rerunnable_jobs import job
from rosedyke.scheduling import run_times
from rosedyke.wire import codec

MAX_CORES = 100_000

# A job's id and the number of one of its parts.
PartKey = tuple[str, int]


@attrs.frozen
class Instance:
    """An entry instance, independent of its incarnation.

    Attributes
    ----------
    cores : float
        Processing power in cores of normal speed; more than 0.
    """

    name: str
    address: str
    data_centre: str
    cores: Annotated[float, msgspec.Meta(gt=0, le=MAX_CORES)] = 1.0

    def checksum(self) -> int:
        """Return a checksum of all fields, by which a peer tells that it knows them."""
        fields = f"{self.name} {self.address} {self.data_centre} {float(self.cores)}"
        return zlib.crc32(fields.encode())


@attrs.frozen
class LearnedState:
    """What the owner of a pool has learned, for a successor.

    Attributes
    ----------
    version : int
        Increases within one token whenever the state changes.
    run_time_ratios : dict of str to RatioQuantiles
        Ratios of run time to estimate, by queue.
    suspended : dict of str to int
        Remaining milliseconds of each suspension because of repeated failed runs, by server id.
    """

    version: int
    run_time_ratios: dict[str, run_times.RatioQuantiles]
    suspended: dict[str, int]


@attrs.frozen
class KnownOwner:
    """An earlier owner of a pool, as the present one knows it.

    Attributes
    ----------
    token : int
        Its fencing token.
    servers_version : int
        The version of its servers, ``PoolReport.servers_version``, that is known.
    unfenced : tuple of str
        Those that have not listed their runs under the present owner's token.
    """

    token: int
    servers_version: int
    unfenced: tuple[str, ...] = ()


@attrs.frozen
class PoolReport:
    """State of a pool, which its owner reports with each renewal.

    Attributes
    ----------
    pool : str
        Name of the pool.
    token : int
        The owner's fencing token; the owner with the highest token is valid.
    backlog_s : float
        Time that all servers of the pool need for the waiting tasks.
    speeds_by_free : dict of int to tuple of int
        Free millicores, and the speeds in percent of the servers that accept tasks and have that
        much free.  For 20 servers this takes about a quarter of the bytes of a pair of an integer
        and a float for each server.
    capacity_millicores : int
        Total capacity of the servers that accept tasks.
    waiting : dict of str to int
        Number of jobs in each queue that have not started.
    servers : dict of str to float, or None
        The owner's servers that may have runs, with their estimated speeds.  A successor whose list
        lacks one of them does not see all runs yet.  None if the receiver knows them by their
        version, or if they are left out of a message that must be small.
    servers_version : int
        Version of the names in ``servers``, which increases within one token.  Separate from that
        of the speeds, since a successor that lacks the latest speeds still knows all servers.
    link_backlog_s : float
        Time that new start commands wait for the owner's link.
    link_bytes_per_s : float
        Rate of the owner's link, 0 if it is unlimited.
    speeds_version : int
        Version of the speeds in ``servers`` and of ``earlier_owners``, which increases within one
        token.
    learned : LearnedState or UNSET
        What the owner has learned.  UNSET, which is not encoded, if the receiver knows this
        version, in a message that must be small, or if there is nothing.
    earlier_owners : tuple of KnownOwner, or UNSET
        Earlier owners whose servers the owner knows, together with ``servers`` only.  UNSET, which
        is not encoded, if there are none.
    """

    pool: str
    token: int
    backlog_s: float
    speeds_by_free: dict[int, tuple[int, ...]]
    capacity_millicores: int
    waiting: dict[str, int]
    servers: dict[str, float] | None
    servers_version: int = 0
    link_backlog_s: float = 0.0
    link_bytes_per_s: float = 0.0
    speeds_version: int = 0
    learned: LearnedState | msgspec.UnsetType = msgspec.UNSET
    earlier_owners: tuple[KnownOwner, ...] | msgspec.UnsetType = msgspec.UNSET

    @property
    def rooms(self) -> tuple[tuple[int, float], ...]:
        """Free millicores and speed of each server that accepts tasks."""
        return tuple(
            (free, percent / 100)
            for free, percents in self.speeds_by_free.items()
            for percent in percents
        )

    def free_slots(self, millicores: int) -> int:
        """Return how many tasks of a size, which is more than 0, the servers have room for."""
        return sum(
            free // millicores * len(percents) for free, percents in self.speeds_by_free.items()
        )

    def without_servers(self) -> "PoolReport":
        """Return this report without ``servers``, ``earlier_owners`` and ``learned``."""
        return attrs.evolve(self, servers=None, earlier_owners=msgspec.UNSET, learned=msgspec.UNSET)


def group_rooms(rooms: Iterable[tuple[int, float]]) -> dict[int, tuple[int, ...]]:
    """Return free millicores and speeds of servers as ``PoolReport.speeds_by_free``."""
    grouped = collections.defaultdict(list)
    for free, speed in rooms:
        # At least 1, because run times are divided by the speed.
        grouped[free].append(max(1, round(100 * speed)))
    return {free: tuple(percents) for free, percents in grouped.items()}


@attrs.frozen
class DocumentVersion:
    """The version of a shared document at an instance.

    Attributes
    ----------
    revision : int
        All changes up to this revision of the platform's store are included.
    digest : int
        Equal documents have the same.
    age_s : float
        Seconds since it was known to equal the one in the store.
    """

    revision: int
    digest: int
    age_s: float


@codec.message("rerun.claim")
@attrs.frozen
class Claim:
    """Announces that an instance now owns a pool."""

    pool: str
    owner: Instance
    token: int


@codec.message("rerun.renew")
@attrs.frozen
class Renew:
    """Heartbeat of an instance, which also renews its job parts at the receiving owner.

    Attributes
    ----------
    sender : Instance
        The holder.
    parts : tuple of (str, int)
        Job id and number of each renewed part.
    sent_s : float
        When it was sent, on the receiver's clock.  Unknown before the receiver's first reply, when
        there are no parts.
    claims_version : int
        The version up to which the sender knows the receiver's claims, 0 for none.
    documents : dict of str to DocumentVersion
        The sender's versions of the shared documents that may be news to the receiver.
    servers_versions : dict of str to tuple of int
        Token, ``PoolReport.servers_version`` and ``speeds_version`` of the servers that the sender
        knows of the receiver's pools, followed by ``LearnedState.version`` if it knows one.
    receiver_checksum : int
        ``Instance.checksum`` of the receiver as the sender knows it.
    """

    sender: Instance
    parts: tuple[PartKey, ...]
    sent_s: float
    claims_version: int
    documents: dict[str, DocumentVersion]
    servers_versions: dict[str, tuple[int, ...]]
    receiver_checksum: int


@codec.message("rerun.report")
@attrs.frozen
class RenewReply:
    """The reply to ``Renew``.

    Attributes
    ----------
    sender : Instance or None
        None if the requester knows it as it is.
    unknown : tuple of (str, int)
        Renewed parts that the sender does not have.
    clock_s : float
        The sender's clock, to which holders convert ``Submit.sent_s`` and ``Renew.sent_s``.
    pools : tuple of PoolReport
        Reports of the pools that the sender owns.
    claims : tuple of Claim
        The sender's claims that the requester does not know.
    claims_version : int
        The version of the sender's claims.
    documents : dict of str to DocumentVersion
        The sender's versions of the shared documents that may be news to the requester.
    """

    sender: Instance | None
    unknown: tuple[PartKey, ...]
    clock_s: float
    pools: tuple[PoolReport, ...]
    claims: tuple[Claim, ...]
    claims_version: int
    documents: dict[str, DocumentVersion]


@attrs.frozen
class FormerOwner:
    """An earlier owner of a part of a job, as the job's holder knows it.

    Attributes
    ----------
    token : int
        Its fencing token.
    servers_version : int
        The newest ``PoolReport.servers_version`` of it that the holder has seen.
    age_s : float
        For how long the holder has not renewed the part with it.
    """

    token: int
    servers_version: int
    age_s: float = 0.0


@codec.message("rerun.submit")
@attrs.frozen
class Submit:
    """Submits a job, or a part of one, to a pool's owner.

    Attributes
    ----------
    pool : str
        The pool that should run it.
    part : int
        Number of the part, never reused.  Parts end and are released independently, even in the
        same pool, and delayed messages about a part do not affect later ones.
    sent_s : float
        When it was sent, by the owner's clock.
    work : Job
        The job.
    holder : Instance
        The instance that answers the caller.
    age_s : float
        Time since the holder received the job.
    tasks : tuple of str
        The tasks in this part.
    may_have_run : bool
        An earlier owner of the pool had these tasks, so some may be running or done.
    has_started : bool
        Some task of the job may have started, so the job can no longer be refused.
    moves : int
        How often these tasks were released by pools.
    former_owners : tuple of FormerOwner, or UNSET
        The earlier owners whose runs may not be over; UNSET, which is not encoded, if none is
        known.
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
    former_owners: tuple[FormerOwner, ...] | msgspec.UnsetType = msgspec.UNSET


@codec.message("rerun.ended")
@attrs.frozen
class JobEnded:
    """Reports the outcome of a part of a job to its holder.

    Attributes
    ----------
    tasks : tuple of str
        All tasks of the part.
    report : PoolReport or None
        A current report of the pool without ``servers``; None if the holder was sent one just
        before.
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
    """Returns tasks that have not started to their holder, to be moved to another pool.

    Attributes
    ----------
    toward : str
        The pool with free capacity; empty if the holder should choose one.
    moves : int
        How often full pools have released these tasks, including this time.
    has_started : bool
        Other tasks of the part have started.
    report : PoolReport or None
        A current report of a pool that is being evacuated, without ``servers``, so that the holder
        does not choose it again by an older one.
    """

    job_id: str
    part: int
    pool: str
    token: int
    tasks: tuple[str, ...]
    toward: str
    moves: int
    has_started: bool
    report: PoolReport | None = None


@codec.message("rerun.want_room")
@attrs.frozen
class CapacityRequest:
    """The owner of a full pool asks another owner for free capacity.

    Attributes
    ----------
    sender : Instance
        The requesting owner.
    pool : str
        The full pool.
    service : str
        The service whose servers are needed.
    smallest_millicores, millicores : int
        Demand of the smallest waiting task, and of all of them.
    """

    sender: Instance
    pool: str
    service: str
    smallest_millicores: int
    millicores: int


@codec.message("rerun.offer")
@attrs.frozen
class CapacityOffer:
    """The answer to ``CapacityRequest``, sent whenever capacity becomes free.

    Attributes
    ----------
    pool : str
        The pool with free capacity.
    wanted_by, service : str
        The full pool and the requested service.
    rooms : tuple of (int, float)
        Free millicores and speed of the servers that are reserved for the full pool for a moment.
    """

    pool: str
    wanted_by: str
    service: str
    rooms: tuple[tuple[int, float], ...]


@codec.message("rerun.not_owner")
@attrs.frozen
class NotOwner:
    """The receiver of a ``Submit`` did not accept it.

    Attributes
    ----------
    is_late : bool
        True if the message arrived too late, false if the receiver does not own the pool.
    """

    job_id: str
    part: int
    pool: str
    sender: Instance
    is_late: bool


@attrs.frozen
class Claimant:
    """An instance that claims jobs.

    Attributes
    ----------
    instance : Instance
        Only its name is compared: a registrar does not know all of it.
    incarnation : int
        A random number of the process.
    """

    instance: Instance = attrs.field(eq=lambda instance: instance.name)
    incarnation: int


@codec.message("rerun.claim_job")
@attrs.frozen
class ClaimJob:
    """Asks a registrar to record the sender as the only holder of a job.

    Sent for each job, so it leaves out what the envelope tells of the sender.

    Attributes
    ----------
    incarnation : int
        Incarnation of the sender as a claimant.
    number : int
        Number of the claim, which no other claim has.
    replaces : int
        Number of a former claim, the runs of whose holder are over; 0 for none.
    is_renewal : bool
        The sender holds the job, and does not wait for a reply.
    """

    job_id: str
    incarnation: int
    number: int
    replaces: int = 0
    is_renewal: bool = False


@codec.message("rerun.job_claimed")
@attrs.frozen
class ClaimReply:
    """The reply to ``ClaimJob``.

    Attributes
    ----------
    claimant : Claimant or None
        The instance that has claimed the job before; None if the sender's claim is recorded, or if
        the job was cancelled.
    is_cancelled : bool
        The caller has cancelled the job.
    number : int
        Number of the former claim, 0 without one.
    """

    claimant: Claimant | None
    is_cancelled: bool
    number: int = 0


@codec.message("rerun.claim_lost")
@attrs.frozen
class ClaimLost:
    """Tells the receiver that another instance has claimed a job in its place.

    Attributes
    ----------
    number : int
        Number of the receiver's claim.
    """

    job_id: str
    number: int


@codec.message("rerun.join_job")
@attrs.frozen
class JoinJob:
    """Asks the claimant of a job for its outcome, because its caller waits at the sender too.

    Attributes
    ----------
    incarnation : int
        Incarnation of the claimant.
    has_parts : bool
        The sender has submitted parts of the job.
    """

    job_id: str
    sender: Claimant
    incarnation: int
    has_parts: bool


@codec.message("rerun.job_joined")
@attrs.frozen
class JoinReply:
    """The reply to ``JoinJob``.

    Attributes
    ----------
    is_held : bool
        The receiver holds the job, or is about to.
    free_in_s : float
        If it does not: after this time all runs that it may have caused are over.
    outcome : Outcome or None
        The final outcome of the job.
    claimant : Claimant or None
        Another instance that holds the job.
    """

    is_held: bool = False
    free_in_s: float = 0.0
    outcome: job.Outcome | None = None
    claimant: Claimant | None = None


@codec.message("rerun.leave_job")
@attrs.frozen
class LeaveJob:
    """The sender's caller no longer waits for a job that the receiver holds."""

    job_id: str
    sender: Instance


@codec.message("rerun.held_job_ended")
@attrs.frozen
class HeldJobEnded:
    """The final outcome of a job, for another instance that waits for it.

    Attributes
    ----------
    incarnation : int
        Incarnation of the sender.
    """

    job_id: str
    incarnation: int
    outcome: job.Outcome


@codec.message("rerun.withdraw")
@attrs.frozen
class Withdraw:
    """Withdraws a part of a job unless it may have started."""

    job_id: str
    part: int
    pool: str


@codec.message("rerun.withdrawn")
@attrs.frozen
class Withdrawn:
    """The reply to ``Withdraw``.

    Attributes
    ----------
    is_withdrawn : bool
        True if the part has not started and never will; false if it is unchanged or unknown.
    has_started : bool
        The part is known to have started.
    """

    is_withdrawn: bool
    has_started: bool = False


@codec.message("rerun.cancel")
@attrs.frozen
class Cancel:
    """Cancels a job at its owner."""

    job_id: str
    sender: Instance


@codec.message("rerun.cancel_held")
@attrs.frozen
class CancelHeld:
    """Forwards a caller's cancellation to the instance that may hold the job."""

    job_id: str


@codec.message("rerun.store_cancellations")
@attrs.frozen
class StoreCancellations:
    """Asks the receiver to store cancellations, because the store rejects the sender."""

    job_ids: tuple[str, ...]


@codec.message("rerun.cancellations_stored")
@attrs.frozen
class CancellationsStored:
    """The reply to ``StoreCancellations``."""

    are_stored: bool


@codec.message("rerun.fetch_cancellations")
@attrs.frozen
class FetchCancellations:
    """Asks for the cancellations that the receiver knows, because the store doesn't answer."""


@codec.message("rerun.known_cancellations")
@attrs.frozen
class KnownCancellations:
    """The reply to ``FetchCancellations``; ``job_ids`` is None if the receiver knows no list."""

    job_ids: tuple[str, ...] | None


@codec.message("rerun.query")
@attrs.frozen
class ContactAgeQuery:
    """Asks for the receiver's last contact with an unresponsive owner."""

    pool: str
    token: int


@codec.message("rerun.query_instance")
@attrs.frozen
class InstanceAgeQuery:
    """Asks for the receiver's last contact with an unresponsive instance."""

    name: str


@codec.message("rerun.instance_age")
@attrs.frozen
class InstanceAge:
    """Seconds since the sender's last contact with an instance, None if it knows of none."""

    sender: str
    age_s: float | None


@codec.message("rerun.heard")
@attrs.frozen
class ContactAge:
    """Seconds since the sender's last contact with the owner, None if it knows no such owner."""

    age_s: float | None


@attrs.frozen
class BalanceMove:
    """Why an owner hands over one of several pools.

    Attributes
    ----------
    pools_per_core : float
        Pools per core that the sender owns after the move.
    """

    pools_per_core: float


@codec.message("rerun.resign")
@attrs.frozen
class Resign:
    """An owner hands its pool over to the receiver, for example at shutdown.

    Attributes
    ----------
    sent_s : float
        When it was sent, by the receiver's clock.  Without a reply the owner goes on or asks
        another instance, so a delayed message must have no effect.
    servers : dict of str to float
        The sender's servers that may have runs, with their estimated speeds.
    balance : BalanceMove or None
        Set if the owner could keep the pool, but the receiver owns fewer; the receiver may decline.
    servers_version : int
        ``PoolReport.servers_version`` of ``servers``.
    earlier_owners : tuple of KnownOwner
        Earlier owners whose servers the sender knows.
    learned : LearnedState or None
        What the owner has learned; None if it shares nothing.
    """

    pool: str
    token: int
    sent_s: float
    servers: dict[str, float]
    balance: BalanceMove | None = None
    servers_version: int = 0
    earlier_owners: tuple[KnownOwner, ...] = ()
    learned: LearnedState | None = None


@codec.message("rerun.resign_answer")
@attrs.frozen
class ResignAnswer:
    """Whether the receiver of ``Resign`` took the pool.

    It declines if it shuts down as well, if the message is late, or if the move would not improve
    the balance of pools.
    """

    is_taken: bool


@codec.message("rerun.fetch")
@attrs.frozen
class FetchDocument:
    """Requests the changes of a shared document from a peer with a newer version.

    Attributes
    ----------
    topic : str
        Name of the document.
    revision : int
        The revision up to which the sender knows it, 0 for none.
    """

    topic: str
    revision: int


@attrs.frozen
class DocumentValue:
    """A key of a shared document; ``content`` is None if it was removed at the revision."""

    key: str
    revision: int
    content: bytes | None


@codec.message("rerun.copy")
@attrs.frozen
class DocumentCopy:
    """A shared document, or its changes since the requested revision.

    Attributes
    ----------
    revision : int
        The sender's revision, 0 if it does not know the document.
    digest : int
        Digest of the sender's whole document.
    age_s : float
        Seconds since the sender's document was known to equal the one in the store.
    is_whole : bool
        Keys that are not in ``values`` do not exist.
    values : tuple of DocumentValue
        All keys, or those that have changed.
    """

    topic: str
    revision: int
    digest: int
    age_s: float
    is_whole: bool
    values: tuple[DocumentValue, ...]
