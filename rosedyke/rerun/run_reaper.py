"""Ends runs that should not go on: unclaimed, standing still, or no longer wanted."""

from rosedyke.observe import event
from rosedyke.rerun import events, server_state

# A run without progress for this long, and this many times what it should take, stands still.
STALL_TIMEOUT_S = 0.35
STALL_FACTOR = 2.5


class RunReaper:
    """Looks for such runs on the servers of one owner.

    Parameters
    ----------
    owner : PoolOwner
        Whose runs they are.
    """

    def __init__(self, owner):
        self.owner = owner

    def stop_orphans(self, now):
        """Stop runs that no holder has claimed within its time."""
        for state in self.owner.server_states.values():
            for run in list(state.runs.values()):
                if run.state is not server_state.RunState.ORPHAN:
                    continue
                if now - max(run.ordered_at, self.owner.owned_since) > self.owner.settings.orphan_s:
                    event.log(events.ORPHAN_STOPPED, task=run.task, server=state.server.id)
                    self.owner.commands.stop(state, run)

    def stop_stalled(self, now):
        """Stop runs that stand still, so that their tasks can be placed elsewhere.

        Some servers hang on what they run while they answer everything else; the callers of those
        tasks would wait until their time is over.
        """
        for state in self.owner.server_states.values():
            for run in list(state.runs.values()):
                if run.state is not server_state.RunState.STARTED or run.confirmed_at is None:
                    continue
                stalled_s = now - max(run.progress_at, run.confirmed_at)
                expected_s = self.owner.speeds.run_time_s(state.server.id, run.estimate_s)
                if (
                    stalled_s < STALL_TIMEOUT_S
                    or now - run.confirmed_at < STALL_FACTOR * expected_s
                ):
                    continue
                self._stop_stalled_run(state, run, stalled_s)

    def _stop_stalled_run(self, state, run, stalled_s):
        event.log(
            events.RUN_STALLED,
            task=run.task,
            server=state.server.id,
            percent=run.percent,
            still_ms=round(stalled_s * 1000),
        )
        task = self.owner.task_of(run)
        if task is not None:
            task.failed_on.add(state.server.id)
        self.owner.completions.record_failure(state)
        self.owner.commands.stop(state, run)

    def stop_unwanted(self, state):
        """Stop what runs although its task is placed elsewhere, done or no longer wanted."""
        for run in list(state.runs.values()):
            if run.state is not server_state.RunState.STARTED:
                continue
            task = self.owner.task_of(run)
            if task is None or (task.run, task.server_id) != (run.number, state.server.id):
                self.owner.commands.stop(state, run)
