"""The runtime and peers of one instance that can be paused, as SIGSTOP pauses a process.

A paused instance runs none of its tasks while the clock advances.  Timers that expire during the
pause take effect after it, in the order in which the tasks are scheduled.
"""

from rosedyke.standins import virtual


class PauseState:
    """The pause state of an instance, on which its tasks block."""

    def __init__(self, clock: virtual.VirtualRuntime):
        self.clock = clock
        self.resumed: virtual.VirtualSignal | None = None

    def suspend(self) -> None:
        """Make the instance's tasks block at their next blocking call."""
        if self.resumed is None:
            self.resumed = self.clock.signal()

    def resume(self) -> None:
        """End the pause."""
        resumed, self.resumed = self.resumed, None
        if resumed is not None:
            resumed.set()

    def wait(self) -> None:
        """Block while the instance is paused."""
        while self.resumed is not None:
            self.resumed.wait()


class NodeSignal(virtual.VirtualSignal):
    """A signal whose waiters block while their instance is paused."""

    def __init__(self, clock: virtual.VirtualRuntime, pause_state: PauseState):
        super().__init__(clock)
        self.pause_state = pause_state

    def wait(self, timeout_s: float | None = None) -> bool:
        """Block until set or the timeout expires, then while the instance is paused."""
        done = super().wait(timeout_s)
        self.pause_state.wait()
        return done or self.done


class NodeTask:
    """A task of an instance; whoever waits for it blocks while the instance is paused."""

    def __init__(self, task: virtual.VirtualTask, pause_state: PauseState):
        self.task = task
        self.pause_state = pause_state
        self.cancel = task.cancel

    def wait(self, timeout_s: float | None = None) -> bool:
        """Block until the end or the timeout expires, then while the instance is paused."""
        done = self.task.wait(timeout_s)
        self.pause_state.wait()
        return done


class NodeRuntime:
    """Implements ``runtime.Runtime`` for one instance."""

    def __init__(self, clock: virtual.VirtualRuntime, pause_state: PauseState):
        self.clock = clock
        self.pause_state = pause_state
        self.now = clock.now
        self.random = clock.random

    def sleep(self, seconds: float) -> None:
        """Block for a time, then while the instance is paused."""
        self.clock.sleep(seconds)
        self.pause_state.wait()

    def signal(self) -> NodeSignal:
        """Return a new signal."""
        return NodeSignal(self.clock, self.pause_state)

    def spawn(self, function, *arguments) -> NodeTask:
        """Run a function as a task that starts once the instance is not paused."""

        def body():
            self.pause_state.wait()
            function(*arguments)

        return NodeTask(self.clock.spawn(body), self.pause_state)

    spawn_service = spawn


class NodePeers(virtual.VirtualPeers):
    """Peers that neither handle messages nor return replies while the instance is paused."""

    def __init__(self, network, own, pause_state: PauseState):
        super().__init__(network, own)
        self.pause_state = pause_state

    def handle(self, message_type, handler, may_block=True) -> None:
        """Register a handler, which runs once the instance is not paused."""

        def handle_when_resumed(sender, message):
            self.pause_state.wait()
            return handler(sender, message)

        super().handle(message_type, handle_when_resumed, may_block)

    def request(self, target, message, timeout_s):
        """Send a message and block until its reply arrives and the instance is not paused."""
        try:
            return super().request(target, message, timeout_s)
        finally:
            self.pause_state.wait()
