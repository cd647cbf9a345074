"""End-to-end tests with real processes: store, backend servers, entry instances and commands."""

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

TIMEOUT_S = 30.0
# Indexes of the two instances.
FIRST_INSTANCE, SECOND_INSTANCE = 0, 1


def free_address():
    """Return an ip:port on a loopback address that no other test uses."""
    address = processes.unique_loopback_address()
    return f"{address}:{processes.free_port(address)}"


class TwoInstanceRegion(contextlib.AbstractContextManager):
    """A region with two entry instances in one data centre and two backend servers."""

    def __init__(self):
        self.stack = contextlib.ExitStack()
        self.directory = pathlib.Path(self.stack.enter_context(tempfile.TemporaryDirectory()))
        self.group = self.stack.enter_context(processes.Group(self.directory))
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
        processes.wait_until(self.are_servers_listening, TIMEOUT_S, "the backend servers")
        self.instances = [self.start_instance(index) for index in (FIRST_INSTANCE, SECOND_INSTANCE)]
        processes.wait_until(self.apply, TIMEOUT_S, "the store")
        processes.wait_until(self.is_ready, TIMEOUT_S, "readiness")
        return self

    def start_instance(self, index):
        return self.group.start(
            f"north-{index}",
            "rosedyke.daemon.main",
            *("--name", f"north-{index}", "--region", "valley"),
            *("--data-centre", "north", "--data-centres", "north"),
            *("--caller-address", self.callers[index]),
            *("--operator-address", self.operators[index]),
            *("--peer-address", self.peers[index], "--seeds", ",".join(self.peers)),
            *("--store", f"http://{self.store}", "--shutdown-notice-s", "0.1"),
        )

    def apply(self):
        servers = "".join(
            f'[[services.servers]]\nname = "press-{index}"\naddress = "{address}"\n'
            f'data_centre = "north"\n'
            for index, address in enumerate(self.servers)
        )
        path = self.directory / "press.toml"
        path.write_text(
            'team = "press"\n[[services]]\nname = "sealing"\n'
            "[services.limits]\nmax_tasks = 100\nmax_timeout_s = 40.0\n"
            '[[services.tasks]]\nname = "seal"\nrun_time_s = 0.05\n' + servers
        )
        return self.run("apply", str(path)).returncode == 0

    def run(self, *arguments):
        environment = {
            **os.environ,
            "ROSEDYKE_STORE": f"http://{self.store}",
            "ROSEDYKE_INSTANCES": ",".join(self.operators),
        }
        return subprocess.run(
            [sys.executable, "-W", "ignore", "-m", "rosedyke.command.main", *arguments],
            env=environment,
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )

    def are_servers_listening(self):
        try:
            self.counts()
        except urllib3.exceptions.HTTPError:
            return False
        return True

    def readiness_status(self, index):
        try:
            return self.http.request("GET", f"http://{self.callers[index]}/readyz").status
        except urllib3.exceptions.HTTPError:
            return None

    def is_ready(self):
        """Return whether both instances are ready and list each other as live."""
        if [self.readiness_status(index) for index in (FIRST_INSTANCE, SECOND_INSTANCE)] != [
            200,
            200,
        ]:
            return False
        return all(
            [member["state"] for member in self.operator(index, "status")["members"]]
            == ["live", "live"]
            for index in (FIRST_INSTANCE, SECOND_INSTANCE)
        )

    def operator(self, index, name):
        url = f"http://{self.operators[index]}/v1/operator/{name}"
        return json.loads(self.http.request("GET", url).data)

    def counts(self):
        """Return the sums of the counters of both backend servers."""
        totals = {}
        for address in self.servers:
            server_counts = json.loads(self.http.request("GET", f"http://{address}/v1/count").data)
            totals = {name: totals.get(name, 0) + count for name, count in server_counts.items()}
        return totals

    def submit(self, index, job_id, run_s, tasks=1, **options):
        caller = client.Client(client.ClientSettings((self.callers[index],)))
        job_tasks = [client.Task("seal", {"run_s": run_s, "bill": bill}) for bill in range(tasks)]
        return caller.submit("sealing", job_tasks, TIMEOUT_S, job_id, **options)


class Submission(threading.Thread):
    """Submits a job in a thread and stores its final answer."""

    def __init__(self, region, *arguments, **options):
        super().__init__()
        self.region = region
        self.arguments = arguments
        self.options = options
        self.final_answer = None
        self.start()

    def run(self):
        try:
            self.final_answer = self.region.submit(*self.arguments, **self.options)
        except client.ClientError as error:
            self.final_answer = error.answer


class Serving(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.region = cls.enterClassContext(TwoInstanceRegion()).start()

    def test_results_are_complete_and_in_order(self):
        final_answer = self.region.submit(FIRST_INSTANCE, "order", 0.01, tasks=50, is_first=True)
        self.assertEqual(
            [json.loads(result)["bill"] for result in final_answer.results], list(range(50))
        )
        self.assertEqual(self.region.counts()["double_starts"], 0)

    def test_resubmission_at_another_instance_gets_the_first_answer(self):
        """A resubmission of a completed job at another instance must not start its task again."""
        first_answer = self.region.submit(FIRST_INSTANCE, "again", 0.01, is_first=True)
        started_before = self.region.counts()["started"]
        second_answer = self.region.submit(SECOND_INSTANCE, "again", 0.01, is_first=False)
        self.assertEqual(first_answer.results, second_answer.results)
        self.assertEqual(self.region.counts()["started"], started_before)

    def test_refused_jobs_start_no_task(self):
        started_before = self.region.counts()["started"]
        caller = client.Client(client.ClientSettings((self.region.callers[FIRST_INSTANCE],)))
        for service, tasks, timeout_s, expected_code in [
            ("nothing", [client.Task("seal")], TIMEOUT_S, code.Code.UNKNOWN_SERVICE),
            ("sealing", [client.Task("nothing")], TIMEOUT_S, code.Code.UNKNOWN_TASK),
            ("sealing", [client.Task("seal")] * 101, TIMEOUT_S, code.Code.TOO_MANY_TASKS),
            ("sealing", [client.Task("seal")], 41.0, code.Code.INVALID_FIELD),
        ]:
            with self.subTest(expected_code), self.assertRaises(client.JobNotRun) as raised:
                caller.submit(service, tasks, timeout_s)
            self.assertIs(raised.exception.answer.code, expected_code)
        self.assertEqual(self.region.counts()["started"], started_before)

    def test_commands(self):
        path = self.region.directory / "jobs.json"
        task = {"name": "seal", "payload": {"run_s": 0.01}}
        path.write_text(json.dumps({"service": "sealing", "tasks": [task] * 3}))
        submitted = self.region.run("submit", str(path), "--json")
        self.assertEqual(submitted.returncode, 0, submitted.stderr)
        job_id = json.loads(submitted.stdout)["job_id"]
        self.assertEqual(len(json.loads(submitted.stdout)["results"]), 3)
        cancelled = self.region.run("cancel", job_id, "--json")
        self.assertEqual(json.loads(cancelled.stdout)["outcome"], "complete", cancelled.stderr)
        self.assertEqual(self.region.run("cancel", "never-seen").returncode, 9)
        status = json.loads(self.region.run("status", "--json").stdout)
        self.assertEqual(len(status["instances"]), 2)
        self.assertEqual([server["slots"] for server in status["servers"]], [8, 8])
        burn = json.loads(self.region.run("burn", "--json").stdout)
        self.assertEqual(burn["reached"], ["north-0", "north-1"])
        self.assertEqual(burn["services"][0]["service"], "sealing")


class Stopping(unittest.TestCase):
    def setUp(self):
        self.region = self.enterContext(TwoInstanceRegion()).start()

    def start_job(self, run_s):
        """Submit a job at the first instance and wait until its task has started."""
        submission = Submission(self.region, FIRST_INSTANCE, "job", run_s, is_first=True)
        self.addCleanup(submission.join)

        def has_started():
            self.assertIsNone(submission.final_answer, "the job ended before its task started")
            return self.region.counts()["started"] == 1

        try:
            processes.wait_until(has_started, TIMEOUT_S, "the start of the task")
        except TimeoutError as error:
            logs = "\n".join(
                f"== {process.name}\n{process.tail()}" for process in self.region.instances
            )
            raise TimeoutError(f"{error}\n{logs}") from error
        return submission

    def test_graceful_shutdown(self):
        """SIGTERM during a job: the job completes, and its answer is transferred to the peer.

        The process exits with code 0 after the caller has received the complete answer.
        """
        submission = self.start_job(1.5)
        self.region.instances[FIRST_INSTANCE].signal(signal.SIGTERM)
        processes.wait_until(
            lambda: self.region.readiness_status(FIRST_INSTANCE) != 200, TIMEOUT_S, "not ready"
        )
        submission.join(TIMEOUT_S)
        self.assertTrue(submission.final_answer.is_complete, submission.final_answer)
        self.assertEqual(self.region.instances[FIRST_INSTANCE].process.wait(TIMEOUT_S), 0)
        resubmitted = self.region.submit(SECOND_INSTANCE, "job", 1.5, is_first=False)
        self.assertEqual(resubmitted.results, submission.final_answer.results)
        self.assertEqual(self.region.counts()["started"], 1)

    def test_second_signal_forces_shutdown(self):
        """Two SIGTERMs during a job: the process exits at once with code 1.

        The caller is told that the job may have run, and a resubmission must not run it again.
        """
        submission = self.start_job(20.0)
        instance = self.region.instances[FIRST_INSTANCE]
        instance.signal(signal.SIGTERM)
        processes.wait_until(
            lambda: self.region.readiness_status(FIRST_INSTANCE) != 200, TIMEOUT_S, "not ready"
        )
        instance.signal(signal.SIGTERM)
        self.assertEqual(instance.process.wait(TIMEOUT_S), 1)
        submission.join(TIMEOUT_S)
        self.assertIs(submission.final_answer.ran, answer.Ran.UNKNOWN)
        self.assertIs(submission.final_answer.code, code.Code.STOPPED)
        with self.assertRaises(client.ClientError) as raised:
            self.region.submit(SECOND_INSTANCE, "job", 20.0, is_first=False)
        self.assertIs(raised.exception.answer.ran, answer.Ran.UNKNOWN)
        self.assertEqual(self.region.counts()["started"], 1)


class Settings(unittest.TestCase):
    def test_invalid_settings_are_all_listed_with_exit_code_2(self):
        arguments = ["--store", "ftp://x", "--log-level", "loud"]
        completed = subprocess.run(
            [sys.executable, "-W", "ignore", "-m", "rosedyke.daemon.main", *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
        self.assertEqual(completed.returncode, 2)
        for name in ("--name", "--region", "--data-centre", "--store", "--log-level"):
            self.assertIn(name + ":", completed.stderr)

    def test_address_in_use_has_exit_code_3(self):
        with socket.create_server(("127.0.0.1", 0)) as taken:
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            arguments = ["--name", "north-1", "--region", "valley", "--data-centre", "north"]
            arguments += ["--data-centres", "north", "--operator-address", address]
            arguments += ["--caller-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0"]
            completed = subprocess.run(
                [sys.executable, "-W", "ignore", "-m", "rosedyke.daemon.main", *arguments],
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=TIMEOUT_S,
            )
        self.assertEqual(completed.returncode, 3, completed.stderr)
        self.assertIn(f"E7007 start_failed error={address}", completed.stderr)


if __name__ == "__main__":
    unittest.main()
