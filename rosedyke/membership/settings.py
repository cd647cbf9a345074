"""Settings of the membership protocol."""

import math

import attrs

# Above this many members the probe period grows with the logarithm of their number, which bounds
# the cost per instance while piggybacked updates still reach all members in a few periods.
FULL_RATE_MEMBERS = 8


@attrs.frozen
class MembershipSettings:
    """Timing and limits of joining, failure detection and gossip.

    Attributes
    ----------
    seeds : tuple of str
        ``ip:port`` of instances to contact when joining; should include every data centre.
    probe_period_s : float
        Seconds between two probes by one instance, up to ``FULL_RATE_MEMBERS`` members.
    probe_timeout_s : float
        Timeout in seconds of a direct probe; an indirect probe gets a multiple of it.
    indirect_probes : int
        Members asked to probe a member that didn't answer a direct probe.
    suspicion_s : float
        Seconds between the first suspicion and the declaration of death.
    pause_bound_s : float
        An instance that was paused for longer re-joins.  Less than ``suspicion_s``, so that no
        instance resumes unaware that its peers have declared it dead.
    isolation_s : float
        Seconds without an answer from any other member of the data centre after which an
        instance is isolated and starts nothing new.  Less than ``probe_timeout_s`` and
        ``suspicion_s`` together, so that it stops before its peers declare it dead.
    tick_s : float
        Seconds between two checks for a pause of this process.
    join_alone_s : float
        Seconds to wait for an answer from any seed before joining alone.
    acknowledge_timeout_s : float
        Seconds to wait for a member's acknowledgement before announcing again.
    sync_period_s : float
        Seconds between two comparisons of the whole table with a random member.
    reconnect_period_s : float
        Seconds between two attempts to reach a seed or a member declared dead.
    relays : int
        Members of each data centre that exchange updates with other data centres.
    relay_period_s : float
        Seconds between two exchanges of a relay with another data centre.
    unreachable_s : float
        Seconds without a successful exchange after which a data centre is unreachable.
    tombstone_s : float
        Seconds for which the record of a dead member is kept.
    record_bytes : int
        Maximum bytes of member records piggybacked on one message.  There are few records, except
        when many instances start or fail at once, and then they are urgent.
    advert_bytes : int
        Maximum bytes of adverts, which change all the time, piggybacked on one message.
    exchange_bytes : int
        Maximum bytes of adverts in one exchange with another data centre.
    """

    seeds: tuple[str, ...] = ()
    probe_period_s: float = 0.25
    probe_timeout_s: float = 0.2
    indirect_probes: int = 3
    suspicion_s: float = 1.0
    tick_s: float = 0.2
    pause_bound_s: float = attrs.field(default=0.8)
    isolation_s: float = attrs.field(default=0.8)
    join_alone_s: float = 3.0
    acknowledge_timeout_s: float = 0.3
    sync_period_s: float = 10.0
    reconnect_period_s: float = 3.0
    relays: int = 2
    relay_period_s: float = 2.0
    unreachable_s: float = 6.0
    tombstone_s: float = 3600.0
    record_bytes: int = 1400
    advert_bytes: int = 300
    exchange_bytes: int = 1200

    @pause_bound_s.validator
    def _check_pause_bound(self, attribute, value):
        if value + self.tick_s > self.suspicion_s:
            raise ValueError("pause_bound_s plus tick_s must not exceed suspicion_s")

    @isolation_s.validator
    def _check_isolation(self, attribute, value):
        if value + self.tick_s > self.probe_timeout_s + self.suspicion_s:
            raise ValueError(
                "isolation_s plus tick_s must not exceed probe_timeout_s plus suspicion_s"
            )

    def scaled_probe_period_s(self, members: int) -> float:
        """Return the probe period for a data centre of that many members."""
        if members <= FULL_RATE_MEMBERS:
            return self.probe_period_s
        return self.probe_period_s * math.log2(members) / math.log2(FULL_RATE_MEMBERS)
