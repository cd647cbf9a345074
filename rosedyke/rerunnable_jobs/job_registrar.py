"""Stores the claims of other instances, and of this one, on jobs."""

import attrs

from rosedyke import runtime as runtime_module
from rosedyke.rerunnable_jobs import messages, settings

EXPIRY_INTERVAL_S = 1.0
# Claims last this long.  They are sent again while the job is held, also to registrars that have
# restarted.
CLAIM_S = 5.0


@attrs.frozen
class StoredClaim:
    """A claim, its number, and the time at which it ends."""

    claimant: messages.Claimant
    number: int
    expires_at: float


class JobRegistrar:
    """The claims and cancellations that this instance knows as a registrar.

    Attributes
    ----------
    claims : dict of str to StoredClaim
        By job id.
    cancelled : dict of str to float
        When the cancellation of a job is forgotten, by job id.
    stored : frozenset of str
        The cancellations that the store keeps.
    """

    def __init__(self, timing: settings.RerunSettings, runtime: runtime_module.Runtime):
        self.timing = timing
        self.runtime = runtime
        self.claims: dict[str, StoredClaim] = {}
        self.cancelled: dict[str, float] = {}
        self.stored: frozenset[str] = frozenset()

    def run(self) -> None:
        """Remove expired claims until the task is cancelled."""
        while True:
            self.runtime.sleep(EXPIRY_INTERVAL_S)
            self.remove_expired()

    def claim(self, sender: messages.Instance, message: messages.ClaimJob) -> messages.ClaimReply:
        """Store a claim, unless another instance has claimed the job or it was cancelled."""
        claimant = messages.Claimant(sender, message.incarnation)
        now = self.runtime.now()
        if self.is_cancelled(message.job_id):
            return messages.ClaimReply(None, True)
        stored = self.claims.get(message.job_id)
        number = message.number
        if stored is not None and stored.expires_at > now:
            if stored.claimant == claimant:
                number = max(number, stored.number)
            elif stored.number != message.replaces:
                return messages.ClaimReply(stored.claimant, False, stored.number)
        self.claims[message.job_id] = StoredClaim(claimant, number, now + CLAIM_S)
        return messages.ClaimReply(None, False)

    def claim_of(self, job_id: str) -> StoredClaim | None:
        """Return the last claim of a job, None without any."""
        return self.claims.get(job_id)

    def cancel(self, job_id: str) -> None:
        """Record that a job's caller has cancelled it."""
        self.cancelled[job_id] = self.runtime.now() + self.timing.cancellations_kept_s

    def is_cancelled(self, job_id: str) -> bool:
        """Return whether a caller has cancelled a job."""
        return job_id in self.stored or self.cancelled.get(job_id, 0.0) > self.runtime.now()

    def remove_expired(self) -> None:
        """Remove the claims and cancellations that have ended."""
        now = self.runtime.now()
        self.claims = {
            job_id: stored for job_id, stored in self.claims.items() if stored.expires_at > now
        }
        self.cancelled = {
            job_id: expires_at for job_id, expires_at in self.cancelled.items() if expires_at > now
        }
