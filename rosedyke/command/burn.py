"""``rosedyke burn``: how fast each service spends the failures that its objective allows."""

import attrs
import cyclopts

from rosedyke.command import exit_codes, fetch, options, terminal
from rosedyke.daemon import operator_api
from rosedyke.observe import burn_rate

PATH = "/v1/operator/burn"


@attrs.frozen
class Report:
    """What ``--json`` prints.

    Attributes
    ----------
    services : tuple of ServiceBurn
        In name order.
    reached : tuple of str
        Instances whose counts are in it.
    unreachable : dict of str to str
        Addresses whose counts are missing, with the reason.
    oldest_s : float
        How far the oldest counts go back; a longer window holds no more than that.
    """

    services: tuple[burn_rate.ServiceBurn, ...]
    reached: tuple[str, ...]
    unreachable: dict[str, str]
    oldest_s: float


def register(app: cyclopts.App) -> None:
    """Add the command."""
    app.command(burn)


def burn(*, instances: options.Instances = (), json: options.Json = False) -> int:
    """Show the service-level burn of every service over all instances.

    A burn rate of 1 spends the allowed failures exactly over the period, 10 in a tenth of it. Look
    at a short and a long window together: high in both is a fault that goes on, high in the short
    one alone has just begun, high in the long one alone is over.

    Instances keep their counts in memory. What an instance counted is lost with it; the metrics
    sent by statsd keep the long view.

    Exit codes: 0 at least one instance answered, 6 none did.

    For example:

    - `rosedyke burn`
    - `rosedyke burn --json`
    """
    if not instances:
        return terminal.warn_no_instances()
    fetched = fetch.fetch_all(instances, PATH, operator_api.decode_burn)
    counts = list(fetched.values.values())
    report = Report(
        burn_rate.merge(counts),
        tuple(sorted(one.instance for one in counts)),
        fetched.unreachable,
        max((one.uptime_s for one in counts), default=0.0),
    )
    if json:
        terminal.print_json(report)
    else:
        print_report(report)
    return exit_codes.OK if counts else exit_codes.UNREACHABLE


def _rate(rate: float | None) -> str:
    return "-" if rate is None else f"{rate:.1f}"


def budget_left(service: burn_rate.ServiceBurn) -> str:
    """Return the part of the budget that is left, or how often it is spent."""
    left = service.budget_left
    if left is None:
        return "-"
    return f"spent {1 - left:.1f} times" if left < 0 else f"{left:.0%}"


def spenders(service: burn_rate.ServiceBurn) -> str:
    """Return what spends the budget, the most first."""
    parts = [
        (count, f"{count} {outcome} in {data_centre}")
        for data_centre, by_outcome in service.spent_by.items()
        for outcome, count in by_outcome.items()
        if count
    ]
    return ", ".join(text for _, text in sorted(parts, reverse=True))


def print_report(report: Report) -> None:
    """Print the table, and what is missing in it."""
    console = terminal.console()
    names = tuple(burn_rate.WINDOWS_S)
    table = terminal.table(
        "Burn rates",
        *("service", "objective", "jobs", *names, "budget left", "spent by"),
        right=("jobs", *names, "budget left"),
    )
    for service in report.services:
        table.add_row(
            service.service,
            f"{service.share:.3%} within {service.response_s:g} s",
            str(service.windows[-1].jobs),
            *(_rate(window.rate) for window in service.windows),
            budget_left(service),
            spenders(service),
        )
    console.print(table)
    console.print(
        f"from {len(report.reached)} instances; the oldest counts go back "
        f"{report.oldest_s / 60:.0f} min"
    )
    for address, reason in sorted(report.unreachable.items()):
        terminal.warn(f"not counted, unreachable: {address}: {reason}")
