"""Caches the newest load report of each pool.

Owners include reports in their replies.  Reports of other pools arrive piggybacked on membership
probes, at no extra message; a report delayed by a probe interval still distinguishes busy pools
from idle ones.
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
    """The newest report of a pool, with local adjustments.

    Attributes
    ----------
    report : PoolReport
        The owner's report plus the work that this instance requested since.
    received_at : float
        Monotonic seconds.
    avoided_until : float
        Monotonic seconds until which other pools are preferred, because the owner did not reply.
    """

    report: messages.PoolReport
    received_at: float
    avoided_until: float = 0.0


class ReportCache:
    """Newest load reports by pool.

    Parameters
    ----------
    options : DispatchSettings
        For how long an unresponsive owner's pool is avoided.
    runtime : Runtime
        Clock.
    membership : Membership
        Distributes reports of owners to the other instances.
    shard_map : ShardMap
        Determines the owners of pools.
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
        """Store a report received directly from the pool's owner."""
        self.newest[key] = CachedReport(report, self.runtime.now())

    def add_pending(self, key: str, work_s: float, tasks: int) -> None:
        """Add work that was just requested from a pool, until its owner's next report.

        Otherwise all jobs that arrive between two reports would go to the same idle pool.
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
        """Avoid a pool for ``avoid_s``, because its owner did not reply."""
        cached = self.newest.setdefault(
            key, CachedReport(messages.PoolReport(), self.runtime.now())
        )
        cached.avoided_until = self.runtime.now() + self.options.avoid_s

    def is_avoided(self, key: str) -> bool:
        """Return whether a pool is currently avoided."""
        cached = self.newest.get(key)
        return cached is not None and self.runtime.now() < cached.avoided_until

    def find(self, shard: sharding.Shard) -> messages.PoolReport | None:
        """Return the newest report of a pool, None if there is none."""
        owner = self.shard_map.owner(shard.key, self.membership)
        if owner is None:
            return None
        self._read_advertised(owner.name)
        cached = self.newest.get(shard.key)
        return None if cached is None else cached.report

    def advertise(self, reports: dict[str, messages.PoolReport]) -> None:
        """Advertise reports in the membership's probes, shortened or omitted to fit the limit."""
        body = _encoder.encode(reports)
        while len(body) > MAX_ADVERTISED_BYTES and reports:
            reports = {key: compact(report) for key, report in reports.items()}
            body = _encoder.encode(reports)
            if len(body) > MAX_ADVERTISED_BYTES:
                reports.pop(next(reversed(reports)))
        self.membership.advertise(TOPIC, body)

    def _read_advertised(self, name):
        """Store the reports advertised by an instance, if they have changed."""
        body = self.membership.advertised(name, TOPIC)
        if body is None or body == self.last_advertised.get(name):
            return
        self.last_advertised[name] = body
        try:
            reports = _decoder.decode(body)
        except msgspec.DecodeError:
            return  # from another version; replies still carry reports
        for key, report in reports.items():
            self.newest.setdefault(key, CachedReport(report, 0.0)).report = report


def compact(report: messages.PoolReport) -> messages.PoolReport:
    """Return a shortened report: rounded, with the fastest free slots and half the profile."""
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
