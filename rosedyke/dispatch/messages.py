"""Messages between the holder of a job and the owner of a pool of backend servers.

Times are durations, because the instances' clocks need not agree.
"""

import attrs

from rosedyke.configuration import intent
from rosedyke.wire import codec


@attrs.frozen
class Ballot:
    """Numbers the terms of a pool's owners, so that a holder obeys only the newest.

    Compared by term first; two owners can't have the same ballot.
    """

    term: int
    owner: str
    incarnation: int

    def key(self) -> tuple[int, str, int]:
        """Return what ballots are compared by."""
        return (self.term, self.owner, self.incarnation)


@attrs.frozen
class TaskGroup:
    """Waiting tasks of one job that are alike.

    Attributes
    ----------
    task : str
        Name of the task type.
    run_time_s : float
        The declared run time.
    size : Size
        What one of them needs.
    indices : tuple of int
        Their positions in the job.
    """

    task: str
    run_time_s: float
    size: intent.Size
    indices: tuple[int, ...]


@attrs.frozen
class SlotRequest:
    """A holder wants slots for waiting tasks of one job.

    Attributes
    ----------
    number : int
        Unique at the holder and lodged with one owner only, so that a grant for a number that
        the holder has given up is known to be late.  Asking twice changes nothing.
    groups : tuple of TaskGroup
        What waits.
    deadline_left_s : float
        Seconds to the job's deadline.
    """

    number: int
    groups: tuple[TaskGroup, ...]
    deadline_left_s: float


@attrs.frozen
class Release:
    """A holder gives a slot back.

    Attributes
    ----------
    request : int
        The holder's number of the request that the slot was granted for.
    index : int
        The task's position in its job.
    outcome : str
        One of ``slot_lease.Outcome``'s values.
    run_s : float
        Measured run time, 0 when there is none.
    is_leaving : bool
        The server said that it takes no new work.
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
        The holder's number of the request.
    index : int
        The task's position in its job; granted once at most for each number of a request.
    server : str
        Name of the backend server.
    """

    request: int
    index: int
    server: str


@attrs.frozen
class PoolReport:
    """How busy a pool is; rides on replies and on the membership's probes.

    Reference seconds are run times on a server of average speed.

    Attributes
    ----------
    free : tuple of (float, int)
        Free slots by the slowness of their server, fastest first.
    queued_s : float
        Reference seconds of work that waits.
    running_s : float
        Reference seconds of work that runs and is left.
    rate : float
        Reference seconds that the pool works off in a second; 0 when it can't serve.
    slots : int
        Slots that may be used.
    queued_tasks : int
        Tasks that wait.
    room_s : float
        Reference seconds of work that can be added before the job at the queue's end would miss
        its deadline.
    ahead : tuple of (float, float)
        How much of the queued work goes before a new job: for some sizes of job, smallest first,
        the reference seconds that wait in jobs of that size or smaller.
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
        """Return how much queued work goes before a new job of ``work_s`` reference seconds."""
        queued_ahead_s = self.queued_s
        for size_s, ahead_s in reversed(self.ahead):
            if work_s > size_s:
                break
            queued_ahead_s = ahead_s
        return queued_ahead_s


@codec.message("dispatch.exchange")
@attrs.frozen
class Exchange:
    """Everything that a holder has to tell a pool's owner at one moment.

    ``obeys`` is the newest ballot that the holder knows for the pool.
    """

    pool: str
    obeys: Ballot | None = None
    requests: tuple[SlotRequest, ...] = ()
    releases: tuple[Release, ...] = ()
    withdrawn: tuple[int, ...] = ()


@codec.message("dispatch.exchange_reply")
@attrs.frozen
class ExchangeReply:
    """The owner's answer; ``ballot`` is None when it doesn't own the pool.

    ``refused`` names requests that a full queue did not take in.  ``sent_at`` is the owner's clock,
    from which the holder tells how late a later message is.
    """

    ballot: Ballot | None
    grants: tuple[Grant, ...] = ()
    refused: tuple[int, ...] = ()
    report: PoolReport = PoolReport()
    sent_at: float = 0.0


@codec.message("dispatch.grants")
@attrs.frozen
class Grants:
    """Slots that came free later; ``sent_at`` is the owner's clock."""

    pool: str
    ballot: Ballot
    grants: tuple[Grant, ...]
    report: PoolReport = PoolReport()
    sent_at: float = 0.0


@codec.message("dispatch.recover")
@attrs.frozen
class Recover:
    """A new owner asks for the slots that the receiver uses.

    Who answers takes no more grants of an earlier ballot for this pool.
    """

    pool: str
    ballot: Ballot


@attrs.frozen
class HeldSlot:
    """A slot in use, as its holder reports it.

    Attributes
    ----------
    request, index : int
        What the grant was for.
    server, task : str
        Where it runs and what.
    size : Size
        What it needs there.
    run_time_s : float
        The declared run time.
    elapsed_s : float
        Since the grant.
    deadline_left_s : float
        To the job's deadline.
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
    """Slots in use, or the newer ballot that the receiver already obeys."""

    newer: Ballot | None
    held: tuple[HeldSlot, ...] = ()


@codec.message("dispatch.permit")
@attrs.frozen
class Permit:
    """An owner asks a member of another data centre whether it may use that one's servers."""

    pool: str
    ballot: Ballot


@codec.message("dispatch.permit_reply")
@attrs.frozen
class PermitReply:
    """``is_given`` is false under a newer ballot, which is then told, or without the pool."""

    newer: Ballot | None
    is_given: bool


@codec.message("dispatch.audit")
@attrs.frozen
class Audit:
    """An owner asks whether old grants have arrived: ``(request, index)`` each."""

    pool: str
    ballot: Ballot
    leases: tuple[tuple[int, int], ...]


@codec.message("dispatch.audit_reply")
@attrs.frozen
class AuditReply:
    """The grants that the holder does not have and will not use if they still come."""

    missing: tuple[tuple[int, int], ...]


@codec.message("dispatch.stalled")
@attrs.frozen
class Stalled:
    """Tasks, as ``(request, index)``, that their server does not run though no answer came."""

    pool: str
    leases: tuple[tuple[int, int], ...]
