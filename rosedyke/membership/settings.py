"""Settings of the membership protocol."""

import math

import attrs

# Up to this many members the probe period is the configured one; above, it grows with the
# logarithm, so that the updates that every probe carries still reach everyone in a few periods
# while each node's cost stays the same.
FULL_RATE_MEMBERS = 8


@attrs.frozen
class MembershipSettings:
    """How members find each other and how fast a death is noticed.

    Attributes
    ----------
    seeds : tuple of str
        ``ip:port`` of instances to ask when joining; some of each data centre.
    probe_period_s : float
        Seconds between two probes of one instance, in a small data centre.
    probe_timeout_s : float
        Seconds that a direct or indirect probe may take.
    indirect_probes : int
        Members asked to probe one that didn't answer.
    suspicion_s : float
        Seconds between the first suspicion and the declaration of death.
    pause_bound_s : float
        An instance whose own loop stood still for longer re-joins.  Less than ``suspicion_s``,
        so that no instance goes on unaware that its peers have declared it dead.
    isolation_s : float
        An instance that no other member of its data centre has answered for so long starts
        nothing new.  Less than ``probe_timeout_s`` and ``suspicion_s`` together, so that it
        stops before its peers declare it dead.
    tick_s : float
        How often the own loop is watched.
    join_alone_s : float
        Seconds to wait for any seed before going on alone.
    acknowledge_timeout_s : float
        Seconds for a member to acknowledge an announcement before it is asked again.
    sync_period_s : float
        Seconds between two comparisons of the whole table with a random member.
    reconnect_period_s : float
        Seconds between two attempts to reach a seed or dead member again.
    relays : int
        Members of each data centre that exchange with other data centres.
    relay_period_s : float
        Seconds between two exchanges of a relay with another data centre.
    unreachable_s : float
        A data centre unheard of for this many seconds is shown as unreachable.
    tombstone_s : float
        Seconds for which a dead member is remembered.
    record_bytes : int
        Bound on the changes of members that one message carries; there are few but when many
        instances start or die at once, and then they are urgent.
    advert_bytes : int
        Bound on the advertised values that one message carries; these change all the time.
    exchange_bytes : int
        Bound on the advertised values that a relay gives to another data centre at a time.
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
            raise ValueError("pause_bound_s and a tick must be less than suspicion_s")

    @isolation_s.validator
    def _check_isolation(self, attribute, value):
        if value + self.tick_s > self.probe_timeout_s + self.suspicion_s:
            raise ValueError(
                "isolation_s and a tick must be less than probe_timeout_s and suspicion_s"
            )

    def period_s(self, members: int) -> float:
        """Return the probe period in a data centre of that many members."""
        if members <= FULL_RATE_MEMBERS:
            return self.probe_period_s
        return self.probe_period_s * math.log2(members) / math.log2(FULL_RATE_MEMBERS)
