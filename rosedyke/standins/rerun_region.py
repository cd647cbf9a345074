"""A simulated region of instances that run rerunnable jobs on simulated backend servers."""

from collections.abc import Callable, Iterable

import attrs

from rosedyke import runtime as runtime_module
from rosedyke.overload import own_delay
from rosedyke.rerunnable_jobs import (
    cancellations,
    documents,
    job,
    messages,
    node,
    ports,
    settings,
)
from rosedyke.scheduling import pool_split
from rosedyke.standins import leased_servers, virtual
from rosedyke.wire import peer

SERVICE = "weighing"
WALL_CLOCK_START_S = 1_800_000_000


class FakePlatform:
    """Implements ``ports.ServerRegistry`` and ``ports.InstanceDirectory``, as the platform does."""

    def __init__(self, region: "Region"):
        self.region = region
        self.hidden: set[str] = set()
        self.evacuated: set[str] = set()
        self.reachable = True
        # Empty by default, so that no instance waits for the record.
        self.known_splits: pool_split.Splits | None = pool_split.NO_SPLITS
        self.callbacks: list[Callable[[], None]] = []
        self.listed_instances: tuple[messages.Instance, ...] = ()

    def servers(self) -> tuple[ports.Server, ...]:
        """Return the servers that are not hidden from this instance."""
        return tuple(
            attrs.evolve(server.listed, is_evacuated=server.listed.data_centre in self.evacuated)
            for server in self.region.backend.servers.values()
            if server.listed.id not in self.hidden
        )

    def pool_splits(self) -> pool_split.Splits | None:
        """Return the record of the split racks that this instance knows."""
        return self.known_splits

    def set_splits(self, splits: pool_split.Splits) -> None:
        """Let this instance know the record of the split racks."""
        self.known_splits = splits
        self.changed()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback()`` after each change of the lists."""
        self.callbacks.append(callback)

    def changed(self) -> None:
        """Notify the subscribers of a change."""
        for callback in self.callbacks:
            callback()

    def instances(self) -> tuple[messages.Instance, ...]:
        """Return all instances; the same object until they change, as the platform does."""
        instances = tuple(member.own for member in self.region.members.values())
        if instances != self.listed_instances:
            self.listed_instances = instances
        return self.listed_instances

    def can_reach(self) -> bool:
        """Return whether the platform is reachable."""
        return self.reachable


class FakeCancellationStore:
    """Implements ``ports.CancellationStore`` for one instance; all share what is stored.

    Attributes
    ----------
    reachable : bool
        Whether this instance can write and read.
    delay_s : float
        Time that a write takes.
    watch_s : float
        Time after which the other instances read a change.
    interval_s : float
        Time after which they read again without a change.
    """

    batch_size = 32

    def __init__(self, region: "Region"):
        self.region = region
        self.reachable = True
        self.is_crashed = False
        self.delay_s = 0.002
        self.watch_s = 0.02
        self.interval_s = 3.0
        self.callbacks: list[Callable[[frozenset[str]], None]] = []

    def write(self, job_ids: tuple[str, ...]) -> None:
        """Store cancellations."""
        self.region.runtime.sleep(self.delay_s)
        if self.is_crashed:
            self.region.runtime.signal().wait()
        if not self.reachable:
            raise ports.CancellationsNotStored("not reachable")
        self.region.cancelled |= set(job_ids)
        self.region.cancellation_writes += 1
        for member in self.region.members.values():
            self.region.runtime.spawn(member.cancellation_store.read)

    def crash(self) -> None:
        """Write and read no more, as the process has ended."""
        self.is_crashed = True

    def subscribe(self, callback: Callable[[frozenset[str]], None]) -> None:
        """Call ``callback(job_ids)`` at first and after each change."""
        self.callbacks.append(callback)
        self.region.runtime.spawn(self._read_regularly)

    def _read_regularly(self):
        while not self.is_crashed:
            self.read()
            self.region.runtime.sleep(self.interval_s)

    def read(self) -> None:
        """Read what is stored, as soon as that is possible."""
        self.region.runtime.sleep(self.watch_s)
        while not self.reachable and not self.is_crashed:
            self.region.runtime.sleep(self.watch_s)
        if self.is_crashed:
            return
        for callback in self.callbacks:
            callback(frozenset(self.region.cancelled))


@attrs.define(eq=False)
class Member:
    """One instance of the region."""

    own: messages.Instance
    peers: virtual.VirtualPeers
    listed: FakePlatform
    node: node.Node
    cancellation_store: FakeCancellationStore
    clock_s: float = 0.0


class Region:
    """Instances ``a-1``, ``a-2``, ``b-1`` ... and backend servers in data centres ``a``, ``b`` ...

    Parameters
    ----------
    sizes : dict of str to int
        Number of instances by data centre.
    servers : int
        Number of servers in each data centre, with four cores each.
    timing : RerunSettings or None
        Settings of all instances; None for the defaults.
    link_bytes_per_s : float
        Rate of each instance's link, 0 if it is unlimited.
    """

    def __init__(
        self,
        sizes: dict[str, int],
        servers: int = 3,
        seed: int = 1,
        timing: settings.RerunSettings | None = None,
        link_bytes_per_s: float = 0.0,
    ):
        self.runtime = virtual.VirtualRuntime(seed)
        self.network = virtual.VirtualNetwork(self.runtime)
        self.backend = leased_servers.SimulatedBackend(self.runtime)
        self.timing = attrs.evolve(
            timing or settings.RerunSettings(), link_bytes_per_s=link_bytes_per_s
        )
        self.members: dict[str, Member] = {}
        # Outlives all instances.
        self.cancelled: set[str] = set()
        self.cancellation_writes = 0
        for data_centre in sizes:
            for number in range(servers):
                self.add_server(data_centre, number)
        for index, (data_centre, count) in enumerate(sizes.items()):
            for number in range(1, count + 1):
                self.add(f"{data_centre}-{number}", data_centre, f"10.{index}.0.{number}:7000")

    def add_server(self, data_centre: str, number: int) -> leased_servers.LeasedServer:
        """Add a server."""
        return self.backend.add(
            ports.Server(
                f"s-{data_centre}-{number}",
                f"10.9.{number}.1:80",
                SERVICE,
                data_centre,
                "r1",
                job.Demand(4000, 4096),
                born_ms=1,
            )
        )

    def add(
        self,
        name: str,
        data_centre: str,
        address: str,
        clock_s: float = 0.0,
        cores: float = 1.0,
        splits: pool_split.Splits | None = pool_split.NO_SPLITS,
    ) -> Member:
        """Start an instance whose wall clock is skewed by ``clock_s``.

        Parameters
        ----------
        splits : Mapping or None
            The record of the split racks that it knows, None if it knows none.
        """
        own = messages.Instance(name, address, data_centre, cores)
        runtime, peers = self.runtime_and_peers(peer.Peer(name, 1, data_centre, address))
        listed = FakePlatform(self)
        listed.known_splits = splits
        cancellation_store = FakeCancellationStore(self)
        delay = own_delay.OwnDelay(runtime, self.timing.link_bytes_per_s)
        if delay.is_limited:
            self.network.links[name] = delay
        rerun_node = node.Node(
            own,
            self.timing,
            runtime,
            peers,
            listed,
            listed,
            self.gateway(name, delay),
            documents.Documents(runtime),
            cancellation_store,
            lambda: WALL_CLOCK_START_S + self.runtime.now() + clock_s,
            delay=delay,
        )
        self.members[name] = Member(own, peers, listed, rerun_node, cancellation_store, clock_s)
        rerun_node.start()
        return self.members[name]

    def runtime_and_peers(self, own: peer.Peer) -> tuple[runtime_module.Runtime, peer.Peers]:
        """Return the runtime and the peers of a new instance."""
        return self.runtime, virtual.VirtualPeers(self.network, own)

    def gateway(self, name: str, delay: own_delay.OwnDelay) -> ports.ServerGateway:
        """Return the gateway of a new instance to the servers."""
        return leased_servers.SimulatedGateway(self.backend, name, delay)

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.runtime.run(self.runtime.now() + seconds)

    def owner(self, data_centre: str) -> str:
        """Return the instance that owns a data centre's pool under the highest fencing token."""
        owners = [
            (member.node.owned_pools[f"{data_centre}/r1"].token, name)
            for name, member in self.members.items()
            if f"{data_centre}/r1" in member.node.owned_pools
        ]
        return max(owners)[1] if owners else ""

    def non_owner(self, data_centre: str) -> str:
        """Return an instance of a data centre that doesn't own its pool."""
        owner = self.owner(data_centre)
        return next(
            name
            for name, member in self.members.items()
            if member.own.data_centre == data_centre and name != owner
        )

    def kill(self, name: str) -> None:
        """Crash an instance."""
        member = self.members.pop(name)
        member.peers.crash()
        member.cancellation_store.crash()
        member.node.stop()

    def cancel(self, name: str, job_id: str, timeout_s: float = 4.0) -> "Cancellation":
        """Cancel a job at an instance as a caller does."""
        cancellation = Cancellation(self.runtime.now())
        member = self.members[name]

        def cancel_and_record():
            cancellation.result = member.node.cancel(job_id, timeout_s)
            cancellation.ended_at = self.runtime.now()

        self.runtime.spawn(cancel_and_record)
        return cancellation

    def partition_instances(self, left: list[str], right: list[str]) -> None:
        """Partition two groups of instances from each other."""
        self.network.partition(left, right)

    def evacuate(self, *data_centres: str, instances: Iterable[str] | None = None) -> None:
        """Replace the set of evacuated data centres that some or all instances know."""
        for name in self.members if instances is None else instances:
            listed = self.members[name].listed
            listed.evacuated = set(data_centres)
            listed.changed()

    def submit(
        self,
        name: str,
        job_id: str,
        count: int = 1,
        duration_s: float = 0.1,
        timeout_s: float = 5,
        priority: int = 0,
        objective_s: float | None = None,
        queue: str = "tags",
        payload: str = "{}",
    ) -> "Submission":
        """Submit a job to an instance as a caller does."""
        if objective_s is None:
            objective_s = 1.6 * duration_s + 1.0
        self.backend.durations[job_id] = duration_s
        step = job.Step(count, job.Demand(1000, 64), duration_s)
        rerun_job = job.Job(
            job_id, queue, SERVICE, payload, (step,), priority, 3, objective_s, timeout_s
        )
        submission = Submission(self.runtime.signal(), submitted_at=self.runtime.now())
        member = self.members[name]

        def run_and_record():
            submission.outcome = member.node.run(rerun_job, submission.disconnected)
            submission.ended_at = self.runtime.now()

        self.runtime.spawn(run_and_record)
        return submission


@attrs.define(eq=False)
class Cancellation:
    """A caller's cancellation of a job, and its result."""

    submitted_at: float
    result: cancellations.Cancelled | None = None
    ended_at: float = 0.0


@attrs.define(eq=False)
class Submission:
    """A caller's submission of a job, and its outcome."""

    disconnected: virtual.VirtualSignal
    outcome: job.Outcome | None = None
    ended_at: float = 0.0
    submitted_at: float = 0.0

    @property
    def duration_s(self) -> float:
        """Time from the submission to its outcome."""
        return self.ended_at - self.submitted_at
