"""Relays: a few members of each data centre that exchange updates with other data centres.

The other members receive these updates by gossip within their data centre, so the traffic between
data centres doesn't grow with the number of members.
"""

from rosedyke.membership import (
    anti_entropy,
    events,
    member,
    member_table,
    messages,
    metrics,
    protocol_state,
    record,
    rendezvous,
)
from rosedyke.observe import event, metric
from rosedyke.wire import peer

RELAY_KEY = "membership.relay"
UNREACHABLE_TOPIC = "membership.unreachable"
EXCHANGE_TIMEOUT_S = 0.5
_SEPARATOR = "\n"


class Relay:
    """Pulls the updates of other data centres while this instance is a relay."""

    def __init__(self, shared_state: protocol_state.ProtocolState):
        self.protocol = shared_state
        self.options = shared_state.options
        self.partners: dict[str, str] = {}
        self.cursors: dict[str, tuple[int, int]] = {}
        self.last_contact_at: dict[str, float] = {}
        self.exchanging: set[str] = set()
        shared_state.rejoin_hooks.append(self._reset)

    def run(self) -> None:
        """Exchange with every other data centre once a period while the instance is a relay."""
        runtime = self.protocol.runtime
        while self.protocol.is_running:
            runtime.sleep(self.options.relay_period_s * (0.8 + 0.4 * runtime.random()))
            if not self.is_relay():
                self.last_contact_at.clear()
                continue
            for data_centre in self._remote_data_centres():
                self.last_contact_at.setdefault(data_centre, runtime.now())
                if data_centre not in self.exchanging:
                    self.exchanging.add(data_centre)
                    runtime.spawn(self._exchange, data_centre)
            self._report_unreachable()

    def relays(self, data_centre: str) -> list[record.Record]:
        """Return the relays of a data centre: the first live members in rendezvous order."""
        serving = {
            r.name: r
            for r in self.protocol.table.alive(data_centre)
            if r.state is member.State.LIVE
        }
        names = rendezvous.rank(RELAY_KEY, serving)
        return [serving[name] for name in names[: self.options.relays]]

    def is_relay(self) -> bool:
        """Return whether this instance is a relay of its data centre."""
        return any(r.name == self.protocol.own.name for r in self.relays(self.protocol.data_centre))

    def unreachable(self) -> frozenset[str]:
        """Return the data centres that no relay of the local data centre can reach."""
        reported = []
        for own_relay in self.relays(self.protocol.data_centre):
            value = self.protocol.adverts.value(own_relay.name, UNREACHABLE_TOPIC) or b""
            reported.append(frozenset(filter(None, value.decode().split(_SEPARATOR))))
        return frozenset.intersection(*reported) if reported else frozenset()

    def on_exchange(self, sender: peer.Peer, exchange: messages.Exchange):
        """Reply with the updates of the local data centre."""
        self.protocol.put(exchange.record)
        # The sender is alive.  If the relays of its data centre died during a partition, trying
        # its members at random could take many periods, and it would appear unreachable.
        self.partners.setdefault(sender.data_centre, sender.name)
        records = self.protocol.table.in_data_centre(self.protocol.data_centre)
        names = {r.name for r in records if not r.is_dead}
        page = self.protocol.adverts.page_after(exchange.cursor, names, self.options.exchange_bytes)
        if member_table.digest(records) == exchange.records_digest:
            records = ()
        return messages.ExchangeReply(messages.Gossip(records, page.adverts), page.cursor)

    def _reset(self):
        self.exchanging.clear()
        self.last_contact_at.clear()

    def _remote_data_centres(self):
        alive = {r.peer.data_centre for r in self.protocol.table.records.values() if not r.is_dead}
        return sorted(alive - {self.protocol.data_centre})

    def _exchange(self, data_centre):
        own = self.protocol.own
        partner = self._choose_partner(data_centre)
        try:
            if partner is not None:
                self._pull(data_centre, partner)
                self.last_contact_at[data_centre] = self.protocol.runtime.now()
        except peer.PeerError:
            # Any member can answer, so choose another one the next time: a failed relay must not
            # make its data centre unreachable.
            self.partners.pop(data_centre, None)
        finally:
            if self.protocol.own.peer == own.peer:
                self.exchanging.discard(data_centre)

    def _choose_partner(self, data_centre):
        """Return the member to contact: the last one that answered, a relay, or any other."""
        alive = {r.name: r for r in self.protocol.table.alive(data_centre)}
        last = self.partners.get(data_centre)
        if last in alive:
            return alive[last]
        relays = self.relays(data_centre)
        if not alive:
            return None
        candidates = (
            relays if relays and self.protocol.runtime.random() < 0.5 else list(alive.values())
        )
        return self.protocol.choose_random(candidates)

    def _pull(self, data_centre, partner):
        stored = self.protocol.table.in_data_centre(data_centre)
        incarnation, cursor = self.cursors.get(partner.name, (0, 0))
        if incarnation != partner.peer.incarnation:
            cursor = 0
        exchange = messages.Exchange(self.protocol.own, member_table.digest(stored), cursor)
        reply = self.protocol.request(partner.peer, exchange, EXCHANGE_TIMEOUT_S)
        self.partners[data_centre] = partner.name
        self.cursors[partner.name] = (partner.peer.incarnation, reply.cursor)
        self.protocol.merge(reply.gossip)
        if reply.gossip.records:
            # Records that the other data centre lacks of its own members, such as one that
            # joined through this data centre or a death declared by a partition of it.
            newer = anti_entropy.newer_than(
                self.protocol.table.in_data_centre(data_centre), reply.gossip.records
            )
            if newer:
                self.protocol.send(partner.peer, messages.Push(messages.Gossip(newer)))

    def _report_unreachable(self):
        now = self.protocol.runtime.now()
        remote_data_centres = self._remote_data_centres()
        unreachable_now = [
            d
            for d in remote_data_centres
            if now - self.last_contact_at[d] > self.options.unreachable_s
        ]
        reported = self.protocol.adverts.value(self.protocol.own.name, UNREACHABLE_TOPIC) or b""
        previously_unreachable = set(filter(None, reported.decode().split(_SEPARATOR)))
        for data_centre in sorted(set(unreachable_now) - previously_unreachable):
            event.log(events.DATA_CENTRE_UNREACHABLE, data_centre=data_centre)
        for data_centre in sorted(previously_unreachable - set(unreachable_now)):
            event.log(events.DATA_CENTRE_REACHABLE, data_centre=data_centre)
        if set(unreachable_now) != previously_unreachable:
            self.protocol.advertise(UNREACHABLE_TOPIC, _SEPARATOR.join(unreachable_now).encode())
        metric.gauge(metrics.UNREACHABLE, len(unreachable_now))
