"""Cases of the load benchmark: load level, timeouts and injected faults."""

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
    """Parameters of one benchmark run.

    Attributes
    ----------
    name : str
        Key in the results.
    load : float
        Offered load as a fraction of the servers' capacity.
    timeout_s : float
        Timeout of each job.
    long_share : float
        Fraction of tasks that run ten times longer than declared.
    burst : float
        Factor on the arrival rate during the sixth tenth of the run.
    faults : callable
        ``faults(addresses, jobs)`` returns ``(fraction of the run, action)`` pairs.
    with_baselines : bool
        Also run the baseline schedulers on the same arrivals.
    """

    name: str
    load: float
    timeout_s: float = 60.0
    long_share: float = 0.0
    burst: float = 1.0
    faults: Callable = no_faults
    with_baselines: bool = False


def case_arrivals(case: Case, scenario, capacity, length_s, seed) -> list[arrivals.Arrival]:
    """Return the arrivals of a case, with its burst merged in."""
    rate = case.load * capacity / scenario.mean_work_s()
    jobs = arrivals.poisson_arrivals(scenario, rate, length_s, seed)
    if case.burst > 1:
        burst_arrivals = arrivals.poisson_arrivals(
            scenario, rate * (case.burst - 1), length_s / 10, seed + 1
        )
        jobs += [
            attrs.evolve(arrival, due_s=arrival.due_s + length_s / 2) for arrival in burst_arrivals
        ]
        jobs.sort(key=lambda arrival: arrival.due_s)
    return jobs


def set_fault(address: str, **fault) -> Action:
    """Return an action that injects a fault into a stand-in server."""

    def action(generator):
        request = urllib.request.Request(
            f"http://{address}/v1/faults", json.dumps(fault).encode(), method="POST"
        )
        urllib.request.urlopen(request, timeout=10).read()

    return action


def fail_one_server(addresses, jobs):
    """Make one server fail every task immediately."""
    return ((0.4, set_fault(addresses[0], fail=True)),)


def slow_one_server(addresses, jobs):
    """Make one server ten times slower."""
    return ((0.4, set_fault(addresses[0], slow=10.0)),)


def hang_open_connections(addresses, jobs):
    """Hang every open connection to the servers; new connections work."""
    return tuple((0.4, set_fault(address, silent=True)) for address in addresses)


def remove_one_server(addresses, jobs):
    """Make one server announce that it is leaving."""
    return ((0.4, set_fault(addresses[0], leaving=True)),)


def kill_instance(addresses, jobs):
    """Kill one entry instance."""
    return ((0.4, lambda generator: generator.region.instances[1].process.kill()),)


def cancel_unfinished_jobs(addresses, jobs):
    """Cancel every unfinished job halfway through the run."""

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
    Case("one-fails", 0.6, faults=fail_one_server),
    Case("one-slow", 0.6, faults=slow_one_server),
    Case("silent", 0.6, faults=hang_open_connections),
    Case("burst", 0.6, timeout_s=10.0, burst=5.0),
    Case("instance-killed", 0.6, faults=kill_instance),
    Case("one-leaves", 0.6, faults=remove_one_server),
    Case("cancellations", 0.95, faults=cancel_unfinished_jobs),
)
