"""One change of the intent: whole files in, accepted completely or not at all.

A change is one transaction that holds only if nothing was changed since the operator's view.  Its
record lies under the generation that it makes, so reading that one key tells whose change won.
"""

import attrs

from rosedyke import runtime as runtime_module
from rosedyke.configuration import changelog, diagnostic, plan, ports, stored

RETRY_BASE_S = 0.05
RETRY_LIMIT_S = 2.0


@attrs.frozen
class Accepted:
    """The change is in the store at this generation; ``changes`` is empty if all was so before."""

    generation: int
    change_id: str
    changes: tuple[stored.TeamChange, ...]
    warnings: tuple[diagnostic.Diagnostic, ...] = ()


@attrs.frozen
class Rejected:
    """The files have faults; nothing was changed."""

    diagnostics: tuple[diagnostic.Diagnostic, ...]


@attrs.frozen
class Conflict:
    """Another change of the same files came first; nothing was changed.

    Attributes
    ----------
    generation : int
        The newest generation.
    winner : ChangeRecord or None
        The change that won; None if its record is gone from the history.
    difference : tuple of str
        Lines of a unified diff from what is stored now to what was proposed.
    """

    generation: int
    winner: stored.ChangeRecord | None
    difference: tuple[str, ...]


@attrs.frozen
class Unknown:
    """The change was sent, and whether it took effect could not be found out in time."""

    change_id: str
    base_generation: int
    detail: str


@attrs.frozen
class Unreachable:
    """The store could not be reached; nothing was changed."""

    detail: str


Outcome = Accepted | Rejected | Conflict | Unknown | Unreachable


def apply(
    store: ports.Store,
    keys: stored.Keys,
    runtime: runtime_module.Runtime,
    proposal: plan.Proposal,
) -> Outcome:
    """Make the change, or say exactly why not."""
    try:
        seen = stored.read_intent(store, keys)
    except ports.StoreError as error:
        return Unreachable(f"{error.code}: {error}")
    attempt = _Attempt(store, keys, runtime, proposal, seen)
    outcome = None
    while outcome is None:
        outcome = attempt.judge() or attempt.write()
    return outcome


class _Attempt:
    """One run of ``apply``: what was seen last and when to give up."""

    def __init__(self, store, keys, runtime, proposal, seen: stored.Intent):
        self.store: ports.Store = store
        self.keys: stored.Keys = keys
        self.runtime: runtime_module.Runtime = runtime
        self.proposal: plan.Proposal = proposal
        self.seen = seen
        self.first = seen
        self.base = seen.head.generation
        if proposal.seen_generation is not None:
            self.base = proposal.seen_generation
        self.deadline = runtime.now() + proposal.patience_s
        self.delay_s = RETRY_BASE_S
        # A write on top of ``seen`` left and its answer was lost.
        self.is_uncertain = False

    def judge(self) -> Outcome | None:
        """Return the outcome that what is stored settles, None if the change can be written."""
        found = plan.check_against(self.seen, self.proposal)
        if diagnostic.has_errors(found):
            return Rejected(found)
        if not plan.changes_of(self.seen, self.proposal):
            return Accepted(self.seen.head.generation, self.seen.head.change_id, (), found)
        return self.conflict()

    def conflict(self) -> Outcome | None:
        """Return a conflict if the same files were changed after what the operator saw."""
        winner = None
        if self.seen.head.generation > self.base:
            try:
                later = changelog.read(self.store, self.keys, self.base + 1)
            except ports.StoreError as error:
                return Unreachable(f"{error.code}: {error}")
            touching = [
                record
                for record in later
                if any(change.team in self.proposal.teams for change in record.changes)
            ]
            winner = touching[-1] if touching else None
        is_changed = any(
            self.seen.file_revisions.get(team) != self.first.file_revisions.get(team)
            for team in self.proposal.teams
        )
        if winner is None and not is_changed:
            return None
        lines = plan.difference(self.seen, self.proposal)
        return Conflict(self.seen.head.generation, winner, lines)

    def write(self) -> Outcome | None:
        """Send the change until it is answered; None when the set moved on and is read anew."""
        record = plan.record_of(self.seen, self.proposal)
        compares, operations = plan.transaction(self.keys, self.seen, self.proposal, record)
        # The same transaction may be sent again: its condition on the head lets at most one of
        # the copies take effect, also when an earlier one is still on its way.
        while True:
            try:
                if self.store.write(compares, operations):
                    return self.accepted(record)
                return self.lost_the_race(record.generation)
            except ports.StoreOutcomeUnknown as error:
                self.is_uncertain = True
                failure = error
            except ports.StoreRefused as error:
                return self.give_up(error)
            except ports.StoreError as error:
                failure = error
            if not self.pause():
                return self.give_up(failure)

    def lost_the_race(self, generation: int) -> Outcome | None:
        """Read whose change made the generation; it may be an earlier copy of this one."""
        while True:
            failure: Exception = ports.StoreError("the store answers with an old revision")
            try:
                history = changelog.read(self.store, self.keys, generation)
                if history:
                    if history[0].change_id == self.proposal.change_id:
                        return self.accepted(history[0])
                    # Another change holds the generation: no copy of this one can take effect.
                    self.is_uncertain = False
                    newer = stored.read_intent(self.store, self.keys)
                    if newer.head.generation >= generation:
                        self.seen = newer
                        return None
            except ports.StoreError as error:
                failure = error
            if not self.pause():
                return self.give_up(failure)

    def accepted(self, record: stored.ChangeRecord) -> Accepted:
        """Return the outcome of a change that is in the store."""
        warnings = plan.check_against(self.seen, self.proposal)
        return Accepted(record.generation, record.change_id, record.changes, warnings)

    def give_up(self, failure: Exception) -> Outcome:
        """Return the truth after the last failure: unknown only if a write may take effect."""
        detail = f"{getattr(failure, 'code', 'error')}: {failure}"
        if self.is_uncertain:
            return Unknown(self.proposal.change_id, self.seen.head.generation, detail)
        return Unreachable(detail)

    def pause(self) -> bool:
        """Wait a growing, jittered time; false when the patience is at its end."""
        left_s = self.deadline - self.runtime.now()
        if left_s <= 0:
            return False
        self.runtime.sleep(min(left_s, self.delay_s * (0.5 + self.runtime.random())))
        self.delay_s = min(RETRY_LIMIT_S, self.delay_s * 2)
        return True
