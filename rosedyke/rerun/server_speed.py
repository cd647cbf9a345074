"""How fast each backend server is, learned from the run times that it showed.

Servers differ by a factor of three and callers' estimates are off by up to 40% either way, so one
run says little; the average over some ten runs is within a few percent.  Servers of one kind are
about equally fast, so what was learned of some tells of those that have run nothing yet: after a
cold start each of a hundred servers would otherwise have to show its speed first.
"""

import attrs

# The weight of a new run: about the last dozen runs of a server count, and more of its kind.
WEIGHT = 0.12
KIND_WEIGHT = 0.02
# One run counts as no faster or slower than this many times what is known, so that a single stall
# is not a slow server.
BOUND = 2.4


@attrs.define
class KindSpeed:
    """The learned speed of a kind of server."""

    speed: float = 1.0
    runs: int = 0

    def learn(self, shown: float) -> None:
        """Take note of one run; the first ones all count the same."""
        self.runs += 1
        self.speed = _moved(self.speed, shown, max(KIND_WEIGHT, 1 / (self.runs + 1)))


@attrs.define
class Speeds:
    """The learned speed of each server, 1 for one that nothing is known of.

    Attributes
    ----------
    values : dict of str to float
        Estimated over measured run time, by server id.
    kinds : dict of str to str
        The kind of each server that has one, by server id.
    by_kind : dict of str to KindSpeed
        What was learned of each kind.
    """

    values: dict[str, float] = attrs.Factory(dict)
    kinds: dict[str, str] = attrs.Factory(dict)
    by_kind: dict[str, KindSpeed] = attrs.Factory(dict)

    def note_kind(self, server_id: str, kind: str) -> None:
        """Note of which kind a server is, empty if that is unknown."""
        if kind:
            self.kinds[server_id] = kind

    def of(self, server_id: str) -> float:
        """Return the speed of a server."""
        value = self.values.get(server_id)
        if value is not None:
            return value
        known = self.by_kind.get(self.kinds.get(server_id, ""))
        return known.speed if known is not None else 1.0

    def fastest(self) -> float:
        """Return the speed of the fastest kind of server, or server, observed; 1 if none was."""
        # A kind's speed rests on more runs, so no single outlier counts.
        kinds = [each.speed for each in self.by_kind.values()]
        return max(kinds or self.values.values(), default=1.0)

    def run_time_s(self, server_id: str, estimate_s: float) -> float:
        """Return how long a task would take there."""
        return estimate_s / self.of(server_id)

    def learn(self, server_id: str, estimate_s: float, measured_s: float) -> None:
        """Take note of one run that ended by itself."""
        if measured_s <= 0 or estimate_s <= 0:
            return
        shown = estimate_s / measured_s
        self.values[server_id] = _moved(self.of(server_id), shown, WEIGHT)
        kind = self.kinds.get(server_id)
        if kind is not None:
            self.by_kind.setdefault(kind, KindSpeed()).learn(shown)

    def take_over(self, values: dict[str, float]) -> None:
        """Take in what a former owner learned of servers that nothing is known of here."""
        for server_id, value in values.items():
            self.values.setdefault(server_id, value)

    def forget(self, server_id: str) -> None:
        """Drop what is known, since another machine may have come under the name."""
        self.values.pop(server_id, None)


def _moved(known: float, shown: float, weight: float) -> float:
    """Return the geometric mean of two speeds: half as fast counts as much as twice as fast."""
    bounded = min(max(shown, known / BOUND), known * BOUND)
    return known * (bounded / known) ** weight
