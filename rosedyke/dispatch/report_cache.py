"""What this instance knows of how busy each pool is, own or not.

Reports ride on the replies of owners; for pools that this instance does not talk to they come with
the membership's probes and so cost no message.  A report that lags by a heartbeat still tells a
busy pool from an idle one.
"""

import attrs
import msgspec

from rosedyke.dispatch import messages, settings, sharding
from rosedyke.membership import ports as membership_ports
from rosedyke.runtime import Runtime

TOPIC = "dispatch.pools"
MAX_ADVERTISED_BYTES = 512

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(dict[str, messages.PoolReport])


@attrs.define
class CachedReport:
    """The newest report of a pool.

    Attributes
    ----------
    report : PoolReport
        As its owner sent it, plus what this instance has asked for since.
    received_at : float
        Monotonic seconds.
    avoided_until : float
        The owner did not answer; use another pool until then.
    """

    report: messages.PoolReport
    received_at: float
    avoided_until: float = 0.0


class ReportCache:
    """Newest reports by pool.

    Parameters
    ----------
    options : DispatchSettings
        How long a report counts.
    runtime : Runtime
        Time.
    membership : Membership
        Carries reports between owners and everyone else.
    shard_map : Catalogue
        Who owns which pool.
    """

    def __init__(
        self,
        options: settings.DispatchSettings,
        runtime: Runtime,
        membership: membership_ports.Membership,
        shard_map: sharding.ShardMap,
    ):
        self.options = options
        self.runtime = runtime
        self.membership = membership
        self.shard_map = shard_map
        self.newest: dict[str, CachedReport] = {}
        self.last_advertised: dict[str, bytes] = {}

    def store(self, key: str, report: messages.PoolReport) -> None:
        """Take in a report from the pool's owner itself."""
        self.newest[key] = CachedReport(report, self.runtime.now())

    def add_pending(self, key: str, work_s: float, tasks: int) -> None:
        """Count work that was just asked of a pool, until its owner's next report.

        Without it all jobs that arrive between two reports would go to the same idle pool.
        """
        cached = self.newest.get(key)
        if cached is None:
            return
        free = list(cached.report.free)
        while tasks and free:
            slowness, count = free[0]
            taken = min(tasks, count)
            tasks -= taken
            free[0] = (slowness, count - taken)
            if not free[0][1]:
                free.pop(0)
        cached.report = attrs.evolve(
            cached.report,
            free=tuple(free),
            queued_s=cached.report.queued_s + work_s,
            room_s=cached.report.room_s - work_s,
        )

    def avoid(self, key: str) -> None:
        """Keep new work away from a pool whose owner does not answer."""
        cached = self.newest.setdefault(
            key, CachedReport(messages.PoolReport(), self.runtime.now())
        )
        cached.avoided_until = self.runtime.now() + self.options.avoid_s

    def is_avoided(self, key: str) -> bool:
        """Return whether the pool's owner did not answer lately."""
        cached = self.newest.get(key)
        return cached is not None and self.runtime.now() < cached.avoided_until

    def find(self, shard: sharding.Shard) -> messages.PoolReport | None:
        """Return what is known of a pool, None when nothing is."""
        owner = self.shard_map.owner(shard.key, self.membership)
        if owner is None:
            return None
        self._read_advertised(owner.name)
        cached = self.newest.get(shard.key)
        return None if cached is None else cached.report

    def advertise(self, reports: dict[str, messages.PoolReport]) -> None:
        """Let the membership's probes carry the reports of the own pools, as far as they fit."""
        body = _encoder.encode(reports)
        while len(body) > MAX_ADVERTISED_BYTES and reports:
            reports = {key: compact(report) for key, report in reports.items()}
            body = _encoder.encode(reports)
            if len(body) > MAX_ADVERTISED_BYTES:
                reports.pop(next(reversed(reports)))
        self.membership.advertise(TOPIC, body)

    def _read_advertised(self, name):
        """Take in what the membership heard from an instance since the last time."""
        body = self.membership.advertised(name, TOPIC)
        if body is None or body == self.last_advertised.get(name):
            return
        self.last_advertised[name] = body
        try:
            reports = _decoder.decode(body)
        except msgspec.DecodeError:
            return  # from another version; its replies still tell
        for key, report in reports.items():
            self.newest.setdefault(key, CachedReport(report, 0.0)).report = report


def compact(report: messages.PoolReport) -> messages.PoolReport:
    """Return a shorter report: only the fastest kind of free slot, rounded."""
    return messages.PoolReport(
        tuple((round(slowness, 2), count) for slowness, count in report.free[:1]),
        round(report.queued_s, 2),
        round(report.running_s, 2),
        round(report.rate, 1),
        report.slots,
        report.queued_tasks,
        round(report.room_s, 1),
        tuple((round(size_s, 2), round(ahead_s, 2)) for size_s, ahead_s in report.ahead[::2]),
    )
