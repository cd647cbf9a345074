"""What a rerunnable job is, and how one ends."""

import enum

import attrs


@attrs.frozen
class Demand:
    """What a task takes up, or a server offers.

    Attributes
    ----------
    millicores, memory_mb, accelerators : int
        Thousandths of a core, MiB, and whole devices.
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: "Demand") -> "Demand":
        """Return the sum."""
        return Demand(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def fits(self, used: "Demand", capacity: "Demand") -> bool:
        """Return whether this still fits beside what is used."""
        return (
            used.millicores + self.millicores <= capacity.millicores
            and used.memory_mb + self.memory_mb <= capacity.memory_mb
            and used.accelerators + self.accelerators <= capacity.accelerators
        )


@attrs.frozen
class Step:
    """Equal tasks of a job.

    Attributes
    ----------
    count : int
        How many.
    demand : Demand
        Of each.
    estimate_s : float
        The caller's guess of one task's run time on a server of speed 1; often 40% off.
    """

    count: int
    demand: Demand
    estimate_s: float


@attrs.frozen
class Job:
    """A job whose tasks may run again from the start, though never twice at the same time.

    Attributes
    ----------
    id : str
        The caller's name of the job; the same when it is sent again.
    queue : str
        Where it was sent.
    service : str
        Whose servers may run it.
    payload : str
        Handed to each task.
    steps : tuple of Step
        All may run in parallel.
    priority : int
        0 comes first.
    max_attempts : int
        The job has failed when a task of it failed so often.
    objective_s : float
        The response time that its caller hopes for.
    timeout_s : float
        How long its caller waits.
    """

    id: str
    queue: str
    service: str
    payload: str
    steps: tuple[Step, ...]
    priority: int
    max_attempts: int
    objective_s: float
    timeout_s: float

    def task_names(self) -> list[tuple[str, Step]]:
        """Return each task's name with its step, in order."""
        return [
            (f"{self.id}.0.{number}.{index}", step)
            for number, step in enumerate(self.steps)
            for index in range(step.count)
        ]

    def millicores_of(self, tasks: set[str]) -> int:
        """Return what some of its tasks take up together."""
        return sum(step.demand.millicores for name, step in self.task_names() if name in tasks)


def job_id(task: str) -> str:
    """Return the job that a task's name belongs to."""
    return task.partition(".")[0]


class End(enum.Enum):
    """How a job ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"  # a task failed as often as it may
    REFUSED = "refused"  # nothing of it has started or will
    CANCELLED = "cancelled"
    LOST = "lost"  # it may have started; everything of it is over before it may be sent again


@attrs.frozen
class Outcome:
    """A job's final answer.

    Attributes
    ----------
    end : End
        How it ended.
    reason : str
        Why, for the log and the caller; empty for a success.
    retry_after_s : float
        When a refused job may be sent again with some hope.
    """

    end: End
    reason: str = ""
    retry_after_s: float = 0.0
