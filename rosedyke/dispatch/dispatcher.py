"""Runs jobs on the region's backend servers: the part of dispatch that others see."""

from rosedyke.configuration import intent
from rosedyke.configuration import ports as configuration_ports
from rosedyke.dispatch import (
    admission,
    backlog,
    holder,
    message,
    metrics,
    owner,
    ports,
    routing,
    settings,
    shard,
    speed,
)
from rosedyke.job import code, job, submission
from rosedyke.job import ports as job_ports
from rosedyke.membership import member
from rosedyke.membership import ports as membership_ports
from rosedyke.observe import metric
from rosedyke.runtime import Runtime
from rosedyke.wire import peer


class FleetDispatcher:
    """Implements ``job.ports.Dispatcher`` over all instances of the region.

    Parameters
    ----------
    options : DispatchSettings
        How to queue, place and retry.
    runtime : Runtime
        Time and tasks.
    peers : Peers
        The other instances.
    membership : Membership
        Who is alive and so who owns which pool.
    current : ConfigurationSource
        Services and servers.
    gateway : BackendGateway
        Sends tasks to backend servers.
    """

    def __init__(
        self,
        options: settings.DispatchSettings,
        runtime: Runtime,
        peers: peer.Peers,
        membership: membership_ports.Membership,
        current: configuration_ports.ConfigurationSource,
        gateway: ports.BackendGateway,
    ):
        self.options = options
        self.runtime = runtime
        self.membership = membership
        self.current = current
        self.gateway = gateway
        self.tables: dict[str, speed.SpeedTable] = {}
        self.shards = shard.Catalogue(current, options.shard_servers)
        self.board = backlog.Board(options, runtime, membership, self.shards)
        self.owner = owner.PoolOwner(
            options,
            runtime,
            peers,
            membership,
            current,
            gateway,
            self.speeds_of,
            self.board,
            self.shards,
        )
        self.holder = holder.Holder(
            options,
            runtime,
            peers,
            membership,
            gateway,
            self.speeds_of,
            self.board,
            self.shards,
            self.place,
        )
        self.owner.on_reach_change = self.holder.follow

    def start(self) -> None:
        """Begin the periodic work."""
        self.membership.subscribe(self._on_view)
        self._on_view(self.membership.view, self.membership.view)
        self.holder.start()
        self.owner.start()

    def stop(self) -> None:
        """End the periodic work; tasks that were sent go on."""
        self.owner.stop()

    def speeds_of(self, service: str) -> speed.SpeedTable:
        """Return the learned run times of a service."""
        return self.tables.setdefault(service, speed.SpeedTable())

    def check(self, request: submission.Submission) -> job_ports.Refusal | None:
        """Return why the job can't be taken now or ever; None if it may go on."""
        configuration = self.current.configuration
        if configuration is None:
            return job_ports.Refusal(code.Code.NOT_READY, "no configuration yet", 1.0)
        service = configuration.service(request.service)
        if service is None:
            return job_ports.Refusal(code.Code.UNKNOWN_SERVICE, f"no service {request.service}")
        refusal = admission.refuse_forever(service, request)
        if refusal is not None:
            return refusal
        usable = self._usable(service)
        if not usable:
            return job_ports.Refusal(
                code.Code.NO_SERVER, f"no backend server of {service.name} in reach", 1.0
            )
        needed = admission.work_of(service, request, self.speeds_of(service.name))
        reports = [self._report(one) for one in usable]
        refusal = admission.refuse_now(
            needed, request.timeout_s, reports, service.limits, self.options
        )
        if refusal is not None:
            metric.count(metrics.JOBS_REFUSED)
        return refusal

    def run(self, running: job.Job) -> None:
        """Block until the job is closed, by its last task, a failure or its deadline."""
        configuration = self.current.configuration
        service = configuration and configuration.service(running.request.service)
        if service is None:
            running.fail(code.Code.UNKNOWN_SERVICE, f"no service {running.request.service}")
            return
        closed = self.runtime.signal()
        running.on_close.append(lambda _: closed.set())
        if not running.is_closed:
            self.place(running, service, range(len(running.request.tasks)))
            closed.wait(max(0.0, running.deadline - self.runtime.now()))
        running.fail(code.Code.DEADLINE, "the timeout passed before the last task ended")
        self.holder.withdraw(running)

    def _on_view(self, _, new):
        alive = [one for one in new.members if one.state is not member.State.DEAD]
        self.gateway.share_with(len(alive))

    def place(self, running: job.Job, service: intent.Service, indices) -> None:
        """Ask the pools that are expected to finish the tasks first for slots."""
        usable = self._usable(service)
        if not usable:
            running.fail(code.Code.NO_SERVER, f"no backend server of {service.name} in reach")
            return
        by_key = {one.key: one for one in usable}
        for key, part in self._split(running, service, indices, usable).items():
            self.holder.ask(running, service, by_key[key], part)

    def _usable(self, service) -> list[shard.Shard]:
        """Return the pools that can be asked."""
        reach = shard.reach_of(self.membership)
        reachable = [
            one
            for one in self.shards.of(service)
            if one.in_reach(reach) and self.shards.owner(one.key, self.membership) is not None
        ]
        return [one for one in reachable if not self.board.is_avoided(one.key)] or reachable

    def _report(self, target: shard.Shard) -> message.PoolReport:
        return self.board.report(target) or unknown_report(target)

    def _split(self, running, service, indices, usable) -> dict[str, list[int]]:
        speeds = self.speeds_of(service.name)
        calls = running.request.tasks
        tasks = []
        for index in indices:
            declared_s = admission.declared_s(service, calls[index])
            tasks.append((speeds.reference_s(calls[index].name, declared_s), index))
        work_s = sum(reference_s for reference_s, _ in tasks)
        reports = {one.key: self._report(one) for one in usable}
        estimates = [
            routing.estimate(key, report, work_s)
            for key, report in reports.items()
            if report.rate > 0
        ]
        if len(estimates) < 2:
            key = estimates[0].key if estimates else usable[0].key
            return {key: list(indices)}
        placed = routing.split(tasks, estimates)
        times = dict((index, reference_s) for reference_s, index in tasks)
        for key, part in placed.items():
            self.board.expect(key, sum(times[index] for index in part), len(part))
        return placed


def unknown_report(target: shard.Shard) -> message.PoolReport:
    """Return what to assume of a pool that was never heard of: idle and of average speed."""
    slots = sum(server.slots for server in target.servers)
    return message.PoolReport(((1.0, slots),), 0.0, 0.0, float(slots), slots, room_s=float("inf"))
