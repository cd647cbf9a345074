"""Show the whole product at work on this machine, in under a minute.

Starts three data centres as plain processes on loopback: a stand-in of the platform's key-value
service, stand-in backend servers of differing speeds, and six entry instances.  Runs real jobs,
takes an instance away by force and another politely, and checks every promise that it shows.
Ends all that it started and exits 0 if every promise held.
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
# Servers were bought over many years: the fastest is eight times as fast as the slowest.
SPEEDS = (1.0, 4.0, 2.0, 8.0, 1.0, 3.0)
FILES = (str(EXAMPLES / "demo/weighbridge.toml"), str(EXAMPLES / "demo/press-line.toml"))
DAY_TALLY = EXAMPLES / "jobs/day-tally.json"
PRESS_CHECKS = EXAMPLES / "jobs/press-checks.jsonl"


class PromiseBroken(Exception):
    """Something that the product promises did not hold."""


def say(text: str = "") -> None:
    """Print one line at once."""
    print(text, flush=True)


def heading(text: str) -> None:
    """Print a heading."""
    say(f"\n== {text}")


def expect(condition: bool, promise: str) -> None:
    """Print that a promise held, or stop the demo."""
    if not condition:
        raise PromiseBroken(promise)
    say(f"   ok: {promise}")


def submit(instance, job, attempt, age_s=0.0):
    """Submit a job as a caller with an HTTP client would; return (status, document)."""
    body = {key: value for key, value in job.items() if key != "service"}
    reply = region_module.urllib3.PoolManager(retries=False).request(
        "POST",
        f"http://{instance.caller}/v1/services/{job['service']}/jobs",
        body=json.dumps(body).encode(),
        headers={
            "Content-Type": "application/json",
            "Rosedyke-Attempt": str(attempt),
            "Rosedyke-Age-Ms": str(int(age_s * 1000)),
        },
        timeout=60.0,
    )
    return reply.status, json.loads(reply.data)


class InBackground:
    """A submission that goes on while the demo does something else."""

    def __init__(self, *arguments):
        self.begun = time.monotonic()
        self.result = None
        self.thread = threading.Thread(target=self.run, args=arguments, daemon=True)
        self.thread.start()

    def run(self, *arguments):
        """Submit and keep what came of it; a connection that breaks leaves None."""
        try:
            self.result = submit(*arguments)
        except region_module.urllib3.exceptions.HTTPError:
            self.result = None

    def wait(self):
        """Return what came of it."""
        self.thread.join(60)
        return self.result

    def age_s(self) -> float:
        """Return the seconds since it began."""
        return time.monotonic() - self.begun


def long_job(job_id: str, tasks: int = 24) -> dict:
    """Return a job that runs for a second or more on the demo's servers."""
    call = {"name": "check-moisture", "payload": {"lot": job_id, "run_s": 2.0}}
    return {"service": "weighbridge", "job_id": job_id, "timeout_s": 20, "tasks": [call] * tasks}


def running_tasks(region) -> int:
    """Return how many tasks have started on all servers."""
    return region.server_counts()["started"]


def start(region) -> None:
    """Start everything and wait until it takes callers."""
    heading("Start: a store, 12 backend servers, 3 data centres with 2 entry instances each")
    region.start_store()
    region.start_backends("weighbridge", [f"127.0.1.{n}:8101" for n in range(1, 7)], SPEEDS)
    region.start_backends("press-line", [f"127.0.1.{n}:8102" for n in range(7, 13)], SPEEDS)
    region.start_instances()
    processes.wait_until(
        lambda: all(answers(region, one) for one in region.instances), 30, "entry instances"
    )
    status, text = get(region, f"http://{region.instances[0].caller}/readyz")
    say(f"   {region.instances[0].name} is up and says to its balancer: {status} {text.strip()}")
    expect(status == 503, "an instance without a configuration takes no callers")


def answers(region, instance) -> bool:
    """Return whether an instance serves HTTP."""
    try:
        return get(region, f"http://{instance.caller}/healthz")[0] == 200
    except region_module.urllib3.exceptions.HTTPError:
        return False


def get(region, url):
    """Return status and text of a URL."""
    reply = region.http.request("GET", url)
    return reply.status, reply.data.decode()


def apply(region) -> None:
    """Apply both teams' files as one change."""
    heading("Operators apply two files as one change")
    operators = ",".join(one.operator for one in region.instances)
    done = region.command("apply", *FILES, "--wait", "--instances", operators)
    say(indent(done.stdout))
    region.wait_ready()
    expect(done.returncode == 0, "the change is accepted and in force at every instance")


def indent(text: str) -> str:
    """Return a command's output, set in."""
    return "\n".join(f"   | {line}" for line in text.rstrip().splitlines())


def run_jobs(region) -> None:
    """Run the example jobs through the command-line tool."""
    heading("Callers submit: the press line's checks, and a day tally of 300 baskets")
    callers = ",".join(one.caller for one in region.instances)
    done = region.command(
        "submit", str(PRESS_CHECKS), "--first", "--instances", callers, check=False
    )
    say(indent(done.stdout))
    expect(done.returncode == 0, "every check is answered whole")
    job = json.loads(DAY_TALLY.read_text())
    begun = time.monotonic()
    status, first = submit(region.instances[0], job, 1)
    say(f"   day tally at {region.instances[0].name}: {status} in {time.monotonic() - begun:.2f} s")
    baskets = [result["basket"] for result in first["results"]]
    expect(baskets == list(range(1, 301)), "300 results, each basket's own, in order")
    before = running_tasks(region)
    other = region.instances[3]
    status, second = submit(other, job, 2, time.monotonic() - begun)
    say(f"   submitted again at {other.name}, in another data centre: {status}")
    expect(second["results"] == first["results"], "the same answer")
    expect(running_tasks(region) == before, "and no task ran again")


def lose_an_instance(region) -> None:
    """Kill an instance that holds a job, and ask for its job elsewhere."""
    heading("An instance is killed while it holds a job")
    victim, other = region.instance("dc2-1"), region.instance("dc2-2")
    job = long_job("lot:killed")
    before = running_tasks(region)
    held = InBackground(victim, job, 1)
    processes.wait_until(lambda: running_tasks(region) > before, 10, "start of the job's tasks")
    victim.process.kill()
    held.wait()
    begun = time.monotonic()
    status, document = submit(other, job, 2, held.age_s())
    say(f"   {victim.name} is dead; its job, asked for at {other.name}: {status}")
    say(f"   {json.dumps(document)}")
    expect(document.get("outcome") == "failed", "the caller gets a final answer, not a partial one")
    expect(document.get("ran") == "unknown", "which doesn't claim to know what it can't know")
    say(f"   answered {time.monotonic() - begun:.2f} s after it was asked")
    status, _ = submit(other, long_job("lot:after", 4), 1)
    expect(status == 200, "new jobs run on")


def drain_an_instance(region) -> None:
    """Stop an instance politely while it holds a job."""
    heading("An instance is stopped gracefully while it holds a job")
    leaver, other = region.instance("dc3-1"), region.instance("dc3-2")
    job = long_job("lot:drained", 8)
    before = running_tasks(region)
    held = InBackground(leaver, job, 1)
    processes.wait_until(lambda: running_tasks(region) > before, 10, "start of the job's tasks")
    leaver.process.signal(signal.SIGTERM)
    status, document = held.wait() or (None, {})
    expect(status == 200, f"the job in flight at {leaver.name} is answered whole")
    code = leaver.process.process.wait(30)
    expect(code == 0, f"then {leaver.name} ends with exit code 0")
    status, again = submit(other, job, 2, held.age_s())
    expect(
        status == 200 and again["results"] == document["results"],
        f"its answer was handed over: {other.name} gives the same one",
    )


def look(region) -> None:
    """Show what an operator sees."""
    heading("rosedyke status")
    say(indent(region.command("status", check=False).stdout))
    heading("rosedyke burn")
    say(indent(region.command("burn", check=False).stdout))


def settle(region) -> None:
    """Check what the backend servers counted."""
    heading("What the backend servers counted")
    counts = region.server_counts()
    say(f"   tasks started: {counts['started']}, refused: {counts['refused']}")
    expect(not region.double_starts(), "no task started twice")
    expect(not counts["slot_excess"], "no server was sent more tasks than it has slots")
    expect(not counts["connection_excess"], "no server had more connections than it accepts")


def main() -> int:
    """Run the demo and return its exit code."""
    begun = time.monotonic()
    with (
        tempfile.TemporaryDirectory(prefix="rosedyke-demo-") as folder,
        processes.Group(pathlib.Path(folder)) as group,
    ):
        region = region_module.Region(group, DATA_CENTRES, 2)
        try:
            for part in (start, apply, run_jobs, lose_an_instance, drain_an_instance):
                part(region)
            look(region)
            settle(region)
        except (PromiseBroken, TimeoutError, OSError, KeyError) as error:
            say(f"\nFAILED: {type(error).__name__}: {error}")
            for one in group.started:
                say(f"--- end of the log of {one.name}\n{one.tail()}")
            return 1
    say(f"\nEvery process is ended. Every promise held. {time.monotonic() - begun:.0f} s.")
    return 0


if __name__ == "__main__":
    sys.exit(main())
