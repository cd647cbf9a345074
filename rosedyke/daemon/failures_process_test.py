"""Failures of instance processes during jobs: killed, or stopped and resumed."""

import json
import pathlib
import signal
import sys
import tempfile
import threading
import unittest

import urllib3

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))

import processes  # noqa: E402
import region as region_module  # noqa: E402

DATA_CENTRES = ("dc1", "dc2", "dc3")
TIMEOUT_S = 40.0
TASK_COUNT = 16
TASK_DURATION_S = 0.5
# Lines of each instance's log that a failure shows.
LOG_LINES = 40


class Submission(threading.Thread):
    """Submits one attempt of a job in a thread, with a plain HTTP client."""

    def __init__(self, instance, job_id, attempt, age_s=0.0, run_s=TASK_DURATION_S):
        super().__init__(daemon=True)
        self.url = f"http://{instance.caller_address}/v1/services/sealing/jobs"
        self.headers = {
            "Content-Type": "application/json",
            "Rosedyke-Attempt": str(attempt),
            "Rosedyke-Age-Ms": str(int(age_s * 1000)),
        }
        tasks = [
            {"name": "seal", "payload": {"run_s": run_s, "n": number}}
            for number in range(TASK_COUNT)
        ]
        self.body = json.dumps({"job_id": job_id, "timeout_s": 20, "tasks": tasks}).encode()
        self.document = None
        self.start()

    def run(self):
        try:
            reply = urllib3.PoolManager(retries=False).request(
                "POST", self.url, body=self.body, headers=self.headers, timeout=TIMEOUT_S
            )
            self.document = json.loads(reply.data)
        except urllib3.exceptions.HTTPError:
            self.document = None

    def answer(self):
        self.join(TIMEOUT_S)
        return self.document


class InstanceFailures(unittest.TestCase):
    """A region of three data centres with two instances each."""

    def setUp(self):
        directory = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        group = self.enterContext(processes.Group(directory))
        self.region = region_module.Region(group, DATA_CENTRES, 2)
        self.region.start_store()
        addresses = []
        for _ in DATA_CENTRES:
            ip = processes.unique_loopback_address()
            addresses.append(f"{ip}:{processes.free_port(ip)}")
        self.region.start_backends("servers", addresses, (1.0, 2.0, 4.0))
        servers = "".join(
            f'[[services.servers]]\nname = "press-{data_centre}"\naddress = "{address}"\n'
            f'data_centre = "{data_centre}"\n'
            for data_centre, address in zip(DATA_CENTRES, addresses, strict=True)
        )
        team_file = directory / "press.toml"
        team_file.write_text(
            'team = "press"\n[[services]]\nname = "sealing"\n'
            '[[services.tasks]]\nname = "seal"\nrun_time_s = 0.5\n' + servers
        )
        self.region.run_command("apply", str(team_file))
        self.region.start_instances()
        self.region.wait_ready()

    def started_count(self):
        return self.region.server_counts()["started"]

    def wait_for_starts(self, submission, started_before, count):
        """Block until a submission has started ``count`` tasks; fail if it is answered before."""

        def has_started():
            return self.started_count() >= started_before + count

        processes.wait_until(
            lambda: has_started() or not submission.is_alive(), TIMEOUT_S, f"{count} starts"
        )
        if not has_started():
            logs = "".join(
                f"\n{instance.name}:\n{instance.process.tail(LOG_LINES)}"
                for instance in self.region.instances
            )
            self.fail(f"answered before {count} tasks started: {submission.document}{logs}")

    def check_answer(self, document, started_before):
        """Check the answer to a caller against the task starts counted by the backend servers."""
        self.assertEqual(self.region.double_starts(), {})
        if document.get("outcome") == "complete":
            numbers = [result["n"] for result in document["results"]]
            self.assertEqual(numbers, list(range(TASK_COUNT)))
        else:
            self.assertNotIn("results", document)
            if document["ran"] == "no":
                self.assertEqual(self.started_count(), started_before)

    def test_resubmission_after_the_holder_is_killed(self):
        # The instance is killed before, after the first or after half of the task starts, and the
        # caller resubmits the job in another data centre.  No task may start twice.
        for data_centre, start_count in (("dc1", 0), ("dc2", 1), ("dc3", TASK_COUNT // 2)):
            with self.subTest(starts=start_count):
                holder = self.region.instance(f"{data_centre}-1")
                other = self.region.instance("dc1-2" if data_centre != "dc1" else "dc3-2")
                started_before = self.started_count()
                first = Submission(holder, f"killed-{data_centre}", 1)
                self.wait_for_starts(first, started_before, start_count)
                holder.process.kill()
                self.assertIsNone(first.answer())
                second_answer = Submission(other, f"killed-{data_centre}", 2, age_s=2.0).answer()
                self.check_answer(second_answer, started_before)
                if start_count:
                    self.assertEqual(second_answer["ran"], "unknown")
                self.assertEqual(self.region.double_starts(), {})

    def test_resumed_holder_starts_no_more_tasks(self):
        # The holder is paused (SIGSTOP) with tasks still queued until its peers declare it dead,
        # and the job is resubmitted elsewhere.  After SIGCONT it must send no queued task.
        holder = self.region.instance("dc2-1")
        started_before = self.started_count()
        first = Submission(holder, "stopped", 1)
        self.wait_for_starts(first, started_before, 1)
        holder.process.signal(signal.SIGSTOP)
        second_answer = Submission(self.region.instance("dc3-2"), "stopped", 2, age_s=2.0).answer()
        self.check_answer(second_answer, started_before)
        processes.wait_until(lambda: self.is_reported_dead(holder), TIMEOUT_S, "the holder's death")
        start_count = self.started_count()
        holder.process.signal(signal.SIGCONT)
        final_answer = first.answer()
        self.assertEqual(final_answer["outcome"], "failed")
        self.assertNotEqual(final_answer["ran"], "no")
        self.region.wait_ready([holder])
        self.assertEqual(self.started_count(), start_count)
        self.check_answer(Submission(holder, "afterwards", 1, run_s=0.01).answer(), start_count)
        self.assertEqual(self.region.double_starts(), {})

    def is_reported_dead(self, instance):
        """Return whether a peer in the same data centre reports the instance as dead."""
        other = self.region.instance(instance.name.replace("-1", "-2"))
        status = self.region.get_json(f"http://{other.operator_address}/v1/operator/status")
        states = {member["name"]: member["state"] for member in status["members"]}
        return states.get(instance.name) == "dead"


if __name__ == "__main__":
    unittest.main()
