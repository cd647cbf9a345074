"""Error-budget burn rates of services over several time windows.

The burn rate of a window is the share of bad jobs in it divided by the share that the objective
allows: at 1 the error budget lasts exactly for the period, at 10 for a tenth of it.  Comparing a
short with a long window separates an ongoing fault from a spike that has ended.

Each service has a fixed number of counters, so memory does not grow with load or time.
"""

import enum

import attrs


class Outcome(enum.IntEnum):
    """Effect of an answer on the objective; the value is the index in a list of counts."""

    GOOD = 0
    LATE = 1  # complete, but later than the objective's response time
    FAILED = 2
    REFUSED = 3  # nothing ran
    UNKNOWN = 4  # not known whether any task ran


WINDOWS_S = {"5m": 300, "1h": 3600, "6h": 6 * 3600, "3d": 3 * 86400}

_BUCKETS_PER_WINDOW = 72


class SlidingWindowCounter:
    """Counts of outcomes in a circular buffer of time buckets.

    Parameters
    ----------
    bucket_s : float
        Duration of one bucket in seconds.
    bucket_count : int
        Number of buckets in the buffer.
    """

    def __init__(self, bucket_s: float, bucket_count: int):
        self.bucket_s = bucket_s
        self.buckets = [[0] * len(Outcome) for _ in range(bucket_count)]
        self.bucket_numbers = [-1] * bucket_count

    def add(self, now: float, outcome: Outcome) -> None:
        """Count one outcome."""
        number = int(now // self.bucket_s)
        index = number % len(self.buckets)
        if self.bucket_numbers[index] != number:
            self.bucket_numbers[index] = number
            self.buckets[index] = [0] * len(Outcome)
        self.buckets[index][outcome] += 1

    def window_totals(self, now: float, window_s: float) -> list[int]:
        """Return the summed counts of the buckets that overlap the last ``window_s`` seconds."""
        last = int(now // self.bucket_s)
        first = last - round(window_s / self.bucket_s) + 1
        sums = [0] * len(Outcome)
        for number, bucket in zip(self.bucket_numbers, self.buckets, strict=True):
            if first <= number <= last:
                sums = [total + count for total, count in zip(sums, bucket, strict=True)]
        return sums


class WindowCounters:
    """Outcome counts of one service, one counter for each window."""

    def __init__(self):
        # From 5 s buckets for 5 minutes to 1 h buckets for 3 days, 60 to 72 buckets each.
        self.by_window = {
            name: SlidingWindowCounter(
                max(5, seconds // _BUCKETS_PER_WINDOW),
                seconds // max(5, seconds // _BUCKETS_PER_WINDOW),
            )
            for name, seconds in WINDOWS_S.items()
        }

    def add(self, now: float, outcome: Outcome) -> None:
        """Count one outcome in every window."""
        for counter in self.by_window.values():
            counter.add(now, outcome)

    def totals(self, now: float) -> dict[str, list[int]]:
        """Return the counts of each window."""
        return {
            name: counter.window_totals(now, WINDOWS_S[name])
            for name, counter in self.by_window.items()
        }


@attrs.frozen
class ServiceCounts:
    """Outcome counts of one service at one instance.

    Attributes
    ----------
    service : str
        Name of the service.
    share : float
        The objective's share of good jobs.
    response_s : float
        The objective's response time.
    windows : dict of str to list of int
        One count per ``Outcome`` for each name in ``WINDOWS_S``.
    """

    service: str
    share: float
    response_s: float
    windows: dict[str, list[int]]


@attrs.frozen
class InstanceCounts:
    """Outcome counts of one instance since its start.

    Attributes
    ----------
    instance : str
        Name of the instance.
    data_centre : str
        Data centre of the instance.
    generation : int
        Configuration generation that the objectives are taken from.
    uptime_s : float
        Age of the oldest counts; counts are not kept across restarts.
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
    """Burn rate of one service in one window, over all instances.

    Attributes
    ----------
    window : str
        A name in ``WINDOWS_S``.
    jobs : int
        Number of jobs, good and bad.
    bad : dict of str to int
        Number of bad jobs by lower-case name of the outcome.
    rate : float or None
        The burn rate, None without jobs.
    """

    window: str
    jobs: int
    bad: dict[str, int]
    rate: float | None


@attrs.frozen
class ServiceBurn:
    """Burn rates of one service, over all instances.

    Attributes
    ----------
    service : str
        Name of the service.
    share : float
        The objective's share of good jobs.
    response_s : float
        The objective's response time.
    windows : tuple of WindowBurn
        From the shortest to the longest.
    budget_left : float or None
        Unspent share of the error budget of the longest window; negative when overspent, None
        without jobs.
    spent_by : dict of str to dict of str to int
        Number of bad jobs in the longest window by data centre and outcome.
    """

    service: str
    share: float
    response_s: float
    windows: tuple[WindowBurn, ...]
    budget_left: float | None
    spent_by: dict[str, dict[str, int]]


def merge(instances: list[InstanceCounts]) -> tuple[ServiceBurn, ...]:
    """Return the burn rates of every service over the given instances, in name order.

    While instances have different configurations, the newest objective applies.
    """
    names = {counts.service for instance in instances for counts in instance.services}
    return tuple(_merge_service(name, instances) for name in sorted(names))


def _merge_service(name: str, instances: list[InstanceCounts]) -> ServiceBurn:
    matching = [
        (instance, counts)
        for instance in instances
        for counts in instance.services
        if counts.service == name
    ]
    newest = max(matching, key=lambda pair: pair[0].generation)[1]
    windows = []
    for window in WINDOWS_S:
        rows = [counts.windows[window] for _, counts in matching]
        windows.append(window_burn_rate(window, newest.share, _sum_rows(rows)))
    longest = windows[-1]
    spent_by: dict[str, dict[str, int]] = {}
    for instance, counts in matching:
        bad_by_outcome = spent_by.setdefault(instance.data_centre, dict.fromkeys(longest.bad, 0))
        for outcome in Outcome:
            if outcome is not Outcome.GOOD:
                row = counts.windows[longest.window]
                bad_by_outcome[outcome.name.lower()] += row[outcome]
    budget_left = None if longest.rate is None else 1 - longest.rate
    return ServiceBurn(name, newest.share, newest.response_s, tuple(windows), budget_left, spent_by)


def window_burn_rate(window: str, share: float, row: list[int]) -> WindowBurn:
    """Return the burn rate for one list of counts by outcome."""
    jobs = sum(row)
    bad = {outcome.name.lower(): row[outcome] for outcome in Outcome if outcome is not Outcome.GOOD}
    if not jobs:
        return WindowBurn(window, 0, bad, None)
    # An objective of 1 has no error budget: the rate of any bad job is infinite.
    allowed_share = 1 - share
    bad_share = sum(bad.values()) / jobs
    if allowed_share <= 0:
        return WindowBurn(window, jobs, bad, float("inf") if bad_share else 0.0)
    return WindowBurn(window, jobs, bad, bad_share / allowed_share)


def _sum_rows(rows: list[list[int]]) -> list[int]:
    return [sum(column) for column in zip(*rows, strict=True)]
