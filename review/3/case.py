"""The open channels to the store go silent just before a change of the configuration."""

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
DROPPED = {**harness.ROUTE, "name": "r-2", "pathPrefix": "/pufi791/"}
ADDED = {**harness.ROUTE, "name": "r-3", "pathPrefix": "/pule252/"}
# Requests are sent so long after a machine is in touch again.
MARGIN_S = 0.1
ROUNDS, ROUND_S = 3, 0.12


def run(deployment, has_trouble):
    """Return the requests that were handled as only the older version allows."""
    for number, zone in enumerate(sorted(set(ZONES.values()))):
        deployment.platform.add_server(f"i-{number}", zone, harness.SERVICE)
    deployment.platform.configure(3, [harness.ROUTE, DROPPED])
    deployment.add_instances(ZONES)
    deployment.start()
    eventlet.sleep(6.0)
    deployment.platform.configure(5, [{**harness.ROUTE, "timeoutMs": 30000}, DROPPED])
    deployment.record("version 5 is acknowledged: another timeout")
    eventlet.sleep(0.3)
    if has_trouble:
        deployment.record("the open channels to the store go silent; new ones work")
        for instance in deployment.instances.values():
            instance.store_link.silence()
    silent_at = deployment.now()
    eventlet.sleep(0.3)
    deployment.platform.configure(9, [harness.ROUTE, ADDED])
    acknowledged_at = deployment.now()
    deployment.record("version 9 is acknowledged: one route dropped, one added")
    judged_from = max(silent_at + harness.CONTACT_S, acknowledged_at + harness.CONFIG_APPLY_S)
    eventlet.sleep(judged_from + MARGIN_S - deployment.now())
    pile = eventlet.GreenPile()
    for round_number in range(ROUNDS):
        for number, instance in enumerate(deployment.instances.values()):
            job_id = f"{round_number:04x}{number:04x}a94b36f8"
            pile.spawn(ask, deployment, instance, job_id, acknowledged_at)
        eventlet.sleep(ROUND_S)
    return [violation for violations in pile for violation in violations]


def ask(deployment, instance, job_id, acknowledged_at):
    """Submit a job to the dropped route and one to the added route of an instance."""
    age_s = deployment.now() - acknowledged_at
    where = f"at {instance.name}, {age_s:.2f} s after the acknowledgement"
    violations = []
    body = harness.job_body(1, cpu=1000, estimated_ms=100)
    status = deployment.send(instance, "POST", DROPPED["pathPrefix"] + job_id, body)
    if status == 200:
        violations.append(f"CONFIG: a job was run by the dropped route {where}")
    status = deployment.send(instance, "POST", ADDED["pathPrefix"] + job_id, body)
    if status == 404:
        violations.append(f"CONFIG: the added route was answered 404 {where}")
    return violations


if __name__ == "__main__":
    sys.exit(harness.run_case(run, FOLDER))
