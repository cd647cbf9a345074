"""Measure the cost of a configuration generation at one instance, by teams and servers.

    python -m benchmarks.configuration_size

measures the time to parse one team's file and to decode its stored intent; for sets of teams, the
memory at an instance, the time to apply the first generation and one change, and the size of the
reply that carries one change; and, by fleet size, the time to compare the generations that peers
advertise and to choose the watchers.
"""

import argparse
import json
import pathlib
import platform
import statistics
import time
import tracemalloc

from benchmarks import report
from rosedyke.configuration import (
    distribution,
    file_parser,
    local_configuration,
    messages,
    settings,
    storage,
)
from rosedyke.daemon import eventlet_runtime
from rosedyke.membership import member
from rosedyke.standins import keyvalue, virtual, virtual_store
from rosedyke.wire import peer

ROOT = pathlib.Path(__file__).resolve().parent.parent
RESULT = ROOT / "benchmarks" / "results" / "configuration_size.json"
REPEATS = 7
# Servers of one team; 15,000 servers over 88 teams are 170 each.
SERVER_COUNTS = (24, 170, 1000, 2500)
# Teams of SERVERS_PER_TEAM servers; 88 is the target size.
TEAM_COUNTS = (11, 22, 44, 88)
SERVERS_PER_TEAM = 170
# Members in the view of one instance, DATA_CENTRE_SIZE in each data centre.
MEMBER_COUNTS = (50, 350, 1400)
DATA_CENTRE_SIZE = 50


def team_text(team: int, servers: int) -> str:
    """Return a team's file with one table per server."""
    head = f"""
team = "team-{team}"
[[services]]
name = "service-{team}"
[[services.tasks]]
name = "task"
run_time_s = 0.1
"""
    tables = (f"""
[[services.servers]]
name = "server-{team}-{number}"
address = "10.{team}.{number // 250}.{number % 250 + 1}:8100"
data_centre = "dc-{number % 3}"
rack = "rack-{number // 8}"
slots = 8
connections = 64
cores = 32
memory_mb = 64000
""" for number in range(servers))
    return head + "".join(tables)


def median_ms(function, repeats: int = REPEATS) -> float:
    """Return the median time of a call in milliseconds."""
    times_ms = []
    for _ in range(repeats):
        started = time.perf_counter()
        function()
        times_ms.append((time.perf_counter() - started) * 1000)
    return round(statistics.median(times_ms), 2)


def measure_file(servers: int) -> dict:
    """Measure parsing and decoding of one file."""
    text = team_text(1, servers).encode()
    content = storage.encode(file_parser.parse("bench", text).team)
    record = storage.TeamIntent("team-1", 1, content)
    return {
        "servers": servers,
        "file_bytes": len(text),
        "intent_bytes": len(content),
        "parse_ms": median_ms(lambda: file_parser.parse("bench", text)),
        "decode_ms": median_ms(record.decode),
    }


def build_generation(number: int, teams: int, quota: int = 0) -> tuple[storage.Head, dict]:
    """Return a head and the intents of all teams; ``quota`` is that of the first team."""
    files = {}
    for team in range(teams):
        text = team_text(team, SERVERS_PER_TEAM)
        if team == 0:
            text = f"quota = {quota}\n{text}"
        parsed = file_parser.parse("bench", text.encode())
        content = storage.encode(parsed.team)
        files[parsed.team.name] = storage.TeamIntent(parsed.team.name, number, content)
    entries = tuple(storage.HeadEntry(name, number, files[name].digest) for name in sorted(files))
    return storage.Head(number, f"change-{number}", entries), files


def measure_set(teams: int) -> dict:
    """Measure the configuration of all teams at one instance."""
    first, files = build_generation(1, teams)
    second, changed = build_generation(2, teams, quota=1)
    changed_teams = {"team-0": changed["team-0"]}
    runtime = eventlet_runtime.GreenRuntime()
    tracemalloc.start()
    measured_configuration = local_configuration.LocalConfiguration(runtime)
    bytes_before = tracemalloc.get_traced_memory()[0]
    measured_configuration.update(first, files, local_configuration.SOURCE_STORE)
    # Adds the content, which this benchmark allocates but an instance would own.
    allocated_bytes = tracemalloc.get_traced_memory()[0] - bytes_before
    tracemalloc.stop()
    content_bytes = sum(len(team_intent.content) for team_intent in files.values())
    timed_configuration = local_configuration.LocalConfiguration(runtime)
    started = time.perf_counter()
    timed_configuration.update(first, files, local_configuration.SOURCE_STORE)
    first_ms = (time.perf_counter() - started) * 1000
    started = time.perf_counter()
    timed_configuration.update(second, changed_teams, local_configuration.SOURCE_STORE)
    change_ms = (time.perf_counter() - started) * 1000
    return {
        "teams": teams,
        "servers": teams * SERVERS_PER_TEAM,
        "memory_mb": round((allocated_bytes + content_bytes) / 1e6, 2),
        "first_taking_ms": round(first_ms, 2),
        "one_change_ms": round(change_ms, 2),
        "one_change_reply_bytes": len(messages.pack(list(changed_teams.values()))),
    }


class FixedMembership:
    """A fixed membership view in which all members advertise the same generation."""

    def __init__(self, members: int):
        peers = (
            peer.Peer(f"i{number}", 1, f"dc{number // DATA_CENTRE_SIZE}", f"10.0.0.1:{number + 1}")
            for number in range(members)
        )
        self.view = member.View(
            tuple(member.Member(listed_peer, member.State.LIVE) for listed_peer in peers)
        )
        self.own = self.view.members[0]

    def advertise(self, topic: str, value: bytes) -> None:
        """Ignore the advert."""

    def advertised(self, name: str, topic: str) -> bytes | None:
        """Return a generation that is not newer."""
        return b"0 0"


def measure_comparison(members: int) -> dict:
    """Measure the comparison of advertised generations and the choice of watchers."""
    runtime = virtual.VirtualRuntime()
    membership = FixedMembership(members)
    peers = virtual.VirtualPeers(virtual.VirtualNetwork(runtime), membership.own.peer)
    store = virtual_store.VirtualStore(runtime, keyvalue.KeyValue(), virtual_store.Faults())
    distributor = distribution.Distribution(
        settings.DistributionSettings(), runtime, peers, membership, store
    )
    return {
        "members": members,
        "look_ms": median_ms(distributor.puller.find_newer_member),
        "watcher_choice_ms": median_ms(distributor.reader.is_watcher),
    }


def main() -> None:
    """Run the measurements, print the results and write them to a file."""
    parser = argparse.ArgumentParser(description="Cost of a generation at one instance.")
    parser.add_argument("--output", type=pathlib.Path, default=RESULT)
    arguments = parser.parse_args()
    document = {
        "commit": report.commit(),
        "machine": f"{platform.machine()}, python {platform.python_version()}",
        "files": [measure_file(servers) for servers in SERVER_COUNTS],
        "sets": [measure_set(teams) for teams in TEAM_COUNTS],
        "looks": [measure_comparison(members) for members in MEMBER_COUNTS],
    }
    for row in (*document["files"], *document["sets"], *document["looks"]):
        print(json.dumps(row))
    arguments.output.parent.mkdir(parents=True, exist_ok=True)
    arguments.output.write_text(json.dumps(document, indent=2) + "\n")


if __name__ == "__main__":
    main()
