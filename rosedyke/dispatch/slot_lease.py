"""A lease on one slot of a backend server, and how it can end."""

import enum
import typing

import attrs

from rosedyke.configuration import intent
from rosedyke.wire import peer


class Outcome(enum.Enum):
    """What became of the task that a lease was for."""

    DONE = "done"
    FAILED = "failed"  # it ran and answered with an error
    UNUSED = "unused"  # never sent
    REFUSED = "refused"  # the server answered that it did not start the task
    UNREACHED = "unreached"  # no connection could be made
    LOST = "lost"  # sent, and the connection broke; the server may still run it
    LATE = "late"  # sent, and its time was over; the server may still run it


# After these nobody but the server knows when the slot is free.
UNKNOWN_OUTCOMES = frozenset({Outcome.LOST, Outcome.LATE})


class LeaseKey(typing.NamedTuple):
    """What names a lease: who holds it and what for."""

    holder: str
    incarnation: int
    request: int
    index: int


@attrs.frozen
class Lease:
    """One slot, reserved for one task of one holder.

    The holder, its number of the request and the task's index name a lease for ever, since a
    request's task is granted once at most.

    Attributes
    ----------
    server : str
        Name of the backend server.
    holder : Peer
        The instance that sends the task.
    request : int
        The holder's number of the request.
    index : int
        The task's position in its job.
    task : str
        Name of the task type.
    size : Size
        What it needs there.
    run_time_s : float
        The declared run time.
    granted_at : float
        Monotonic seconds.
    expected_s : float
        Expected run time on this server.
    deadline : float
        When the job ends whatever happens; the lease outlives it by a margin.
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
        """What names the lease."""
        return LeaseKey(self.holder.name, self.holder.incarnation, self.request, self.index)

    def remaining_s(self, now: float) -> float:
        """Return the expected seconds until the slot is free.

        A task that has outrun its expectation is taken to need half as long again as it has
        already taken, because the long ones are the ones still running.
        """
        elapsed_s = now - self.granted_at
        return max(
            self.expected_s - elapsed_s, elapsed_s / 2 if elapsed_s > self.expected_s else 0.0
        )
