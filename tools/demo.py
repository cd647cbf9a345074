"""Demonstrate the product on this machine, in under a minute.

Runs three data centres as processes on loopback: a stand-in for the platform's key-value service,
stand-in backend servers of different speeds, and six entry instances.  Submits jobs, kills one
instance, shuts another down gracefully, and checks the product's guarantees along the way.  Exits 0
if every guarantee held; all processes that it started are terminated.
"""

import json
import pathlib
import signal
import sys
import tempfile
import threading
import time

import processes
import region as region_module

EXAMPLES = processes.ROOT / "examples"
DATA_CENTRES = ("dc1", "dc2", "dc3")
# Relative speeds of the servers.
SPEEDS = (1.0, 4.0, 2.0, 8.0, 1.0, 3.0)
FILES = (str(EXAMPLES / "demo/weighbridge.toml"), str(EXAMPLES / "demo/press-line.toml"))
DAY_TALLY = EXAMPLES / "jobs/day-tally.json"
PRESS_CHECKS = EXAMPLES / "jobs/press-checks.jsonl"


class GuaranteeViolated(Exception):
    """A guarantee of the product did not hold."""


def print_line(text: str = "") -> None:
    """Print a line and flush."""
    print(text, flush=True)


def heading(text: str) -> None:
    """Print a heading."""
    print_line(f"\n== {text}")


def expect(condition: bool, guarantee: str) -> None:
    """Print that a guarantee held, or raise ``GuaranteeViolated``."""
    if not condition:
        raise GuaranteeViolated(guarantee)
    print_line(f"   ok: {guarantee}")


def submit(instance, job, attempt, age_s=0.0):
    """Submit a job over HTTP; return (status, document)."""
    body = {key: value for key, value in job.items() if key != "service"}
    response = region_module.urllib3.PoolManager(retries=False).request(
        "POST",
        f"http://{instance.caller_address}/v1/services/{job['service']}/jobs",
        body=json.dumps(body).encode(),
        headers={
            "Content-Type": "application/json",
            "Rosedyke-Attempt": str(attempt),
            "Rosedyke-Age-Ms": str(int(age_s * 1000)),
        },
        timeout=60.0,
    )
    return response.status, json.loads(response.data)


class BackgroundSubmission:
    """A submission that runs in a thread of its own."""

    def __init__(self, *arguments):
        self.started = time.monotonic()
        self.result = None
        self.thread = threading.Thread(target=self.run, args=arguments, daemon=True)
        self.thread.start()

    def run(self, *arguments):
        """Submit and store the result, None if the connection failed."""
        try:
            self.result = submit(*arguments)
        except region_module.urllib3.exceptions.HTTPError:
            self.result = None

    def wait(self):
        """Return the result."""
        self.thread.join(60)
        return self.result

    def age_s(self) -> float:
        """Return the seconds since the submission started."""
        return time.monotonic() - self.started


def long_job(job_id: str, tasks: int = 24) -> dict:
    """Return a job that runs for at least a second on the demo's servers."""
    call = {"name": "check-moisture", "payload": {"lot": job_id, "run_s": 2.0}}
    return {"service": "weighbridge", "job_id": job_id, "timeout_s": 20, "tasks": [call] * tasks}


def count_started_tasks(region) -> int:
    """Return the number of tasks started on all servers so far."""
    return region.server_counts()["started"]


def start(region) -> None:
    """Start all processes and wait until the entry instances serve HTTP."""
    heading("Start: a store, 12 backend servers, 3 data centres with 2 entry instances each")
    region.start_store()
    region.start_backends("weighbridge", [f"127.0.1.{n}:8101" for n in range(1, 7)], SPEEDS)
    region.start_backends("press-line", [f"127.0.1.{n}:8102" for n in range(7, 13)], SPEEDS)
    region.start_instances()
    processes.wait_until(
        lambda: all(is_serving(region, instance) for instance in region.instances),
        30,
        "entry instances",
    )
    status, text = get(region, f"http://{region.instances[0].caller_address}/readyz")
    print_line(
        f"   {region.instances[0].name} is up; its readiness check returns: {status} {text.strip()}"
    )
    expect(status == 503, "an instance without a configuration is not ready")


def is_serving(region, instance) -> bool:
    """Return whether an instance serves HTTP."""
    try:
        return get(region, f"http://{instance.caller_address}/healthz")[0] == 200
    except region_module.urllib3.exceptions.HTTPError:
        return False


def get(region, url):
    """Return status and text of a URL."""
    response = region.http.request("GET", url)
    return response.status, response.data.decode()


def apply(region) -> None:
    """Apply the files of both teams as one change."""
    heading("Operators apply two files as one change")
    operator_addresses = ",".join(instance.operator_address for instance in region.instances)
    completed = region.run_command("apply", *FILES, "--wait", "--instances", operator_addresses)
    print_line(indent(completed.stdout))
    region.wait_ready()
    expect(completed.returncode == 0, "the change is accepted and active at every instance")


def indent(text: str) -> str:
    """Return the output of a command, indented."""
    return "\n".join(f"   | {line}" for line in text.rstrip().splitlines())


def run_jobs(region) -> None:
    """Run the example jobs through the command-line tool."""
    heading("Callers submit: the press line's checks, and a day tally of 300 baskets")
    caller_addresses = ",".join(instance.caller_address for instance in region.instances)
    completed = region.run_command(
        "submit", str(PRESS_CHECKS), "--first", "--instances", caller_addresses, check=False
    )
    print_line(indent(completed.stdout))
    expect(completed.returncode == 0, "every check has a complete answer")
    job = json.loads(DAY_TALLY.read_text())
    started = time.monotonic()
    status, first = submit(region.instances[0], job, 1)
    print_line(
        f"   day tally at {region.instances[0].name}: "
        f"{status} in {time.monotonic() - started:.2f} s"
    )
    baskets = [result["basket"] for result in first["results"]]
    expect(baskets == list(range(1, 301)), "300 results, in the order of the tasks")
    tasks_before = count_started_tasks(region)
    other = region.instances[3]
    status, second = submit(other, job, 2, time.monotonic() - started)
    print_line(f"   submitted again at {other.name}, in another data centre: {status}")
    expect(second["results"] == first["results"], "the same answer")
    expect(count_started_tasks(region) == tasks_before, "no task ran again")


def kill_instance(region) -> None:
    """Kill an instance that holds a job, and resubmit the job at another instance."""
    heading("An instance is killed while it holds a job")
    victim, other = region.instance("dc2-1"), region.instance("dc2-2")
    job = long_job("lot:killed")
    tasks_before = count_started_tasks(region)
    submission = BackgroundSubmission(victim, job, 1)
    processes.wait_until(
        lambda: count_started_tasks(region) > tasks_before, 10, "start of the job's tasks"
    )
    victim.process.kill()
    submission.wait()
    resubmitted = time.monotonic()
    status, document = submit(other, job, 2, submission.age_s())
    print_line(f"   {victim.name} was killed; its job, resubmitted at {other.name}: {status}")
    print_line(f"   {json.dumps(document)}")
    expect(document.get("outcome") == "failed", "the caller gets a final answer, not a partial one")
    expect(
        document.get("ran") == "unknown", "the answer states that it is unknown whether the job ran"
    )
    print_line(f"   answered {time.monotonic() - resubmitted:.2f} s after the resubmission")
    status, _ = submit(other, long_job("lot:after", 4), 1)
    expect(status == 200, "new jobs are still accepted")


def drain_instance(region) -> None:
    """Shut an instance down gracefully while it holds a job."""
    heading("An instance is stopped gracefully while it holds a job")
    leaving, other = region.instance("dc3-1"), region.instance("dc3-2")
    job = long_job("lot:drained", 8)
    tasks_before = count_started_tasks(region)
    submission = BackgroundSubmission(leaving, job, 1)
    processes.wait_until(
        lambda: count_started_tasks(region) > tasks_before, 10, "start of the job's tasks"
    )
    leaving.process.signal(signal.SIGTERM)
    status, document = submission.wait() or (None, {})
    expect(status == 200, f"the job in flight at {leaving.name} gets a complete answer")
    code = leaving.process.process.wait(30)
    expect(code == 0, f"{leaving.name} exits with code 0")
    status, resubmitted = submit(other, job, 2, submission.age_s())
    expect(
        status == 200 and resubmitted["results"] == document["results"],
        f"its answer was handed over: {other.name} returns the same one",
    )


def show_status(region) -> None:
    """Show the operator commands."""
    heading("rosedyke status")
    print_line(indent(region.run_command("status", check=False).stdout))
    heading("rosedyke burn")
    print_line(indent(region.run_command("burn", check=False).stdout))


def check_counters(region) -> None:
    """Check the counters of the backend servers."""
    heading("Counters of the backend servers")
    counts = region.server_counts()
    print_line(f"   tasks started: {counts['started']}, refused: {counts['refused']}")
    expect(not region.double_starts(), "no task started twice")
    expect(not counts["slot_excess"], "no server was sent more tasks than it has slots")
    expect(not counts["connection_excess"], "no server had more connections than it accepts")


def main() -> int:
    """Run the demo and return its exit code."""
    started_at = time.monotonic()
    with (
        tempfile.TemporaryDirectory(prefix="rosedyke-demo-") as folder,
        processes.Group(pathlib.Path(folder)) as group,
    ):
        region = region_module.Region(group, DATA_CENTRES, 2)
        try:
            for step in (start, apply, run_jobs, kill_instance, drain_instance):
                step(region)
            show_status(region)
            check_counters(region)
        except (GuaranteeViolated, TimeoutError, OSError, KeyError) as error:
            print_line(f"\nFAILED: {type(error).__name__}: {error}")
            for process in group.members:
                print_line(f"--- last log lines of {process.name}\n{process.tail()}")
            return 1
    print_line(
        f"\nAll processes terminated. Every guarantee held. {time.monotonic() - started_at:.0f} s."
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
