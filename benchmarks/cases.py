"""What happens in each case of the load benchmark."""

import json
import urllib.request
from collections.abc import Callable

import attrs

from benchmarks import arrivals

Action = Callable[[object], None]


def no_faults(addresses, jobs):
    """Return no faults."""
    return ()


@attrs.frozen
class Case:
    """One run.

    Attributes
    ----------
    name : str
        For the results.
    load : float
        Share of the servers' capacity.
    timeout_s : float
        Of each job.
    long_share : float
        Tasks that run ten times longer than their kind.
    burst : float
        Arrivals come so many times as fast in the sixth tenth of the run.
    faults : callable
        ``faults(addresses, jobs)`` returns ``(share of the run, action)`` pairs.
    with_baselines : bool
        Play the baselines on the same arrivals.
    """

    name: str
    load: float
    timeout_s: float = 60.0
    long_share: float = 0.0
    burst: float = 1.0
    faults: Callable = no_faults
    with_baselines: bool = False


def arrivals_of(case: Case, scenario, capacity, length_s, seed) -> list[arrivals.Arrival]:
    """Return a case's arrivals."""
    rate = case.load * capacity / scenario.work_s()
    jobs = arrivals.draw(scenario, rate, length_s, seed)
    if case.burst > 1:
        more = arrivals.draw(scenario, rate * (case.burst - 1), length_s / 10, seed + 1)
        jobs += [attrs.evolve(one, due_s=one.due_s + length_s / 2) for one in more]
        jobs.sort(key=lambda one: one.due_s)
    return jobs


def set_fault(address: str, **fault) -> Action:
    """Return an action that sets a stand-in server's fault."""

    def action(generator):
        request = urllib.request.Request(
            f"http://{address}/v1/faults", json.dumps(fault).encode(), method="POST"
        )
        urllib.request.urlopen(request, timeout=10).read()

    return action


def one_fails(addresses, jobs):
    """One server answers every task at once with an error."""
    return ((0.4, set_fault(addresses[0], fail=True)),)


def one_slow(addresses, jobs):
    """One server becomes ten times slower."""
    return ((0.4, set_fault(addresses[0], slow=10.0)),)


def all_silent(addresses, jobs):
    """Every open connection to the servers goes silent for good; new ones work."""
    return tuple((0.4, set_fault(address, silent=True)) for address in addresses)


def one_leaves(addresses, jobs):
    """One server says that it leaves."""
    return ((0.4, set_fault(addresses[0], leaving=True)),)


def kill_instance(addresses, jobs):
    """One entry instance is killed."""
    return ((0.4, lambda generator: generator.region.instances[1].process.kill()),)


def cancel_wave(addresses, jobs):
    """Every job that has arrived by the middle of the run is cancelled at once."""

    def action(generator):
        middle = jobs[-1].due_s / 2
        for number, job in enumerate(jobs):
            if job.due_s <= middle and number not in generator.outcomes:
                generator.cancel(number)

    return ((0.5, action),)


CASES = (
    Case("load-0.6", 0.6, with_baselines=True),
    Case("load-0.8", 0.8, with_baselines=True),
    Case("load-0.95", 0.95, timeout_s=5.0),
    Case("load-1.3", 1.3, timeout_s=5.0),
    Case("long-tasks", 0.6, long_share=0.1, with_baselines=True),
    Case("one-fails", 0.6, faults=one_fails),
    Case("one-slow", 0.6, faults=one_slow),
    Case("silent", 0.6, faults=all_silent),
    Case("burst", 0.6, timeout_s=10.0, burst=5.0),
    Case("instance-killed", 0.6, faults=kill_instance),
    Case("one-leaves", 0.6, faults=one_leaves),
    Case("cancellations", 0.95, faults=cancel_wave),
)
