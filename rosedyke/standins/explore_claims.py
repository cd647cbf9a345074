"""The scenario for exploring the claim protocol: one job, several attempts, injected faults."""

import itertools

import attrs

from rosedyke.job import settings
from rosedyke.membership import member, rendezvous
from rosedyke.observe import step
from rosedyke.standins import explore, explore_region, virtual

# Message delays: normal, dropped, longer than a registrar's timeout, much longer.
MESSAGE_DELAYS_S = (0.0005, None, 0.045, 0.7)
DETECTION_DELAY_S = 1.2
PAUSE_DURATION_S = 3.0
PARTITION_DURATION_S = 2.5
SETTLING_TIME_S = 9.0
# Delays of each event after the first attempt, None for never; the first is the default.
RESUBMIT_DELAYS_S = (0.3, 0.0, 0.01, 0.06, 1.0, 2.5)
REPEAT_DELAYS_S = (None, 0.0, 0.0008, 1.0)
JOIN_DELAYS_S = (None, 0.0, 0.005, 0.1, 1.0)
PARTITION_START_S = (None, 0.0, 0.005, 0.5)
VIEW_DELAYS_S = (0.0, 0.004, 0.4)


@attrs.frozen
class Shape:
    """Parameters of a scenario.

    Attributes
    ----------
    counts : dict of str to int
        Instances by data centre.
    crashes, pauses, losses : int
        Maximum number of each fault in one run.
    is_refusing : bool
        The instance of the first attempt rejects it.
    attempts : tuple of int or None
        Attempt numbers of the resubmissions, each at the first instance of the next data centre.
    registrars : tuple of str
        The job's initial pair of registrars; any if empty.
    joiners : tuple of str
        Instances that may join ``dc1``; the job id is chosen so that they become its registrars.
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
        """Return the id of a job with the registrars that the shape specifies."""
        letters = "abcdefghijklmnopqrstuvwxyz"[: self.counts["dc1"]]
        before = [f"dc1{letter}" for letter in letters]
        for number in itertools.count():
            job_id = f"job-{number}"
            pair = tuple(rendezvous.rank(job_id, before)[:2])
            after = rendezvous.rank(job_id, (*before, *self.joiners))[: len(self.joiners)]
            if set(after) == set(self.joiners) and self.registrars in ((), pair):
                return job_id
        raise AssertionError("unreachable")


class ExploredRuntime(virtual.VirtualRuntime):
    """A virtual runtime on which the exploration chooses the order of ready tasks."""

    def __init__(self):
        super().__init__()
        self.choices: explore.Choices | None = None

    def choose(self, count: int) -> int:
        """Return the index of the ready task that runs next."""
        if self.choices is None or count == 1:
            return 0
        return self.choices.pick(min(count, 3), "order")


class ScenarioRun:
    """One run of the scenario."""

    def __init__(self, shape: Shape, choices: explore.Choices):
        self.shape = shape
        self.choices = choices
        self.clock = ExploredRuntime()
        limits = settings.JobSettings(data_centres=tuple(sorted(shape.counts)), pulse_s=0.25)
        self.region = explore_region.Region(shape.counts, self.clock, limits)
        self.region.settle(2.0)
        self.remaining_faults = {
            "crash": shape.crashes,
            "pause": shape.pauses,
            "loss": shape.losses,
        }
        self.dead_since: dict[str, float] = {}
        self.job_id = shape.job_id()

    def run(self) -> list[str]:
        """Run the scenario and return the violated guarantees."""
        self.clock.choices = self.choices
        self.region.network.delay_s = self.choose_delay
        step.set_hook(self.choose_fault)
        try:
            self.schedule_events()
            self.region.settle(SETTLING_TIME_S)
        finally:
            step.set_hook(None)
        return self.region.violations() + self.starts_after_declared_dead()

    def schedule_events(self) -> None:
        """Choose the times of the events and schedule them."""
        first = "dc1a"
        data_centres = sorted(self.shape.counts)
        if self.shape.is_refusing:
            self.region.nodes[first].dispatcher.refusal = explore_region.BUSY
        self.schedule(0.0, self.submit, first, 1)
        delay_s = REPEAT_DELAYS_S[self.choices.pick(len(REPEAT_DELAYS_S), "repeat")]
        if delay_s is not None and self.shape.counts["dc1"] > 1:
            self.schedule(delay_s, self.submit, "dc1b", 1)
        for number, attempt in enumerate(self.shape.attempts):
            name = f"{data_centres[(number + 1) % len(data_centres)]}a"
            self.schedule(
                RESUBMIT_DELAYS_S[self.choices.pick(len(RESUBMIT_DELAYS_S), "resubmit")],
                self.submit,
                name,
                attempt,
            )
        self.schedule_if_chosen(JOIN_DELAYS_S, "join", self.join)
        self.schedule_if_chosen(PARTITION_START_S, "cut", self.isolate_first_data_centre)

    def schedule_if_chosen(self, delays_s, label, action) -> None:
        """Schedule an action after a chosen delay, or not at all."""
        delay_s = delays_s[self.choices.pick(len(delays_s), label)]
        if delay_s is not None:
            self.schedule(delay_s, action)

    def schedule(self, seconds, action, *arguments) -> None:
        """Schedule a call after a delay."""

        def wait_and_call():
            self.clock.sleep(seconds)
            action(*arguments)

        self.clock.spawn(wait_and_call)

    def submit(self, name: str, attempt: int | None) -> None:
        """Submit an attempt unless the instance has crashed."""
        if self.region.nodes[name].is_up:
            age = self.clock.now() - 2.0 if attempt != 1 else 0.0
            request = explore_region.request_of(
                self.job_id, attempt=attempt, age_s=age, tasks=2, timeout_s=5.0
            )
            self.region.submit(name, request)

    # Faults

    def choose_delay(self, source, target, message) -> float | None:
        """Choose a message's delay, None to drop it."""
        if not self.remaining_faults["loss"]:
            return MESSAGE_DELAYS_S[0]
        option = self.choices.pick(len(MESSAGE_DELAYS_S), "message")
        if option:
            self.remaining_faults["loss"] -= 1
        return MESSAGE_DELAYS_S[option]

    def choose_fault(self, reached: step.Step, name: str) -> None:
        """Choose whether an instance crashes or pauses at a step."""
        node = self.region.nodes[name]
        if not node.is_up or node.pause_state.resumed is not None:
            return
        option = self.choices.pick(3, reached.name)
        if option == 1 and self.remaining_faults["crash"]:
            self.remaining_faults["crash"] -= 1
            self.region.crash(name)
            self.schedule(DETECTION_DELAY_S, self.declare_dead, name)
        elif option == 2 and self.remaining_faults["pause"]:
            self.remaining_faults["pause"] -= 1
            self.region.pause(name)
            self.schedule(DETECTION_DELAY_S, self.declare_dead, name)
            self.schedule(PAUSE_DURATION_S, self.region.resume, name)
            self.schedule(PAUSE_DURATION_S + 0.2, self.region.rejoin, name)

    def declare_dead(self, name: str) -> None:
        """Declare an instance dead; each instance learns of it after a chosen delay."""
        self.dead_since[name] = self.clock.now()
        self.region.set_state(name, member.State.DEAD)
        self.publish_view()

    def join(self) -> None:
        """Let instances join; each member learns of it after a chosen delay."""
        for name in self.shape.joiners:
            own = self.region.new_peer(name, "dc1", 1)
            self.region.states[name] = member.Member(own, member.State.LIVE)
        for name in self.shape.joiners:
            self.region.build(self.region.states[name].peer)
        self.publish_view()

    def publish_view(self) -> None:
        """Give every instance the current view after a chosen delay."""
        for name in list(self.region.nodes):
            delay_s = VIEW_DELAYS_S[self.choices.pick(len(VIEW_DELAYS_S), "learn")]
            self.schedule(delay_s, self.update_view, name)

    def update_view(self, name: str) -> None:
        """Give an instance the current view unless it is paused or has crashed."""
        node = self.region.nodes[name]
        if node.is_up and node.pause_state.resumed is None:
            self.region.publish_view(name)

    def isolate_first_data_centre(self) -> None:
        """Isolate the first data centre for some time."""
        isolated = [name for name in self.region.nodes if name.startswith("dc1")]
        others = [name for name in self.region.nodes if not name.startswith("dc1")]
        self.region.network.partition(isolated, others)
        self.schedule(PARTITION_DURATION_S, self.region.network.heal)

    def starts_after_declared_dead(self) -> list[str]:
        """Return the starts by an incarnation that its peers had declared dead."""
        violations = []
        for (job_id, index), runs in self.region.starts.by_task.items():
            for run in runs:
                declared_dead_at = self.dead_since.get(run.instance)
                is_first_incarnation = run.incarnation == 1
                if (
                    declared_dead_at is not None
                    and is_first_incarnation
                    and run.time > declared_dead_at
                ):
                    violations.append(
                        f"{job_id}/{index} started by {run.instance} after it was declared dead"
                    )
        return violations


def scenario(shape: Shape) -> explore.Scenario:
    """Return the scenario with the parameters of ``shape`` for the explorer."""
    return lambda choices: ScenarioRun(shape, choices).run()
