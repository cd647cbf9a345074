"""Counts answers against the objectives in the operators' files."""

from rosedyke import runtime
from rosedyke.configuration import ports
from rosedyke.job import answer, code
from rosedyke.observe import burn_rate

# The caller's own doing: mending the service would not have changed these answers.
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


def outcome_of(final: answer.Answer, seconds: float, response_s: float) -> burn_rate.Outcome | None:
    """Return what an answer means for an objective, None if it doesn't count."""
    if final.code in NOT_COUNTED:
        return None
    if final.is_complete:
        return burn_rate.Outcome.GOOD if seconds <= response_s else burn_rate.Outcome.LATE
    if final.ran is answer.Ran.NO:
        return burn_rate.Outcome.REFUSED
    if final.ran is answer.Ran.UNKNOWN:
        return burn_rate.Outcome.UNKNOWN
    return burn_rate.Outcome.FAILED


class Recorder:
    """One ledger for each configured service.

    Parameters
    ----------
    clock : Runtime
        Tells the time.
    current : Current
        The configuration in force, with the objectives.
    """

    def __init__(self, clock: runtime.Runtime, current: ports.Current):
        self.clock = clock
        self.current = current
        self.started = clock.now()
        self.ledgers: dict[str, burn_rate.WindowCounters] = {}
        current.subscribe(self._forget_removed)

    def record(self, service: str, final: answer.Answer, seconds: float) -> None:
        """Count one answer that took ``seconds`` from arrival."""
        configuration = self.current.configuration
        found = configuration.service(service) if configuration else None
        # Names that callers make up would otherwise fill the memory.
        if found is None:
            return
        outcome = outcome_of(final, seconds, found.objective.response_s)
        if outcome is None:
            return
        if service not in self.ledgers:
            self.ledgers[service] = burn_rate.WindowCounters()
        self.ledgers[service].add(self.clock.now(), outcome)

    def counts(self, instance: str, data_centre: str) -> burn_rate.InstanceCounts:
        """Return everything counted so far."""
        now = self.clock.now()
        configuration = self.current.configuration
        services = []
        for name in sorted(self.ledgers):
            objective = configuration.service(name).objective
            totals = self.ledgers[name].totals(now)
            services.append(
                burn_rate.ServiceCounts(name, objective.share, objective.response_s, totals)
            )
        generation = configuration.generation if configuration else 0
        return burn_rate.InstanceCounts(
            instance, data_centre, generation, now - self.started, tuple(services)
        )

    def _forget_removed(self, configuration):
        for name in list(self.ledgers):
            if configuration.service(name) is None:
                del self.ledgers[name]
