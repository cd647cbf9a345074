"""Model checking of a scenario: explores schedules and faults systematically or at random.

A scenario calls ``Choices.pick`` at each point of nondeterminism: a message lost or late, a crash
between two steps, another task scheduled first.  The first option is the run without faults.  The
explorer runs the scenario with every set of up to ``depth`` other options, or by seeded random
walks.  A run is identified by its choices and can be replayed from them.
"""

import random
from collections.abc import Callable, Iterator

import attrs


class Choices:
    """Picks an option at each choice point of one run and records the points.

    Parameters
    ----------
    fixed : dict of int to int
        Options other than the first, by index of the choice point.
    seed : int or None
        Seed of a random walk; None picks the first option at all other points.
    rate : float
        Probability of a random option at a choice point of a random walk.
    """

    def __init__(self, fixed: dict[int, int] | None = None, seed: int | None = None, rate=0.02):
        self.fixed = fixed or {}
        self.generator = random.Random(seed) if seed is not None else None
        self.rate = rate
        self.points: list[tuple[str, int]] = []
        self.picked: dict[int, int] = {}

    def pick(self, options: int, label: str) -> int:
        """Return the option for the next choice point."""
        index = len(self.points)
        self.points.append((label, options))
        option = self.fixed.get(index, 0)
        if self.generator is not None and self.generator.random() < self.rate:
            option = self.generator.randrange(options)
        option = min(option, options - 1)
        if option:
            self.picked[index] = option
        return option

    def describe(self) -> str:
        """Return the picked options other than the first."""
        return ", ".join(
            f"{index}:{self.points[index][0]}={option}" for index, option in self.picked.items()
        )


@attrs.frozen
class Finding:
    """A run that violated guarantees."""

    choices: str
    violations: tuple[str, ...]


@attrs.define
class Report:
    """The extent of an exploration, and the first run that violated a guarantee."""

    runs: int = 0
    points: int = 0
    finding: Finding | None = None

    def add(self, choices: Choices, violations: list[str]) -> bool:
        """Add a run; return whether it violated a guarantee."""
        self.runs += 1
        self.points += len(choices.points)
        if violations and self.finding is None:
            self.finding = Finding(choices.describe(), tuple(violations))
        return bool(violations)


Scenario = Callable[[Choices], list[str]]


def explore(
    scenario: Scenario, depth: int, labels: tuple[str, ...] | None = None, limit: int = 10**9
) -> Report:
    """Run a scenario with every set of up to ``depth`` deviations until a guarantee is violated.

    Parameters
    ----------
    scenario : callable
        Runs with the given choices and returns the violated guarantees.
    depth : int
        Maximum deviations in one run.
    labels : tuple of str or None
        Labels of the choice points to vary; all if None.
    limit : int
        Maximum index of runs.
    """
    report = Report()
    pending: list[tuple[dict[int, int], int]] = [({}, depth)]
    while pending and report.runs < limit:
        fixed, remaining_depth = pending.pop(0)
        choices = Choices(fixed)
        if report.add(choices, scenario(choices)):
            return report
        if remaining_depth:
            pending.extend(
                (extended, remaining_depth - 1) for extended in deviations(choices, fixed, labels)
            )
    return report


def deviations(
    choices: Choices, fixed: dict[int, int], labels: tuple[str, ...] | None
) -> Iterator[dict[int, int]]:
    """Yield every extension of ``fixed`` by one deviation at a later choice point."""
    last = max(fixed, default=-1)
    for index, (label, options) in enumerate(choices.points):
        if index <= last or (labels is not None and label not in labels):
            continue
        for option in range(1, options):
            yield {**fixed, index: option}


def walk(scenario: Scenario, seeds: range, rate: float) -> Report:
    """Run a scenario by random walks until a guarantee is violated."""
    report = Report()
    for seed in seeds:
        choices = Choices(seed=seed, rate=rate)
        if report.add(choices, scenario(choices)):
            return report
    return report
