"""Who takes a pool over, and when.

Every instance watches the owners.  A candidate whose turn has come makes sure that it isn't the
one that is cut off: another instance must agree that the owner is silent, or, if there is none,
the platform must be in reach.  A wrong takeover would be safe, since servers refuse the lower
token, but it would stop all work on the pool for a moment and could go back and forth.
"""

from collections.abc import Callable

from rosedyke import runtime as runtime_module
from rosedyke.observe import event
from rosedyke.rerun import (
    candidate_rank,
    election,
    events,
    fan_out,
    fleet_view,
    messages,
    pool_index,
    ports,
    settings,
)
from rosedyke.wire import peer

CHECK_INTERVAL_S = 0.04
# In a large fleet silence is noticed later anyway, and the pools are looked at less often by this
# factor at most.
MAX_INTERVAL_FACTOR = 2.5
# A pool without any known owner is taken after this long, in which peers may tell of one.
NO_OWNER_DELAY_S = 0.06
# Heard by another instance within this time: the owner lives and this instance is cut off.
RECENT_CONTACT_S = 0.35
# Others that are asked about a silent owner.
MAX_QUERIED_PEERS = 6
# So many candidates of its own data centre listen closely to an owner.  With all of them an owner
# would be asked the more often the larger the fleet is; the others follow in seconds if the
# watchers are lost together with the owner.
LOCAL_WATCHERS = 4
# So many candidates of each other data centre listen to an owner, and may take the pool if its own
# data centre has nobody left.
REMOTE_WATCHERS = 3
# A candidate of another data centre asks the pool's own instances so many times in a row, and the
# servers before that.  When a cut ends, the servers are in reach at once, but connections to the
# instances that were open during the cut can take half a second to be replaced.
REMOTE_PROBES = 4
REMOTE_PROBE_INTERVAL_S = 0.3
# After an attempt that others or the servers spoke against.
RETRY_DELAY_S = 0.3


class Takeover:
    """Takes pools over when it is this instance's turn.

    Parameters
    ----------
    claim_pool : callable
        ``take(pool, reason)`` makes this instance the owner.
    """

    def __init__(
        self,
        rerun_settings: settings.RerunSettings,
        runtime: runtime_module.Runtime,
        peers: peer.Peers,
        view: fleet_view.FleetView,
        indexed_pools: pool_index.PoolIndex,
        gateway: ports.Servers,
        claim_pool: Callable[[str, str], None],
    ):
        self.settings = rerun_settings
        self.runtime = runtime
        self.peers = peers
        self.fleet = view
        self.pools = indexed_pools
        self.gateway = gateway
        self.claim_pool = claim_pool
        self.ownerless_since: dict[str, float] = {}
        self.retry_at: dict[str, float] = {}
        self.in_progress: set[str] = set()
        self.ranks = candidate_rank.RankCache(view)
        self.is_running = True
        # Set while the instance shuts down or starts: it takes no pool.
        self.is_suspended = False

    def run(self) -> None:
        """Watch the pools until stopped."""
        while self.is_running:
            if not self.is_suspended:
                for pool in self.pools.names():
                    if self.is_candidate(pool):
                        self._check_pool(pool)
            self.runtime.sleep(
                CHECK_INTERVAL_S * min(self.fleet.interval_factor, MAX_INTERVAL_FACTOR)
            )

    def back_off(self, pool: str) -> None:
        """Leave a pool alone for a while, so that two owners don't take turns."""
        self.retry_at[pool] = self.runtime.now() + self.settings.rest_s

    def _check_pool(self, pool):
        now = self.runtime.now()
        claim = self.fleet.claim_of(pool)
        if claim is not None and claim.owner.name == self.fleet.own.name:
            self.ownerless_since.pop(pool, None)
            return
        if claim is None:
            elapsed_s = now - self.ownerless_since.setdefault(pool, now)
            required_s = NO_OWNER_DELAY_S
        else:
            self.ownerless_since.pop(pool, None)
            elapsed_s = self.fleet.owner_contact_age_s(pool)
            required_s = self.settings.owner_suspected_s + self.fleet.added_owner_timeout_s()
        # Ranking all instances is dear, so it waits until the own turn may have come.
        required_s += self._location_delay_s(pool)
        if elapsed_s < required_s or now < self.retry_at.get(pool, 0.0) or pool in self.in_progress:
            return
        if elapsed_s < required_s + self._rank_delay_s(pool, claim):
            return
        self.in_progress.add(pool)
        self.runtime.spawn(self._attempt, pool, claim)

    def _location_delay_s(self, pool):
        """Return how much later than the first near candidate this one acts, whatever its rank."""
        if self.fleet.own.data_centre == ports.data_centre_of(pool):
            return 0.0
        # It hears the owner less often, so silence means less.
        return self.settings.foreign_delay_s + self.fleet.added_timeout_s()

    def _rank_delay_s(self, pool, claim):
        """Return how much later this candidate acts by its rank."""
        rank = self.rank(pool, claim)
        delay_s = rank * self.settings.rank_delay_s
        is_local = self.fleet.own.data_centre == ports.data_centre_of(pool)
        if is_local and rank >= LOCAL_WATCHERS:
            # As of a far candidate.
            delay_s += self.fleet.added_timeout_s()
        return delay_s

    def rank(self, pool: str, claim: messages.Claim | None) -> int:
        """Return this instance's place among the candidates for a pool, 0 for the first."""
        return self.ranks.rank_for(pool, claim.owner.name if claim else "").rank

    def is_candidate(self, pool: str) -> bool:
        """Return whether this instance may ever take a pool."""
        if self.fleet.own.data_centre == ports.data_centre_of(pool):
            return True
        if self.fleet.interval_factor <= 1:
            return True
        standing = self.ranks.rank_for(pool)
        return standing.rank - standing.local_count < REMOTE_WATCHERS

    def is_watcher(self, pool: str, claim: messages.Claim | None) -> bool:
        """Return whether this instance is one of those that notice an owner's silence at once."""
        if self.fleet.own.data_centre != ports.data_centre_of(pool):
            return False
        return self.rank(pool, claim) < LOCAL_WATCHERS

    def _attempt(self, pool, claim):
        try:
            if self._is_owner_lost(pool, claim) and not self.is_suspended:
                reason = "its owner is silent" if claim else "it has no owner"
                if self.fleet.claim_of(pool) == claim:
                    self.claim_pool(pool, reason)
            else:
                self.retry_at[pool] = max(
                    self.retry_at.get(pool, 0.0), self.runtime.now() + RETRY_DELAY_S
                )
        finally:
            self.in_progress.discard(pool)

    def _is_owner_lost(self, pool, claim):
        if self.fleet.own.data_centre != ports.data_centre_of(pool):
            return self._is_data_centre_lost(pool) and self._reaches_other_data_centre()
        if claim is None:
            return True
        answers = self._query_peers(pool, claim)
        event.log(
            events.OWNER_SUSPECTED,
            pool=pool,
            owner=claim.owner.name,
            silent_ms=round(self.fleet.owner_contact_age_s(pool) * 1000),
            witnesses=len(answers),
            heard=[age for age in answers if age is not None],
        )
        if any(age is not None and age < RECENT_CONTACT_S for age in answers):
            return False
        return bool(answers) or self.fleet.directory.can_reach()

    def _reaches_other_data_centre(self):
        """Return whether this instance reaches more than its own data centre.

        To one that is cut off every other data centre looks abandoned.  It still reaches the
        servers, so it would fence the living owners off and end all that runs there.
        """
        own, instances = self.fleet.own.data_centre, self.fleet.instances()
        is_other_alive = any(
            instances[name].data_centre != own for name in self.fleet.alive() if name in instances
        )
        return is_other_alive or self.fleet.directory.can_reach()

    def _query_peers(self, pool, claim):
        """Return what other instances say about when they heard the owner."""
        peers = [
            instance
            for instance in self.fleet.instances().values()
            if instance.name != claim.owner.name and self.fleet.is_alive(instance.name)
        ]
        # The watchers first, who have listened most closely.
        ranked = election.rank_candidates(pool, ports.data_centre_of(pool), peers)
        answers = self._request_all(
            ranked[:MAX_QUERIED_PEERS], messages.ContactAgeQuery(pool, claim.token)
        )
        return [answer.age_s for answer in answers]

    def _request_all(self, instances, message):
        return fan_out.request_all(
            self.runtime, self.peers, instances, message, self.settings.query_s
        )

    def _is_data_centre_lost(self, pool):
        """Return whether a pool of another data centre has nobody of its own left.

        When a cut between data centres ends, the servers come into reach at the same moment as
        their owner.  So the servers are asked first and the instances after that.
        """
        if not self._reaches_server(pool):
            return False
        for _ in range(REMOTE_PROBES):
            if self._is_any_local_reachable(pool):
                return False
            self.runtime.sleep(REMOTE_PROBE_INTERVAL_S)
        return not self._is_any_local_reachable(pool)

    def _is_any_local_reachable(self, pool):
        """Return whether any instance of a pool's own data centre, or its owner, answers."""
        data_centre = ports.data_centre_of(pool)
        local_instances = [
            instance
            for instance in self.fleet.instances().values()
            if instance.data_centre == data_centre
        ]
        claim = self.fleet.claim_of(pool)
        if claim is not None:
            local_instances.append(claim.owner)
        return bool(self._request_all(local_instances, messages.ContactAgeQuery(pool, 0)))

    def _reaches_server(self, pool):
        for server in self.pools.servers(pool):
            try:
                # Token 0 is below every owner's: the server does nothing but answer.
                self.gateway.hold(server, 0, 0, None, 0.0, self.settings.order_s)
            except ports.Refused:
                return True
            except ports.ServerError:
                continue
            return True
        return False
