"""Exploring the orders of steps and faults that a scenario can take.

A scenario asks ``Choices`` wherever something else could happen: a message lost or late, a crash
between two steps, another task first.  Its first option is the undisturbed course.  The explorer
runs a scenario with every set of up to ``depth`` other options, and by seeded random walks with
more.  A run is named by its choices and can be repeated from them.
"""

import random
from collections.abc import Callable, Iterator

import attrs


class Choices:
    """Decides at each point of one run, and remembers what could have been decided.

    Parameters
    ----------
    fixed : dict of int to int
        Options other than the first, by the number of the point.
    seed : int or None
        Of a random walk; None takes the first option at every other point.
    rate : float
        Probability of another option at a point of a random walk.
    """

    def __init__(self, fixed: dict[int, int] | None = None, seed: int | None = None, rate=0.02):
        self.fixed = fixed or {}
        self.generator = random.Random(seed) if seed is not None else None
        self.rate = rate
        self.points: list[tuple[str, int]] = []
        self.taken: dict[int, int] = {}

    def pick(self, options: int, label: str) -> int:
        """Return an option of the next point."""
        number = len(self.points)
        self.points.append((label, options))
        option = self.fixed.get(number, 0)
        if self.generator is not None and self.generator.random() < self.rate:
            option = self.generator.randrange(options)
        option = min(option, options - 1)
        if option:
            self.taken[number] = option
        return option

    def describe(self) -> str:
        """Return the options that differ from the undisturbed course."""
        return ", ".join(
            f"{number}:{self.points[number][0]}={option}" for number, option in self.taken.items()
        )


@attrs.frozen
class Finding:
    """A run that broke promises."""

    choices: str
    faults: tuple[str, ...]


@attrs.define
class Report:
    """How much was explored, and the first run that broke a promise."""

    runs: int = 0
    points: int = 0
    finding: Finding | None = None

    def add(self, choices: Choices, faults: list[str]) -> bool:
        """Count a run; return whether it broke a promise."""
        self.runs += 1
        self.points += len(choices.points)
        if faults and self.finding is None:
            self.finding = Finding(choices.describe(), tuple(faults))
        return bool(faults)


Scenario = Callable[[Choices], list[str]]


def explore(
    scenario: Scenario, depth: int, labels: tuple[str, ...] | None = None, limit: int = 10**9
) -> Report:
    """Run a scenario with every set of up to ``depth`` disturbances, until one breaks a promise.

    Parameters
    ----------
    scenario : callable
        Runs with the choices and returns the promises that were broken.
    depth : int
        Disturbances in one run.
    labels : tuple of str or None
        Points at which to disturb; all if None.
    limit : int
        Runs at most.
    """
    report = Report()
    waiting: list[tuple[dict[int, int], int]] = [({}, depth)]
    while waiting and report.runs < limit:
        fixed, left = waiting.pop(0)
        choices = Choices(fixed)
        if report.add(choices, scenario(choices)):
            return report
        if left:
            waiting.extend((more, left - 1) for more in disturbed(choices, fixed, labels))
    return report


def disturbed(
    choices: Choices, fixed: dict[int, int], labels: tuple[str, ...] | None
) -> Iterator[dict[int, int]]:
    """Yield each set of choices with one more disturbance, later than those before."""
    last = max(fixed, default=-1)
    for number, (label, options) in enumerate(choices.points):
        if number <= last or (labels is not None and label not in labels):
            continue
        for option in range(1, options):
            yield {**fixed, number: option}


def walk(scenario: Scenario, seeds: range, rate: float) -> Report:
    """Run a scenario by random walks, until one breaks a promise."""
    report = Report()
    for seed in seeds:
        choices = Choices(seed=seed, rate=rate)
        if report.add(choices, scenario(choices)):
            return report
    return report
