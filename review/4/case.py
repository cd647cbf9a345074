"""A task runs twice after a partition that a worker and the owner of its pool were cut off in."""

import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import eventlet  # noqa: E402
import small_deployment  # noqa: E402

JOB_ID = "5c0e7a21d94b36f8"
PATH = small_deployment.PREFIX + JOB_ID
RUN_S = 9.0
TIMEOUT_S = 14.0
# Three liveness report intervals of 1.5 s without a report remove a worker's entry.
ENTRY_LAPSE_S = 4.5
# When the machine that has taken the pool over is stopped, as planned work, and when the cut ends.
STOPPED_AFTER_S = 7.5
CUT_S = 9.0
# The worker reports to the store again with its next liveness report.
REPORT_AFTER_S = 1.5
SUBMITTED_BEFORE_END_S = 4.0
WATCH_S = 4.0


def restart(deployment, instance) -> None:
    """Stop an instance as planned work does, and start it again."""
    instance.send_signal(signal.SIGTERM)
    with eventlet.Timeout(small_deployment.STOP_TIMEOUT_S, False):
        while instance.process.poll() is None:
            eventlet.sleep(small_deployment.POLL_S)
    deployment.record.write(f"{instance.name}: stopped with {instance.process.poll()}")
    instance.end()
    instance.start()


def play(deployment) -> int:
    """Play the case and return its exit code."""
    record, platform = deployment.record, deployment.platform
    deployment.start()
    eventlet.sleep(3.0)
    owner = platform.owner()
    cut_off = platform.backend.servers["w-a-0"]
    others = [instance for instance in deployment.instances if instance is not owner]
    record.write(f"{owner.name} gives the workers their orders")
    platform.backend.durations[JOB_ID] = RUN_S
    body = small_deployment.job_body(1, int(RUN_S * 1000))
    if small_deployment.is_troubled():
        platform.cut([owner], [cut_off.listed.id])
        record.write(f"{owner.name} and {cut_off.listed.id} are cut off from all others")
    eventlet.sleep(ENTRY_LAPSE_S)
    if small_deployment.is_troubled():
        platform.store.remove(f"servers/{cut_off.listed.id}")
        record.write(f"the entry of {cut_off.listed.id} is removed after its silence")
    eventlet.sleep(CUT_S - SUBMITTED_BEFORE_END_S - ENTRY_LAPSE_S)
    client = eventlet.spawn(small_deployment.send, deployment, owner, "POST", PATH, body, TIMEOUT_S)
    eventlet.sleep(STOPPED_AFTER_S + SUBMITTED_BEFORE_END_S - CUT_S)
    successor = platform.owner(others) if small_deployment.is_troubled() else others[0]
    record.write(f"{successor.name} is restarted as planned")
    restarter = eventlet.spawn(restart, deployment, successor)
    eventlet.sleep(CUT_S - STOPPED_AFTER_S)
    if small_deployment.is_troubled():
        platform.heal()
        record.write("the cut has ended")
        eventlet.sleep(REPORT_AFTER_S)
        platform.put_server_entry(cut_off.listed, "ready")
        record.write(f"{cut_off.listed.id} has reported again")
    eventlet.sleep(WATCH_S)
    restarter.wait()
    client.wait()
    twice = [text for text in platform.backend.violations if " runs on " in text]
    for text in twice:
        record.write(f"TWICE: {text}")
    if not deployment.starts:
        raise small_deployment.NotRunnable("the job has not run")
    return small_deployment.BROKEN if twice else small_deployment.HELD


if __name__ == "__main__":
    sys.exit(small_deployment.run_case(__file__, {"a": (3, 6)}, play))
