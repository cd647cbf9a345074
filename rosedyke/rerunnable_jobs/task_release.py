"""Releases waiting tasks of a full or evacuated pool, so that their holders move them elsewhere."""

from rosedyke.observe import event, metric
from rosedyke.rerunnable_jobs import events, messages, metrics, spillover

# Shorter than the lifetime of a request, so that requests of a full pool do not expire.
REQUEST_INTERVAL_S = 0.03


class TaskReleaser:
    """Requests capacity from other pools and releases tasks for one owner.

    Attributes
    ----------
    requested_at : float
        When capacity was last requested.
    """

    def __init__(self, owner):
        self.owner = owner
        self.requested_at = 0.0

    def request_capacity_for(self, waiting, now):
        """Request capacity from other pools for tasks that would wait for long here."""
        if now - self.requested_at < REQUEST_INTERVAL_S:
            return
        movable_tasks = spillover.movable_tasks(waiting, self._remaining_run_times(now), now)
        if not movable_tasks:
            return
        self.requested_at = now
        by_service: dict[str, list[spillover.WaitingTask]] = {}
        for owned, task in movable_tasks:
            by_service.setdefault(owned.work.service, []).append((owned, task))
        for service, tasks in by_service.items():
            millicores = [task.step.demand.millicores for _, task in tasks]
            self.owner.listener.request_capacity(
                self.owner.name, service, min(millicores), sum(millicores)
            )

    def _remaining_run_times(self, now):
        """Return the expected remaining time of each run."""
        return [
            run.remaining_s(self._run_time_s(state, run), now)
            for state in self.owner.server_states.values()
            for run in state.runs.values()
        ]

    def expected_run_end(self, state, run):
        """Return when a run is expected to end."""
        return run.expected_end(self._run_time_s(state, run))

    def _run_time_s(self, state, run):
        return self.owner.speeds.run_time_s(state.server.id, run.estimate_s)

    def on_offer(self, offer):
        """Release waiting tasks that fit into the capacity offered by another pool."""
        if not self.owner.can_send():
            return
        now = self.owner.runtime.now()
        running = self.owner.running_tasks()
        waiting = [
            (owned, task)
            for owned in self.owner.task_scheduler.order_jobs(list(self.owner.jobs.values()), now)
            if self.owner.may_place(owned, now)
            for task in owned.waiting_tasks()
            if task.name not in running
        ]
        candidates = [
            (owned, task)
            for owned, task in spillover.movable_tasks(waiting, self._remaining_run_times(now), now)
            if owned.work.service == offer.service
        ]
        released = spillover.assign_tasks(
            candidates, offer.rooms, self.owner.speeds.fastest_speed(), now
        )
        for owned, tasks in released.items():
            self._release_part(owned, tasks, offer.pool, owned.moves + 1)

    def release_all(self, waiting):
        """Release the waiting tasks of an evacuated pool; their holders choose other pools.

        The number of moves does not increase: it bounds moves between full pools only.
        """
        running = self.owner.running_tasks()
        for owned in waiting:
            tasks = [task for task in owned.waiting_tasks() if task.name not in running]
            if tasks:
                self._release_part(owned, tasks, "", owned.moves)

    def _release_part(self, owned, tasks, target_pool, moves):
        # A run of a released task counts after the task has left the job.
        owned.has_started_elsewhere |= any(task.may_have_started() for task in tasks)
        for task in tasks:
            del owned.tasks[task.name]
        task_names = tuple(task.name for task in tasks)
        metric.count(metrics.TASKS_RELEASED, len(task_names))
        event.log(
            events.TASKS_RELEASED, job=owned.work.id, tasks=len(task_names), toward=target_pool
        )
        released = messages.TasksReleased(
            *owned.key,
            self.owner.name,
            self.owner.token,
            task_names,
            target_pool,
            moves,
            owned.has_started,
            None if target_pool else self.owner.reports.report().without_servers(),
        )
        self.owner.listener.send_to_holder(owned.holder, released)
        if owned.tasks:
            self.owner.finish_if_done(owned)
        else:
            self.owner.remove_job(owned)
