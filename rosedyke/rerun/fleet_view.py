"""What an instance knows of the others: who exists, who answers, and who owns which pool."""

from collections.abc import Callable

import attrs

from rosedyke import runtime as runtime_module
from rosedyke.observe import event
from rosedyke.rerun import events, messages, ports, settings

# An instance that has answered within this time counts as alive; seven missed renewals.
LIVENESS_TIMEOUT_S = 0.7
# An instance that neither the platform lists nor anybody hears is forgotten.
INSTANCE_EXPIRY_S = 10.0
# For how long the set of instances that are alive is kept before it is worked out again.
LIVENESS_CACHE_S = 0.02
# Instances that neither own a near pool nor have jobs of this one are asked this often.
NEIGHBOUR_INTERVAL_S = 0.3
# In a fleet of more instances than this each is asked less often, so that an instance sends no more
# than 40 such renewals a second, however many there are.
SMALL_FLEET_SIZE = 12
# A report doesn't tell of tasks that were handed to the pool less than this before it came.
REPORT_LAG_S = 0.03
# A report says something about the room in a pool for so long, as owners far away send one each
# ``neighbour_interval_s``.
REPORT_MAX_AGE_S = 0.5


@attrs.define
class OwnerState:
    """What is known of one owner.

    Attributes
    ----------
    clock_offset_s : float or None
        The owner's clock less the own one, None before its first report.  Too low by the time
        that the report took, so what is reckoned by it looks older, never younger.
    submitted : list of (float, int)
        When this instance has handed how many millicores to it of which its last report doesn't
        tell.
    """

    claim: messages.Claim
    last_contact_at: float
    report: messages.PoolReport | None = None
    clock_offset_s: float | None = None
    submitted: list[tuple[float, int]] = attrs.Factory(list)

    @property
    def submitted_millicores(self) -> int:
        """What this instance has handed to it of which its last report doesn't tell."""
        return sum(millicores for _, millicores in self.submitted)

    def has_free_capacity(self, millicores: int) -> bool:
        """Return whether its last report shows room for a task of this size."""
        free = sum(free for free, _ in self.report.rooms if free >= millicores)
        return free - self.submitted_millicores >= millicores

    def record_report(self, report: messages.PoolReport, now: float) -> None:
        """Take in what the owner has said just now."""
        self.last_contact_at, self.report = now, report
        cutoff = now - REPORT_LAG_S
        self.submitted = [submission for submission in self.submitted if submission[0] > cutoff]


class FleetView:
    """The instances and owners as this instance sees them.

    Parameters
    ----------
    own : Instance
        This instance.
    """

    def __init__(
        self,
        own: messages.Instance,
        rerun_settings: settings.RerunSettings,
        runtime: runtime_module.Runtime,
        directory: ports.Directory,
    ):
        self.own = own
        # By which factor a larger fleet is asked less often.
        self.interval_factor = 1.0
        # Since when no pool's owner has been in reach, None while one is.
        self.isolated_since: float | None = runtime.now()
        self.settings = rerun_settings
        self.runtime = runtime
        self.directory = directory
        self.last_contact: dict[str, float] = {}
        self.alive_since: dict[str, float] = {}
        self.contacted: dict[str, messages.Instance] = {}
        # What ``instances`` returns, None once an instance has come, changed or gone.
        self.cached_instances: dict[str, messages.Instance] | None = None
        self.directory_snapshot: tuple[messages.Instance, ...] = ()
        self.cached_alive: frozenset[str] = frozenset()
        self.liveness_checked_at = -LIVENESS_CACHE_S
        self.owners: dict[str, OwnerState] = {}
        self.highest_tokens: dict[str, int] = {}
        # Called with each newer claim, and with each owner once it has reported itself.
        self.claim_callbacks: list[Callable[[messages.Claim], None]] = []
        self.owner_callbacks: list[Callable[[messages.Claim], None]] = []

    def instances(self) -> dict[str, messages.Instance]:
        """Return all known instances by name, without the own one.

        The same object until one has come, changed or gone; it must not be changed.
        """
        snapshot = self.directory.instances()
        if self.cached_instances is None or snapshot is not self.directory_snapshot:
            self.directory_snapshot = snapshot
            self.cached_instances = {
                instance.name: instance for instance in snapshot
            } | self.contacted
            self.cached_instances.pop(self.own.name, None)
        return self.cached_instances

    def alive(self) -> frozenset[str]:
        """Return the names of all instances that were heard lately, without the own one.

        The same object until one has come or gone, so that what is worked out from it can be kept.
        """
        now = self.runtime.now()
        if now - self.liveness_checked_at >= LIVENESS_CACHE_S:
            self.liveness_checked_at = now
            bound_s = LIVENESS_TIMEOUT_S * self.interval_factor
            names = frozenset(
                name
                for name, last_contact_at in self.last_contact.items()
                if now - last_contact_at < bound_s
            )
            if names != self.cached_alive:
                self.cached_alive = names
        return self.cached_alive

    def record_contact(self, instance: messages.Instance) -> None:
        """Note that an instance was heard."""
        if instance.name == self.own.name:
            return
        now = self.runtime.now()
        if not self.is_alive(instance.name):
            self.alive_since[instance.name] = now
            self.liveness_checked_at = now - LIVENESS_CACHE_S
        self.last_contact[instance.name] = now
        if self.contacted.get(instance.name) != instance:
            self.contacted[instance.name] = instance
            self.cached_instances = None

    def is_alive(self, name: str) -> bool:
        """Return whether an instance was heard lately."""
        last_contact_at = self.last_contact.get(name)
        return (
            last_contact_at is not None
            and self.runtime.now() - last_contact_at < LIVENESS_TIMEOUT_S * self.interval_factor
        )

    def contact_age_s(self, name: str) -> float:
        """Return for how many seconds an instance has not been heard, infinity if it never was."""
        last_contact_at = self.last_contact.get(name)
        return float("inf") if last_contact_at is None else self.runtime.now() - last_contact_at

    def alive_duration_s(self, name: str) -> float:
        """Return for how many seconds an instance has been heard without a gap, 0 if it isn't."""
        return self.runtime.now() - self.alive_since[name] if self.is_alive(name) else 0.0

    def neighbour_interval_s(self) -> float:
        """Return how often instances are asked of which nothing special is wanted."""
        return NEIGHBOUR_INTERVAL_S * self.interval_factor

    def owner_interval_s(self) -> float:
        """Return how often owners are asked that have jobs of this instance or that it watches.

        With the fleet the pairs of holders and owners grow by its square.
        """
        return min(self.settings.renew_s * self.interval_factor**2, self.settings.renew_at_most_s)

    def added_owner_timeout_s(self) -> float:
        """Return how much longer than in a small fleet such an owner may stay unheard."""
        return self.owner_interval_s() - self.settings.renew_s

    def added_timeout_s(self) -> float:
        """Return how much longer than in a small fleet such an instance may stay unheard."""
        return self.neighbour_interval_s() - NEIGHBOUR_INTERVAL_S

    def has_recent_report(self, pool: str) -> bool:
        """Return whether a pool's owner has reported lately."""
        owner = self.owners.get(pool)
        if owner is None or owner.report is None:
            return False
        return self.owner_contact_age_s(pool) <= REPORT_MAX_AGE_S + self.added_timeout_s()

    def expire_instances(self) -> None:
        """Drop instances that have been silent for long, and count the others."""
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
        """Begin to listen anew: the own loop stood still, so silence proves nothing."""
        now = self.runtime.now()
        for state in self.owners.values():
            state.last_contact_at = now

    # Owners.

    def record_claim(self, claim: messages.Claim, is_own: bool = False) -> bool:
        """Take a claim in if it is newer than what is known; return whether it was.

        A claim in the own name that others tell of is from an earlier life of this instance, so
        only its token counts.
        """
        highest_token = self.highest_tokens.get(claim.pool, 0)
        # An owner that was forgotten by mistake, for example since its report from before the
        # claim came after it, is taken again.
        is_forgotten = claim.token == highest_token and claim.pool not in self.owners
        if claim.token <= highest_token and not is_forgotten:
            return False
        self.highest_tokens[claim.pool] = claim.token
        if claim.owner.name == self.own.name and not is_own:
            self.owners.pop(claim.pool, None)
            return False
        self.owners[claim.pool] = OwnerState(claim, self.runtime.now())
        event.log(events.OWNER_CHANGED, pool=claim.pool, owner=claim.owner.name, token=claim.token)
        for callback in self.claim_callbacks:
            callback(claim)
        return True

    def record_report(
        self, sender: messages.Instance, report: messages.PoolReport, clock_s: float
    ) -> None:
        """Take in what an owner says of its pool; ``clock_s`` is its clock."""
        self.record_claim(messages.Claim(report.pool, sender, report.token))
        owner = self.owners.get(report.pool)
        if owner is None or owner.claim.token != report.token:
            return
        owner.record_report(report, self.runtime.now())
        is_first = owner.clock_offset_s is None
        owner.clock_offset_s = clock_s - owner.last_contact_at
        if is_first:
            for callback in self.owner_callbacks:
                callback(owner.claim)

    def refresh_report(self, report: messages.PoolReport) -> None:
        """Take in a report that came with another message of a pool's owner."""
        state = self.owners.get(report.pool)
        if state is not None and state.report is not None and state.claim.token == report.token:
            state.record_report(report, self.runtime.now())

    def record_submission(self, pool: str, millicores: int) -> None:
        """Note that this instance has handed tasks to a pool."""
        state = self.owners.get(pool)
        if state is not None:
            state.submitted.append((self.runtime.now(), millicores))

    def remove_owner(self, pool: str, owner: str) -> None:
        """Forget an owner that says that it doesn't own the pool."""
        state = self.owners.get(pool)
        if state is not None and state.claim.owner.name == owner:
            event.log(events.OWNER_GONE, pool=pool, owner=owner)
            del self.owners[pool]

    def claim_of(self, pool: str) -> messages.Claim | None:
        """Return the newest claim of a pool."""
        state = self.owners.get(pool)
        return state.claim if state else None

    def owner_contact_age_s(self, pool: str) -> float:
        """Return for how long a pool's owner has not been heard."""
        state = self.owners[pool]
        if state.claim.owner.name == self.own.name:
            return 0.0
        return self.runtime.now() - state.last_contact_at

    def claims_newer_than(self, tokens: dict[str, int]) -> tuple[messages.Claim, ...]:
        """Return the claims that an instance with these tokens doesn't know."""
        return tuple(
            state.claim
            for pool, state in self.owners.items()
            if state.claim.token > tokens.get(pool, 0)
        )

    def tokens(self) -> dict[str, int]:
        """Return the token of each pool's owner."""
        return {pool: owner.claim.token for pool, owner in self.owners.items()}
