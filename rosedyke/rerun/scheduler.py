"""Places the waiting tasks of one owner on its servers, by the decisions of other modules."""

from rosedyke.observe import metric
from rosedyke.rerun import job_ordering, metrics, owned_job, placement, server_state


class Placing:
    """Starts the tasks of one owner.

    Parameters
    ----------
    owner : PoolOwner
        Whose tasks they are.
    """

    def __init__(self, owner):
        self.owner = owner

    def place_all(self) -> None:
        """Start what fits, ask other pools for room for the rest, and offer them what is left."""
        if not self.owner.is_active:
            return
        now = self.owner.runtime.now()
        waiting = self._waiting(now)
        if waiting:
            self._place_jobs(waiting, now)
        # What is still free is too small or too slow for the tasks that wait here.
        self.owner.offering.offer(now)

    def _waiting(self, now):
        """Return the jobs of which a task waits; at most times none does."""
        found = [item for item in self.owner.jobs.values() if item.has_waiting()]
        if not found or self.owner.is_recovered(now):
            return found
        return [item for item in found if not item.may_have_run]

    def _place_jobs(self, waiting, now):
        used = {state.server.id: state.used() for state in self.owner.usable(now)}
        running = self.owner.running()
        left = []
        for item in job_ordering.order(waiting, now, self.owner.fastest()):
            left += self._place_job(item, used, running, now)
        if left:
            self.owner.releasing.consider(left, now)

    def _place_job(self, item, used, running, now):
        """Place what fits of a job and return the tasks that are left."""
        left = []
        for task in item.waiting():
            if task.name in running:
                continue
            state = placement.choose(
                task, item.work.service, self.owner.states.values(), self.owner.speeds, used
            )
            if state is None or self._should_wait(item, task, state, used, now):
                left.append((item, task))
                continue
            used[state.server.id] = used[state.server.id].plus(task.step.demand)
            # After a lost message two parts can hold the same task.
            running.add(task.name)
            self._place(item, task, state, now)
        return left

    def _should_wait(self, item, task, state, used, now):
        return placement.should_wait(
            task,
            state,
            item.due_at,
            self.owner.states.values(),
            self.owner.speeds,
            used,
            self.owner.releasing.end_of,
            now,
        )

    def _place(self, item, task, state, now):
        item.has_started = True
        metric.count(metrics.STARTS)
        metric.timing(metrics.WAIT, (now - item.arrived_at) * 1000)
        task.run += 1
        task.state, task.server_id = owned_job.TaskState.PLACED, state.server.id
        run = server_state.Run(
            task.name,
            task.run,
            task.step.demand,
            server_state.RunState.STARTING,
            now,
            task.step.estimate_s,
        )
        state.runs[run.key] = run
        self.owner.runtime.spawn(self.owner.orders.start, item, state, run)
