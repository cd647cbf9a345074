"""Memberships of several instances on the virtual network, for tests of what they do together."""

from collections.abc import Callable, Iterable

from rosedyke.membership import member, settings, swim
from rosedyke.standins import virtual
from rosedyke.wire import peer

STEP_S = 0.05
# Rounding may leave a rest too small to move the clock.
CLOCK_STEP_S = 1e-6


class PausableSignal:
    """A signal whose waiter doesn't go on while its instance is stopped.

    As after SIGCONT, a timeout that passed meanwhile counts before what arrived meanwhile.
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
        """Block until set or for a timeout, then while the instance is stopped."""
        was_set = self.inner.wait(timeout_s)
        self.runtime.wait_while_paused()
        return was_set


class PausableRuntime:
    """The runtime of one instance, which a test can stop as SIGSTOP stops a process."""

    def __init__(self, shared: virtual.VirtualRuntime):
        self.shared = shared
        self.resumes_at = 0.0
        self.now = shared.now
        self.random = shared.random

    def signal(self) -> PausableSignal:
        """Return a new signal."""
        return PausableSignal(self)

    def pause(self, seconds: float) -> None:
        """Let no sleeping task of the instance go on for some seconds."""
        self.resumes_at = self.shared.now() + seconds

    def sleep(self, seconds: float) -> None:
        """Block the calling task, also while the instance is stopped."""
        self.shared.sleep(seconds)
        self.wait_while_paused()

    def wait_while_paused(self) -> None:
        """Block while the instance is stopped."""
        while self.shared.now() < self.resumes_at:
            self.shared.sleep(max(CLOCK_STEP_S, self.resumes_at - self.shared.now()))

    def spawn(self, function, *arguments):
        """Run a function as a task, not before the instance goes on."""

        def body():
            self.wait_while_paused()
            function(*arguments)

        return self.shared.spawn(body)


class Instances:
    """Starts, crashes and pauses memberships by name.

    Parameters
    ----------
    seed : int
        Of the virtual runtime.
    options : dict
        Settings of every membership; by default the first instance is the only seed.
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
        """Start an instance, or start it again in a further incarnation."""
        address = self.addresses.setdefault(name, f"10.0.0.{len(self.addresses) + 1}:7000")
        options = {"seeds": (self.addresses[next(iter(self.addresses))],), **self.options}
        runtime = PausableRuntime(self.runtime)
        peers = virtual.VirtualPeers(
            self.network, peer.Peer(name, incarnation, data_centre, address)
        )
        started = swim.SwimMembership(settings.MembershipSettings(**options), runtime, peers)
        self.memberships[name] = started
        self.runtimes[name] = runtime
        self.runtime.call(started.start)
        return started

    def start_all(self, names: Iterable[str], data_centre: str = "dc1") -> None:
        """Start several instances and wait until all are confirmed and see each other."""
        for name in names:
            self.start(name, data_centre)
        self.wait_for(lambda: self.agree(member.State.LIVE), 30)

    def __getitem__(self, name: str) -> swim.SwimMembership:
        """Return a membership by its instance's name."""
        return self.memberships[name]

    def crash(self, name: str) -> None:
        """End an instance without a word."""
        crashed = self.memberships.pop(name)
        crashed.protocol.peers.crash()
        crashed.protocol.is_running = False

    def pause(self, name: str, seconds: float) -> None:
        """Stop an instance for some seconds; what is sent to it arrives afterwards."""
        self.runtimes[name].pause(seconds)

    def state(self, viewer: str, name: str) -> member.State | None:
        """Return the state of an instance in another one's view."""
        found = self.memberships[viewer].view.find(name)
        return None if found is None else found.state

    def agree(self, state: member.State) -> bool:
        """Return whether every running instance is confirmed and sees every other in a state."""
        return all(
            viewer.is_confirmed() and all(self.state(n, o) is state for o in self.memberships)
            for n, viewer in self.memberships.items()
        )

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.runtime.run(self.runtime.now() + seconds)

    def wait_for(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Run until a condition holds and return the seconds it took, or raise TimeoutError."""
        began = self.runtime.now()
        while not condition():
            if self.runtime.now() - began > limit_s:
                raise TimeoutError(f"not so after {limit_s} s")
            self.run(STEP_S)
        return self.runtime.now() - began

    def _delay_s(self, source, target, message):
        if self.loss and self.runtime.random() < self.loss:
            return None
        waits = max(
            self.runtimes[n].resumes_at - self.runtime.now() for n in (source.name, target.name)
        )
        return 0.0005 + max(0.0, waits)
