"""Settings of job and claim handling."""

import attrs


@attrs.frozen
class JobSettings:
    """Timeouts in seconds, and limits in counts and bytes.

    Attributes
    ----------
    data_centres : tuple of str
        The region's data centres.  A resubmission is claimed in each, even in one without a
        reachable instance, as its job could be claimed there.
    max_age_s : float
        Maximum age of a resubmission; an older one is answered ``too_old``.
    claim_life_s : float
        How long a claim is kept.  Exceeds ``max_age_s`` by more than the longest network delay
        of a request, so that every attempt that is not too old finds the claim.
    age_slack_s : float
        Added to the stated age of a request to cover its network delay.
    repeat_s : float
        How late a duplicate of a first attempt may arrive, which states no age.  Load balancers
        repeat a request after a failed connection, within a second or two.
    max_claims : int
        Maximum claims of a registrar; beyond it new ones are refused, none is evicted.
    silence_s : float
        Timeout of a request to a registrar.
    retry_delay_s : float
        Delay before a claim is retried, before jitter.
    settle_s : float
        How long claiming is retried while registrars are unresponsive or not yet authoritative.
    attach_poll_s : float
        Long-poll timeout of a request for the answer of a running job.
    kept_answers_s : float
        Retention of final answers for resubmissions.
    kept_answer_bytes : int
        Maximum total size of cached answers.
    answer_margin_s : float
        How long before the caller's timeout the job is ended, so that the answer arrives in time
        even after a short process pause, as in a full garbage collection.  Capped at a tenth of
        the timeout.
    pause_bound_s : float
        Length of a process pause above which the instance fences itself.  Shorter than the time
        after which the membership declares an unresponsive instance dead.
    pause_clear_s : float
        After a pause that the membership did not detect, how long until the fence opens again.
        Longer than peers take to declare an instance dead.
    pulse_s : float
        Interval of the event loop's heartbeat.
    transfer_batch : int
        Maximum claims in one message to a new registrar.
    transfer_bytes : int
        Maximum bytes of answers in one message of a handover.
    transfer_slice : int
        Claims processed before the loop yields to other tasks.  Ranking all claims at once would
        block the loop for seconds, and peers would declare the instance dead.
    transfer_timeout_s : float
        Timeout of a message that transfers claims, releases or answers.
    """

    data_centres: tuple[str, ...] = ()
    max_age_s: float = 60.0
    claim_life_s: float = 120.0
    age_slack_s: float = 1.0
    repeat_s: float = 2.0
    max_claims: int = 250_000
    silence_s: float = 0.03
    retry_delay_s: float = 0.02
    settle_s: float = 4.0
    attach_poll_s: float = 1.0
    kept_answers_s: float = 90.0
    kept_answer_bytes: int = 32 * 1024 * 1024
    answer_margin_s: float = 0.05
    pause_bound_s: float = 0.8
    pause_clear_s: float = 3.0
    pulse_s: float = 0.2
    transfer_batch: int = 500
    transfer_bytes: int = 1024 * 1024
    transfer_slice: int = 200
    transfer_timeout_s: float = 1.0
