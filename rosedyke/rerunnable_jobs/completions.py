"""Processes the ends of runs and suspends servers that fail repeatedly."""

from rosedyke.observe import event, metric
from rosedyke.rerunnable_jobs import events, job, metrics, owned_job, ports

# A server with this many failed runs in a row is suspended: they are attributed to the server, not
# to the tasks.
MAX_CONSECUTIVE_FAILURES = 3
SUSPENSION_S = 2.0


class CompletionHandler:
    """Processes the ends of one owner's runs.

    Parameters
    ----------
    owner : PoolOwner
        The owner of the runs.
    """

    def __init__(self, owner):
        self.owner = owner

    def on_end(self, state, run, end, now):
        """Process the end of a run; ``run`` is None if this owner did not start it."""
        owned, task = self.owner.find_task(end.task)
        if run is None:
            self._on_unknown_run_end(owned, task, end, now)
            return
        if end.result is ports.RunResult.DONE:
            state.failures = 0
            if run.confirmed_at is not None:
                self._record_run_time(state, run, now - run.created_at)
        if task is None or (task.run_number, task.server_id) != (run.number, state.server.id):
            return
        if end.result is ports.RunResult.DONE:
            task.state = owned_job.TaskState.DONE
            self.owner.finish_if_done(owned)
        elif end.result is ports.RunResult.FAILED:
            self._on_failed(state, owned, task)
        else:
            task.state = owned_job.TaskState.WAITING

    def _record_run_time(self, state, run, measured_s):
        """Learn the run time of the run's queue and the speed of its server."""
        if run.owned is not None:
            at_speed_1_s = measured_s * self.owner.speeds.speed_of(state.server.id)
            self.owner.run_times.record(run.owned.work.queue, run.estimate_s, at_speed_1_s)
        self.owner.speeds.record_run(state.server.id, run.estimate_s, measured_s)

    def _on_unknown_run_end(self, owned, task, end, now):
        if end.result is not ports.RunResult.DONE:
            return
        if task is None:
            self.owner.completed_tasks[end.task] = now
        elif task.state is owned_job.TaskState.WAITING and owned.may_have_run:
            task.state = owned_job.TaskState.DONE
            self.owner.finish_if_done(owned)

    def _on_failed(self, state, owned, task):
        task.state = owned_job.TaskState.WAITING
        task.failures += 1
        metric.count(metrics.RUNS_FAILED)
        task.failed_on.add(state.server.id)
        self.record_failure(state)
        if task.failures >= owned.work.max_attempts:
            self.owner.finish(owned, job.Outcome(job.EndState.FAILED, f"task {task.name} failed"))

    def record_failure(self, state):
        """Count a failed run and suspend its server after too many in a row."""
        state.failures += 1
        if state.failures >= MAX_CONSECUTIVE_FAILURES:
            state.suspend_for_failures(self.owner.runtime.now() + SUSPENSION_S)
            event.log(events.SERVER_SUSPENDED, server=state.server.id, failures=state.failures)
