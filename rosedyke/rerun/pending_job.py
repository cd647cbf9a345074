"""A job, and the parts of it that pools run, as its holder keeps them."""

import attrs

from rosedyke import runtime as runtime_module
from rosedyke.rerun import job


@attrs.define(eq=False)
class Part:
    """Tasks of a job that one pool runs.

    Attributes
    ----------
    number : int
        Its name between holder and owner.
    token : int
        Of the owner that they were sent to.
    sent_at : float
        When.
    had_earlier_owner : bool
        An owner had them before this one, so some may have started even if this one did nothing.
    moves : int
        How often a pool has released them.
    """

    number: int
    pool: str
    tasks: set[str]
    token: int = 0
    sent_at: float = 0.0
    had_earlier_owner: bool = False
    is_done: bool = False
    moves: int = 0


@attrs.define(eq=False)
class PendingJob:
    """One job that a caller waits for.

    Attributes
    ----------
    unfinished_tasks : set of str
        Tasks that no owner has reported done.  Only these tell whether the job is done: tasks on
        their way between two pools are in no part.
    parts : dict of int to Part
        By number; empty while no pool has an owner.
    has_started : bool
        An owner said that something of the job has started.
    waiters : int
        Requests of callers that wait for it.
    is_withdrawn : bool
        Its parts are being taken back, so none is handed to an owner meanwhile.
    withdrawals : int
        How often that was begun.
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

    def may_have_run(self) -> bool:
        """Return whether something of the job may have started."""
        return self.has_started or bool(self.parts)
