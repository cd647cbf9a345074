"""Counts answers against the service-level objectives (SLOs) in the configuration."""

from rosedyke import runtime
from rosedyke.configuration import ports
from rosedyke.job import answer, code
from rosedyke.observe import burn_rate

# Answers caused by the caller's request do not count against the objective.
NOT_COUNTED = frozenset(
    {
        code.Code.MALFORMED,
        code.Code.TOO_LARGE,
        code.Code.TOO_MANY_TASKS,
        code.Code.INVALID_FIELD,
        code.Code.CALLER_TOO_SLOW,
        code.Code.UNKNOWN_SERVICE,
        code.Code.UNKNOWN_TASK,
        code.Code.CAN_NEVER_RUN,
        code.Code.OTHER_BODY,
        code.Code.ATTEMPT_CLOSED,
        code.Code.TOO_OLD,
        code.Code.CANCELLED,
    }
)


def outcome_of(
    final_answer: answer.Answer, elapsed_s: float, response_s: float
) -> burn_rate.Outcome | None:
    """Return the outcome of an answer for the objective, None if it is not counted."""
    if final_answer.code in NOT_COUNTED:
        return None
    if final_answer.is_complete:
        return burn_rate.Outcome.GOOD if elapsed_s <= response_s else burn_rate.Outcome.LATE
    if final_answer.ran is answer.Ran.NO:
        return burn_rate.Outcome.REFUSED
    if final_answer.ran is answer.Ran.UNKNOWN:
        return burn_rate.Outcome.UNKNOWN
    return burn_rate.Outcome.FAILED


class SloRecorder:
    """Outcome counters of each configured service.

    Parameters
    ----------
    clock : Runtime
        Provides the time.
    current : ConfigurationSource
        Provides the configuration in force, with the objectives.
    """

    def __init__(self, clock: runtime.Runtime, current: ports.ConfigurationSource):
        self.clock = clock
        self.current = current
        self.started_at = clock.now()
        self.counters: dict[str, burn_rate.WindowCounters] = {}
        current.subscribe(self._drop_removed_services)

    def record(self, service: str, final: answer.Answer, seconds: float) -> None:
        """Count an answer that was given ``seconds`` after the request arrived."""
        configuration = self.current.configuration
        configured_service = configuration.service(service) if configuration else None
        # Counting unknown service names would let callers use unbounded memory.
        if configured_service is None:
            return
        outcome = outcome_of(final, seconds, configured_service.objective.response_s)
        if outcome is None:
            return
        if service not in self.counters:
            self.counters[service] = burn_rate.WindowCounters()
        self.counters[service].add(self.clock.now(), outcome)

    def counts(self, instance: str, data_centre: str) -> burn_rate.InstanceCounts:
        """Return the outcome counts of all services."""
        now = self.clock.now()
        configuration = self.current.configuration
        services = []
        for name in sorted(self.counters):
            objective = configuration.service(name).objective
            totals = self.counters[name].totals(now)
            services.append(
                burn_rate.ServiceCounts(name, objective.share, objective.response_s, totals)
            )
        generation = configuration.generation if configuration else 0
        return burn_rate.InstanceCounts(
            instance, data_centre, generation, now - self.started_at, tuple(services)
        )

    def _drop_removed_services(self, configuration):
        for name in list(self.counters):
            if configuration.service(name) is None:
                del self.counters[name]
