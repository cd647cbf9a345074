"""An adaptive limit on the jobs that an instance holds at a time.

Load: callers send more jobs than the instance's link or its share of a processor carries.  Without
a limit all jobs are delayed until none is in time.  The limit increases additively while the delay
that the instance itself adds is short, and decreases multiplicatively while it is long.
"""

import attrs

# The limit of an instance that has just started.
INITIAL_JOBS = 64.0
# A small instance serves some ten jobs a second, each in up to half a second.  A lower limit would
# refuse jobs whenever its event loop is slow, although they would still be answered in useful time.
MIN_JOBS = 12.0
# Below this delay the limit increases: a tenth of the objective of the most urgent jobs (0.16 s).
SHORT_DELAY_S = 0.02
# Above this delay it decreases: a third of that objective.
LONG_DELAY_S = 0.05
DECREASE_FACTOR = 0.7
# The effect of a decrease is seen only once the jobs that were held before it have ended.
DECREASE_INTERVAL_S = 0.2
# The limit increases with each arriving job while more than this share of it is used, so that it
# does not grow without bound while few jobs arrive.
USED_SHARE = 0.7
# Greater than 1 / 0.8, so that the smallest share of the limit at which ``door`` refuses jobs grows
# faster than the jobs held: with short delays the limit never binds.
INCREASE_JOBS = 2.0


@attrs.frozen
class JobLimit:
    """The limit on the jobs held.

    Attributes
    ----------
    jobs : float
        The limit.
    decreased_at : float
        When it was last decreased.
    """

    jobs: float = INITIAL_JOBS
    decreased_at: float = float("-inf")


def adapt(limit: JobLimit, jobs_held: int, delay_s: float, now: float) -> JobLimit:
    """Return the limit that applies to a job that arrives now.

    Parameters
    ----------
    jobs_held : int
        Jobs held without the arriving one.
    delay_s : float
        Delay that the instance itself adds: the backlog of its link or the delay of its event loop.
    """
    if delay_s < SHORT_DELAY_S:
        if jobs_held < USED_SHARE * limit.jobs:
            return limit
        return JobLimit(limit.jobs + INCREASE_JOBS, limit.decreased_at)
    # With so few jobs the delay has another cause, such as the start commands of owned pools.
    is_cause = jobs_held >= MIN_JOBS
    is_due = now - limit.decreased_at >= DECREASE_INTERVAL_S
    if delay_s > LONG_DELAY_S and is_cause and is_due:
        # What the instance holds is too much, however far below the limit that is.
        used_jobs = min(limit.jobs, jobs_held)
        return JobLimit(max(MIN_JOBS, DECREASE_FACTOR * used_jobs), now)
    return limit
