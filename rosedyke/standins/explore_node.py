"""One instance's view of the virtual clock and network, which a test can make stand still.

A stopped process runs none of its tasks while the clock goes on.  What was due meanwhile happens
when it continues, in whatever order its tasks come to run.
"""

from rosedyke.standins import virtual


class Standstill:
    """Whether an instance is stopped, and a place to wait while it is."""

    def __init__(self, clock: virtual.VirtualRuntime):
        self.clock = clock
        self.resumed: virtual.VirtualSignal | None = None

    def stop(self) -> None:
        """Let the instance's tasks stand still at their next step."""
        if self.resumed is None:
            self.resumed = self.clock.signal()

    def resume(self) -> None:
        """Let them go on."""
        resumed, self.resumed = self.resumed, None
        if resumed is not None:
            resumed.set()

    def wait(self) -> None:
        """Block while the instance is stopped."""
        while self.resumed is not None:
            self.resumed.wait()


class NodeSignal(virtual.VirtualSignal):
    """A signal whose waiters don't go on while their instance is stopped."""

    def __init__(self, clock: virtual.VirtualRuntime, standstill: Standstill):
        super().__init__(clock)
        self.standstill = standstill

    def wait(self, timeout_s: float | None = None) -> bool:
        """Block until set, or for a time."""
        done = super().wait(timeout_s)
        self.standstill.wait()
        return done or self.done


class NodeClock:
    """Implements ``runtime.Runtime`` for one instance."""

    def __init__(self, clock: virtual.VirtualRuntime, standstill: Standstill):
        self.clock = clock
        self.standstill = standstill
        self.now = clock.now
        self.random = clock.random

    def sleep(self, seconds: float) -> None:
        """Block for a time, and while the instance is stopped."""
        self.clock.sleep(seconds)
        self.standstill.wait()

    def signal(self) -> NodeSignal:
        """Return a new signal."""
        return NodeSignal(self.clock, self.standstill)

    def spawn(self, function, *arguments) -> virtual.VirtualTask:
        """Run a function as a task of the instance."""

        def body():
            self.standstill.wait()
            function(*arguments)

        return self.clock.spawn(body)


class NodePeers(virtual.VirtualPeers):
    """Peers of an instance that can be stopped: nothing is handled or returned meanwhile."""

    def __init__(self, network, own, standstill: Standstill):
        super().__init__(network, own)
        self.standstill = standstill

    def handle(self, message_type, handler, may_block=True) -> None:
        """Register a handler."""

        def when_running(sender, message):
            self.standstill.wait()
            return handler(sender, message)

        super().handle(message_type, when_running, may_block)

    def request(self, target, message, timeout_s):
        """Send a message and block for its reply."""
        try:
            return super().request(target, message, timeout_s)
        finally:
            self.standstill.wait()
