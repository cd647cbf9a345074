"""A task runs twice after a frozen instance acts on an old offer of a pool."""

import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import eventlet  # noqa: E402
import small_deployment  # noqa: E402

FIRST_JOB_ID = "aaaaaaaaaaaaaaaa"
JOB_ID = "5c0e7a21d94b36f8"
# Two racks of two workers; the new one is a quarter more.
ZONES = {"a": (3, 2)}
OTHER_RACK = ("w-b-0", "w-b-1")
# Each worker has four cores, and a task takes one.
FIRST_JOB_TASKS = 16
FIRST_RUN_S = 2.05
RUN_S = 6.0
TIMEOUT_S = 9.0
# The second job arrives while the first one fills the workers but the new one.
STOPPED_AFTER_S = 0.1
FIRST_JOB_AFTER_S = 0.5
NEW_WORKER_AFTER_S = 1.2
JOB_AFTER_S = 0.5
WAKES_AFTER_S = 0.45
WATCH_S = 2.5
# The frozen machine is not always the one that the pool is offered to first, and the others may
# tell it of the new worker in time.
MAX_ROUNDS = 11


def post(deployment, instance, job_id, tasks, run_s):
    """Submit a job as a client that waits in a green thread."""
    deployment.platform.backend.durations[job_id] = run_s
    body = small_deployment.job_body(tasks, int(run_s * 1000))
    path = small_deployment.PREFIX + job_id
    eventlet.spawn(small_deployment.send, deployment, instance, "POST", path, body, TIMEOUT_S)


def play(deployment, index) -> int:
    """Play one round and return its exit code."""
    record, platform = deployment.record, deployment.platform
    for worker in OTHER_RACK:
        platform.add_server(worker, "a", small_deployment.SERVICE, rack="r-b")
    deployment.start()
    eventlet.sleep(3.0)
    owner_name = platform.last_senders["w-a-0"]
    owner = next(one for one in deployment.instances if one.name == owner_name)
    others = [instance for instance in deployment.instances if instance is not owner]
    frozen, third = others[index], others[1 - index]
    if small_deployment.is_troubled():
        frozen.send_signal(signal.SIGSTOP)
    eventlet.sleep(STOPPED_AFTER_S)
    record.write(f"{owner.name}, which gives the workers their orders, is stopped as planned")
    owner.send_signal(signal.SIGTERM)
    eventlet.sleep(FIRST_JOB_AFTER_S)
    post(deployment, third, FIRST_JOB_ID, FIRST_JOB_TASKS, FIRST_RUN_S)
    eventlet.sleep(NEW_WORKER_AFTER_S)
    platform.add_server("w-a-new", "a", small_deployment.SERVICE, rack="r-a")
    record.write("a worker is added")
    eventlet.sleep(JOB_AFTER_S)
    post(deployment, third, JOB_ID, 1, RUN_S)
    eventlet.sleep(WAKES_AFTER_S)
    if small_deployment.is_troubled():
        frozen.send_signal(signal.SIGCONT)
    eventlet.sleep(WATCH_S)
    twice = [text for text in platform.backend.violations if " runs on " in text]
    for text in twice:
        record.write(f"TWICE: {text}")
    if not any(task.startswith(JOB_ID) for _, task, _ in deployment.starts):
        raise small_deployment.NotRunnable("the second job has not run")
    return small_deployment.BROKEN if twice else small_deployment.HELD


def main() -> int:
    """Play rounds, each with a deployment of its own, until the rule is broken."""
    record = small_deployment.Record(pathlib.Path(__file__).resolve().parent)
    code = small_deployment.HELD
    for number in range(MAX_ROUNDS):
        record.write(f"round {number + 1}")
        code = small_deployment.run_round(
            record,
            ZONES,
            lambda deployment, index=(number + 1) % 2: play(deployment, index),
        )
        if code != small_deployment.HELD:
            break
    return code


if __name__ == "__main__":
    sys.exit(main())
