"""Stops orphaned, stalled and unwanted runs."""

from rosedyke.observe import event
from rosedyke.rerunnable_jobs import events, server_state

# A run is stalled after its server has shown it without progress for this time, once its total time
# exceeds the expected run time by this factor.
STALL_TIMEOUT_S = 0.35
STALL_FACTOR = 2.5


class RunReaper:
    """Stops orphaned, stalled and unwanted runs on the servers of one owner.

    Parameters
    ----------
    owner : PoolOwner
        The owner of the runs.
    """

    def __init__(self, owner):
        self.owner = owner

    def stop_orphans(self, now):
        """Stop runs that no holder has claimed in time."""
        for state in self.owner.server_states.values():
            for run in list(state.runs.values()):
                if run.state is not server_state.RunState.ORPHAN:
                    continue
                if now - max(run.created_at, self.owner.owned_since) > self.owner.timing.orphan_s:
                    event.log(events.ORPHAN_STOPPED, task=run.task, server=state.server.id)
                    self.owner.commands.stop(state, run)

    def stop_stalled(self, now):
        """Stop stalled runs, so that their tasks can be placed elsewhere.

        A faulty server may answer all commands while its runs make no progress.  Without answers
        nothing is known of the runs: the server, the link or this instance may have stood still.
        """
        for state in self.owner.server_states.values():
            for run in list(state.runs.values()):
                if run.state is not server_state.RunState.STARTED or run.confirmed_at is None:
                    continue
                expected_s = self.owner.speeds.run_time_s(state.server.id, run.estimate_s)
                if (
                    run.unchanged_s < STALL_TIMEOUT_S
                    or now - run.confirmed_at < STALL_FACTOR * expected_s
                ):
                    continue
                self._stop_stalled_run(state, run)

    def _stop_stalled_run(self, state, run):
        event.log(
            events.RUN_STALLED,
            task=run.task,
            server=state.server.id,
            percent=run.percent,
            still_ms=round(run.unchanged_s * 1000),
        )
        task = self.owner.task_of(run)
        if task is not None:
            task.failed_on.add(state.server.id)
        self.owner.completion_handler.record_failure(state)
        self.owner.commands.stop(state, run)

    def stop_unwanted(self, state):
        """Stop runs whose task is done, cancelled, or placed elsewhere."""
        for run in list(state.runs.values()):
            if run.state is not server_state.RunState.STARTED:
                continue
            task = self.owner.task_of(run)
            if task is None or (task.run_number, task.server_id) != (run.number, state.server.id):
                self.owner.commands.stop(state, run)
