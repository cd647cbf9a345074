"""Detects failed pool owners and takes their pools over.

Before a takeover the candidate checks that it is not isolated itself: another instance must confirm
that the owner is unresponsive or, if no other instance answers, the platform must be reachable.  An
unneeded takeover is safe because servers fence the lower token, but it interrupts the pool and
ownership could alternate.
"""

from collections.abc import Callable

from rosedyke import runtime as runtime_module
from rosedyke.observe import event
from rosedyke.rerunnable_jobs import (
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
from rosedyke.scheduling import pool_split
from rosedyke.wire import peer

CHECK_INTERVAL_S = 0.04
# Limits how much longer the check interval gets in a large fleet, in which the timeouts of owners
# are longer as well.
MAX_INTERVAL_FACTOR = 2.5
# Time for peers to report the owner of a pool before it is considered unowned.
NO_OWNER_DELAY_S = 0.06
# After its start an instance waits this long for listed instances of a pool's data centre that have
# not answered yet, because one of them may own the pool.  The first renewals are sent up to 0.1 s
# after the start, and on a busy machine the connection and the answer take another 0.1 s.
FIRST_ANSWERS_S = 0.3
# If a peer had contact with the owner within this time, the owner is alive and only unreachable
# from this instance.
RECENT_CONTACT_S = 0.35
# Peers that are asked about an unresponsive owner.
MAX_QUERIED_PEERS = 6
# Candidates in the pool's data centre that renew with its owner at the short interval; bounds the
# owner's load in a large fleet.  Other candidates take over seconds later if all watchers fail too.
LOCAL_WATCHERS = 4
# Candidates in the pool's data centre that check it at all.  If all of them fail, others replace
# them as soon as they no longer count as alive.
LOCAL_CANDIDATES = candidate_rank.MAX_RANK
# Candidates in other data centres that renew with an owner and may take the pool if its data centre
# has no instance left.
REMOTE_WATCHERS = 3
# How long a candidate in another data centre must have waited for the answer to a renewal before it
# suspects the owner.
UNANSWERED_S = 0.3
# Instances of a data centre that are asked before it is considered lost, best candidates first.
MAX_PROBED_INSTANCES = 12
# A candidate in another data centre probes the pool's servers once and then its instances this many
# times.  After a network partition ends, servers are reachable at once, but reconnecting to
# instances can take half a second.
REMOTE_PROBES = 4
REMOTE_PROBE_INTERVAL_S = 0.3
# After a takeover attempt that was not confirmed.
RETRY_DELAY_S = 0.3


class Takeover:
    """Takes over the pools for which this instance is the best alive candidate.

    Parameters
    ----------
    claim_pool : callable
        ``claim_pool(pool, reason)`` makes this instance the owner.
    unanswered_s : callable
        ``unanswered_s(name)`` returns for how many seconds an instance has not answered a renewal,
        0 if it has answered the last one.
    has_stood_still : callable
        ``has_stood_still(since)`` returns whether this process has stood still since a time.

    Attributes
    ----------
    listed_since : float or None
        Since when servers are known, None while none are.
    """

    def __init__(
        self,
        timing: settings.RerunSettings,
        runtime: runtime_module.Runtime,
        peers: peer.Peers,
        view: fleet_view.FleetView,
        indexed_pools: pool_index.PoolIndex,
        gateway: ports.ServerGateway,
        claim_pool: Callable[[str, str], None],
        unanswered_s: Callable[[str], float] = lambda name: float("inf"),
        has_stood_still: Callable[[float], bool] = lambda since: False,
    ):
        self.has_stood_still = has_stood_still
        self.unanswered_s = unanswered_s
        self.timing = timing
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
        # Cached result of ``candidate_pools``, and the objects that it was computed from.
        self.cached_candidacies: tuple[str, ...] = ()
        self.candidacy_basis: tuple = (None, None, None)
        self.is_running = True
        # Set while the instance starts or shuts down; it then takes no pool.
        self.is_suspended = False
        self.listed_since: float | None = None

    def run(self) -> None:
        """Check all candidate pools until stopped."""
        while self.is_running:
            names = self.pools.names()
            if self.listed_since is None and names:
                self.listed_since = self.runtime.now()
            if not self.is_suspended and self.may_claim():
                for pool in self.candidate_pools():
                    self._check_pool(pool)
            self.runtime.sleep(
                CHECK_INTERVAL_S * min(self.fleet.interval_factor, MAX_INTERVAL_FACTOR)
            )

    def listed_s(self) -> float | None:
        """Return the seconds since servers became known, None if none are."""
        return None if self.listed_since is None else self.runtime.now() - self.listed_since

    def may_claim(self) -> bool:
        """Return whether this instance knows the names of the pools, or has waited long enough."""
        splits = self.pools.registry.pool_splits()
        return pool_split.may_claim(self.timing.balances_pools, splits, self.listed_s())

    def back_off(self, pool: str) -> None:
        """Do not take a pool for a while, so that ownership does not alternate."""
        self.retry_at[pool] = self.runtime.now() + self.timing.rest_s

    def _check_pool(self, pool):
        now = self.runtime.now()
        claim = self.fleet.claim_of(pool)
        if claim is not None and claim.owner.name == self.fleet.this_instance.name:
            self.ownerless_since.pop(pool, None)
            return
        if claim is None:
            elapsed_s = now - self.ownerless_since.setdefault(pool, now)
            required_s = NO_OWNER_DELAY_S
            if self._awaits_first_answers(pool):
                return
        else:
            self.ownerless_since.pop(pool, None)
            elapsed_s = self.fleet.owner_contact_age_s(pool)
            added_s = self.fleet.added_owner_timeout_s()
            required_s = self.timing.owner_suspected_s + added_s
            required_s += min(
                self.fleet.delay.allowance_s(now), self.timing.owner_allowance_s(added_s)
            )
            if not self._is_local(pool) and self.unanswered_s(claim.owner.name) < UNANSWERED_S:
                # Without renewals, which only the first candidates send, silence means nothing.
                return
        # Computing the rank is expensive, so the minimum delay is checked first.
        required_s += self._location_delay_s(pool)
        if elapsed_s < required_s or now < self.retry_at.get(pool, 0.0) or pool in self.in_progress:
            return
        if elapsed_s < required_s + self._rank_delay_s(pool, claim):
            return
        self.in_progress.add(pool)
        self.runtime.spawn(self._attempt, pool, claim)

    def _awaits_first_answers(self, pool):
        """Return whether a listed instance that may own a pool has not answered since the start.

        Its own renewals do not count, since they do not contain its claims.
        """
        data_centre = ports.data_centre_of(pool)
        return self.listed_s() < FIRST_ANSWERS_S and any(
            instance.data_centre == data_centre and instance.name not in self.fleet.answered
            for instance in self.fleet.instances().values()
        )

    def _is_local(self, pool):
        return self.fleet.this_instance.data_centre == ports.data_centre_of(pool)

    def _location_delay_s(self, pool):
        """Return the delay of this candidate due to its data centre."""
        return 0.0 if self._is_local(pool) else self.timing.foreign_delay_s

    def _rank_delay_s(self, pool, claim):
        """Return the delay of this candidate due to its rank."""
        rank = self.rank(pool, claim)
        delay_s = rank * self.timing.rank_delay_s
        if self._is_local(pool) and rank >= LOCAL_WATCHERS:
            # Not a watcher: renews with the owner as rarely as a remote candidate.
            delay_s += self.fleet.added_timeout_s()
        return delay_s

    def rank(self, pool: str, claim: messages.Claim | None) -> int:
        """Return this instance's rank among the candidates of its data centre or of all others."""
        return self.ranks.rank_for(pool, claim.owner.name if claim else "")

    def is_candidate(self, pool: str) -> bool:
        """Return whether this instance may take a pool at all."""
        if self.fleet.interval_factor <= 1:
            return True
        limit = LOCAL_CANDIDATES if self._is_local(pool) else REMOTE_WATCHERS
        return self.ranks.rank_for(pool) < limit

    def candidate_pools(self) -> tuple[str, ...]:
        """Return the pools that this instance may take."""
        basis = (self.pools.names(), self.ranks.current_ranks(), self.fleet.interval_factor <= 1)
        if any(new is not known for new, known in zip(basis, self.candidacy_basis, strict=True)):
            self.candidacy_basis = basis
            self.cached_candidacies = tuple(pool for pool in basis[0] if self.is_candidate(pool))
        return self.cached_candidacies

    def is_watcher(self, pool: str, claim: messages.Claim | None) -> bool:
        """Return whether this instance monitors a pool's owner at the short interval."""
        return self._is_local(pool) and self.rank(pool, claim) < LOCAL_WATCHERS

    def _attempt(self, pool, claim):
        began_at = self.runtime.now()
        try:
            is_lost = self._is_owner_lost(pool, claim) and not self.has_stood_still(began_at)
            if is_lost and not self.is_suspended:
                reason = "its owner is unresponsive" if claim else "it has no owner"
                if self.fleet.claim_of(pool) == claim:
                    self.claim_pool(pool, reason)
            else:
                self.retry_at[pool] = max(
                    self.retry_at.get(pool, 0.0), self.runtime.now() + RETRY_DELAY_S
                )
        finally:
            self.in_progress.discard(pool)

    def _is_owner_lost(self, pool, claim):
        """Return whether other instances or the platform confirm that a pool has no owner."""
        if not self._is_local(pool):
            return self._is_data_centre_lost(pool) and self._reaches_other_data_centre()
        if claim is None:
            return True
        contact_ages = self._query_peers(pool, claim)
        if self.fleet.claim_of(pool) != claim:
            return False  # changed meanwhile
        event.log(
            events.OWNER_SUSPECTED,
            pool=pool,
            owner=claim.owner.name,
            silent_ms=round(self.fleet.owner_contact_age_s(pool) * 1000),
            witnesses=len(contact_ages),
            heard=[age for age in contact_ages if age is not None],
        )
        if any(age is not None and age < RECENT_CONTACT_S for age in contact_ages):
            return False
        return bool(contact_ages) or self.fleet.directory.can_reach()

    def _reaches_other_data_centre(self):
        """Return whether another data centre or the platform is reachable.

        To an isolated instance every other data centre looks lost.  If it still reached the servers
        it would fence the alive owners and end their runs.
        """
        local_data_centre, instances = self.fleet.this_instance.data_centre, self.fleet.instances()
        is_other_alive = any(
            instances[name].data_centre != local_data_centre
            for name in self.fleet.alive()
            if name in instances
        )
        return is_other_alive or self.fleet.directory.can_reach()

    def _query_peers(self, pool, claim):
        """Return the seconds since each of several peers had contact with the owner."""
        peers = [
            instance
            for instance in self.fleet.instances().values()
            if instance.name != claim.owner.name and self.fleet.is_alive(instance.name)
        ]
        # Best candidates first: the watchers renew with the owner most often.
        ranked = election.rank_candidates(pool, ports.data_centre_of(pool), peers)
        replies = self._request_all(
            ranked[:MAX_QUERIED_PEERS], messages.ContactAgeQuery(pool, claim.token)
        )
        return [reply.age_s for reply in replies]

    def _request_all(self, instances, message):
        timeout_s = self.timing.query_s + self.fleet.delay.allowance_s(self.runtime.now())
        return fan_out.request_all(self.runtime, self.peers, instances, message, timeout_s)

    def _is_data_centre_lost(self, pool):
        """Return whether the data centre of a remote pool has no reachable instance left.

        Servers are probed first.  When a partition between data centres ends, servers and owner
        become reachable together, so the later probes of the instances see the owner.
        """
        if not self._reaches_server(pool):
            return False
        for _ in range(REMOTE_PROBES):
            if self._is_any_local_reachable(pool):
                return False
            self.runtime.sleep(REMOTE_PROBE_INTERVAL_S)
        return not self._is_any_local_reachable(pool)

    def _is_any_local_reachable(self, pool):
        """Return whether the pool's owner or one of the candidates in its data centre answers."""
        data_centre = ports.data_centre_of(pool)
        local_instances = election.rank_candidates(
            pool,
            data_centre,
            (
                instance
                for instance in self.fleet.instances().values()
                if instance.data_centre == data_centre
            ),
        )[:MAX_PROBED_INSTANCES]
        claim = self.fleet.claim_of(pool)
        if claim is not None:
            local_instances.append(claim.owner)
        return bool(self._request_all(local_instances, messages.ContactAgeQuery(pool, 0)))

    def _reaches_server(self, pool):
        for server in self.pools.servers(pool):
            added_s = self.fleet.delay.added_command_s(self.runtime.now())
            try:
                # Token 0 is below every owner's, so the call has no side effects.
                self.gateway.renew_lease(server, 0, 0, None, 0.0, self.timing.order_s + added_s)
            except ports.CommandRefused:
                return True
            except ports.ServerError:
                continue
            return True
        return False
