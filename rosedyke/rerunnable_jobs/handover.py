"""Hands pools over to other instances: on shutdown, to a local candidate, or for balance."""

import collections

from rosedyke.observe import event, metric
from rosedyke.rerunnable_jobs import (
    election,
    events,
    learned_state,
    messages,
    metrics,
    ports,
    predecessors,
)
from rosedyke.scheduling import pool_balance
from rosedyke.wire import peer

# Time for the handover of all pools, and for each of a candidate's replies.  A candidate that shuts
# down as well declines, and one that does not answer is skipped.
HANDOVER_TIMEOUT_S = 0.5
RESIGN_TIMEOUT_S = 0.1
# How often an owner of several pools looks for a receiver, and how long an instance takes part in
# no further move after one.  A move interrupts the pool's starts for some milliseconds.
BALANCE_CHECK_INTERVAL_S = 0.5
MOVE_INTERVAL_S = 2.0


class Handover:
    """Hands over the pools of one node.

    Parameters
    ----------
    node : Node
        Whose pools they are.

    Attributes
    ----------
    moving : dict of str to str
        The receiver of each pool that this instance hands over for balance, by pool.
    is_moving : bool
        The reply of a receiver is awaited.
    moved_at : float
        When this instance last sent or got a pool for balance.
    checked_at : float
        When it last looked for a receiver.
    declined_at : dict of str to float
        When each receiver declined.
    """

    def __init__(self, node):
        self.node = node
        self.started_at = node.runtime.now()
        self.moving: dict[str, str] = {}
        self.is_moving = False
        self.moved_at = self.checked_at = float("-inf")
        self.declined_at: dict[str, float] = {}

    def return_remote_pools(self):
        """Return pools of other data centres once an instance there has been alive long enough."""
        for name in list(self.node.owned_pools):
            data_centre = ports.data_centre_of(name)
            if data_centre == self.node.this_instance.data_centre:
                continue
            stable = [
                instance
                for instance in self.node.fleet.instances().values()
                if instance.data_centre == data_centre
                and self.node.fleet.alive_duration_s(instance.name) > self.node.timing.return_s
            ]
            candidates = election.rank_candidates(name, data_centre, stable)
            if candidates:
                self.node.runtime.spawn(
                    self._hand_pool_over, self.node.owned_pools[name], candidates
                )

    def balance_pools(self) -> None:
        """Hand a pool over if another instance owns fewer for its cores."""
        now = self.node.runtime.now()
        if not self.node.timing.balances_pools or len(self.node.owned_pools) < 2:
            return
        if now - self.checked_at < BALANCE_CHECK_INTERVAL_S:
            return
        self.checked_at = now
        move = self._choose_move(now) if self._takes_part(now) else None
        if move is not None:
            self.is_moving, self.moving[move.pool] = True, move.receiver
            receiver = self.node.fleet.instances()[move.receiver]
            self.node.runtime.spawn(self._move, self.node.owned_pools[move.pool], receiver)

    def _takes_part(self, now):
        """Return whether this instance may send or get a pool for balance."""
        takeovers = self.node.takeovers
        return not (
            takeovers.is_suspended
            or takeovers.in_progress
            or self.is_moving
            or now - self.moved_at < MOVE_INTERVAL_S
            or self._is_isolated()
        )

    def _is_isolated(self):
        """Return whether no owner or less than half of the data centre is reachable."""
        fleet = self.node.fleet
        local = self._local_instances()
        reachable = 1 + sum(fleet.is_alive(instance.name) for instance in local)
        return fleet.isolated_since is not None or 2 * reachable < 1 + len(local)

    def _local_instances(self):
        """Return all other known instances of this data centre."""
        data_centre = self.node.this_instance.data_centre
        return [
            instance
            for instance in self.node.fleet.instances().values()
            if instance.data_centre == data_centre
        ]

    def _load(self, instance, pool_counts):
        return pool_balance.InstanceLoad(instance.name, instance.cores, pool_counts[instance.name])

    def _choose_move(self, now):
        fleet, this_instance = self.node.fleet, self.node.this_instance
        if not all(
            self._has_live_owner(pool)
            for pool in self.node.pools.names()
            if ports.data_centre_of(pool) == this_instance.data_centre
        ):
            return None  # a takeover is pending, so the numbers of pools will change
        pool_counts = collections.Counter(state.claim.owner.name for state in fleet.owners.values())
        receivers = {
            instance.name: instance
            for instance in self._local_instances()
            if self._may_receive(instance.name, now)
        }
        return pool_balance.choose_move(
            self._load(this_instance, pool_counts),
            self._movable_pools(),
            [self._load(instance, pool_counts) for instance in receivers.values()],
            lambda pool, name: election.score(pool, receivers[name]),
        )

    def _has_live_owner(self, pool):
        claim = self.node.fleet.claim_of(pool)
        return claim is not None and (
            claim.owner.name == self.node.this_instance.name
            or self.node.fleet.is_alive(claim.owner.name)
        )

    def _movable_pools(self):
        """Return the local pools whose receiver would know all servers that may have runs."""
        return [
            name
            for name, owned_pool in self.node.owned_pools.items()
            if ports.data_centre_of(name) == self.node.this_instance.data_centre
            and owned_pool.knows_all_servers()
        ]

    def _may_receive(self, name, now):
        """Return whether an instance has been alive for long enough and did not just decline.

        While this instance and its pools are new, an idle pool may go to a new instance: the fleet
        is starting.
        """
        return_s = self.node.timing.return_s
        if now - self.declined_at.get(name, float("-inf")) < return_s:
            return False
        if self.node.fleet.alive_duration_s(name) >= return_s:
            return True
        is_starting = now - self.started_at < return_s and not any(
            owned_pool.jobs for owned_pool in self.node.owned_pools.values()
        )
        return is_starting and self.node.fleet.is_alive(name)

    def _move(self, owned_pool, receiver):
        """Hand a pool over for balance; it stays here if the receiver declines or is lost."""
        try:
            if not self._learn_clock(receiver):
                return
            if not owned_pool.is_active or self.node.takeovers.is_suspended:
                return
            balance = messages.BalanceMove(
                (len(self.node.owned_pools) - 1) / self.node.this_instance.cores
            )
            reply = self._offer(owned_pool, receiver, balance)
        except peer.PeerError as error:
            # The receiver may have taken the pool.  Its higher token then ends this ownership.
            self.moved_at = self.node.runtime.now()
            event.log(events.MESSAGE_NOT_SENT, to=receiver.name, error=error)
            return
        finally:
            self.is_moving = False
        if not reply.is_taken:
            self.moving.pop(owned_pool.name, None)
            self.declined_at[receiver.name] = self.node.runtime.now()
            event.log(events.POOL_MOVE_DECLINED, pool=owned_pool.name, receiver=receiver.name)
            return
        self.moved_at = self.node.runtime.now()
        metric.count(metrics.POOLS_MOVED)
        event.log(
            events.POOL_MOVED,
            pool=owned_pool.name,
            receiver=receiver.name,
            pools_per_core=round(balance.pools_per_core, 3),
        )

    def is_moved(self, pool: str) -> bool:
        """Return whether a pool that is no longer owned went to the receiver of its move.

        The receiver has then been announced, so this instance may replace it at once if it fails.
        """
        receiver = self.moving.pop(pool, None)
        claim = self.node.fleet.claim_of(pool)
        return receiver is not None and claim is not None and claim.owner.name == receiver

    def hand_pools_over(self, is_last: bool, timeout_s: float = HANDOVER_TIMEOUT_S) -> None:
        """Hand every pool over to the best candidate that accepts it.

        Parameters
        ----------
        is_last : bool
            The instance stops right after this call, so candidates in other data centres are asked
            too.  Otherwise a pool without a local candidate stays here.
        timeout_s : float
            Most time to wait for all pools together.
        """
        until = self.node.runtime.now() + min(timeout_s, HANDOVER_TIMEOUT_S)
        self.node.takeovers.is_suspended = True
        tasks = [
            self.node.runtime.spawn(
                self._hand_pool_over, owned_pool, self.successors(owned_pool.name, is_last)
            )
            for owned_pool in list(self.node.owned_pools.values())
        ]
        for task in tasks:
            task.wait(max(0.0, until - self.node.runtime.now()))

    def _hand_pool_over(self, owned_pool, candidates):
        for candidate in candidates:
            if not self._learn_clock(candidate):
                continue
            try:
                reply = self._offer(owned_pool, candidate)
            except peer.PeerError as error:
                event.log(events.MESSAGE_NOT_SENT, to=candidate.name, error=error)
                continue
            if reply.is_taken or not owned_pool.is_active:
                return

    def _learn_clock(self, receiver):
        """Return whether an instance answers; its reply gives its clock."""
        answers = self.node.renewal.renew(receiver, RESIGN_TIMEOUT_S)
        return answers and receiver.name in self.node.renewal.clock_offsets

    def _offer(self, owned_pool, receiver, balance=None):
        """Return an instance's answer to the offer of a pool."""
        sent_s = self.node.runtime.now() + self.node.renewal.clock_offsets[receiver.name]
        return self.node.peers.request(
            peer.at_address(receiver.address),
            owned_pool.reports.resignation(sent_s, balance),
            RESIGN_TIMEOUT_S,
        )

    def successors(self, pool: str, include_remote: bool) -> list[messages.Instance]:
        """Return the alive candidates to hand a pool over to, best candidate first."""
        data_centre = ports.data_centre_of(pool)
        alive = [
            instance
            for instance in self.node.fleet.instances().values()
            if self.node.fleet.is_alive(instance.name)
            and (include_remote or instance.data_centre == data_centre)
        ]
        return election.rank_candidates(pool, data_centre, alive)

    def on_resign(self, sender, message):
        """Take over a pool from an owner that resigns."""
        if self.node.fleet.highest_tokens.get(message.pool, 0) > message.token:
            return messages.ResignAnswer(False)  # delayed: the pool has had another owner since
        age_s = self.node.runtime.now() - message.sent_s
        if not abs(age_s) < RESIGN_TIMEOUT_S:
            metric.count(metrics.POOL_OFFERS_LATE)
            event.log(events.POOL_OFFER_LATE, pool=message.pool, age_s=age_s)
            return messages.ResignAnswer(False)
        if message.balance is not None:
            if not self._accepts(message):
                return messages.ResignAnswer(False)
            self.moved_at = self.node.runtime.now()
        if self.node.takeovers.is_suspended:
            return messages.ResignAnswer(False)
        self.node.speeds.import_speeds(message.servers)
        known_owners = predecessors.known_to_successor(
            message.token, message.servers_version, message.servers, message.earlier_owners
        )
        learned = message.learned and learned_state.receive(
            message.learned, self.node.runtime.now()
        )
        self.node.claim_pool(message.pool, "its owner gave it up", known_owners, learned)
        return messages.ResignAnswer(message.pool in self.node.owned_pools)

    def _accepts(self, message):
        """Return whether this instance gets a pool for balance; its own numbers are current."""
        this_instance = self.node.this_instance
        load = pool_balance.InstanceLoad(
            this_instance.name, this_instance.cores, len(self.node.owned_pools)
        )
        return (
            self.node.timing.balances_pools
            and ports.data_centre_of(message.pool) == this_instance.data_centre
            and self._takes_part(self.node.runtime.now())
            and pool_balance.may_receive(load, message.balance.pools_per_core)
        )
