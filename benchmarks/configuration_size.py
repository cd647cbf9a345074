"""What a generation costs one instance, by the number of teams and servers.

    python -m benchmarks.configuration_size

gives for one team's file the time to parse it and to decode its stored intent, and for whole
sets the memory that an instance holds, the time of a first taking, of one change, and the bytes
of the reply that carries one change.  The last rows are what one look at the peers' advertised
numbers costs in fleets of a growing size.
"""

import argparse
import json
import pathlib
import platform
import statistics
import time
import tracemalloc

from benchmarks import report
from rosedyke.configuration import distribution, file, holding, messages, settings, stored
from rosedyke.daemon import green
from rosedyke.membership import member
from rosedyke.standins import keyvalue, virtual, virtual_store
from rosedyke.wire import peer

ROOT = pathlib.Path(__file__).resolve().parent.parent
RESULT = ROOT / "benchmarks" / "results" / "configuration_size.json"
REPEATS = 7
# Servers of one team; 170 is 15,000 workers over 88 teams.
FILE_SIZES = (24, 170, 1000, 2500)
# Teams with 170 servers each; 88 is the size to build for.
SETS = (11, 22, 44, 88)
SERVERS_EACH = 170
# Members in the view of one instance, of which 50 are in its own data centre.
FLEETS = (50, 350, 1400)
DATA_CENTRE_SIZE = 50


def team_text(team: int, servers: int) -> str:
    """Return a file that names every server in a table of its own."""
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


def milliseconds(function, repeats: int = REPEATS) -> float:
    """Return the median time of a call."""
    times = []
    for _ in range(repeats):
        began = time.perf_counter()
        function()
        times.append((time.perf_counter() - began) * 1000)
    return round(statistics.median(times), 2)


def measure_file(servers: int) -> dict:
    """Return the figures of one file."""
    text = team_text(1, servers).encode()
    content = stored.encode(file.parse("bench", text).team)
    record = stored.TeamIntent("team-1", 1, content)
    return {
        "servers": servers,
        "file_bytes": len(text),
        "intent_bytes": len(content),
        "parse_ms": milliseconds(lambda: file.parse("bench", text)),
        "decode_ms": milliseconds(record.decode),
    }


def generation(number: int, teams: int, quota: int = 0) -> tuple[stored.Head, dict]:
    """Return a head with all teams' intents, of which the first has its own quota."""
    files = {}
    for team in range(teams):
        text = team_text(team, SERVERS_EACH)
        if team == 0:
            text = f"quota = {quota}\n{text}"
        parsed = file.parse("bench", text.encode())
        content = stored.encode(parsed.team)
        files[parsed.team.name] = stored.TeamIntent(parsed.team.name, number, content)
    entries = tuple(stored.HeadEntry(name, number, files[name].digest) for name in sorted(files))
    return stored.Head(number, f"change-{number}", entries), files


def measure_set(teams: int) -> dict:
    """Return the figures of a whole set in one instance."""
    first, files = generation(1, teams)
    second, changed = generation(2, teams, quota=1)
    one = {"team-0": changed["team-0"]}
    runtime = green.GreenRuntime()
    tracemalloc.start()
    held = holding.Holding(runtime)
    before = tracemalloc.get_traced_memory()[0]
    held.take(first, files, holding.SOURCE_STORE)
    # The content is the caller's here but an instance's own in the field.
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    content = sum(len(each.content) for each in files.values())
    fresh = holding.Holding(runtime)
    began = time.perf_counter()
    fresh.take(first, files, holding.SOURCE_STORE)
    first_ms = (time.perf_counter() - began) * 1000
    began = time.perf_counter()
    fresh.take(second, one, holding.SOURCE_STORE)
    change_ms = (time.perf_counter() - began) * 1000
    return {
        "teams": teams,
        "servers": teams * SERVERS_EACH,
        "memory_mb": round((grown + content) / 1e6, 2),
        "first_taking_ms": round(first_ms, 2),
        "one_change_ms": round(change_ms, 2),
        "one_change_reply_bytes": len(messages.pack(list(one.values()))),
    }


class FixedMembership:
    """A view that doesn't change, with the same advertised number for everyone."""

    def __init__(self, members: int):
        peers = (
            peer.Peer(f"i{n}", 1, f"dc{n // DATA_CENTRE_SIZE}", f"10.0.0.1:{n + 1}")
            for n in range(members)
        )
        self.view = member.View(tuple(member.Member(each, member.State.LIVE) for each in peers))
        self.own = self.view.members[0]

    def advertise(self, topic: str, value: bytes) -> None:
        """Do nothing."""

    def advertised(self, name: str, topic: str) -> bytes | None:
        """Return a number that is not ahead."""
        return b"0 0"


def measure_look(members: int) -> dict:
    """Return the time of one look at what peers advertise, and of the choice of watchers."""
    runtime = virtual.VirtualRuntime()
    membership = FixedMembership(members)
    peers = virtual.VirtualPeers(virtual.VirtualNetwork(runtime), membership.own.peer)
    store = virtual_store.VirtualStore(runtime, keyvalue.KeyValue(), virtual_store.Faults())
    looking = distribution.Distribution(
        settings.DistributionSettings(), runtime, peers, membership, store
    )
    return {
        "members": members,
        "look_ms": milliseconds(looking.puller.find_ahead),
        "watcher_choice_ms": milliseconds(looking.reader.is_watcher),
    }


def main() -> None:
    """Measure, print and keep the figures."""
    parser = argparse.ArgumentParser(description="Cost of a generation at one instance.")
    parser.add_argument("--output", type=pathlib.Path, default=RESULT)
    given = parser.parse_args()
    document = {
        "commit": report.commit(),
        "machine": f"{platform.machine()}, python {platform.python_version()}",
        "files": [measure_file(servers) for servers in FILE_SIZES],
        "sets": [measure_set(teams) for teams in SETS],
        "looks": [measure_look(members) for members in FLEETS],
    }
    for row in (*document["files"], *document["sets"], *document["looks"]):
        print(json.dumps(row))
    given.output.parent.mkdir(parents=True, exist_ok=True)
    given.output.write_text(json.dumps(document, indent=2) + "\n")


if __name__ == "__main__":
    main()
