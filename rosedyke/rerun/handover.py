"""Gives pools to other instances: when this one leaves, and when a nearer one has come back."""

from rosedyke.observe import event
from rosedyke.rerun import election, events, messages, ports
from rosedyke.wire import peer

# How long a leaving owner takes to find a successor, and waits for each candidate: one that leaves
# too declines, and one that doesn't answer is passed over.
HANDOVER_S = 0.5
RESIGN_TIMEOUT_S = 0.1


class Handover:
    """Hands the pools of one node over.

    Parameters
    ----------
    node : Node
        Whose pools they are.
    """

    def __init__(self, node):
        self.node = node

    def return_pools(self):
        """Give a pool of another data centre back to it once an instance there is steady."""
        for name in list(self.node.owned):
            data_centre = ports.data_centre_of(name)
            if data_centre == self.node.own.data_centre:
                continue
            steady = [
                each
                for each in self.node.fleet.instances().values()
                if each.data_centre == data_centre
                and self.node.fleet.alive_for(each.name) > self.node.times.return_s
            ]
            order = election.order(name, data_centre, steady)
            if order:
                self.node.runtime.spawn(self._hand_pool_over, self.node.owned[name], order)

    def hand_pools_over(self, is_last: bool) -> None:
        """Give every pool to the best candidate that takes it; each claim ends the ownership.

        Parameters
        ----------
        is_last : bool
            Nothing is left of this instance after that, so instances of other data centres may
            take the pools as well.  Before that they stay here until a nearer one comes.
        """
        self.node.succession.is_standing_by = True
        tasks = [
            self.node.runtime.spawn(self._hand_pool_over, each, self.successors(each.name, is_last))
            for each in list(self.node.owned.values())
        ]
        for task in tasks:
            task.wait(HANDOVER_S)

    def _hand_pool_over(self, pool, candidates):
        for candidate in candidates:
            try:
                answer = self.node.peers.request(
                    peer.at_address(candidate.address),
                    pool.reporting.resignation(),
                    RESIGN_TIMEOUT_S,
                )
            except peer.PeerError as error:
                event.log(events.MESSAGE_NOT_SENT, to=candidate.name, error=error)
                continue
            if answer.is_taken or not pool.is_active:
                return

    def successors(self, pool: str, also_far: bool) -> list[messages.Instance]:
        """Return who may take a pool over from this instance, the best candidate first."""
        data_centre = ports.data_centre_of(pool)
        alive = [
            each
            for each in self.node.fleet.instances().values()
            if self.node.fleet.is_alive(each.name) and (also_far or each.data_centre == data_centre)
        ]
        return election.order(pool, data_centre, alive)

    def on_resign(self, sender, message):
        """Take a pool over that its owner gives up."""
        if self.node.fleet.highest.get(message.pool, 0) > message.token:
            return messages.ResignAnswer(False)  # held up: the pool has had another owner since
        self.node.speeds.take_over(message.servers)
        self.node.take_pool(message.pool, "its owner gave it up", frozenset(message.servers))
        return messages.ResignAnswer(message.pool in self.node.owned)
