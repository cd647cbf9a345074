"""The scenario in which the claim protocol is explored: one job, several attempts, any faults."""

import itertools

import attrs

from rosedyke.job import settings
from rosedyke.membership import member, rendezvous
from rosedyke.observe import step
from rosedyke.standins import explore, explore_region, virtual

# What can become of a message: on time, lost, later than a registrar may be silent, much later.
FATES_S = (0.0005, None, 0.045, 0.7)
DETECTION_S = 1.2
PAUSE_S = 3.0
PARTITION_S = 2.5
END_S = 9.0
# Times after the first attempt at which things can happen; the first option is the usual one.
RESUBMIT_S = (0.3, 0.0, 0.01, 0.06, 1.0, 2.5)
REPEAT_S = (None, 0.0, 0.0008, 1.0)
JOIN_S = (None, 0.0, 0.005, 0.1, 1.0)
CUT_S = (None, 0.0, 0.005, 0.5)
LEARN_S = (0.0, 0.004, 0.4)


@attrs.frozen
class Shape:
    """What a scenario has room for.

    Attributes
    ----------
    counts : dict of str to int
        Instances by data centre.
    crashes, pauses, losses : int
        How many of each one run can have.
    is_refusing : bool
        The first attempt's instance refuses it.
    attempts : tuple of int or None
        Numbers of the resubmissions, each at the next data centre's first instance.
    registrars : tuple of str
        The job's pair at the start; any if empty.
    joiners : tuple of str
        Instances that may join ``dc1``; the job is chosen so that they become its first
        registrars.
    """

    counts: dict[str, int]
    crashes: int = 1
    pauses: int = 1
    losses: int = 3
    is_refusing: bool = False
    attempts: tuple[int | None, ...] = (2,)
    registrars: tuple[str, ...] = ()
    joiners: tuple[str, ...] = ("dc1x", "dc1y")

    def job_id(self) -> str:
        """Return a job that has the registrars that the shape asks for."""
        letters = "abcdefghijklmnopqrstuvwxyz"[: self.counts["dc1"]]
        before = [f"dc1{letter}" for letter in letters]
        for number in itertools.count():
            job_id = f"job-{number}"
            pair = tuple(rendezvous.rank(job_id, before)[:2])
            after = rendezvous.rank(job_id, (*before, *self.joiners))[: len(self.joiners)]
            if set(after) == set(self.joiners) and self.registrars in ((), pair):
                return job_id
        raise AssertionError("unreachable")


class ChosenClock(virtual.VirtualRuntime):
    """A virtual clock on which the exploration chooses the order of ready tasks."""

    def __init__(self):
        super().__init__()
        self.choices: explore.Choices | None = None

    def choose(self, count: int) -> int:
        """Return which ready task runs next."""
        if self.choices is None or count == 1:
            return 0
        return self.choices.pick(min(count, 3), "order")


class Play:
    """One run of the scenario."""

    def __init__(self, shape: Shape, choices: explore.Choices):
        self.shape = shape
        self.choices = choices
        self.clock = ChosenClock()
        limits = settings.JobSettings(data_centres=tuple(sorted(shape.counts)), pulse_s=0.25)
        self.region = explore_region.Region(shape.counts, self.clock, limits)
        self.region.settle(2.0)
        self.left = {"crash": shape.crashes, "pause": shape.pauses, "loss": shape.losses}
        self.dead_since: dict[str, float] = {}
        self.job_id = shape.job_id()

    def run(self) -> list[str]:
        """Play to the end and return the promises that were broken."""
        self.clock.choices = self.choices
        self.region.network.delay_s = self.delay
        step.set_hook(self.at_step)
        try:
            self.begin()
            self.region.settle(END_S)
        finally:
            step.set_hook(None)
        return self.region.faults() + self.starts_by_the_dead()

    def begin(self) -> None:
        """Choose what happens when, and let it happen."""
        first = "dc1a"
        centres = sorted(self.shape.counts)
        if self.shape.is_refusing:
            self.region.nodes[first].dispatcher.refusal = explore_region.BUSY
        self.later(0.0, self.submit, first, 1)
        repeat = REPEAT_S[self.choices.pick(len(REPEAT_S), "repeat")]
        if repeat is not None and self.shape.counts["dc1"] > 1:
            self.later(repeat, self.submit, "dc1b", 1)
        for number, attempt in enumerate(self.shape.attempts):
            name = f"{centres[(number + 1) % len(centres)]}a"
            self.later(
                RESUBMIT_S[self.choices.pick(len(RESUBMIT_S), "resubmit")],
                self.submit,
                name,
                attempt,
            )
        self.maybe(JOIN_S, "join", self.join)
        self.maybe(CUT_S, "cut", self.cut)

    def maybe(self, times, label, action) -> None:
        """Let something happen at a chosen time, or not at all."""
        time = times[self.choices.pick(len(times), label)]
        if time is not None:
            self.later(time, action)

    def later(self, seconds, action, *arguments) -> None:
        """Call after a time."""

        def wait_and_call():
            self.clock.sleep(seconds)
            action(*arguments)

        self.clock.spawn(wait_and_call)

    def submit(self, name: str, attempt: int | None) -> None:
        """Submit an attempt unless the instance is gone."""
        if self.region.nodes[name].is_up:
            age = self.clock.now() - 2.0 if attempt != 1 else 0.0
            request = explore_region.request_of(
                self.job_id, attempt=attempt, age_s=age, tasks=2, timeout_s=5.0
            )
            self.region.submit(name, request)

    # Faults

    def delay(self, source, target, message) -> float | None:
        """Choose what becomes of a message."""
        if not self.left["loss"]:
            return FATES_S[0]
        fate = self.choices.pick(len(FATES_S), "message")
        if fate:
            self.left["loss"] -= 1
        return FATES_S[fate]

    def at_step(self, where: step.Step, name: str) -> None:
        """Choose whether an instance dies or stands still at a step."""
        node = self.region.nodes[name]
        if not node.is_up or node.standstill.resumed is not None:
            return
        option = self.choices.pick(3, where.name)
        if option == 1 and self.left["crash"]:
            self.left["crash"] -= 1
            self.region.crash(name)
            self.later(DETECTION_S, self.die, name)
        elif option == 2 and self.left["pause"]:
            self.left["pause"] -= 1
            self.region.pause(name)
            self.later(DETECTION_S, self.die, name)
            self.later(PAUSE_S, self.region.resume, name)
            self.later(PAUSE_S + 0.2, self.region.rejoin, name)

    def die(self, name: str) -> None:
        """Let each instance learn of a death at a time of its own."""
        self.dead_since[name] = self.clock.now()
        self.region.set_state(name, member.State.DEAD)
        self.spread()

    def join(self) -> None:
        """Let instances join, of which each member learns at a time of its own."""
        for name in self.shape.joiners:
            own = self.region.new_peer(name, "dc1", 1)
            self.region.states[name] = member.Member(own, member.State.LIVE)
        for name in self.shape.joiners:
            self.region.build(self.region.states[name].peer)
        self.spread()

    def spread(self) -> None:
        """Let each instance learn of the present view at a time of its own."""
        for name in list(self.region.nodes):
            delay = LEARN_S[self.choices.pick(len(LEARN_S), "learn")]
            self.later(delay, self.tell, name)

    def tell(self, name: str) -> None:
        """Give an instance the present view; one that is stopped or gone learns nothing."""
        node = self.region.nodes[name]
        if node.is_up and node.standstill.resumed is None:
            self.region.spread(name)

    def cut(self) -> None:
        """Cut the first data centre off for a while."""
        inside = [name for name in self.region.nodes if name.startswith("dc1")]
        outside = [name for name in self.region.nodes if not name.startswith("dc1")]
        self.region.network.partition(inside, outside)
        self.later(PARTITION_S, self.region.network.heal)

    def starts_by_the_dead(self) -> list[str]:
        """Return starts by an incarnation that was dead to its peers."""
        found = []
        for (job_id, index), runs in self.region.starts.by_task.items():
            for run in runs:
                died = self.dead_since.get(run.instance)
                is_same = run.incarnation == 1
                if died is not None and is_same and run.time > died:
                    found.append(f"{job_id}/{index} started by {run.instance} after its death")
        return found


def scenario(shape: Shape) -> explore.Scenario:
    """Return the scenario of a shape for the explorer."""
    return lambda choices: Play(shape, choices).run()
