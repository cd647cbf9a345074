"""Calls of all instances to the platform's store, calm and in trouble, on the virtual clock.

Each instance has the real watchers and the real client of the store; the HTTP exchange, the store
and the exchange of documents between instances are simulated.  Instances of a data centre exchange
documents with a random one of it at the interval of renewals with owners, or, while the fleet is
idle, at that of renewals with neighbours.
"""

import argparse
import base64
import json
import pathlib
import sys
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "platform")]

from adapter import cancellation_store, discovery, store_client, store_times  # noqa: E402
from rosedyke.gateways import http_client, http_connection  # noqa: E402
from rosedyke.rerunnable_jobs import documents, fleet_view, messages, settings  # noqa: E402
from rosedyke.standins import virtual  # noqa: E402

DATA_CENTRES, READERS = 3, 2
TRIP_S = 0.002
SETTLING_S, MEASURED_S = 20.0, 60.0
# The list of servers changes nearly always; the connections go silent so often in trouble.
SERVERS_CHANGE_S, SILENCE_S = 0.2, 6.0
OWNER_INTERVAL_S = 0.25
# The calls that cost a tenth.
RENEWAL = "/rosedyke/kv-keep/"
MS_PER_S = 1000


class Store:
    """The simulated store; ``changes`` has the revision of the last change of each key."""

    def __init__(self, runtime):
        self.runtime = runtime
        self.revision = 1
        self.changes = {}
        self.changed = runtime.signal()
        self.silenced_at = float("-inf")
        self.calls = 0.0

    def put(self, key, document):
        """Write a key."""
        self.revision += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.changes[key] = {"key": key, "value": value, "revision": self.revision}
        self.changed.set()
        self.changed = self.runtime.signal()

    def since(self, prefix, revision):
        """Return the items with a prefix that changed after a revision."""
        return [
            item
            for key, item in self.changes.items()
            if key.startswith(prefix) and item["revision"] > revision
        ]


class Exchange:
    """Stands for an instance's HTTP client; implements ``request``."""

    def __init__(self, store):
        self.store = store
        self.runtime = store.runtime

    def request(self, address, method, path, body, timeout_s, headers=None, expires_at=None):
        """Answer a call, or raise ``NoResponse`` if its connection has gone silent."""
        self.store.calls += 0.1 if path.startswith(RENEWAL) else 1
        sent_at = self.runtime.now()
        self.runtime.sleep(TRIP_S)
        name, _, query = path.removeprefix("/rosedyke/").partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        if name == "kv-watch":
            return self.watch(query, sent_at, timeout_s, expires_at or (lambda: float("inf")))
        if name == "kv-range":
            items = self.store.since(query["pathPrefix"], 0)
            return reply({"items": items, "morePages": False, "asOf": self.store.revision})
        return reply({"lease": 1, "ttlMs": 6000, "revision": self.store.revision})

    def watch(self, query, sent_at, timeout_s, expires_at):
        """Answer a watch once there is a change, or after its wait."""
        ends_at = sent_at + int(query["waitMs"]) / MS_PER_S
        while True:
            now = self.runtime.now()
            limit = min(sent_at + timeout_s, expires_at())
            if now >= limit:
                raise http_client.NoResponse("no answer")
            is_silent = self.store.silenced_at >= sent_at
            events = self.store.since(query["pathPrefix"], int(query["after"]))
            if not is_silent and (events or now >= ends_at):
                return reply({"events": events, "asOf": self.store.revision})
            wait_s = (limit if is_silent else min(limit, ends_at)) - now
            self.store.changed.wait(max(0.001, wait_s))


def reply(body):
    """Return a response with a JSON body."""
    return http_connection.Response(200, (), json.dumps(body).encode())


class Fleet:
    """Instances that share a simulated store."""

    def __init__(self, instances, is_idle):
        self.runtime = virtual.VirtualRuntime()
        self.store = Store(self.runtime)
        self.store.put("op/config", {"version": 3, "routes": []})
        self.members = [self.add(number, instances) for number in range(instances)]
        factor = max(1.0, instances / fleet_view.SMALL_FLEET_SIZE)
        # With all neighbours once an interval, so with one of them that much more often.
        neighbours = max(1, instances // DATA_CENTRES - 1)
        idle_s = fleet_view.NEIGHBOUR_INTERVAL_S * factor / neighbours
        self.interval_s = idle_s if is_idle else min(idle_s, OWNER_INTERVAL_S)
        for number, (shared, _) in enumerate(self.members):
            self.runtime.spawn(self.exchange, number, shared)
        self.runtime.spawn(self.change_servers)

    def add(self, number, instances):
        """Start an instance; return its documents and its view of the store."""
        shared = documents.Documents(self.runtime)
        client = store_client.StoreClient(Exchange(self.store), "store:1", store_times.DEFAULT)
        own = messages.Instance(f"e-{number}", f"10.0.0.1:{number + 1}", str(number % DATA_CENTRES))
        is_reader = number // DATA_CENTRES < READERS
        member = discovery.Discovery(self.runtime, client, own, shared, lambda: is_reader)
        member.start()
        cancellation_store.CancellationStore(
            settings.RerunSettings(), self.runtime, client, lambda: instances
        ).start()
        return shared, member

    def exchange(self, number, shared):
        """Exchange an instance's documents with others of its data centre."""
        peers = [
            other
            for index, (other, _) in enumerate(self.members)
            if index != number and index % DATA_CENTRES == number % DATA_CENTRES
        ]
        while peers:
            self.runtime.sleep(self.interval_s * (0.5 + self.runtime.random()))
            other = peers[int(self.runtime.random() * len(peers))]
            for source, target in ((shared, other), (other, shared)):
                for topic in target.outdated_topics(source.versions()):
                    target.merge(source.copy_since(topic, target.by_topic[topic].revision), "peer")

    def change_servers(self):
        """Change the list of servers all the time."""
        while True:
            self.runtime.sleep(SERVERS_CHANGE_S)
            self.store.put("servers/i-1", {})

    def silence(self):
        """Make the connections of the calls in progress silent, again and again."""
        while True:
            self.runtime.sleep(SILENCE_S)
            self.store.silenced_at = self.runtime.now()

    def calls_per_s(self, seconds=MEASURED_S):
        """Run for a while and return the calls a second; a renewal counts a tenth."""
        self.store.calls = 0.0
        self.runtime.run(self.runtime.now() + seconds)
        return self.store.calls / seconds


def main():
    """Print a row for each size of the fleet."""
    parser = argparse.ArgumentParser()
    parser.add_argument("sizes", type=int, nargs="*", default=(6, 33, 300))
    for size in parser.parse_args().sizes:
        row = []
        for is_idle in (False, True):
            fleet = Fleet(size, is_idle)
            fleet.runtime.run(SETTLING_S)
            calm = fleet.calls_per_s()
            fleet.runtime.spawn(fleet.silence)
            row.append((round(calm, 1), round(fleet.calls_per_s(), 1)))
        print(size, "with jobs calm, in trouble:", *row[0], "idle:", *row[1], flush=True)


if __name__ == "__main__":
    main()
