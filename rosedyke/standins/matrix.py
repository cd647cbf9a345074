"""The fault matrix: every fault injected at every named step of the production code.

A cell runs the scenario, injects one fault or a pair when an instance reaches a step, and checks
all guarantees.  The steps come from the catalogue of the code, so a new step adds a row; a step
that the scenario does not reach is reported as such.
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
from rosedyke.standins import fault_scenario, simulated_region

# Importing these modules registers their steps in the catalogue.
STEP_MODULES = (configuration_steps, dispatch_steps, job_steps, membership_steps)
OUTAGE_S = 4.0
# Longer than any job's timeout.
LONG_PARTITION_S = 10.0
PAUSE_S = 3.0
BRIEF_PAUSE_S = 0.5
MESSAGE_DELAY_S = 1.5
SERVER_FAULT_S = 1.0
AFFECTED_MESSAGES = 4
DC1_SERVERS = ("scale-1", "scale-2")


class Verdict(enum.Enum):
    """The result of a cell."""

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
        Visit to the step at which the fault is injected, from 1.
    """

    step: str
    fault: str
    visit: int = 1

    def __str__(self):
        return f"{self.fault} at {self.step}#{self.visit}"


@attrs.frozen
class Outcome:
    """The outcome of a cell, with the violated guarantees."""

    cell: Cell
    verdict: Verdict
    broken: tuple[str, ...] = ()


Fault = Callable[[fault_scenario.Scenario, simulated_region.Instance], None]


def crash(run: fault_scenario.Scenario, instance: simulated_region.Instance) -> None:
    """Crash the instance between this step and the next."""
    instance.crash()


def crash_peer(run: fault_scenario.Scenario, instance: simulated_region.Instance) -> None:
    """Crash another instance of the same data centre."""
    peers = [
        peer
        for peer in run.region.instances.values()
        if peer.data_centre == instance.data_centre and peer is not instance and peer.is_up
    ]
    if peers:
        peers[0].crash()


def pause_instance(run: fault_scenario.Scenario, instance: simulated_region.Instance) -> None:
    """Pause the instance for longer than any lease."""
    instance.pause(PAUSE_S)


def pause_briefly(run: fault_scenario.Scenario, instance: simulated_region.Instance) -> None:
    """Pause the instance for less than the failure detection time."""
    instance.pause(BRIEF_PAUSE_S)


def isolate_instance(run: fault_scenario.Scenario, instance: simulated_region.Instance) -> None:
    """Partition the instance from all other instances, not from the store and the servers."""
    others = [name for name in run.region.instances if name != instance.name]
    partition_for(run, [instance.name], others)


def partition_data_centres(
    run: fault_scenario.Scenario, instance: simulated_region.Instance
) -> None:
    """Partition the data centres from each other."""
    local = [
        name
        for name, peer in run.region.instances.items()
        if peer.data_centre == instance.data_centre
    ]
    partition_for(run, local, [other for other in run.region.instances if other not in local])


def partition_long(run: fault_scenario.Scenario, instance: simulated_region.Instance) -> None:
    """Partition the data centres from each other for longer than any job's timeout."""
    local = [
        name
        for name, peer in run.region.instances.items()
        if peer.data_centre == instance.data_centre
    ]
    partition_for(
        run,
        local,
        [other for other in run.region.instances if other not in local],
        LONG_PARTITION_S,
    )


def crash_remote_data_centre(
    run: fault_scenario.Scenario, instance: simulated_region.Instance
) -> None:
    """Crash all instances of the other data centre."""
    for remote in run.region.instances.values():
        if remote.data_centre != instance.data_centre and remote.is_up:
            remote.crash()


def partition_for(run: fault_scenario.Scenario, left, right, seconds: float = OUTAGE_S) -> None:
    """Partition two groups of instances from each other for some time."""
    run.region.network.partition(left, right)
    schedule(run, seconds, run.region.network.heal)


def drop_messages(run: fault_scenario.Scenario, instance: simulated_region.Instance) -> None:
    """Drop the next messages of the instance."""
    run.region.network.messages_to_drop[instance.name] = AFFECTED_MESSAGES


def duplicate_messages(run: fault_scenario.Scenario, instance: simulated_region.Instance) -> None:
    """Duplicate the next messages of the instance."""
    run.region.network.messages_to_duplicate[instance.name] = AFFECTED_MESSAGES


def delay_messages(run: fault_scenario.Scenario, instance: simulated_region.Instance) -> None:
    """Delay the next messages of the instance, so that later ones overtake them."""
    run.region.network.messages_to_delay[instance.name] = (AFFECTED_MESSAGES, MESSAGE_DELAY_S)


def take_store_down(run: fault_scenario.Scenario, instance: simulated_region.Instance) -> None:
    """Make the store unavailable to all instances for some time."""
    set_store_faults(run, True)
    run.store_recovers_at = run.clock.now() + OUTAGE_S
    schedule(run, OUTAGE_S, lambda: set_store_faults(run, False))


def set_store_faults(run: fault_scenario.Scenario, is_down: bool) -> None:
    """Set for all instances whether the store is down."""
    for instance in run.region.instances.values():
        instance.store_faults.is_down = is_down


def apply_concurrent_change(
    run: fault_scenario.Scenario, instance: simulated_region.Instance
) -> None:
    """Apply another version of the same file as a second operator."""
    run.apply(queue=500)


def join_instance(run: fault_scenario.Scenario, instance: simulated_region.Instance) -> None:
    """Start a further instance in the same data centre."""
    if "g" not in run.region.instances:
        run.region.add("g", instance.data_centre).start()


def make_servers_unresponsive(
    run: fault_scenario.Scenario, instance: simulated_region.Instance
) -> None:
    """Make backend servers run tasks without a reply."""
    run.unresponsive_until = run.clock.now() + SERVER_FAULT_S


def make_servers_reject(run: fault_scenario.Scenario, instance: simulated_region.Instance) -> None:
    """Make a data centre's backend servers reject tasks as not started."""
    run.reject_tasks(DC1_SERVERS, SERVER_FAULT_S)


def make_servers_unreachable(
    run: fault_scenario.Scenario, instance: simulated_region.Instance
) -> None:
    """Make all connections to a data centre's backend servers fail."""
    run.inject_server_error(DC1_SERVERS, SERVER_FAULT_S, dispatch_ports.NotStarted("no connection"))


def make_server_fail(run: fault_scenario.Scenario, instance: simulated_region.Instance) -> None:
    """Make a backend server fail every task that it starts."""
    run.inject_server_error(DC1_SERVERS[:1], SERVER_FAULT_S, dispatch_ports.TaskFailed("broken"))


def schedule(run: fault_scenario.Scenario, seconds: float, action) -> None:
    """Schedule an action after a delay."""

    def wait_and_act():
        run.clock.sleep(seconds)
        action()

    run.clock.spawn(wait_and_act)


def combine(first: Fault, second: Fault) -> Fault:
    """Return a fault that injects ``second`` and then ``first``, which may end the instance."""

    def apply(run, instance):
        second(run, instance)
        first(run, instance)

    return apply


FAULTS: dict[str, Fault] = {
    "crash": crash,
    "crash of a peer": crash_peer,
    "stop": pause_instance,
    "brief stop": pause_briefly,
    "isolation": isolate_instance,
    "data centres cut": partition_data_centres,
    "messages lost": drop_messages,
    "messages repeated": duplicate_messages,
    "messages late": delay_messages,
    "store down": take_store_down,
    "operators race": apply_concurrent_change,
    "join": join_instance,
    "servers mute": make_servers_unresponsive,
    "servers refuse": make_servers_reject,
    "servers unreachable": make_servers_unreachable,
    "server fails all": make_server_fail,
    "crash + data centres cut": combine(crash, partition_data_centres),
    "crash + crash of a peer": combine(crash, crash_peer),
    "crash + store down": combine(crash, take_store_down),
    "stop + store down": combine(pause_instance, take_store_down),
    "stop + crash of a peer": combine(pause_instance, crash_peer),
    "messages lost + join": combine(drop_messages, join_instance),
    "isolation + servers mute": combine(isolate_instance, make_servers_unresponsive),
    "data centre lost": crash_remote_data_centre,
    "crash + long cut": combine(crash, partition_long),
    "crash of a peer + long cut": combine(crash_peer, partition_long),
}


def steps() -> tuple[str, ...]:
    """Return the names of all steps, in the order of their registration."""
    return tuple(step.catalogue)


def run_scenario(run: fault_scenario.Scenario, hook: step.Hook) -> None:
    """Run a prepared scenario and call ``hook`` at each step."""
    step.set_hook(hook)
    try:
        run.run()
        run.submit_final_jobs()
    finally:
        step.set_hook(None)


def run_cell(cell: Cell, seed: int = 1) -> Outcome:
    """Run the scenario with the cell's fault and check every guarantee."""
    run = fault_scenario.Scenario(seed)
    run.prepare()
    visits = 0

    def hook(reached: step.Step, name: str) -> None:
        nonlocal visits
        if reached.name != cell.step:
            return
        visits += 1
        if visits != cell.visit:
            return
        # An operator's command has no instance: the fault is injected at the first one.
        instance = run.region.instances.get(name) or next(iter(run.region.instances.values()))
        FAULTS[cell.fault](run, instance)
        if name == instance.name and run.clock.hub is not greenlet.getcurrent():
            instance.runtime.check()

    run_scenario(run, hook)
    if visits < cell.visit:
        return Outcome(cell, Verdict.NOT_REACHED)
    violations = tuple(run.violations())
    return Outcome(cell, Verdict.RED if violations else Verdict.HOLDS, violations)


def run_without_fault(seed: int = 1) -> tuple[dict[str, int], list[str]]:
    """Return the visits to each step without a fault, and the violated guarantees.

    Answers that differ from those expected without a fault count as violations too.
    """
    run = fault_scenario.Scenario(seed)
    run.prepare()
    visits = dict.fromkeys(steps(), 0)

    def hook(reached: step.Step, name: str) -> None:
        visits[reached.name] += 1

    run_scenario(run, hook)
    return visits, run.violations() + run.unexpected_answers()
