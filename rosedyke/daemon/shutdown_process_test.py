"""Requests that reach an instance during its shutdown, with real processes."""

import contextlib
import itertools
import json
import pathlib
import signal
import socket
import sys
import tempfile
import threading
import time
import unittest

import attrs

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))

import processes  # noqa: E402
import region as region_module  # noqa: E402

DATA_CENTRES = ("dc1", "dc2")
TIMEOUT_S = 40.0
# A connection that is closed sooner, without a start, may have been closed before the request came.
CLOSE_RACE_S = 0.2
# Until the registrars are settled.
SETTLING_S = 2.0
# For the end of the process, and for signals to be handled, on a busy machine.
EXIT_S = 1.0


@attrs.define
class Request:
    """A job that was sent on a connection, and how it ended.

    Attributes
    ----------
    sent_s : float
        When its last byte was sent, in seconds after the first signal.
    took_s : float
        Seconds until its end.
    status : int or None
        None if the connection was closed without a complete response.
    attempt : int
        A further attempt may find the starts of an earlier one.
    """

    kind: str
    job_id: str
    attempt: int = 1
    sent_s: float = 0.0
    took_s: float = 0.0
    status: int | None = None
    document: dict = attrs.Factory(dict)
    error: str = ""


class Connection:
    """A caller's connection, which reads one response for each request."""

    def __init__(self, address):
        host, port = address.rsplit(":", 1)
        self.socket = socket.create_connection((host, int(port)), TIMEOUT_S)
        self.file = self.socket.makefile("rb")
        self.is_closed_by_peer = False

    def close(self):
        self.file.close()
        self.socket.close()

    def read_response(self):
        """Return status and document; raise OSError or ValueError if they are incomplete."""
        line = self.file.readline()
        if not line:
            raise ConnectionError("closed without a response")
        status = int(line.split()[1])
        headers = {}
        while (line := self.file.readline()) not in (b"\r\n", b""):
            name, value = line.decode().split(":", 1)
            headers[name.lower()] = value.strip()
        content = self.file.read(int(headers["content-length"]))
        if len(content) < int(headers["content-length"]):
            raise ConnectionError("closed within a response")
        self.is_closed_by_peer = headers.get("connection", "").lower() == "close"
        return status, json.loads(content)


def encode(job_id, run_s, timeout_s=20.0, attempt=1, chunked=False):
    """Return the bytes of a request."""
    tasks = [{"name": "seal", "payload": {"run_s": run_s}}]
    body = json.dumps({"job_id": job_id, "timeout_s": timeout_s, "tasks": tasks}).encode()
    lines = ["POST /v1/services/sealing/jobs HTTP/1.1", "Host: press.example"]
    lines += ["Content-Type: application/json", f"Rosedyke-Attempt: {attempt}"]
    if attempt > 1:
        lines.append("Rosedyke-Age-Ms: 100")
    if chunked:
        lines.append("Transfer-Encoding: chunked")
        half = len(body) // 2
        chunks = (b"%x\r\n%s\r\n" % (len(part), part) for part in (body[:half], body[half:]))
        body = b"".join(chunks) + b"0\r\n\r\n"
    else:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class ShutdownRegion(contextlib.AbstractContextManager):
    """A region whose first instance is shut down while callers go on sending to it."""

    def __init__(self, *options):
        self.stack = contextlib.ExitStack()
        directory = pathlib.Path(self.stack.enter_context(tempfile.TemporaryDirectory()))
        group = self.stack.enter_context(processes.Group(directory))
        self.region = region_module.Region(group, DATA_CENTRES, 2, options)
        self.region.start_store()
        addresses = []
        for _ in DATA_CENTRES:
            ip = processes.unique_loopback_address()
            addresses.append(f"{ip}:{processes.free_port(ip)}")
        self.region.start_backends("servers", addresses, (1.0,), slots=64, connections=256)
        servers = "".join(
            f'[[services.servers]]\nname = "press-{data_centre}"\naddress = "{address}"\n'
            f'data_centre = "{data_centre}"\nslots = 64\n'
            for data_centre, address in zip(DATA_CENTRES, addresses, strict=True)
        )
        team_file = directory / "press.toml"
        team_file.write_text(
            'team = "press"\n[[services]]\nname = "sealing"\n'
            "[services.limits]\nmax_timeout_s = 60.0\n"
            '[[services.tasks]]\nname = "seal"\nrun_time_s = 0.3\n' + servers
        )
        self.region.run_command("apply", str(team_file))
        self.region.start_instances()
        self.region.wait_ready()
        self.stopping, self.other = self.region.instances[:2]
        self.numbers = itertools.count(1)
        self.requests = []
        self.threads = []
        self.began_s = None
        self.ended_s = None

    def __exit__(self, *exception):
        self.region.http.clear()
        self.stack.close()

    def now_s(self):
        return time.monotonic() - self.began_s

    def connect(self, instance=None):
        connection = Connection((instance or self.stopping).caller_address)
        self.stack.callback(connection.close)
        return connection

    def new_job(self, kind):
        return f"{kind}-{next(self.numbers)}"

    def exchange(self, connection, kind, run_s, pause_s=0.0, **options):
        """Send a request, with a pause within its body, and wait for its end."""
        job_id = options.pop("job_id", None) or self.new_job(kind)
        request = Request(kind, job_id, options.get("attempt", 1))
        content = encode(request.job_id, run_s, **options)
        try:
            if pause_s:
                connection.socket.sendall(content[:-20])
                time.sleep(pause_s)
                content = content[-20:]
            request.sent_s = self.now_s()
            connection.socket.sendall(content)
            request.status, request.document = connection.read_response()
        except (OSError, ValueError, KeyError) as error:
            request.error = repr(error)
        request.took_s = self.now_s() - request.sent_s
        self.requests.append(request)
        return request

    def pipeline(self, connection, run_s, gap_s):
        """Send two requests, the second before the response to the first one."""
        first = Request("pipelined", self.new_job("pipelined"))
        second = Request("pipelined-second", self.new_job("pipelined-second"))
        try:
            connection.socket.sendall(encode(first.job_id, run_s))
            first.sent_s = self.now_s()
            time.sleep(gap_s)
            connection.socket.sendall(encode(second.job_id, run_s))
            second.sent_s = self.now_s()
        except OSError as error:
            first.error = repr(error)
        for request in (first, second):
            if connection.is_closed_by_peer:
                request.error = "after a response that closes the connection"
            else:
                try:
                    request.status, request.document = connection.read_response()
                except (OSError, ValueError, KeyError) as error:
                    request.error = repr(error)
            request.took_s = self.now_s() - request.sent_s
            self.requests.append(request)

    def spawn(self, function, *arguments, **options):
        thread = threading.Thread(target=function, args=arguments, kwargs=options, daemon=True)
        self.threads.append(thread)
        thread.start()

    def keep_sending(self, run_s, delay_s=0.0):
        """Submit one job after the other until the instance takes no more connections."""
        connection = self.connect()
        while self.ended_s is None:
            request = self.exchange(connection, "background", run_s)
            if connection.is_closed_by_peer or request.status is None:
                connection.close()
                try:
                    connection = self.connect()
                except OSError:
                    return
            time.sleep(delay_s)

    def at(self, after_s, function, *arguments, **options):
        """Call a function in a thread some seconds after the first signal."""

        def wait():
            time.sleep(max(0.0, after_s - self.now_s()))
            with contextlib.suppress(OSError):  # the connection was refused: not a request
                function(*arguments, **options)

        self.spawn(wait)

    def exchange_new(self, kind, run_s, **options):
        self.exchange(self.connect(), kind, run_s, **options)

    def shut_down(self, number=signal.SIGTERM):
        self.began_s = time.monotonic()
        self.stopping.process.signal(number)

    def wait_for_end(self):
        """Wait for the end of the process and of all callers; return the exit code."""
        exit_code = self.stopping.process.process.wait(90)
        self.ended_s = self.now_s()
        for thread in self.threads:
            thread.join(TIMEOUT_S)
        return exit_code

    def faults(self):
        """Return what was wrong with the answers, and the lost requests."""
        found = [f"{key} started {count} times" for key, count in self.starts(2).items()]
        started = self.starts(1)
        for request in self.requests:
            has_started = any(key.startswith(request.job_id + "/") for key in started)
            may_have_started = has_started and request.attempt == 1
            if request.status is None:
                is_race = request.took_s < CLOSE_RACE_S and not may_have_started
                if not is_race and not request.error.startswith("after a response"):
                    found.append(f"lost: {request}")
            elif request.document.get("job_id", request.job_id) != request.job_id:
                found.append(f"foreign answer: {request}")
            elif request.document.get("ran") == "no" and has_started:
                found.append(f"ran although answered otherwise: {request}")
            elif request.status == 200 and not has_started:
                found.append(f"not run although answered otherwise: {request}")
        return found

    def starts(self, least):
        counts = {}
        for address in self.region.server_addresses():
            for key, count in self.region.get_json(f"http://{address}/v1/starts").items():
                counts[key] = counts.get(key, 0) + count
        return {key: count for key, count in counts.items() if count >= least}


def hold_open(connection):
    """Send a request without the end of its body."""
    connection.socket.sendall(encode("never-whole", 0.1)[:-10])


class ShutdownCase(unittest.TestCase):
    def start(self, notice_s, timeout_s):
        options = ("--shutdown-notice-s", str(notice_s), "--shutdown-timeout-s", str(timeout_s))
        region = self.enterContext(ShutdownRegion(*options))
        time.sleep(SETTLING_S)
        return region

    def check_answers(self, region):
        self.assertEqual(region.faults(), [], region.stopping.process.tail(40))

    def send_all_kinds(self, region, afters_s, durations_s):
        """Let callers send all kinds of requests some time after the first signal."""
        for after_s in afters_s:
            for run_s in durations_s:
                idle, used = region.connect(), region.connect()
                region.exchange(used, "first", 0.0)
                region.at(after_s, region.exchange, idle, "idle", run_s)
                region.at(after_s, region.exchange, used, "reused", run_s)
                region.at(after_s, region.exchange_new, "new", run_s)
            region.at(after_s, region.exchange_new, "chunked", 0.3, chunked=True)
            region.at(after_s, region.exchange_new, "half", 0.3, pause_s=0.7)
            region.at(after_s, region.exchange_new, "further", 0.3, attempt=2)
            region.at(after_s, lambda: region.pipeline(region.connect(), 0.3, 0.05))
        for _ in range(4):
            region.spawn(region.keep_sending, 0.2)


class Graceful(ShutdownCase):
    def test_callers_go_on_sending(self):
        # Guards against requests that are closed without an answer, and against a shutdown that
        # lasts for as long as callers go on sending.
        region = self.start(0.5, 8)
        region.began_s = time.monotonic()
        self.send_all_kinds(region, (0.1, 0.45, 0.55, 1.0, 2.0, 2.8), (0.2, 0.6, 2.0))
        region.shut_down()
        self.assertEqual(region.wait_for_end(), 0)
        self.assertLess(region.ended_s, 5.0)
        self.check_answers(region)
        early = [request for request in region.requests if request.sent_s < 0.4]
        # The response to the first of two pipelined requests closes the connection.
        statuses = {request.status for request in early if request.kind != "pipelined-second"}
        self.assertEqual(statuses, {200})

    def test_jobs_that_outlast_the_timeout(self):
        # Guards against jobs whose callers get no answer since they would end after the timeout.
        region = self.start(0.1, 2)
        region.began_s = time.monotonic()
        self.send_all_kinds(region, (0.05, 0.15, 0.9, 1.1), (0.2, 3.0))
        region.shut_down()
        self.assertEqual(region.wait_for_end(), 1)
        self.assertLess(region.ended_s, 0.1 + 2 + EXIT_S)
        self.check_answers(region)

    def test_pause_within_the_shutdown(self):
        # Guards against requests that lie in the sockets of a process that stands still.
        region = self.start(0.5, 8)
        region.began_s = time.monotonic()
        self.send_all_kinds(region, (0.1, 0.6, 1.2, 1.8, 2.2), (0.2, 2.0))
        region.shut_down()
        time.sleep(0.9)
        region.stopping.process.signal(signal.SIGSTOP)
        time.sleep(1.0)
        region.stopping.process.signal(signal.SIGCONT)
        region.wait_for_end()
        self.check_answers(region)

    def test_callers_attached_to_a_job_of_another_instance(self):
        # Guards against callers whose request is read after the jobs have ended: they waited for
        # the other instance's job, and got no answer before the process ended.
        region = self.start(0.1, 2)
        region.began_s = time.monotonic()
        other = region.connect(region.other)
        region.spawn(region.exchange, other, "held", 8.0, job_id="held")
        time.sleep(0.3)
        region.shut_down()
        # The last one is read 0.2 s before connections are closed.
        for number in range(12):
            region.spawn(
                region.exchange_new,
                *("attached", 8.0),
                pause_s=0.8 + 0.1 * number,
                job_id="held",
                attempt=2,
            )
        region.wait_for_end()
        self.check_answers(region)
        late = [request for request in region.requests if request.sent_s > 1.2 and request.status]
        self.assertTrue(late)

    def test_unfinished_bodies_do_not_delay_the_exit(self):
        # Guards against an exit long after the timeout, when a supervisor may have killed the
        # process: each of the servers waited for requests for five seconds.
        region = self.start(0.1, 2)
        addresses = (region.stopping.caller_address, region.stopping.operator_address)
        for address in addresses:
            connection = Connection(address)
            self.addCleanup(connection.close)
            hold_open(connection)
        region.shut_down()
        region.wait_for_end()
        self.assertLess(region.ended_s, 0.1 + 2 + EXIT_S)


class Signals(ShutdownCase):
    def test_second_signal_while_callers_go_on_sending(self):
        # Guards against requests without an answer at a forced shutdown, and against an exit that
        # waits for requests which never arrive.
        region = self.start(0.5, 20)
        region.began_s = time.monotonic()
        region.spawn(region.exchange, region.connect(region.other), "held", 8.0, job_id="held")
        self.send_all_kinds(region, (0.1, 0.45, 0.55, 0.9, 1.1), (0.2, 3.0))
        for after_s in (0.2, 0.9, 0.98):
            region.at(after_s, region.exchange_new, "attached", 8.0, job_id="held", attempt=2)
        hold_open(region.connect())
        region.shut_down()
        time.sleep(1.0)
        region.stopping.process.signal(signal.SIGTERM)
        self.assertEqual(region.wait_for_end(), 1)
        self.assertLess(region.ended_s, 1.0 + 1.0 + EXIT_S)
        self.check_answers(region)

    def test_hangup_is_a_graceful_shutdown(self):
        # Guards against the default action of SIGHUP, which ends the process with jobs at work, and
        # against jobs that a second one ends.
        region = self.start(0.3, 8)
        region.began_s = time.monotonic()
        self.send_all_kinds(region, (0.1, 0.2), (0.2, 2.0))
        region.shut_down(signal.SIGHUP)
        time.sleep(0.5)
        region.stopping.process.signal(signal.SIGHUP)
        self.assertEqual(region.wait_for_end(), 0)
        self.check_answers(region)


if __name__ == "__main__":
    unittest.main()
