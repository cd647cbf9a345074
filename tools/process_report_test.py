import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from unittest import mock

import process_report
import processes
import region

WAIT_S = 15.0


def spin():
    """Return a process that uses a processor until it is killed."""
    return subprocess.Popen([sys.executable, "-c", "while True: pass"])


class Reports(unittest.TestCase):
    """A start that is late must show whether it lacked a processor, was blocked or was stopped."""

    def setUp(self):
        self.group = self.enterContext(
            processes.Group(pathlib.Path(self.enterContext(tempfile.TemporaryDirectory())))
        )

    def end(self, process):
        process.kill()
        process.wait()

    def start_blocked(self):
        """Start a member that blocks without a line of output."""
        module = self.group.folder / "blocked_program.py"
        module.write_text("import threading\nthreading.Event().wait()\n")
        return self.group.start("late", "blocked_program", PYTHONPATH=str(self.group.folder))

    def test_time_without_a_processor_is_told_from_time_with_one(self):
        # Two processes that never block share one processor: each waits for about half its age.
        children = [spin(), spin()]
        for child in children:
            self.addCleanup(self.end, child)
            os.sched_setaffinity(child.pid, {min(os.sched_getaffinity(0))})
        processes.wait_until(
            lambda: all(min(process_report.processor_times(child.pid)) > 0.2 for child in children),
            WAIT_S,
            "both have run and have waited",
        )

    def test_a_blocked_process_neither_runs_nor_waits_for_a_processor(self):
        child = subprocess.Popen(["sleep", "60"])
        self.addCleanup(self.end, child)
        processes.wait_until(
            lambda: "nanosleep" in process_report.thread_states(child.pid)[0], WAIT_S, "sleep"
        )
        before = process_report.processor_times(child.pid)
        time.sleep(0.3)
        self.assertEqual(process_report.processor_times(child.pid), before)

    def test_a_stopped_process_is_reported_as_stopped(self):
        child = spin()
        self.addCleanup(self.end, child)
        child.send_signal(signal.SIGSTOP)
        processes.wait_until(
            lambda: process_report.thread_states(child.pid)[0].startswith("T:"), WAIT_S, "stop"
        )

    def test_process_that_does_not_exist(self):
        child = subprocess.Popen(["true"])
        child.wait()
        self.assertEqual(process_report.describe_process(child.pid), "does not exist")

    def test_a_silent_member_leaves_its_stack(self):
        # The list of known failures had two starts without a line of output, and so no trace.
        failed = self.group.start("failed", "rosedyke.no_such_module")
        self.assertEqual(failed.process.wait(WAIT_S), 1)
        late = self.start_blocked()
        processes.wait_until(
            lambda: process_report.thread_states(late.pid)[0].startswith("S:futex"), WAIT_S, "block"
        )
        report = self.group.report()
        self.assertIn("failed: exit code 1", report)
        self.assertRegex(report, r"late: age_s=.* ran_s=.* waited_for_processor_s=")
        self.assertIn("blocked_program.py", report)
        self.assertEqual(late.process.wait(WAIT_S), -signal.SIGABRT)

    def test_a_wait_that_ends_late_carries_the_report(self):
        created = region.Region(self.group, ("dc1",), 1)
        self.start_blocked()
        self.enterContext(mock.patch.object(region, "READY_TIMEOUT_S", 1.0))
        with self.assertRaisesRegex(TimeoutError, r"polls, at most [\s\S]*late: age_s="):
            created.wait_http(f"http://{created.store_address}/health", "the store")

    def test_a_pause_of_the_waiting_process_is_named(self):
        # A machine that was paused for the length of a wait fails it without a poll in between.
        with self.assertRaisesRegex(TimeoutError, r"\(1 polls, at most \S+ s apart\)") as raised:
            processes.wait_until(lambda: time.sleep(0.6), 0.5, "a pause")
        gap_s = float(re.search(r"at most (\S+) s", str(raised.exception))[1])
        self.assertGreaterEqual(gap_s, 0.6)


if __name__ == "__main__":
    unittest.main()
