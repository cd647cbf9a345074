"""Owns one pool: keeps its jobs and the state of its servers, and reports outcomes to the holders.

Other modules implement scheduling, commands to servers, completions, reports, releasing tasks to
other pools, offering free capacity, and stopping orphaned or stalled runs.
"""

from collections.abc import Callable
from typing import Protocol

from rosedyke import runtime as runtime_module
from rosedyke.observe import event
from rosedyke.overload import own_delay
from rosedyke.rerunnable_jobs import (
    capacity_offers,
    completions,
    events,
    holder_requests,
    job,
    learned_state,
    messages,
    owned_job,
    ports,
    predecessors,
    refusals,
    report_builder,
    resubmissions,
    run_reaper,
    scheduler,
    server_commands,
    server_speed,
    server_state,
    settings,
    task_release,
)
from rosedyke.scheduling import run_times

LOOP_INTERVAL_S = 0.05
# Less than ``pause_s``, so that the idle interval does not count as a process pause.
IDLE_LOOP_INTERVAL_S = 0.15
# How long completions of a previous owner's runs are kept; holders resubmit their jobs within it.
COMPLETION_RETENTION_S = 5.0


class Listener(Protocol):
    """Callbacks from a pool owner to its node."""

    def send_to_holder(
        self, holder: messages.Instance, message: messages.JobEnded | messages.TasksReleased
    ) -> None:
        """Send a job's outcome or its released tasks to its holder."""

    def request_capacity(
        self, pool: str, service: str, smallest_millicores: int, millicores: int
    ) -> None:
        """Ask owners of other pools of a service to offer free capacity to a full pool."""

    def offer_capacity(self, target: messages.Instance, offer: messages.CapacityOffer) -> None:
        """Offer free capacity to the owner of a full pool."""

    def on_step_down(self, owned_pool: "PoolOwner", reason: str) -> None:
        """Handle the loss of a pool's ownership."""

    def on_token_raised(self, owned_pool: "PoolOwner") -> None:
        """Handle a raised fencing token of a pool."""


class PoolOwner:
    """The owner of one pool, until it steps down.

    Parameters
    ----------
    pool : str
        Name of the pool.
    initial_token : int
        The first fencing token; raised if a server has seen a higher one.
    get_servers : callable
        Returns the servers that the platform lists for the pool.
    known_owners : tuple of KnownOwner
        The earlier owners whose servers are known.
    has_predecessor : bool
        False if no earlier owner of the pool is known.
    learned_run_times : RunTimes or None
        Shared by the pools of an instance; None for new ones.
    retry_budget : Resubmissions or None
        Shared by the roles of an instance; None for a new one.
    delay : OwnDelay or None
        The instance's own delay; None if its link is unlimited.

    Attributes
    ----------
    unresolved_runs : dict of str to dict
        Runs on servers that are no longer listed whose start commands may still be executed, by
        server id and run key.
    """

    def __init__(
        self,
        timing: settings.RerunSettings,
        runtime: runtime_module.Runtime,
        gateway: ports.ServerGateway,
        pool: str,
        initial_token: int,
        get_servers: Callable[[], list[ports.Server]],
        listener: Listener,
        speeds: server_speed.ServerSpeeds,
        known_owners: tuple[messages.KnownOwner, ...] = (),
        has_predecessor: bool = True,
        learned_run_times: run_times.RunTimes | None = None,
        retry_budget: resubmissions.Resubmissions | None = None,
        delay: own_delay.OwnDelay | None = None,
    ):
        self.delay = delay or own_delay.OwnDelay(runtime)
        self.resubmissions = retry_budget or resubmissions.Resubmissions(timing, runtime)
        self.run_times = run_times.RunTimes() if learned_run_times is None else learned_run_times
        self.predecessors = predecessors.Predecessors(known_owners)
        self.has_predecessor = has_predecessor
        self.timing = timing
        self.runtime = runtime
        self.gateway = gateway
        self.name = pool
        self.token = initial_token
        self.list_servers = get_servers
        self.listener = listener
        self.speeds = speeds
        self.is_active = True
        self.owned_since = runtime.now()
        self.loop_ran_at = self.owned_since
        self.server_states: dict[str, server_state.ServerState] = {}
        self.unresolved_runs: dict[str, dict[tuple[str, int], server_state.Run]] = {}
        self.jobs: dict[messages.PartKey, owned_job.OwnedJob] = {}
        self.by_job: dict[str, list[owned_job.OwnedJob]] = {}
        self.finished: dict[messages.PartKey, owned_job.FinishedJob] = {}
        self.completed_tasks: dict[str, float] = {}
        self.needs_scheduling = False
        self.is_emptied = False
        self.wake = runtime.signal()
        self.commands = server_commands.ServerCommands(self)
        self.releaser = task_release.TaskReleaser(self)
        self.offers = capacity_offers.CapacityOffers(self)
        self.reaper = run_reaper.RunReaper(self)
        self.task_scheduler = scheduler.Scheduler(self)
        self.completion_handler = completions.CompletionHandler(self)
        self.requests = holder_requests.HolderRequests(self)
        self.reports = report_builder.ReportBuilder(self)
        self.refusals = refusals.Refusals(self)

    def start(self, learned: learned_state.ReceivedState | None = None) -> None:
        """Start polling the servers and scheduling.

        Parameters
        ----------
        learned : ReceivedState or None
            What the previous owner has learned, None if unknown.
        """
        self.on_servers()
        if learned is not None:
            learned_state.take_over(self, learned)
        self.runtime.spawn_service(self._run)

    def step_down(self, reason: str) -> None:
        """Give the pool up: send no more commands and leave its jobs to a successor."""
        if not self.is_active:
            return
        self.is_active = False
        event.log(events.POOL_GIVEN_UP, pool=self.name, reason=reason, jobs=len(self.jobs))
        self.wake.set()
        self.listener.on_step_down(self, reason)

    def on_servers(self) -> None:
        """Apply the platform's current list of servers."""
        if not self.is_active:
            return
        listed = {entry.id: entry for entry in self.list_servers()}
        for server_id, server in listed.items():
            self.speeds.set_kind(server_id, server.kind)
            state = self.server_states.get(server_id)
            if state is None:
                self._add_server(server)
            elif server != state.server:
                state.update_entry(server, self.runtime.now())
        for server_id, state in list(self.server_states.items()):
            state.is_unlisted = server_id not in listed
            if state.is_unlisted and self._is_finished(state):
                self._remove_server(state)
        self.wake_scheduler()

    def _add_server(self, server):
        """Add a server, with the unresolved starts if it was listed before."""
        state = server_state.ServerState(server, self.unresolved_runs.pop(server.id, {}))
        state.update_entry(server, self.runtime.now())
        state.born_ms = server.born_ms
        state.has_lease_lapsed = bool(state.runs)
        self.server_states[server.id] = state
        self.commands.resume_stops(state)
        self.runtime.spawn_service(self.commands.poll_server, state)

    def _remove_server(self, state):
        """Remove a server whose runs are over, and keep its unresolved starts for its return."""
        del self.server_states[state.server.id]
        for run in state.runs.values():
            self.requeue_task(run)
        unresolved = {key: run for key, run in state.runs.items() if run.confirmed_at is None}
        if unresolved:
            self.unresolved_runs[state.server.id] = unresolved
        state.runs.clear()
        self.gateway.disconnect(state.server.id)

    def _is_finished(self, state):
        """Return whether no run is left on a server that is no longer listed."""
        is_empty = state.is_synced and not state.runs
        return is_empty or state.is_lease_over(self.runtime.now(), self.timing)

    # Jobs.

    def add_job(self, owned):
        """Add a job."""
        self.jobs[owned.key] = owned
        self.by_job.setdefault(owned.work.id, []).append(owned)

    def remove_job(self, owned):
        """Remove a job without stopping its runs."""
        del self.jobs[owned.key]
        self.by_job[owned.work.id].remove(owned)
        if not self.by_job[owned.work.id]:
            del self.by_job[owned.work.id]

    def cancel_job(self, owned):
        """Remove a job and stop its runs."""
        self.remove_job(owned)
        for task in owned.tasks.values():
            if task.state is owned_job.TaskState.PLACED:
                self._stop_task(task)
        self.wake_scheduler()

    def _stop_task(self, task):
        state = self.server_states.get(task.server_id)
        run = state.runs.get((task.name, task.run_number)) if state else None
        if run is not None:
            self.commands.stop(state, run)

    def finish(self, owned: owned_job.OwnedJob, outcome: job.Outcome) -> None:
        """End a job, stop its runs, and report the outcome to its holder."""
        now = self.runtime.now()
        finished = owned_job.FinishedJob(outcome, tuple(owned.tasks), now + self.timing.kept_s)
        self.finished.pop(owned.key, None)  # the dictionary is in the order of expiry
        self.finished[owned.key] = finished
        if outcome.end is not job.EndState.SUCCEEDED or now > owned.due_at:
            self._log_end(owned, outcome, now)
        self.cancel_job(owned)
        self.report_outcome(owned.holder, owned.key, finished)

    def _log_end(self, owned, outcome, now):
        """Log a job that failed or was late; others are only counted, by their holders."""
        server_ids = sorted({task.server_id for task in owned.tasks.values() if task.server_id})
        event.log(
            events.JOB_ENDED,
            job=owned.work.id,
            end=outcome.end.value,
            reason=outcome.reason,
            after_ms=round((now - owned.arrived_at) * 1000),
            objective_ms=round(owned.work.objective_s * 1000),
            queue=owned.work.queue,
            pool=self.name,
            holder=owned.holder.name,
            part=owned.part,
            tasks=len(owned.tasks),
            servers=server_ids,
            runs=sum(task.run_number for task in owned.tasks.values()),
        )

    def report_outcome(self, holder, key, finished):
        """Report the outcome of a part of a job to its holder."""
        report = self.reports.report_for_outcome(holder.name)
        message = messages.JobEnded(
            *key, self.name, self.token, finished.outcome, finished.tasks, report
        )
        self.listener.send_to_holder(holder, message)

    def finish_if_done(self, owned):
        """End a job if all of its tasks are done."""
        if owned.key in self.jobs and owned.is_done():
            self.finish(owned, job.Outcome(job.EndState.SUCCEEDED))

    # Scheduling.

    def wake_scheduler(self) -> None:
        """Wake the loop to start waiting tasks or offer free capacity."""
        if not self.needs_scheduling and (self.jobs or self.offers.requests):
            self.needs_scheduling = True
            self.wake.set()

    def _run(self):
        checked_at = self.runtime.now()
        while self.is_active:
            interval_s = LOOP_INTERVAL_S if self.jobs else IDLE_LOOP_INTERVAL_S
            self.wake.wait(min(interval_s, self.refusals.due_in_s()))
            self.wake = self.runtime.signal()
            if not self.is_active or self._steps_down_after_pause():
                return
            self.needs_scheduling = False
            # Every submission and completion wakes this loop; checking all jobs and runs each time
            # would cost more than the scheduling.
            if self.loop_ran_at - checked_at >= LOOP_INTERVAL_S:
                checked_at = self.loop_ran_at
                self._check_timeouts()
            self.task_scheduler.place_all()
            # After the placement, so that no job is refused for which a server is free.
            self.refusals.check()

    def is_paused(self) -> bool:
        """Return whether a process pause has made the owner's state stale.

        Renewals from before the pause are still in the socket buffers.  They would keep jobs alive
        that the callers may have resubmitted elsewhere.
        """
        return self.runtime.now() - self.loop_ran_at > self.timing.pause_s

    def _steps_down_after_pause(self):
        now = self.runtime.now()
        if self.is_paused():
            event.log(events.INSTANCE_PAUSED, pause_s=round(now - self.loop_ran_at, 3))
            self.step_down("the process was paused")
            return True
        self.loop_ran_at = now
        return False

    def _check_timeouts(self):
        """Handle expired holders, jobs past their deadline, and orphaned or stalled runs."""
        now = self.runtime.now()
        for owned in list(self.jobs.values()):
            if now - owned.renewed_at > self.timing.holder_lost_s:
                event.log(events.HOLDER_LOST, job=owned.work.id, holder=owned.holder.name)
                self.cancel_job(owned)
        self._log_emptied()
        self._end_infeasible_jobs(now)
        self.commands.read_overdue(now)
        self.reaper.stop_orphans(now)
        self.reaper.stop_stalled(now)
        self.completed_tasks = {
            task_name: completed_at
            for task_name, completed_at in self.completed_tasks.items()
            if now - completed_at < COMPLETION_RETENTION_S
        }
        self._remove_expired(now)
        if set(self.server_states) - {server.id for server in self.list_servers()}:
            self.on_servers()

    def _remove_expired(self, now):
        """Remove the outcomes that are no longer kept, which are the first ones."""
        while self.finished:
            key, finished = next(iter(self.finished.items()))
            if finished.expires_at > now:
                return
            del self.finished[key]

    def _log_emptied(self):
        """Log once when an evacuated pool has no run left."""
        was_emptied, self.is_emptied = self.is_emptied, self.is_evacuated() and all(
            state.is_synced and not state.runs for state in self.server_states.values()
        )
        if self.is_emptied and not was_emptied:
            event.log(events.POOL_EMPTIED, pool=self.name, servers=len(self.server_states))

    def evacuated_runs(self) -> int:
        """Return the number of runs left in the pool if it is being evacuated, otherwise 0."""
        if not self.is_evacuated():
            return 0
        return sum(len(state.runs) for state in self.server_states.values())

    def _end_infeasible_jobs(self, now):
        self.refusals.end_infeasible(now)

    def available_servers(self, now: float) -> list[server_state.ServerState]:
        """Return the servers that accept tasks."""
        contact_s = self.contact_s(now)
        return [
            state for state in self.server_states.values() if state.accepts_tasks(now, contact_s)
        ]

    def contact_s(self, now: float) -> float:
        """Return how long a server may be unresponsive before it gets no new tasks."""
        return self.timing.contact_s + self.delay.allowance_s(now)

    def is_evacuated(self) -> bool:
        """Return whether the data centre of the pool is being evacuated."""
        listed = self.list_servers()
        return bool(listed) and all(server.is_evacuated for server in listed)

    def fastest_speed(self) -> float:
        """Return the speed of the fastest server."""
        return max(
            (self.speeds.speed_of(server_id) for server_id in self.server_states), default=1.0
        )

    def may_place(self, owned: owned_job.OwnedJob, now: float) -> bool:
        """Return whether no run of a job's waiting tasks by an earlier owner can be left unseen."""
        if not owned.may_have_run:
            return True
        # A former owner that is not covered may live, cut off from all servers of this owner, so
        # that none refuses it.  But the holder does not renew the job with it any more.
        return all(
            now - former.left_at > self.timing.holder_lease_end_s or self._covers(former)
            for former in owned.former_owners
        )

    def _covers(self, former):
        """Return whether all runs that a former owner may have started are known."""
        if former.token == self.token:
            return True
        # The list may have servers that this owner did not know when it took the pool over.
        return self._has_fenced_listed() and self.predecessors.cover(former)

    def _has_fenced_listed(self):
        """Return whether all listed servers know this token."""
        return all(state.is_fenced for state in self.server_states.values())

    def knows_all_servers(self) -> bool:
        """Return whether no run of an earlier owner can be left on another owner's server.

        Otherwise a successor could start the tasks of some jobs only after a delay.
        """
        owned_s = self.runtime.now() - self.owned_since
        if owned_s <= self.timing.holder_lease_end_s:
            return False
        return not self.has_predecessor or (
            self._has_fenced_listed() and self.predecessors.are_fenced()
        )

    def running_tasks(self) -> set[str]:
        """Return the tasks that may be running on any server.

        Includes runs of a cancelled job that are still being stopped when it is resubmitted.
        """
        return {
            run.task
            for state in self.server_states.values()
            for run in state.runs.values()
            if not run.is_over
        }

    def can_send(self):
        """Return whether commands may be sent; steps down after a process pause."""
        if self.is_active and self.is_paused():
            self.step_down("the process was paused")
        return self.is_active

    def apply_listing(self, state, listing, requested_at):
        """Apply a server's listing that was requested at ``requested_at``."""
        if not self.is_active or self.server_states.get(state.server.id) is not state:
            return
        now = self.runtime.now()
        if listing.born_ms and state.born_ms and listing.born_ms != state.born_ms:
            event.log(events.SERVER_RESTARTED, server=state.server.id)
            self.speeds.remove(state.server.id)
            for run in state.on_restart(listing.born_ms, requested_at):
                self.requeue_task(run)
        elif listing.born_ms:
            state.born_ms = listing.born_ms
        if not state.is_fenced:
            state.on_fenced(now, self.timing)
        if not state.is_synced:
            event.log(events.SERVER_LISTED, server=state.server.id, running=len(listing.running))
        ended, vanished = state.apply_listing(listing, requested_at, now)
        self.predecessors.on_listed(state.server.id)
        state.clear_lapse()
        for run, end in ended:
            self.completion_handler.on_end(state, run, end, now)
        for run in vanished:
            self.requeue_task(run)
        self._adopt_orphans(state)
        self.reaper.stop_unwanted(state)
        self.wake_scheduler()

    def _adopt_orphans(self, state):
        for run in list(state.runs.values()):
            if run.state is not server_state.RunState.ORPHAN:
                continue
            owned, task = self.find_task(run.task)
            if task is not None and task.state is owned_job.TaskState.WAITING:
                self.requests.adopt(owned)

    def discard_run(self, state, run, has_not_started=True):
        """Remove a run that did not start and requeue its task.

        Parameters
        ----------
        has_not_started : bool
            No command to start this run was executed, not even an earlier copy of it.
        """
        if state.runs.get(run.key) is run:
            del state.runs[run.key]
        if has_not_started and run.owned is not None and run.task in run.owned.tasks:
            run.owned.discard_run(run.owned.tasks[run.task])
        self.requeue_task(run)
        self.wake_scheduler()

    def requeue_task(self, run):
        """Mark a run as over and requeue its task."""
        run.is_over = True
        task = self.task_of(run)
        if (
            task is not None
            and task.run_number == run.number
            and task.state is owned_job.TaskState.PLACED
        ):
            task.state = owned_job.TaskState.WAITING

    def task_of(self, run):
        """Return the task of a run, None if it belongs to no job of this owner."""
        return self.find_task(run.task)[1]

    def find_task(self, task_name):
        """Return a task and its job by the task's name, or None for both."""
        for owned in self.by_job.get(job.job_id(task_name), ()):
            if task_name in owned.tasks:
                return owned, owned.tasks[task_name]
        return None, None
