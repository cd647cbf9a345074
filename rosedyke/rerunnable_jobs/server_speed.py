"""Estimates the speed of each backend server from measured run times.

Callers' estimates are off by up to 40%, so speeds are exponentially weighted averages over about
ten runs.  Servers of one kind are about equally fast; a server without runs gets the speed of its
kind, so that a cold start does not need runs on every server.
"""

import attrs

# Weight of a new run in the average of its server and of the server's kind.
SERVER_WEIGHT = 0.12
KIND_WEIGHT = 0.02
# Limits the influence of one run, such as a stalled one.
MAX_SPEED_RATIO = 2.4


@attrs.define
class KindSpeed:
    """The estimated speed of a kind of server."""

    speed: float = 1.0
    runs: int = 0

    def record_run(self, observed: float) -> None:
        """Add one run; the first runs all have the same weight."""
        self.runs += 1
        self.speed = _weighted_mean(self.speed, observed, max(KIND_WEIGHT, 1 / (self.runs + 1)))


@attrs.define
class ServerSpeeds:
    """The estimated speed of each server, 1 if unknown.

    Attributes
    ----------
    by_server : dict of str to float
        Ratio of estimated to measured run time, by server id.
    kind_by_server : dict of str to str
        Kind of each server, by server id.
    by_kind : dict of str to KindSpeed
        Estimated speed of each kind.
    """

    by_server: dict[str, float] = attrs.Factory(dict)
    kind_by_server: dict[str, str] = attrs.Factory(dict)
    by_kind: dict[str, KindSpeed] = attrs.Factory(dict)

    def set_kind(self, server_id: str, kind: str) -> None:
        """Set the kind of a server; an empty kind is unknown and ignored."""
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
        """Return the highest speed of any kind or, without kinds, of any server; 1 if unknown."""
        # The speed of a kind is averaged over more runs and less sensitive to outliers.
        kind_speeds = [kind.speed for kind in self.by_kind.values()]
        return max(kind_speeds or self.by_server.values(), default=1.0)

    def run_time_s(self, server_id: str, estimate_s: float) -> float:
        """Return the expected run time of a task on a server."""
        return estimate_s / self.speed_of(server_id)

    def record_run(self, server_id: str, estimate_s: float, measured_s: float) -> None:
        """Update the averages with a run that completed."""
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
        """Add the speeds that a previous owner reported for servers unknown here."""
        for server_id, value in values.items():
            self.by_server.setdefault(server_id, value)

    def remove(self, server_id: str) -> None:
        """Drop the speed of a server that may have been replaced by another machine."""
        self.by_server.pop(server_id, None)


def _weighted_mean(previous: float, observed: float, weight: float) -> float:
    """Return the weighted geometric mean, in which half and twice the speed cancel out."""
    bounded = min(max(observed, previous / MAX_SPEED_RATIO), previous * MAX_SPEED_RATIO)
    return previous * (bounded / previous) ** weight
