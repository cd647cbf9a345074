"""What owners ask of backend servers that run tasks under leases, and how that may fail."""

import enum
from collections.abc import Callable
from typing import Protocol

import attrs

from rosedyke import fault
from rosedyke.rerun import job, messages


def pool_of(server: "Server") -> str:
    """Return the pool of a server: its rack.

    A rack holds 6 to 20 servers, few enough for one small instance to look after; every instance
    sees the same racks, so nothing has to be agreed.
    """
    return f"{server.data_centre}/{server.rack}"


def data_centre_of(pool: str) -> str:
    """Return the data centre of a pool."""
    return pool.partition("/")[0]


@attrs.frozen
class Server:
    """A backend server as the platform lists it.

    Attributes
    ----------
    id : str
        Its name.
    address : str
        ``ip:port``.
    service : str
        Whose tasks it runs.
    data_centre, rack : str
        Where it is; together they name its pool.
    capacity : Demand
        What it offers; it may start more if told to, so the owner keeps the bound.
    is_draining : bool
        It leaves soon and gets no new tasks.
    born_ms : int
        When this incarnation started, 0 if unknown.  Nothing of an earlier one is left.
    kind : str
        Servers of one kind are about equally fast; empty if unknown.
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


class ServerError(fault.RosedykeError):
    """An order to a backend server was not carried out, or nobody knows."""

    code = "rerun_server"


class NoAnswer(ServerError):
    """No answer came; the order may have been carried out, or may still be, seconds later."""

    code = "rerun_server_no_answer"


class NotReached(ServerError):
    """No connection was made, so the order certainly was not carried out."""

    code = "rerun_server_not_reached"


class Refusal(enum.Enum):
    """Why a server did not carry out an order."""

    FENCED = "fenced"  # it has seen a higher fencing token
    OLD_RUN = "old_run"  # a run of that task with this number or a higher one has ended there
    LATE = "late"  # the lease had ended when the order came
    NO_ROOM = "no_room"
    OTHER_INCARNATION = "other_incarnation"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


class Refused(ServerError):
    """The server answered that it did nothing."""

    code = "rerun_server_refused"

    def __init__(self, reason: Refusal, detail: str = ""):
        super().__init__(f"{reason.value} {detail}".strip())
        self.reason = reason


class RunEnd(enum.Enum):
    """How a run ended on its server."""

    DONE = "done"
    FAILED = "failed"  # by its own fault or the server's
    STOPPED = "stopped"  # by an order, its lease, or the end of the server


@attrs.frozen
class Running:
    """A run that a server lists as under way; ``percent`` of its work is done."""

    task: str
    run: int
    percent: int


@attrs.frozen
class Ended:
    """A run that a server lists as over; it lists it again until ``number`` is acknowledged."""

    number: int
    task: str
    run: int
    how: RunEnd


@attrs.frozen
class Listing:
    """All that runs on a server, and all ends that were not acknowledged.

    Attributes
    ----------
    clock_ms : int
        The server's steady clock, on which leases are counted.
    born_ms : int
        The server's incarnation, 0 if it doesn't say.
    """

    clock_ms: int
    born_ms: int
    running: tuple[Running, ...]
    ended: tuple[Ended, ...]


@attrs.frozen
class Start:
    """The order to start a run.

    Attributes
    ----------
    lease_end_ms : int
        On the server's clock; holds for all that runs there.
    token : int
        The owner's fencing token.
    """

    task: str
    run: int
    payload: str
    lease_end_ms: int
    token: int


class Servers(Protocol):
    """Orders to backend servers; every method raises a ``ServerError``."""

    def start(self, server: Server, order: Start, timeout_s: float) -> None:
        """Start a run."""

    def stop(self, server: Server, task: str, run: int, token: int, timeout_s: float) -> None:
        """End a run, or keep one from starting that has not arrived yet."""

    def hold(
        self,
        server: Server,
        token: int,
        acknowledged: int,
        lease_end_ms: int | None,
        wait_s: float,
        timeout_s: float,
    ) -> Listing:
        """Renew the lease of all that runs there, acknowledge ends, and return the listing.

        The answer comes once a run ends, at the latest after ``wait_s``.
        """

    def forget(self, server_id: str) -> None:
        """Close what is open to a server that is gone."""


class Directory(Protocol):
    """The platform's list of entry instances, and whether the platform can be reached."""

    def instances(self) -> tuple[messages.Instance, ...]:
        """Return the present list, which may be out of date."""

    def can_reach(self) -> bool:
        """Ask the platform now and return whether it answered, if only with a refusal."""


class Registry(Protocol):
    """The platform's list of backend servers."""

    def servers(self) -> tuple[Server, ...]:
        """Return the present list."""

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback()`` after each change; it must not block."""
