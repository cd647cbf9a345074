"""Places the waiting tasks of one owner on its servers."""

import collections

from rosedyke.observe import metric
from rosedyke.overload import metrics as overload_metrics
from rosedyke.overload import own_delay
from rosedyke.rerunnable_jobs import (
    job,
    messages,
    metrics,
    owned_job,
    placement,
    pool_pressure,
    server_commands,
    server_state,
)
from rosedyke.scheduling import backfill, queue_order


class Scheduler:
    """Places the waiting tasks of one owner.

    Parameters
    ----------
    owner : PoolOwner
        The owner of the tasks.

    Attributes
    ----------
    full : set of (str, Demand, bool)
        Services and demands that no server has capacity for, while tasks are placed, and whether
        servers that are kept count.
    kept : dict of str to frozenset of str
        By service: servers that are kept for urgent tasks, while tasks are placed.
    is_held : bool
        Tasks wait for the instance's link, and a wake-up is scheduled.
    """

    def __init__(self, owner):
        self.owner = owner
        self.full: set[tuple[str, job.Demand, bool]] = set()
        self.kept: dict[str, frozenset[str]] = {}
        self.pressure = pool_pressure.PoolPressure(owner)
        self.is_held = False

    def place_all(self) -> None:
        """Start tasks that fit, request capacity for the others, and offer what is still free."""
        if not self.owner.is_active:
            return
        now = self.owner.runtime.now()
        self.full.clear()
        self.kept.clear()
        waiting = self._waiting_jobs(now)
        allocated = {}
        if waiting or self.owner.offers.requests:
            allocated = {
                state.server.id: state.allocated() for state in self.owner.available_servers(now)
            }
        self.pressure.update(waiting, allocated, now)
        if waiting and self.owner.is_evacuated():
            self.owner.releaser.release_all(waiting)
        elif waiting:
            self._place_jobs(waiting, allocated, now)
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

    def _place_jobs(self, waiting, allocated, now):
        running_tasks = self.owner.running_tasks()
        unplaced = []
        # By part: the tasks of borrowing jobs that waited at a limit.  The other tasks of these
        # jobs have been tried already.
        borrowing: dict[messages.PartKey, list[owned_job.OwnedTask]] = {}
        jobs = collections.deque(self.order_jobs(waiting, now))
        while jobs:
            if hold_s := self.owner.delay.hold_s(now):
                self._hold(jobs, hold_s, now)
                return
            owned = jobs.popleft()
            tasks = borrowing.get(owned.key) or owned.waiting_tasks()
            unplaced += self._place_job(owned, tasks, allocated, running_tasks, now)
            if not jobs and self.pressure.at_limit:
                lent, blocked = self.pressure.lend(unplaced)
                for owned, task in lent:
                    if owned.key not in borrowing:
                        borrowing[owned.key] = []
                        jobs.append(owned)
                    borrowing[owned.key].append(task)
                unplaced += blocked
        if unplaced:
            self.owner.releaser.request_capacity_for(unplaced, now)

    def order_jobs(self, jobs: list[owned_job.OwnedJob], now: float) -> list[owned_job.OwnedJob]:
        """Return waiting jobs in scheduling order."""
        if len(jobs) <= 1:
            return jobs
        fastest = self.owner.fastest_speed()
        pressed = self.pressure.services
        is_link_limit = self.owner.delay.is_link_limit
        if not pressed:
            queued_jobs = [owned.queued(fastest) for owned in jobs]
            ordered = queue_order.order_jobs(queued_jobs, now, is_link_limit=is_link_limit)
            return [queued.key for queued in ordered]
        others = [owned.queued(fastest) for owned in jobs if owned.work.service not in pressed]
        ordered = queue_order.order_jobs(others, now, is_link_limit=is_link_limit)
        # Jobs of different services do not compete, so their relative order has no effect.
        for service, usage in pressed.items():
            ordered += queue_order.order_jobs(
                [
                    owned.queued(fastest, owned.waiting_millicores())
                    for owned in jobs
                    if owned.work.service == service
                ],
                now,
                usage.is_urgent_first,
                usage.used_by_queue,
                is_link_limit,
                self.owner.timing.queue_shares,
                usage.capacity,
            )
        return [queued.key for queued in ordered]

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

    def _place_job(self, owned, tasks, allocated, running_tasks, now):
        """Place those of a job's waiting tasks that fit and return the others."""
        unplaced = []
        for task in tasks:
            if task.name in running_tasks:
                continue
            if self.pressure.waits_at_limit(owned, task):
                continue
            state = self._choose_server(owned, task, allocated, now)
            if state is None:
                unplaced.append((owned, task))
                continue
            if task.failures and not self.owner.resubmissions.try_spend():
                continue  # repeats a failed run, so it waits here until there is budget
            if state.is_cold(now):
                del allocated[state.server.id]  # one task at a time
            else:
                allocated[state.server.id] = allocated[state.server.id].plus(task.step.demand)
            # After a lost message two parts may contain the same task.
            running_tasks.add(task.name)
            self.pressure.on_placed(owned, task)
            self._place(owned, task, state, now)
        if unplaced:
            self._keep_servers(owned, [task for _, task in unplaced], allocated, now)
        return unplaced

    def _keep_servers(self, owned, blocked, allocated, now):
        """Keep servers for the tasks of an urgent job that fit on none now."""
        service = owned.work.service
        if not self._is_urgent(owned) or now > owned.due_at:
            return
        states = [
            state
            for server_id, state in self.owner.server_states.items()
            if server_id in allocated and state.server.service == service
        ]
        self.kept[service] = backfill.servers_to_keep(
            [self._capacity(state, allocated[state.server.id]) for state in states],
            [
                task.step.demand.millicores
                for task in self.pressure.within_limit(owned, blocked)
                if (service, task.step.demand, True) in self.full
            ],
            self.kept.get(service, frozenset()),
            len(states),
        )

    def kept_servers(self) -> int:
        """Return the number of servers that are kept for urgent tasks."""
        return sum(len(servers) for servers in self.kept.values())

    def _is_urgent(self, owned):
        """Return whether servers are kept for a job, and not kept from it."""
        return owned.work.priority == 0 and self.pressure.is_urgent_first(owned.work.service)

    def _capacity(self, state, allocated):
        return backfill.ServerCapacity(
            state.server.id,
            state.server.capacity.millicores - allocated.millicores,
            tuple(
                (self.owner.releaser.expected_run_end(state, run), run.demand.millicores)
                for run in state.runs.values()
                if run.demand is not None
            ),
        )

    def _choose_server(self, owned, task, allocated, now):
        """Return the server to place a task on now, or None if it waits."""
        # Capacity only decreases while tasks are placed.
        service, is_urgent = owned.work.service, self._is_urgent(owned)
        request = (service, task.step.demand, is_urgent)
        if request in self.full:
            return None
        usable = allocated
        if not is_urgent and self.kept.get(service):
            kept = self.kept[service]
            usable = {name: used for name, used in allocated.items() if name not in kept}
        state = placement.choose_server(
            task, service, self.owner.server_states.values(), self.owner.speeds, usable
        )
        if state is None:
            self.full.add(request)
            return None
        if self._should_wait(owned, task, state, allocated, now):
            return None
        return state

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
