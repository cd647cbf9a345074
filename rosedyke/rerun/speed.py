"""How fast each backend server is, learned from the run times that it showed.

Servers differ by a factor of three and callers' estimates are off by up to 40% either way, so one
run says little; the average over some ten runs is within a few percent.

Some servers turn slow from one moment to the next, by a factor of four to eight for some seconds.
The average follows only after dozens of runs, so a run that is far off it counts by itself.
"""

import attrs

# The weight of a new run: about the last dozen runs count.
WEIGHT = 0.12
# One run moves the average by this factor at most, so that a single stall is not a slow server.
BOUND = 4.0
# A run at less than this share of the average shows a server that has turned slow; what estimates
# are off by explains 0.6.
SUDDEN = 0.4
# Shorter delays may be the owner's own.
SUDDEN_S = 0.1
# A server that has shown nothing for so long is tried at its average speed again.
SLOW_KEPT_S = 2.0


@attrs.frozen
class Slowed:
    """The speed that a server has shown since it turned slow, and when it last did."""

    value: float
    shown_at: float


@attrs.define
class Speeds:
    """The learned speed of each server, 1 for one that nothing is known of.

    Attributes
    ----------
    values : dict of str to float
        Estimated over measured run time, by server id, on average.
    slowed : dict of str to Slowed
        Those that have turned slow.
    """

    values: dict[str, float] = attrs.Factory(dict)
    slowed: dict[str, Slowed] = attrs.Factory(dict)

    def of(self, server_id: str) -> float:
        """Return the speed of a server at present."""
        found = self.slowed.get(server_id)
        return self.average(server_id) if found is None else found.value

    def average(self, server_id: str) -> float:
        """Return the speed of a server without what it showed last."""
        return self.values.get(server_id, 1.0)

    def run_time_s(self, server_id: str, estimate_s: float) -> float:
        """Return how long a task would take there."""
        return estimate_s / self.of(server_id)

    def learn(self, server_id: str, estimate_s: float, measured_s: float, now: float) -> None:
        """Take note of one run that ended by itself."""
        if measured_s <= 0 or estimate_s <= 0:
            return
        known = self.average(server_id)
        self.show(server_id, estimate_s, measured_s, now)
        shown = min(max(estimate_s / measured_s, known / BOUND), known * BOUND)
        self.values[server_id] = known + WEIGHT * (shown - known)

    def show(self, server_id: str, work_s: float, measured_s: float, now: float) -> None:
        """Take note that a server took ``measured_s`` for ``work_s`` of estimated work."""
        average = self.average(server_id)
        shown = work_s / measured_s
        is_late = measured_s - work_s / average > SUDDEN_S
        if shown < SUDDEN * average and is_late:
            self.slowed[server_id] = Slowed(shown, now)
        elif shown >= SUDDEN * average:
            self.slowed.pop(server_id, None)

    def forget_slow(self, now: float) -> None:
        """Try servers again that have shown nothing for a while."""
        for server_id, found in list(self.slowed.items()):
            if now - found.shown_at > SLOW_KEPT_S:
                del self.slowed[server_id]

    def take_over(self, values: dict[str, float]) -> None:
        """Take in what a former owner learned of servers that nothing is known of here."""
        for server_id, value in values.items():
            self.values.setdefault(server_id, value)

    def forget(self, server_id: str) -> None:
        """Drop what is known, since another machine may have come under the name."""
        self.values.pop(server_id, None)
        self.slowed.pop(server_id, None)
