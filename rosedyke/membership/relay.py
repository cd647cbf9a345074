"""Relays: a few members of each data centre that exchange news with the others.

Every other member hears of other data centres from its own relays, by the same gossip as of its
neighbours, so a data centre costs the others a few messages and not one for each member.
"""

from rosedyke.membership import (
    core,
    events,
    member,
    messages,
    metrics,
    record,
    rendezvous,
    synchronise,
    table,
)
from rosedyke.observe import event, metric
from rosedyke.wire import peer

RELAY_KEY = "membership.relay"
UNREACHABLE_TOPIC = "membership.unreachable"
EXCHANGE_TIMEOUT_S = 0.5
_SEPARATOR = "\n"


class Relay:
    """Pulls the news of other data centres while the own instance is a relay."""

    def __init__(self, shared: core.Core):
        self.core = shared
        self.options = shared.options
        self.partners: dict[str, str] = {}
        self.cursors: dict[str, tuple[int, int]] = {}
        self.heard: dict[str, float] = {}
        self.exchanging: set[str] = set()
        shared.restart_hooks.append(self._restart)

    def run(self) -> None:
        """Exchange with every other data centre each period while being a relay."""
        runtime = self.core.runtime
        while self.core.is_running:
            runtime.sleep(self.options.relay_period_s * (0.8 + 0.4 * runtime.random()))
            if not self.is_relay():
                self.heard.clear()
                continue
            for data_centre in self._other_data_centres():
                self.heard.setdefault(data_centre, runtime.now())
                if data_centre not in self.exchanging:
                    self.exchanging.add(data_centre)
                    runtime.spawn(self._exchange, data_centre)
            self._show_unreachable()

    def relays(self, data_centre: str) -> list[record.Record]:
        """Return the relays of a data centre: the first of the rendezvous order."""
        serving = {
            r.name: r for r in self.core.table.alive(data_centre) if r.state is member.State.LIVE
        }
        names = rendezvous.rank(RELAY_KEY, serving)
        return [serving[name] for name in names[: self.options.relays]]

    def is_relay(self) -> bool:
        """Return whether the own instance is a relay of its data centre."""
        return any(r.name == self.core.own.name for r in self.relays(self.core.data_centre))

    def unreachable(self) -> frozenset[str]:
        """Return the data centres that none of the own relays reaches."""
        said = []
        for each in self.relays(self.core.data_centre):
            value = self.core.adverts.value(each.name, UNREACHABLE_TOPIC) or b""
            said.append(frozenset(filter(None, value.decode().split(_SEPARATOR))))
        return frozenset.intersection(*said) if said else frozenset()

    def on_exchange(self, sender: peer.Peer, exchange: messages.Exchange):
        """Give the own data centre's news."""
        self.core.put(exchange.record)
        # Who asks is alive.  After a cut in which a data centre's relays died, asking its members
        # at random could take many periods, and all that time it would seem unreachable.
        self.partners.setdefault(sender.data_centre, sender.name)
        records = self.core.table.of(self.core.data_centre)
        names = {r.name for r in records if not r.is_dead}
        page = self.core.adverts.since(exchange.cursor, names, self.options.exchange_bytes)
        if table.digest(records) == exchange.records_digest:
            records = ()
        return messages.ExchangeReply(messages.Gossip(records, page.adverts), page.cursor)

    def _restart(self):
        self.exchanging.clear()
        self.heard.clear()

    def _other_data_centres(self):
        alive = {r.peer.data_centre for r in self.core.table.records.values() if not r.is_dead}
        return sorted(alive - {self.core.data_centre})

    def _exchange(self, data_centre):
        own = self.core.own
        partner = self._partner(data_centre)
        try:
            if partner is not None:
                self._pull(data_centre, partner)
                self.heard[data_centre] = self.core.runtime.now()
        except peer.PeerError:
            # Any member can answer; a relay that is gone must not cut its data centre off.
            self.partners.pop(data_centre, None)
        finally:
            if self.core.own.peer == own.peer:
                self.exchanging.discard(data_centre)

    def _partner(self, data_centre):
        """Return the member to ask: the last one that answered, a relay, or anyone."""
        alive = {r.name: r for r in self.core.table.alive(data_centre)}
        last = self.partners.get(data_centre)
        if last in alive:
            return alive[last]
        relays = self.relays(data_centre)
        if not alive:
            return None
        candidates = relays if relays and self.core.runtime.random() < 0.5 else list(alive.values())
        return self.core.pick(candidates)

    def _pull(self, data_centre, partner):
        known = self.core.table.of(data_centre)
        incarnation, cursor = self.cursors.get(partner.name, (0, 0))
        if incarnation != partner.peer.incarnation:
            cursor = 0
        exchange = messages.Exchange(self.core.own, table.digest(known), cursor)
        reply = self.core.request(partner.peer, exchange, EXCHANGE_TIMEOUT_S)
        self.partners[data_centre] = partner.name
        self.cursors[partner.name] = (partner.peer.incarnation, reply.cursor)
        self.core.merge(reply.gossip)
        if reply.gossip.records:
            # What that data centre doesn't know of itself, say a member that joined through
            # this one, or a death that a part of it declared while it was split.
            newer = synchronise.newer_than(self.core.table.of(data_centre), reply.gossip.records)
            if newer:
                self.core.send(partner.peer, messages.Push(messages.Gossip(newer)))

    def _show_unreachable(self):
        now = self.core.runtime.now()
        others = self._other_data_centres()
        silent = [d for d in others if now - self.heard[d] > self.options.unreachable_s]
        said = self.core.adverts.value(self.core.own.name, UNREACHABLE_TOPIC) or b""
        before = set(filter(None, said.decode().split(_SEPARATOR)))
        for data_centre in sorted(set(silent) - before):
            event.log(events.DATA_CENTRE_UNREACHABLE, data_centre=data_centre)
        for data_centre in sorted(before - set(silent)):
            event.log(events.DATA_CENTRE_REACHABLE, data_centre=data_centre)
        if set(silent) != before:
            self.core.advertise(UNREACHABLE_TOPIC, _SEPARATOR.join(silent).encode())
        metric.gauge(metrics.UNREACHABLE, len(silent))
