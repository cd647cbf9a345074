"""State of a backend server at its pool's owner: leases, orphaned slots and health."""

import attrs

from rosedyke.configuration import intent
from rosedyke.dispatch import ejection, slot_lease


@attrs.define(eq=False)
class ServerState:
    """State of a backend server at its pool's owner.

    Attributes
    ----------
    declared : BackendServer
        Its entry in the configuration.
    leases : dict of LeaseKey to Lease
        Leases on its slots.
    stalled : set of LeaseKey
        Leases without a reply whose task the server does not run; they occupy no slot.
    checked_ages_s : dict of LeaseKey to float
        Ages at which overdue leases were last probed and appeared to be running.
    orphans : int
        Slots that may be in use by tasks without a lease.
    orphaned_at : float
        Monotonic seconds at which the newest of them was orphaned.
    health : ServerHealth
        Its failure history.
    is_leaving : bool
        The server reported that it accepts no new work.
    is_removed : bool
        It is no longer in the configuration and its last lease has not ended yet.
    is_probing : bool
        It is being probed for its running tasks and gets no new ones meanwhile.
    is_recovered : bool
        Every member has reported its slots here, or is dead.
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
        """Return the number of slots that may be granted."""
        if self.is_probing or not self.is_recovered:
            return 0
        usable = self.declared.slots
        if self.health.slot_allowance is not None:
            usable = min(usable, self.health.slot_allowance)
        return usable - len(self.leases) + len(self.stalled) - self.orphans

    def available_size(self) -> intent.Size:
        """Return the resources not used by running tasks.

        Servers do not enforce memory limits: overcommitted memory would crash the server with all
        its tasks.
        """
        sizes = [lease.size for lease in self.leases.values()]
        total = self.declared.size
        return intent.Size(
            total.cores - sum(size.cores for size in sizes),
            total.memory_mb - sum(size.memory_mb for size in sizes),
            total.accelerators - sum(size.accelerators for size in sizes),
        )

    def add_orphans(self, count: int, now: float) -> None:
        """Count slots as possibly in use by tasks without a lease."""
        self.orphans += count
        self.orphaned_at = now

    def reconcile_orphans(
        self, running: int, reached: set[slot_lease.LeaseKey], settled_at: float
    ) -> None:
        """Update the orphaned slots from the server's own count of running tasks.

        Parameters
        ----------
        running : int
            Tasks that the server reported as running.
        reached : set of LeaseKey
            Leases whose tasks had reached the server when it was probed.  Each one that is still
            held accounts for a running task; only the remaining tasks can be orphans.
        settled_at : float
            Monotonic seconds; tasks sent by then had reached the server when it replied.  The reply
            is ignored if slots were orphaned later.
        """
        if settled_at >= self.orphaned_at:
            unknown = max(0, running - len(reached & self.leases.keys()))
            self.orphans = min(self.orphans, unknown)

    def overdue_leases(self, now: float, min_age_s: float) -> list[slot_lease.Lease]:
        """Return leases that greatly exceed their expected run time, oldest first.

        A lease that appeared to be running when probed is due again at twice its age then: the
        server may have counted a newly started task in its place.
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
        """Mark leases as stalled if the server runs fewer tasks than it has leases.

        The requests or their replies were lost on a half-open connection.  The jobs cannot
        complete any more, but the slots are free.

        Parameters
        ----------
        running : int
            Tasks that the server reported as running.
        reached : set of LeaseKey
            Leases whose tasks had reached the server by then.
        overdue : list of Lease
            Overdue leases, oldest first.
        now : float
            Monotonic seconds.
        """
        stalled_count = len((reached & self.leases.keys()) - self.stalled) - running
        present = [lease.key for lease in overdue if lease.key in self.leases]
        count = max(0, stalled_count)
        self.stalled.update(present[:count])
        for key in present[count:]:
            self.checked_ages_s[key] = now - self.leases[key].granted_at
