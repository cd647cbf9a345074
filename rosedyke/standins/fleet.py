"""Several instances' dispatchers in one virtual world, for tests and models of the policy."""

import attrs

from rosedyke.configuration import intent
from rosedyke.dispatch import dispatcher, settings
from rosedyke.job import job, submission
from rosedyke.membership import member
from rosedyke.standins import backend_fake, virtual
from rosedyke.wire import peer


class FakeMembership:
    """Implements ``membership.ports.Membership`` with a view that the test sets."""

    def __init__(self, own: member.Member, view: member.View):
        self.own = own
        self.view = view
        self.callbacks = []
        self.values = {}
        self.others = {}
        self.unreachable = frozenset()

    def subscribe(self, callback):
        """Keep a callback."""
        self.callbacks.append(callback)

    def change(self, view: member.View):
        """Take a new view and tell it."""
        old, self.view = self.view, view
        for callback in list(self.callbacks):
            callback(old, view)

    def advertise(self, topic, value):
        """Keep a value for the others."""
        self.values[topic] = value

    def advertised(self, name, topic):
        """Return another's value, at once."""
        other = self.others.get(name)
        return None if other is None else other.values.get(topic)

    def unreachable_data_centres(self):
        """Return what the test set."""
        return self.unreachable

    def is_confirmed(self):
        """Return true: joins are not played here."""
        return True

    def is_isolated(self):
        """Return false: cuts within a data centre are not played here."""
        return False


class FakeCurrent:
    """Implements ``configuration.ports.ConfigurationSource`` with a fixed configuration."""

    def __init__(self, configuration: intent.Configuration):
        self.configuration = configuration
        self.leaving: set[str] = set()
        self.callbacks = []

    def subscribe(self, callback):
        """Keep a callback."""
        self.callbacks.append(callback)

    def is_leaving(self, server_name):
        """Return whether the test says so."""
        return server_name in self.leaving


class PausableSignal:
    """A signal whose waiters don't go on while their instance is paused."""

    def __init__(self, owner: "PausableRuntime"):
        self.owner = owner
        self.inner = owner.world.signal()

    def set(self, value=None):
        """Wake every waiter."""
        self.inner.set(value)

    def is_set(self):
        """Return whether ``set`` was called."""
        return self.inner.is_set()

    def wait(self, timeout_s=None):
        """Block until set or the timeout, and until the pause ends."""
        done = self.inner.wait(timeout_s)
        self.owner.hold()
        return done

    @property
    def value(self):
        """The value given to ``set``."""
        return self.inner.value


class PausableRuntime:
    """One instance's runtime; a paused one runs nothing, as a stopped process."""

    def __init__(self, world: virtual.VirtualRuntime):
        self.world = world
        self.resumed = None

    def pause(self):
        """Stop at every blocking call."""
        self.resumed = self.world.signal()

    def resume(self):
        """Go on."""
        resumed, self.resumed = self.resumed, None
        resumed.set()

    def hold(self):
        """Block while paused."""
        while self.resumed is not None:
            self.resumed.wait()

    def now(self):
        """Return virtual seconds."""
        return self.world.now()

    def random(self):
        """Return a seeded number."""
        return self.world.random()

    def sleep(self, seconds):
        """Block for the time and until the pause ends."""
        self.world.sleep(seconds)
        self.hold()

    def spawn(self, function, *arguments):
        """Run a task, not before the pause ends."""

        def body():
            self.hold()
            function(*arguments)

        return self.world.spawn(body)

    def signal(self):
        """Return a new signal."""
        return PausableSignal(self)


class PausableGateway:
    """One instance's gateway: servers go on while it is paused, but it reads no answer."""

    def __init__(self, owner: PausableRuntime, inner: backend_fake.FakeGateway):
        self.owner = owner
        self.inner = inner

    def set_instance_count(self, instances):
        """Nothing is pooled here."""

    def run_task(self, server, call, timeout_s):
        """Run a task; its answer is read after a pause."""
        try:
            return self.inner.run_task(server, call, timeout_s)
        finally:
            self.owner.hold()

    def probe(self, server, timeout_s):
        """Ask a server; its answer is read after a pause."""
        try:
            return self.inner.probe(server, timeout_s)
        finally:
            self.owner.hold()


@attrs.define(eq=False)
class Node:
    """One instance."""

    runtime: PausableRuntime
    peers: virtual.VirtualPeers
    membership: FakeMembership
    dispatcher: dispatcher.FleetDispatcher

    def renew(self) -> None:
        """Begin a new incarnation, as an instance does that was taken for dead."""
        own = self.peers.own
        self.peers.own = attrs.evolve(own, incarnation=own.incarnation + 1)
        self.membership.own = member.Member(self.peers.own, member.State.LIVE)


class Fleet:
    """Instances and backend servers of one region.

    Parameters
    ----------
    service : Service
        The only service.
    instances : dict of str to str
        Data centre by instance name.
    run_time_s : callable
        See ``FakeGateway``.
    options : DispatchSettings
        For every instance.
    seed : int
        Of the virtual runtime.
    team : Team or None
        The service's team; one without a quota when None.
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
        self.current = FakeCurrent(intent.Configuration(1, (team,)))
        self.options = options
        self.nodes: dict[str, Node] = {}
        self.states: dict[str, member.State] = {}
        for name, data_centre in instances.items():
            self.add(name, data_centre)

    def add(self, name: str, data_centre: str, incarnation: int = 1) -> Node:
        """Let an instance join; every view shows it at once."""
        own = peer.Peer(name, incarnation, data_centre, f"virtual:{name}")
        peers = virtual.VirtualPeers(self.network, own)
        membership = FakeMembership(member.Member(own, member.State.LIVE), member.View())
        runtime = PausableRuntime(self.runtime)
        gateway = PausableGateway(runtime, self.gateway)
        part = dispatcher.FleetDispatcher(
            self.options, runtime, peers, membership, self.current, gateway
        )
        self.nodes[name] = Node(runtime, peers, membership, part)
        self.states[name] = member.State.LIVE
        self.show()
        part.start()
        return self.nodes[name]

    def show(self) -> None:
        """Give every instance a view of the present states."""
        view = member.View(
            tuple(
                member.Member(node.peers.own, self.states[name])
                for name, node in sorted(self.nodes.items())
            )
        )
        for node in self.nodes.values():
            node.membership.others = {n: one.membership for n, one in self.nodes.items()}
            node.membership.change(view)

    def cut(self, data_centre: str) -> None:
        """Cut a data centre off from all others, unnoticed until ``notice``."""
        inside = [n for n, node in self.nodes.items() if node.peers.own.data_centre == data_centre]
        self.network.partition(inside, [name for name in self.nodes if name not in inside])

    def notice(self, data_centre: str, unreachable) -> None:
        """Let the instances of a data centre see which others they are cut off from."""
        for node in self.nodes.values():
            if node.peers.own.data_centre == data_centre:
                node.membership.unreachable = frozenset(unreachable)

    def heal(self) -> None:
        """End the cut, unnoticed until ``notice``."""
        self.network.heal()

    def kill(self, name: str, seen: bool = True) -> None:
        """Let an instance die, seen at once by the others if ``seen``."""
        self.nodes[name].peers.crash()
        self.nodes[name].dispatcher.stop()
        self.states[name] = member.State.DEAD
        if seen:
            self.show()

    def submit(self, at: str, request: submission.Submission) -> job.Job:
        """Start a job at an instance and return it at once."""
        running = job.Job(request, self.runtime.now() + request.timeout_s)
        self.nodes[at].runtime.spawn(self.nodes[at].dispatcher.run, running)
        return running


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
    """Return a first attempt at a job of equal tasks."""
    call = submission.TaskCall("tag")
    return submission.Submission("scale", job_id, 1, 0.0, timeout_s, (call,) * tasks)
