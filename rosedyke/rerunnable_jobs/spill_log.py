"""Records when an instance sends jobs to other data centres because of their slack."""

from rosedyke import runtime as runtime_module
from rosedyke.observe import event, metric
from rosedyke.rerunnable_jobs import events, messages, metrics

# The local capacity varies from job to job; the end of the spill is logged after this long without
# a spilled job.  Also the shortest time between two events.
SPILL_END_S = 1.0


class SpillLog:
    """Counts spilled jobs and logs the start and the end of a spill.

    Attributes
    ----------
    is_active : bool
        The start of a spill was logged, but not its end.
    spilled_at : float
        When the last job was spilled.
    logged_at : float
        When the last event was logged.
    """

    def __init__(self, this_instance: messages.Instance, runtime: runtime_module.Runtime):
        self.this_instance = this_instance
        self.runtime = runtime
        self.is_active = False
        self.spilled_at = self.logged_at = float("-inf")

    def record_job(self) -> None:
        """Record a spilled job."""
        metric.count(metrics.JOBS_SPILLED)
        now = self.spilled_at = self.runtime.now()
        if not self.is_active and now - self.logged_at >= SPILL_END_S:
            self._log(events.SPILL_STARTED, now)

    def check(self) -> None:
        """Log the end of a spill."""
        now = self.runtime.now()
        if self.is_active and now - self.spilled_at >= SPILL_END_S:
            self._log(events.SPILL_ENDED, now)

    def _log(self, logged_event, now):
        self.is_active, self.logged_at = logged_event is events.SPILL_STARTED, now
        event.log(logged_event, data_centre=self.this_instance.data_centre)
