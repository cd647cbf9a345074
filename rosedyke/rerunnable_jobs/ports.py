"""Interfaces to backend servers and to the platform's directories, with their errors."""

import enum
from collections.abc import Callable
from typing import Protocol

import attrs

from rosedyke import fault
from rosedyke.rerunnable_jobs import job, messages
from rosedyke.scheduling import pool_split


def pool_of(server: "Server", splits: pool_split.Splits = pool_split.NO_SPLITS) -> str:
    """Return the pool of a server: its rack, or a part of it if the rack is split.

    A rack has 6 to 20 servers, few enough for one small instance.  All instances see the same
    racks, so no coordination is needed unless racks are split.
    """
    return pool_split.pool_of(rack_of(server), server.id, splits)


def rack_of(server: "Server") -> str:
    """Return the name of a server's rack, which is also its pool if the rack is not split."""
    return f"{server.data_centre}/{server.rack}"


def data_centre_of(pool: str) -> str:
    """Return the data centre of a pool."""
    return pool.partition("/")[0]


@attrs.frozen
class Server:
    """A backend server's entry in the platform's list.

    Attributes
    ----------
    id : str
        Unique name.
    address : str
        ``ip:port``.
    service : str
        The service whose tasks it runs.
    data_centre, rack : str
        Location, which determines the pool.
    capacity : Demand
        Total resources.  Not enforced by the server, so the owner must not exceed it.
    is_draining : bool
        It shuts down soon and gets no new tasks.
    born_ms : int
        Start time of this incarnation, 0 if unknown.  No run of an earlier incarnation is left.
    kind : str
        Hardware kind, empty if unknown.  Servers of one kind are about equally fast.
    is_evacuated : bool
        Its data centre is being evacuated: it gets no new tasks until the operators end that.
    cold_s : int
        For how much longer it is slow after its start, in whole seconds, so that its entry changes
        rarely.
    """

    id: str
    address: str
    service: str
    data_centre: str
    rack: str
    capacity: job.Demand
    is_draining: bool = False
    born_ms: int = 0
    kind: str = ""
    is_evacuated: bool = False
    cold_s: int = 0


class ServerError(fault.RosedykeError):
    """A command to a backend server failed, or its result is unknown."""

    code = "rerun_server"


class NoReply(ServerError):
    """No reply came; the server may have executed the command or may do so seconds later."""

    code = "rerun_server_no_answer"


class ConnectionFailed(ServerError):
    """The connection failed, so the command was not executed."""

    code = "rerun_server_not_reached"


class RefusalReason(enum.Enum):
    """Why a server refused a command."""

    FENCED = "fenced"  # it has seen a higher fencing token
    OLD_RUN = "old_run"  # a run of that task with this or a higher number has ended there
    LATE = "late"  # the lease had expired when the command arrived
    NO_ROOM = "no_room"
    OTHER_INCARNATION = "other_incarnation"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


class CommandRefused(ServerError):
    """The server refused the command without executing it."""

    code = "rerun_server_refused"

    def __init__(self, reason: RefusalReason, detail: str = ""):
        super().__init__(f"{reason.value} {detail}".strip())
        self.reason = reason


class RunResult(enum.Enum):
    """How a run ended on its server."""

    DONE = "done"
    FAILED = "failed"  # because of the task or the server
    STOPPED = "stopped"  # by a command, an expired lease, or a server shutdown


@attrs.frozen
class ActiveRun:
    """A run in progress in a server's listing; ``percent`` of its work is done."""

    task: str
    run: int
    percent: int


@attrs.frozen
class EndedRun:
    """An ended run in a server's listing; listed again until ``number`` is acknowledged."""

    number: int
    task: str
    run: int
    result: RunResult


@attrs.frozen
class RunListing:
    """All runs in progress on a server, and all unacknowledged ends.

    Attributes
    ----------
    clock_ms : int
        The server's monotonic clock, by which leases expire.
    born_ms : int
        The server's incarnation, 0 if unknown.
    """

    clock_ms: int
    born_ms: int
    running: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]


@attrs.frozen
class StartCommand:
    """The command to start a run.

    Attributes
    ----------
    lease_end_ms : int
        When the lease of all runs on the server expires, by its clock.
    token : int
        The owner's fencing token.
    """

    task: str
    run: int
    payload: str
    lease_end_ms: int
    token: int


class ServerGateway(Protocol):
    """Sends commands to backend servers; the methods raise ``ServerError``."""

    def start(self, server: Server, command: StartCommand, timeout_s: float) -> None:
        """Start a run."""

    def stop(self, server: Server, task: str, run: int, token: int, timeout_s: float) -> None:
        """Stop a run, or prevent it from starting if its start command arrives later."""

    def renew_lease(
        self,
        server: Server,
        token: int,
        acknowledged: int,
        lease_end_ms: int | None,
        wait_s: float,
        timeout_s: float,
    ) -> RunListing:
        """Renew the lease of all runs, acknowledge ends, and return the listing.

        Long poll: returns when a run ends, at the latest after ``wait_s``.
        """

    def disconnect(self, server_id: str) -> None:
        """Close the connections to a server that is no longer listed."""


class CancellationsNotStored(fault.RosedykeError):
    """Cancellations may not have been stored."""

    code = "rerun_cancellations_not_stored"


class CancellationStore(Protocol):
    """Keeps the ids of cancelled jobs when all instances end.

    Attributes
    ----------
    batch_size : int
        Most cancellations in one call of ``write``.
    """

    batch_size: int

    def write(self, job_ids: tuple[str, ...]) -> None:
        """Store cancellations for ``cancellations_kept_s`` or longer.

        Raises
        ------
        CancellationsNotStored
            They may not be stored.
        """

    def subscribe(self, callback: Callable[[frozenset[str]], None]) -> None:
        """Call ``callback(job_ids)`` with all that are stored, after each change and regularly."""


class InstanceDirectory(Protocol):
    """The platform's list of entry instances, and a check whether the platform is reachable."""

    def instances(self) -> tuple[messages.Instance, ...]:
        """Return the last known list, which may be out of date."""

    def can_reach(self) -> bool:
        """Contact the platform and return whether it answered at all, even with an error."""


class ServerRegistry(Protocol):
    """The platform's list of backend servers."""

    def servers(self) -> tuple[Server, ...]:
        """Return the current list."""

    def pool_splits(self) -> pool_split.Splits | None:
        """Return the number of pools of each split rack, None while it is unknown or absent.

        Returns the same object until it changes.
        """

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback()`` after each change; it must not block."""
