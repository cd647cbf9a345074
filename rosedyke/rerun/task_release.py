"""Gives waiting tasks of a full pool back to their holders, toward pools that have room."""

from rosedyke.observe import event, metric
from rosedyke.rerun import events, job_ordering, messages, metrics, spillover

# A full pool tells others so this often; they remember it for a little longer.
WANT_PERIOD_S = 0.03


class Releasing:
    """Asks other pools for room and releases tasks for one owner.

    Attributes
    ----------
    asked_at : float
        When other pools were asked last.
    """

    def __init__(self, owner):
        self.owner = owner
        self.asked_at = 0.0

    def consider(self, left, now):
        """Ask other pools for room if waiting tasks would wait for long here."""
        if now - self.asked_at < WANT_PERIOD_S:
            return
        movable = spillover.movable(left, self._left(now), now)
        if not movable:
            return
        self.asked_at = now
        needs: dict[str, list[int]] = {}
        for item, task in movable:
            needs.setdefault(item.work.service, []).append(task.step.demand.millicores)
        for service, millicores in needs.items():
            self.owner.listener.want_room(
                self.owner.name, service, min(millicores), sum(millicores)
            )

    def _left(self, now):
        """Return for how much longer each run is expected to go on."""
        return [
            run.left_s(self._run_time_s(state, run), now)
            for state in self.owner.states.values()
            for run in state.runs.values()
        ]

    def end_of(self, state, run):
        """Return when a run is expected to end."""
        return run.expected_end(self._run_time_s(state, run))

    def _run_time_s(self, state, run):
        return self.owner.speeds.run_time_s(state.server.id, run.estimate_s)

    def on_offer(self, offer):
        """Release waiting tasks toward a pool that has room for them at this moment."""
        if not self.owner.may_send():
            return
        now = self.owner.runtime.now()
        is_recovered = self.owner.is_recovered(now)
        running = self.owner.running()
        waiting = [
            (item, task)
            for item in job_ordering.order(
                list(self.owner.jobs.values()), now, self.owner.fastest()
            )
            if is_recovered or not item.may_have_run
            for task in item.waiting()
            if task.name not in running
        ]
        candidates = [
            (item, task)
            for item, task in spillover.movable(waiting, self._left(now), now)
            if item.work.service == offer.service
        ]
        released = spillover.assign(candidates, offer.rooms, self.owner.speeds.fastest(), now)
        for item, tasks in released.items():
            self._release_part(item, tasks, offer.pool)

    def _release_part(self, item, tasks, toward):
        for task in tasks:
            del item.tasks[task.name]
        names = tuple(task.name for task in tasks)
        metric.count(metrics.TASKS_RELEASED, len(names))
        event.log(events.TASKS_RELEASED, job=item.work.id, tasks=len(names), toward=toward)
        released = messages.Released(
            *item.key,
            self.owner.name,
            self.owner.token,
            names,
            toward,
            item.moves + 1,
            item.has_started,
        )
        self.owner.listener.tell(item.holder, released)
        if item.tasks:
            self.owner.check_done(item)
        else:
            self.owner.remove(item)
