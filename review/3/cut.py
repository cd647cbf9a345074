"""A job is cancelled at an instance that is cut off from the others for two seconds."""

import pathlib
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
# No workers are in the zone of the machine that is cut off, so that it leads none of them and the
# cut doesn't disturb the job.
WORKER_ZONES = ("hall-b", "print-bay", "dispatch")
# The job is submitted to the first and cancelled at the second.
HOLDER, OTHER = "edge-hall-a-2", "edge-hall-a-1"
JOB_ID = "5c0e7a21d94b36f8"
PATH = harness.PREFIX + JOB_ID
TASKS, TASK_S = 200, 0.5
CUT_S = 2.0
# In touch from the end of the cut and ``contactMs``; a margin for this script.
MARGIN_S = 0.3


def run(deployment, has_trouble):
    """Return the starts that the rule forbids."""
    for zone in WORKER_ZONES:
        for number in range(2):
            deployment.platform.add_server(f"i-{zone}-{number}", zone, harness.SERVICE)
    deployment.platform.configure(3, [harness.ROUTE])
    deployment.add_instances(ZONES, has_peer_links=True)
    deployment.start()
    eventlet.sleep(6.0)
    harness.set_duration(deployment, JOB_ID, TASK_S)
    holder, other = deployment.instances[HOLDER], deployment.instances[OTHER]
    body = harness.job_body(TASKS, estimated_ms=TASK_S * 1000)
    submission = eventlet.spawn(deployment.send, holder, "POST", PATH, body)
    eventlet.sleep(2.0)
    if not deployment.starts:
        raise harness.CannotRun("the job has not begun")
    if has_trouble:
        deployment.cut(other, True)
    eventlet.sleep(0.5)
    status = deployment.send(other, "DELETE", PATH)
    acknowledged_at = deployment.now()
    if status not in (200, 410):
        deployment.record("the cancelling was not acknowledged")
        return []
    eventlet.sleep(CUT_S - 0.5)
    if has_trouble:
        deployment.cut(other, False)
    in_touch_from = deployment.now() + harness.CONTACT_S
    forbidden_from = max(acknowledged_at + harness.CANCEL_S, in_touch_from) + MARGIN_S
    eventlet.sleep(forbidden_from + 4.0 - deployment.now())
    submission.kill()
    return [
        f"UNASKED: {task} run {number} begins on {server} {at - acknowledged_at:.1f} s after"
        f" the cancelling of its job was acknowledged with {status}"
        for at, task, number, server in deployment.starts
        if at > forbidden_from
    ]


if __name__ == "__main__":
    sys.exit(harness.run_case(run, FOLDER))
