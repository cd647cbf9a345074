"""What the owner of a pool knows about earlier owners, and what a job's holder knows of them.

A job that had an earlier owner may have runs wherever that owner could start them.  The job's
holder names the owner by its fencing token, together with the newest version of its servers that it
has seen.  The present owner has seen all these runs if it knows a set of the owner's servers that
is as new, and each of them has listed its runs under the present owner's token.  Otherwise the runs
are over only when the leases that the holder renewed have expired.
"""

from collections.abc import Iterable

import attrs
import msgspec

from rosedyke.rerunnable_jobs import messages

# Earlier owners that are remembered, those with the highest tokens.
MAX_PREDECESSORS = 8
# Of a token that the present owner used itself: it knows all servers, whatever their version.
EVERY_VERSION = (1 << 63) - 1
# The servers of this token are never known.
UNKNOWN_TOKEN = 0


@attrs.frozen
class FormerOwner:
    """An earlier owner of a part of a job.

    Attributes
    ----------
    token : int
        Its fencing token.
    servers_version : int
        The newest version of its servers that the holder has seen.
    left_at : float
        Until when the holder may have renewed the part with it, on the local clock.
    """

    token: int
    servers_version: int
    left_at: float


def from_message(message: messages.Submit, now: float) -> tuple[FormerOwner, ...]:
    """Return the earlier owners of a submitted part, empty if it had none."""
    sent_at = min(now, message.sent_s)
    if message.former_owners is msgspec.UNSET:
        unknown = FormerOwner(UNKNOWN_TOKEN, EVERY_VERSION, sent_at)
        return (unknown,) if message.may_have_run else ()
    return tuple(
        FormerOwner(former.token, former.servers_version, sent_at - former.age_s)
        for former in message.former_owners
    )


class Predecessors:
    """The earlier owners of a pool whose servers its present owner knows.

    Parameters
    ----------
    known : iterable of KnownOwner
        What the last of them has told.

    Attributes
    ----------
    versions : dict of int to int
        The version of each one's servers that is known, by its token.
    unfenced : dict of int to set of str
        The servers of each one that have not listed their runs under the present owner's token.
    """

    def __init__(self, known: Iterable[messages.KnownOwner] = ()):
        newest = sorted(known, key=lambda owner: owner.token)[-MAX_PREDECESSORS:]
        self.versions = {owner.token: owner.servers_version for owner in newest}
        self.unfenced = {owner.token: set(owner.unfenced) for owner in newest}

    def on_listed(self, server_id: str) -> None:
        """Record that a server has listed its runs under the present owner's token."""
        for server_ids in self.unfenced.values():
            server_ids.discard(server_id)

    def on_token_raised(self, former_token: int) -> None:
        """Record a token that the present owner no longer uses."""
        self.versions[former_token] = EVERY_VERSION
        self.unfenced[former_token] = set()

    def know(self, former: FormerOwner) -> bool:
        """Return whether all servers are known on which an owner may have started runs.

        A holder that has seen a later version of its servers proves that it went on after the one
        that is known.
        """
        version = self.versions.get(former.token)
        return version is not None and version >= former.servers_version

    def cover(self, former: FormerOwner) -> bool:
        """Return whether all servers have listed their runs on which an owner may have some."""
        return self.know(former) and not self.unfenced[former.token]

    def are_fenced(self) -> bool:
        """Return whether an earlier owner is known, and no server of a known one is unfenced."""
        return bool(self.unfenced) and not any(self.unfenced.values())

    def known(self) -> tuple[messages.KnownOwner, ...]:
        """Return what a successor has to know, besides the present owner's own servers."""
        return tuple(
            messages.KnownOwner(token, version, tuple(sorted(self.unfenced[token])))
            for token, version in sorted(self.versions.items())
        )


def known_to_successor(
    token: int,
    servers_version: int,
    servers: Iterable[str],
    earlier: Iterable[messages.KnownOwner],
) -> tuple[messages.KnownOwner, ...]:
    """Return what a successor knows of an owner and of those before it.

    Runs of earlier owners may be left on any server of the last one, which has taken them over.

    Parameters
    ----------
    token, servers_version, servers
        Fencing token of the last owner, and the version and names of its servers.
    earlier : iterable of KnownOwner
        The owners before it, as it has told.
    """
    names = tuple(servers)
    return (
        *(attrs.evolve(owner, unfenced=(*owner.unfenced, *names)) for owner in earlier),
        messages.KnownOwner(token, servers_version, names),
    )
