"""The registrars of a job, and when their claim tables are authoritative.

Registrars store claims in memory only.  Two rules ensure that a claim missing from their tables
proves that the job never started:

- After a membership change, an instance transfers its claims to the registrars under the new set
  of members before it acknowledges the set, and takes new claims under that set only.  A
  registrar is *settled* once every member has acknowledged the set that it sees.
- A claim that allows a job to start is stored on at least one instance besides its holder, so
  that a single death loses no claim.  After several deaths that could have lost a claim, the job
  is answered as "unknown".
"""

import attrs
import xxhash

from rosedyke.job import messages
from rosedyke.membership import member, rendezvous
from rosedyke.wire import peer

REGISTRARS_PER_JOB = 2
PRESENT_STATES = frozenset({member.State.LIVE, member.State.SUSPECT, member.State.LEAVING})


def identity(instance: peer.Peer) -> str:
    """Return the name and incarnation of an instance as one string."""
    return f"{instance.name}#{instance.incarnation}"


@attrs.frozen
class Members:
    """The members of one data centre that take part in the claim protocol.

    Attributes
    ----------
    present : dict of str to Peer
        Members that may hold claims, including those that are leaving.
    serving : tuple of str
        Names of the members that can be registrars.
    digest : int
        Hash of the set; equal for equal sets.
    """

    present: dict[str, peer.Peer]
    serving: tuple[str, ...]
    digest: int

    def registrars(self, job_id: str) -> tuple[peer.Peer, ...]:
        """Return the job's registrars in rendezvous order."""
        names = rendezvous.rank(job_id, self.serving)[:REGISTRARS_PER_JOB]
        return tuple(self.present[name] for name in names)


def members_of(view: member.View, data_centre: str) -> Members:
    """Return the members of a data centre in a view."""
    present = [
        entry
        for entry in view.members
        if entry.data_centre == data_centre and entry.state in PRESENT_STATES
    ]
    serving = tuple(entry.name for entry in present if entry.state in member.SERVING_STATES)
    identities = [identity(entry.peer) for entry in present]
    text = "\n".join((*sorted(identities), "", *sorted(serving)))
    digest = xxhash.xxh3_64_intdigest(text.encode()) >> 1
    return Members({entry.name: entry.peer for entry in present}, serving, digest)


@attrs.define
class DeathRecord:
    """An incarnation that ended without handing over, timed by the local clock."""

    name: str
    incarnation: int
    time: float


class Authority:
    """Members of the local data centre, their acknowledgements and their deaths.

    Parameters
    ----------
    own : Peer
        This instance in its present incarnation.
    view : View
        The initial view.
    now : float
        Monotonic time in seconds.
    retention_s : float
        How long deaths are recorded; at least the maximum age of a resubmission.
    """

    def __init__(self, own: peer.Peer, view: member.View, now: float, retention_s: float):
        self.own = own
        self.retention_s = retention_s
        self.history_start = now
        self.deaths: dict[tuple[str, int], DeathRecord] = {}
        self.departed: dict[tuple[str, int], float] = {}
        self.acknowledgements: dict[tuple[str, int], messages.TransferAcknowledgement] = {}
        self.joined_at: dict[tuple[str, int], float] = {}
        # The last settled set of members and all sets seen since, the present one last.  The first
        # entry is None until a set is settled.
        self.member_sets: list[Members | None] = [None]
        self.members = members_of(view, own.data_centre)
        self._add_members(self.members, now)

    # Updates

    def update_view(self, view: member.View, now: float) -> bool:
        """Apply a new view; return whether the data centre's members changed."""
        new = members_of(view, self.own.data_centre)
        if new.digest == self.members.digest:
            return False
        for name, removed in self.members.present.items():
            if new.present.get(name) != removed:
                self._remove_member(removed, now)
        self.members = new
        self._add_members(new, now)
        return True

    def acknowledge(
        self, sender: peer.Peer, ack: messages.TransferAcknowledgement, now: float
    ) -> bool:
        """Record a member's acknowledgement; return whether it settles the present set."""
        key = (sender.name, sender.incarnation)
        if ack.is_final:
            self.departed[key] = now
            self.deaths.pop(key, None)
        self.acknowledgements[key] = ack
        self.history_start = min(self.history_start, now - ack.known_s)
        for death in ack.deaths:
            death_key = (death.name, death.incarnation)
            if death_key not in self.departed and death_key not in self.deaths:
                self.deaths[death_key] = DeathRecord(*death_key, now - death.age_s)
        return self.mark_settled()

    def mark_settled(self) -> bool:
        """Mark the present set settled if all members acknowledged it; return whether it is new."""
        if len(self.member_sets) == 1 and self.member_sets[0] is not None:
            return False
        for instance in self.members.present.values():
            ack = self.acknowledgements.get((instance.name, instance.incarnation))
            if ack is None or ack.members != self.members.digest:
                return False
        self.member_sets = [self.members]
        return True

    def acknowledgement(
        self, now: float, is_final: bool = False
    ) -> messages.TransferAcknowledgement:
        """Return this instance's acknowledgement of the present set."""
        self._expire_records(now)
        deaths = tuple(
            messages.Death(death.name, death.incarnation, now - death.time)
            for death in self.deaths.values()
        )
        known_s = now - self.history_start
        return messages.TransferAcknowledgement(self.members.digest, known_s, deaths, is_final)

    # Queries

    def registrars(self, job_id: str) -> tuple[peer.Peer, ...]:
        """Return the job's registrars in the local data centre."""
        return self.members.registrars(job_id)

    def is_settled_for(self, job_id: str) -> bool:
        """Return whether the job's registrars have received every claim to it.

        A membership change that keeps the job's registrars transfers none of its claims, so most
        jobs need not wait for the acknowledgements.
        """
        present = self.members.registrars(job_id)
        return all(
            member_set is not None and member_set.registrars(job_id) == present
            for member_set in self.member_sets
        )

    def has_complete_history(self, job_id: str, age_s: float, now: float) -> bool:
        """Return whether a missing claim proves that no task of a job of this age started."""
        first_attempt = now - age_s
        if first_attempt < self.history_start:
            return False
        deaths_since = self._deaths_since(first_attempt)
        if not deaths_since:
            return True
        serving_names = self._serving_since(first_attempt)
        if not serving_names:
            return False
        if len(deaths_since) == 1:
            # A single death loses no claim: each is stored on another instance too.
            return True
        # A job may have started while one registrar was unresponsive.  Its claim is lost if both
        # the holder and the other registrar died.
        return all(
            self._ranks_after_registrars(job_id, death.name, serving_names)
            for death in deaths_since
        )

    def may_have_lost_claim(self, job_id: str, age_s: float, now: float) -> bool:
        """Return whether deaths may have lost the claim of a job of at most this age.

        A job starts only after its first registrar's grant, so its claim can be lost only if
        that registrar is among several dead instances.
        """
        earliest = now - age_s
        dead_names = {death.name for death in self._deaths_since(earliest)}
        if len(dead_names) < REGISTRARS_PER_JOB:
            return False
        names = {*self._serving_since(earliest), *dead_names}
        return rendezvous.rank(job_id, names)[0] in dead_names

    def _deaths_since(self, time: float) -> list[DeathRecord]:
        return [death for death in self.deaths.values() if death.time >= time]

    def _serving_since(self, time: float) -> list[str]:
        return [
            name
            for name in self.members.serving
            if self.joined_at[self._key(self.members.present[name])] <= time
        ]

    def is_current_member(self, instance: peer.Peer) -> bool:
        """Return whether an incarnation is a present member of the local data centre."""
        return self.members.present.get(instance.name) == instance

    @staticmethod
    def _ranks_after_registrars(job_id: str, name: str, serving_names: list[str]) -> bool:
        ranking = rendezvous.rank(job_id, [*serving_names, name])
        return ranking.index(name) >= REGISTRARS_PER_JOB

    @staticmethod
    def _key(instance: peer.Peer) -> tuple[str, int]:
        return (instance.name, instance.incarnation)

    def _add_members(self, members: Members, now: float) -> None:
        for instance in members.present.values():
            self.joined_at.setdefault(self._key(instance), now)
        self.member_sets.append(members)

    def _remove_member(self, removed: peer.Peer, now: float) -> None:
        key = self._key(removed)
        self.joined_at.pop(key, None)
        self.acknowledgements.pop(key, None)
        if key not in self.departed:
            self.deaths[key] = DeathRecord(*key, now)

    def _expire_records(self, now: float) -> None:
        for key, death in list(self.deaths.items()):
            if now - death.time > self.retention_s:
                del self.deaths[key]
        for key, departed_at in list(self.departed.items()):
            if now - departed_at > self.retention_s:
                del self.departed[key]
