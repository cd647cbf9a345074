"""One instance's view of the fleet: known instances, their liveness, and the owner of each pool."""

from collections.abc import Callable

import attrs
import msgspec

from rosedyke import runtime as runtime_module
from rosedyke.observe import event
from rosedyke.overload import own_delay
from rosedyke.rerunnable_jobs import events, learned_state, messages, ports, routing, settings

# An instance is alive if a message from it came within this time; seven missed renewals.
LIVENESS_TIMEOUT_S = 0.7
# An instance that sent no message for this long is removed unless the platform lists it.
INSTANCE_EXPIRY_S = 10.0
# How long the computed set of alive instances is reused.
LIVENESS_CACHE_S = 0.02
# Interval of renewals with instances that own no local pool and run no job of this instance.
NEIGHBOUR_INTERVAL_S = 0.3
# In a larger fleet the interval grows with the number of instances, so that an instance sends at
# most 40 such renewals a second.
SMALL_FLEET_SIZE = 12
# A report does not include tasks that were submitted to the pool less than this before it arrived.
REPORT_LAG_S = 0.03
# Reports older than this are not used to choose a pool.  Owners in other data centres send one
# every ``neighbour_interval_s``.
REPORT_MAX_AGE_S = 0.5
# Former owners of each pool whose last version of servers is remembered.
MAX_FORMER_OWNERS = 8
# An instance counts at most some 10,000 parts and claims a second.
FIRST_NUMBER_RANGE = 1 << 48


@attrs.define
class OwnerState:
    """What this instance knows about the owner of one pool.

    Attributes
    ----------
    clock_offset_s : float or None
        The owner's clock minus the local clock, None before its first report.  Too low by the
        transit time of the report, so a computed age is never too small.
    claims_version : int
        Version of this instance's claims at which it recorded this one.
    submitted : list of (float, int)
        Time and millicores of each submission that the last report does not include yet.
    servers : dict of str to float, or None
        The last servers and speeds that the owner reported under this token, None before the first.
    servers_version, speeds_version : int
        The versions of the servers and of the speeds.
    earlier_owners : tuple of KnownOwner
        The earlier owners of the pool, as reported with ``servers``.
    newest_servers_version : int
        The highest version of the servers that a report mentioned.
    servers_confirmed_at : float
        When a report last showed that ``servers`` had not changed.
    learned : ReceivedState or None
        What the owner has learned, as last reported under this token.
    learned_version : int
        Its version, 0 before the first.
    reported_at : float
        When the last report arrived.
    asked_at : float
        When this instance last asked the owner for free capacity of the pool.
    """

    claim: messages.Claim
    last_contact_at: float
    claims_version: int
    report: messages.PoolReport | None = None
    clock_offset_s: float | None = None
    submitted: list[tuple[float, int]] = attrs.Factory(list)
    servers: dict[str, float] | None = None
    servers_version: int = 0
    speeds_version: int = 0
    earlier_owners: tuple[messages.KnownOwner, ...] = ()
    newest_servers_version: int = 0
    servers_confirmed_at: float = float("-inf")
    learned: learned_state.ReceivedState | None = None
    learned_version: int = 0
    reported_at: float = float("-inf")
    asked_at: float = float("-inf")

    @property
    def submitted_millicores(self) -> int:
        """Millicores submitted by this instance that the last report does not include yet."""
        return sum(millicores for _, millicores in self.submitted)

    def has_free_capacity(self, millicores: int) -> bool:
        """Return whether the last report shows free capacity for a task of this size."""
        free = routing.free_millicores(self.report, millicores)
        return free - self.submitted_millicores >= millicores

    def offerable_millicores(self, smallest: int) -> int:
        """Return the free capacity that the owner may offer for tasks of at least some size.

        None if it was asked since its last report: it has offered what it had, or does not answer.
        """
        if self.report is None or self.asked_at >= self.reported_at:
            return 0
        free = routing.free_millicores(self.report, smallest)
        return max(0, free - self.submitted_millicores)

    def record_report(self, report: messages.PoolReport, now: float) -> None:
        """Store a report that has just arrived."""
        self.last_contact_at, self.reported_at, self.report = now, now, report
        cutoff = now - REPORT_LAG_S
        self.submitted = [submission for submission in self.submitted if submission[0] > cutoff]
        version = report.servers_version
        self.newest_servers_version = max(self.newest_servers_version, version)
        # A delayed report may contain an older set than the known one.
        versions = (version, report.speeds_version)
        known_versions = (self.servers_version, self.speeds_version)
        if report.servers is not None and (self.servers is None or versions > known_versions):
            self.servers, (self.servers_version, self.speeds_version) = report.servers, versions
            reported = report.earlier_owners
            self.earlier_owners = () if reported is msgspec.UNSET else reported
        if self.servers is not None and version == self.servers_version:
            self.servers_confirmed_at = now
        learned = report.learned
        # Of a known version a delayed report has only outdated remaining times.
        if learned is not msgspec.UNSET and learned.version > self.learned_version:
            self.learned = learned_state.receive(learned, now)
            self.learned_version = learned.version

    def complete_servers(self, since: float) -> frozenset[str] | None:
        """Return all servers that may have runs of the owner, None if some may be unknown.

        A set is complete only if no later version has been mentioned, because the owner may have
        started tasks on a server that it has added since.

        Parameters
        ----------
        since : float
            The earliest time of the report that last confirmed the set.
        """
        is_current = self.servers_version == self.newest_servers_version
        if self.servers is None or not is_current or self.servers_confirmed_at < since:
            return None
        return frozenset(self.servers)


class FleetView:
    """The instances and pool owners that this instance knows.

    Parameters
    ----------
    this_instance : Instance
        This instance.
    delay : OwnDelay or None
        The instance's own delay; None if its link is unlimited.
    """

    def __init__(
        self,
        this_instance: messages.Instance,
        timing: settings.RerunSettings,
        runtime: runtime_module.Runtime,
        directory: ports.InstanceDirectory,
        delay: own_delay.OwnDelay | None = None,
    ):
        self.delay = delay or own_delay.OwnDelay(runtime)
        self.this_instance = this_instance
        # Factor on the renewal intervals in a large fleet.
        self.interval_factor = 1.0
        # Since when no pool owner has been reachable, None while one is.
        self.isolated_since: float | None = runtime.now()
        self.timing = timing
        self.runtime = runtime
        self.directory = directory
        self.last_contact: dict[str, float] = {}
        # When a message from any other instance last came.
        self.heard_at = float("-inf")
        self.alive_since: dict[str, float] = {}
        # Instances that have answered a renewal, and told the claims that they know.
        self.answered: set[str] = set()
        self.contacted: dict[str, messages.Instance] = {}
        # Cached result of ``instances``, None after a change.
        self.cached_instances: dict[str, messages.Instance] | None = None
        self.directory_snapshot: tuple[messages.Instance, ...] = ()
        self.cached_alive: frozenset[str] = frozenset()
        self.liveness_checked_at = -LIVENESS_CACHE_S
        self.owners: dict[str, OwnerState] = {}
        # When the last known owner of a pool without one was last heard from.
        self.former_owner_heard_at: dict[str, float] = {}
        self.highest_tokens: dict[str, int] = {}
        # By pool: the newest version of the servers of each former owner that was seen, by token.
        self.former_servers_versions: dict[str, dict[int, int]] = {}
        # Random, so that numbers counted from it match none of an earlier incarnation, which peers
        # or delayed messages may still mention.
        self.first_number = 1 + int(runtime.random() * FIRST_NUMBER_RANGE)
        # Increases with each recorded claim.
        self.claims_version = self.first_number
        # Called with each newer claim, and with an owner's claim after its first report.
        self.claim_callbacks: list[Callable[[messages.Claim], None]] = []
        self.owner_callbacks: list[Callable[[messages.Claim], None]] = []
        # Called after the removal of an owner, which may have been a mistake.
        self.removal_callbacks: list[Callable[[], None]] = []

    def instances(self) -> dict[str, messages.Instance]:
        """Return all other known instances by name.

        Returns the same object until the set changes.  Callers must not modify it.
        """
        snapshot = self.directory.instances()
        if self.cached_instances is None or snapshot is not self.directory_snapshot:
            self.directory_snapshot = snapshot
            self.cached_instances = {
                instance.name: instance for instance in snapshot
            } | self.contacted
            self.cached_instances.pop(self.this_instance.name, None)
        return self.cached_instances

    def alive(self) -> frozenset[str]:
        """Return the names of all other instances that are alive.

        Returns the same object until the set changes, so that results computed from it can be
        cached.
        """
        now = self.runtime.now()
        if now - self.liveness_checked_at >= LIVENESS_CACHE_S:
            self.liveness_checked_at = now
            bound_s = self._liveness_timeout_s(now)
            names = frozenset(
                name
                for name, last_contact_at in self.last_contact.items()
                if now - last_contact_at < bound_s
            )
            if names != self.cached_alive:
                self.cached_alive = names
        return self.cached_alive

    def record_contact(self, instance: messages.Instance) -> None:
        """Record that a message from an instance has arrived."""
        if instance.name == self.this_instance.name:
            return
        now = self.runtime.now()
        if not self.is_alive(instance.name):
            self.alive_since[instance.name] = now
            self.liveness_checked_at = now - LIVENESS_CACHE_S
        self.last_contact[instance.name] = self.heard_at = now
        if self.contacted.get(instance.name) != instance:
            self.contacted[instance.name] = instance
            self.cached_instances = None

    def record_heard(self) -> None:
        """Record that a message from any other instance has arrived."""
        self.heard_at = self.runtime.now()

    def is_alive(self, name: str) -> bool:
        """Return whether a message from an instance came within the liveness timeout."""
        last_contact_at, now = self.last_contact.get(name), self.runtime.now()
        return last_contact_at is not None and now - last_contact_at < self._liveness_timeout_s(now)

    def _liveness_timeout_s(self, now):
        return LIVENESS_TIMEOUT_S * self.interval_factor + self.delay.allowance_s(now)

    def contact_age_s(self, name: str) -> float:
        """Return the seconds since the last message from an instance, infinity if none came."""
        last_contact_at = self.last_contact.get(name)
        return float("inf") if last_contact_at is None else self.runtime.now() - last_contact_at

    def alive_duration_s(self, name: str) -> float:
        """Return for how many seconds an instance has been alive without a gap, 0 if it is not."""
        return self.runtime.now() - self.alive_since[name] if self.is_alive(name) else 0.0

    def neighbour_interval_s(self) -> float:
        """Return the interval of renewals with instances that are needed only for liveness."""
        return NEIGHBOUR_INTERVAL_S * self.interval_factor

    def owner_interval_s(self) -> float:
        """Return the interval of renewals with owners that run its jobs or that it watches.

        Grows with the square of the fleet, as the number of holder-owner pairs does.
        """
        return min(self.timing.renew_s * self.interval_factor**2, self.timing.renew_at_most_s)

    def added_owner_timeout_s(self) -> float:
        """Return by how much an owner's timeout is longer than in a small fleet."""
        return self.owner_interval_s() - self.timing.renew_s

    def added_timeout_s(self) -> float:
        """Return by how much other instances' timeout is longer than in a small fleet."""
        return self.neighbour_interval_s() - NEIGHBOUR_INTERVAL_S

    def has_recent_report(self, pool: str) -> bool:
        """Return whether the last report of a pool's owner is recent enough to be used."""
        state = self.owners.get(pool)
        if state is None or state.report is None:
            return False
        return self.owner_contact_age_s(pool) <= REPORT_MAX_AGE_S + self.added_timeout_s()

    def expire_instances(self) -> None:
        """Remove unresponsive instances and adjust the intervals to the size of the fleet."""
        now = self.runtime.now()
        self.interval_factor = max(1.0, len(self.instances()) / SMALL_FLEET_SIZE)
        if any(self.has_recent_report(pool) for pool in self.owners):
            self.isolated_since = None
        elif self.isolated_since is None:
            self.isolated_since = now
        for name in [
            name
            for name, last_contact_at in self.last_contact.items()
            if now - last_contact_at > INSTANCE_EXPIRY_S
        ]:
            del self.last_contact[name], self.alive_since[name]
            self.contacted.pop(name, None)
            self.cached_instances = None

    def reset_owner_contacts(self) -> None:
        """Restart all owner timeouts after a process pause, during which nothing was received."""
        now = self.runtime.now()
        for state in self.owners.values():
            state.last_contact_at = now

    # Owners.

    def record_claim(self, claim: messages.Claim, is_own: bool = False) -> bool:
        """Store a claim and return whether it is newer than the known one.

        A claim by this instance that comes from a peer was made by an earlier incarnation, so only
        its token is recorded.
        """
        highest_token = self.highest_tokens.get(claim.pool, 0)
        # The owner may have been removed by mistake, for example when a report sent before the
        # claim arrived after it.
        is_forgotten = claim.token == highest_token and claim.pool not in self.owners
        if claim.token <= highest_token and not is_forgotten:
            return False
        self.highest_tokens[claim.pool] = claim.token
        if claim.owner.name == self.this_instance.name and not is_own:
            self._forget_owner(claim.pool)
            return False
        self._remember_servers_version(claim.pool)
        self.claims_version += 1
        self.owners[claim.pool] = OwnerState(claim, self.runtime.now(), self.claims_version)
        event.log(events.OWNER_CHANGED, pool=claim.pool, owner=claim.owner.name, token=claim.token)
        for callback in self.claim_callbacks:
            callback(claim)
        return True

    def record_report(
        self, sender: messages.Instance, report: messages.PoolReport, clock_s: float
    ) -> None:
        """Store an owner's report about its pool; ``clock_s`` is the owner's clock."""
        self.record_claim(messages.Claim(report.pool, sender, report.token))
        state = self.owners.get(report.pool)
        if state is None or state.claim.token != report.token:
            return
        state.record_report(report, self.runtime.now())
        is_first = state.clock_offset_s is None
        state.clock_offset_s = clock_s - state.last_contact_at
        if is_first:
            for callback in self.owner_callbacks:
                callback(state.claim)

    def refresh_report(self, report: messages.PoolReport) -> None:
        """Store a report that was attached to another message of a pool's owner."""
        state = self.owners.get(report.pool)
        if state is not None and state.report is not None and state.claim.token == report.token:
            state.record_report(report, self.runtime.now())

    def record_submission(self, pool: str, millicores: int) -> None:
        """Record that this instance has submitted tasks to a pool."""
        state = self.owners.get(pool)
        if state is not None:
            state.submitted.append((self.runtime.now(), millicores))

    def remove_owner(self, pool: str, owner: str) -> None:
        """Remove an owner that no longer claims the pool."""
        state = self.owners.get(pool)
        if state is not None and state.claim.owner.name == owner:
            event.log(events.OWNER_GONE, pool=pool, owner=owner)
            self._forget_owner(pool)
            for callback in self.removal_callbacks:
                callback()

    def _forget_owner(self, pool):
        if pool in self.owners:
            heard_at = self.runtime.now() - self.owner_contact_age_s(pool)
            self.former_owner_heard_at[pool] = heard_at
            self._remember_servers_version(pool)
            del self.owners[pool]

    def _remember_servers_version(self, pool):
        state = self.owners.get(pool)
        if state is not None:
            self.record_servers_version(pool, state.claim.token, state.newest_servers_version)

    def record_servers_version(self, pool: str, token: int, version: int) -> None:
        """Store the version of the servers that an owner had at the end of its ownership."""
        versions = self.former_servers_versions.setdefault(pool, {})
        versions[token] = max(version, versions.get(token, 0))
        if len(versions) > MAX_FORMER_OWNERS:
            del versions[min(versions)]

    def newest_servers_version(self, pool: str, token: int) -> int | None:
        """Return the newest version of an owner's servers that was seen, None if it is unknown."""
        state = self.owners.get(pool)
        if state is not None and state.claim.token == token:
            return state.newest_servers_version
        return self.former_servers_versions.get(pool, {}).get(token)

    def claim_of(self, pool: str) -> messages.Claim | None:
        """Return the newest claim of a pool."""
        state = self.owners.get(pool)
        return state.claim if state else None

    def owner_contact_age_s(self, pool: str) -> float:
        """Return the seconds since the last message from a pool's owner, or its last known one."""
        state = self.owners.get(pool)
        if state is None:
            return self.runtime.now() - self.former_owner_heard_at.get(pool, float("-inf"))
        if state.claim.owner.name == self.this_instance.name:
            return 0.0
        return self.runtime.now() - state.last_contact_at

    def servers_versions(self, owner: str) -> dict[str, tuple[int, ...]]:
        """Return ``Renew.servers_versions`` of what is known of each pool of an owner."""
        return {
            pool: (
                state.claim.token,
                state.servers_version,
                state.speeds_version,
                *((state.learned_version,) if state.learned_version else ()),
            )
            for pool, state in self.owners.items()
            if state.claim.owner.name == owner
            and (state.servers is not None or state.learned_version)
        }

    def claims_since(self, version: int) -> tuple[messages.Claim, ...]:
        """Return the claims recorded after a version, or all if it is of an earlier incarnation."""
        if version == self.claims_version:
            return ()
        if not self.first_number <= version <= self.claims_version:
            version = 0
        return tuple(
            state.claim for state in self.owners.values() if state.claims_version > version
        )
