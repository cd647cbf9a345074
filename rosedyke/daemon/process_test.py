"""The whole path with real processes: store, backend servers, entry instances, both programs."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import unittest

import urllib3

from rosedyke.callers import client
from rosedyke.job import answer, code

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))

import processes  # noqa: E402

LIMIT_S = 30.0
# Names that stand for the daemon's parts in the fleet below.
FIRST, SECOND = 0, 1


def free_address():
    """Return an ip:port that only the process it is given to will bind."""
    address = processes.unique_loopback_address()
    return f"{address}:{processes.free_port(address)}"


class Fleet(contextlib.AbstractContextManager):
    """Two entry instances of one data centre with two backend servers."""

    def __init__(self):
        self.stack = contextlib.ExitStack()
        self.folder = pathlib.Path(self.stack.enter_context(tempfile.TemporaryDirectory()))
        self.group = self.stack.enter_context(processes.Group(self.folder))
        self.http = urllib3.PoolManager(retries=False)
        self.store = free_address()
        self.servers = [free_address() for _ in range(2)]
        self.callers = [free_address() for _ in range(2)]
        self.operators = [free_address() for _ in range(2)]
        self.peers = [free_address() for _ in range(2)]
        self.instances = []

    def __exit__(self, *exception):
        self.http.clear()
        self.stack.close()

    def start(self):
        self.group.start("store", "rosedyke.standins.store", "--address", self.store)
        flags = [word for address in self.servers for word in ("--address", address)]
        self.group.start("servers", "rosedyke.standins.backend", *flags)
        self.instances = [self.start_instance(number) for number in (FIRST, SECOND)]
        processes.wait_until(self.apply, LIMIT_S, "the store")
        processes.wait_until(self.is_ready, LIMIT_S, "readiness")
        return self

    def start_instance(self, number):
        return self.group.start(
            f"north-{number}",
            "rosedyke.daemon.main",
            *("--name", f"north-{number}", "--region", "valley"),
            *("--data-centre", "north", "--data-centres", "north"),
            *("--caller-address", self.callers[number]),
            *("--operator-address", self.operators[number]),
            *("--peer-address", self.peers[number], "--seeds", ",".join(self.peers)),
            *("--store", f"http://{self.store}", "--shutdown-notice-s", "0.1"),
        )

    def apply(self):
        servers = "".join(
            f'[[services.servers]]\nname = "press-{number}"\naddress = "{address}"\n'
            f'data_centre = "north"\n'
            for number, address in enumerate(self.servers)
        )
        path = self.folder / "press.toml"
        path.write_text(
            'team = "press"\n[[services]]\nname = "sealing"\n'
            "[services.limits]\nmax_tasks = 100\nmax_timeout_s = 40.0\n"
            '[[services.tasks]]\nname = "seal"\nrun_time_s = 0.05\n' + servers
        )
        return self.run("apply", str(path)).returncode == 0

    def run(self, *words):
        environment = {
            **os.environ,
            "ROSEDYKE_STORE": f"http://{self.store}",
            "ROSEDYKE_INSTANCES": ",".join(self.operators),
        }
        return subprocess.run(
            [sys.executable, "-W", "ignore", "-m", "rosedyke.command.main", *words],
            env=environment,
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=LIMIT_S,
        )

    def status_of(self, number):
        try:
            return self.http.request("GET", f"http://{self.callers[number]}/readyz").status
        except urllib3.exceptions.HTTPError:
            return None

    def is_ready(self):
        """Return whether both are ready and see each other as live."""
        if [self.status_of(number) for number in (FIRST, SECOND)] != [200, 200]:
            return False
        return all(
            [member["state"] for member in self.operator(number, "status")["members"]]
            == ["live", "live"]
            for number in (FIRST, SECOND)
        )

    def operator(self, number, name):
        url = f"http://{self.operators[number]}/v1/operator/{name}"
        return json.loads(self.http.request("GET", url).data)

    def counts(self):
        """Return what both backend servers counted, added up."""
        total = {}
        for address in self.servers:
            found = json.loads(self.http.request("GET", f"http://{address}/v1/count").data)
            total = {name: total.get(name, 0) + count for name, count in found.items()}
        return total

    def submit(self, number, job_id, run_s, tasks=1, **more):
        caller = client.Client(client.ClientSettings((self.callers[number],)))
        calls = [client.Task("seal", {"run_s": run_s, "bill": bill}) for bill in range(tasks)]
        return caller.submit("sealing", calls, LIMIT_S, job_id, **more)


class Submission(threading.Thread):
    """Submits a job in a thread of its own and keeps what came of it."""

    def __init__(self, fleet, *arguments, **more):
        super().__init__()
        self.fleet = fleet
        self.arguments = arguments
        self.more = more
        self.final = None
        self.start()

    def run(self):
        try:
            self.final = self.fleet.submit(*self.arguments, **self.more)
        except client.ClientError as error:
            self.final = error.answer


class Serving(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = cls.enterClassContext(Fleet()).start()

    def test_job_has_its_whole_answer_in_order(self):
        final = self.fleet.submit(FIRST, "order", 0.01, tasks=50, is_first=True)
        self.assertEqual([json.loads(result)["bill"] for result in final.results], list(range(50)))
        self.assertEqual(self.fleet.counts()["double_starts"], 0)

    def test_job_submitted_again_elsewhere_has_the_first_answer(self):
        """A caller has its answer from one instance and asks the other one again.

        The second instance finds the claim at a registrar and the answer at its holder; the
        backend servers see no second start.
        """
        first = self.fleet.submit(FIRST, "again", 0.01, is_first=True)
        started = self.fleet.counts()["started"]
        second = self.fleet.submit(SECOND, "again", 0.01, is_first=False)
        self.assertEqual(first.results, second.results)
        self.assertEqual(self.fleet.counts()["started"], started)

    def test_refusals_are_true(self):
        started = self.fleet.counts()["started"]
        caller = client.Client(client.ClientSettings((self.fleet.callers[FIRST],)))
        for service, tasks, timeout_s, reason in [
            ("nothing", [client.Task("seal")], LIMIT_S, code.Code.UNKNOWN_SERVICE),
            ("sealing", [client.Task("nothing")], LIMIT_S, code.Code.UNKNOWN_TASK),
            ("sealing", [client.Task("seal")] * 101, LIMIT_S, code.Code.TOO_MANY_TASKS),
            ("sealing", [client.Task("seal")], 41.0, code.Code.INVALID_FIELD),
        ]:
            with self.subTest(reason), self.assertRaises(client.JobNotRun) as raised:
                caller.submit(service, tasks, timeout_s)
            self.assertIs(raised.exception.answer.code, reason)
        self.assertEqual(self.fleet.counts()["started"], started)

    def test_commands(self):
        path = self.fleet.folder / "jobs.json"
        task = {"name": "seal", "payload": {"run_s": 0.01}}
        path.write_text(json.dumps({"service": "sealing", "tasks": [task] * 3}))
        submitted = self.fleet.run("submit", str(path), "--json")
        self.assertEqual(submitted.returncode, 0, submitted.stderr)
        job_id = json.loads(submitted.stdout)["job_id"]
        self.assertEqual(len(json.loads(submitted.stdout)["results"]), 3)
        cancelled = self.fleet.run("cancel", job_id, "--json")
        self.assertEqual(json.loads(cancelled.stdout)["outcome"], "complete", cancelled.stderr)
        self.assertEqual(self.fleet.run("cancel", "never-seen").returncode, 9)
        status = json.loads(self.fleet.run("status", "--json").stdout)
        self.assertEqual(len(status["instances"]), 2)
        self.assertEqual([one["slots"] for one in status["servers"]], [8, 8])
        burn = json.loads(self.fleet.run("burn", "--json").stdout)
        self.assertEqual(burn["reached"], ["north-0", "north-1"])
        self.assertEqual(burn["services"][0]["service"], "sealing")


class Stopping(unittest.TestCase):
    def setUp(self):
        self.fleet = self.enterContext(Fleet()).start()

    def begin(self, run_s):
        """Submit a job at the first instance and return when its task has started."""
        submission = Submission(self.fleet, FIRST, "job", run_s, is_first=True)
        self.addCleanup(submission.join)

        def has_started():
            self.assertIsNone(submission.final, "the job ended before its task started")
            return self.fleet.counts()["started"] == 1

        try:
            processes.wait_until(has_started, LIMIT_S, "the start")
        except TimeoutError as error:
            logs = "\n".join(f"== {one.name}\n{one.tail()}" for one in self.fleet.instances)
            raise TimeoutError(f"{error}\n{logs}") from error
        return submission

    def test_graceful_shutdown(self):
        """An instance gets SIGTERM while it runs a job.

        The caller gets its whole answer over the connection it has; then the process ends with 0.
        The job's answer was handed over: the other instance gives it to a resubmission.
        """
        submission = self.begin(1.5)
        self.fleet.instances[FIRST].signal(signal.SIGTERM)
        processes.wait_until(lambda: self.fleet.status_of(FIRST) != 200, LIMIT_S, "not ready")
        submission.join(LIMIT_S)
        self.assertTrue(submission.final.is_complete, submission.final)
        self.assertEqual(self.fleet.instances[FIRST].process.wait(LIMIT_S), 0)
        again = self.fleet.submit(SECOND, "job", 1.5, is_first=False)
        self.assertEqual(again.results, submission.final.results)
        self.assertEqual(self.fleet.counts()["started"], 1)

    def test_second_signal(self):
        """An instance gets SIGTERM twice while it runs a job of 20 s.

        The process ends at once with 1; its caller is told that the job may have run, and a
        resubmission elsewhere never runs it again.
        """
        submission = self.begin(20.0)
        instance = self.fleet.instances[FIRST]
        instance.signal(signal.SIGTERM)
        processes.wait_until(lambda: self.fleet.status_of(FIRST) != 200, LIMIT_S, "not ready")
        instance.signal(signal.SIGTERM)
        self.assertEqual(instance.process.wait(LIMIT_S), 1)
        submission.join(LIMIT_S)
        self.assertIs(submission.final.ran, answer.Ran.UNKNOWN)
        self.assertIs(submission.final.code, code.Code.STOPPED)
        with self.assertRaises(client.ClientError) as raised:
            self.fleet.submit(SECOND, "job", 20.0, is_first=False)
        self.assertIs(raised.exception.answer.ran, answer.Ran.UNKNOWN)
        self.assertEqual(self.fleet.counts()["started"], 1)


class Settings(unittest.TestCase):
    def test_every_fault_is_named_and_the_exit_code_is_2(self):
        words = ["--store", "ftp://x", "--log-level", "loud"]
        ended = subprocess.run(
            [sys.executable, "-W", "ignore", "-m", "rosedyke.daemon.main", *words],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=LIMIT_S,
        )
        self.assertEqual(ended.returncode, 2)
        for name in ("--name", "--region", "--data-centre", "--store", "--log-level"):
            self.assertIn(name + ":", ended.stderr)

    def test_address_in_use(self):
        with socket.create_server(("127.0.0.1", 0)) as taken:
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            words = ["--name", "north-1", "--region", "valley", "--data-centre", "north"]
            words += ["--data-centres", "north", "--operator-address", address]
            words += ["--caller-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0"]
            ended = subprocess.run(
                [sys.executable, "-W", "ignore", "-m", "rosedyke.daemon.main", *words],
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=LIMIT_S,
            )
        self.assertEqual(ended.returncode, 3, ended.stderr)
        self.assertIn(f"E7007 start_failed error={address}", ended.stderr)


if __name__ == "__main__":
    unittest.main()
