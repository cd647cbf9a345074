"""Open-loop workload: job arrivals on a schedule that does not depend on response times."""

import math
import random

import attrs


@attrs.frozen
class JobKind:
    """A kind of job in a workload.

    Attributes
    ----------
    share : float
        Fraction of all jobs.
    task_range : (int, int)
        Smallest and largest number of tasks, drawn uniformly.
    task_type : str
        Name of the task type.
    run_s : float
        Median run time at speed 1.
    """

    share: float
    task_range: tuple[int, int]
    task_type: str
    run_s: float


@attrs.frozen
class Scenario:
    """Workload and topology of one team.

    Attributes
    ----------
    name : str
        Key in the results.
    kinds : tuple of JobKind
        Job kinds in the mix.
    sigma : float
        Standard deviation of the logarithm of a task's run time.
    long_share, long_factor : float
        Fraction of tasks that run longer than declared, and by which factor.
    data_centres, servers, slots : int
        Number of data centres, of servers, and of slots per server.
    network_delay_s : float
        One-way network delay between data centres.
    """

    name: str
    kinds: tuple[JobKind, ...]
    sigma: float = 0.25
    long_share: float = 0.0
    long_factor: float = 10.0
    data_centres: int = 3
    servers: int = 24
    slots: int = 8
    network_delay_s: float = 0.0015

    def mean_work_s(self) -> float:
        """Return the mean total run time of a job's tasks at speed 1."""
        mean_factor = math.exp(self.sigma**2 / 2)
        long_task_factor = 1 + self.long_share * (self.long_factor - 1)
        median_work_s = sum(
            kind.share * (kind.task_range[0] + kind.task_range[1]) / 2 * kind.run_s
            for kind in self.kinds
        )
        return median_work_s * mean_factor * long_task_factor


@attrs.frozen
class Arrival:
    """The arrival of one job.

    Attributes
    ----------
    due_s : float
        Scheduled arrival time.
    kind : JobKind
        Kind of the job.
    run_s : tuple of float
        Actual run time of each task at speed 1.
    """

    due_s: float
    kind: JobKind
    run_s: tuple[float, ...]


def server_speeds(
    scenario: Scenario, seed: int, low: float = 1.0, high: float = 8.0
) -> list[float]:
    """Return server speeds, evenly spaced on a logarithmic scale and shuffled."""
    steps = max(1, scenario.servers - 1)
    speeds = [low * (high / low) ** (index / steps) for index in range(scenario.servers)]
    random.Random(seed).shuffle(speeds)
    return speeds


def poisson_arrivals(scenario: Scenario, rate: float, length_s: float, seed: int) -> list[Arrival]:
    """Return Poisson arrivals at ``rate`` jobs per second."""
    rng = random.Random(seed)
    arrivals = []
    due_s = rng.expovariate(rate)
    weights = [kind.share for kind in scenario.kinds]
    while due_s < length_s:
        kind = rng.choices(scenario.kinds, weights)[0]
        count = rng.randint(*kind.task_range)
        run_s = tuple(draw_run_time_s(scenario, kind, rng) for _ in range(count))
        arrivals.append(Arrival(due_s, kind, run_s))
        due_s += rng.expovariate(rate)
    return arrivals


def draw_run_time_s(scenario: Scenario, kind: JobKind, rng: random.Random) -> float:
    """Draw the actual run time of one task at speed 1."""
    run_s = kind.run_s * math.exp(rng.gauss(0.0, scenario.sigma))
    if rng.random() < scenario.long_share:
        run_s *= scenario.long_factor
    return run_s


# Basket tags in small jobs, day tallies in large jobs, and moisture grades.
WEIGHBRIDGE = Scenario(
    "weighbridge",
    (
        JobKind(0.80, (1, 3), "tag", 0.3),
        JobKind(0.05, (40, 300), "tally", 0.4),
        JobKind(0.15, (2, 12), "grade", 1.5),
    ),
)
# Three kinds of checks in small to medium jobs.
PRESS_LINE = Scenario(
    "press-line",
    (
        JobKind(0.70, (1, 2), "window-cut", 0.25),
        JobKind(0.20, (4, 16), "seal-strength", 1.0),
        JobKind(0.10, (20, 120), "gum-line", 0.5),
    ),
    data_centres=4,
    network_delay_s=0.0005,
)
SCENARIOS = {scenario.name: scenario for scenario in (WEIGHBRIDGE, PRESS_LINE)}
