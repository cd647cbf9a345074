"""Short runs of the benchmarks, which guard against benchmarks that no longer run.

Each runs in a process of its own, with small parameters.  The figures are not judged.
"""

import os
import pathlib
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
TIMEOUT_S = 120
RUNNER = """
import importlib, pathlib, sys
module = importlib.import_module("benchmarks." + sys.argv[1])
for name, value in eval(sys.argv[2]).items():
    getattr(module, name)  # fails if the benchmark has no such constant any more
    setattr(module, name, pathlib.Path(value) if name.startswith("RESULT") else value)
sys.argv[1:] = sys.argv[3:]
sys.exit(module.main())
"""


def run_benchmark(name, constants, *arguments):
    """Run a benchmark with other constants and return its output."""
    command = [sys.executable, "-W", "ignore", "-c", RUNNER, name, repr(constants), *arguments]
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join((str(ROOT), str(ROOT / "tools")))}
    result = subprocess.run(
        command, cwd=ROOT, env=environment, capture_output=True, text=True, timeout=TIMEOUT_S
    )
    if result.returncode:
        raise AssertionError(f"{name} ended with {result.returncode}:\n{result.stderr[-3000:]}")
    return result.stdout


class ShortRuns(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()  # noqa: SIM115
        self.addCleanup(self.folder.cleanup)

    def result(self, name):
        """Return the path of a result file that is removed after the test."""
        return str(pathlib.Path(self.folder.name) / name)

    def test_platform_cost(self):
        output = run_benchmark(
            "platform_cost", {"IDLE_PERIOD_S": 0.3, "JOBS": 3, "JOBS_PER_S": 20.0}
        )
        self.assertIn("idle: ", output)
        self.assertIn("job: ", output)

    def test_claims_cost(self):
        constants = {
            "RESULTS": self.result("claims_cost.json"),
            "MESSAGE_COUNT_JOBS": 4,
            "LATENCY_JOBS": 20,
            "CLAIM_COUNT": 500,
            "RESUBMITTED_JOBS": 30,
            "DEADLINE_JOBS": 4,
            "JOB_TIMEOUT_S": 0.5,
            "SHAPES": {"weighbridge, 3 data centres of 2": {"dc1": 2, "dc2": 2, "dc3": 2}},
        }
        self.assertIn('"promises_broken": 0', run_benchmark("claims_cost", constants))
