"""One change of the intent: whole files in, accepted completely or not at all.

A change is one transaction that holds only if nothing was changed since the operator's view.  Its
record lies under the generation that it makes, so reading that one key tells whose change won.
"""

import difflib
import uuid

import attrs
import msgspec

from rosedyke import runtime as runtime_module
from rosedyke.configuration import check, diagnostic, file, ports, steps, stored
from rosedyke.observe import step

MAX_FILES = 100  # with the head and the record, below the store's 128 operations a transaction
MAX_RECORD_BYTES = 950_000  # of text and intent, below the megabyte of a value
MAX_CHANGE_BYTES = 1_400_000  # the store's bound on a whole request is 1.5 MiB
RETRY_BASE_S = 0.05
RETRY_LIMIT_S = 2.0


@attrs.frozen
class Proposal:
    """What an operator wants to change.

    Attributes
    ----------
    files : tuple of Parsed
        Team files to add or replace.
    removals : tuple of str
        Teams whose files go.
    operator : str
        Who asks.
    time : str
        When, in UTC, for people.
    seen_generation : int or None
        The generation that the operator looked at; a later change of these teams' files is a
        conflict.  None takes the state at the start of the command.
    change_id : str
        Unique; written with the change.
    patience_s : float
        How long to try to settle a lost answer.
    """

    files: tuple[file.Parsed, ...]
    removals: tuple[str, ...]
    operator: str
    time: str
    seen_generation: int | None = None
    change_id: str = attrs.Factory(lambda: uuid.uuid4().hex)
    patience_s: float = 10.0

    @property
    def teams(self) -> tuple[str, ...]:
        """The names of the teams that the proposal touches."""
        return (*(parsed.team.name for parsed in self.files if parsed.team), *self.removals)


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
    proposal: Proposal,
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
        self.proposal: Proposal = proposal
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
        found = check_against(self.seen, self.proposal)
        if diagnostic.has_errors(found):
            return Rejected(found)
        if not changes_of(self.seen, self.proposal):
            return Accepted(self.seen.head.generation, self.seen.head.change_id, (), found)
        return self.conflict()

    def conflict(self) -> Outcome | None:
        """Return a conflict if the same files were changed after what the operator saw."""
        winner = None
        if self.seen.head.generation > self.base:
            try:
                later = read_history(self.store, self.keys, self.base + 1)
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
        lines = difference(self.seen, self.proposal)
        return Conflict(self.seen.head.generation, winner, lines)

    def write(self) -> Outcome | None:
        """Send the change until it is answered; None when the set moved on and is read anew."""
        record = record_of(self.seen, self.proposal)
        compares, operations = transaction(self.keys, self.seen, self.proposal, record)
        step.reach(steps.APPLY_SENDING, self.proposal.operator)
        # The same transaction may be sent again: its condition on the head lets at most one of
        # the copies take effect, also when an earlier one is still on its way.
        while True:
            try:
                if self.store.write(compares, operations):
                    return self.accepted(record)
                return self.lost_the_race(record.generation)
            except ports.StoreOutcomeUnknown as error:
                self.is_uncertain = True
                step.reach(steps.APPLY_UNANSWERED, self.proposal.operator)
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
                history = read_history(self.store, self.keys, generation)
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
        warnings = check_against(self.seen, self.proposal)
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


def check_against(seen: stored.Intent, proposal: Proposal) -> tuple[diagnostic.Diagnostic, ...]:
    """Return the faults of the proposed files together with the others in the store."""
    others = [
        file.parse(stored_path(team), each.text.encode())
        for team, each in seen.files.items()
        if team not in proposal.teams
    ]
    proposed_paths = {parsed.path for parsed in proposal.files}
    found = [
        each for each in check.check([*others, *proposal.files]) if each.file in proposed_paths
    ]
    if len(proposal.teams) > MAX_FILES:
        text = f"a change has at most {MAX_FILES} files"
        found.append(diagnostic.Diagnostic("", 1, "", "too_many_files", text))
    found.extend(_check_sizes(proposal))
    return tuple(found)


def _check_sizes(proposal: Proposal) -> list[diagnostic.Diagnostic]:
    """Return a fault for each record, and for the change, that the store would not take."""
    found = []
    total = 0
    for parsed in proposal.files:
        if parsed.team is None:
            continue
        size = len(parsed.text.encode()) + len(stored.encode(parsed.team))
        total += size
        if size > MAX_RECORD_BYTES:
            text = f"the file and its intent have {size} bytes; {MAX_RECORD_BYTES} at most"
            found.append(diagnostic.Diagnostic(parsed.path, 1, "", "file_too_large", text))
    if total > MAX_CHANGE_BYTES:
        text = f"the files have {total} bytes together; {MAX_CHANGE_BYTES} at most in one change"
        found.append(diagnostic.Diagnostic("", 1, "", "change_too_large", text))
    return found


def stored_path(team: str) -> str:
    """Return how a diagnostic names a file that lies in the store."""
    return f"store:{team}"


def changes_of(seen: stored.Intent, proposal: Proposal) -> tuple[stored.TeamChange, ...]:
    """Return what the proposal would change of what is stored."""
    changes = []
    for parsed in proposal.files:
        name = parsed.team.name
        if name not in seen.files:
            changes.append(stored.TeamChange(name, "added"))
        elif _differs(seen.files[name], parsed):
            changes.append(stored.TeamChange(name, "changed"))
    for name in proposal.removals:
        if name in seen.files:
            changes.append(stored.TeamChange(name, "removed"))
    return tuple(changes)


def _differs(old: stored.TeamFile, parsed: file.Parsed) -> bool:
    # The intent too: another version of this tool may read the same text otherwise.
    return old.text != parsed.text or bytes(old.intent) != stored.encode(parsed.team)


def record_of(seen: stored.Intent, proposal: Proposal) -> stored.ChangeRecord:
    """Return the record of the change on top of what was seen."""
    return stored.ChangeRecord(
        seen.head.generation + 1,
        proposal.change_id,
        proposal.operator,
        proposal.time,
        changes_of(seen, proposal),
    )


def transaction(
    keys: stored.Keys,
    seen: stored.Intent,
    proposal: Proposal,
    record: stored.ChangeRecord,
) -> tuple[tuple[ports.Compare, ...], tuple[ports.Put | ports.Delete, ...]]:
    """Return the conditions and operations that make the change."""
    generation = record.generation
    changed = {change.team: change.action for change in record.changes}
    entries = {entry.team: entry for entry in seen.head.entries if entry.team not in changed}
    compares = [ports.Compare(keys.head, seen.head_revision)]
    operations: list[ports.Put | ports.Delete] = []
    proposed = {parsed.team.name: parsed for parsed in proposal.files}
    for team, action in changed.items():
        compares.append(ports.Compare(keys.team(team), seen.file_revisions.get(team, 0)))
        if action == "removed":
            operations.append(ports.Delete(keys.team(team)))
            continue
        each = stored.TeamFile(
            team,
            generation,
            record.operator,
            record.time,
            proposed[team].text,
            msgspec.Raw(stored.encode(proposed[team].team)),
        )
        entries[team] = stored.HeadEntry(team, generation, each.as_intent().digest)
        operations.append(ports.Put(keys.team(team), stored.encode(each)))
    head = stored.Head(
        generation, record.change_id, tuple(entries[team] for team in sorted(entries))
    )
    operations.append(ports.Put(keys.head, stored.encode(head)))
    operations.append(ports.Put(keys.change(generation), stored.encode(record)))
    if generation > stored.HISTORY_LIMIT:
        operations.append(ports.Delete(keys.change(generation - stored.HISTORY_LIMIT)))
    return tuple(compares), tuple(operations)


def read_history(
    store: ports.Store, keys: stored.Keys, first: int
) -> tuple[stored.ChangeRecord, ...]:
    """Return the records from a generation on, oldest first."""
    span = ports.Span(keys.change(max(first, 1)), keys.changes.end)
    entries = store.read_all(span).entries
    return tuple(stored.decode(entry.value, stored.ChangeRecord) for entry in entries)


def difference(seen: stored.Intent, proposal: Proposal) -> tuple[str, ...]:
    """Return a unified diff from what is stored to what is proposed."""
    lines: list[str] = []
    proposed = {parsed.team.name: (parsed.path, parsed.text) for parsed in proposal.files}
    proposed |= {team: ("(removed)", "") for team in proposal.removals}
    for team, (path, text) in proposed.items():
        before = seen.files[team].text if team in seen.files else ""
        lines.extend(
            difflib.unified_diff(
                before.splitlines(), text.splitlines(), stored_path(team), path, lineterm=""
            )
        )
    return tuple(lines)
