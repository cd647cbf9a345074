"""Keeps the newest generation in force at this instance.

A few watchers of each data centre read the store; everyone else pulls from peers.  There is one
task for reading the store, one for its watch and one for the peers; all of them hand what they
found to ``Holding``, which ignores whatever isn't newer.
"""

from collections.abc import Callable

from rosedyke import runtime as runtime_module
from rosedyke.configuration import holding, intent, ports, puller, reader, settings, stored
from rosedyke.membership import ports as membership_ports
from rosedyke.wire import peer


class Distribution:
    """Implements ``ports.Current``.

    Parameters
    ----------
    own_settings : DistributionSettings
        Intervals and keys.
    runtime : Runtime
        Tasks and time.
    peers : Peers
        Other instances.
    membership : Membership
        Who is alive, and what they advertise.
    store : Store
        The platform's key-value service.
    """

    def __init__(
        self,
        own_settings: settings.DistributionSettings,
        runtime: runtime_module.Runtime,
        peers: peer.Peers,
        membership: membership_ports.Membership,
        store: ports.Store,
    ):
        self.settings = own_settings
        self.runtime = runtime
        self.store = store
        self.held = holding.Holding(runtime)
        self.reader = reader.StoreReader(own_settings, runtime, membership, store, self.held)
        self.puller = puller.PeerPuller(
            own_settings, runtime, peers, membership, self.held, self.reader
        )
        self.tasks: list[runtime_module.Task] = []

    @property
    def configuration(self) -> intent.Configuration | None:
        """The newest generation, None before the first."""
        if not self.generation:
            return None
        return self.held.snapshot.configuration

    @property
    def generation(self) -> int:
        """The generation in force here, 0 before the first."""
        return self.held.generation if self.held.is_published else 0

    def subscribe(self, callback: Callable[[intent.Configuration], None]) -> None:
        """Call back after each step forward; the callback must not block."""
        self.held.on_generation.append(callback)

    def is_leaving(self, server_name: str) -> bool:
        """Return whether the platform lists the backend server as leaving."""
        return server_name in self.held.leaving.servers

    def platform_instances(self) -> tuple[ports.PlatformInstance, ...]:
        """Return the platform's list of instances, empty when the store doesn't answer."""
        try:
            return stored.read_instances(self.store, self.settings.keys)
        except ports.StoreError:
            return ()

    def start(self) -> None:
        """Start the tasks; returns at once."""
        self.tasks.append(self.runtime.spawn(self._run))

    def stop(self) -> None:
        """End the tasks; what is in force stays so."""
        for task in self.tasks:
            task.cancel()
        self.tasks.clear()

    def _run(self) -> None:
        self.puller.ask_first()
        self.held.publish()
        self.tasks.append(self.runtime.spawn(self.reader.run))
        self.tasks.append(self.runtime.spawn(self.reader.run_watch))
        self.puller.run()
