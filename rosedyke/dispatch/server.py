"""A backend server as its pool's owner sees it: slots in use, orphaned slots, room, health."""

import attrs

from rosedyke.configuration import intent
from rosedyke.dispatch import ejection, slot_lease


@attrs.define(eq=False)
class Server:
    """A backend server with what its owner knows about it.

    Attributes
    ----------
    declared : BackendServer
        What the operators said.
    leases : dict of Key to Lease
        Granted slots.
    stalled : set of Key
        Leases whose task the server doesn't run, though no answer came; they take no slot.
    checked_ages_s : dict of Key to float
        Ages at which overdue leases were last asked about.
    orphans : int
        Slots that may be in use by tasks that no lease tells of.
    orphaned_at : float
        When the newest of them was orphaned.
    health : Health
        Its failures.
    is_leaving : bool
        The server itself said that it takes no new work.
    is_removed : bool
        It is no longer declared and waits for its last lease to end.
    is_probing : bool
        It is being asked how many tasks run and gets no other meanwhile.
    is_recovered : bool
        Every member has told its slots here, or is dead.
    """

    declared: intent.BackendServer
    leases: dict[slot_lease.LeaseKey, slot_lease.Lease] = attrs.Factory(dict)
    stalled: set[slot_lease.LeaseKey] = attrs.Factory(set)
    checked_ages_s: dict[slot_lease.LeaseKey, float] = attrs.Factory(dict)
    orphans: int = 0
    orphaned_at: float = 0.0
    health: ejection.ServerHealth = attrs.Factory(ejection.ServerHealth)
    is_leaving: bool = False
    is_removed: bool = False
    is_probing: bool = False
    is_recovered: bool = False

    def free_slots(self) -> int:
        """Return how many slots may be granted."""
        if self.is_probing or not self.is_recovered:
            return 0
        usable = self.declared.slots
        if self.health.slot_allowance is not None:
            usable = min(usable, self.health.slot_allowance)
        return usable - len(self.leases) + len(self.stalled) - self.orphans

    def available_size(self) -> intent.Size:
        """Return what the running tasks leave of the server's size.

        Servers run without guards: tasks that need more memory together than there is would take
        the server down with all its other tasks.
        """
        sizes = [lease.size for lease in self.leases.values()]
        total = self.declared.size
        return intent.Size(
            total.cores - sum(size.cores for size in sizes),
            total.memory_mb - sum(size.memory_mb for size in sizes),
            total.accelerators - sum(size.accelerators for size in sizes),
        )

    def orphan(self, count: int, now: float) -> None:
        """Count slots as in use by something unknown."""
        self.orphans += count
        self.orphaned_at = now

    def reconcile_orphans(
        self, running: int, reached: set[slot_lease.LeaseKey], asked_at: float
    ) -> None:
        """Take in how many tasks the server itself said were running.

        Parameters
        ----------
        running : int
            What it said.
        reached : set of Key
            Leases that were surely in use when it was asked.  Those that still are account for
            as many of the running tasks; at most the rest is unknown.
        asked_at : float
            A task that was on its way at that time had reached the server when it answered;
            an answer from before the newest orphan says nothing about it.
        """
        if asked_at >= self.orphaned_at:
            unknown = max(0, running - len(reached & self.leases.keys()))
            self.orphans = min(self.orphans, unknown)

    def overdue_leases(self, now: float, min_age_s: float) -> list[slot_lease.Lease]:
        """Return leases that should have ended long ago, oldest first.

        Of one that was asked about and seemed to run, again when it is twice as old: a task that
        began just then may have stood for it in the server's count.
        """
        overdue = [
            lease
            for key, lease in self.leases.items()
            if key not in self.stalled
            and now - lease.granted_at
            > max(min_age_s, 3 * lease.expected_s, 2 * self.checked_ages_s.get(key, 0.0))
        ]
        return sorted(overdue, key=lambda lease: lease.granted_at)

    def mark_stalled(
        self,
        running: int,
        reached: set[slot_lease.LeaseKey],
        overdue: list[slot_lease.Lease],
        now: float,
    ) -> None:
        """Take in that the server runs fewer tasks than it has leases.

        Their answers, or they themselves, were lost on a connection that went silent.  Their jobs
        can't be whole any more, but their slots are free.

        Parameters
        ----------
        running : int
            What the server said.
        reached : set of Key
            Leases whose tasks had reached it by then.
        overdue : list of Lease
            Those that should have ended long ago, oldest first.
        now : float
            Monotonic seconds.
        """
        stalled_count = len((reached & self.leases.keys()) - self.stalled) - running
        present = [lease.key for lease in overdue if lease.key in self.leases]
        count = max(0, stalled_count)
        self.stalled.update(present[:count])
        for key in present[count:]:
            self.checked_ages_s[key] = now - self.leases[key].granted_at
