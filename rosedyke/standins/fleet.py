"""A simulated fleet of instances with dispatchers, for tests and models of the dispatch policy."""

import attrs

from rosedyke.configuration import intent
from rosedyke.dispatch import dispatcher, settings
from rosedyke.job import job, submission
from rosedyke.membership import member
from rosedyke.standins import backend_fake, virtual
from rosedyke.wire import peer


class FakeMembership:
    """Implements ``membership.ports.Membership`` with a preset view."""

    def __init__(self, own: member.Member, view: member.View):
        self.own = own
        self.view = view
        self.callbacks = []
        self.values = {}
        self.others = {}
        self.unreachable = frozenset()

    def subscribe(self, callback):
        """Register a callback."""
        self.callbacks.append(callback)

    def change(self, view: member.View):
        """Replace the view and notify the subscribers."""
        old, self.view = self.view, view
        for callback in list(self.callbacks):
            callback(old, view)

    def advertise(self, topic, value):
        """Publish a value to the other instances."""
        self.values[topic] = value

    def advertised(self, name, topic):
        """Return the value that another instance published, without delay."""
        membership = self.others.get(name)
        return None if membership is None else membership.values.get(topic)

    def unreachable_data_centres(self):
        """Return the preset data centres."""
        return self.unreachable

    def is_confirmed(self):
        """Return True: joining is not simulated."""
        return True

    def is_isolated(self):
        """Return False: partitions within a data centre are not simulated."""
        return False

    def wait_for_first_answer(self):
        """Return at once: isolation is not simulated."""


class FakeConfigurationSource:
    """Implements ``configuration.ports.ConfigurationSource`` with a fixed configuration."""

    def __init__(self, configuration: intent.Configuration):
        self.configuration = configuration
        self.leaving: set[str] = set()
        self.callbacks = []

    def subscribe(self, callback):
        """Register a callback."""
        self.callbacks.append(callback)

    def is_leaving(self, server_name):
        """Return whether the server is in ``leaving``."""
        return server_name in self.leaving


class PausableSignal:
    """A signal whose waiters block while their instance is paused."""

    def __init__(self, owner: "PausableRuntime"):
        self.owner = owner
        self.inner = owner.shared.signal()

    def set(self, value=None):
        """Wake every waiter."""
        self.inner.set(value)

    def is_set(self):
        """Return whether ``set`` was called."""
        return self.inner.is_set()

    def wait(self, timeout_s=None):
        """Block until set or the timeout, and until the pause ends."""
        done = self.inner.wait(timeout_s)
        self.owner.wait_while_paused()
        return done

    @property
    def value(self):
        """The value given to ``set``."""
        return self.inner.value


class PausableRuntime:
    """The runtime of one instance; simulates a process pause."""

    def __init__(self, shared: virtual.VirtualRuntime):
        self.shared = shared
        self.resumed = None

    def pause(self):
        """Make every blocking call block until ``resume``."""
        self.resumed = self.shared.signal()

    def resume(self):
        """End the pause."""
        resumed, self.resumed = self.resumed, None
        resumed.set()

    def wait_while_paused(self):
        """Block while the instance is paused."""
        while self.resumed is not None:
            self.resumed.wait()

    def now(self):
        """Return virtual seconds."""
        return self.shared.now()

    def random(self):
        """Return a seeded number in [0, 1)."""
        return self.shared.random()

    def sleep(self, seconds):
        """Block for the time and until the pause ends."""
        self.shared.sleep(seconds)
        self.wait_while_paused()

    def spawn(self, function, *arguments):
        """Run a task that starts once the instance is not paused."""

        def body():
            self.wait_while_paused()
            function(*arguments)

        return self.shared.spawn(body)

    spawn_service = spawn

    def signal(self):
        """Return a new signal."""
        return PausableSignal(self)


class PausableGateway:
    """The gateway of one instance; replies that arrive during a pause are returned after it."""

    def __init__(self, owner: PausableRuntime, inner: backend_fake.FakeGateway):
        self.owner = owner
        self.inner = inner

    def set_instance_count(self, instances):
        """Do nothing: there is no connection pool."""

    def run_task(self, server, call, timeout_s):
        """Run a task; return its reply once the instance is not paused."""
        try:
            return self.inner.run_task(server, call, timeout_s)
        finally:
            self.owner.wait_while_paused()

    def probe(self, server, timeout_s):
        """Probe a server; return its reply once the instance is not paused."""
        try:
            return self.inner.probe(server, timeout_s)
        finally:
            self.owner.wait_while_paused()


@attrs.define(eq=False)
class Node:
    """One instance with its dispatcher."""

    runtime: PausableRuntime
    peers: virtual.VirtualPeers
    membership: FakeMembership
    dispatcher: dispatcher.FleetDispatcher

    def renew(self) -> None:
        """Start a new incarnation, as an instance does after it was declared dead."""
        own = self.peers.own
        self.peers.own = attrs.evolve(own, incarnation=own.incarnation + 1)
        self.membership.own = member.Member(self.peers.own, member.State.LIVE)


class Fleet:
    """The instances and backend servers of one region.

    Parameters
    ----------
    service : Service
        The only service.
    instances : dict of str to str
        Data centre by instance name.
    run_time_s : callable
        See ``FakeGateway``.
    options : DispatchSettings
        Dispatch settings of every instance.
    seed : int
        Seed of the virtual runtime.
    team : Team or None
        The service's team; None for one without a quota.
    """

    def __init__(
        self,
        service: intent.Service,
        instances: dict[str, str],
        run_time_s=lambda server, call: 0.1,
        options=settings.DispatchSettings(),  # noqa: B008 (frozen)
        seed=0,
        shuffle=False,
        team=None,
    ):
        self.runtime = virtual.VirtualRuntime(seed, shuffle)
        self.network = virtual.VirtualNetwork(self.runtime)
        self.gateway = backend_fake.FakeGateway(self.runtime, run_time_s)
        team = team or intent.Team(service.team, services=(service,))
        self.current = FakeConfigurationSource(intent.Configuration(1, (team,)))
        self.options = options
        self.nodes: dict[str, Node] = {}
        self.states: dict[str, member.State] = {}
        for name, data_centre in instances.items():
            self.add(name, data_centre)

    def add(self, name: str, data_centre: str, incarnation: int = 1) -> Node:
        """Start an instance and publish a view that contains it."""
        own = peer.Peer(name, incarnation, data_centre, f"virtual:{name}")
        peers = virtual.VirtualPeers(self.network, own)
        membership = FakeMembership(member.Member(own, member.State.LIVE), member.View())
        runtime = PausableRuntime(self.runtime)
        gateway = PausableGateway(runtime, self.gateway)
        fleet_dispatcher = dispatcher.FleetDispatcher(
            self.options, runtime, peers, membership, self.current, gateway
        )
        self.nodes[name] = Node(runtime, peers, membership, fleet_dispatcher)
        self.states[name] = member.State.LIVE
        self.publish_view()
        fleet_dispatcher.start()
        return self.nodes[name]

    def publish_view(self) -> None:
        """Give every instance a view of the current states."""
        view = member.View(
            tuple(
                member.Member(node.peers.own, self.states[name])
                for name, node in sorted(self.nodes.items())
            )
        )
        for node in self.nodes.values():
            node.membership.others = {
                other_name: other.membership for other_name, other in self.nodes.items()
            }
            node.membership.change(view)

    def isolate(self, data_centre: str) -> None:
        """Isolate a data centre; its instances detect it only when told by ``detect_partition``."""
        isolated = [
            name for name, node in self.nodes.items() if node.peers.own.data_centre == data_centre
        ]
        self.network.partition(isolated, [other for other in self.nodes if other not in isolated])

    def detect_partition(self, data_centre: str, unreachable) -> None:
        """Set the data centres that the instances of a data centre find unreachable."""
        for node in self.nodes.values():
            if node.peers.own.data_centre == data_centre:
                node.membership.unreachable = frozenset(unreachable)

    def heal(self) -> None:
        """End the partition; instances detect it only when told by ``detect_partition``."""
        self.network.heal()

    def kill(self, name: str, detected: bool = True) -> None:
        """Crash an instance; if ``detected``, publish a view that lists it as dead."""
        self.nodes[name].peers.crash()
        self.nodes[name].dispatcher.stop()
        self.states[name] = member.State.DEAD
        if detected:
            self.publish_view()

    def submit(self, at: str, request: submission.Submission) -> job.Job:
        """Start a job at an instance and return it without waiting."""
        active_job = job.Job(request, self.runtime.now() + request.timeout_s)
        self.nodes[at].runtime.spawn(self.nodes[at].dispatcher.run, active_job)
        return active_job


def make_service(
    servers: dict[str, int],
    data_centre: str = "dc1",
    run_time_s: float = 0.1,
    limits: intent.Limits = intent.Limits(),  # noqa: B008 (frozen)
) -> intent.Service:
    """Return a service with one task type and servers with the given slots."""
    return intent.Service(
        "scale",
        "tea",
        (intent.TaskType("tag", run_time_s),),
        tuple(
            intent.BackendServer(name, f"virtual:{name}", data_centre, slots)
            for name, slots in servers.items()
        ),
        limits,
    )


def make_request(job_id: str, tasks: int, timeout_s: float = 30.0) -> submission.Submission:
    """Return the first attempt of a job with identical tasks."""
    call = submission.TaskCall("tag")
    return submission.Submission("scale", job_id, 1, 0.0, timeout_s, (call,) * tasks)
