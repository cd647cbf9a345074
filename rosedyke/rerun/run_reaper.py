"""Ends runs that should not go on: unclaimed, standing still, or no longer wanted."""

from rosedyke.observe import event
from rosedyke.rerun import events, server_state

# A run without progress for this long, and this many times what it should take, stands still.
STALL_S = 0.35
STALL_FACTOR = 2.5


class Strays:
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
        for state in self.owner.states.values():
            for run in list(state.runs.values()):
                if run.state is not server_state.RunState.ORPHAN:
                    continue
                if now - max(run.since, self.owner.began_at) > self.owner.times.orphan_s:
                    event.log(events.ORPHAN_STOPPED, task=run.task, server=state.server.id)
                    self.owner.orders.stop(state, run)

    def stop_stalled(self, now):
        """Stop runs that stand still, so that their tasks can be placed elsewhere.

        Some servers hang on what they run while they answer everything else; the callers of those
        tasks would wait until their time is over.
        """
        for state in self.owner.states.values():
            for run in list(state.runs.values()):
                if run.state is not server_state.RunState.STARTED or run.confirmed_at is None:
                    continue
                still_s = now - max(run.progress_at, run.confirmed_at)
                expected_s = self.owner.speeds.run_time_s(state.server.id, run.estimate_s)
                if still_s < STALL_S or now - run.confirmed_at < STALL_FACTOR * expected_s:
                    continue
                self._give_up_run(state, run, still_s)

    def _give_up_run(self, state, run, still_s):
        event.log(
            events.RUN_STALLED,
            task=run.task,
            server=state.server.id,
            percent=run.percent,
            still_ms=round(still_s * 1000),
        )
        task = self.owner.task_of(run)
        if task is not None:
            task.failed_on.add(state.server.id)
        self.owner.ends.note_failure(state)
        self.owner.orders.stop(state, run)

    def stop_unwanted(self, state):
        """Stop what runs although its task is placed elsewhere, done or no longer wanted."""
        for run in list(state.runs.values()):
            if run.state is not server_state.RunState.STARTED:
                continue
            task = self.owner.task_of(run)
            if task is None or (task.run, task.server_id) != (run.number, state.server.id):
                self.owner.orders.stop(state, run)
