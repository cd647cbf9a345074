"""Settings of dispatch, passed whole to its parts."""

import attrs


@attrs.frozen
class DispatchSettings:
    """How tasks are placed, queued and retried.

    Attributes
    ----------
    shard_servers : int
        Backend servers that one owner schedules; larger services are split by hash.
    request_timeout_s : float
        How long a holder waits for the owner's reply before it asks again.
    aging : float
        Seconds of a job's remaining time that one second of waiting outweighs in the queue.
    tick_s : float
        How often an owner looks again at tasks that wait for a busy faster server.
    idle_tick_s : float
        The same while none of the own pools has a lease or a waiting task.
    lease_margin_s : float
        How long a slot stays reserved beyond the job's deadline if nobody releases it.
    retry_share : float
        Tasks that may be sent again, as a share of the tasks sent.
    retry_burst : int
        Tasks that may be sent again before the share counts.
    retry_delay_s : float
        Mean delay, with jitter, before a task that did not start is queued again.
    eject_after : int
        Failures in a row that eject a server.
    late_factor : float
        A task without an answer for so many times its expected run time counts as a failure of
        the server; a shorter one was only sent too late.
    eject_s, eject_limit_s : float
        The first ejection's time, doubled with each further one up to the limit.
    eject_share : float
        Servers of a pool that may be ejected at one time; when more fail, the fault is more
        likely in the tasks than in the servers.
    refused_s, refused_limit_s : float
        How long a server that did not start a task gets no other, doubled up to the limit.
    avoid_s : float
        How long a pool whose owner did not answer gets no new work from here.
    report_s : float
        How long an owner repeats a report before it works out a new one.
    advertise_s : float
        How often an owner renews the reports that the membership carries.
    refusal_retry_s : float
        The least time after which a refused job may be tried again.
    timeout_share : float
        A job is refused when it is expected to take more than this share of its timeout.
    late_s : float
        A grant that took longer from its owner is not used.
    settle_s : float
        How long after a holder is lost nothing of it can still start; more than ``late_s``.
    started_s : float
        How long after a grant its task has reached the server.
    permit_s : float
        How long an owner may use the servers of another data centre after asking a member there.
    permit_renewal_s : float
        How often it asks again.
    recover_retry_s : float
        How often a new owner asks a member again that did not answer.
    probe_timeout_s : float
        How long a server may take to say how many tasks run.
    probe_s, probe_limit_s : float
        How often a server with slots of unknown use is asked, doubled up to the limit.
    audit_s : float
        Age of a lease, and three times its expected run time, after which its holder is asked
        whether the grant has arrived, and its server whether the task runs.
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
