"""Admission control: refuses jobs before any of their tasks run.

A job that cannot complete within its timeout would still use slots and delay other jobs.  It is
refused if, by the load reports of its pools, it would take too long or cause jobs already accepted
to miss their deadlines.
"""

import attrs

from rosedyke.configuration import intent
from rosedyke.dispatch import messages, settings, speed
from rosedyke.job import code, submission
from rosedyke.job import ports as job_ports


@attrs.frozen
class JobWork:
    """Expected work of a job.

    Attributes
    ----------
    total_s : float
        Reference seconds of all tasks.
    longest_s : float
        Reference seconds of the longest task.
    tasks : int
        Number of tasks.
    """

    total_s: float
    longest_s: float
    tasks: int


def declared_run_time_s(service: intent.Service, call: submission.TaskCall) -> float:
    """Return the run time declared for a task, by the job or else by its service."""
    return call.run_time_s or service.task(call.name).run_time_s


def work_of(
    service: intent.Service, request: submission.Submission, speeds: speed.SpeedTable
) -> JobWork:
    """Return a job's expected work by the learned run times."""
    run_times_s = [
        speeds.reference_s(call.name, declared_run_time_s(service, call)) for call in request.tasks
    ]
    return JobWork(sum(run_times_s), max(run_times_s, default=0.0), len(run_times_s))


def permanent_refusal(
    service: intent.Service, request: submission.Submission
) -> job_ports.Refusal | None:
    """Return why a job can never be accepted; None if it can."""
    limits = service.limits
    if len(request.tasks) > limits.max_tasks:
        return job_ports.Refusal(
            code.Code.TOO_MANY_TASKS,
            f"{len(request.tasks)} tasks; {service.name} allows {limits.max_tasks}",
        )
    if request.timeout_s > limits.max_timeout_s:
        return job_ports.Refusal(
            code.Code.INVALID_FIELD,
            f"a timeout of {request.timeout_s:g} s; {service.name} allows {limits.max_timeout_s:g}",
        )
    for call in request.tasks:
        declared = service.task(call.name)
        if declared is None:
            return job_ports.Refusal(
                code.Code.UNKNOWN_TASK, f"{service.name} has no task {call.name}"
            )
        size = call.size or declared.size
        if service.servers and not any(size.fits(server.size) for server in service.servers):
            return job_ports.Refusal(
                code.Code.CAN_NEVER_RUN, f"{call.name} fits on no server of {service.name}"
            )
    return None


def overload_refusal(
    work: JobWork,
    timeout_s: float,
    reports: list[messages.PoolReport],
    limits: intent.Limits,
    options: settings.DispatchSettings,
) -> job_ports.Refusal | None:
    """Return why a job cannot be accepted now, by the reports of its pools; None if it can."""
    rate = sum(report.rate for report in reports)
    if rate <= 0:
        return None  # no load is known yet; the pools apply their own limits
    if all(report.queued_tasks >= limits.queue for report in reports):
        return overloaded("the queues are full", options.refusal_retry_s)
    ahead_s = sum(report.ahead_s(work.total_s) for report in reports)
    least_slowness = min((report.free[0][0] for report in reports if report.free), default=0.0)
    finish_s = max((ahead_s + work.total_s) / rate, work.longest_s * least_slowness)
    allowed_s = options.timeout_share * timeout_s
    if finish_s > allowed_s:
        return overloaded(
            f"expected to take {finish_s:.1f} s, longer than its timeout",
            finish_s - allowed_s,
        )
    room_s = sum(report.room_s for report in reports)
    if ahead_s > 0 and work.total_s > room_s:
        return overloaded(
            "jobs already taken would miss their timeouts", (work.total_s - room_s) / rate
        )
    return None


def overloaded(detail: str, retry_after_s: float) -> job_ports.Refusal:
    """Return a refusal for overload."""
    return job_ports.Refusal(code.Code.OVERLOADED, detail, max(0.1, round(retry_after_s, 1)))
