"""Who the registrars of a job are, and when one of them may speak for the past.

Registrars remember in memory only.  Two rules make their "never seen" worth something:

- After a change of members, an instance acknowledges the new set only when it has moved its
  claims to the registrars under that set, and takes new claims under that set alone.  A registrar
  is *settled* once every member acknowledged the set that it sees.
- A claim that lets a job start is remembered by at least one instance besides its holder, so one
  death loses none.  Deaths that could together have lost one make the answer "unknown".
"""

import attrs
import xxhash

from rosedyke.job import messages
from rosedyke.membership import member, rendezvous
from rosedyke.wire import peer

REGISTRARS = 2
PRESENT_STATES = frozenset({member.State.LIVE, member.State.SUSPECT, member.State.LEAVING})


def identity(instance: peer.Peer) -> str:
    """Return the name and life of an instance as one word."""
    return f"{instance.name}#{instance.incarnation}"


@attrs.frozen
class Members:
    """The members of one data centre that matter for claims.

    Attributes
    ----------
    present : dict of str to Peer
        All that may hold claims, also those that are leaving.
    serving : tuple of str
        Names of those that can be registrars.
    digest : int
        Equal for equal sets.
    """

    present: dict[str, peer.Peer]
    serving: tuple[str, ...]
    digest: int

    def registrars(self, job_id: str) -> tuple[peer.Peer, ...]:
        """Return the job's registrars in rendezvous order."""
        names = rendezvous.rank(job_id, self.serving)[:REGISTRARS]
        return tuple(self.present[name] for name in names)


def members_of(view: member.View, data_centre: str) -> Members:
    """Return a data centre's members as far as claims are concerned."""
    present = [
        one
        for one in view.members
        if one.data_centre == data_centre and one.state in PRESENT_STATES
    ]
    serving = tuple(one.name for one in present if one.state in member.SERVING_STATES)
    words = [identity(one.peer) for one in present]
    text = "\n".join((*sorted(words), "", *sorted(serving)))
    digest = xxhash.xxh3_64_intdigest(text.encode()) >> 1
    return Members({one.name: one.peer for one in present}, serving, digest)


@attrs.define
class KnownDeath:
    """An incarnation that ended without handing over, by the own clock."""

    name: str
    incarnation: int
    time: float


class Authority:
    """The own data centre's members, their acknowledgements and deaths.

    Parameters
    ----------
    own : Peer
        This incarnation.
    view : View
        The view at the start.
    now : float
        Monotonic seconds.
    memory_s : float
        How long deaths matter: no resubmission is older.
    """

    def __init__(self, own: peer.Peer, view: member.View, now: float, memory_s: float):
        self.own = own
        self.memory_s = memory_s
        self.known_since = now
        self.deaths: dict[tuple[str, int], KnownDeath] = {}
        self.departed: dict[tuple[str, int], float] = {}
        self.acknowledged: dict[tuple[str, int], messages.Registered] = {}
        self.since: dict[tuple[str, int], float] = {}
        # Sets that were seen since the last settled one, the present one last.  None stands for
        # "nothing was ever settled".
        self.unsettled: list[Members | None] = [None]
        self.members = members_of(view, own.data_centre)
        self._enter(self.members, now)

    # Changes

    def change(self, view: member.View, now: float) -> bool:
        """Take a new view; return whether the data centre's members differ."""
        new = members_of(view, self.own.data_centre)
        if new.digest == self.members.digest:
            return False
        for name, gone in self.members.present.items():
            if new.present.get(name) != gone:
                self._leave(gone, now)
        self.members = new
        self._enter(new, now)
        return True

    def acknowledge(self, sender: peer.Peer, ack: messages.Registered, now: float) -> bool:
        """Record that a member moved its claims; return whether that settles the present set."""
        key = (sender.name, sender.incarnation)
        if ack.is_final:
            self.departed[key] = now
            self.deaths.pop(key, None)
        self.acknowledged[key] = ack
        self.known_since = min(self.known_since, now - ack.known_s)
        for death in ack.deaths:
            other = (death.name, death.incarnation)
            if other not in self.departed and other not in self.deaths:
                self.deaths[other] = KnownDeath(*other, now - death.age_s)
        return self.settle()

    def settle(self) -> bool:
        """Return true if every member acknowledged the present set and that was not yet so."""
        if len(self.unsettled) == 1 and self.unsettled[0] is not None:
            return False
        for instance in self.members.present.values():
            ack = self.acknowledged.get((instance.name, instance.incarnation))
            if ack is None or ack.members != self.members.digest:
                return False
        self.unsettled = [self.members]
        return True

    def registered(self, now: float, is_final: bool = False) -> messages.Registered:
        """Return the own acknowledgement of the present set."""
        self._forget_deaths(now)
        deaths = tuple(
            messages.Death(death.name, death.incarnation, now - death.time)
            for death in self.deaths.values()
        )
        known_s = now - self.known_since
        return messages.Registered(self.members.digest, known_s, deaths, is_final)

    # Questions

    def registrars(self, job_id: str) -> tuple[peer.Peer, ...]:
        """Return the job's registrars in the own data centre."""
        return self.members.registrars(job_id)

    def is_settled_for(self, job_id: str) -> bool:
        """Return whether every holder's claims to this job would be known to its registrars.

        A change that leaves the job's pair as it was moves none of its claims, so most jobs
        needn't wait for the acknowledgements.
        """
        present = self.members.registrars(job_id)
        return all(
            seen is not None and seen.registrars(job_id) == present for seen in self.unsettled
        )

    def can_vouch(self, job_id: str, age_s: float, now: float) -> bool:
        """Return whether "never seen" proves that nothing of a job of this age was started."""
        first_attempt = now - age_s
        if first_attempt < self.known_since:
            return False
        dead = self._dead_since(first_attempt)
        if not dead:
            return True
        in_place = self._in_place_since(first_attempt)
        if not in_place:
            return False
        if len(dead) == 1:
            # The dead one's claims each had a copy elsewhere; the living brought theirs.
            return True
        # A job may have been started with one registrar silent.  Were that holder and its one
        # registrar both among the dead, nobody would remember.
        return all(self._ranked_ahead(job_id, death.name, in_place) for death in dead)

    def may_have_lost(self, job_id: str, age_s: float, now: float) -> bool:
        """Return whether the claim of a job of at most this age can have died with its holders.

        No job starts without its first registrar's grant, so two deaths take a claim along only
        if one of them was that registrar.
        """
        earliest = now - age_s
        dead = {death.name for death in self._dead_since(earliest)}
        if len(dead) < REGISTRARS:
            return False
        names = {*self._in_place_since(earliest), *dead}
        return rendezvous.rank(job_id, names)[0] in dead

    def _dead_since(self, time: float) -> list[KnownDeath]:
        return [death for death in self.deaths.values() if death.time >= time]

    def _in_place_since(self, time: float) -> list[str]:
        return [
            name
            for name in self.members.serving
            if self.since[self._key(self.members.present[name])] <= time
        ]

    def knows(self, instance: peer.Peer) -> bool:
        """Return whether an incarnation of the own data centre is a member as seen here."""
        return self.members.present.get(instance.name) == instance

    @staticmethod
    def _ranked_ahead(job_id: str, name: str, in_place: list[str]) -> bool:
        order = rendezvous.rank(job_id, [*in_place, name])
        return order.index(name) >= REGISTRARS

    @staticmethod
    def _key(instance: peer.Peer) -> tuple[str, int]:
        return (instance.name, instance.incarnation)

    def _enter(self, members: Members, now: float) -> None:
        for instance in members.present.values():
            self.since.setdefault(self._key(instance), now)
        self.unsettled.append(members)

    def _leave(self, gone: peer.Peer, now: float) -> None:
        key = self._key(gone)
        self.since.pop(key, None)
        self.acknowledged.pop(key, None)
        if key not in self.departed:
            self.deaths[key] = KnownDeath(*key, now)

    def _forget_deaths(self, now: float) -> None:
        for key, death in list(self.deaths.items()):
            if now - death.time > self.memory_s:
                del self.deaths[key]
        for key, left in list(self.departed.items()):
            if now - left > self.memory_s:
                del self.departed[key]
