"""The fault matrix: each fault at each named step of the product's own code.

A cell repeats the scenario with one fault (or a pair) brought about when an instance comes to a
step, and asks whether every promise held.  The steps are those of the code's catalogue, so a
new step adds a row by itself, and one that the scenario never reaches shows up as not reached.
"""

import enum
from collections.abc import Callable

import attrs
import greenlet

from rosedyke.configuration import steps as configuration_steps
from rosedyke.dispatch import ports as dispatch_ports
from rosedyke.dispatch import steps as dispatch_steps
from rosedyke.job import steps as job_steps
from rosedyke.membership import steps as membership_steps
from rosedyke.observe import step
from rosedyke.standins import scenario, whole

# The modules whose import fills the catalogue of steps.
STEP_MODULES = (configuration_steps, dispatch_steps, job_steps, membership_steps)
OUTAGE_S = 4.0
# Longer than any job's timeout.
LONG_CUT_S = 10.0
STOP_S = 3.0
SHORT_STOP_S = 0.5
LATE_S = 1.5
SERVER_FAULT_S = 1.0
MESSAGES = 4
DC1_SERVERS = ("scale-1", "scale-2")


class Verdict(enum.Enum):
    """What a cell showed."""

    HOLDS = "holds"
    RED = "red"
    NOT_REACHED = "not reached"


@attrs.frozen
class Cell:
    """One fault at one step.

    Attributes
    ----------
    step : str
        Name of the step.
    fault : str
        Name of the fault.
    visit : int
        At the how manieth visit to the step the fault comes, from 1.
    """

    step: str
    fault: str
    visit: int = 1

    def __str__(self):
        return f"{self.fault} at {self.step}#{self.visit}"


@attrs.frozen
class Outcome:
    """What came of a cell."""

    cell: Cell
    verdict: Verdict
    broken: tuple[str, ...] = ()


Fault = Callable[[scenario.Scenario, whole.Instance], None]


def crash(run: scenario.Scenario, at: whole.Instance) -> None:
    """Let the instance die between this step and the next."""
    at.crash()


def crash_peer(run: scenario.Scenario, at: whole.Instance) -> None:
    """Let another instance of the same data centre die."""
    others = [
        one
        for one in run.region.instances.values()
        if one.data_centre == at.data_centre and one is not at and one.is_up
    ]
    if others:
        others[0].crash()


def stop(run: scenario.Scenario, at: whole.Instance) -> None:
    """Let the instance stand still for longer than any lease, and go on."""
    at.stop_for(STOP_S)


def stop_briefly(run: scenario.Scenario, at: whole.Instance) -> None:
    """Let the instance stand still, but not for long enough to be given up."""
    at.stop_for(SHORT_STOP_S)


def isolate(run: scenario.Scenario, at: whole.Instance) -> None:
    """Leave the instance the store and the backend servers but no other instance."""
    others = [name for name in run.region.instances if name != at.name]
    cut(run, [at.name], others)


def cut_data_centres(run: scenario.Scenario, at: whole.Instance) -> None:
    """Cut the data centres off from each other."""
    near = [n for n, one in run.region.instances.items() if one.data_centre == at.data_centre]
    cut(run, near, [name for name in run.region.instances if name not in near])


def cut_long(run: scenario.Scenario, at: whole.Instance) -> None:
    """Cut the data centres off from each other for longer than any job lasts."""
    near = [n for n, one in run.region.instances.items() if one.data_centre == at.data_centre]
    cut(run, near, [name for name in run.region.instances if name not in near], LONG_CUT_S)


def lose_data_centre(run: scenario.Scenario, at: whole.Instance) -> None:
    """Let all instances of the other data centre die."""
    for one in run.region.instances.values():
        if one.data_centre != at.data_centre and one.is_up:
            one.crash()


def cut(run: scenario.Scenario, left, right, seconds: float = OUTAGE_S) -> None:
    """Cut two groups of instances off from each other for a while."""
    run.region.network.partition(left, right)
    after(run, seconds, run.region.network.heal)


def lose(run: scenario.Scenario, at: whole.Instance) -> None:
    """Lose the next messages of the instance."""
    run.region.network.lose[at.name] = MESSAGES


def repeat(run: scenario.Scenario, at: whole.Instance) -> None:
    """Let the next messages of the instance arrive twice."""
    run.region.network.repeat[at.name] = MESSAGES


def delay(run: scenario.Scenario, at: whole.Instance) -> None:
    """Let the next messages of the instance arrive late, behind later ones."""
    run.region.network.late[at.name] = (MESSAGES, LATE_S)


def store_down(run: scenario.Scenario, at: whole.Instance) -> None:
    """Let the platform's store answer no instance."""
    set_store_faults(run, True)
    run.store_back_at = run.clock.now() + OUTAGE_S
    after(run, OUTAGE_S, lambda: set_store_faults(run, False))


def set_store_faults(run: scenario.Scenario, is_down: bool) -> None:
    """Take the store away from all instances, or give it back."""
    for instance in run.region.instances.values():
        instance.store_faults.is_down = is_down


def operators_race(run: scenario.Scenario, at: whole.Instance) -> None:
    """Let a second operator apply another content of the same file."""
    run.apply(queue=500)


def join(run: scenario.Scenario, at: whole.Instance) -> None:
    """Let a further instance join the same data centre."""
    if "g" not in run.region.instances:
        run.region.add("g", at.data_centre).start()


def servers_mute(run: scenario.Scenario, at: whole.Instance) -> None:
    """Let backend servers start what they are sent, and never answer."""
    run.mute_until = run.clock.now() + SERVER_FAULT_S


def servers_refuse(run: scenario.Scenario, at: whole.Instance) -> None:
    """Let a data centre's backend servers start no task and say so."""
    run.refuse_tasks(DC1_SERVERS, SERVER_FAULT_S)


def servers_unreachable(run: scenario.Scenario, at: whole.Instance) -> None:
    """Let no connection to a data centre's backend servers be made."""
    run.break_servers(DC1_SERVERS, SERVER_FAULT_S, dispatch_ports.NotStarted("no connection"))


def server_fails(run: scenario.Scenario, at: whole.Instance) -> None:
    """Let a backend server fail everything that it starts."""
    run.break_servers(DC1_SERVERS[:1], SERVER_FAULT_S, dispatch_ports.TaskFailed("broken"))


def after(run: scenario.Scenario, seconds: float, action) -> None:
    """Do something later."""

    def wait_then_act():
        run.clock.sleep(seconds)
        action()

    run.clock.spawn(wait_then_act)


def both(first: Fault, second: Fault) -> Fault:
    """Return a fault that is two faults at once; the first takes the instance's own fate last."""

    def apply(run, at):
        second(run, at)
        first(run, at)

    return apply


FAULTS: dict[str, Fault] = {
    "crash": crash,
    "crash of a peer": crash_peer,
    "stop": stop,
    "brief stop": stop_briefly,
    "isolation": isolate,
    "data centres cut": cut_data_centres,
    "messages lost": lose,
    "messages repeated": repeat,
    "messages late": delay,
    "store down": store_down,
    "operators race": operators_race,
    "join": join,
    "servers mute": servers_mute,
    "servers refuse": servers_refuse,
    "servers unreachable": servers_unreachable,
    "server fails all": server_fails,
    "crash + data centres cut": both(crash, cut_data_centres),
    "crash + crash of a peer": both(crash, crash_peer),
    "crash + store down": both(crash, store_down),
    "stop + store down": both(stop, store_down),
    "stop + crash of a peer": both(stop, crash_peer),
    "messages lost + join": both(lose, join),
    "isolation + servers mute": both(isolate, servers_mute),
    "data centre lost": lose_data_centre,
    "crash + long cut": both(crash, cut_long),
    "crash of a peer + long cut": both(crash_peer, cut_long),
}


def steps() -> tuple[str, ...]:
    """Return the names of all steps, in the order of their protocols."""
    return tuple(step.catalogue)


def play(run: scenario.Scenario, hook: step.Hook) -> None:
    """Run a prepared scenario to its end and call ``hook`` at each step."""
    step.set_hook(hook)
    try:
        run.run()
        run.finish()
    finally:
        step.set_hook(None)


def run_cell(cell: Cell, seed: int = 1) -> Outcome:
    """Run the scenario with the cell's fault and check every promise."""
    run = scenario.Scenario(seed)
    run.prepare()
    visits = 0

    def hook(reached: step.Step, name: str) -> None:
        nonlocal visits
        if reached.name != cell.step:
            return
        visits += 1
        if visits != cell.visit:
            return
        # An operator's command is no instance; the fault then hits the first one.
        at = run.region.instances.get(name) or next(iter(run.region.instances.values()))
        FAULTS[cell.fault](run, at)
        if name == at.name and run.clock.hub is not greenlet.getcurrent():
            at.runtime.check()

    play(run, hook)
    if visits < cell.visit:
        return Outcome(cell, Verdict.NOT_REACHED)
    broken = tuple(run.broken())
    return Outcome(cell, Verdict.RED if broken else Verdict.HOLDS, broken)


def run_without_fault(seed: int = 1) -> tuple[dict[str, int], list[str]]:
    """Return how often each step is visited without any fault, and what went wrong all the same.

    Here callers must also get the answers of a fleet in which nothing fails.
    """
    run = scenario.Scenario(seed)
    run.prepare()
    visits = dict.fromkeys(steps(), 0)

    def hook(reached: step.Step, name: str) -> None:
        visits[reached.name] += 1

    play(run, hook)
    return visits, run.broken() + run.unexpected()
