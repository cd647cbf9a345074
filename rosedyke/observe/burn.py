"""How fast each service spends the failures that its objective allows.

The burn rate of a window is the share of bad jobs in it over the share that the objective allows:
at 1 the budget lasts exactly for the period, at 10 for a tenth of it.  A short and a long window
together tell a spike that is over from a fault that goes on.

Counts are kept in rings of fixed size for each service, so memory does not grow with load or time.
"""

import enum

import attrs


class Outcome(enum.IntEnum):
    """What an answer means for the objective; the number is its place in a row of counts."""

    GOOD = 0
    LATE = 1  # whole, but after the response time of the objective
    FAILED = 2
    REFUSED = 3  # nothing ran
    UNKNOWN = 4  # nobody can tell whether it ran


WINDOWS_S = {"5m": 300, "1h": 3600, "6h": 6 * 3600, "3d": 3 * 86400}

_CELLS = 72


class Ring:
    """Counts of outcomes in equal steps of time, the newest over the oldest.

    Parameters
    ----------
    step_s : float
        Seconds of one cell.
    cells : int
        How many are kept.
    """

    def __init__(self, step_s: float, cells: int):
        self.step_s = step_s
        self.rows = [[0] * len(Outcome) for _ in range(cells)]
        self.steps = [-1] * cells

    def add(self, now: float, outcome: Outcome) -> None:
        """Count one outcome."""
        step = int(now // self.step_s)
        index = step % len(self.rows)
        if self.steps[index] != step:
            self.steps[index] = step
            self.rows[index] = [0] * len(Outcome)
        self.rows[index][outcome] += 1

    def total(self, now: float, window_s: float) -> list[int]:
        """Return the counts of the cells that touch the last ``window_s`` seconds."""
        last = int(now // self.step_s)
        first = last - round(window_s / self.step_s) + 1
        totals = [0] * len(Outcome)
        for step, row in zip(self.steps, self.rows, strict=True):
            if first <= step <= last:
                totals = [total + count for total, count in zip(totals, row, strict=True)]
        return totals


class Ledger:
    """The outcomes of one service over every window."""

    def __init__(self):
        # 5 s steps for 5 minutes up to 1 h steps for 3 days; all rings have about 70 cells.
        self.rings = {
            name: Ring(max(5, seconds // _CELLS), seconds // max(5, seconds // _CELLS))
            for name, seconds in WINDOWS_S.items()
        }

    def add(self, now: float, outcome: Outcome) -> None:
        """Count one outcome in every window."""
        for ring in self.rings.values():
            ring.add(now, outcome)

    def totals(self, now: float) -> dict[str, list[int]]:
        """Return the counts of each window."""
        return {name: ring.total(now, WINDOWS_S[name]) for name, ring in self.rings.items()}


@attrs.frozen
class ServiceCounts:
    """What one instance counted for one service.

    Attributes
    ----------
    service : str
        Its name.
    share : float
        The objective's share of good jobs.
    response_s : float
        The objective's response time.
    windows : dict of str to list of int
        For each name in ``WINDOWS_S`` one count for each ``Outcome``.
    """

    service: str
    share: float
    response_s: float
    windows: dict[str, list[int]]


@attrs.frozen
class InstanceCounts:
    """What one instance counted since it started.

    Attributes
    ----------
    instance : str
        Its name.
    data_centre : str
        Where it runs.
    generation : int
        The configuration that its objectives are of.
    uptime_s : float
        How far its counts go back; what an instance counted is lost with it.
    services : tuple of ServiceCounts
        In name order.
    """

    instance: str
    data_centre: str
    generation: int
    uptime_s: float
    services: tuple[ServiceCounts, ...]


@attrs.frozen
class WindowBurn:
    """One window of one service, merged over instances.

    Attributes
    ----------
    window : str
        A name in ``WINDOWS_S``.
    jobs : int
        All that count.
    bad : dict of str to int
        Bad jobs by outcome, in lower case.
    rate : float or None
        The burn rate, None without jobs.
    """

    window: str
    jobs: int
    bad: dict[str, int]
    rate: float | None


@attrs.frozen
class ServiceBurn:
    """One service, merged over instances.

    Attributes
    ----------
    service : str
        Its name.
    share : float
        The objective's share of good jobs.
    response_s : float
        The objective's response time.
    windows : tuple of WindowBurn
        From the shortest to the longest.
    budget_left : float or None
        Share of the longest window's allowed bad jobs that is not spent; negative when
        overspent, None without jobs.
    spent_by : dict of str to dict of str to int
        Bad jobs of the longest window by data centre and outcome.
    """

    service: str
    share: float
    response_s: float
    windows: tuple[WindowBurn, ...]
    budget_left: float | None
    spent_by: dict[str, dict[str, int]]


def merge(instances: list[InstanceCounts]) -> tuple[ServiceBurn, ...]:
    """Return the burn of every service over the given instances, in name order.

    Instances may not have the same configuration for a moment; the newest objective counts.
    """
    names = {counts.service for instance in instances for counts in instance.services}
    return tuple(_merge_service(name, instances) for name in sorted(names))


def _merge_service(name: str, instances: list[InstanceCounts]) -> ServiceBurn:
    found = [
        (instance, counts)
        for instance in instances
        for counts in instance.services
        if counts.service == name
    ]
    newest = max(found, key=lambda pair: pair[0].generation)[1]
    windows = []
    for window in WINDOWS_S:
        rows = [counts.windows[window] for _, counts in found]
        windows.append(window_burn(window, newest.share, _added(rows)))
    longest = windows[-1]
    spent_by: dict[str, dict[str, int]] = {}
    for instance, counts in found:
        spent = spent_by.setdefault(instance.data_centre, dict.fromkeys(longest.bad, 0))
        for outcome in Outcome:
            if outcome is not Outcome.GOOD:
                row = counts.windows[longest.window]
                spent[outcome.name.lower()] += row[outcome]
    left = None if longest.rate is None else 1 - longest.rate
    return ServiceBurn(name, newest.share, newest.response_s, tuple(windows), left, spent_by)


def window_burn(window: str, share: float, row: list[int]) -> WindowBurn:
    """Return the burn of one row of counts."""
    jobs = sum(row)
    bad = {outcome.name.lower(): row[outcome] for outcome in Outcome if outcome is not Outcome.GOOD}
    if not jobs:
        return WindowBurn(window, 0, bad, None)
    # An objective of 1 allows no bad job at all; any then burns without limit.
    allowed = 1 - share
    spent = sum(bad.values()) / jobs
    if allowed <= 0:
        return WindowBurn(window, jobs, bad, float("inf") if spent else 0.0)
    return WindowBurn(window, jobs, bad, spent / allowed)


def _added(rows: list[list[int]]) -> list[int]:
    return [sum(column) for column in zip(*rows, strict=True)]
