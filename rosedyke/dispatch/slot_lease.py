"""A lease on one slot of a backend server, and its outcomes."""

import enum
import typing

import attrs

from rosedyke.configuration import intent
from rosedyke.wire import peer


class Outcome(enum.Enum):
    """Outcome of the task that a lease was granted for."""

    DONE = "done"
    FAILED = "failed"  # the server ran it and returned an error
    UNUSED = "unused"  # never sent
    REFUSED = "refused"  # the server replied that it did not start the task
    UNREACHED = "unreached"  # no connection could be made
    LOST = "lost"  # sent, then the connection broke; the server may still run it
    LATE = "late"  # sent, then timed out; the server may still run it


# Outcomes after which only the server knows whether the slot is in use.
UNKNOWN_OUTCOMES = frozenset({Outcome.LOST, Outcome.LATE})


class LeaseKey(typing.NamedTuple):
    """Identifies a lease by its holder, request and task."""

    holder: str
    incarnation: int
    request: int
    index: int


@attrs.frozen
class Lease:
    """One slot, reserved for one task of one holder.

    The holder, request number and task index identify a lease permanently, because each task of
    a request is granted at most once.

    Attributes
    ----------
    server : str
        Name of the backend server.
    holder : Peer
        The instance that sends the task.
    request : int
        Number of the holder's request.
    index : int
        The task's index in its job.
    task : str
        Name of the task type.
    size : Size
        Resources that the task needs.
    run_time_s : float
        The declared run time.
    granted_at : float
        Monotonic seconds.
    expected_s : float
        Expected run time on this server.
    deadline : float
        Monotonic seconds at which the job ends; the lease expires a margin later.
    """

    server: str
    holder: peer.Peer
    request: int
    index: int
    task: str
    size: intent.Size
    run_time_s: float
    granted_at: float
    expected_s: float
    deadline: float

    @property
    def key(self) -> "LeaseKey":
        """The lease's identifier."""
        return LeaseKey(self.holder.name, self.holder.incarnation, self.request, self.index)

    def remaining_s(self, now: float) -> float:
        """Return the expected seconds until the slot is free.

        A task that has exceeded its expected run time is estimated to need another half of its
        elapsed time, because long tasks are over-represented among those still running.
        """
        elapsed_s = now - self.granted_at
        return max(
            self.expected_s - elapsed_s, elapsed_s / 2 if elapsed_s > self.expected_s else 0.0
        )
