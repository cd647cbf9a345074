"""What an operator wants to change: its faults, its difference, the transaction that makes it."""

import difflib
import uuid

import attrs
import msgspec

from rosedyke.configuration import check, diagnostic, file, ports, stored

MAX_FILES = 100  # with the head and the record, below the store's 128 operations a transaction
MAX_RECORD_BYTES = 950_000  # of text and intent, below the megabyte of a value
MAX_CHANGE_BYTES = 1_400_000  # the store's bound on a whole request is 1.5 MiB


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
