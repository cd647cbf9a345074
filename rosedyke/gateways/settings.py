"""Settings of the gateways to outside systems."""

import attrs


@attrs.frozen
class BackendSettings:
    """How backend servers are reached.

    Attributes
    ----------
    connect_timeout_s : float
        A server that accepts no connection in this time was not reached.
    proof_after_s : float
        A connection idle for longer is proved by a cheap request before a task goes on it.
    proof_timeout_s : float
        How long that request may take.
    idle_limit_s : float
        A connection idle for longer is closed.
    silent_limit_s : float
        Unacknowledged bytes, or unanswered keepalive probes, for this long break a connection.
    max_result_bytes : int
        A larger answer fails the task.
    """

    connect_timeout_s: float = 1.0
    proof_after_s: float = 2.0
    proof_timeout_s: float = 0.25
    idle_limit_s: float = 60.0
    silent_limit_s: float = 10.0
    max_result_bytes: int = 4 * 1024 * 1024
