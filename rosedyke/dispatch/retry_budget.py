"""A retry budget for tasks that provably did not start."""


class RetryBudget:
    """Token bucket that limits retries to a share of the tasks sent.

    Prevents retry storms when all servers of a service refuse tasks: once the budget is spent,
    jobs fail instead.

    Parameters
    ----------
    share : float
        Tokens added for each task sent.
    burst : int
        Capacity of the bucket.
    """

    def __init__(self, share: float, burst: int):
        self.share = share
        self.burst = burst
        self.tokens = float(burst)

    def record_sent(self) -> None:
        """Add the tokens for one task sent."""
        self.tokens = min(self.burst, self.tokens + self.share)

    def try_spend(self) -> bool:
        """Spend a token for one retry; return false if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
