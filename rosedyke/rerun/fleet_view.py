"""What an instance knows of the others: who exists, who answers, and who owns which pool."""

from collections.abc import Callable

import attrs

from rosedyke import runtime as runtime_module
from rosedyke.observe import event
from rosedyke.rerun import events, messages, ports, settings

# An instance that has answered within this time counts as alive; seven missed renewals.
ALIVE_S = 0.7
# An instance that neither the platform lists nor anybody hears is forgotten.
FORGET_S = 10.0
# For how long the set of instances that are alive is kept before it is worked out again.
ALIVE_KEPT_S = 0.02
# Instances that neither own a near pool nor have jobs of this one are asked this often.
NEIGHBOUR_S = 0.3
# In a fleet of more instances than this each is asked less often, so that an instance sends no more
# than 40 such renewals a second, however many there are.
SMALL_FLEET = 12
# A report doesn't tell of tasks that were handed to the pool less than this before it came.
IN_FLIGHT_S = 0.03
# A report says something about the room in a pool for so long, as owners far away send one each
# ``neighbour_s``.
FRESH_S = 0.5


@attrs.define
class Known:
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
    heard_at: float
    report: messages.PoolReport | None = None
    clock_offset_s: float | None = None
    submitted: list[tuple[float, int]] = attrs.Factory(list)

    @property
    def submitted_millicores(self) -> int:
        """What this instance has handed to it of which its last report doesn't tell."""
        return sum(millicores for _, millicores in self.submitted)

    def has_room(self, millicores: int) -> bool:
        """Return whether its last report shows room for a task of this size."""
        free = sum(free for free, _ in self.report.rooms if free >= millicores)
        return free - self.submitted_millicores >= millicores

    def take_report(self, report: messages.PoolReport, now: float) -> None:
        """Take in what the owner has said just now."""
        self.heard_at, self.report = now, report
        since = now - IN_FLIGHT_S
        self.submitted = [each for each in self.submitted if each[0] > since]


class Fleet:
    """The instances and owners as this instance sees them.

    Parameters
    ----------
    own : Instance
        This instance.
    """

    def __init__(
        self,
        own: messages.Instance,
        times: settings.RerunSettings,
        runtime: runtime_module.Runtime,
        directory: ports.Directory,
    ):
        self.own = own
        # By which factor a larger fleet is asked less often.
        self.stretch = 1.0
        # Since when no pool's owner has been in reach, None while one is.
        self.blind_since: float | None = runtime.now()
        self.times = times
        self.runtime = runtime
        self.directory = directory
        self.heard: dict[str, float] = {}
        self.since: dict[str, float] = {}
        self.met: dict[str, messages.Instance] = {}
        # What ``instances`` returns, None once an instance has come, changed or gone.
        self.by_name: dict[str, messages.Instance] | None = None
        self.listed: tuple[messages.Instance, ...] = ()
        self.alive_names: frozenset[str] = frozenset()
        self.counted_at = -ALIVE_KEPT_S
        self.pools: dict[str, Known] = {}
        self.highest: dict[str, int] = {}
        # Called with each newer claim, and with each owner once it has reported itself.
        self.on_claim: list[Callable[[messages.Claim], None]] = []
        self.on_owner: list[Callable[[messages.Claim], None]] = []

    def instances(self) -> dict[str, messages.Instance]:
        """Return all known instances by name, without the own one.

        The same object until one has come, changed or gone; it must not be changed.
        """
        listed = self.directory.instances()
        if self.by_name is None or listed is not self.listed:
            self.listed = listed
            self.by_name = {each.name: each for each in listed} | self.met
            self.by_name.pop(self.own.name, None)
        return self.by_name

    def alive(self) -> frozenset[str]:
        """Return the names of all instances that were heard lately, without the own one.

        The same object until one has come or gone, so that what is worked out from it can be kept.
        """
        now = self.runtime.now()
        if now - self.counted_at >= ALIVE_KEPT_S:
            self.counted_at = now
            bound_s = ALIVE_S * self.stretch
            names = frozenset(name for name, at in self.heard.items() if now - at < bound_s)
            if names != self.alive_names:
                self.alive_names = names
        return self.alive_names

    def note(self, instance: messages.Instance) -> None:
        """Note that an instance was heard."""
        if instance.name == self.own.name:
            return
        now = self.runtime.now()
        if not self.is_alive(instance.name):
            self.since[instance.name] = now
            self.counted_at = now - ALIVE_KEPT_S
        self.heard[instance.name] = now
        if self.met.get(instance.name) != instance:
            self.met[instance.name] = instance
            self.by_name = None

    def is_alive(self, name: str) -> bool:
        """Return whether an instance was heard lately."""
        heard_at = self.heard.get(name)
        return heard_at is not None and self.runtime.now() - heard_at < ALIVE_S * self.stretch

    def silent_for(self, name: str) -> float:
        """Return for how many seconds an instance has not been heard, infinity if it never was."""
        heard_at = self.heard.get(name)
        return float("inf") if heard_at is None else self.runtime.now() - heard_at

    def alive_for(self, name: str) -> float:
        """Return for how many seconds an instance has been heard without a gap, 0 if it isn't."""
        return self.runtime.now() - self.since[name] if self.is_alive(name) else 0.0

    def neighbour_s(self) -> float:
        """Return how often instances are asked of which nothing special is wanted."""
        return NEIGHBOUR_S * self.stretch

    def owner_renewal_s(self) -> float:
        """Return how often owners are asked that have jobs of this instance or that it watches.

        With the fleet the pairs of holders and owners grow by its square.
        """
        return min(self.times.renew_s * self.stretch**2, self.times.renew_at_most_s)

    def added_owner_silence_s(self) -> float:
        """Return how much longer than in a small fleet such an owner may stay unheard."""
        return self.owner_renewal_s() - self.times.renew_s

    def added_silence_s(self) -> float:
        """Return how much longer than in a small fleet such an instance may stay unheard."""
        return self.neighbour_s() - NEIGHBOUR_S

    def is_fresh(self, pool: str) -> bool:
        """Return whether a pool's owner has reported lately."""
        known = self.pools.get(pool)
        if known is None or known.report is None:
            return False
        return self.silence_s(pool) <= FRESH_S + self.added_silence_s()

    def forget_old(self) -> None:
        """Drop instances that have been silent for long, and count the others."""
        now = self.runtime.now()
        self.stretch = max(1.0, len(self.instances()) / SMALL_FLEET)
        if any(self.is_fresh(pool) for pool in self.pools):
            self.blind_since = None
        elif self.blind_since is None:
            self.blind_since = now
        for name in [name for name, at in self.heard.items() if now - at > FORGET_S]:
            del self.heard[name], self.since[name]
            self.met.pop(name, None)
            self.by_name = None

    def after_pause(self) -> None:
        """Begin to listen anew: the own loop stood still, so silence proves nothing."""
        now = self.runtime.now()
        for known in self.pools.values():
            known.heard_at = now

    # Owners.

    def take_claim(self, claim: messages.Claim, is_own: bool = False) -> bool:
        """Take a claim in if it is newer than what is known; return whether it was.

        A claim in the own name that others tell of is from an earlier life of this instance, so
        only its token counts.
        """
        highest = self.highest.get(claim.pool, 0)
        # An owner that was forgotten by mistake, for example since its report from before the
        # claim came after it, is taken again.
        is_forgotten = claim.token == highest and claim.pool not in self.pools
        if claim.token <= highest and not is_forgotten:
            return False
        self.highest[claim.pool] = claim.token
        if claim.owner.name == self.own.name and not is_own:
            self.pools.pop(claim.pool, None)
            return False
        self.pools[claim.pool] = Known(claim, self.runtime.now())
        event.log(events.OWNER_CHANGED, pool=claim.pool, owner=claim.owner.name, token=claim.token)
        for callback in self.on_claim:
            callback(claim)
        return True

    def take_report(
        self, sender: messages.Instance, report: messages.PoolReport, clock_s: float
    ) -> None:
        """Take in what an owner says of its pool; ``clock_s`` is its clock."""
        self.take_claim(messages.Claim(report.pool, sender, report.token))
        known = self.pools.get(report.pool)
        if known is None or known.claim.token != report.token:
            return
        known.take_report(report, self.runtime.now())
        is_first = known.clock_offset_s is None
        known.clock_offset_s = clock_s - known.heard_at
        if is_first:
            for callback in self.on_owner:
                callback(known.claim)

    def take_room(self, report: messages.PoolReport) -> None:
        """Take in a report that came with another message of a pool's owner."""
        known = self.pools.get(report.pool)
        if known is not None and known.report is not None and known.claim.token == report.token:
            known.take_report(report, self.runtime.now())

    def note_submitted(self, pool: str, millicores: int) -> None:
        """Note that this instance has handed tasks to a pool."""
        known = self.pools.get(pool)
        if known is not None:
            known.submitted.append((self.runtime.now(), millicores))

    def disclaim(self, pool: str, owner: str) -> None:
        """Forget an owner that says that it doesn't own the pool."""
        known = self.pools.get(pool)
        if known is not None and known.claim.owner.name == owner:
            event.log(events.OWNER_GONE, pool=pool, owner=owner)
            del self.pools[pool]

    def owner_of(self, pool: str) -> messages.Claim | None:
        """Return the newest claim of a pool."""
        known = self.pools.get(pool)
        return known.claim if known else None

    def silence_s(self, pool: str) -> float:
        """Return for how long a pool's owner has not been heard."""
        known = self.pools[pool]
        if known.claim.owner.name == self.own.name:
            return 0.0
        return self.runtime.now() - known.heard_at

    def newer_claims(self, tokens: dict[str, int]) -> tuple[messages.Claim, ...]:
        """Return the claims that an instance with these tokens doesn't know."""
        return tuple(
            known.claim
            for pool, known in self.pools.items()
            if known.claim.token > tokens.get(pool, 0)
        )

    def tokens(self) -> dict[str, int]:
        """Return the token of each pool's owner."""
        return {pool: known.claim.token for pool, known in self.pools.items()}
