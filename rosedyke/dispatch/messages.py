"""Messages between the holder of a job and the owner of a pool of backend servers.

Deadlines are sent as durations, because the clocks of instances are not synchronised.
"""

import attrs

from rosedyke.configuration import intent
from rosedyke.wire import codec


@attrs.frozen
class Ballot:
    """Fencing token of a pool's owner: holders accept messages only under the newest ballot.

    Ordered by term, then owner and incarnation, so that ballots of different owners differ.
    """

    term: int
    owner: str
    incarnation: int

    def key(self) -> tuple[int, str, int]:
        """Return the sort key."""
        return (self.term, self.owner, self.incarnation)


@attrs.frozen
class TaskGroup:
    """Waiting tasks of one job with the same type, run time and size.

    Attributes
    ----------
    task : str
        Name of the task type.
    run_time_s : float
        The declared run time.
    size : Size
        Resources that each of them needs.
    indices : tuple of int
        Their indices in the job.
    """

    task: str
    run_time_s: float
    size: intent.Size
    indices: tuple[int, ...]


@attrs.frozen
class SlotRequest:
    """A holder's request for slots for waiting tasks of one job.

    Attributes
    ----------
    number : int
        Unique at the holder and sent to one owner only, so that a grant for an abandoned request
        is recognised as stale.  Makes the request idempotent.
    groups : tuple of TaskGroup
        The waiting tasks.
    deadline_left_s : float
        Seconds to the job's deadline.
    """

    number: int
    groups: tuple[TaskGroup, ...]
    deadline_left_s: float


@attrs.frozen
class Release:
    """A holder releases a slot.

    Attributes
    ----------
    request : int
        Number of the request that the slot was granted for.
    index : int
        The task's index in its job.
    outcome : str
        Value of a ``slot_lease.Outcome``.
    run_s : float
        Measured run time, 0 if there is none.
    is_leaving : bool
        The server is shutting down and accepts no new work.
    """

    request: int
    index: int
    outcome: str
    run_s: float = 0.0
    is_leaving: bool = False


@attrs.frozen
class Grant:
    """A slot for one task.

    Attributes
    ----------
    request : int
        Number of the holder's request.
    index : int
        The task's index in its job; granted at most once for each request number.
    server : str
        Name of the backend server.
    """

    request: int
    index: int
    server: str


@attrs.frozen
class PoolReport:
    """Load of a pool, carried by replies and by the membership's probes.

    Reference seconds are run times on a server of average speed.  A server's slowness is its run
    times relative to that average.

    Attributes
    ----------
    free : tuple of (float, int)
        ``(slowness, count)`` of the free slots, fastest first.
    queued_s : float
        Reference seconds of queued work.
    running_s : float
        Remaining reference seconds of running work.
    rate : float
        Throughput in reference seconds per second; 0 if the pool cannot run tasks.
    slots : int
        Usable slots.
    queued_tasks : int
        Number of queued tasks.
    room_s : float
        Reference seconds of work that can be added before the last job in the queue would miss
        its deadline.
    ahead : tuple of (float, float)
        Queued work that precedes a new job: for some job sizes, smallest first, the reference
        seconds queued in jobs of that size or smaller.
    """

    free: tuple[tuple[float, int], ...] = ()
    queued_s: float = 0.0
    running_s: float = 0.0
    rate: float = 0.0
    slots: int = 0
    queued_tasks: int = 0
    room_s: float = 0.0
    ahead: tuple[tuple[float, float], ...] = ()

    def ahead_s(self, work_s: float) -> float:
        """Return the queued work that precedes a new job of ``work_s`` reference seconds."""
        queued_ahead_s = self.queued_s
        for size_s, ahead_s in reversed(self.ahead):
            if work_s > size_s:
                break
            queued_ahead_s = ahead_s
        return queued_ahead_s


@codec.message("dispatch.exchange")
@attrs.frozen
class Exchange:
    """All pending updates of a holder for a pool's owner.

    ``obeys`` is the newest ballot that the holder has accepted for the pool.
    """

    pool: str
    obeys: Ballot | None = None
    requests: tuple[SlotRequest, ...] = ()
    releases: tuple[Release, ...] = ()
    withdrawn: tuple[int, ...] = ()


@codec.message("dispatch.exchange_reply")
@attrs.frozen
class ExchangeReply:
    """The owner's reply; ``ballot`` is None if the receiver does not own the pool.

    ``refused`` lists the numbers of requests refused by a full queue.  ``sent_at`` is the owner's
    clock, from which the holder estimates the delay of later messages.
    """

    ballot: Ballot | None
    grants: tuple[Grant, ...] = ()
    refused: tuple[int, ...] = ()
    report: PoolReport = PoolReport()
    sent_at: float = 0.0


@codec.message("dispatch.grants")
@attrs.frozen
class Grants:
    """Slots granted after the reply to the exchange; ``sent_at`` is the owner's clock."""

    pool: str
    ballot: Ballot
    grants: tuple[Grant, ...]
    report: PoolReport = PoolReport()
    sent_at: float = 0.0


@codec.message("dispatch.recover")
@attrs.frozen
class Recover:
    """A new owner's request for the slots that the receiver uses.

    A receiver that replies accepts no more grants of an earlier ballot for this pool.
    """

    pool: str
    ballot: Ballot


@attrs.frozen
class HeldSlot:
    """A slot in use, as its holder reports it.

    Attributes
    ----------
    request, index : int
        Request number and task index of the grant.
    server, task : str
        Names of the backend server and of the task type.
    size : Size
        Resources that the task needs.
    run_time_s : float
        The declared run time.
    elapsed_s : float
        Seconds since the grant.
    deadline_left_s : float
        Seconds to the job's deadline.
    """

    request: int
    index: int
    server: str
    task: str
    size: intent.Size
    run_time_s: float
    elapsed_s: float
    deadline_left_s: float


@codec.message("dispatch.recover_reply")
@attrs.frozen
class RecoverReply:
    """Slots in use, or the newer ballot that the receiver has already accepted."""

    newer: Ballot | None
    held: tuple[HeldSlot, ...] = ()


@codec.message("dispatch.permit")
@attrs.frozen
class Permit:
    """An owner's request to a member of another data centre for permission to use its servers."""

    pool: str
    ballot: Ballot


@codec.message("dispatch.permit_reply")
@attrs.frozen
class PermitReply:
    """``is_given`` is false if the pool is unknown or ``newer`` was accepted for it."""

    newer: Ballot | None
    is_given: bool


@codec.message("dispatch.audit")
@attrs.frozen
class Audit:
    """An owner's query whether old grants, as ``(request, index)``, have been received."""

    pool: str
    ballot: Ballot
    leases: tuple[tuple[int, int], ...]


@codec.message("dispatch.audit_reply")
@attrs.frozen
class AuditReply:
    """The grants that the holder did not receive and will not use if they arrive later."""

    missing: tuple[tuple[int, int], ...]


@codec.message("dispatch.stalled")
@attrs.frozen
class Stalled:
    """Unanswered tasks, as ``(request, index)``, that their server does not run."""

    pool: str
    leases: tuple[tuple[int, int], ...]
