"""Sends a task once its slot is granted, and gives the slot back."""

from rosedyke.configuration import intent
from rosedyke.dispatch import (
    events,
    link,
    messages,
    metrics,
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
    """Puts tasks on backend servers.

    Parameters
    ----------
    options : DispatchSettings
        How to retry.
    runtime : Runtime
        Time and tasks.
    peers : Peers
        For the own name.
    gateway : BackendGateway
        Sends.
    speeds : callable
        ``speeds(service)`` returns the service's ``SpeedTable``.
    shards : Catalogue
        The pools of the configuration.
    reroute : callable
        ``reroute(running, service, indices)`` asks anew for waiting tasks.
    flush_soon : callable
        ``flush_soon(link)`` tells the owner what a link has gathered.
    """

    def __init__(
        self,
        options: settings.DispatchSettings,
        runtime: Runtime,
        peers: peer.Peers,
        gateway: ports.BackendGateway,
        speeds,
        shards: sharding.Catalogue,
        reroute,
        flush_soon,
    ):
        self.options = options
        self.runtime = runtime
        self.peers = peers
        self.gateway = gateway
        self.speeds = speeds
        self.shards = shards
        self.reroute = reroute
        self.flush_soon = flush_soon
        self.budget = retry_budget.Budget(options.retry_share, options.retry_burst)

    def run_task(self, to: link.Link, request: link.Request, grant: messages.Grant) -> None:
        """Send one task and record what came of it."""
        step.reach(steps.SLOTS_RECEIVED, self.peers.own.name)
        running = request.running
        server = self._find(to, grant.server)
        if server is None:
            self._release(to, grant, slot_lease.Outcome.UNUSED)
            self._ask_again_soon(request, grant)
            return
        try:
            running.mark_sent(grant.index)
        except job.JobError:
            self._release(to, grant, slot_lease.Outcome.UNUSED)
            return
        metric.count(metrics.TASKS_SENT)
        step.reach(steps.TASK_SENDING, self.peers.own.name)
        self.budget.sent()
        self._send(to, request, grant, server)

    def _find(self, to, name) -> intent.BackendServer | None:
        """Return the granted server, None if the owner has a newer configuration than this."""
        target = self.shards.find(to.shard.key)
        servers = target.servers if target is not None else ()
        return next((server for server in servers if server.name == name), None)

    def _send(self, to, request, grant, server):
        running = request.running
        call = running.request.tasks[grant.index]
        started = self.runtime.now()
        try:
            reply = self.gateway.run_task(
                server,
                ports.BackendCall(running.request.job_id, grant.index, call.name, call.payload),
                self._timeout_s(request, call, started),
            )
        except ports.NotStarted as error:
            self._not_started(to, request, grant, error)
        except ports.TaskFailed as error:
            metric.count(metrics.TASKS_FAILED)
            self._release(to, grant, slot_lease.Outcome.FAILED)
            running.fail(code.Code.TASK_FAILED, str(error), ran=answer.Ran.YES)
        except ports.MayHaveRun as error:
            self._may_have_run(to, request, grant, error)
        else:
            run_s = self.runtime.now() - started
            step.reach(steps.TASK_ANSWERED, self.peers.own.name)
            self._learn(to, request, grant, run_s)
            to.release(grant, slot_lease.Outcome.DONE, run_s, reply.is_leaving)
            self.flush_soon(to)
            running.mark_finished(grant.index, reply.result)

    def _release(self, to, grant, outcome, is_leaving=False):
        to.release(grant, outcome, is_leaving=is_leaving)
        self.flush_soon(to)

    def _learn(self, to, request, grant, run_s):
        """Learn from a task of another instance's pool; an own pool learns by the release."""
        if to.owner == self.peers.own:
            return
        call = request.running.request.tasks[grant.index]
        declared_s = call.run_time_s or request.service.task(call.name).run_time_s
        self.speeds(request.service.name).learn(call.name, grant.server, declared_s, run_s)

    def _timeout_s(self, request, call, now):
        declared = request.service.task(call.name).timeout_s
        return max(0.001, min(declared, request.running.deadline - now))

    def _may_have_run(self, to, request, grant, error):
        """End the job: the task may have started, so it is never sent again."""
        metric.count(metrics.TASKS_LOST)
        event.log(events.SERVER_LOST, server=grant.server, reason=error)
        running = request.running
        self._release(
            to, grant, slot_lease.Outcome.LATE if error.is_timeout else slot_lease.Outcome.LOST
        )
        if error.is_timeout and self.runtime.now() >= running.deadline:
            running.fail(code.Code.DEADLINE, f"the timeout passed while {grant.server} ran a task")
        else:
            running.fail(code.Code.SERVER_LOST, f"no answer from {grant.server}: {error}")

    def _not_started(self, to, request, grant, error):
        """Put the task back and, within the budget, ask for another slot."""
        metric.count(metrics.TASKS_NOT_STARTED)
        step.reach(steps.TASK_NOT_STARTED, self.peers.own.name)
        running = request.running
        running.mark_not_started(grant.index)
        outcome = slot_lease.Outcome.REFUSED if error.is_reached else slot_lease.Outcome.UNREACHED
        self._release(to, grant, outcome, error.is_leaving)
        if running.is_closed:
            return
        if not self.budget.take():
            running.fail(code.Code.NO_SERVER, f"task not started by {grant.server}: {error}")
            return
        self._ask_again_soon(request, grant)

    def _ask_again_soon(self, request, grant):
        self.runtime.sleep(self.options.retry_delay_s * 2 * self.runtime.random())
        if not request.running.is_closed:
            self.reroute(request.running, request.service, (grant.index,))
