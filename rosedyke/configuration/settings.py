"""Settings of the distribution."""

import attrs

from rosedyke.configuration import stored


@attrs.frozen
class DistributionSettings:
    """How often an instance looks for a newer generation.

    Attributes
    ----------
    keys : Keys
        Where the intent lies in the store.
    watchers : int
        Instances of a data centre that read the store.
    poll_s : float
        Seconds between a watcher's reads; bounds what a silent watch can hide.
    full_read_s : float
        Seconds between reads of the whole list of backend servers, which show removed entries.
    peer_check_s : float
        Seconds between looks at what peers advertise.
    far_check_s : float
        Seconds between a watcher's questions to an instance of another data centre.
    join_wait_s : float
        How long a starting instance waits for peers to appear before it trusts the store alone.
    alone_s : float
        After so long without a configuration an instance reads the store though it is no watcher.
    alone_poll_s : float
        Seconds between such reads.
    pull_timeout_s : float
        For one request to a peer.
    retry_limit_s : float
        The longest pause between two tries to reach the store.
    """

    keys: stored.Keys = stored.Keys()
    watchers: int = 2
    poll_s: float = 5.0
    full_read_s: float = 60.0
    peer_check_s: float = 0.5
    far_check_s: float = 5.0
    join_wait_s: float = 1.0
    alone_s: float = 5.0
    alone_poll_s: float = 30.0
    pull_timeout_s: float = 2.0
    retry_limit_s: float = 5.0
