"""Gives waiting tasks of a full pool back to their holders, toward pools that have room."""

from rosedyke.observe import event, metric
from rosedyke.rerun import events, messages, metrics, queue, spill

# Other pools are asked for their room no more often than this.
SPILL_PERIOD_S = 0.015


class Releasing:
    """Asks other pools for room and releases tasks for one owner.

    Attributes
    ----------
    is_spilling : bool
        Other pools are being asked.
    spilled_at : float
        When they were asked last.
    """

    def __init__(self, owner):
        self.owner = owner
        self.is_spilling = False
        self.spilled_at = owner.began_at

    def consider(self, left, now):
        """Ask other pools for room if waiting tasks would wait for long here."""
        if self.is_spilling or now - self.spilled_at < SPILL_PERIOD_S:
            return
        movable = [(item, task) for item, task in left if item.moves < spill.MAX_MOVES]
        waits = spill.waits(self._expected_ends(), len(left), now)
        if any(wait_s > spill.WORTH_S for wait_s in waits) and movable:
            self.is_spilling = True
            self.owner.runtime.spawn(self._ask, movable[0][0].work.service)

    def _expected_ends(self):
        """Return when each run is expected to end."""
        return [
            self.end_of(state, run)
            for state in self.owner.states.values()
            for run in state.runs.values()
        ]

    def end_of(self, state, run):
        """Return when a run is expected to end."""
        return run.since + self.owner.speeds.run_time_s(state.server.id, run.estimate_s)

    def _ask(self, service):
        """Release waiting tasks toward pools that say that they have room at this moment."""
        try:
            reports = self.owner.listener.rooms(service, self.owner.name)
            if self.owner.may_send():
                self._release(service, reports)
        finally:
            self.is_spilling = False
            self.spilled_at = self.owner.runtime.now()

    def _release(self, service, reports):
        now = self.owner.runtime.now()
        is_recovered = self.owner.is_recovered(now)
        waiting = [
            (item, task)
            for item in queue.order(list(self.owner.jobs.values()), now)
            if is_recovered or not item.may_have_run
            for task in item.waiting()
            if not self.owner.is_running(task.name)
        ]
        waits = spill.waits(self._expected_ends(), len(waiting), now)
        candidates = [
            (item, task)
            for (item, task), wait_s in zip(waiting, waits, strict=True)
            if wait_s > spill.WORTH_S
            and item.work.service == service
            and item.moves < spill.MAX_MOVES
        ]
        for (item, toward), tasks in spill.assign(candidates, reports, now).items():
            self._release_part(item, tasks, toward)

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
