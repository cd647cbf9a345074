"""Limits of the callers' API, so that no caller can exhaust the instance's resources."""

import attrs

MAX_TASKS = 300


@attrs.frozen
class CallersSettings:
    """Limits that apply to every caller, independent of the service.

    Attributes
    ----------
    address : str
        ``ip:port`` to listen on; port 0 lets the kernel choose.
    max_connections : int
        Open connections; further ones are answered with ``overloaded`` and closed.
    max_header_bytes : int
        Size of the request line and headers.
    max_body_bytes : int
        Size of one request body.
    max_bodies_bytes : int
        Total size of the bodies of all requests in progress.
    header_timeout_s : float
        From a request's first byte to the end of its headers, and from the accepted connection to
        its first byte.
    body_timeout_s : float
        From the end of the headers to the end of the body.
    idle_timeout_s : float
        Between two requests on one connection.
    write_timeout_s : float
        For a caller to receive each chunk of a response.
    default_timeout_s : float
        Timeout of a job whose caller sets none.
    unknown_age_s : float
        Assumed age of a job whose caller sends none: the maximum, so that the lookup covers every
        instance failure since the job may first have run.
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
