"""Settings of dispatch."""

import attrs


@attrs.frozen
class DispatchSettings:
    """How tasks are placed, queued and retried.

    Attributes
    ----------
    shard_servers : int
        Target number of backend servers in a shard; larger services are split by hash.
    request_timeout_s : float
        Timeout of requests between instances.
    aging : float
        Seconds of remaining work that one second of waiting offsets in the queue order.
    tick_s : float
        Interval at which an owner runs its scheduling loop while a pool is busy.
    idle_tick_s : float
        The same while none of its pools has a lease or a waiting task.
    lease_margin_s : float
        Time after the job's deadline at which an unreleased lease expires.
    retry_share : float
        Retries allowed per task sent.
    retry_burst : int
        Maximum number of unused retries that may accumulate.
    retry_delay_s : float
        Mean delay, with jitter, before a task that did not start is requeued.
    eject_after : int
        Consecutive failures after which a server is ejected.
    late_factor : float
        A task that timed out counts as a server failure only if it ran for at least this
        multiple of its expected run time; otherwise it was sent too close to its deadline.
    eject_s, eject_limit_s : float
        Duration of the first ejection, doubled for each further one up to the limit.
    eject_share : float
        Maximum share of a pool's servers ejected at the same time; if more fail, the tasks are
        more likely at fault than the servers.
    refused_s, refused_limit_s : float
        Time for which a server that did not start a task gets no other, doubled for each
        consecutive refusal up to the limit.
    avoid_s : float
        Time for which this instance sends no new work to a pool whose owner did not reply.
    report_s : float
        Time for which an owner caches a report.
    advertise_s : float
        Interval at which an owner updates its reports in the membership's probes.
    refusal_retry_s : float
        Minimum ``Retry-After`` of a refused job.
    timeout_share : float
        A job whose expected duration exceeds this share of its timeout is refused.
    late_s : float
        Maximum message delay of a grant; a later one is not used.
    settle_s : float
        Time after the loss of a holder by which its last task has started; more than ``late_s``.
    started_s : float
        Time after a grant by which its task has reached the server.
    permit_s : float
        Validity of a permit to use the servers of another data centre.
    permit_renewal_s : float
        Interval at which an owner renews its permits.
    recover_retry_s : float
        Interval at which a new owner retries a member that did not reply.
    probe_timeout_s : float
        Timeout of a probe.
    probe_s, probe_limit_s : float
        Interval between probes of a server with orphaned slots, doubled up to the limit.
    audit_s : float
        Minimum age at which a lease is audited, if it is also older than three times its
        expected run time: its holder confirms the grant and its server is probed for the task.
    """

    shard_servers: int = 64
    request_timeout_s: float = 0.5
    aging: float = 0.1
    tick_s: float = 0.02
    idle_tick_s: float = 0.1
    lease_margin_s: float = 0.5
    retry_share: float = 0.1
    retry_burst: int = 100
    retry_delay_s: float = 0.01
    eject_after: int = 3
    late_factor: float = 3.0
    eject_s: float = 1.0
    eject_limit_s: float = 30.0
    eject_share: float = 0.34
    refused_s: float = 0.05
    refused_limit_s: float = 2.0
    avoid_s: float = 2.0
    report_s: float = 0.02
    advertise_s: float = 0.1
    refusal_retry_s: float = 0.5
    timeout_share: float = 0.9
    late_s: float = 1.0
    settle_s: float = 1.2
    started_s: float = 0.1
    permit_s: float = 1.0
    permit_renewal_s: float = 0.3
    recover_retry_s: float = 0.1
    probe_timeout_s: float = 0.5
    probe_s: float = 0.05
    probe_limit_s: float = 2.0
    audit_s: float = 2.0
