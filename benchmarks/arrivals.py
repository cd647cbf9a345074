"""Jobs that arrive on their own schedule, whatever the system does with them (open loop)."""

import math
import random

import attrs


@attrs.frozen
class Kind:
    """A kind of job.

    Attributes
    ----------
    share : float
        Of all jobs.
    tasks : (int, int)
        Fewest and most tasks, drawn evenly.
    task : str
        The task type.
    run_s : float
        Median run time at speed 1.
    """

    share: float
    tasks: tuple[int, int]
    task: str
    run_s: float


@attrs.frozen
class Scenario:
    """One user's load.

    Attributes
    ----------
    name : str
        For the results.
    kinds : tuple of Kind
        What arrives.
    sigma : float
        Spread of a task's run time around the median (standard deviation of its logarithm).
    long_share, long_factor : float
        Tasks that run so many times longer than declared.
    data_centres, servers, slots : int
        The size.
    trip_s : float
        One way between data centres.
    """

    name: str
    kinds: tuple[Kind, ...]
    sigma: float = 0.25
    long_share: float = 0.0
    long_factor: float = 10.0
    data_centres: int = 3
    servers: int = 24
    slots: int = 8
    trip_s: float = 0.0015

    def work_s(self) -> float:
        """Return the mean work of a job at speed 1."""
        spread = math.exp(self.sigma**2 / 2)
        longer = 1 + self.long_share * (self.long_factor - 1)
        mean = sum(k.share * (k.tasks[0] + k.tasks[1]) / 2 * k.run_s for k in self.kinds)
        return mean * spread * longer


@attrs.frozen
class Arrival:
    """One job.

    Attributes
    ----------
    due_s : float
        When it arrives.
    kind : Kind
        What it is.
    run_s : tuple of float
        True run time of each task at speed 1.
    """

    due_s: float
    kind: Kind
    run_s: tuple[float, ...]


def speeds_of(scenario: Scenario, seed: int, low: float = 1.0, high: float = 8.0) -> list[float]:
    """Return the servers' speeds, spread evenly on a logarithmic scale and shuffled."""
    steps = max(1, scenario.servers - 1)
    speeds = [low * (high / low) ** (number / steps) for number in range(scenario.servers)]
    random.Random(seed).shuffle(speeds)
    return speeds


def draw(scenario: Scenario, rate: float, length_s: float, seed: int) -> list[Arrival]:
    """Return Poisson arrivals at ``rate`` jobs a second."""
    source = random.Random(seed)
    arrivals = []
    due_s = source.expovariate(rate)
    weights = [kind.share for kind in scenario.kinds]
    while due_s < length_s:
        kind = source.choices(scenario.kinds, weights)[0]
        count = source.randint(*kind.tasks)
        run_s = tuple(run_time_s(scenario, kind, source) for _ in range(count))
        arrivals.append(Arrival(due_s, kind, run_s))
        due_s += source.expovariate(rate)
    return arrivals


def run_time_s(scenario: Scenario, kind: Kind, source: random.Random) -> float:
    """Return one task's true run time at speed 1."""
    run_s = kind.run_s * math.exp(source.gauss(0.0, scenario.sigma))
    if source.random() < scenario.long_share:
        run_s *= scenario.long_factor
    return run_s


# The weighbridge: baskets tagged one at a time, day tallies of many, moisture grades.
WEIGHBRIDGE = Scenario(
    "weighbridge",
    (
        Kind(0.80, (1, 3), "tag", 0.3),
        Kind(0.05, (40, 300), "tally", 0.4),
        Kind(0.15, (2, 12), "grade", 1.5),
    ),
)
# The press line: three checks in small jobs, and approvals before a run.
PRESS_LINE = Scenario(
    "press-line",
    (
        Kind(0.70, (1, 2), "window-cut", 0.25),
        Kind(0.20, (4, 16), "seal-strength", 1.0),
        Kind(0.10, (20, 120), "gum-line", 0.5),
    ),
    data_centres=4,
    trip_s=0.0005,
)
SCENARIOS = {one.name: one for one in (WEIGHBRIDGE, PRESS_LINE)}
