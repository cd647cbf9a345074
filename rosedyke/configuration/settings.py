"""Settings of the distribution of generations."""

import attrs

from rosedyke.configuration import storage


@attrs.frozen
class DistributionSettings:
    """Intervals and timeouts for obtaining a newer generation.

    Attributes
    ----------
    keys : Keys
        Keys of the intent in the store.
    watchers : int
        Number of instances per data centre that read the store.
    poll_s : float
        Interval of a watcher's reads; bounds the delay if the watch is unresponsive.
    full_read_s : float
        Interval of reads of the complete list of backend servers, which detect removed entries.
    peer_check_s : float
        Interval of checks of the versions that peers advertise.
    far_check_s : float
        Interval of a watcher's pulls from an instance of another data centre.
    join_wait_s : float
        Time that a starting instance waits for peers before it relies on the store alone.
    alone_s : float
        Time without a configuration after which an instance that is no watcher reads the store.
    alone_poll_s : float
        Interval of these reads.
    pull_timeout_s : float
        Timeout of one request to a peer.
    retry_limit_s : float
        Maximum backoff between attempts to reach the store.
    """

    keys: storage.Keys = storage.Keys()
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
