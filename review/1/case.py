"""An entry of another writer is in the store when all processes are killed and start again.

With ``ENTRY=bytes`` in the environment the entry consists of bytes that can't be read.
"""

import json
import os
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
JOBS, JOBS_PER_S = 60, 12
DOWN_S, RECOVERY_S, MARGIN_S = 1.0, 12.0, 1.0
SHARE = 0.25
# A service that no configuration names, a version of another type, and a worker that stays slow
# for ever, which this writer gives as the largest number.
FOREIGN_ENTRY = {
    "service": "archive",
    "address": "127.0.0.1:9",
    "zone": "hall-a",
    "version": 2,
    "slots": 1,
    "state": "ready",
    "coldRemainingMs": sys.float_info.max,
    "capacity": {"cpu": 1000, "memMb": 64, "gpu": 0},
    "labels": ["z", "r9"],
    "clockMs": 1,
    "seq": 1,
}
UNREADABLE_BYTES = b'{"archive":' * 2000


def run(deployment, has_trouble):
    """Return how much is served after the final fault, if it is too little."""
    for zone in sorted(set(ZONES.values())):
        for number in range(2):
            deployment.platform.add_server(f"i-{zone}-{number}", zone, harness.SERVICE)
    deployment.platform.configure(3, [harness.ROUTE])
    deployment.add_instances(ZONES)
    deployment.start()
    eventlet.sleep(3.0)
    served = share_served(deployment, 1)
    deployment.record(f"served before: {served:.2f}")
    if served < SHARE:
        raise harness.CannotRun("too little is served before the final fault")
    if has_trouble:
        is_bytes = os.environ.get("ENTRY") == "bytes"
        value = UNREADABLE_BYTES if is_bytes else json.dumps(FOREIGN_ENTRY).encode()
        deployment.platform.store.put("servers/i-archive", value)
        deployment.record("an entry of another writer is in the store")
    eventlet.sleep(2.0)
    for instance in deployment.instances.values():
        deployment.signal(instance, signal.SIGKILL)
        instance.process.wait()
    eventlet.sleep(DOWN_S)
    for instance in deployment.instances.values():
        deployment.start_instance(instance)
    eventlet.sleep(MARGIN_S + RECOVERY_S)
    served = share_served(deployment, 2)
    deployment.record(f"served after: {served:.2f}")
    if served >= SHARE:
        return []
    return [f"RECOVER: {served:.2f} of the requests are served after the final fault"]


def share_served(deployment, series):
    """Submit small jobs to all instances in turn and return the share that succeeds."""
    instances = list(deployment.instances.values())
    pile = eventlet.GreenPile(JOBS)
    for number in range(JOBS):
        body = harness.job_body(2, cpu=1000, estimated_ms=100)
        path = f"{harness.PREFIX}{series:04x}{number:012x}"
        instance = instances[number % len(instances)]
        pile.spawn(deployment.send, instance, "POST", path, body, 5000)
        eventlet.sleep(1 / JOBS_PER_S)
    return sum(status == 200 for status in pile) / JOBS


if __name__ == "__main__":
    sys.exit(harness.run_case(run, FOLDER))
