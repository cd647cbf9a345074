"""A pool of simulated servers that uses the scheduler of the product.

The methods of ``Pool`` are those of ``PoolOwner``.
"""

# ruff: noqa: D102

from rosedyke.overload import own_delay
from rosedyke.rerunnable_jobs import (
    capacity_offers,
    job,
    ports,
    resubmissions,
    scheduler,
    server_speed,
    server_state,
    task_release,
)

SERVERS = 17
# Speed and task slots of the kinds of server; a slot has 14 cores and two cores are left over.
SERVER_KINDS = ((0.6, 2), (1.0, 2), (1.6, 3))
TASK = job.Demand(14_000)
# Callers' estimates are low by this factor at the median, which the learned speeds include.
ESTIMATE_FACTOR = 1.27
MESSAGE_S = 0.003


class Pool:
    """One pool; implements what the scheduler needs of a ``PoolOwner``."""

    is_active, token = True, 1
    may_place = can_send = lambda *arguments: True  # noqa: E731
    is_evacuated = lambda *arguments: False  # noqa: E731

    def __init__(self, region, number, timing):
        self.region, self.runtime, self.listener, self.commands = region, region, region, region
        self.name, self.timing, self.jobs = f"p{number}", timing, {}
        self.delay = own_delay.OwnDelay(region)
        self.resubmissions = resubmissions.Resubmissions(timing, region)
        self.speeds = server_speed.ServerSpeeds()
        self.server_states = {}
        for index in range(SERVERS):
            speed, slots = SERVER_KINDS[index % len(SERVER_KINDS)]
            name = f"{self.name}-{index}"
            capacity = job.Demand(slots * TASK.millicores + 2000)
            listed = ports.Server(name, "", "s", "a", self.name, capacity)
            self.server_states[name] = server_state.ServerState(listed)
            self.speeds.by_server[name] = speed / ESTIMATE_FACTOR
        self.delay = own_delay.OwnDelay(region)
        self.resubmissions = resubmissions.Resubmissions(timing, region)
        self.offers = capacity_offers.CapacityOffers(self)
        self.releaser = task_release.TaskReleaser(self)
        self.task_scheduler = scheduler.Scheduler(self)
        self.load = 0.0

    def available_servers(self, now):
        return list(self.server_states.values())

    def fastest_speed(self):
        return max(speed for speed, _ in SERVER_KINDS) / ESTIMATE_FACTOR

    def running_tasks(self):
        return {key[0] for state in self.server_states.values() for key in state.runs}

    def wake_scheduler(self):
        self.region.at(0, self.task_scheduler.place_all)

    def finish_if_done(self, owned):
        if owned.is_done():
            self.remove_job(owned)

    def remove_job(self, owned):
        self.jobs.pop(owned.key, None)

    def add(self, owned):
        if not self.region.callers[owned.work.id].is_over:
            self.jobs[owned.key] = owned
            self.task_scheduler.place_all()

    def cancel(self, job_id):
        for key in [key for key in self.jobs if key[0] == job_id]:
            del self.jobs[key]
        for state in self.server_states.values():
            for run in [run for run in state.runs.values() if run.owned.work.id == job_id]:
                self.region.at(MESSAGE_S, self.region.free, self, state, run)
