"""How fast each backend server is, learned from the run times that it showed.

Servers differ by a factor of three and callers' estimates are off by up to 40% either way, so one
run says little; the average over some ten runs is within a few percent.  Servers of one kind are
about equally fast, so what was learned of some tells of those that have run nothing yet: after a
cold start each of a hundred servers would otherwise have to show its speed first.
"""

import attrs

# The weight of a new run: about the last dozen runs of a server count, and more of its kind.
SERVER_WEIGHT = 0.12
KIND_WEIGHT = 0.02
# One run counts as no faster or slower than this many times what is known, so that a single stall
# is not a slow server.
MAX_SPEED_RATIO = 2.4


@attrs.define
class KindSpeed:
    """The learned speed of a kind of server."""

    speed: float = 1.0
    runs: int = 0

    def record_run(self, observed: float) -> None:
        """Take note of one run; the first ones all count the same."""
        self.runs += 1
        self.speed = _weighted_mean(self.speed, observed, max(KIND_WEIGHT, 1 / (self.runs + 1)))


@attrs.define
class ServerSpeeds:
    """The learned speed of each server, 1 for one that nothing is known of.

    Attributes
    ----------
    by_server : dict of str to float
        Estimated over measured run time, by server id.
    kind_by_server : dict of str to str
        The kind of each server that has one, by server id.
    by_kind : dict of str to KindSpeed
        What was learned of each kind.
    """

    by_server: dict[str, float] = attrs.Factory(dict)
    kind_by_server: dict[str, str] = attrs.Factory(dict)
    by_kind: dict[str, KindSpeed] = attrs.Factory(dict)

    def set_kind(self, server_id: str, kind: str) -> None:
        """Note of which kind a server is, empty if that is unknown."""
        if kind:
            self.kind_by_server[server_id] = kind

    def speed_of(self, server_id: str) -> float:
        """Return the speed of a server."""
        value = self.by_server.get(server_id)
        if value is not None:
            return value
        kind_speed = self.by_kind.get(self.kind_by_server.get(server_id, ""))
        return kind_speed.speed if kind_speed is not None else 1.0

    def fastest_speed(self) -> float:
        """Return the speed of the fastest kind of server, or server, observed; 1 if none was."""
        # A kind's speed rests on more runs, so no single outlier counts.
        kind_speeds = [kind.speed for kind in self.by_kind.values()]
        return max(kind_speeds or self.by_server.values(), default=1.0)

    def run_time_s(self, server_id: str, estimate_s: float) -> float:
        """Return how long a task would take there."""
        return estimate_s / self.speed_of(server_id)

    def record_run(self, server_id: str, estimate_s: float, measured_s: float) -> None:
        """Take note of one run that ended by itself."""
        if measured_s <= 0 or estimate_s <= 0:
            return
        observed = estimate_s / measured_s
        self.by_server[server_id] = _weighted_mean(
            self.speed_of(server_id), observed, SERVER_WEIGHT
        )
        kind = self.kind_by_server.get(server_id)
        if kind is not None:
            self.by_kind.setdefault(kind, KindSpeed()).record_run(observed)

    def import_speeds(self, values: dict[str, float]) -> None:
        """Take in what a former owner learned of servers that nothing is known of here."""
        for server_id, value in values.items():
            self.by_server.setdefault(server_id, value)

    def forget(self, server_id: str) -> None:
        """Drop what is known, since another machine may have come under the name."""
        self.by_server.pop(server_id, None)


def _weighted_mean(previous: float, observed: float, weight: float) -> float:
    """Return the geometric mean of two speeds: half as fast counts as much as twice as fast."""
    bounded = min(max(observed, previous / MAX_SPEED_RATIO), previous * MAX_SPEED_RATIO)
    return previous * (bounded / previous) ** weight
