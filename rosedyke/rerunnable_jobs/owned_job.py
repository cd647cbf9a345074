"""A pool owner's record of a job, or of the part of one that the pool runs."""

import enum

import attrs

from rosedyke.rerunnable_jobs import job, messages, predecessors, settings
from rosedyke.scheduling import queue_order


class TaskState(enum.Enum):
    """State of a task."""

    WAITING = "waiting"
    PLACED = "placed"  # a server may be running it
    DONE = "done"


@attrs.define(eq=False)
class OwnedTask:
    """One task.

    Attributes
    ----------
    name : str
        Name of the task.
    run_number : int
        Number of its last run; numbers increase.
    failures : int
        Number of failed runs.
    server_id : str
        Server of the last run.
    failed_on : set of str
        Servers on which it failed or stalled; others are preferred.
    discarded_runs : int
        Number of runs whose start command was not sent or not executed.
    """

    name: str
    step: job.Step
    state: TaskState = TaskState.WAITING
    run_number: int = 0
    failures: int = 0
    server_id: str = ""
    failed_on: set[str] = attrs.Factory(set)
    discarded_runs: int = 0

    def may_have_started(self) -> bool:
        """Return whether any of its runs may have started."""
        return self.run_number > self.discarded_runs


@attrs.define(eq=False)
class OwnedJob:
    """One job, or a part of one.

    Attributes
    ----------
    work : Job
        The submitted job.
    part : int
        Number of the part.
    holder : Instance
        The instance that answers the caller.
    arrived_at : float
        When the holder received the job, on the local clock.
    renewed_at : float
        When the last renewal by the holder arrived.
    heard_at : float
        When the holder sent the last renewal, on the local clock; it was alive then.
    may_have_run : bool
        An earlier owner had it.  Tasks that were not found on any server wait until every server
        has listed its runs or its lease has expired.
    former_owners : tuple of FormerOwner
        The earlier owners whose runs may not be over.
    has_started : bool
        A start command for one of its tasks was sent, here or possibly by another owner.
    moves : int
        How often its tasks were released by pools.
    has_started_elsewhere : bool
        A start command may have been sent for one of its tasks by another owner, for an earlier
        submission, or for a task that was released since.
    was_held : bool
        Its tasks have waited for the owner's link.
    """

    work: job.Job
    part: int
    holder: messages.Instance
    arrived_at: float
    renewed_at: float
    heard_at: float
    may_have_run: bool
    tasks: dict[str, OwnedTask]
    has_started: bool = False
    moves: int = 0
    has_started_elsewhere: bool = False
    was_held: bool = False
    former_owners: tuple[predecessors.FormerOwner, ...] = ()

    @classmethod
    def from_message(cls, message: messages.Submit, now: float) -> "OwnedJob":
        """Return the owned job for a submission."""
        included = set(message.tasks)
        tasks = {
            name: OwnedTask(name, step)
            for name, step in message.work.named_steps()
            if name in included
        }
        return cls(
            message.work,
            message.part,
            message.holder,
            now - message.age_s,
            now,
            min(now, message.sent_s),
            message.may_have_run,
            tasks,
            message.may_have_run or message.has_started,
            message.moves,
            message.may_have_run or message.has_started,
            former_owners=predecessors.from_message(message, now),
        )

    def discard_run(self, task: OwnedTask) -> None:
        """Record that a run of a task was proved not to have started."""
        task.discarded_runs += 1
        self.has_started = self.has_started_elsewhere or any(
            task.may_have_started() for task in self.tasks.values()
        )

    def renew(self, now: float, sent_at: float) -> None:
        """Record that a renewal, or another submission, has arrived from the holder.

        Parameters
        ----------
        sent_at : float
            When it was sent, on the local clock.
        """
        self.renewed_at = now
        self.heard_at = max(self.heard_at, min(now, sent_at))

    def record_earlier_runs(self, message: messages.Submit, now: float) -> None:
        """Record what another holder's submission of the same tasks says about earlier runs."""
        may_have_started = message.may_have_run or message.has_started
        self.has_started |= may_have_started
        self.has_started_elsewhere |= may_have_started
        if message.may_have_run:
            # That holder has renewed its part with an earlier owner until now.
            self.may_have_run = True
            self.former_owners += predecessors.from_message(message, now)

    def may_start(self, now: float, timing: settings.RerunSettings) -> bool:
        """Return whether the holder was heard from recently enough to start a task.

        The lease on a server is never shortened, so a new run there may continue for all of it.
        """
        return now + timing.lease_s <= self.heard_at + timing.holder_lease_s

    @property
    def key(self) -> messages.PartKey:
        """The key by which holder and owner identify it."""
        return (self.work.id, self.part)

    @property
    def due_at(self) -> float:
        """The time at which it misses its objective."""
        return self.arrived_at + self.work.objective_s

    def queued(self, fastest: float, millicores: int = 0) -> queue_order.QueuedJob:
        """Return what the order of the job depends on.

        Parameters
        ----------
        fastest : float
            Speed of the fastest server.  A job is late if even that server cannot meet its
            objective.
        millicores : int
            Demand of its waiting tasks, needed for fair shares only.
        """
        longest_s = max((step.estimate_s for step in self.work.steps), default=0.0)
        return queue_order.QueuedJob(
            self,
            self.work.queue,
            self.work.priority,
            self.due_at - longest_s / fastest,
            self.has_started,
            millicores,
        )

    def waiting_millicores(self) -> int:
        """Return the demand of the waiting tasks."""
        return sum(
            task.step.demand.millicores
            for task in self.tasks.values()
            if task.state is TaskState.WAITING
        )

    def waiting_tasks(self) -> list[OwnedTask]:
        """Return the tasks that are not placed, longest first."""
        waiting = [task for task in self.tasks.values() if task.state is TaskState.WAITING]
        return sorted(waiting, key=lambda task: -task.step.estimate_s)

    def has_waiting_tasks(self) -> bool:
        """Return whether any task is not placed."""
        # Called for every job on each pass of the scheduler; a generator takes twice as long.
        for task in self.tasks.values():  # noqa: SIM110
            if task.state is TaskState.WAITING:
                return True
        return False

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
    """The outcome of a finished job, kept for a holder that missed the message."""

    outcome: job.Outcome
    tasks: tuple[str, ...]
    expires_at: float

    def covers(self, message: messages.Submit) -> bool:
        """Return whether the outcome also answers a resubmission of the job."""
        if not set(self.tasks) >= set(message.tasks):
            return False
        return message.may_have_run or self.outcome.end is job.EndState.SUCCEEDED
