"""Takes in how runs end: done, failed, or stopped, and what that says of their servers."""

from rosedyke.observe import event, metric
from rosedyke.rerun import events, job, metrics, owned_job, ports

# More runs in a row than this that failed on a server are its own fault, not the tasks'.
FAILURES_IN_A_ROW = 3
SUSPENDED_S = 2.0


class Ends:
    """Takes in the ends of one owner's runs.

    Parameters
    ----------
    owner : PoolOwner
        Whose runs they are.
    """

    def __init__(self, owner):
        self.owner = owner

    def on_end(self, state, run, end, now):
        """Take an end in; ``run`` is None if this owner didn't start it."""
        item, task = self.owner.find(end.task)
        if run is None:
            self._on_foreign_end(item, task, end, now)
            return
        if end.how is ports.RunEnd.DONE:
            state.failures = 0
            if run.confirmed_at is not None:
                self.owner.speeds.learn(state.server.id, run.estimate_s, now - run.since)
        if task is None or (task.run, task.server_id) != (run.number, state.server.id):
            return
        if end.how is ports.RunEnd.DONE:
            task.state = owned_job.TaskState.DONE
            self.owner.check_done(item)
        elif end.how is ports.RunEnd.FAILED:
            self._on_failed(state, item, task)
        else:
            task.state = owned_job.TaskState.WAITING

    def _on_foreign_end(self, item, task, end, now):
        if end.how is not ports.RunEnd.DONE:
            return
        if task is None:
            self.owner.found_done[end.task] = now
        elif task.state is owned_job.TaskState.WAITING and item.may_have_run:
            task.state = owned_job.TaskState.DONE
            self.owner.check_done(item)

    def _on_failed(self, state, item, task):
        task.state = owned_job.TaskState.WAITING
        task.failures += 1
        metric.count(metrics.RUNS_FAILED)
        task.failed_on.add(state.server.id)
        self.note_failure(state)
        if task.failures >= item.work.max_attempts:
            self.owner.finish(item, job.Outcome(job.End.FAILED, f"task {task.name} failed"))

    def note_failure(self, state):
        """Suspend a server on which too many runs in a row have failed."""
        state.failures += 1
        if state.failures >= FAILURES_IN_A_ROW:
            state.suspended_until = self.owner.runtime.now() + SUSPENDED_S
            event.log(events.SERVER_SUSPENDED, server=state.server.id, failures=state.failures)
