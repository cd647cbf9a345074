"""A fake of backend servers over HTTP, for the demo, tests and benchmarks.

A task sleeps for the run time in its payload, divided by the speed of the server.  The server
counts violations: tasks started twice, tasks beyond its slots and connections beyond its limit.
One process can serve many addresses.
"""

import collections
import itertools
import json
import random
import sys
from typing import Annotated

import attrs
import cyclopts
import eventlet
import eventlet.wsgi

DEFAULT_RUN_S = 0.1


@attrs.define
class Faults:
    """Faults to inject at a server; set by ``POST /v1/faults``.

    Attributes
    ----------
    fail : bool
        Answer every task immediately with an error.
    slow : float
        Factor on run times.
    busy : bool
        Reject every task as not started.
    leaving : bool
        Reject new tasks and report that the server is leaving.
    mute : bool
        Run the task and never reply.
    """

    fail: bool = False
    slow: float = 1.0
    busy: bool = False
    leaving: bool = False
    mute: bool = False


@attrs.define
class Counts:
    """Counters of a server, returned by ``GET /v1/count``."""

    started: int = 0
    finished: int = 0
    failed: int = 0
    refused: int = 0
    double_starts: int = 0
    slot_excess: int = 0
    connection_excess: int = 0
    probes: int = 0
    most_running: int = 0
    most_connections: int = 0


class Server:
    """One fake server.

    Parameters
    ----------
    slots, connections : int
        Maximum number of concurrent tasks and of connections.
    speed : float
        Divides run times.
    seed : int
        Seed of the variation of run times.
    spread : float
        Maximum relative variation of run times, in both directions.
    """

    def __init__(self, slots=8, connections=64, speed=1.0, seed=0, spread=0.0):
        self.slots = slots
        self.connections = connections
        self.speed = speed
        self.spread = spread
        self.random = random.Random(seed)
        self.faults = Faults()
        self.counts = Counts()
        self.starts: collections.Counter[str] = collections.Counter()
        self.running = 0
        self.numbers = itertools.count(1)
        self.open: set[int] = set()
        self.silent: set[int] = set()
        self.listener = None
        self.thread = None

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Serve on an address in a green thread and return the bound address."""
        self.listener = eventlet.listen(address, backlog=512)
        self.thread = eventlet.spawn(self._serve)
        return self.listener.getsockname()

    def stop(self) -> None:
        """Stop listening."""
        if self.thread is not None:
            self.thread.kill()
        self.listener.close()

    def silence(self) -> None:
        """Stop replying on the connections that are open now; new ones work."""
        self.silent |= self.open

    def _serve(self):
        server = self

        class Protocol(eventlet.wsgi.HttpProtocol):
            def handle(self):
                self.number = next(server.numbers)
                server.opened(self.number)
                try:
                    super().handle()
                finally:
                    server.open.discard(self.number)

            def get_environ(self):
                environ = super().get_environ()
                environ["fake.connection"] = self.number
                return environ

        eventlet.wsgi.server(
            self.listener,
            self.application,
            protocol=Protocol,
            log_output=False,
            debug=False,
            max_size=10_000,
        )

    def opened(self, number: int) -> None:
        """Record a new connection."""
        self.open.add(number)
        self.counts.most_connections = max(self.counts.most_connections, len(self.open))
        if len(self.open) > self.connections:
            self.counts.connection_excess += 1

    def application(self, environ, start_response):
        """Handle one request."""
        if environ["fake.connection"] in self.silent:
            eventlet.Event().wait()
        path = environ["PATH_INFO"]
        if path.startswith("/v1/tasks/"):
            status, headers, body = self._task(environ)
        elif path == "/v1/count":
            status, headers, body = "200 OK", [], json.dumps(attrs.asdict(self.counts)).encode()
        elif path == "/v1/starts":
            # Starts by idempotency key: summed over all servers they show a task that ran twice.
            status, headers, body = "200 OK", [], json.dumps(self.starts).encode()
        elif path == "/v1/faults":
            status, headers, body = self._set_faults(environ)
        else:
            self.counts.probes += 1
            status, headers, body = "200 OK", [], b"{}"
        headers = [*headers, ("Content-Length", str(len(body))), ("X-Running", str(self.running))]
        if self.faults.leaving:
            headers.append(("X-Leaving", "true"))
        start_response(status, headers)
        return [body]

    def _set_faults(self, environ):
        requested = json.loads(environ["wsgi.input"].read() or b"{}")
        if requested.pop("silent", False):
            self.silence()
        self.faults = Faults(**requested)
        return "200 OK", [], b"{}"

    def _task(self, environ):
        body = environ["wsgi.input"].read()
        if self.faults.busy or self.faults.leaving:
            self.counts.refused += 1
            return refusal("no new work")
        if self.running >= self.slots:
            self.counts.slot_excess += 1
            self.counts.refused += 1
            return refusal("every slot is taken")
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        self.starts[key] += 1
        self.counts.started += 1
        if self.starts[key] > 1:
            self.counts.double_starts += 1
        if self.faults.fail:
            self.counts.failed += 1
            return "500 Internal Server Error", [], b'{"error": "broken"}'
        return self._run(json.loads(body or b"null"))

    def _run(self, payload):
        self.running += 1
        self.counts.most_running = max(self.counts.most_running, self.running)
        try:
            eventlet.sleep(self.run_time_s(payload))
        finally:
            self.running -= 1
        if self.faults.mute:
            eventlet.Event().wait()
        self.counts.finished += 1
        return "200 OK", [("Content-Type", "application/json")], json.dumps(payload).encode()

    def run_time_s(self, payload) -> float:
        """Return the run time of a task on this server."""
        base_s = payload.get("run_s", DEFAULT_RUN_S) if isinstance(payload, dict) else DEFAULT_RUN_S
        factor = 1.0 + self.spread * (2 * self.random.random() - 1)
        return base_s * factor * self.faults.slow / self.speed


def refusal(detail):
    """Return a response that reports that the task did not start."""
    body = json.dumps({"error": detail}).encode()
    return "503 Service Unavailable", [("X-Not-Started", "true")], body


def main(
    address: Annotated[list[str], cyclopts.Parameter(negative=())],
    slots: int = 8,
    connections: int = 64,
    speed: Annotated[list[float] | None, cyclopts.Parameter(negative=())] = None,
    spread: float = 0.0,
    seed: int = 0,
):
    """Serve tasks on each address until terminated.

    Parameters
    ----------
    address : list of str
        ``ip:port`` of a server; may be repeated.
    slots : int
        Concurrent tasks of each server.
    connections : int
        Maximum connections of each server.
    speed : list of float
        Divides run times; given once for all servers or once for each.
    spread : float
        Maximum relative variation of run times.
    seed : int
        Seed of that variation.
    """
    speeds = itertools.cycle(speed or [1.0])
    for number, (host_and_port, server_speed) in enumerate(zip(address, speeds, strict=False)):
        host, port = host_and_port.rsplit(":", 1)
        server = Server(slots, connections, server_speed, seed + number, spread)
        bound = server.listen((host, int(port)))
        print(f"listening {bound[0]}:{bound[1]} speed {server_speed}", flush=True)
    eventlet.Event().wait()


if __name__ == "__main__":
    eventlet.monkey_patch()
    app = cyclopts.App(name="backend", help_format="plaintext")
    app.default(main)
    sys.exit(app())
