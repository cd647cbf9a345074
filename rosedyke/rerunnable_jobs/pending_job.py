"""A holder's record of a job and of its parts in pools."""

import attrs

from rosedyke import runtime as runtime_module
from rosedyke.rerunnable_jobs import job


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

    def may_have_run(self) -> bool:
        """Return whether a task of the part may have started."""
        return self.is_sent or self.had_earlier_owner


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
    waiters : int
        Number of caller requests that wait for the job.
    is_withdrawn : bool
        Its parts are being withdrawn, so no part is submitted.
    withdrawals : int
        How often a withdrawal was started.
    refused_by : set of str
        Pools that refused a part of it.
    """

    work: job.Job
    arrived_at: float
    ended: runtime_module.Signal
    unfinished_tasks: set[str]
    parts: dict[int, Part] = attrs.Factory(dict)
    waiters: int = 0
    has_started: bool = False
    is_withdrawn: bool = False
    withdrawals: int = 0
    refused_by: set[str] = attrs.Factory(set)

    def begin_withdrawal(self) -> None:
        """Submit no part until the withdrawal is complete."""
        self.is_withdrawn = True
        self.withdrawals += 1

    def may_have_run(self) -> bool:
        """Return whether any task of the job may have started."""
        return self.has_started or any(part.may_have_run() for part in self.parts.values())
