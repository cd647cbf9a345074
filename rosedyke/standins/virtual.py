"""Deterministic simulation of the clock, the scheduler and the network.

Tests run production code on it.  Tasks are greenlets on one thread.  When all tasks are blocked,
the clock advances to the next timer, so no real time passes.  The same seed gives the same run.
"""

import heapq
import itertools
import random as random_module
import traceback
from collections.abc import Callable
from typing import Any

import attrs
import greenlet

from rosedyke.observe import service
from rosedyke.overload import own_delay
from rosedyke.wire import codec, peer

# Far more than any instant of a real run needs.
MAX_STEPS_PER_INSTANT = 100_000
# Size of the envelope around each message between instances.
ENVELOPE_BYTES = 150


class LivelockFound(Exception):
    """Tasks wake each other endlessly while virtual time does not advance."""


class VirtualSignal:
    """A one-shot event on the virtual clock."""

    def __init__(self, runtime: "VirtualRuntime"):
        self.runtime = runtime
        self.value: Any = None
        self.done = False
        self.waiters: list[greenlet.greenlet] = []

    def set(self, value: Any = None) -> None:
        """Wake every waiter; a second call does nothing."""
        if self.done:
            return
        self.done = True
        self.value = value
        for waiter in self.waiters:
            self.runtime.ready(waiter)
        self.waiters.clear()

    def is_set(self) -> bool:
        """Return whether ``set`` was called."""
        return self.done

    def wait(self, timeout_s: float | None = None) -> bool:
        """Block until set, or for ``timeout_s`` virtual seconds."""
        if self.done:
            return True
        current = greenlet.getcurrent()
        self.waiters.append(current)
        if timeout_s is not None:
            self.runtime.at(timeout_s, current)
        self.runtime.switch_out()
        if current in self.waiters:
            self.waiters.remove(current)
        return self.done


class VirtualTask:
    """A task on the virtual clock."""

    def __init__(self, runtime: "VirtualRuntime"):
        self.runtime = runtime
        self.ended = VirtualSignal(runtime)
        self.greenlet: greenlet.greenlet | None = None

    def cancel(self) -> None:
        """Raise ``GreenletExit`` in the task at its current blocking call."""
        if not self.ended.is_set():
            self.runtime.cancelled.add(self.greenlet)
            self.runtime.ready(self.greenlet)

    def wait(self, timeout_s: float | None = None) -> bool:
        """Block until the task has ended."""
        return self.ended.wait(timeout_s)


class VirtualRuntime:
    """Implements ``runtime.Runtime`` without threads, sockets or real time.

    Parameters
    ----------
    seed : int
        Seed of the random numbers, and of the order of ready tasks when ``shuffle`` is set.
    shuffle : bool
        Run ready tasks in a random order instead of first in, first out.

    Attributes
    ----------
    spawn_delay_s : float
        How long a spawned task waits for its first step, as in a busy process.
    restarts_services : bool
        Start services again after an error, as a process does; else ``run`` raises the error.
    max_steps_per_instant : int
        Steps at the same virtual time after which ``LivelockFound`` is raised.
    """

    def __init__(self, seed: int = 0, shuffle: bool = False):
        self.spawn_delay_s = 0.0
        self.restarts_services = False
        self.max_steps_per_instant = MAX_STEPS_PER_INSTANT
        self.generator = random_module.Random(seed)
        self.shuffle = shuffle
        self.time = 0.0
        self.order = itertools.count()
        self.timers: list[tuple[float, int, greenlet.greenlet, int]] = []
        self.queue: list[greenlet.greenlet] = []
        self.queued: set[greenlet.greenlet] = set()
        self.epochs: dict[greenlet.greenlet, int] = {}
        self.cancelled: set[greenlet.greenlet] = set()
        self.errors: list[BaseException] = []
        self.hub: greenlet.greenlet | None = None
        self.last_step_time = 0.0
        self.steps_at_time = 0

    def now(self) -> float:
        """Return virtual seconds."""
        return self.time

    def random(self) -> float:
        """Return a seeded number in [0, 1)."""
        return self.generator.random()

    def signal(self) -> VirtualSignal:
        """Return a new signal."""
        return VirtualSignal(self)

    def sleep(self, seconds: float) -> None:
        """Block the calling task for virtual seconds."""
        self.at(seconds, greenlet.getcurrent())
        self.switch_out()

    def spawn(self, function: Callable[..., Any], *arguments: Any) -> VirtualTask:
        """Run a function as a task; ``run`` raises its error, which is appended to ``errors``."""
        task = VirtualTask(self)

        def body():
            try:
                function(*arguments)
            except greenlet.GreenletExit:
                pass
            except Exception as error:
                self.errors.append(error)
            finally:
                self.epochs.pop(task.greenlet, None)
                task.ended.set()

        task.greenlet = greenlet.greenlet(body)
        if self.spawn_delay_s:
            self.at(self.spawn_delay_s, task.greenlet)
        else:
            self.ready(task.greenlet)
        return task

    def spawn_service(self, function: Callable[..., Any], *arguments: Any) -> VirtualTask:
        """Run a function as a service."""
        if self.restarts_services:
            return self.spawn(service.run, self, function, arguments)
        return self.spawn(function, *arguments)

    def end_process(self, reason: str) -> None:
        """Fail the run."""
        self.errors.append(RuntimeError(reason))

    def at(self, seconds: float, waiter: greenlet.greenlet) -> None:
        """Schedule a wake-up after virtual seconds; an earlier wake-up cancels it."""
        entry = (self.time + max(0.0, seconds), next(self.order), waiter)
        heapq.heappush(self.timers, (*entry, self.epochs.get(waiter, 0)))

    def ready(self, waiter: greenlet.greenlet) -> None:
        """Queue a task to run at the current time."""
        # Invalidates pending timers and queues a task once: a second wake-up would end another
        # wait.
        self.epochs[waiter] = self.epochs.get(waiter, 0) + 1
        if waiter not in self.queued:
            self.queued.add(waiter)
            self.queue.append(waiter)

    def switch_out(self) -> None:
        """Yield to the scheduler loop until woken."""
        current = greenlet.getcurrent()
        self.hub.switch()
        if current in self.cancelled:
            self.cancelled.discard(current)
            raise greenlet.GreenletExit

    def step(self) -> bool:
        """Run one ready task, or that of the next timer; return False when none is left."""
        self.hub = greenlet.getcurrent()
        self._count_step()
        if not self.queue:
            if not self.timers:
                return False
            due, _, waiter, epoch = heapq.heappop(self.timers)
            if waiter.dead or self.epochs.get(waiter, 0) != epoch:
                return True
            self.time = max(self.time, due)
            self.ready(waiter)
        chosen = self.queue.pop(self.choose(len(self.queue)))
        self.queued.discard(chosen)
        # A greenlet that ends switches to its parent.  The default is the task that spawned it,
        # which would then resume in the middle of an unrelated wait.
        chosen.parent = self.hub
        if chosen in self.cancelled and not chosen:  # never started
            self.cancelled.discard(chosen)
            chosen.throw(greenlet.GreenletExit)
        else:
            chosen.switch()
        return True

    def _count_step(self) -> None:
        """Raise LivelockFound if too many steps run at the same virtual time."""
        if self.time > self.last_step_time:
            self.last_step_time = self.time
            self.steps_at_time = 0
        self.steps_at_time += 1
        if self.steps_at_time > self.max_steps_per_instant:
            task = self.queue[0] if self.queue else None
            frame = getattr(task, "gr_frame", None)
            stack = "".join(traceback.format_stack(frame)) if frame else "no task"
            raise LivelockFound(f"livelock: virtual time stays at {self.time} s:\n{stack}")

    def choose(self, count: int) -> int:
        """Return the index of the ready task that runs next."""
        return self.generator.randrange(count) if self.shuffle else 0

    def run(self, until_s: float) -> None:
        """Run until the virtual time ``until_s``; raise the first error of any task."""
        while self.queue or (self.timers and self.timers[0][0] <= until_s):
            self.step()
            if self.errors:
                raise self.errors[0]
        self.time = max(self.time, until_s)

    def call(self, function: Callable[..., Any], *arguments: Any, limit_s: float = 120.0) -> Any:
        """Run a function as a task until it ends; return its result or raise its error."""
        outcome = []

        def body():
            try:
                outcome.append((function(*arguments), None))
            except Exception as error:
                outcome.append((None, error))

        self.spawn(body)
        deadline = self.time + limit_s
        while not outcome and self.time <= deadline and self.step():
            if self.errors:
                raise self.errors[0]
        if not outcome:
            raise TimeoutError(f"{function} did not return within {limit_s} s, at {self.time} s")
        value, error = outcome[0]
        if error is not None:
            raise error
        return value


@attrs.define
class VirtualNetwork:
    """Connects ``VirtualPeers`` with configurable delays and faults.

    Attributes
    ----------
    runtime : VirtualRuntime
        The clock.
    delay_s : callable
        ``delay_s(source, target, message)`` in seconds; None drops the message.
    cut : set of (str, str)
        Pairs of source and target names; their messages are dropped, in that direction only.
    log : list
        ``(time, source name, target name, message)`` of every message sent.
    links : dict of str to OwnDelay
        Links with a limited rate, by name of the instance.  They are the instance's own account as
        well, which is therefore exact.
    """

    runtime: VirtualRuntime
    delay_s: Callable[[peer.Peer, peer.Peer, Any], float | None] = lambda s, t, m: 0.0005
    cut: set[tuple[str, str]] = attrs.Factory(set)
    log: list[tuple[float, str, str, Any]] = attrs.Factory(list)
    nodes: dict[str, "VirtualPeers"] = attrs.Factory(dict)
    links: dict[str, own_delay.OwnDelay] = attrs.Factory(dict)

    def find(self, target: peer.Peer) -> "VirtualPeers | None":
        """Return the node that receives messages to ``target``, or None."""
        if not peer.is_address_only(target):
            return self.nodes.get(target.name)
        for node in self.nodes.values():
            if node.own.address == target.address:
                return node
        return None

    def partition(self, left, right) -> None:
        """Drop messages in both directions between two groups of names."""
        for a in left:
            for b in right:
                self.cut |= {(a, b), (b, a)}

    def heal(self) -> None:
        """End all partitions."""
        self.cut.clear()

    def deliver(self, source: peer.Peer, target: peer.Peer, message: Any, action) -> None:
        """Run ``action`` after the message delay unless the message is dropped."""
        self.log.append((self.runtime.now(), source.name, target.name, message))
        latency_s = self.delay_s(source, target, message)
        if latency_s is None or (source.name, target.name) in self.cut:
            return
        size = len(codec.encode(message)) + ENVELOPE_BYTES if self.links else 0
        sender_link, receiver_link = self.links.get(source.name), self.links.get(target.name)
        if sender_link is not None and source.name != target.name:
            sender_link.record_sent(size)
            latency_s += sender_link.outgoing.backlog_s(self.runtime.now())

        def act_after_delay():
            self.runtime.sleep(latency_s)
            if receiver_link is not None and source.name != target.name:
                receiver_link.record_received(size)
                self.runtime.sleep(receiver_link.incoming.backlog_s(self.runtime.now()))
            if (source.name, target.name) not in self.cut:
                action()

        self.runtime.spawn(act_after_delay)


class VirtualPeers:
    """Implements ``peer.Peers`` on a virtual network; messages are encoded and decoded."""

    def __init__(self, network: VirtualNetwork, own: peer.Peer):
        self.network = network
        self.own = own
        self.handlers: dict[type, peer.Handler] = {}
        self.is_down = False
        network.nodes[own.name] = self

    def handle(self, message_type: type, handler: peer.Handler, may_block: bool = True) -> None:
        """Register the handler of a message type; each call runs in its own task."""
        self.handlers[message_type] = handler

    def crash(self) -> None:
        """Stop sending and receiving permanently."""
        self.is_down = True

    def new_incarnation(self, after: int = 0) -> peer.Peer:
        """Start a new incarnation at the same address."""
        self.own = attrs.evolve(self.own, incarnation=max(self.own.incarnation, after) + 1)
        return self.own

    def disconnect(self, target: peer.Peer) -> None:
        """Do nothing: there are no connections."""

    def send(self, target: peer.Peer, message: Any) -> None:
        """Send a message that needs no reply."""
        self._post(target, message, lambda reply: None)

    def request(self, target: peer.Peer, message: Any, timeout_s: float) -> Any:
        """Send a message and block until its reply arrives."""
        if target == self.own:
            return self.handlers[type(message)](self.own, message)
        reply = self.network.runtime.signal()
        self._post(target, message, reply.set)
        if not reply.wait(timeout_s):
            raise peer.PeerTimeout(f"{target.name}: {type(message).__name__}")
        if isinstance(reply.value, peer.PeerError):
            raise reply.value
        return reply.value

    def start_request(
        self, target: peer.Peer, message: Any, on_reply: Callable[[Any], None]
    ) -> Callable[[], None]:
        """Send a message and return a function that ends the wait for its reply."""
        is_waiting = [True]
        self._post(target, message, lambda reply: on_reply(reply) if is_waiting else None)
        return is_waiting.clear

    def _post(self, target, message, on_reply):
        if self.is_down:
            return
        source = self.own
        node = self.network.find(target)
        if node is None:
            return
        received = codec.decode(codec.name_of(message), codec.encode(message))

        def handle():
            if node.is_down:
                return
            if not peer.is_address_only(target) and node.own.incarnation != target.incarnation:
                reply = peer.PeerGone(target.name)
            else:
                reply = node.handlers[type(received)](source, received)
            if reply is not None:
                self.network.deliver(
                    node.own, source, reply, lambda: self._deliver_reply(on_reply, reply)
                )

        self.network.deliver(source, node.own, message, handle)

    def _deliver_reply(self, on_reply, reply):
        if not self.is_down:
            on_reply(reply)
