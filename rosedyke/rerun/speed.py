"""How fast each backend server is, learned from the run times that it showed.

Servers differ by a factor of three and callers' estimates are off by up to 40% either way, so one
run says little; the average over some ten runs is within a few percent.
"""

import attrs

# The weight of a new run: about the last dozen runs count.
WEIGHT = 0.12
# One run moves the average by this factor at most, so that a single stall is not a slow server.
BOUND = 4.0


@attrs.define
class Speeds:
    """The learned speed of each server, 1 for one that nothing is known of.

    Attributes
    ----------
    values : dict of str to float
        Estimated over measured run time, by server id.
    """

    values: dict[str, float] = attrs.Factory(dict)

    def of(self, server_id: str) -> float:
        """Return the speed of a server."""
        return self.values.get(server_id, 1.0)

    def run_time_s(self, server_id: str, estimate_s: float) -> float:
        """Return how long a task would take there."""
        return estimate_s / self.of(server_id)

    def learn(self, server_id: str, estimate_s: float, measured_s: float) -> None:
        """Take note of one run that ended by itself."""
        if measured_s <= 0 or estimate_s <= 0:
            return
        known = self.of(server_id)
        shown = min(max(estimate_s / measured_s, known / BOUND), known * BOUND)
        self.values[server_id] = known + WEIGHT * (shown - known)

    def take_over(self, values: dict[str, float]) -> None:
        """Take in what a former owner learned of servers that nothing is known of here."""
        for server_id, value in values.items():
            self.values.setdefault(server_id, value)

    def forget(self, server_id: str) -> None:
        """Drop what is known, since another machine may have come under the name."""
        self.values.pop(server_id, None)
