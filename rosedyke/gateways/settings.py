"""Settings of the clients of external systems."""

import attrs


@attrs.frozen
class StoreSettings:
    """Settings of the client of the platform's key-value service.

    Attributes
    ----------
    endpoints : tuple of str
        URLs, tried in this order.
    connect_timeout_s : float
        Timeout for connecting to an endpoint.
    timeout_s : float
        Timeout of a call to an endpoint.
    watch_idle_s : float
        A watch that receives nothing for this long is closed and opened again.
    backoff_base_s : float
        Backoff of an endpoint after its first failure.
    backoff_limit_s : float
        Maximum backoff.
    """

    endpoints: tuple[str, ...] = ("http://127.0.0.1:2379",)
    connect_timeout_s: float = 1.0
    timeout_s: float = 5.0
    watch_idle_s: float = 60.0
    backoff_base_s: float = 0.2
    backoff_limit_s: float = 5.0


@attrs.frozen
class BackendSettings:
    """Settings of the client of backend servers.

    Attributes
    ----------
    connect_timeout_s : float
        Timeout for connecting to a server.
    reuse_limit_s : float
        A connection that was idle for longer is replaced by a new one.
    silent_limit_s : float
        Time after which unacknowledged data or keepalive probes close a connection.
    max_result_bytes : int
        Maximum size of a response; a larger one fails the task.
    """

    connect_timeout_s: float = 1.0
    reuse_limit_s: float = 2.0
    silent_limit_s: float = 10.0
    max_result_bytes: int = 4 * 1024 * 1024
