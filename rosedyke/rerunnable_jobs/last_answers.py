"""Answers the callers of an instance that shuts down before its process ends.

Until then jobs are taken as before, except those that can't be answered in time.  A caller that is
refused can send its job to another instance at once; one whose connection is cut has to wait until
no run of its job can be left.
"""

import attrs

from rosedyke.observe import event, metric
from rosedyke.rerunnable_jobs import events, job, metrics, pending_job, routing
from rosedyke.scheduling import admission

SHUTS_DOWN = "the instance shuts down"
TOO_LONG = "the instance shuts down before the job can end"
# Time for the owners' confirmations that a job has not started.
WITHDRAW_TIMEOUT_S = 0.1
# Longest time that the last answers take: twice ``WITHDRAW_TIMEOUT_S`` and a margin.
LAST_ANSWERS_S = 0.25
# A request for a job that has ended here waits so long for its outcome.
KNOWN_OUTCOME_WAIT_S = 0.05


class LastAnswers:
    """Decides which jobs an instance that shuts down still takes, and ends those that are left.

    Parameters
    ----------
    holder : Holder
        The holder of the jobs.

    Attributes
    ----------
    due_at : float
        When the jobs that are left are ended, and from when no job is taken; infinity while the
        instance does not shut down.
    """

    def __init__(self, holder):
        self.holder = holder
        self.runtime = holder.runtime
        self.due_at = float("inf")

    def begin(self, due_at: float) -> None:
        """Begin the shutdown."""
        self.due_at = due_at

    def has_begun(self) -> bool:
        """Return whether the instance shuts down."""
        return self.due_at < float("inf")

    def refusal_reason(self, job_id: str) -> str:
        """Return why a job is not taken any more, empty if it is.

        A job that is or was held here, or was cancelled, may have started, so it is not refused.
        """
        if self.runtime.now() < self.due_at or self._is_known(job_id):
            return ""
        return SHUTS_DOWN

    def refuse(self, work: job.Job, arrival: pending_job.Arrival) -> job.Outcome | None:
        """Return the refusal of a job that can't be answered in time, None if it is taken."""
        if not self.has_begun():
            return None
        reason = self.refusal_reason(work.id)
        if not reason and not self._is_known(work.id) and self._is_too_long(work):
            reason = TOO_LONG
        if not reason:
            return None
        metric.count(metrics.JOBS[job.EndState.REFUSED.value])
        event.log(
            events.REFUSED_AT_SHUTDOWN,
            job=work.id,
            reason=reason,
            queue=work.queue,
            **arrival.fields(),
        )
        return job.Outcome(job.EndState.REFUSED, reason, self.holder.retry_after_s(work.priority))

    def _is_known(self, job_id):
        return (
            job_id in self.holder.jobs
            or job_id in self.holder.single_holder.ended
            or self.holder.registrar.is_cancelled(job_id)
        )

    def _is_too_long(self, work):
        """Return whether the longest task ends too late even if it starts now.

        The estimate is shortened by its possible error, so that a job which can end in time is not
        refused.
        """
        views = [view for view in self.holder.pool_views(work) if view.report.rooms]
        if not views:
            return False  # the speed of the servers is not known
        longest_s = max(step.estimate_s for step in work.steps) / admission.ESTIMATE_ERROR
        return admission.is_infeasible(
            longest_s, self.runtime.now(), routing.fastest_speed(views), self.due_at
        )

    def limit(self, work: job.Job) -> job.Job:
        """Return a job whose timeout ends with the shutdown, for the owners' predictions."""
        remaining_s = max(0.0, self.due_at - self.runtime.now())
        if work.timeout_s <= remaining_s:
            return work
        return attrs.evolve(work, timeout_s=remaining_s)

    def deadline(self, timeout_s: float) -> float:
        """Return until when a request that arrives now waits for its outcome."""
        now = self.runtime.now()
        # Longer than ``give`` takes, which knows better than a timeout whether a job has started.
        last = max(self.due_at + LAST_ANSWERS_S, now + KNOWN_OUTCOME_WAIT_S)
        return min(now + timeout_s, last)

    def give(self) -> None:
        """End every job that is held here, and block until that is done.

        A job of which no task has started ends as refused, any other as lost, and its tasks are
        cancelled.
        """
        self.due_at = min(self.due_at, self.runtime.now())
        tasks = [
            self.runtime.spawn(self.holder.withdrawal.end, pending, SHUTS_DOWN, WITHDRAW_TIMEOUT_S)
            for pending in list(self.holder.jobs.values())
        ]
        until = self.runtime.now() + LAST_ANSWERS_S
        for task in tasks:
            task.wait(max(0.0, until - self.runtime.now()))
