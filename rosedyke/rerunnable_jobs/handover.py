"""Hands pools over to other instances, on shutdown or when a local candidate is back."""

from rosedyke.observe import event
from rosedyke.rerunnable_jobs import election, events, messages, ports
from rosedyke.wire import peer

# Time for one pool's handover, and for one candidate's reply.  A candidate that shuts down as well
# declines, and one that does not answer is skipped.
HANDOVER_TIMEOUT_S = 0.5
RESIGN_TIMEOUT_S = 0.1


class Handover:
    """Hands over the pools of one node.

    Parameters
    ----------
    node : Node
        Whose pools they are.
    """

    def __init__(self, node):
        self.node = node

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

    def hand_pools_over(self, is_last: bool) -> None:
        """Hand every pool over to the best candidate that accepts it.

        Parameters
        ----------
        is_last : bool
            The instance stops right after this call, so candidates in other data centres are asked
            too.  Otherwise a pool without a local candidate stays here.
        """
        self.node.takeovers.is_suspended = True
        tasks = [
            self.node.runtime.spawn(
                self._hand_pool_over, owned_pool, self.successors(owned_pool.name, is_last)
            )
            for owned_pool in list(self.node.owned_pools.values())
        ]
        for task in tasks:
            task.wait(HANDOVER_TIMEOUT_S)

    def _hand_pool_over(self, owned_pool, candidates):
        for candidate in candidates:
            try:
                reply = self.node.peers.request(
                    peer.at_address(candidate.address),
                    owned_pool.reports.resignation(),
                    RESIGN_TIMEOUT_S,
                )
            except peer.PeerError as error:
                event.log(events.MESSAGE_NOT_SENT, to=candidate.name, error=error)
                continue
            if reply.is_taken or not owned_pool.is_active:
                return

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
        self.node.speeds.import_speeds(message.servers)
        self.node.claim_pool(message.pool, "its owner gave it up", frozenset(message.servers))
        return messages.ResignAnswer(message.pool in self.node.owned_pools)
