"""The holder's side: asks owners for slots, sends the tasks itself and gives the slots back."""

import itertools

import attrs

from rosedyke.configuration import intent
from rosedyke.dispatch import (
    backlog,
    events,
    lease,
    message,
    metrics,
    ports,
    retry,
    settings,
    shard,
)
from rosedyke.job import answer, code, job
from rosedyke.membership import ports as membership_ports
from rosedyke.observe import event, metric
from rosedyke.runtime import Runtime
from rosedyke.wire import peer


@attrs.define(eq=False)
class Request:
    """Tasks of one job that wait for slots of one pool.

    Attributes
    ----------
    running : Job
        The job.
    service : Service
        Its service when the job was placed.
    waiting : set of int
        Indices without a grant.
    """

    number: int
    running: job.Job
    service: intent.Service
    waiting: set[int]


@attrs.define(eq=False)
class Link:
    """What this instance has to tell the owner of one pool, and what it heard.

    Attributes
    ----------
    requests : dict of int to Request
        Lodged or about to be.
    asked, releases, withdrawn : list
        Not yet told.
    is_flushing : bool
        A task is telling the owner.
    """

    shard: shard.Shard
    requests: dict[int, Request] = attrs.Factory(dict)
    asked: list[message.SlotRequest] = attrs.Factory(list)
    releases: list[message.Release] = attrs.Factory(list)
    withdrawn: list[int] = attrs.Factory(list)
    is_flushing: bool = False


class Holder:
    """Runs the tasks of this instance's jobs through grants of the pools' owners.

    Parameters
    ----------
    options : DispatchSettings
        How to ask and retry.
    runtime : Runtime
        Time and tasks.
    peers : Peers
        The other instances.
    membership : Membership
        Who owns what.
    gateway : BackendGateway
        Sends the tasks.
    speeds : callable
        ``speeds(service)`` returns the service's ``SpeedTable``.
    board : Board
        Takes the reports that ride on replies.
    reroute : callable
        ``reroute(running, service, indices)`` lodges waiting tasks anew, in the best pool.
    """

    def __init__(
        self,
        options: settings.DispatchSettings,
        runtime: Runtime,
        peers: peer.Peers,
        membership: membership_ports.Membership,
        gateway: ports.BackendGateway,
        speeds,
        board: backlog.Board,
        reroute,
    ):
        self.options = options
        self.runtime = runtime
        self.peers = peers
        self.membership = membership
        self.gateway = gateway
        self.speeds = speeds
        self.board = board
        self.reroute = reroute
        self.links: dict[str, Link] = {}
        self.numbers = itertools.count(1)
        self.budget = retry.Budget(options.retry_share, options.retry_burst)
        peers.handle(message.Grants, self.on_grants)

    def lodge(
        self, running: job.Job, service: intent.Service, target: shard.Shard, indices
    ) -> Request:
        """Ask the owner of a pool for slots for waiting tasks of a job."""
        link = self.links.setdefault(target.key, Link(target))
        request = Request(next(self.numbers), running, service, set(indices))
        link.requests[request.number] = request
        left_s = max(0.0, running.deadline - self.runtime.now())
        groups = group_tasks(service, running, request.waiting)
        link.asked.append(message.SlotRequest(request.number, groups, left_s))
        self._flush_soon(link)
        return request

    def withdraw(self, running: job.Job) -> None:
        """Stop waiting for slots for a closed job."""
        for link in self.links.values():
            numbers = [n for n, request in link.requests.items() if request.running is running]
            for number in numbers:
                del link.requests[number]
                link.withdrawn.append(number)
            if numbers:
                self._flush_soon(link)

    def on_grants(self, sender: peer.Peer, told: message.Grants) -> None:
        """Use slots that came free."""
        link = self.links.get(told.pool)
        if link is not None:
            self._use(link, told.grants, told.report)

    def _flush_soon(self, link):
        if not link.is_flushing:
            link.is_flushing = True
            self.runtime.spawn(self._flush, link)

    def _flush(self, link):
        """Tell the owner everything that has gathered, until nothing is left.

        Whatever gathers while one message is on its way goes with the next.
        """
        try:
            while link.asked or link.releases or link.withdrawn:
                if not self._exchange(link):
                    self.runtime.sleep(self.options.tick_s * (0.5 + self.runtime.random()))
        finally:
            link.is_flushing = False

    def _exchange(self, link) -> bool:
        owner = shard.owner_of(link.shard.key, link.shard.data_centre, self.membership.view)
        if owner is None:
            return False
        told = message.Exchange(
            link.shard.key, tuple(link.asked), tuple(link.releases), tuple(link.withdrawn)
        )
        try:
            reply = self.peers.request(owner.peer, told, self.options.request_timeout_s)
        except peer.PeerError as error:
            event.log(
                events.EXCHANGE_FAILED, pool=link.shard.key, owner=owner.name, reason=error.code
            )
            self._leave(link)
            return False
        if reply.ballot is None:
            return False
        del link.asked[: len(told.requests)]
        del link.releases[: len(told.releases)]
        del link.withdrawn[: len(told.withdrawn)]
        self._use(link, reply.grants, reply.report)
        return True

    def _leave(self, link):
        """Move waiting tasks away from a data centre whose owner does not answer.

        The owner may have taken the requests in and may still grant: those grants carry numbers
        that this instance has given up, so they are returned unused and nothing starts twice.
        Pools of the own data centre get a new owner soon, so their tasks stay.
        """
        if link.shard.data_centre == self.peers.own.data_centre:
            return
        self.board.avoid(link.shard.key)
        requests = list(link.requests.values())
        link.requests.clear()
        link.withdrawn.extend(request.number for request in requests)
        link.asked.clear()
        for request in requests:
            self.reroute(request.running, request.service, tuple(request.waiting))

    def _use(self, link, grants, report):
        self.board.learn(link.shard.key, report)
        for grant in grants:
            request = link.requests.get(grant.request)
            if request is None or grant.index not in request.waiting:
                metric.count(metrics.GRANTS_LATE)
                self._release(link, grant, lease.Outcome.UNUSED)
                continue
            request.waiting.remove(grant.index)
            if not request.waiting:
                del link.requests[request.number]
            self.runtime.spawn(self._run_task, link, request, grant)

    def _release(self, link, grant, outcome, run_s=0.0):
        link.releases.append(message.Release(grant.request, grant.index, outcome.value, run_s))
        self._flush_soon(link)

    def _run_task(self, link, request, grant):
        """Send one task and record what came of it."""
        running = request.running
        try:
            running.mark_sent(grant.index)
        except job.JobError:
            self._release(link, grant, lease.Outcome.UNUSED)
            return
        metric.count(metrics.TASKS_SENT)
        self.budget.sent()
        call = running.request.tasks[grant.index]
        server = find_server(link.shard, grant.server)
        started = self.runtime.now()
        try:
            reply = self.gateway.run_task(
                server,
                ports.BackendCall(running.request.job_id, grant.index, call.name, call.payload),
                self._timeout_s(request, call, started),
            )
        except ports.NotStarted as error:
            self._not_started(link, request, grant, error)
        except ports.TaskFailed as error:
            metric.count(metrics.TASKS_FAILED)
            self._release(link, grant, lease.Outcome.FAILED)
            running.fail(code.Code.TASK_FAILED, str(error), ran=answer.Ran.YES)
        except ports.MayHaveRun as error:
            metric.count(metrics.TASKS_LOST)
            event.log(events.SERVER_LOST, server=grant.server, reason=error)
            self._release(link, grant, lease.Outcome.LOST)
            running.fail(code.Code.SERVER_LOST, f"no answer from {grant.server}: {error}")
        else:
            run_s = self.runtime.now() - started
            self._learn(link, request, grant, run_s)
            self._release(link, grant, lease.Outcome.DONE, run_s)
            running.mark_finished(grant.index, reply.result)

    def _learn(self, link, request, grant, run_s):
        """Learn from a task of another instance's pool; an own pool learns by the release."""
        owner = shard.owner_of(link.shard.key, link.shard.data_centre, self.membership.view)
        if owner is not None and owner.peer == self.peers.own:
            return
        call = request.running.request.tasks[grant.index]
        declared_s = call.run_time_s or request.service.task(call.name).run_time_s
        self.speeds(request.service.name).learn(call.name, grant.server, declared_s, run_s)

    def _timeout_s(self, request, call, now):
        declared = request.service.task(call.name).timeout_s
        return max(0.001, min(declared, request.running.deadline - now))

    def _not_started(self, link, request, grant, error):
        """Put the task back and, within the budget, ask for another slot."""
        metric.count(metrics.TASKS_NOT_STARTED)
        running = request.running
        running.mark_not_started(grant.index)
        outcome = lease.Outcome.REFUSED if error.is_reached else lease.Outcome.UNREACHED
        if error.is_leaving:
            outcome = lease.Outcome.LEAVING
        self._release(link, grant, outcome)
        if running.is_closed:
            return
        if not self.budget.take():
            running.fail(code.Code.NO_SERVER, f"task not started by {grant.server}: {error}")
            return
        self.runtime.sleep(self.options.retry_delay_s * 2 * self.runtime.random())
        if not running.is_closed:
            self.reroute(running, request.service, (grant.index,))


def group_tasks(
    service: intent.Service, running: job.Job, indices
) -> tuple[message.TaskGroup, ...]:
    """Return waiting tasks of a job, those alike together."""
    groups: dict[tuple, list[int]] = {}
    for index in sorted(indices):
        call = running.request.tasks[index]
        declared = service.task(call.name)
        run_time_s = call.run_time_s or declared.run_time_s
        groups.setdefault((call.name, run_time_s, call.size or declared.size), []).append(index)
    return tuple(
        message.TaskGroup(name, run_time_s, size, tuple(found))
        for (name, run_time_s, size), found in groups.items()
    )


def find_server(target: shard.Shard, name: str) -> intent.BackendServer:
    """Return a pool's server of that name."""
    return next(server for server in target.servers if server.name == name)
