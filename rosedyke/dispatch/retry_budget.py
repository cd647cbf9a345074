"""A budget for tasks that are sent again after they provably did not start."""


class RetryBudget:
    """Allows retries as a share of what is sent, so that retries can't become the load.

    When a whole service refuses, each refused task would come back at once and the refusals would
    crowd out the work; with the budget spent, jobs fail truthfully instead.

    Parameters
    ----------
    share : float
        Retries for each task sent.
    burst : int
        Retries that may be saved up.
    """

    def __init__(self, share: float, burst: int):
        self.share = share
        self.burst = burst
        self.tokens = float(burst)

    def record_sent(self) -> None:
        """Earn a share of a retry."""
        self.tokens = min(self.burst, self.tokens + self.share)

    def try_spend(self) -> bool:
        """Spend one retry, or return false when there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
