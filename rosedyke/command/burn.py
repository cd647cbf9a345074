"""``rosedyke burn``: show the error-budget burn rates of services."""

import attrs
import cyclopts

from rosedyke.command import exit_codes, fetch, options, terminal
from rosedyke.daemon import operator_api
from rosedyke.observe import burn_rate

PATH = "/v1/operator/burn"


@attrs.frozen
class BurnReport:
    """JSON document printed with ``--json``.

    Attributes
    ----------
    services : tuple of ServiceBurn
        Burn rates of each service, in name order.
    reached : tuple of str
        Names of the instances whose counts are included.
    unreachable : dict of str to str
        Reason by address, for instances whose counts are missing.
    oldest_s : float
        Age of the oldest counts in seconds; longer windows are only partly covered.
    """

    services: tuple[burn_rate.ServiceBurn, ...]
    reached: tuple[str, ...]
    unreachable: dict[str, str]
    oldest_s: float


def register(app: cyclopts.App) -> None:
    """Add the command."""
    app.command(burn)


def burn(*, instances: options.Instances = (), json: options.Json = False) -> int:
    """Show the error-budget burn rates of every service over all instances.

    A burn rate of 1 spends the error budget exactly over the period, 10 in a tenth of it. Compare
    a short with a long window: a high rate in both is an ongoing fault, in the short one alone a
    fault that has just begun, in the long one alone a fault that has ended.

    Instances keep their counts in memory and lose them when they exit; use the metrics sent to
    statsd for longer periods.

    Exit codes: 0 at least one instance answered, 6 none did.

    For example:

    - `rosedyke burn`
    - `rosedyke burn --json`
    """
    if not instances:
        return terminal.warn_no_instances()
    fetched = fetch.fetch_all(instances, PATH, operator_api.decode_burn)
    counts = list(fetched.values.values())
    report = BurnReport(
        burn_rate.merge(counts),
        tuple(sorted(instance_counts.instance for instance_counts in counts)),
        fetched.unreachable,
        max((instance_counts.uptime_s for instance_counts in counts), default=0.0),
    )
    if json:
        terminal.print_json(report)
    else:
        print_report(report)
    return exit_codes.OK if counts else exit_codes.UNREACHABLE


def _format_rate(rate: float | None) -> str:
    return "-" if rate is None else f"{rate:.1f}"


def format_budget_left(service: burn_rate.ServiceBurn) -> str:
    """Return the unspent share of the error budget, or how many times it has been spent."""
    unspent = service.budget_left
    if unspent is None:
        return "-"
    return f"spent {1 - unspent:.1f} times" if unspent < 0 else f"{unspent:.0%}"


def format_budget_consumers(service: burn_rate.ServiceBurn) -> str:
    """Return the bad jobs by outcome and data centre, the largest count first."""
    parts = [
        (count, f"{count} {outcome} in {data_centre}")
        for data_centre, by_outcome in service.spent_by.items()
        for outcome, count in by_outcome.items()
        if count
    ]
    return ", ".join(text for _, text in sorted(parts, reverse=True))


def print_report(report: BurnReport) -> None:
    """Print the table, and the instances missing in it."""
    console = terminal.console()
    names = tuple(burn_rate.WINDOWS_S)
    table = terminal.table(
        "Burn rates",
        *("service", "objective", "jobs", *names, "budget left", "spent by"),
        right_aligned=("jobs", *names, "budget left"),
    )
    for service in report.services:
        table.add_row(
            service.service,
            f"{service.share:.3%} within {service.response_s:g} s",
            str(service.windows[-1].jobs),
            *(_format_rate(window.rate) for window in service.windows),
            format_budget_left(service),
            format_budget_consumers(service),
        )
    console.print(table)
    console.print(
        f"from {len(report.reached)} instances; the oldest counts are "
        f"{report.oldest_s / 60:.0f} min old"
    )
    for address, reason in sorted(report.unreachable.items()):
        terminal.warn(f"not counted, unreachable: {address}: {reason}")
