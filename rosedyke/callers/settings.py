"""Limits of the callers' interface, so that no caller can exhaust the instance."""

import attrs

MAX_TASKS = 300


@attrs.frozen
class CallersSettings:
    """Limits that hold for every caller, whatever service it asks for.

    Attributes
    ----------
    address : str
        ``ip:port`` to listen on; port 0 lets the kernel choose.
    max_connections : int
        Open connections; one more is answered with ``overloaded`` and closed.
    max_header_bytes : int
        Request line and headers together.
    max_body_bytes : int
        One body.
    max_bodies_bytes : int
        All bodies of requests in progress together.
    header_timeout_s : float
        From a request's first byte to the end of its headers, and from the accepted connection to
        its first byte.
    body_timeout_s : float
        From the end of the headers to the end of the body.
    idle_timeout_s : float
        Between two requests on one connection.
    write_timeout_s : float
        For a caller to take each piece of its answer.
    default_timeout_s : float
        A job's timeout where the caller names none.
    unknown_age_s : float
        The age of a job whose caller states none: the oldest that is looked up, so that no death
        that could have taken its first run along is overlooked.
    """

    address: str = "127.0.0.1:8080"
    max_connections: int = 2_000
    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    max_bodies_bytes: int = 32 * 1024 * 1024
    header_timeout_s: float = 5.0
    body_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0
    write_timeout_s: float = 10.0
    default_timeout_s: float = 30.0
    unknown_age_s: float = 60.0
