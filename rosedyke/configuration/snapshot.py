"""Snapshot of one generation in memory, and its update from the files that changed."""

import attrs

from rosedyke import fault
from rosedyke import runtime as runtime_module
from rosedyke.configuration import intent, storage


class SnapshotError(fault.RosedykeError):
    """The files received don't make up the generation."""

    code = "configuration_incomplete"


class FileUnreadable(SnapshotError):
    """A team's file has a later format than this version supports."""

    code = "configuration_file_unreadable"


@attrs.frozen
class Snapshot:
    """A complete generation.

    Attributes
    ----------
    head : Head
        Generation number and the digest of each team's file.
    files : dict
        Team name to ``TeamIntent``.
    configuration : Configuration
        The decoded intent of all files.
    """

    head: storage.Head = storage.Head()
    files: dict[str, storage.TeamIntent] = attrs.Factory(dict)
    configuration: intent.Configuration = intent.Configuration()

    @property
    def generation(self) -> int:
        """The generation's number."""
        return self.head.generation


def changed_teams(base: Snapshot, head: storage.Head) -> tuple[str, ...]:
    """Return the teams of a newer head whose files differ from those of ``base``."""
    base_digests = _digests(base)
    return tuple(
        entry.team for entry in head.entries if base_digests.get(entry.team) != entry.digest
    )


def advance(
    base: Snapshot,
    head: storage.Head,
    received: dict[str, storage.TeamIntent],
    runtime: runtime_module.Runtime,
) -> Snapshot:
    """Return the generation of ``head``, from the files of ``base`` and those received.

    Raises
    ------
    SnapshotError
        A file is missing or its digest differs from that in the head.
    FileUnreadable
        A file has a format that this version can't decode.
    """
    base_digests = _digests(base)
    base_teams = {team.name: team for team in base.configuration.teams}
    files, teams = {}, []
    for entry in head.entries:
        if base_digests.get(entry.team) == entry.digest:
            files[entry.team] = base.files[entry.team]
            teams.append(base_teams[entry.team])
            continue
        team_intent = received.get(entry.team)
        if team_intent is None or team_intent.digest != entry.digest:
            raise SnapshotError(f"file of team {entry.team} is missing or has another digest")
        files[entry.team] = team_intent
        teams.append(_decode(team_intent))
        # Decoding a large file takes milliseconds, so yield to other tasks after each file.
        runtime.sleep(0)
    return Snapshot(head, files, intent.Configuration(head.generation, tuple(teams)))


def _digests(base: Snapshot) -> dict[str, str]:
    """Return the digests of the files, which were verified when the snapshot was made."""
    return {entry.team: entry.digest for entry in base.head.entries}


def _decode(team_intent: storage.TeamIntent) -> intent.Team:
    try:
        return team_intent.decode()
    except storage.RecordMalformed as error:
        raise FileUnreadable(str(error)) from error
