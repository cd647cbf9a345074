"""Rerunnable jobs and their outcomes."""

import enum

import attrs


@attrs.frozen
class Demand:
    """Resources that a task needs or a server has.

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
        """Return whether this demand fits into the remaining capacity."""
        return (
            used.millicores + self.millicores <= capacity.millicores
            and used.memory_mb + self.memory_mb <= capacity.memory_mb
            and used.accelerators + self.accelerators <= capacity.accelerators
        )


@attrs.frozen
class Step:
    """A group of identical tasks of a job.

    Attributes
    ----------
    count : int
        Number of tasks.
    demand : Demand
        Resources of each task.
    estimate_s : float
        The caller's estimate of a task's run time on a server of speed 1; may be 40% off.
    """

    count: int
    demand: Demand
    estimate_s: float


@attrs.frozen
class Job:
    """A job whose tasks may run again from the start, but never twice at the same time.

    Attributes
    ----------
    id : str
        The caller's id of the job; unchanged when the job is resubmitted.
    queue : str
        The queue that it was submitted to.
    service : str
        The service whose servers run it.
    payload : str
        Passed to each task.
    steps : tuple of Step
        Groups of tasks; all may run in parallel.
    priority : int
        0 is the highest.
    max_attempts : int
        The job fails when one of its tasks has failed this many times.
    objective_s : float
        Response time objective.
    timeout_s : float
        How long the caller waits.
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

    def named_steps(self) -> list[tuple[str, Step]]:
        """Return each task's name with its step, in order."""
        return [
            (f"{self.id}.0.{number}.{index}", step)
            for number, step in enumerate(self.steps)
            for index in range(step.count)
        ]

    def millicores_of(self, tasks: set[str]) -> int:
        """Return the total demand of some of the tasks."""
        return sum(step.demand.millicores for name, step in self.named_steps() if name in tasks)


def job_id(task: str) -> str:
    """Return the job id in a task's name."""
    return task.partition(".")[0]


class EndState(enum.Enum):
    """How a job ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"  # a task used up its attempts
    REFUSED = "refused"  # no task has started or will start
    CANCELLED = "cancelled"
    LOST = "lost"  # tasks may have run, but are over before the caller may resubmit


@attrs.frozen
class Outcome:
    """The final result of a job.

    Attributes
    ----------
    end : EndState
        How the job ended.
    reason : str
        Explanation for the log and the caller; empty for a success.
    retry_after_s : float
        Suggested delay before a refused job is resubmitted.
    """

    end: EndState
    reason: str = ""
    retry_after_s: float = 0.0


CANCELLED_BY_CALLER = Outcome(EndState.CANCELLED, "a caller cancelled it")
