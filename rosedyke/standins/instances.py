"""A simulated cluster of membership instances on the virtual network."""

from collections.abc import Callable, Iterable

from rosedyke.membership import member, settings, swim
from rosedyke.standins import virtual
from rosedyke.wire import peer

POLL_INTERVAL_S = 0.05
# Lower bound on a sleep: a shorter one can be lost to floating-point rounding.
MIN_SLEEP_S = 1e-6


class PausableSignal:
    """A signal whose waiters block while their instance is paused.

    As after SIGCONT, a timeout that expired during the pause precedes signals set during it.
    """

    def __init__(self, runtime: "PausableRuntime"):
        self.runtime = runtime
        self.inner = runtime.shared.signal()
        self.set = self.inner.set
        self.is_set = self.inner.is_set

    @property
    def value(self):
        """The value given to ``set``."""
        return self.inner.value

    def wait(self, timeout_s: float | None = None) -> bool:
        """Block until set or the timeout expires, then while the instance is paused."""
        was_set = self.inner.wait(timeout_s)
        self.runtime.wait_while_paused()
        return was_set


class PausableRuntime:
    """The runtime of one instance, which can be paused as SIGSTOP pauses a process."""

    def __init__(self, shared: virtual.VirtualRuntime):
        self.shared = shared
        self.resumes_at = 0.0
        self.now = shared.now
        self.random = shared.random

    def signal(self) -> PausableSignal:
        """Return a new signal."""
        return PausableSignal(self)

    def pause(self, seconds: float) -> None:
        """Pause the instance's tasks for some seconds."""
        self.resumes_at = self.shared.now() + seconds

    def sleep(self, seconds: float) -> None:
        """Block the calling task, and further while the instance is paused."""
        self.shared.sleep(seconds)
        self.wait_while_paused()

    def wait_while_paused(self) -> None:
        """Block while the instance is paused."""
        while self.shared.now() < self.resumes_at:
            self.shared.sleep(max(MIN_SLEEP_S, self.resumes_at - self.shared.now()))

    def spawn(self, function, *arguments):
        """Run a function as a task that starts once the instance is not paused."""

        def body():
            self.wait_while_paused()
            function(*arguments)

        return self.shared.spawn(body)

    spawn_service = spawn


class Instances:
    """Starts, crashes and pauses membership instances by name.

    Parameters
    ----------
    seed : int
        Seed of the virtual runtime.
    options : dict
        Membership settings of every instance; by default the first instance is the only seed.
    """

    def __init__(self, seed: int = 1, **options):
        self.runtime = virtual.VirtualRuntime(seed)
        self.network = virtual.VirtualNetwork(self.runtime)
        self.network.delay_s = self._delay_s
        self.loss = 0.0
        self.options = options
        self.memberships: dict[str, swim.SwimMembership] = {}
        self.runtimes: dict[str, PausableRuntime] = {}
        self.addresses: dict[str, str] = {}

    def start(self, name: str, data_centre: str = "dc1", incarnation: int = 1):
        """Start an instance, or restart it under a new incarnation."""
        address = self.addresses.setdefault(name, f"10.0.0.{len(self.addresses) + 1}:7000")
        options = {"seeds": (self.addresses[next(iter(self.addresses))],), **self.options}
        runtime = PausableRuntime(self.runtime)
        peers = virtual.VirtualPeers(
            self.network, peer.Peer(name, incarnation, data_centre, address)
        )
        membership = swim.SwimMembership(settings.MembershipSettings(**options), runtime, peers)
        self.memberships[name] = membership
        self.runtimes[name] = runtime
        self.runtime.call(membership.start)
        return membership

    def start_all(self, names: Iterable[str], data_centre: str = "dc1") -> None:
        """Start several instances and wait until all are confirmed and list each other as live."""
        for name in names:
            self.start(name, data_centre)
        self.wait_for(lambda: self.agree(member.State.LIVE), 30)

    def __getitem__(self, name: str) -> swim.SwimMembership:
        """Return an instance's membership."""
        return self.memberships[name]

    def crash(self, name: str) -> None:
        """Crash an instance."""
        crashed = self.memberships.pop(name)
        crashed.protocol.peers.crash()
        crashed.protocol.is_running = False

    def pause(self, name: str, seconds: float) -> None:
        """Pause an instance for some seconds; messages to it arrive afterwards."""
        self.runtimes[name].pause(seconds)

    def state(self, viewer: str, name: str) -> member.State | None:
        """Return the state of an instance in the view of ``viewer``."""
        entry = self.memberships[viewer].view.find(name)
        return None if entry is None else entry.state

    def agree(self, state: member.State) -> bool:
        """Return whether all instances are confirmed and list each other in ``state``."""
        return all(
            membership.is_confirmed()
            and all(self.state(name, o) is state for o in self.memberships)
            for name, membership in self.memberships.items()
        )

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.runtime.run(self.runtime.now() + seconds)

    def wait_for(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Run until a condition holds and return the seconds it took, or raise TimeoutError."""
        started_at = self.runtime.now()
        while not condition():
            if self.runtime.now() - started_at > limit_s:
                raise TimeoutError(f"condition does not hold after {limit_s} s")
            self.run(POLL_INTERVAL_S)
        return self.runtime.now() - started_at

    def _delay_s(self, source, target, message):
        if self.loss and self.runtime.random() < self.loss:
            return None
        pause_s = max(
            self.runtimes[endpoint].resumes_at - self.runtime.now()
            for endpoint in (source.name, target.name)
        )
        return 0.0005 + max(0.0, pause_s)
