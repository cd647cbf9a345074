"""Places the waiting tasks of one owner on its servers."""

from rosedyke.observe import metric
from rosedyke.overload import metrics as overload_metrics
from rosedyke.overload import own_delay
from rosedyke.rerunnable_jobs import (
    job_ordering,
    metrics,
    owned_job,
    placement,
    server_commands,
    server_state,
)


class Scheduler:
    """Places the waiting tasks of one owner.

    Parameters
    ----------
    owner : PoolOwner
        The owner of the tasks.

    Attributes
    ----------
    is_held : bool
        Tasks wait for the instance's link, and a wake-up is scheduled.
    """

    def __init__(self, owner):
        self.owner = owner
        self.is_held = False

    def place_all(self) -> None:
        """Start tasks that fit, request capacity for the others, and offer what is still free."""
        if not self.owner.is_active:
            return
        now = self.owner.runtime.now()
        waiting = self._waiting_jobs(now)
        if waiting and self.owner.is_evacuated():
            self.owner.releaser.release_all(waiting)
        elif waiting:
            self._place_jobs(waiting, now)
        if self.is_held:
            return
        # Any capacity still free is too small or too slow for the tasks that wait here.
        self.owner.offers.offer_free_capacity(now)

    def _waiting_jobs(self, now):
        """Return the jobs with waiting tasks that may be placed now."""
        return [
            owned
            for owned in self.owner.jobs.values()
            if owned.has_waiting_tasks()
            and owned.may_start(now, self.owner.timing)
            and self.owner.may_place(owned, now)
        ]

    def _place_jobs(self, waiting, now):
        allocated = {
            state.server.id: state.allocated() for state in self.owner.available_servers(now)
        }
        running_tasks = self.owner.running_tasks()
        unplaced = []
        ordered = job_ordering.order_jobs(waiting, now, self.owner.fastest_speed())
        for index, owned in enumerate(ordered):
            if hold_s := self.owner.delay.hold_s(now):
                self._hold(ordered[index:], hold_s, now)
                return
            unplaced += self._place_job(owned, allocated, running_tasks, now)
        if unplaced:
            self.owner.releaser.request_capacity_for(unplaced, now)

    def _hold(self, jobs, hold_s, now):
        """Let jobs wait because the link is too busy, and resume when it is not."""
        delay = self.owner.delay
        delay.record_hold(now)
        waiting_bytes = 0
        for owned in jobs:
            count = len(owned.waiting_tasks())
            waiting_bytes += count * server_commands.start_bytes(owned.work)
            if not owned.was_held:
                owned.was_held = True
                metric.count(overload_metrics.STARTS_HELD, count)
        delay.waiting_bytes[self.owner.name] = waiting_bytes
        if not self.is_held:
            self.is_held = True
            self.owner.runtime.spawn(self._resume_after, hold_s)

    def _resume_after(self, hold_s):
        # The jitter lets the owners of several pools on one instance take turns.  The link stays
        # busy meanwhile.
        jitter_s = self.owner.runtime.random() * own_delay.START_BACKLOG_S / 2
        self.owner.runtime.sleep(hold_s + jitter_s)
        self.is_held = False
        self.owner.delay.waiting_bytes.pop(self.owner.name, None)
        self.owner.wake_scheduler()

    def _place_job(self, owned, allocated, running_tasks, now):
        """Place the tasks of a job that fit and return the others."""
        unplaced = []
        for task in owned.waiting_tasks():
            if task.name in running_tasks:
                continue
            state = placement.choose_server(
                task,
                owned.work.service,
                self.owner.server_states.values(),
                self.owner.speeds,
                allocated,
            )
            if state is None or self._should_wait(owned, task, state, allocated, now):
                unplaced.append((owned, task))
                continue
            if state.is_cold(now):
                del allocated[state.server.id]  # one task at a time
            else:
                allocated[state.server.id] = allocated[state.server.id].plus(task.step.demand)
            # After a lost message two parts may contain the same task.
            running_tasks.add(task.name)
            self._place(owned, task, state, now)
        return unplaced

    def _should_wait(self, owned, task, state, allocated, now):
        return placement.should_wait(
            task,
            state,
            owned.due_at,
            self.owner.server_states.values(),
            self.owner.speeds,
            allocated,
            self.owner.releaser.expected_run_end,
            now,
        )

    def _place(self, owned, task, state, now):
        owned.has_started = True
        metric.count(metrics.STARTS)
        metric.timing(metrics.WAIT, (now - owned.arrived_at) * 1000)
        task.run_number += 1
        task.state, task.server_id = owned_job.TaskState.PLACED, state.server.id
        run = server_state.Run(
            task.name,
            task.run_number,
            task.step.demand,
            server_state.RunState.STARTING,
            now,
            task.step.estimate_s,
            # Set with the placement, so that the lease cannot lapse before the command is sent.
            state.lease_end_ms(now, self.owner.timing),
            owned=owned,
        )
        state.runs[run.key] = run
        self.owner.delay.outgoing.reserve(server_commands.start_bytes(owned.work))
        self.owner.runtime.spawn(self.owner.commands.start, owned, state, run)
