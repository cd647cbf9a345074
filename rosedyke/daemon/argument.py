"""The daemon's flags and environment variables, as text.

Everything stays text here, so that the check can name every fault at once instead of stopping at
the first value that is no number.
"""

import attrs


@attrs.frozen(kw_only=True)
class Arguments:
    """What the command line and the environment say.

    Attributes
    ----------
    name : str
        Name of this entry instance, unique in its region. Required.
    region : str
        Name of the region. Required.
    data_centre : str
        Name of the data centre where the instance runs. Required.
    data_centres : str
        Names of all data centres of the region, separated by commas. Required: a data centre that
        is cut off must still count when a job is submitted again.
    caller_address : str
        ip:port for callers.
    operator_address : str
        ip:port for operators and the command-line tool; keep it off the callers' network.
    peer_address : str
        ip:port for the other instances.
    seeds : str
        Peer addresses of some other instances, ip:port separated by commas.
    store : str
        URLs of the platform's key-value service, separated by commas.
    store_prefix : str
        Prefix of all keys in the key-value service.
    statsd_address : str
        ip:port of the statsd server; empty sends no metrics.
    statsd_prefix : str
        Prefix of all metrics.
    peer_key_file : str
        File with the key that all instances share. The environment variable ROSEDYKE_PEER_KEY can
        hold the key itself instead; there is no flag for it, because other users see flags.
    log_level : str
        debug, info, warning, error or critical.
    log_format : str
        text or json.
    shutdown_notice_s : str
        Seconds between "not ready" and the end of accepting, for the balancer to notice.
    shutdown_timeout_s : str
        Seconds that a graceful shutdown may take before what still runs is failed.
    max_connections : str
        Open connections of callers.
    max_header_bytes : str
        Request line and headers of one request.
    max_body_bytes : str
        One body.
    max_bodies_bytes : str
        All bodies of requests in progress.
    header_timeout_s : str
        Seconds for a request's headers to arrive.
    body_timeout_s : str
        Seconds for a request's body to arrive.
    idle_timeout_s : str
        Seconds that a connection may stay open between two requests.
    write_timeout_s : str
        Seconds for a caller to take each piece of its answer.
    default_timeout_s : str
        Timeout in seconds of a job that names none.
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
