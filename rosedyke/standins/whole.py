"""Whole entry instances on the virtual clock: every aggregate is the product's own.

Only what lies outside is a fake: time, the network, the store and the backend servers.  An
instance can be crashed, stopped for a while, cut off, or made to lose, repeat or delay messages
between any two of its steps.
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

LINK_DELAY_S = 0.0005
CLOCK_STEP_S = 1e-6
WATCH_POLL_S = 0.05


class InstanceRuntime:
    """The runtime of one instance, which can be stopped for a while or for ever."""

    def __init__(self, shared: virtual.VirtualRuntime):
        self.shared = shared
        self.now = shared.now
        self.random = shared.random
        self.resumes_at = 0.0
        self.is_crashed = False

    def signal(self) -> "InstanceSignal":
        """Return a signal whose waiters stop and end with the instance."""
        return InstanceSignal(self)

    def sleep(self, seconds: float) -> None:
        """Block the calling task, also while the instance is stopped."""
        self.check()
        self.shared.sleep(seconds)
        self.check()

    def spawn(self, function: Callable[..., Any], *arguments: Any) -> virtual.VirtualTask:
        """Run a function as a task of the instance."""

        def body():
            self.check()
            function(*arguments)

        return self.shared.spawn(body)

    def check(self) -> None:
        """Block the calling task while the instance is stopped; end it if it has crashed."""
        while self.shared.now() < self.resumes_at and not self.is_crashed:
            # Rounding may leave a rest too small to move the clock.
            self.shared.sleep(max(CLOCK_STEP_S, self.resumes_at - self.shared.now()))
        if self.is_crashed:
            raise greenlet.GreenletExit


class InstanceSignal(virtual.VirtualSignal):
    """A signal whose waiters stop and end with their instance."""

    def __init__(self, runtime: InstanceRuntime):
        super().__init__(runtime.shared)
        self.own = runtime

    def wait(self, timeout_s: float | None = None) -> bool:
        """Block until set, for ``timeout_s`` virtual seconds, or as the instance's fate is."""
        self.own.check()
        super().wait(timeout_s)
        self.own.check()
        return self.done


class FaultyNetwork(virtual.VirtualNetwork):
    """A network that can lose, repeat or delay the next messages of an instance."""

    def __init__(self, runtime: virtual.VirtualRuntime):
        super().__init__(runtime)
        self.lose: dict[str, int] = {}
        self.repeat: dict[str, int] = {}
        self.late: dict[str, tuple[int, float]] = {}
        self.runtimes: dict[str, InstanceRuntime] = {}
        self.delay_s = self.find_delay

    def find_delay(self, source: peer.Peer, target: peer.Peer, message: Any) -> float | None:
        """Return a message's delay; None loses it."""
        if self.lose.get(source.name, 0) > 0:
            self.lose[source.name] -= 1
            return None
        stopped_s = max(
            self.runtimes[name].resumes_at - self.runtime.now()
            for name in (source.name, target.name)
        )
        left, late_s = self.late.get(source.name, (0, 0.0))
        if left > 0:
            self.late[source.name] = (left - 1, late_s)
        else:
            late_s = 0.0
        return LINK_DELAY_S + max(0.0, stopped_s) + late_s

    def deliver(self, source, target, message, action) -> None:
        """Deliver a message once, or twice if the next ones are repeated."""
        super().deliver(source, target, message, action)
        self.log.clear()
        if self.repeat.get(source.name, 0) > 0:
            self.repeat[source.name] -= 1
            super().deliver(source, target, message, action)


class InstancePeers(virtual.VirtualPeers):
    """Peers whose requests stop and end with their instance."""

    def __init__(self, network: FaultyNetwork, own: peer.Peer, runtime: InstanceRuntime):
        super().__init__(network, own)
        self.runtime = runtime
        network.runtimes[own.name] = runtime

    def request(self, target: peer.Peer, message: Any, timeout_s: float) -> Any:
        """Send a message and block for its reply."""
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
    """The backend servers of all instances; remembers every start."""

    def __init__(self, runtime: virtual.VirtualRuntime, run_time_s):
        super().__init__(runtime, run_time_s)
        self.history: list[Start] = []


class InstanceGateway:
    """One instance's connections to the shared backend servers."""

    def __init__(self, servers: SharedServers, instance: "Instance"):
        self.servers = servers
        self.instance = instance

    def set_instance_count(self, instances: int) -> None:
        """Nothing is pooled here."""

    def run_task(
        self,
        server: intent.BackendServer,
        call: dispatch_ports.BackendCall,
        timeout_s: float,
    ) -> dispatch_ports.TaskReply:
        """Run a task; its result names the job and the task."""
        self.instance.runtime.check()
        before = self.servers.starts[call.job_id, call.index]
        # Taken now: a job that fails or times out is gone when its task ends, and a task that was
        # sent in time can end late.
        held = self.instance.manager.node.tracked_jobs.get(call.job_id)
        began = self.servers.runtime.now()
        try:
            self.servers.run_task(server, call, timeout_s)
        finally:
            if self.servers.starts[call.job_id, call.index] > before:
                self._remember(server, call, held, began)
            self.instance.runtime.check()
        return dispatch_ports.TaskReply(result_of(call.job_id, call.index))

    def probe(self, server: intent.BackendServer, timeout_s: float) -> dispatch_ports.ProbeReply:
        """Return how many tasks run."""
        return self.servers.probe(server, timeout_s)

    def _remember(self, server, call, held, began):
        attempt = held.job.request.attempt if held else None
        self.servers.history.append(
            Start(
                call.job_id,
                call.index,
                attempt,
                self.instance.name,
                server.name,
                began,
                held.job.request.digest if held else None,
            )
        )


def result_of(job_id: str, index: int) -> bytes:
    """Return the result that the backend servers give for a task."""
    return json.dumps(f"{job_id}/{index}").encode()


class Instance:
    """One entry instance, assembled as the daemon does it but for callers and operators."""

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
        self.has_left = False

    @property
    def is_up(self) -> bool:
        """Whether the instance neither crashed nor left."""
        return not self.runtime.is_crashed and not self.has_left

    def start(self) -> None:
        """Start all parts in the daemon's order."""
        self.current.subscribe(lambda new: self.generations.append(new.generation))
        self.membership.on_rejoin.append(lambda old, new: self.manager.on_pause())
        self.manager.start()
        self.dispatcher.start()
        self.membership.start()
        self.current.start()

    def crash(self) -> None:
        """End the instance without a word; its tasks end at their next blocking call."""
        self.runtime.is_crashed = True
        self.peers.crash()

    def stop_for(self, seconds: float) -> None:
        """Stop the instance as SIGSTOP does, and let it go on later."""
        self.runtime.resumes_at = self.runtime.now() + seconds

    def leave(self, timeout_s: float) -> None:
        """Shut down gracefully."""
        self.manager.drain(timeout_s)
        self.membership.leave()
        self.current.stop()
        self.dispatcher.stop()
        self.membership.stop()
        self.peers.crash()
        self.has_left = True

    def is_ready(self) -> bool:
        """Return whether the instance would take callers."""
        return self.membership.is_confirmed() and self.current.configuration is not None


class Region:
    """Entry instances of several data centres around one store and one set of servers.

    Parameters
    ----------
    data_centres : tuple of str
        All of the region.
    seed : int
        Of the virtual runtime.
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
        """Return an operator's connection to the store, which loses answers to some writes."""
        faults = virtual_store.Faults(lost_answers=lost_answers)
        return virtual_store.VirtualStore(self.clock, self.store_state, faults)

    def add(self, name: str, data_centre: str, incarnation: int = 1) -> Instance:
        """Build an instance; the first one is every other's seed."""
        address = f"virtual:{name}"
        if not self.seeds:
            self.seeds = (address,)
        own = peer.Peer(name, incarnation, data_centre, address)
        self.instances[name] = Instance(self, own, self.data_centres)
        return self.instances[name]

    def wait_for(self, condition: Callable[[], bool], limit_s: float) -> None:
        """Let time pass until a condition holds.

        Raises
        ------
        TimeoutError
            It did not hold within ``limit_s`` virtual seconds.
        """
        end = self.clock.now() + limit_s
        while not condition():
            if self.clock.now() >= end:
                raise TimeoutError(f"not so after {limit_s} s")
            self.clock.run(self.clock.now() + 0.05)
