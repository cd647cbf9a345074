"""Distributes generations: keeps this instance at the newest one.

A few watchers per data centre read the store; the other instances pull from peers.  One task reads
the store, one watches it and one pulls from peers.  All pass what they receive to
``LocalConfiguration``, which ignores anything that isn't newer.
"""

from collections.abc import Callable

from rosedyke import runtime as runtime_module
from rosedyke.configuration import (
    intent,
    local_configuration,
    peer_puller,
    ports,
    settings,
    storage,
    store_reader,
)
from rosedyke.membership import ports as membership_ports
from rosedyke.wire import peer


class Distribution:
    """Implements ``ports.ConfigurationSource``.

    Parameters
    ----------
    distribution_settings : DistributionSettings
        Intervals, and the keys in the store.
    runtime : Runtime
        Runs the tasks.
    peers : Peers
        Sends messages to other instances and receives theirs.
    membership : Membership
        Live instances and the versions that they advertise.
    store : Store
        The platform's key-value store.
    """

    def __init__(
        self,
        distribution_settings: settings.DistributionSettings,
        runtime: runtime_module.Runtime,
        peers: peer.Peers,
        membership: membership_ports.Membership,
        store: ports.Store,
    ):
        self.settings = distribution_settings
        self.runtime = runtime
        self.store = store
        self.local_config = local_configuration.LocalConfiguration(runtime)
        self.reader = store_reader.StoreReader(
            distribution_settings, runtime, membership, store, self.local_config
        )
        self.puller = peer_puller.PeerPuller(
            distribution_settings, runtime, peers, membership, self.local_config, self.reader
        )
        self.tasks: list[runtime_module.Task] = []

    @property
    def configuration(self) -> intent.Configuration | None:
        """The active configuration, None before the first generation."""
        if not self.generation:
            return None
        return self.local_config.snapshot.configuration

    @property
    def generation(self) -> int:
        """The active generation, 0 before the first."""
        return self.local_config.generation if self.local_config.is_published else 0

    def subscribe(self, callback: Callable[[intent.Configuration], None]) -> None:
        """Call ``callback`` with each newer configuration; it must not block."""
        self.local_config.generation_callbacks.append(callback)

    def is_leaving(self, server_name: str) -> bool:
        """Return whether the platform lists the backend server as leaving."""
        return server_name in self.local_config.leaving.servers

    def platform_instances(self) -> tuple[ports.PlatformInstance, ...]:
        """Return the platform's list of instances, empty if the store is unreachable."""
        try:
            return storage.read_instances(self.store, self.settings.keys)
        except ports.StoreError:
            return ()

    def start(self) -> None:
        """Start the tasks without waiting for a configuration."""
        self.tasks.append(self.runtime.spawn(self._run))

    def stop(self) -> None:
        """Stop the tasks; the active configuration is kept."""
        for task in self.tasks:
            task.cancel()
        self.tasks.clear()

    def _run(self) -> None:
        self.puller.pull_at_start()
        self.local_config.publish()
        self.tasks.append(self.runtime.spawn_service(self.reader.run))
        self.tasks.append(self.runtime.spawn_service(self.reader.run_watch))
        self.tasks.append(self.runtime.spawn_service(self.puller.run))
