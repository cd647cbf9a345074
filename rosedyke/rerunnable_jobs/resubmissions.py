"""Applies the retry budget of an instance to resubmissions inside the fleet.

Resubmissions that the safety of a takeover requires, and those of an evacuated pool, are not
counted: without them a job would wait at an owner that no longer exists.  Moves to capacity that
another pool has offered are not counted either, since they repeat nothing: the offers bound them,
and without them tasks wait in one pool, until they are refused, while servers of another are idle.
"""

from rosedyke import runtime as runtime_module
from rosedyke.observe import event, metric
from rosedyke.rerunnable_jobs import events, metrics, settings
from rosedyke.scheduling import retry_budget

LOG_INTERVAL_S = 1.0
# How often the resubmission of a job that may have started is tried again without budget.
RETRY_INTERVAL_S = 0.05


class Resubmissions:
    """The retry budget of one instance, as holder and as owner."""

    def __init__(self, timing: settings.RerunSettings, runtime: runtime_module.Runtime):
        self.timing = timing
        self.runtime = runtime
        self.budget = retry_budget.RetryBudget()
        self.logged_at = float("-inf")

    def record_accepted(self) -> None:
        """Count a job accepted from a caller, or a part of one accepted from its holder."""
        if self.timing.predicts_completion:
            self.budget.record_accepted(self.runtime.now())

    def try_spend(self) -> bool:
        """Return whether one more resubmission is allowed, and count it."""
        if not self.timing.predicts_completion:
            return True
        now = self.runtime.now()
        if self.budget.try_spend(now):
            return True
        metric.count(metrics.RESUBMISSIONS_DENIED)
        if now - self.logged_at >= LOG_INTERVAL_S:
            self.logged_at = now
            event.log(
                events.RETRY_BUDGET_SPENT,
                resubmissions=self.budget.spent,
                accepted=self.budget.accepted,
            )
        return False
