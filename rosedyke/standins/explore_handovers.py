"""Trials of a pool whose owner changes twice while its first owner is cut off with a server.

The first owner goes on with the server that is cut off with it.  The others take the pool over, and
lose that owner as well, before or after the end of the partition.  A trial fixes the order of these
steps, so that all of them can be tried.
``python -m rosedyke.standins.explore_handovers`` prints the orders that break a rule.
"""

import itertools
import sys

import attrs

from rosedyke.standins import explore_holders

STARTUP_S = 1.5
SERVERS = 4
# All times count from the begin of the partition.
CUT_S = 4.0
UNLISTED_AFTER_S = 1.5
SUBMITTED_AFTER_S = 2.0
# When the server that was cut off is listed again, counted from the end of the partition.
LISTED_AGAIN_S = 1.5
RUN_S = 6.0
TIMEOUT_S = 14.0
PAUSE_S = 1.5
# After a step at the end of the partition.
WATCH_S = 2.5
RESTART_DELAY_S = 0.5
# The ways in which the second owner is lost.
WAYS = ("none", "handed over", "handed over twice", "killed", "paused", "cut off")
# When, around the end of the partition and after the takeover.
STEPS_S = (
    0.6,
    1.0,
    2.1,
    2.6,
    3.0,
    *(round(3.4 + 0.1 * number, 2) for number in range(12)),
    4.02,
    4.04,
    4.06,
    4.08,
)


@attrs.frozen
class Order:
    """The order of the steps of one trial.

    Attributes
    ----------
    way : str
        How the second owner is lost.
    at_s : float
        When, after the begin of the partition.
    is_unlisted : bool
        The entry of the server that is cut off is removed during the partition.
    tasks : int
        Tasks of the job.
    cut_servers : int
        Servers that are cut off with the first owner.
    """

    way: str
    at_s: float
    is_unlisted: bool = True
    tasks: int = 1
    cut_servers: int = 1


@attrs.frozen
class Result:
    """What a trial has shown.

    Attributes
    ----------
    violations : tuple of str
        Invariants of the servers that did not hold.
    starts : int
        Number of runs that servers have begun.
    ended_as : str
        How the job ended, empty if it did not.
    restarted_after_s : float or None
        Time from the end of the partition to the first start after it, None without one.
    """

    violations: tuple[str, ...]
    starts: int
    ended_as: str
    restarted_after_s: float | None


class Trial:
    """One trial.

    Parameters
    ----------
    order : Order
        The order of its steps.
    """

    def __init__(self, order: Order, seed: int = 1):
        self.order = order
        self.region = explore_holders.PausableRegion({"a": 3}, servers=SERVERS, seed=seed)
        self.runtime = self.region.runtime
        self.started_at: list[float] = []
        on_start = self.region.backend.on_start

        def record_start(server, run):
            self.started_at.append(self.runtime.now())
            on_start(server, run)

        self.region.backend.on_start = record_start

    def run(self) -> Result:
        """Run the trial."""
        self.region.run(STARTUP_S)
        self.first = self.region.owner("a")
        self.servers = sorted(self.region.backend.servers)[: self.order.cut_servers]
        steps = [
            (0.0, self._cut),
            (UNLISTED_AFTER_S, self._remove_entries),
            (SUBMITTED_AFTER_S, self._submit),
            (CUT_S, self._heal),
            (CUT_S + LISTED_AGAIN_S, self._restore_entries),
            (self.order.at_s, self._lose_second_owner),
        ]
        for at_s, step in sorted(steps, key=lambda entry: entry[0]):
            self.region.run(STARTUP_S + at_s - self.runtime.now())
            step()
        self.region.run(WATCH_S)
        healed_at = STARTUP_S + CUT_S
        later = [at for at in self.started_at if at >= healed_at]
        outcome = self.submission.outcome
        return Result(
            tuple(self.region.backend.violations),
            len(self.started_at),
            outcome.end.value if outcome else "",
            later[0] - healed_at if later else None,
        )

    def _others(self):
        return [name for name in self.region.members if name != self.first]

    def _cut(self):
        self.region.partition_instances([self.first], self._others())
        far = [name for name in self.region.backend.servers if name not in self.servers]
        self.region.backend.partitioned = set(itertools.product([self.first], far)) | set(
            itertools.product(self._others(), self.servers)
        )
        self.region.members[self.first].listed.reachable = False

    def _list(self, hidden):
        for name in self._others():
            listed = self.region.members[name].listed
            listed.hidden = hidden
            listed.changed()

    def _remove_entries(self):
        if self.order.is_unlisted:
            self._list(set(self.servers))

    def _restore_entries(self):
        self._list(set())

    def _submit(self):
        self.submission = self.region.submit(self.first, "j1", self.order.tasks, RUN_S, TIMEOUT_S)

    def _heal(self):
        self.region.network.heal()
        self.region.backend.partitioned = set()
        if self.first in self.region.members:
            self.region.members[self.first].listed.reachable = True

    def _lose_second_owner(self):
        second = self.region.owner("a")
        if second == self.first:
            return
        if self.order.way.startswith("handed over"):
            self.runtime.spawn(self._hand_over, second)
            if self.order.way == "handed over twice":
                self.runtime.spawn(self._hand_over_again, second)
        elif self.order.way == "killed":
            self.region.kill(second)
        elif self.order.way == "paused":
            self.region.pause(second, PAUSE_S)
        elif self.order.way == "cut off":
            others = [name for name in self.region.members if name != second]
            cut = set(itertools.product([second], others))
            self.region.network.cut |= cut | {(b, a) for a, b in cut}

    def _hand_over(self, name):
        member = self.region.members[name]
        member.node.handover.hand_pools_over(True)
        hidden = member.listed.hidden
        self.region.kill(name)
        self.runtime.sleep(RESTART_DELAY_S)
        self.region.add(name, "a", member.own.address).listed.hidden = hidden

    def _hand_over_again(self, second):
        self.runtime.sleep(2 * RESTART_DELAY_S)
        third = self.region.owner("a")
        if third not in (second, self.first):
            self._hand_over(third)


def run_trial(order: Order, seed: int = 1) -> Result:
    """Run one trial."""
    return Trial(order, seed).run()


def orders() -> list[Order]:
    """Return all orders."""
    return [
        Order(way, at_s, is_unlisted, tasks, cut_servers)
        for way in WAYS
        for at_s in STEPS_S
        for is_unlisted in (True, False)
        for tasks, cut_servers in ((1, 1), (6, 2))
    ]


def main() -> int:
    """Run all orders and print those in which a rule was broken."""
    broken = 0
    for order in orders():
        result = run_trial(order)
        if result.violations:
            broken += 1
            print(order, *result.violations[:2])
    print(f"{len(orders())} orders, {broken} with a broken rule")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
