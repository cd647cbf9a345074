"""The daemon's flags and environment variables, as text.

The values are parsed by ``daemon.settings``, which reports all invalid settings at once.
"""

import attrs


@attrs.frozen(kw_only=True)
class Arguments:
    """Unparsed settings from the command line and the environment.

    Attributes
    ----------
    name : str
        Name of this entry instance, unique in its region. Required.
    region : str
        Name of the region. Required.
    data_centre : str
        Name of the data centre where the instance runs. Required.
    data_centres : str
        Names of all data centres of the region, separated by commas. Required, because
        unreachable data centres must be taken into account when a job is submitted again.
    caller_address : str
        ip:port for callers.
    operator_address : str
        ip:port for operators and the command-line tool; must not be reachable by callers.
    peer_address : str
        ip:port for the other instances.
    seeds : str
        Peer addresses (ip:port) of some other instances, separated by commas.
    store : str
        URLs of the platform's key-value service, separated by commas.
    store_prefix : str
        Prefix of all keys in the key-value service.
    statsd_address : str
        ip:port of the statsd server; if empty, no metrics are sent.
    statsd_prefix : str
        Prefix of all metrics.
    peer_key_file : str
        File with the key that all instances share. Alternatively the environment variable
        ROSEDYKE_PEER_KEY holds the key itself; there is no flag for the key, because other users
        of the machine can read the flags of a process.
    log_level : str
        debug, info, warning, error or critical.
    log_format : str
        text or json.
    shutdown_notice_s : str
        Seconds between reporting "not ready" and refusing jobs, so that the load balancer can
        react.
    shutdown_timeout_s : str
        Maximum seconds of a graceful shutdown after the notice; jobs that still run about 3 s
        before its end are failed.
    max_connections : str
        Maximum number of open connections from callers.
    max_header_bytes : str
        Maximum size of the request line and headers of a request.
    max_body_bytes : str
        Maximum size of a request body.
    max_bodies_bytes : str
        Maximum total size of the bodies of all requests in progress.
    header_timeout_s : str
        Seconds for a request's headers to arrive.
    body_timeout_s : str
        Seconds for a request's body to arrive.
    idle_timeout_s : str
        Seconds that a connection may stay open between two requests.
    write_timeout_s : str
        Seconds for a caller to receive each chunk of its response.
    default_timeout_s : str
        Timeout in seconds of a job without its own timeout.
    """

    name: str = ""
    region: str = ""
    data_centre: str = ""
    data_centres: str = ""
    caller_address: str = "127.0.0.1:8080"
    operator_address: str = "127.0.0.1:8081"
    peer_address: str = "127.0.0.1:8082"
    seeds: str = ""
    store: str = "http://127.0.0.1:2379"
    store_prefix: str = "/rosedyke/"
    statsd_address: str = ""
    statsd_prefix: str = "rosedyke"
    peer_key_file: str = ""
    log_level: str = "info"
    log_format: str = "text"
    shutdown_notice_s: str = "1"
    shutdown_timeout_s: str = "60"
    max_connections: str = "2000"
    max_header_bytes: str = "16384"
    max_body_bytes: str = "4194304"
    max_bodies_bytes: str = "33554432"
    header_timeout_s: str = "5"
    body_timeout_s: str = "10"
    idle_timeout_s: str = "75"
    write_timeout_s: str = "10"
    default_timeout_s: str = "30"
