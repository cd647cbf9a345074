"""One generation as an instance holds it: the files, their digests and the parsed intent."""

import attrs

from rosedyke import fault, runtime
from rosedyke.configuration import file, intent, stored


class SnapshotError(fault.RosedykeError):
    """The parts don't make a generation."""

    code = "configuration_incomplete"


class FileUnreadable(SnapshotError):
    """A stored file has keys or values that this version doesn't know."""

    code = "configuration_file_unreadable"


@attrs.frozen
class Snapshot:
    """A whole generation.

    Attributes
    ----------
    head : Head
        Its number and the digests of its files.
    files : dict
        Team name to ``TeamFile``.
    configuration : Configuration
        The parsed files.
    """

    head: stored.Head = stored.Head()
    files: dict[str, stored.TeamFile] = attrs.Factory(dict)
    configuration: intent.Configuration = intent.Configuration()

    @property
    def generation(self) -> int:
        """The generation's number."""
        return self.head.generation


def missing(base: Snapshot, head: stored.Head) -> tuple[str, ...]:
    """Return the teams of a newer head whose files differ from those in hand."""
    return tuple(
        entry.team
        for entry in head.entries
        if entry.team not in base.files or base.files[entry.team].digest != entry.digest
    )


def advance(
    base: Snapshot,
    head: stored.Head,
    received: dict[str, stored.TeamFile],
    pauses: runtime.Runtime,
) -> Snapshot:
    """Return the generation of ``head`` from the files in hand and those received.

    Raises
    ------
    SnapshotError
        A file is missing or isn't the one that the head names.
    FileUnreadable
        A file can't be parsed by this version.
    """
    known = {team.name: team for team in base.configuration.teams}
    files, teams = {}, []
    for entry in head.entries:
        in_hand = base.files.get(entry.team)
        if in_hand is not None and in_hand.digest == entry.digest:
            files[entry.team] = in_hand
            teams.append(known[entry.team])
            continue
        new = received.get(entry.team)
        if new is None or new.digest != entry.digest:
            raise SnapshotError(f"the file of team {entry.team} is missing or another one")
        files[entry.team] = new
        teams.append(_parse(new))
        # Parsing takes milliseconds a file; requests in flight go on between two of them.
        pauses.sleep(0)
    return Snapshot(head, files, intent.Configuration(head.generation, tuple(teams)))


def _parse(each: stored.TeamFile) -> intent.Team:
    team = file.parse_stored(each.team, each.text.encode())
    if team is None:
        raise FileUnreadable(f"team {each.team} at generation {each.generation}")
    return team
