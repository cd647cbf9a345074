"""What an owner has learned about queues and servers, and its takeover by a successor.

Load: an owner is lost, or hands its pool over, during an overload.  Without this state the
successor would refuse jobs by estimates that are known to be wrong, and start tasks on servers on
which all runs fail.
"""

from collections.abc import Mapping

import attrs
import msgspec

from rosedyke.observe import event, metric
from rosedyke.rerunnable_jobs import completions, events, messages, metrics
from rosedyke.scheduling import run_times

# A quantile counts as changed if it differs by this share from the one last reported.
RATIO_CHANGE = 0.1
# The state gets a new version at most this often, so that replies to renewals stay small.
VERSION_INTERVAL_S = 2.0
MS_PER_S = 1000


@attrs.frozen
class ReceivedState:
    """A learned state as received, with bounded values.

    Attributes
    ----------
    run_time_ratios : Mapping of str to RatioQuantiles
        Ratios of run time to estimate, by queue.
    suspended_until : Mapping of str to float
        When the suspension of each server ends, on the local clock.
    """

    run_time_ratios: Mapping[str, run_times.RatioQuantiles]
    suspended_until: Mapping[str, float]


def receive(state: messages.LearnedState, now: float) -> ReceivedState:
    """Return a state that has just arrived; no suspension is longer than a whole one."""
    whole_ms = completions.SUSPENSION_S * MS_PER_S
    return ReceivedState(
        {queue: quantiles.bounded() for queue, quantiles in state.run_time_ratios.items()},
        {
            server_id: now + min(remaining_ms, whole_ms) / MS_PER_S
            for server_id, remaining_ms in state.suspended.items()
            if remaining_ms > 0
        },
    )


class LearnedStateBuilder:
    """Builds the learned state of one owner.

    Parameters
    ----------
    owner : PoolOwner
        The owner of the pool.

    Attributes
    ----------
    version : int
        Version of the reported state, 0 before the first.
    run_time_ratios, suspended_until : dict
        The reported state.
    changed_at, ratios_checked_at : float
        When the version last increased, and when the ratios were last checked for changes.
    """

    def __init__(self, owner):
        self.owner = owner
        self.version = 0
        self.run_time_ratios: dict[str, run_times.RatioQuantiles] = {}
        self.suspended_until: dict[str, float] = {}
        self.changed_at = self.ratios_checked_at = float("-inf")

    def current(self) -> messages.LearnedState | None:
        """Return the present state, None if this instance shares none."""
        if not self.owner.timing.predicts_completion:
            return None
        now = self.owner.runtime.now()
        return messages.LearnedState(
            self.version, self.owner.run_times.export(), _remaining(self._suspensions(now), now)
        )

    def reported(self) -> messages.LearnedState | msgspec.UnsetType:
        """Return the state of the last version, UNSET before the first; update the version."""
        if not self.owner.timing.predicts_completion:
            return msgspec.UNSET
        now = self.owner.runtime.now()
        if now - self.changed_at >= VERSION_INTERVAL_S:
            self._update(now)
        if not self.version:
            return msgspec.UNSET
        return messages.LearnedState(
            self.version, self.run_time_ratios, _remaining(self.suspended_until, now)
        )

    def _update(self, now):
        suspensions = self._suspensions(now)
        is_changed = any(
            until > self.suspended_until.get(server_id, now)
            for server_id, until in suspensions.items()
        )
        ratios = None
        if is_changed or now - self.ratios_checked_at >= VERSION_INTERVAL_S:
            self.ratios_checked_at = now
            ratios = self.owner.run_times.export()
            is_changed = is_changed or any(
                quantiles.differs_from(self.run_time_ratios.get(queue), RATIO_CHANGE)
                for queue, quantiles in ratios.items()
            )
        if is_changed:
            self.version, self.changed_at = self.version + 1, now
            self.run_time_ratios, self.suspended_until = ratios, suspensions

    def _suspensions(self, now):
        return {
            server_id: state.failing_until
            for server_id, state in self.owner.server_states.items()
            if state.failing_until > now
        }


def _remaining(suspended_until, now):
    """Return the remaining milliseconds of each suspension that is not over."""
    return {
        server_id: round((until - now) * MS_PER_S)
        for server_id, until in suspended_until.items()
        if until > now
    }


def take_over(owner, received: ReceivedState) -> None:
    """Let a new owner use what its predecessor learned.

    At most half of the pool's servers stay suspended, those that were suspended last, so that a
    wrong state leaves the pool usable.
    """
    now = owner.runtime.now()
    queues = owner.run_times.import_quantiles(received.run_time_ratios)
    suspensions = sorted(
        (
            (until, server_id)
            for server_id, until in received.suspended_until.items()
            if until > now and server_id in owner.server_states
        ),
        reverse=True,
    )[: len(owner.server_states) // 2]
    for until, server_id in suspensions:
        owner.server_states[server_id].suspend_for_failures(until)
    if not queues and not suspensions:
        return
    metric.count(metrics.SUSPENSIONS_TAKEN_OVER, len(suspensions))
    event.log(
        events.LEARNED_STATE_TAKEN_OVER,
        pool=owner.name,
        queues=len(queues),
        suspended=sorted(server_id for _, server_id in suspensions),
    )
