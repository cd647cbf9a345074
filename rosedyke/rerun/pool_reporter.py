"""What an owner tells the holders and its successor of its pool."""

import collections

from rosedyke.rerun import messages, routing

# How long a report is given out again: all holders ask at about the same time.
REPORT_KEPT_S = 0.02


class Reporting:
    """Reports the state of one owner's pool.

    Parameters
    ----------
    owner : PoolOwner
        Whose pool it is.
    """

    def __init__(self, owner):
        self.owner = owner
        self.last_report: messages.PoolReport | None = None
        self.reported_at = owner.began_at

    def resignation(self) -> messages.Resign:
        """Return the message that hands the pool to a successor."""
        return messages.Resign(self.owner.name, self.owner.token, self._speeds())

    def report(self) -> messages.PoolReport:
        """Return what holders need to choose a pool."""
        usable = self.owner.usable(self.owner.runtime.now())
        rate = sum(s.server.capacity.millicores * self.owner.speeds.of(s.server.id) for s in usable)
        backlog = sum(item.work_left_s() for item in self.owner.jobs.values())
        waiting = collections.Counter(
            item.work.queue for item in self.owner.jobs.values() if not item.has_started
        )
        return messages.PoolReport(
            self.owner.name,
            self.owner.token,
            backlog / (rate / 1000) if rate else routing.NO_SERVER_S,
            tuple((s.free_millicores(), self.owner.speeds.of(s.server.id)) for s in usable),
            sum(s.server.capacity.millicores for s in usable),
            dict(waiting),
            self._speeds(),
        )

    def recent_report(self) -> messages.PoolReport:
        """Return a report that is a few milliseconds old at most."""
        now = self.owner.runtime.now()
        if self.last_report is None or now - self.reported_at > REPORT_KEPT_S:
            self.last_report, self.reported_at = self.report(), now
        return self.last_report

    def _speeds(self):
        return {
            server_id: round(self.owner.speeds.of(server_id), 3) for server_id in self.owner.states
        }
