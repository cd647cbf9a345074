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
    previous = getattr(module, name)  # fails if the benchmark has no such constant any more
    setattr(module, name, pathlib.Path(value) if isinstance(previous, pathlib.Path) else value)
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

    def test_job_cost(self):
        constants = {"WARM_UP_JOBS": 2, "JOBS": 4, "IDLE_PERIOD_S": 0.3}
        output = run_benchmark("job_cost", constants, "--case", str(ROOT), "off")
        self.assertEqual(len(output.split()), 2)

    def test_message_cost(self):
        output = run_benchmark("message_cost", {"REQUESTS": 20}, "--case", str(ROOT))
        self.assertGreater(float(output.split()[-1]), 0.0)

    def test_decision_costs(self):
        self.assertIn(
            "us per task", run_benchmark("admission_cost", {"REPEATS": 1, "BOUND_US": 1e6})
        )
        self.assertIn("10  ", run_benchmark("decision_cost", {"PASSES": 1}))
        self.assertIn("24  ", run_benchmark("routing_cost", {"PASSES": 1, "REPEATS": 2}))

    def test_simulations(self):
        self.assertIn(
            "off | 1", run_benchmark("data_centre_balance", {"END_S": 5.0}, "--seeds", "1")
        )
        arguments = ("--seeds", "1", "--pools", "3", "--load", "0.1")
        self.assertIn("on   1", run_benchmark("kind_scheduling", {}, *arguments))

    def test_capacity(self):
        output = run_benchmark("capacity", {"PAGE": self.result("CAPACITY.md")})
        self.assertIn("written", output)

    def test_control_cost(self):
        constants = {
            "RESULT": self.result("control_cost.json"),
            "SETTLE_S": 0.5,
            "SAMPLE_PERIOD_S": 0.5,
        }
        self.assertIn("MeanCost", run_benchmark("control_cost", constants, "3"))

    def test_configuration_costs(self):
        result = self.result("configuration.json")
        arguments = ("--sizes", "3", "--rounds", "1", "--idle-s", "0.3", "--late", "1")
        run_benchmark("configuration_spread", {"TEAMS": 1}, *arguments, "--output", result)
        constants = {"REPEATS": 1, "SERVER_COUNTS": (24,), "TEAM_COUNTS": (2,)}
        constants["MEMBER_COUNTS"] = (50,)
        run_benchmark("configuration_size", constants, "--output", result)

    def test_entry_cost(self):
        constants = {
            "RESULTS": self.result("entry_cost.json"),
            "LARGE_JOBS": 2,
            "SMALL_JOBS": 20,
            "IDLE_PERIOD_S": 0.3,
            "ROUND_TRIP_COUNT": 5,
        }
        self.assertIn("jobs_of_1", run_benchmark("entry_cost", constants))

    def test_fleet_cost(self):
        constants = {"RACKS": 1, "SERVERS_PER_RACK": 2, "SETTLE_S": 0.5, "IDLE_PERIOD_S": 0.5}
        constants |= {"JOBS": 5, "DATA_CENTRES": "ab"}
        output = run_benchmark("fleet_cost", constants, "--case", str(ROOT), "2")
        self.assertEqual(len(output.split()), 5)
