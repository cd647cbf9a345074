"""One generation as an instance holds it: the files' intent and their digests."""

import attrs

from rosedyke import fault, runtime
from rosedyke.configuration import intent, stored


class SnapshotError(fault.RosedykeError):
    """The parts don't make a generation."""

    code = "configuration_incomplete"


class FileUnreadable(SnapshotError):
    """A stored file has a later format than this version knows."""

    code = "configuration_file_unreadable"


@attrs.frozen
class Snapshot:
    """A whole generation.

    Attributes
    ----------
    head : Head
        Its number and the digests of its files.
    files : dict
        Team name to ``TeamIntent``.
    configuration : Configuration
        The parsed files.
    """

    head: stored.Head = stored.Head()
    files: dict[str, stored.TeamIntent] = attrs.Factory(dict)
    configuration: intent.Configuration = intent.Configuration()

    @property
    def generation(self) -> int:
        """The generation's number."""
        return self.head.generation


def missing(base: Snapshot, head: stored.Head) -> tuple[str, ...]:
    """Return the teams of a newer head whose files differ from those in hand."""
    in_hand = _digests(base)
    return tuple(entry.team for entry in head.entries if in_hand.get(entry.team) != entry.digest)


def advance(
    base: Snapshot,
    head: stored.Head,
    received: dict[str, stored.TeamIntent],
    pauses: runtime.Runtime,
) -> Snapshot:
    """Return the generation of ``head`` from the files in hand and those received.

    Raises
    ------
    SnapshotError
        A file is missing or isn't the one that the head names.
    FileUnreadable
        A file can't be read by this version.
    """
    in_hand = _digests(base)
    known = {team.name: team for team in base.configuration.teams}
    files, teams = {}, []
    for entry in head.entries:
        if in_hand.get(entry.team) == entry.digest:
            files[entry.team] = base.files[entry.team]
            teams.append(known[entry.team])
            continue
        new = received.get(entry.team)
        if new is None or new.digest != entry.digest:
            raise SnapshotError(f"the file of team {entry.team} is missing or another one")
        files[entry.team] = new
        teams.append(_decode(new))
        # A large file takes milliseconds; requests in flight go on between two of them.
        pauses.sleep(0)
    return Snapshot(head, files, intent.Configuration(head.generation, tuple(teams)))


def _digests(base: Snapshot) -> dict[str, str]:
    """Return the digests of the files in hand, checked when they were taken."""
    return {entry.team: entry.digest for entry in base.head.entries}


def _decode(each: stored.TeamIntent) -> intent.Team:
    try:
        return each.decode()
    except stored.RecordMalformed as error:
        raise FileUnreadable(str(error)) from error
