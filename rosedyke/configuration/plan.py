"""A proposed change: its validation, its diff and the transaction that applies it."""

import difflib
import uuid

import attrs
import msgspec

from rosedyke.configuration import check, diagnostic, file_parser, ports, storage

MAX_FILES = 100  # the store accepts 128 operations per transaction, with head and record
MAX_RECORD_BYTES = 950_000  # text and intent; the store accepts values of one megabyte
MAX_CHANGE_BYTES = 1_400_000  # the store accepts requests of 1.5 MiB


@attrs.frozen
class Proposal:
    """A change proposed by an operator.

    Attributes
    ----------
    files : tuple of ParsedFile
        Team files to add or replace.
    removals : tuple of str
        Teams whose files to remove.
    operator : str
        Name of the operator.
    time : str
        Time of the command in UTC, for display only.
    expected_generation : int or None
        Generation that the change is based on; a later change of the same teams' files is a
        conflict.  None stands for the generation at the start of the command.
    change_id : str
        Unique identifier, stored with the change.
    retry_timeout_s : float
        Limit on retries of a failed write and on resolving a lost reply.
    """

    files: tuple[file_parser.ParsedFile, ...]
    removals: tuple[str, ...]
    operator: str
    time: str
    expected_generation: int | None = None
    change_id: str = attrs.Factory(lambda: uuid.uuid4().hex)
    retry_timeout_s: float = 10.0

    @property
    def teams(self) -> tuple[str, ...]:
        """Names of the teams that the proposal changes."""
        return (*(parsed.team.name for parsed in self.files if parsed.team), *self.removals)


def check_proposal(
    current: storage.StoredIntent, proposal: Proposal
) -> tuple[diagnostic.Diagnostic, ...]:
    """Return errors and warnings of the proposed files, checked with the other stored files."""
    other_files = [
        file_parser.parse(stored_path(team), stored_file.text.encode())
        for team, stored_file in current.files.items()
        if team not in proposal.teams
    ]
    proposed_paths = {parsed.path for parsed in proposal.files}
    found = [
        item for item in check.check([*other_files, *proposal.files]) if item.file in proposed_paths
    ]
    if len(proposal.teams) > MAX_FILES:
        text = f"a change has at most {MAX_FILES} files"
        found.append(diagnostic.Diagnostic("", 1, "", "too_many_files", text))
    found.extend(_check_sizes(proposal))
    return tuple(found)


def _check_sizes(proposal: Proposal) -> list[diagnostic.Diagnostic]:
    """Return an error for each record, and for the change, that is too large for the store."""
    found = []
    total = 0
    for parsed in proposal.files:
        if parsed.team is None:
            continue
        size = len(parsed.text.encode()) + len(storage.encode(parsed.team))
        total += size
        if size > MAX_RECORD_BYTES:
            text = f"the file and its intent have {size} bytes; {MAX_RECORD_BYTES} at most"
            found.append(diagnostic.Diagnostic(parsed.path, 1, "", "file_too_large", text))
    if total > MAX_CHANGE_BYTES:
        text = f"the files have {total} bytes together; {MAX_CHANGE_BYTES} at most in one change"
        found.append(diagnostic.Diagnostic("", 1, "", "change_too_large", text))
    return found


def stored_path(team: str) -> str:
    """Return the path that diagnostics use for a file in the store."""
    return f"store:{team}"


def team_changes(
    current: storage.StoredIntent, proposal: Proposal
) -> tuple[storage.TeamChange, ...]:
    """Return the changes that the proposal makes to the stored files."""
    changes = []
    for parsed in proposal.files:
        name = parsed.team.name
        if name not in current.files:
            changes.append(storage.TeamChange(name, "added"))
        elif _is_changed(current.files[name], parsed):
            changes.append(storage.TeamChange(name, "changed"))
    for name in proposal.removals:
        if name in current.files:
            changes.append(storage.TeamChange(name, "removed"))
    return tuple(changes)


def _is_changed(old: storage.TeamFile, parsed: file_parser.ParsedFile) -> bool:
    # Compares the intent too, as another version of this program may derive another intent.
    return old.text != parsed.text or bytes(old.intent) != storage.encode(parsed.team)


def change_record(current: storage.StoredIntent, proposal: Proposal) -> storage.ChangeRecord:
    """Return the record of the change, based on the current intent."""
    return storage.ChangeRecord(
        current.head.generation + 1,
        proposal.change_id,
        proposal.operator,
        proposal.time,
        team_changes(current, proposal),
    )


def transaction(
    keys: storage.Keys,
    current: storage.StoredIntent,
    proposal: Proposal,
    record: storage.ChangeRecord,
) -> tuple[tuple[ports.Compare, ...], tuple[ports.Put | ports.Delete, ...]]:
    """Return the conditions and operations of the transaction that makes the change."""
    generation = record.generation
    actions = {change.team: change.action for change in record.changes}
    entries = {entry.team: entry for entry in current.head.entries if entry.team not in actions}
    compares = [ports.Compare(keys.head, current.head_revision)]
    operations: list[ports.Put | ports.Delete] = []
    proposed = {parsed.team.name: parsed for parsed in proposal.files}
    for team, action in actions.items():
        compares.append(ports.Compare(keys.team(team), current.file_revisions.get(team, 0)))
        if action == "removed":
            operations.append(ports.Delete(keys.team(team)))
            continue
        new_file = storage.TeamFile(
            team,
            generation,
            record.operator,
            record.time,
            proposed[team].text,
            msgspec.Raw(storage.encode(proposed[team].team)),
        )
        entries[team] = storage.HeadEntry(team, generation, new_file.as_intent().digest)
        operations.append(ports.Put(keys.team(team), storage.encode(new_file)))
    head = storage.Head(
        generation, record.change_id, tuple(entries[team] for team in sorted(entries))
    )
    operations.append(ports.Put(keys.head, storage.encode(head)))
    operations.append(ports.Put(keys.change(generation), storage.encode(record)))
    if generation > storage.HISTORY_LIMIT:
        operations.append(ports.Delete(keys.change(generation - storage.HISTORY_LIMIT)))
    return tuple(compares), tuple(operations)


def difference(current: storage.StoredIntent, proposal: Proposal) -> tuple[str, ...]:
    """Return a unified diff from the stored files to the proposed ones."""
    lines: list[str] = []
    proposed = {parsed.team.name: (parsed.path, parsed.text) for parsed in proposal.files}
    proposed |= {team: ("(removed)", "") for team in proposal.removals}
    for team, (path, text) in proposed.items():
        before = current.files[team].text if team in current.files else ""
        lines.extend(
            difflib.unified_diff(
                before.splitlines(), text.splitlines(), stored_path(team), path, lineterm=""
            )
        )
    return tuple(lines)
