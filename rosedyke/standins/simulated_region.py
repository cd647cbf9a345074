"""A simulated region of complete entry instances, which run the production code.

Only time, the network, the store and the backend servers are fakes.  An instance can be crashed,
paused or isolated, and its messages dropped, duplicated or delayed, between any two steps.
"""

import json
from collections.abc import Callable
from typing import Any

import attrs
import greenlet

from rosedyke.configuration import distribution, intent
from rosedyke.configuration import ports as configuration_ports
from rosedyke.configuration import settings as configuration_settings
from rosedyke.dispatch import dispatcher
from rosedyke.dispatch import ports as dispatch_ports
from rosedyke.dispatch import settings as dispatch_settings
from rosedyke.job import manager
from rosedyke.job import settings as job_settings
from rosedyke.membership import settings as membership_settings
from rosedyke.membership import swim
from rosedyke.standins import backend_fake, virtual, virtual_store
from rosedyke.wire import peer

NETWORK_DELAY_S = 0.0005
MIN_SLEEP_S = 1e-6
WATCH_POLL_S = 0.05


class InstanceRuntime:
    """The runtime of one instance, which can be paused or crashed."""

    def __init__(self, shared: virtual.VirtualRuntime):
        self.shared = shared
        self.now = shared.now
        self.random = shared.random
        self.resumes_at = 0.0
        self.is_crashed = False

    def signal(self) -> "InstanceSignal":
        """Return a signal whose waiters pause and end with the instance."""
        return InstanceSignal(self)

    def sleep(self, seconds: float) -> None:
        """Block the calling task, and further while the instance is paused."""
        self.check()
        self.shared.sleep(seconds)
        self.check()

    def spawn(self, function: Callable[..., Any], *arguments: Any) -> virtual.VirtualTask:
        """Run a function as a task of the instance."""

        def body():
            self.check()
            function(*arguments)

        return self.shared.spawn(body)

    spawn_service = spawn

    def check(self) -> None:
        """Block the calling task while the instance is paused; end it if the instance crashed."""
        while self.shared.now() < self.resumes_at and not self.is_crashed:
            # A shorter sleep can be lost to floating-point rounding.
            self.shared.sleep(max(MIN_SLEEP_S, self.resumes_at - self.shared.now()))
        if self.is_crashed:
            raise greenlet.GreenletExit


class InstanceSignal(virtual.VirtualSignal):
    """A signal whose waiters pause and end with their instance."""

    def __init__(self, runtime: InstanceRuntime):
        super().__init__(runtime.shared)
        self.instance_runtime = runtime

    def wait(self, timeout_s: float | None = None) -> bool:
        """Block until set or for ``timeout_s`` virtual seconds; pause or end with the instance."""
        self.instance_runtime.check()
        super().wait(timeout_s)
        self.instance_runtime.check()
        return self.done


class FaultyNetwork(virtual.VirtualNetwork):
    """A network that can drop, duplicate or delay the next messages of an instance."""

    def __init__(self, runtime: virtual.VirtualRuntime):
        super().__init__(runtime)
        self.messages_to_drop: dict[str, int] = {}
        self.messages_to_duplicate: dict[str, int] = {}
        self.messages_to_delay: dict[str, tuple[int, float]] = {}
        self.runtimes: dict[str, InstanceRuntime] = {}
        self.delay_s = self.choose_delay

    def choose_delay(self, source: peer.Peer, target: peer.Peer, message: Any) -> float | None:
        """Return a message's delay, or None to drop it."""
        if self.messages_to_drop.get(source.name, 0) > 0:
            self.messages_to_drop[source.name] -= 1
            return None
        pause_s = max(
            self.runtimes[name].resumes_at - self.runtime.now()
            for name in (source.name, target.name)
        )
        remaining, extra_s = self.messages_to_delay.get(source.name, (0, 0.0))
        if remaining > 0:
            self.messages_to_delay[source.name] = (remaining - 1, extra_s)
        else:
            extra_s = 0.0
        return NETWORK_DELAY_S + max(0.0, pause_s) + extra_s

    def deliver(self, source, target, message, action) -> None:
        """Deliver a message once, or twice if it is to be duplicated."""
        super().deliver(source, target, message, action)
        self.log.clear()
        if self.messages_to_duplicate.get(source.name, 0) > 0:
            self.messages_to_duplicate[source.name] -= 1
            super().deliver(source, target, message, action)


class InstancePeers(virtual.VirtualPeers):
    """Peers whose requests pause and end with their instance."""

    def __init__(self, network: FaultyNetwork, own: peer.Peer, runtime: InstanceRuntime):
        super().__init__(network, own)
        self.runtime = runtime
        network.runtimes[own.name] = runtime

    def request(self, target: peer.Peer, message: Any, timeout_s: float) -> Any:
        """Send a message and block until its reply arrives."""
        try:
            return super().request(target, message, timeout_s)
        finally:
            self.runtime.check()


@attrs.frozen
class Start:
    """One start of a task at a backend server."""

    job_id: str
    index: int
    attempt: int | None
    instance: str
    server: str
    time: float
    digest: bytes | None = None


class SharedServers(backend_fake.FakeGateway):
    """The backend servers shared by all instances, with the history of task starts."""

    def __init__(self, runtime: virtual.VirtualRuntime, run_time_s):
        super().__init__(runtime, run_time_s)
        self.history: list[Start] = []


class InstanceGateway:
    """The gateway of one instance to the shared backend servers."""

    def __init__(self, servers: SharedServers, instance: "Instance"):
        self.servers = servers
        self.instance = instance

    def set_instance_count(self, instances: int) -> None:
        """Do nothing: there is no connection pool."""

    def run_task(
        self,
        server: intent.BackendServer,
        call: dispatch_ports.BackendCall,
        timeout_s: float,
    ) -> dispatch_ports.TaskReply:
        """Run a task; its result contains the job id and the task index."""
        self.instance.runtime.check()
        starts_before = self.servers.starts[call.job_id, call.index]
        # Looked up before the task runs: a job that fails or times out is no longer tracked when
        # its task ends.
        tracked = self.instance.manager.node.tracked_jobs.get(call.job_id)
        started_at = self.servers.runtime.now()
        try:
            self.servers.run_task(server, call, timeout_s)
        finally:
            if self.servers.starts[call.job_id, call.index] > starts_before:
                self._record_start(server, call, tracked, started_at)
            self.instance.runtime.check()
        return dispatch_ports.TaskReply(result_of(call.job_id, call.index))

    def probe(self, server: intent.BackendServer, timeout_s: float) -> dispatch_ports.ProbeReply:
        """Return the number of running tasks."""
        return self.servers.probe(server, timeout_s)

    def _record_start(self, server, call, tracked, started_at):
        attempt = tracked.job.request.attempt if tracked else None
        self.servers.history.append(
            Start(
                call.job_id,
                call.index,
                attempt,
                self.instance.name,
                server.name,
                started_at,
                tracked.job.request.digest if tracked else None,
            )
        )


def result_of(job_id: str, index: int) -> bytes:
    """Return the result that the backend servers return for a task."""
    return json.dumps(f"{job_id}/{index}").encode()


class Instance:
    """One entry instance, assembled as in the daemon but without the HTTP interfaces."""

    def __init__(self, region: "Region", own: peer.Peer, data_centres: tuple[str, ...]):
        self.name = own.name
        self.data_centre = own.data_centre
        self.runtime = InstanceRuntime(region.clock)
        self.peers = InstancePeers(region.network, own, self.runtime)
        self.membership = swim.SwimMembership(
            membership_settings.MembershipSettings(seeds=region.seeds), self.runtime, self.peers
        )
        self.store_faults = virtual_store.Faults()
        self.store = virtual_store.VirtualStore(self.runtime, region.store_state, self.store_faults)
        self.store.watch_poll_s = WATCH_POLL_S
        self.current = distribution.Distribution(
            configuration_settings.DistributionSettings(),
            self.runtime,
            self.peers,
            self.membership,
            self.store,
        )
        self.dispatcher = dispatcher.FleetDispatcher(
            dispatch_settings.DispatchSettings(),
            self.runtime,
            self.peers,
            self.membership,
            self.current,
            InstanceGateway(region.servers, self),
        )
        self.manager = manager.JobManager(
            job_settings.JobSettings(data_centres=data_centres),
            self.runtime,
            self.peers,
            self.membership,
            self.dispatcher,
        )
        self.generations: list[int] = []
        self.has_shut_down = False

    @property
    def is_up(self) -> bool:
        """Whether the instance has neither crashed nor shut down."""
        return not self.runtime.is_crashed and not self.has_shut_down

    def start(self) -> None:
        """Start all components in the daemon's order."""
        self.current.subscribe(lambda new: self.generations.append(new.generation))
        self.membership.on_rejoin.append(lambda old, new: self.manager.on_pause())
        self.manager.start()
        self.dispatcher.start()
        self.membership.start()
        self.current.start()

    def crash(self) -> None:
        """Crash the instance; its tasks end at their next blocking call."""
        self.runtime.is_crashed = True
        self.peers.crash()

    def pause(self, seconds: float) -> None:
        """Pause the instance for some seconds, as SIGSTOP and SIGCONT do."""
        self.runtime.resumes_at = self.runtime.now() + seconds

    def shut_down(self, timeout_s: float) -> None:
        """Shut down gracefully."""
        self.manager.drain(timeout_s)
        self.membership.leave()
        self.current.stop()
        self.dispatcher.stop()
        self.membership.stop()
        self.peers.crash()
        self.has_shut_down = True

    def is_ready(self) -> bool:
        """Return whether the instance is ready to accept submissions."""
        return self.membership.is_confirmed() and self.current.configuration is not None


class Region:
    """Entry instances in several data centres that share one store and the backend servers.

    Parameters
    ----------
    data_centres : tuple of str
        Data centres of the region.
    seed : int
        Seed of the virtual runtime.
    run_time_s : callable
        See ``FakeGateway``.
    """

    def __init__(self, data_centres: tuple[str, ...], seed: int = 1, run_time_s=None):
        self.clock = virtual.VirtualRuntime(seed)
        self.network = FaultyNetwork(self.clock)
        self.store_state = virtual_store.keyvalue.KeyValue()
        self.servers = SharedServers(self.clock, run_time_s or (lambda server, call: 0.05))
        self.data_centres = data_centres
        self.seeds: tuple[str, ...] = ()
        self.instances: dict[str, Instance] = {}

    def operator_store(self, lost_answers: int = 0) -> configuration_ports.Store:
        """Return an operator's client of the store that loses the replies to some writes."""
        faults = virtual_store.Faults(lost_answers=lost_answers)
        return virtual_store.VirtualStore(self.clock, self.store_state, faults)

    def add(self, name: str, data_centre: str, incarnation: int = 1) -> Instance:
        """Create an instance; the first is the membership seed of the others."""
        address = f"virtual:{name}"
        if not self.seeds:
            self.seeds = (address,)
        own = peer.Peer(name, incarnation, data_centre, address)
        self.instances[name] = Instance(self, own, self.data_centres)
        return self.instances[name]

    def wait_for(self, condition: Callable[[], bool], limit_s: float) -> None:
        """Run until a condition holds.

        Raises
        ------
        TimeoutError
            The condition did not hold within ``limit_s`` virtual seconds.
        """
        deadline_s = self.clock.now() + limit_s
        while not condition():
            if self.clock.now() >= deadline_s:
                raise TimeoutError(f"condition does not hold after {limit_s} s")
            self.clock.run(self.clock.now() + 0.05)
