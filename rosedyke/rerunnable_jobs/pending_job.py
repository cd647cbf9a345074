"""A holder's record of a job and of its parts in pools."""

import attrs

from rosedyke import runtime as runtime_module
from rosedyke.rerunnable_jobs import job, messages, predecessors


@attrs.frozen
class Arrival:
    """How a job's request reached its holder, for the log.

    Attributes
    ----------
    connection_s : float
        Age of the caller's connection.
    request_number : int
        Number of the request on that connection, from 1; 0 if unknown.
    """

    connection_s: float = 0.0
    request_number: int = 0

    def fields(self) -> dict[str, int]:
        """Return the fields of a log entry."""
        return {
            "connection_ms": round(self.connection_s * 1000),
            "request_number": self.request_number,
        }


UNKNOWN_ARRIVAL = Arrival()


@attrs.define(eq=False)
class Part:
    """The tasks of a job that were submitted to one pool.

    Attributes
    ----------
    number : int
        Identifies the part between holder and owner.
    token : int
        Fencing token of the owner that it was sent to.
    sent_at : float
        When it was sent.
    had_earlier_owner : bool
        It was sent to another owner before, so some tasks may have started there.
    former_owners : tuple of FormerOwner
        These owners, but for those whose runs are over.
    moves : int
        How often pools have released its tasks.
    is_sent : bool
        Its submission may have reached the owner.
    """

    number: int
    pool: str
    tasks: set[str]
    token: int = 0
    sent_at: float = 0.0
    had_earlier_owner: bool = False
    is_done: bool = False
    moves: int = 0
    is_sent: bool = True
    former_owners: tuple[predecessors.FormerOwner, ...] = ()

    def may_have_run(self) -> bool:
        """Return whether a task of the part may have started."""
        return self.is_sent or self.had_earlier_owner


@attrs.frozen
class JoinedHolder:
    """Another instance with a caller that waits for a job, and when it last said so."""

    instance: messages.Instance
    renewed_at: float


@attrs.define(eq=False)
class PendingJob:
    """One job that a caller waits for.

    Attributes
    ----------
    unfinished_tasks : set of str
        Tasks that no owner has reported as done.  Includes tasks that are being moved between
        pools and belong to no part.
    parts : dict of int to Part
        Submitted parts by number; empty while no pool has an owner.
    has_started : bool
        An owner reported that a task of the job has started.
    callers : set of int
        Numbers of the requests whose callers wait for the job here.
    is_withdrawn : bool
        Its parts are being withdrawn, so no part is submitted.
    withdrawals : int
        How often a withdrawal was started.
    refused_by : set of str
        Pools that refused a part of it.
    arrival : Arrival
        How its first request arrived.
    is_limited : bool
        It has less time than its caller gave it, because the instance shuts down.
    stall_s : float
        Longest delay of the event loop in the second before that.
    is_claimed : bool
        This instance is its only holder and may submit it.
    claim_number : int
        Number of its last claim.
    claimed_at : float
        When its claim was last sent.
    claimed_alone_at : float or None
        When it was claimed although no other instance answered, None if one has.
    joined : dict of str to JoinedHolder
        Other holders that wait for its outcome.
    joined_to : Claimant or None
        The holder whose outcome this one waits for.
    yields_to : Claimant or None
        The holder that claimed the job at the same time and goes on.
    """

    work: job.Job
    arrived_at: float
    ended: runtime_module.Signal
    unfinished_tasks: set[str]
    parts: dict[int, Part] = attrs.Factory(dict)
    callers: set[int] = attrs.Factory(set)
    has_started: bool = False
    is_withdrawn: bool = False
    withdrawals: int = 0
    refused_by: set[str] = attrs.Factory(set)
    arrival: Arrival = UNKNOWN_ARRIVAL
    is_limited: bool = False
    stall_s: float = 0.0
    is_claimed: bool = False
    claim_number: int = 0
    claimed_at: float = 0.0
    claimed_alone_at: float | None = None
    joined: dict[str, JoinedHolder] = attrs.Factory(dict)
    joined_to: messages.Claimant | None = None
    yields_to: messages.Claimant | None = None

    def begin_withdrawal(self) -> None:
        """Submit no part until the withdrawal is complete."""
        self.is_withdrawn = True
        self.withdrawals += 1

    def may_have_run(self) -> bool:
        """Return whether any task of the job may have started."""
        return self.has_started or any(part.may_have_run() for part in self.parts.values())
