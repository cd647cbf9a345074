"""The bounds that jobs and claims are kept within."""

import attrs


@attrs.frozen
class JobSettings:
    """Bounds in seconds, counts and bytes.

    Attributes
    ----------
    data_centres : tuple of str
        The region's data centres.  One that has no reachable instance still counts: a claim
        could be held there, so a resubmission is never run without asking it.
    max_age_s : float
        The oldest resubmission that is looked up; an older one is ``too_old``.
    claim_life_s : float
        How long a claim is kept.  Longer than ``max_age_s`` by more than a request can wait in
        the network, so that no attempt outlives the record that stops it.
    age_slack_s : float
        Added to a stated age for the time that the request was on its way.
    repeat_s : float
        How late a copy of a first attempt may arrive that a balancer or the network repeats; a
        first attempt states no age.  Balancers that repeat a request do so after a failed
        connection, within a second or two.
    max_claims : int
        Claims that a registrar holds; beyond it new ones are refused, old ones never evicted.
    silence_s : float
        A registrar that doesn't answer for this long is silent.
    retry_delay_s : float
        Pause before a claim is tried again, before jitter.
    settle_s : float
        How long a resubmission waits for registrars that are silent or not yet authoritative.
    attach_poll_s : float
        How long a holder keeps a question for a running job before it says "still running".
    kept_answers_s : float
        How long a final answer is kept for resubmissions.
    kept_answer_bytes : int
        Bytes of results kept over all answers.
    answer_margin_s : float
        How long before the caller's timeout the final answer is decided, so that it arrives even
        if the loop stands still then, as in a full garbage collection; at most a tenth of the
        timeout.
    pause_bound_s : float
        An instance whose loop stood still for longer may be dead to its peers.  Less than the
        time in which the membership declares a silent instance dead.
    pause_clear_s : float
        After a pause that the membership didn't notice, how long the instance must be counted
        alive before it sends again.  Longer than it takes peers to declare it dead.
    pulse_s : float
        Interval in which the loop proves that it runs.
    transfer_batch : int
        Claims in one message to a new registrar.
    transfer_bytes : int
        Bytes of answers in one message to an instance that keeps them from now on.
    transfer_slice : int
        Claims looked at before other tasks get their turn.  Ranking all claims at once would
        hold the loop for seconds, and the peers would take the instance for dead.
    transfer_timeout_s : float
        Time for one such message to be answered.
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
