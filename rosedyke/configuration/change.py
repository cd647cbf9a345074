"""Applies a change of the intent atomically.

A change is one transaction, conditional on the head being unchanged since it was read.  Its record
is stored under the new generation, so that reading this key tells which of two changes succeeded.
"""

import attrs

from rosedyke import runtime as runtime_module
from rosedyke.configuration import changelog, diagnostic, plan, ports, storage

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0


@attrs.frozen
class Accepted:
    """The change is stored at this generation; ``changes`` is empty if it had no effect."""

    generation: int
    change_id: str
    changes: tuple[storage.TeamChange, ...]
    warnings: tuple[diagnostic.Diagnostic, ...] = ()


@attrs.frozen
class Rejected:
    """The files have errors; nothing was changed."""

    diagnostics: tuple[diagnostic.Diagnostic, ...]


@attrs.frozen
class Conflict:
    """A concurrent change of the same files was accepted first; nothing was changed.

    Attributes
    ----------
    generation : int
        The newest generation.
    winner : ChangeRecord or None
        The change accepted first; None if the history no longer has its record.
    difference : tuple of str
        Lines of a unified diff from the stored files to the proposed ones.
    """

    generation: int
    winner: storage.ChangeRecord | None
    difference: tuple[str, ...]


@attrs.frozen
class Unknown:
    """The change was sent; whether it took effect could not be determined before the timeout."""

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
    keys: storage.Keys,
    runtime: runtime_module.Runtime,
    proposal: plan.Proposal,
) -> Outcome:
    """Apply the proposed change and return its outcome."""
    try:
        current = storage.read_intent(store, keys)
    except ports.StoreError as error:
        return Unreachable(f"{error.code}: {error}")
    applier = _Applier(store, keys, runtime, proposal, current)
    outcome = None
    while outcome is None:
        outcome = applier.validate() or applier.write()
    return outcome


class _Applier:
    """State of one call of ``apply``: the intent read last, the deadline and the backoff."""

    def __init__(self, store, keys, runtime, proposal, current: storage.StoredIntent):
        self.store: ports.Store = store
        self.keys: storage.Keys = keys
        self.runtime: runtime_module.Runtime = runtime
        self.proposal: plan.Proposal = proposal
        self.current = current
        self.initial = current
        self.base_generation = current.head.generation
        if proposal.expected_generation is not None:
            self.base_generation = proposal.expected_generation
        self.deadline = runtime.now() + proposal.retry_timeout_s
        self.backoff_s = INITIAL_BACKOFF_S
        # Whether a write based on ``current`` was sent and its reply lost.
        self.may_be_applied = False

    def validate(self) -> Outcome | None:
        """Return the outcome if the change is invalid, empty or in conflict, None otherwise."""
        diagnostics = plan.check_proposal(self.current, self.proposal)
        if diagnostic.has_errors(diagnostics):
            return Rejected(diagnostics)
        if not plan.team_changes(self.current, self.proposal):
            return Accepted(
                self.current.head.generation, self.current.head.change_id, (), diagnostics
            )
        return self.find_conflict()

    def find_conflict(self) -> Outcome | None:
        """Return a conflict if the same files were changed after the expected generation."""
        winner = None
        if self.current.head.generation > self.base_generation:
            try:
                later_changes = changelog.read(self.store, self.keys, self.base_generation + 1)
            except ports.StoreError as error:
                return Unreachable(f"{error.code}: {error}")
            conflicting = [
                record
                for record in later_changes
                if any(change.team in self.proposal.teams for change in record.changes)
            ]
            winner = conflicting[-1] if conflicting else None
        is_changed = any(
            self.current.file_revisions.get(team) != self.initial.file_revisions.get(team)
            for team in self.proposal.teams
        )
        if winner is None and not is_changed:
            return None
        lines = plan.difference(self.current, self.proposal)
        return Conflict(self.current.head.generation, winner, lines)

    def write(self) -> Outcome | None:
        """Write the change with retries; None if another change came first, to validate again."""
        record = plan.change_record(self.current, self.proposal)
        compares, operations = plan.transaction(self.keys, self.current, self.proposal, record)
        # Resending is safe: the condition on the head lets at most one copy of the transaction
        # take effect, even if an earlier one is still in flight.
        while True:
            try:
                if self.store.write(compares, operations):
                    return self.accepted_outcome(record)
                return self.resolve_failed_condition(record.generation)
            except ports.StoreOutcomeUnknown as error:
                self.may_be_applied = True
                failure = error
            except ports.StoreRefused as error:
                return self.failure_outcome(error)
            except ports.StoreError as error:
                failure = error
            if not self.back_off():
                return self.failure_outcome(failure)

    def resolve_failed_condition(self, generation: int) -> Outcome | None:
        """Determine which change created the generation; it may be an earlier copy of this one."""
        while True:
            failure: Exception = ports.StoreError("the store returned a stale revision")
            try:
                history = changelog.read(self.store, self.keys, generation)
                if history:
                    if history[0].change_id == self.proposal.change_id:
                        return self.accepted_outcome(history[0])
                    # Another change created the generation, so no copy of this one can take effect.
                    self.may_be_applied = False
                    latest = storage.read_intent(self.store, self.keys)
                    if latest.head.generation >= generation:
                        self.current = latest
                        return None
            except ports.StoreError as error:
                failure = error
            if not self.back_off():
                return self.failure_outcome(failure)

    def accepted_outcome(self, record: storage.ChangeRecord) -> Accepted:
        """Return the outcome for a change that is stored."""
        warnings = plan.check_proposal(self.current, self.proposal)
        return Accepted(record.generation, record.change_id, record.changes, warnings)

    def failure_outcome(self, failure: Exception) -> Outcome:
        """Return the outcome after the last failure: unknown only if a write may take effect."""
        detail = f"{getattr(failure, 'code', 'error')}: {failure}"
        if self.may_be_applied:
            return Unknown(self.proposal.change_id, self.current.head.generation, detail)
        return Unreachable(detail)

    def back_off(self) -> bool:
        """Wait with exponential backoff and jitter; return false after the deadline."""
        remaining_s = self.deadline - self.runtime.now()
        if remaining_s <= 0:
            return False
        self.runtime.sleep(min(remaining_s, self.backoff_s * (0.5 + self.runtime.random())))
        self.backoff_s = min(MAX_BACKOFF_S, self.backoff_s * 2)
        return True
