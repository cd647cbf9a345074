"""A job, or the part of one that a pool runs, as the pool's owner keeps it."""

import enum

import attrs

from rosedyke.rerun import job, messages


class TaskState(enum.Enum):
    """Where a task of an owned job is."""

    WAITING = "waiting"
    PLACED = "placed"  # a server may be running it
    DONE = "done"


@attrs.define(eq=False)
class OwnedTask:
    """One task.

    Attributes
    ----------
    name : str
        Its name on the servers.
    run : int
        The number of its last run; a new one is higher.
    failures : int
        Runs that failed.
    server_id : str
        Where it was placed last.
    failed_on : set of str
        Servers where it failed or stood still; others are tried first.
    """

    name: str
    step: job.Step
    state: TaskState = TaskState.WAITING
    run: int = 0
    failures: int = 0
    server_id: str = ""
    failed_on: set[str] = attrs.Factory(set)


@attrs.define(eq=False)
class OwnedJob:
    """One job, or a part of one.

    Attributes
    ----------
    work : Job
        What was submitted.
    part : int
        Which part of it.
    holder : Instance
        Who answers the caller.
    arrived_at : float
        When the holder got it, on the own clock.
    renewed_at : float
        When the holder last said that it is wanted.
    may_have_run : bool
        An earlier owner had it.  Tasks that were not found on any server wait until every
        server has shown its runs or its leases are over.
    has_started : bool
        An order for one of its tasks has left, here or, perhaps, at another owner.
    moves : int
        How often its tasks were released by a pool before.
    """

    work: job.Job
    part: int
    holder: messages.Instance
    arrived_at: float
    renewed_at: float
    may_have_run: bool
    tasks: dict[str, OwnedTask]
    has_started: bool = False
    moves: int = 0

    @classmethod
    def from_message(cls, message: messages.Submit, now: float) -> "OwnedJob":
        """Return the job of a message."""
        included = set(message.tasks)
        tasks = {
            name: OwnedTask(name, step)
            for name, step in message.work.task_names()
            if name in included
        }
        return cls(
            message.work,
            message.part,
            message.holder,
            now - message.age_s,
            now,
            message.may_have_run,
            tasks,
            message.may_have_run or message.has_started,
            message.moves,
        )

    @property
    def key(self) -> messages.PartKey:
        """Its name between holder and owner."""
        return (self.work.id, self.part)

    @property
    def due_at(self) -> float:
        """When its caller hopes for the answer."""
        return self.arrived_at + self.work.objective_s

    def waiting_tasks(self) -> list[OwnedTask]:
        """Return the tasks that no server has, the longest first."""
        waiting = [task for task in self.tasks.values() if task.state is TaskState.WAITING]
        return sorted(waiting, key=lambda task: -task.step.estimate_s)

    def has_waiting_tasks(self) -> bool:
        """Return whether there is a task that no server has."""
        return any(task.state is TaskState.WAITING for task in self.tasks.values())

    def is_done(self) -> bool:
        """Return whether every task is done."""
        return all(task.state is TaskState.DONE for task in self.tasks.values())

    def waiting_core_s(self) -> float:
        """Return the estimated core-seconds of the waiting tasks."""
        return sum(
            task.step.estimate_s * task.step.demand.millicores / 1000
            for task in self.tasks.values()
            if task.state is TaskState.WAITING
        )


@attrs.define
class FinishedJob:
    """How an ended job ended, for a holder that missed it."""

    outcome: job.Outcome
    tasks: tuple[str, ...]
    expires_at: float

    def covers(self, message: messages.Submit) -> bool:
        """Return whether this answers a submission of the same job."""
        if not set(self.tasks) >= set(message.tasks):
            return False
        return message.may_have_run or self.outcome.end is job.End.SUCCEEDED
