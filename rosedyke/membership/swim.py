"""The SWIM membership protocol (Das, Gupta, Motivala, 2002) with extensions.

SWIM probes members at a constant rate, directly and indirectly, suspects a member before it is
declared dead, and piggybacks updates on probes.  The extensions are joins that every live member
acknowledges, relays between data centres, and detection of pauses of this process.
"""

from collections.abc import Callable, Iterable

from rosedyke import runtime as runtime_module
from rosedyke.membership import (
    anti_entropy,
    isolation,
    join,
    member,
    messages,
    pause_detector,
    probe,
    protocol_state,
    record,
    relay,
    settings,
    suspicion,
)
from rosedyke.wire import peer

DEPARTURE_TIMEOUT_S = 0.5
CONFIRMATION_POLL_S = 0.02


class SwimMembership:
    """Implements ``ports.Membership``.

    Parameters
    ----------
    options : MembershipSettings
        Timing and limits.
    runtime : runtime.Runtime
        Tasks and time.
    peers : peer.Peers
        The transport; started before ``start`` is called.
    """

    def __init__(
        self,
        options: settings.MembershipSettings,
        runtime: runtime_module.Runtime,
        peers: peer.Peers,
    ):
        self.protocol = protocol_state.ProtocolState(options, runtime, peers)
        self.pause_detector = pause_detector.PauseDetector(self.protocol)
        self.prober = probe.Prober(self.protocol)
        self.isolation = isolation.Isolation(self.protocol, self.prober)
        self.suspicions = suspicion.Suspicions(self.protocol, self.prober, self.isolation)
        self.synchroniser = anti_entropy.Synchroniser(self.protocol)
        self.joiner = join.Joiner(self.protocol, self.synchroniser)
        self.relay = relay.Relay(self.protocol)
        self.tasks: list[runtime_module.Task] = []

    def start(self) -> None:
        """Register the handlers and start joining; returns at once."""
        handle = self.protocol.peers.handle
        handle(messages.Ping, self.prober.on_ping)
        handle(messages.PingRequest, self.prober.on_ping_request)
        handle(messages.WitnessRequest, self.isolation.on_witness)
        handle(messages.Announce, self.joiner.on_announce)
        handle(messages.Forward, self.joiner.on_forward)
        handle(messages.Sync, self.synchroniser.on_sync)
        handle(messages.Push, self.synchroniser.on_push)
        handle(messages.Exchange, self.relay.on_exchange)
        handle(messages.Rejected, self.protocol.on_rejected)
        self.protocol.begin()
        self.pause_detector.reset()
        for run in (
            self.pause_detector.run,
            self.joiner.run,
            self.prober.run,
            self.synchroniser.run,
            self.synchroniser.run_reconnect,
            self.relay.run,
        ):
            self.tasks.append(self.protocol.runtime.spawn_service(run))

    def leave(self, timeout_s: float = 2.0) -> bool:
        """Enter LEAVING and return whether every member has acknowledged it in time."""
        self.protocol.is_leaving = True
        if self.own.state is not member.State.LEAVING:
            self.protocol.change_own(member.State.LEAVING)
        return self.wait_until_confirmed(timeout_s)

    def stop(self) -> None:
        """Announce the end of this incarnation to the members and stop."""
        if not self.protocol.is_running:
            return
        self.joiner.announce_departure(DEPARTURE_TIMEOUT_S)
        self.protocol.is_running = False
        for task in self.tasks:
            task.cancel()

    def rejoin(self) -> None:
        """Start a new incarnation."""
        self.protocol.rejoin("requested")

    def check_pause(self) -> bool:
        """Re-join if this process was paused for too long; return whether it was.

        To be called before any operation that must not happen once the peers have declared this
        instance dead.
        """
        return self.pause_detector.check()

    @property
    def view(self) -> member.View:
        """The current view."""
        return self.protocol.view

    @property
    def own(self) -> member.Member:
        """The current incarnation and state of this instance."""
        return self.protocol.own.as_member()

    @property
    def on_rejoin(self) -> list[protocol_state.RejoinCallback]:
        """Callbacks ``(old peer, new peer)``, called when a new incarnation starts."""
        return self.protocol.on_rejoin

    def subscribe(self, callback: Callable[[member.View, member.View], None]) -> None:
        """Call ``callback(old, new)`` after each change of the view."""
        self.protocol.subscribers.append(callback)

    def advertise(self, topic: str, value: bytes) -> None:
        """Spread a small value to every member of the region by gossip."""
        self.protocol.advertise(topic, value)

    def advertised(self, name: str, topic: str) -> bytes | None:
        """Return the newest value advertised by the member of that name."""
        return self.protocol.adverts.value(name, topic)

    def is_confirmed(self) -> bool:
        """Return whether every member of the local data centre has acknowledged this one."""
        return self.joiner.is_confirmed() and not self.isolation.is_isolated()

    def is_isolated(self) -> bool:
        """Return whether this instance may be isolated from its data centre."""
        return self.isolation.is_isolated()

    def wait_for_first_answer(self) -> None:
        """Block while the first other member of the data centre has yet to answer, if it will."""
        while self.isolation.is_first_answer_due():
            self.protocol.runtime.sleep(CONFIRMATION_POLL_S)

    def wait_until_confirmed(self, timeout_s: float) -> bool:
        """Block until confirmed and return true, or return false after the timeout."""
        deadline = self.protocol.runtime.now() + timeout_s
        while not self.is_confirmed():
            if self.protocol.runtime.now() >= deadline:
                return False
            self.protocol.runtime.sleep(CONFIRMATION_POLL_S)
        return True

    def unreachable_data_centres(self) -> frozenset[str]:
        """Return the data centres that no relay of the local data centre can reach."""
        return self.relay.unreachable()

    def relays(self, data_centre: str) -> list[record.Record]:
        """Return the relays of a data centre in this instance's view."""
        return self.relay.relays(data_centre)

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Add seed addresses, for example from the platform's list of instances."""
        self.synchroniser.add_seeds(addresses)
