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

TICK_S = 0.04
# In a large fleet silence is noticed later anyway, and the pools are looked at less often by this
# factor at most.
MAX_STRETCH = 2.5
# A pool without any known owner is taken after this long, in which peers may tell of one.
UNKNOWN_S = 0.06
# Heard by another instance within this time: the owner lives and this instance is cut off.
HEARD_S = 0.35
# Others that are asked about a silent owner.
WITNESSES = 6
# So many candidates of its own data centre listen closely to an owner.  With all of them an owner
# would be asked the more often the larger the fleet is; the others follow in seconds if the
# watchers are lost together with the owner.
WATCHERS = 4
# So many candidates of each other data centre listen to an owner, and may take the pool if its own
# data centre has nobody left.
FAR_WATCHERS = 3
# A candidate of another data centre asks the pool's own instances so many times in a row, and the
# servers before that.  When a cut ends, the servers are in reach at once, but connections to the
# instances that were open during the cut can take half a second to be replaced.
FOREIGN_ROUNDS = 4
FOREIGN_ROUND_S = 0.3
# After an attempt that others or the servers spoke against.
AGAIN_S = 0.3


class Succession:
    """Takes pools over when it is this instance's turn.

    Parameters
    ----------
    take : callable
        ``take(pool, reason)`` makes this instance the owner.
    """

    def __init__(
        self,
        times: settings.RerunSettings,
        runtime: runtime_module.Runtime,
        peers: peer.Peers,
        known: fleet_view.Fleet,
        listed: pool_index.Pools,
        gateway: ports.Servers,
        take: Callable[[str, str], None],
    ):
        self.times = times
        self.runtime = runtime
        self.peers = peers
        self.fleet = known
        self.pools = listed
        self.gateway = gateway
        self.take = take
        self.unknown_since: dict[str, float] = {}
        self.not_before: dict[str, float] = {}
        self.trying: set[str] = set()
        self.rankings = candidate_rank.Rankings(known)
        self.is_running = True
        # Set while the instance shuts down or starts: it takes no pool.
        self.is_standing_by = False

    def run(self) -> None:
        """Watch the pools until stopped."""
        while self.is_running:
            if not self.is_standing_by:
                for pool in self.pools.names():
                    if self.is_candidate(pool):
                        self._consider(pool)
            self.runtime.sleep(TICK_S * min(self.fleet.stretch, MAX_STRETCH))

    def rest(self, pool: str) -> None:
        """Leave a pool alone for a while, so that two owners don't take turns."""
        self.not_before[pool] = self.runtime.now() + self.times.rest_s

    def _consider(self, pool):
        now = self.runtime.now()
        claim = self.fleet.owner_of(pool)
        if claim is not None and claim.owner.name == self.fleet.own.name:
            self.unknown_since.pop(pool, None)
            return
        if claim is None:
            silent_s = now - self.unknown_since.setdefault(pool, now)
            needed_s = UNKNOWN_S
        else:
            self.unknown_since.pop(pool, None)
            silent_s = self.fleet.silence_s(pool)
            needed_s = self.times.owner_suspected_s + self.fleet.added_owner_silence_s()
        # Ranking all instances is dear, so it waits until the own turn may have come.
        needed_s += self._least_delay_s(pool)
        if silent_s < needed_s or now < self.not_before.get(pool, 0.0) or pool in self.trying:
            return
        if silent_s < needed_s + self._rank_delay_s(pool, claim):
            return
        self.trying.add(pool)
        self.runtime.spawn(self._try, pool, claim)

    def _least_delay_s(self, pool):
        """Return how much later than the first near candidate this one acts, whatever its rank."""
        if self.fleet.own.data_centre == ports.data_centre_of(pool):
            return 0.0
        # It hears the owner less often, so silence means less.
        return self.times.foreign_delay_s + self.fleet.added_silence_s()

    def _rank_delay_s(self, pool, claim):
        """Return how much later this candidate acts by its rank."""
        rank = self.rank(pool, claim)
        delay_s = rank * self.times.rank_delay_s
        is_near = self.fleet.own.data_centre == ports.data_centre_of(pool)
        if is_near and rank >= WATCHERS:
            # As of a far candidate.
            delay_s += self.fleet.added_silence_s()
        return delay_s

    def rank(self, pool: str, claim: messages.Claim | None) -> int:
        """Return this instance's place among the candidates for a pool, 0 for the first."""
        return self.rankings.place(pool, claim.owner.name if claim else "").rank

    def is_candidate(self, pool: str) -> bool:
        """Return whether this instance may ever take a pool."""
        if self.fleet.own.data_centre == ports.data_centre_of(pool):
            return True
        if self.fleet.stretch <= 1:
            return True
        place = self.rankings.place(pool)
        return place.rank - place.near < FAR_WATCHERS

    def is_watcher(self, pool: str, claim: messages.Claim | None) -> bool:
        """Return whether this instance is one of those that notice an owner's silence at once."""
        if self.fleet.own.data_centre != ports.data_centre_of(pool):
            return False
        return self.rank(pool, claim) < WATCHERS

    def _try(self, pool, claim):
        try:
            if self._is_confirmed(pool, claim) and not self.is_standing_by:
                reason = "its owner is silent" if claim else "it has no owner"
                if self.fleet.owner_of(pool) == claim:
                    self.take(pool, reason)
            else:
                self.not_before[pool] = max(
                    self.not_before.get(pool, 0.0), self.runtime.now() + AGAIN_S
                )
        finally:
            self.trying.discard(pool)

    def _is_confirmed(self, pool, claim):
        if self.fleet.own.data_centre != ports.data_centre_of(pool):
            return self._is_abandoned(pool) and self._is_connected()
        if claim is None:
            return True
        answers = self._ask_witnesses(pool, claim)
        event.log(
            events.OWNER_SUSPECTED,
            pool=pool,
            owner=claim.owner.name,
            silent_ms=round(self.fleet.silence_s(pool) * 1000),
            witnesses=len(answers),
            heard=[age for age in answers if age is not None],
        )
        if any(age is not None and age < HEARD_S for age in answers):
            return False
        return bool(answers) or self.fleet.directory.can_reach()

    def _is_connected(self):
        """Return whether this instance reaches more than its own data centre.

        To one that is cut off every other data centre looks abandoned.  It still reaches the
        servers, so it would fence the living owners off and end all that runs there.
        """
        own, instances = self.fleet.own.data_centre, self.fleet.instances()
        is_met = any(
            instances[name].data_centre != own for name in self.fleet.alive() if name in instances
        )
        return is_met or self.fleet.directory.can_reach()

    def _ask_witnesses(self, pool, claim):
        """Return what other instances say about when they heard the owner."""
        others = [
            each
            for each in self.fleet.instances().values()
            if each.name != claim.owner.name and self.fleet.is_alive(each.name)
        ]
        # The watchers first, who have listened most closely.
        order = election.order(pool, ports.data_centre_of(pool), others)
        answers = self._ask(order[:WITNESSES], messages.Query(pool, claim.token))
        return [answer.age_s for answer in answers]

    def _ask(self, instances, query):
        return fan_out.ask_all(self.runtime, self.peers, instances, query, self.times.query_s)

    def _is_abandoned(self, pool):
        """Return whether a pool of another data centre has nobody of its own left.

        When a cut between data centres ends, the servers come into reach at the same moment as
        their owner.  So the servers are asked first and the instances after that.
        """
        if not self._reaches_server(pool):
            return False
        for _ in range(FOREIGN_ROUNDS):
            if self._is_local_heard(pool):
                return False
            self.runtime.sleep(FOREIGN_ROUND_S)
        return not self._is_local_heard(pool)

    def _is_local_heard(self, pool):
        """Return whether any instance of a pool's own data centre, or its owner, answers."""
        data_centre = ports.data_centre_of(pool)
        locals_ = [
            each for each in self.fleet.instances().values() if each.data_centre == data_centre
        ]
        claim = self.fleet.owner_of(pool)
        if claim is not None:
            locals_.append(claim.owner)
        return bool(self._ask(locals_, messages.Query(pool, 0)))

    def _reaches_server(self, pool):
        for server in self.pools.servers(pool):
            try:
                # Token 0 is below every owner's: the server does nothing but answer.
                self.gateway.hold(server, 0, 0, None, 0.0, self.times.order_s)
            except ports.Refused:
                return True
            except ports.ServerError:
                continue
            return True
        return False
