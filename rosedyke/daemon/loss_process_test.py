"""Loss of real processes in the middle of jobs: killed, stopped and resumed."""

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
LIMIT_S = 40.0
TASKS = 16
RUN_S = 0.5


class Submission(threading.Thread):
    """One attempt at a job by a caller with a plain HTTP client."""

    def __init__(self, instance, job_id, attempt, age_s=0.0, run_s=RUN_S):
        super().__init__(daemon=True)
        self.url = f"http://{instance.caller_address}/v1/services/sealing/jobs"
        self.headers = {
            "Content-Type": "application/json",
            "Rosedyke-Attempt": str(attempt),
            "Rosedyke-Age-Ms": str(int(age_s * 1000)),
        }
        tasks = [{"name": "seal", "payload": {"run_s": run_s, "n": n}} for n in range(TASKS)]
        self.body = json.dumps({"job_id": job_id, "timeout_s": 20, "tasks": tasks}).encode()
        self.document = None
        self.start()

    def run(self):
        try:
            reply = urllib3.PoolManager(retries=False).request(
                "POST", self.url, body=self.body, headers=self.headers, timeout=LIMIT_S
            )
            self.document = json.loads(reply.data)
        except urllib3.exceptions.HTTPError:
            self.document = None

    def answer(self):
        self.join(LIMIT_S)
        return self.document


class Loss(unittest.TestCase):
    """A region of three data centres with two instances each."""

    def setUp(self):
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        group = self.enterContext(processes.Group(folder))
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
        path = folder / "press.toml"
        path.write_text(
            'team = "press"\n[[services]]\nname = "sealing"\n'
            '[[services.tasks]]\nname = "seal"\nrun_time_s = 0.5\n' + servers
        )
        self.region.run_command("apply", str(path))
        self.region.start_instances()
        self.region.wait_ready()

    def started(self):
        return self.region.server_counts()["started"]

    def wait_for_starts(self, before, count):
        processes.wait_until(lambda: self.started() >= before + count, LIMIT_S, "starts")

    def check(self, document, before):
        """Check what a caller was told against what the backend servers counted."""
        self.assertEqual(self.region.double_starts(), {})
        if document.get("outcome") == "complete":
            numbers = [result["n"] for result in document["results"]]
            self.assertEqual(numbers, list(range(TASKS)))
        else:
            self.assertNotIn("results", document)
            if document["ran"] == "no":
                self.assertEqual(self.started(), before)

    def test_killed_holder_and_a_resubmission_elsewhere(self):
        # A caller's connection breaks: its instance was killed as the job came in, after a first
        # task had started, or with most of them under way.  It submits the job again in another
        # data centre, which finds the claim at the dead one's registrar.  Nothing starts twice,
        # whatever the answer is.
        for centre, starts in (("dc1", 0), ("dc2", 1), ("dc3", TASKS // 2)):
            with self.subTest(starts=starts):
                victim = self.region.instance(f"{centre}-1")
                other = self.region.instance("dc1-2" if centre != "dc1" else "dc3-2")
                before = self.started()
                first = Submission(victim, f"killed-{centre}", 1)
                self.wait_for_starts(before, starts)
                victim.process.kill()
                self.assertIsNone(first.answer())
                second = Submission(other, f"killed-{centre}", 2, age_s=2.0).answer()
                self.check(second, before)
                if starts:
                    self.assertEqual(second["ran"], "unknown")
                self.assertEqual(self.region.double_starts(), {})

    def test_stopped_holder_sends_nothing_more_when_it_goes_on(self):
        # The holder is stopped (SIGSTOP) for longer than its peers wait, with tasks that have not
        # left yet.  The job is submitted again elsewhere and answered.  When the holder goes on it
        # finds that it was away, joins again, and must send none of the waiting tasks.
        holder = self.region.instance("dc2-1")
        before = self.started()
        first = Submission(holder, "stopped", 1)
        self.wait_for_starts(before, 1)
        holder.process.signal(signal.SIGSTOP)
        second = Submission(self.region.instance("dc3-2"), "stopped", 2, age_s=2.0).answer()
        self.check(second, before)
        processes.wait_until(lambda: self.is_seen_dead(holder), LIMIT_S, "the holder's death")
        starts = self.started()
        holder.process.signal(signal.SIGCONT)
        final = first.answer()
        self.assertEqual(final["outcome"], "failed")
        self.assertNotEqual(final["ran"], "no")
        self.region.wait_ready([holder])
        self.assertEqual(self.started(), starts)
        self.check(Submission(holder, "afterwards", 1, run_s=0.01).answer(), starts)
        self.assertEqual(self.region.double_starts(), {})

    def is_seen_dead(self, instance):
        """Return whether the others have replaced the instance's incarnation or call it dead."""
        other = self.region.instance(instance.name.replace("-1", "-2"))
        status = self.region.get_json(f"http://{other.operator_address}/v1/operator/status")
        states = {one["name"]: one["state"] for one in status["members"]}
        return states.get(instance.name) == "dead"


if __name__ == "__main__":
    unittest.main()
