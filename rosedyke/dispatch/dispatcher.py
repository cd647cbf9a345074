"""Runs jobs on the region's backend servers: the interface of dispatch to other packages."""

from rosedyke.configuration import intent
from rosedyke.configuration import ports as configuration_ports
from rosedyke.dispatch import (
    admission,
    lease_holder,
    messages,
    metrics,
    pool_owner,
    ports,
    report_cache,
    routing,
    settings,
    sharding,
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
        Limits and intervals.
    runtime : Runtime
        Clock and task scheduling.
    peers : Peers
        The other instances.
    membership : Membership
        Determines the owners of pools.
    current : ConfigurationSource
        The current configuration of services and servers.
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
        self.speed_tables: dict[str, speed.SpeedTable] = {}
        self.shard_map = sharding.ShardMap(current, options.shard_servers)
        self.pool_reports = report_cache.ReportCache(options, runtime, membership, self.shard_map)
        self.owner = pool_owner.PoolOwner(
            options,
            runtime,
            peers,
            membership,
            current,
            gateway,
            self.speeds_of,
            self.pool_reports,
            self.shard_map,
        )
        self.holder = lease_holder.LeaseHolder(
            options,
            runtime,
            peers,
            membership,
            gateway,
            self.speeds_of,
            self.pool_reports,
            self.shard_map,
            self.place,
        )
        self.owner.on_reachability_change = self.holder.follow_owners

    def start(self) -> None:
        """Start the periodic tasks."""
        self.membership.subscribe(self._on_view)
        self._on_view(self.membership.view, self.membership.view)
        self.holder.start()
        self.owner.start()

    def stop(self) -> None:
        """Stop the periodic tasks; backend tasks already sent continue."""
        self.owner.stop()

    def speeds_of(self, service: str) -> speed.SpeedTable:
        """Return the learned run times of a service."""
        return self.speed_tables.setdefault(service, speed.SpeedTable())

    def check(self, request: submission.Submission) -> job_ports.Refusal | None:
        """Return why the job cannot be accepted, now or ever; None if it can."""
        configuration = self.current.configuration
        if configuration is None:
            return job_ports.Refusal(code.Code.NOT_READY, "no configuration yet", 1.0)
        service = configuration.service(request.service)
        if service is None:
            return job_ports.Refusal(code.Code.UNKNOWN_SERVICE, f"no service {request.service}")
        refusal = admission.permanent_refusal(service, request)
        if refusal is not None:
            return refusal
        shards = self._usable_shards(service)
        if not shards:
            return job_ports.Refusal(
                code.Code.NO_SERVER, f"no backend server of {service.name} in reach", 1.0
            )
        work = admission.work_of(service, request, self.speeds_of(service.name))
        reports = [self._report(shard) for shard in shards]
        refusal = admission.overload_refusal(
            work, request.timeout_s, reports, service.limits, self.options
        )
        if refusal is not None:
            metric.count(metrics.JOBS_REFUSED)
        return refusal

    def run(self, active_job: job.Job) -> None:
        """Block until the job completes, fails or reaches its deadline."""
        configuration = self.current.configuration
        service = configuration and configuration.service(active_job.request.service)
        if service is None:
            active_job.fail(code.Code.UNKNOWN_SERVICE, f"no service {active_job.request.service}")
            return
        closed_signal = self.runtime.signal()
        active_job.on_close.append(lambda _: closed_signal.set())
        if not active_job.is_closed:
            self.place(active_job, service, range(len(active_job.request.tasks)))
            closed_signal.wait(max(0.0, active_job.deadline - self.runtime.now()))
        active_job.fail(code.Code.DEADLINE, "the timeout passed before the last task ended")
        self.holder.withdraw(active_job)

    def _on_view(self, _, new):
        live_members = [
            candidate for candidate in new.members if candidate.state is not member.State.DEAD
        ]
        self.gateway.set_instance_count(len(live_members))

    def place(self, active_job: job.Job, service: intent.Service, indices) -> None:
        """Request slots from the pools that are expected to finish the tasks first."""
        shards = self._usable_shards(service)
        if not shards:
            active_job.fail(code.Code.NO_SERVER, f"no backend server of {service.name} in reach")
            return
        shards_by_key = {shard.key: shard for shard in shards}
        for key, shard_indices in self._split(active_job, service, indices, shards).items():
            self.holder.request_slots(active_job, service, shards_by_key[key], shard_indices)

    def _usable_shards(self, service) -> list[sharding.Shard]:
        """Return the shards with reachable servers and an owner, avoided ones only if no other."""
        data_centres = sharding.reachable_data_centres(self.membership)
        reachable = [
            shard
            for shard in self.shard_map.of(service)
            if shard.reachable_servers(data_centres)
            and self.shard_map.owner(shard.key, self.membership) is not None
        ]
        return [
            shard for shard in reachable if not self.pool_reports.is_avoided(shard.key)
        ] or reachable

    def _report(self, shard: sharding.Shard) -> messages.PoolReport:
        return self.pool_reports.find(shard) or default_report(shard)

    def _split(self, active_job, service, indices, shards) -> dict[str, list[int]]:
        speeds = self.speeds_of(service.name)
        calls = active_job.request.tasks
        tasks = []
        for index in indices:
            declared_s = admission.declared_run_time_s(service, calls[index])
            tasks.append((speeds.reference_s(calls[index].name, declared_s), index))
        work_s = sum(reference_s for reference_s, _ in tasks)
        reports = {shard.key: self._report(shard) for shard in shards}
        estimates = [
            routing.estimate(key, report, work_s)
            for key, report in reports.items()
            if report.rate > 0
        ]
        if len(estimates) < 2:
            key = estimates[0].key if estimates else shards[0].key
            return {key: list(indices)}
        indices_by_shard = routing.split(tasks, estimates)
        reference_times_s = dict((index, reference_s) for reference_s, index in tasks)
        for key, shard_indices in indices_by_shard.items():
            self.pool_reports.add_pending(
                key, sum(reference_times_s[index] for index in shard_indices), len(shard_indices)
            )
        return indices_by_shard


def default_report(shard: sharding.Shard) -> messages.PoolReport:
    """Return the report assumed for a pool without one: idle and of average speed."""
    slots = sum(server.slots for server in shard.servers)
    return messages.PoolReport(((1.0, slots),), 0.0, 0.0, float(slots), slots, room_s=float("inf"))
