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
class Known:
    """The newest report of a pool.

    Attributes
    ----------
    report : PoolReport
        As its owner sent it, plus what this instance has asked for since.
    heard_at : float
        Monotonic seconds.
    avoided_until : float
        The owner did not answer; use another pool until then.
    """

    report: messages.PoolReport
    heard_at: float
    avoided_until: float = 0.0


class Board:
    """Newest reports by pool.

    Parameters
    ----------
    options : DispatchSettings
        How long a report counts.
    runtime : Runtime
        Time.
    membership : Membership
        Carries reports between owners and everyone else.
    shards : Catalogue
        Who owns which pool.
    """

    def __init__(
        self,
        options: settings.DispatchSettings,
        runtime: Runtime,
        membership: membership_ports.Membership,
        shards: sharding.Catalogue,
    ):
        self.options = options
        self.runtime = runtime
        self.membership = membership
        self.shards = shards
        self.known: dict[str, Known] = {}
        self.heard: dict[str, bytes] = {}

    def learn(self, key: str, report: messages.PoolReport) -> None:
        """Take in a report from the pool's owner itself."""
        self.known[key] = Known(report, self.runtime.now())

    def expect(self, key: str, work_s: float, tasks: int) -> None:
        """Count work that was just asked of a pool, until its owner's next report.

        Without it all jobs that arrive between two reports would go to the same idle pool.
        """
        known = self.known.get(key)
        if known is None:
            return
        free = list(known.report.free)
        while tasks and free:
            slowness, count = free[0]
            used = min(tasks, count)
            tasks -= used
            free[0] = (slowness, count - used)
            if not free[0][1]:
                free.pop(0)
        known.report = attrs.evolve(
            known.report,
            free=tuple(free),
            queued_s=known.report.queued_s + work_s,
            room_s=known.report.room_s - work_s,
        )

    def avoid(self, key: str) -> None:
        """Keep new work away from a pool whose owner does not answer."""
        known = self.known.setdefault(key, Known(messages.PoolReport(), self.runtime.now()))
        known.avoided_until = self.runtime.now() + self.options.avoid_s

    def is_avoided(self, key: str) -> bool:
        """Return whether the pool's owner did not answer lately."""
        known = self.known.get(key)
        return known is not None and self.runtime.now() < known.avoided_until

    def report(self, target: sharding.Shard) -> messages.PoolReport | None:
        """Return what is known of a pool, None when nothing is."""
        owner = self.shards.owner(target.key, self.membership)
        if owner is None:
            return None
        self._hear(owner.name)
        known = self.known.get(target.key)
        return None if known is None else known.report

    def advertise(self, reports: dict[str, messages.PoolReport]) -> None:
        """Let the membership's probes carry the reports of the own pools, as far as they fit."""
        body = _encoder.encode(reports)
        while len(body) > MAX_ADVERTISED_BYTES and reports:
            reports = {key: coarse(report) for key, report in reports.items()}
            body = _encoder.encode(reports)
            if len(body) > MAX_ADVERTISED_BYTES:
                reports.pop(next(reversed(reports)))
        self.membership.advertise(TOPIC, body)

    def _hear(self, name):
        """Take in what the membership heard from an instance since the last time."""
        body = self.membership.advertised(name, TOPIC)
        if body is None or body == self.heard.get(name):
            return
        self.heard[name] = body
        try:
            reports = _decoder.decode(body)
        except msgspec.DecodeError:
            return  # from another version; its replies still tell
        for key, report in reports.items():
            self.known.setdefault(key, Known(report, 0.0)).report = report


def coarse(report: messages.PoolReport) -> messages.PoolReport:
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
