"""Settings of the gateways to outside systems."""

import attrs


@attrs.frozen
class StoreSettings:
    """How to reach the platform's key-value service.

    Attributes
    ----------
    endpoints : tuple of str
        URLs; the first that answers is used.
    connect_timeout_s : float
        For a new connection to one endpoint.
    timeout_s : float
        For one call on one endpoint.
    watch_idle_s : float
        A watch that says nothing for so long is taken as silent and opened anew.
    backoff_base_s : float
        How long an endpoint is left alone after its first failure.
    backoff_limit_s : float
        How long at most.
    """

    endpoints: tuple[str, ...] = ("http://127.0.0.1:2379",)
    connect_timeout_s: float = 1.0
    timeout_s: float = 5.0
    watch_idle_s: float = 60.0
    backoff_base_s: float = 0.2
    backoff_limit_s: float = 5.0


@attrs.frozen
class BackendSettings:
    """How backend servers are reached.

    Attributes
    ----------
    connect_timeout_s : float
        A server that accepts no connection in this time was not reached.
    reuse_limit_s : float
        A connection that was idle for longer gets no task; a new one is made in its place.
    silent_limit_s : float
        Unacknowledged bytes, or unanswered keepalive probes, for this long break a connection.
    max_result_bytes : int
        A larger answer fails the task.
    """

    connect_timeout_s: float = 1.0
    reuse_limit_s: float = 2.0
    silent_limit_s: float = 10.0
    max_result_bytes: int = 4 * 1024 * 1024
