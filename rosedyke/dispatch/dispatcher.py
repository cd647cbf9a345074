"""Runs jobs on the region's backend servers: the part of dispatch that others see."""

from rosedyke.configuration import ports as configuration_ports
from rosedyke.dispatch import holder, owner, ports, settings, shard, speed
from rosedyke.job import code, job, submission
from rosedyke.job import ports as job_ports
from rosedyke.membership import member
from rosedyke.membership import ports as membership_ports
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
    current : Current
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
        current: configuration_ports.Current,
        gateway: ports.BackendGateway,
    ):
        self.options = options
        self.runtime = runtime
        self.membership = membership
        self.current = current
        self.gateway = gateway
        self.tables: dict[str, speed.SpeedTable] = {}
        self.owner = owner.PoolOwner(options, runtime, peers, membership, current, self.speeds_of)
        self.holder = holder.Holder(options, runtime, peers, membership, gateway, self.speeds_of)

    def start(self) -> None:
        """Begin the periodic work."""
        self.membership.subscribe(self._on_view)
        self._on_view(self.membership.view, self.membership.view)
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
        for call in request.tasks:
            declared = service.task(call.name)
            if declared is None:
                return job_ports.Refusal(code.Code.UNKNOWN_TASK, f"no task {call.name}")
            if not owner.fits_somewhere(service, call.size or declared.size):
                return job_ports.Refusal(
                    code.Code.CAN_NEVER_RUN, f"{call.name} fits on no server of {service.name}"
                )
        return None

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
            self._place(running, service)
            closed.wait(max(0.0, running.deadline - self.runtime.now()))
        running.fail(code.Code.DEADLINE, "the timeout passed before the last task ended")
        self.holder.withdraw(running)

    def _on_view(self, _, new):
        alive = [one for one in new.members if one.state is not member.State.DEAD]
        self.gateway.share_with(len(alive))

    def _place(self, running, service):
        shards = shard.shards_of(service, self.options.shard_servers)
        indices = range(len(running.request.tasks))
        target = next(
            (one for one in shards if one.data_centre == self.membership.own.data_centre),
            shards[0] if shards else None,
        )
        if target is None:
            running.fail(code.Code.NO_SERVER, f"{service.name} has no backend server")
            return
        self.holder.lodge(running, service, target, indices)
