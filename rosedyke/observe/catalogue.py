"""The catalogues of events and metrics as pages of the documentation.

tools/update_catalogues.py writes the pages; a test compares them with the code, so that they
can't fall behind.
"""

import importlib
import logging
import pkgutil
from collections.abc import Iterator

from rosedyke.observe import event, metric

PACKAGE = "rosedyke"
_MODULES = ("events", "metrics")


def load() -> None:
    """Import every module that defines events or metrics."""
    root = importlib.import_module(PACKAGE)
    for found in pkgutil.walk_packages(root.__path__, PACKAGE + "."):
        if found.name.rsplit(".", 1)[-1].endswith(_MODULES):
            importlib.import_module(found.name)


def events_page() -> str:
    """Return docs/EVENTS.md."""
    return "\n".join(_events_lines()) + "\n"


def metrics_page() -> str:
    """Return docs/METRICS.md."""
    return "\n".join(_metrics_lines()) + "\n"


def _events_lines() -> Iterator[str]:
    yield "# Events"
    yield ""
    yield "Every log line carries the number of its event: `E6000` in text, `event` in JSON. A"
    yield "number keeps its meaning for ever. This page is written by `tools/update_catalogues.py`."
    yield ""
    yield "| Number | Name | Level | What happened and what to do |"
    yield "|---|---|---|---|"
    for number in sorted(event.catalogue):
        one = event.catalogue[number]
        level = logging.getLevelName(one.level).lower()
        yield f"| {one.number} | `{one.name}` | {level} | {one.meaning} |"


def _metrics_lines() -> Iterator[str]:
    yield "# Metrics"
    yield ""
    yield "Sent by statsd behind the prefix of `--statsd-prefix`, by default `rosedyke`. Counters"
    yield "and gauges are also in `rosedyke status --json`. Timers are in milliseconds. This page"
    yield "is written by `tools/update_catalogues.py`."
    yield ""
    yield "| Name | Kind | Meaning |"
    yield "|---|---|---|"
    for name in sorted(metric.catalogue):
        one = metric.catalogue[name]
        yield f"| `{one.name}` | {one.kind} | {one.meaning} |"
