"""All processes are killed right after the cancelling of a job was acknowledged.

The job's submitter, whose channel breaks, sends the job again, as the page says.
"""

import pathlib
import signal
import sys

import eventlet

eventlet.monkey_patch()

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import deployment as harness  # noqa: E402

ZONES = {
    "edge-hall-a-1": "hall-a",
    "edge-hall-a-2": "hall-a",
    "edge-hall-b-1": "hall-b",
    "edge-hall-b-2": "hall-b",
    "edge-print-bay-1": "print-bay",
    "edge-dispatch-1": "dispatch",
}
JOB_ID = "5c0e7a21d94b36f8"
PATH = harness.PREFIX + JOB_ID
TASKS, TASK_S = 100, 0.5
# ``retryMs``, and how long the submitter goes on.
RETRY_S, PATIENCE_S = 1.3, 40.0
DOWN_S, MARGIN_S, JUDGED_S = 1.0, 0.3, 5.0


def run(deployment, has_trouble):
    """Return the starts that the rule forbids."""
    for number, zone in enumerate(sorted(set(ZONES.values()))):
        deployment.platform.add_server(f"i-{number}", zone, harness.SERVICE)
    deployment.platform.configure(3, [harness.ROUTE])
    deployment.add_instances(ZONES)
    deployment.start()
    eventlet.sleep(3.0)
    harness.set_duration(deployment, JOB_ID, TASK_S)
    submitter = eventlet.spawn(submit, deployment)
    eventlet.sleep(2.0)
    if not deployment.starts:
        raise harness.CannotRun("the job has not begun")
    holder = next(iter(deployment.instances.values()))
    status = deployment.send(holder, "DELETE", PATH)
    acknowledged_at = deployment.now()
    if status not in (200, 410):
        deployment.record("the cancelling was not acknowledged")
        return []
    back_at = acknowledged_at
    if has_trouble:
        back_at = kill_and_start_all(deployment)
    judged_from = max(acknowledged_at + harness.CANCEL_S, back_at + harness.CONTACT_S) + MARGIN_S
    eventlet.sleep(judged_from + JUDGED_S - deployment.now())
    submitter.kill()
    return [
        f"UNASKED: {task} run {number} begins on {server} {at - acknowledged_at:.1f} s after"
        f" the cancelling of its job was acknowledged with {status}"
        for at, task, number, server in deployment.starts
        if at > judged_from
    ]


def kill_and_start_all(deployment):
    """Kill all processes at once, start them again, and return when the last one was started."""
    instances = list(deployment.instances.values())
    for instance in instances:
        deployment.signal(instance, signal.SIGKILL)
    for instance in instances:
        instance.process.wait()
    eventlet.sleep(DOWN_S)
    for instance in instances:
        deployment.start_instance(instance)
    return deployment.now()


def submit(deployment):
    """Submit the job, first to the first instance, and again while no answer says how it ended."""
    instances = list(deployment.instances.values())
    body = harness.job_body(TASKS, estimated_ms=TASK_S * 1000)
    attempt, give_up_at = 0, deployment.now() + PATIENCE_S
    while deployment.now() < give_up_at:
        status = deployment.send(instances[attempt % len(instances)], "POST", PATH, body)
        if status in (200, 429, 503, 404):
            return
        attempt += 1
        eventlet.sleep(RETRY_S)


if __name__ == "__main__":
    sys.exit(harness.run_case(run, FOLDER))
