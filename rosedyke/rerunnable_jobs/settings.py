"""Settings of rerunnable jobs.

The times depend on each other.  A caller that does not know whether its job ran resubmits it after
``resubmit_s``; all runs of the first submission must be over by then.  These times count from the
loss of an instance.  How late a caller's request or its close may be has no bound; claims
(``single_holder``) prevent a second holder for that.  ``check`` validates the
resulting inequalities at startup.
"""

from collections.abc import Mapping

import attrs

from rosedyke import fault
from rosedyke.overload import own_delay
from rosedyke.scheduling import shares

# Maximum drift of a server's monotonic clock; leases last longer on a slow clock.
CLOCK_DRIFT = 0.02
# Time by which the last lease on a lost holder's run ends before the resubmission.
HOLDER_LEASE_MARGIN_S = 0.03
# Longest interval at which candidates check a pool in a large fleet.
TAKEOVER_CHECK_S = 0.1


class InvalidTimings(fault.RosedykeError):
    """The times do not prevent concurrent runs of a job."""

    code = "rerun_times"


@attrs.frozen
class RerunSettings:
    """Times and bounds of rerunnable jobs.

    Attributes
    ----------
    resubmit_s : float
        Minimum time before a caller resubmits a job whose answer was lost.
    lease_s : float
        Runs on a server end this long after the last lease renewal, or ``holder_lease_s`` after one
        of their holders was last heard from if that is earlier.
    look_s : float
        Long-poll timeout of a server's listing; each poll renews the lease.  A third of the
        lease, so that two renewals may be lost.
    renew_s : float
        Interval at which a holder renews its jobs at each pool owner in a small fleet.
    renew_at_most_s : float
        Maximum of that interval in a large fleet.
    holder_lost_s : float
        An owner cancels a job that was not renewed for this long, nearly three renewals in a large
        fleet.
    owner_suspected_s : float
        An owner that was unresponsive for this long, four renewals, is suspected to have failed.
    owner_lost_s : float
        A holder ends its jobs at an owner that was unresponsive for this long.  Longer than a
        takeover, after which the successor continues the jobs.
    stale_s : float
        A submission with a longer transit time is rejected, because its caller may have
        resubmitted the job elsewhere.  A network partition can delay bytes by seconds.
    rank_delay_s : float
        Additional takeover delay per rank of a candidate.
    foreign_delay_s : float
        Additional takeover delay of candidates in other data centres.
    return_s : float
        A remote owner returns a pool once a candidate in the pool's data centre has been alive for
        this long.  Prevents ownership from alternating.
    rest_s : float
        How long an instance that lost a pool does not try to take it again.
    query_s : float
        Timeout of queries to other instances about an unresponsive owner.
    claim_s : float
        Timeout of a claim on a job at another instance.  Several times a round trip within a
        region; a job waits for it if no quorum of its registrars answers.
    order_s : float
        Timeout of a command to a server, which may still execute it later.  Replies take 1 to
        5 ms; a shorter timeout would stop tasks after a brief stall of this process.
    stop_retry_s : float
        Delay before an unanswered stop command is repeated.
    contact_s : float
        A server that was unresponsive for this long gets no new tasks.
    orphan_s : float
        How long a new owner waits for holders to claim the runs that it found.
    wait_for_owner_s : float
        How long a holder keeps a new job while no pool has an owner; about one takeover.
    pause_s : float
        An owner whose process was paused for this long steps down, because its state is stale.
        Less than ``holder_lost_s``.
    kept_s : float
        How long the outcome of a finished job is kept for a holder that missed it.
    late_factor : float
        A caller no longer needs an answer after this many times its objective.
    link_bytes_per_s : float
        Rate of the instance's network link in each direction, 0 if it is unlimited.
    balances_pools : bool
        An owner of several pools hands some over to instances that own fewer.
    schedules_by_kind : bool
        While a pool is under pressure, priority 0 comes first, servers are kept for its tasks that
        fit on none, and queues of one priority share the pool.
    predicts_completion : bool
        Jobs are refused by their predicted completion, and by a limit on the jobs held.
    queue_shares : mapping of str to QueueShare
        Weights and limits of queues, for those that do not have the defaults.  They take effect
        with ``schedules_by_kind`` only.
    cancellations_kept_s : float
        How long a cancelled job is remembered at least, also beyond a restart of all instances.
        Less than the longest lease of the store.
    cancellation_writes_per_s : float
        Rate at which all instances together may write cancellations.
    cancellations_wait_s : float
        An instance that can't read the stored cancellations accepts no jobs so long after its
        start.
    balances_data_centres : bool
        While little of the local capacity is free, jobs with slack accept other data centres, and
        a full pool asks several owners for free capacity at once.
    """

    resubmit_s: float = 1.3
    lease_s: float = 0.9
    look_s: float = 0.3
    renew_s: float = 0.1
    renew_at_most_s: float = 0.25
    holder_lost_s: float = 0.7
    owner_suspected_s: float = 0.4
    owner_lost_s: float = 0.85
    stale_s: float = 0.4
    rank_delay_s: float = 0.1
    foreign_delay_s: float = 0.4
    return_s: float = 4.0
    rest_s: float = 4.0
    query_s: float = 0.08
    claim_s: float = 0.15
    order_s: float = 0.1
    stop_retry_s: float = 0.1
    contact_s: float = 0.5
    orphan_s: float = 0.4
    wait_for_owner_s: float = 1.0
    pause_s: float = 0.35
    kept_s: float = 2.0
    late_factor: float = 3.0
    link_bytes_per_s: float = 0.0
    balances_pools: bool = False
    schedules_by_kind: bool = False
    predicts_completion: bool = False
    # Without hash, because mappings have none.
    queue_shares: Mapping[str, shares.QueueShare] = attrs.field(factory=dict, hash=False)
    balances_data_centres: bool = False
    cancellations_kept_s: float = 540.0
    cancellation_writes_per_s: float = 200.0
    cancellations_wait_s: float = 3.0

    @property
    def max_order_s(self) -> float:
        """The longest timeout of a command, which includes the backlog of a limited link."""
        return self.order_s + (own_delay.MAX_ADDED_DELAY_S if self.link_bytes_per_s else 0.0)

    def owner_allowance_s(self, added_s: float) -> float:
        """Return the most by which an own delay may extend an owner's timeout.

        A takeover has to start before the holders end the owner's jobs, but the smallest backlog
        that a limited link usually has must not make owners look lost.

        Parameters
        ----------
        added_s : float
            By how much the timeout is longer than in a small fleet.
        """
        if not self.link_bytes_per_s:
            return 0.0
        remaining_s = self.owner_lost_s - self.owner_suspected_s - added_s - TAKEOVER_CHECK_S
        longest_s = min(own_delay.MAX_ALLOWANCE_S, remaining_s)
        return max(own_delay.MAX_ADDED_DELAY_S, longest_s)

    @property
    def lease_end_s(self) -> float:
        """The longest time that a run continues after the last renewal was sent, by local clock."""
        return self.lease_s * (1 + 2 * CLOCK_DRIFT) + 0.03

    @property
    def holder_lease_s(self) -> float:
        """The longest lease on a run, counted from when its holder sent the last renewal.

        The caller may resubmit the job ``resubmit_s`` after the holder has failed.  The owner, or
        its link to the server, may fail later than the holder, so that no stop command arrives.
        """
        return self.resubmit_s - (self.lease_end_s - self.lease_s) - HOLDER_LEASE_MARGIN_S

    @property
    def holder_lease_end_s(self) -> float:
        """The longest time that a run continues after its holder's last renewal, by local clock."""
        return self.holder_lease_s + self.lease_end_s - self.lease_s


def check(timing: RerunSettings) -> None:
    """Raise ``InvalidTimings`` with every inequality that does not hold."""
    violations = []
    # If the holder and the owner fail together, only the leases end the runs.
    if timing.lease_end_s >= timing.resubmit_s:
        violations.append("a lease must end before the caller sends its job again")
    # If only messages from owner to holder are lost, the caller learns of the failure at once.
    if timing.holder_lost_s + timing.max_order_s + timing.stop_retry_s >= timing.resubmit_s:
        violations.append("an owner must stop a lost holder's job before the caller sends it again")
    # The holder may fail right after the submission, which may arrive up to ``stale_s`` later.
    if timing.stale_s + timing.holder_lost_s + timing.max_order_s >= timing.resubmit_s:
        violations.append("a job that arrives late must be over before the caller sends it again")
    # A lease on a run is bounded by the last renewal of its holder and applies to the whole server.
    if timing.lease_s + timing.renew_s >= timing.holder_lease_s:
        violations.append(
            "renewals on time must suffice for a whole lease within the time to resubmit"
        )
    if timing.holder_lost_s + timing.max_order_s + timing.stop_retry_s >= timing.holder_lease_s:
        violations.append("an owner must stop a lost holder's job before the server's lease ends")
    if timing.pause_s >= timing.holder_lost_s:
        violations.append("a paused owner must step down before its jobs count as lost")
    if 2 * timing.renew_at_most_s >= timing.holder_lost_s:
        violations.append("a job must not be cancelled after a single lost renewal")
    added_s = max(0.0, timing.renew_at_most_s - timing.renew_s)
    allowed_s = added_s + timing.owner_allowance_s(added_s)
    if timing.owner_suspected_s + allowed_s >= timing.owner_lost_s:
        violations.append("a takeover must start before the holders end the jobs of a lost owner")
    if violations:
        raise InvalidTimings("; ".join(violations))
