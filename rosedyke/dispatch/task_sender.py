"""Sends tasks on granted slots, and releases the slots."""

from rosedyke.configuration import intent
from rosedyke.dispatch import (
    events,
    messages,
    metrics,
    pool_session,
    ports,
    retry_budget,
    settings,
    sharding,
    slot_lease,
    steps,
)
from rosedyke.job import answer, code, job
from rosedyke.observe import event, metric, step
from rosedyke.runtime import Runtime
from rosedyke.wire import peer


class TaskSender:
    """Sends tasks to backend servers.

    Parameters
    ----------
    options : DispatchSettings
        Retry limits and delays.
    runtime : Runtime
        Clock and task scheduling.
    peers : Peers
        Identifies this instance.
    gateway : BackendGateway
        Sends the requests.
    speeds_of : callable
        ``speeds_of(service)`` returns the service's ``SpeedTable``.
    shard_map : ShardMap
        The pools of the configuration.
    reroute : callable
        ``reroute(active_job, service, indices)`` places waiting tasks again.
    schedule_flush : callable
        ``schedule_flush(session)`` sends a session's pending updates soon.
    """

    def __init__(
        self,
        options: settings.DispatchSettings,
        runtime: Runtime,
        peers: peer.Peers,
        gateway: ports.BackendGateway,
        speeds_of,
        shard_map: sharding.ShardMap,
        reroute,
        schedule_flush,
    ):
        self.options = options
        self.runtime = runtime
        self.peers = peers
        self.gateway = gateway
        self.speeds_of = speeds_of
        self.shard_map = shard_map
        self.reroute = reroute
        self.schedule_flush = schedule_flush
        self.budget = retry_budget.RetryBudget(options.retry_share, options.retry_burst)

    def run_task(
        self,
        session: pool_session.PoolSession,
        request: pool_session.PoolRequest,
        grant: messages.Grant,
    ) -> None:
        """Send one task and record its outcome."""
        step.reach(steps.SLOTS_RECEIVED, self.peers.own.name)
        active_job = request.active_job
        server = self._find_server(session, grant.server)
        if server is None:
            self._release(session, grant, slot_lease.Outcome.UNUSED)
            self._reroute_after_delay(request, grant)
            return
        try:
            active_job.mark_sent(grant.index)
        except job.JobError:
            self._release(session, grant, slot_lease.Outcome.UNUSED)
            return
        metric.count(metrics.TASKS_SENT)
        step.reach(steps.TASK_SENDING, self.peers.own.name)
        self.budget.record_sent()
        self._send(session, request, grant, server)

    def _find_server(self, session, name) -> intent.BackendServer | None:
        """Return the granted server, None if it is not in this instance's configuration yet."""
        declared_shard = self.shard_map.find(session.shard.key)
        servers = declared_shard.servers if declared_shard is not None else ()
        return next((server for server in servers if server.name == name), None)

    def _send(self, session, request, grant, server):
        active_job = request.active_job
        call = active_job.request.tasks[grant.index]
        started_at = self.runtime.now()
        try:
            reply = self.gateway.run_task(
                server,
                ports.BackendCall(active_job.request.job_id, grant.index, call.name, call.payload),
                self._timeout_s(request, call, started_at),
            )
        except ports.NotStarted as error:
            self._handle_not_started(session, request, grant, error)
        except ports.TaskFailed as error:
            metric.count(metrics.TASKS_FAILED)
            self._release(session, grant, slot_lease.Outcome.FAILED)
            active_job.fail(code.Code.TASK_FAILED, str(error), ran=answer.Ran.YES)
        except ports.MayHaveRun as error:
            self._handle_lost(session, request, grant, error)
        else:
            run_s = self.runtime.now() - started_at
            step.reach(steps.TASK_ANSWERED, self.peers.own.name)
            self._learn_run_time(session, request, grant, run_s)
            session.release(grant, slot_lease.Outcome.DONE, run_s, reply.is_leaving)
            self.schedule_flush(session)
            active_job.mark_finished(grant.index, reply.result)

    def _release(self, session, grant, outcome, is_leaving=False):
        session.release(grant, outcome, is_leaving=is_leaving)
        self.schedule_flush(session)

    def _learn_run_time(self, session, request, grant, run_s):
        """Learn a run time from another owner's pool; own pools learn it from the release."""
        if session.owner == self.peers.own:
            return
        call = request.active_job.request.tasks[grant.index]
        declared_s = call.run_time_s or request.service.task(call.name).run_time_s
        self.speeds_of(request.service.name).learn(call.name, grant.server, declared_s, run_s)

    def _timeout_s(self, request, call, now):
        declared = request.service.task(call.name).timeout_s
        return max(0.001, min(declared, request.active_job.deadline - now))

    def _handle_lost(self, session, request, grant, error):
        """Fail the job: the task may have started, so it is not retried."""
        metric.count(metrics.TASKS_LOST)
        event.log(events.SERVER_LOST, server=grant.server, reason=error)
        active_job = request.active_job
        self._release(
            session, grant, slot_lease.Outcome.LATE if error.is_timeout else slot_lease.Outcome.LOST
        )
        if error.is_timeout and self.runtime.now() >= active_job.deadline:
            active_job.fail(
                code.Code.DEADLINE, f"the timeout passed while {grant.server} ran a task"
            )
        else:
            active_job.fail(code.Code.SERVER_LOST, f"no answer from {grant.server}: {error}")

    def _handle_not_started(self, session, request, grant, error):
        """Place the task again if the retry budget allows it, otherwise fail the job."""
        metric.count(metrics.TASKS_NOT_STARTED)
        step.reach(steps.TASK_NOT_STARTED, self.peers.own.name)
        active_job = request.active_job
        active_job.mark_not_started(grant.index)
        outcome = slot_lease.Outcome.REFUSED if error.is_reached else slot_lease.Outcome.UNREACHED
        self._release(session, grant, outcome, error.is_leaving)
        if active_job.is_closed:
            return
        if not self.budget.try_spend():
            active_job.fail(
                code.Code.NO_SERVER,
                f"task not started by {grant.server}: {error}",
            )
            return
        self._reroute_after_delay(request, grant)

    def _reroute_after_delay(self, request, grant):
        self.runtime.sleep(self.options.retry_delay_s * 2 * self.runtime.random())
        if not request.active_job.is_closed:
            self.reroute(request.active_job, request.service, (grant.index,))
