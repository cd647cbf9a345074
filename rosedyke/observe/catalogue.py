"""Renders the catalogues of events and metrics as documentation pages.

tools/update_catalogues.py writes the pages, and a test checks that they match the code.
"""

import importlib
import logging
import pkgutil
from collections.abc import Iterator

from rosedyke.observe import event, metric

PACKAGE = "rosedyke"
_MODULE_SUFFIXES = ("events", "metrics")


def load() -> None:
    """Import every module that defines events or metrics."""
    root = importlib.import_module(PACKAGE)
    for module in pkgutil.walk_packages(root.__path__, PACKAGE + "."):
        if module.name.rsplit(".", 1)[-1].endswith(_MODULE_SUFFIXES):
            importlib.import_module(module.name)


def events_page() -> str:
    """Return docs/EVENTS.md."""
    return "\n".join(_events_lines()) + "\n"


def metrics_page() -> str:
    """Return docs/METRICS.md."""
    return "\n".join(_metrics_lines()) + "\n"


def _events_lines() -> Iterator[str]:
    yield "# Events"
    yield ""
    yield "Every log line has the number of its event: `E6000` in text, `event` in JSON. Numbers"
    yield "are never reused. This page is written by `tools/update_catalogues.py`."
    yield ""
    yield "| Number | Name | Level | What happened and what to do |"
    yield "|---|---|---|---|"
    for number in sorted(event.catalogue):
        definition = event.catalogue[number]
        level = logging.getLevelName(definition.level).lower()
        yield f"| {definition.number} | `{definition.name}` | {level} | {definition.meaning} |"


def _metrics_lines() -> Iterator[str]:
    yield "# Metrics"
    yield ""
    yield "Sent to statsd with the prefix set by `--statsd-prefix`, by default `rosedyke`. Counters"
    yield "and gauges are also in `rosedyke status --json`. Timers are in milliseconds. This page"
    yield "is written by `tools/update_catalogues.py`."
    yield ""
    yield "A gauge by a label, such as the queue, has several values, which are served at the"
    yield "metrics address only."
    yield ""
    yield "| Name | Kind | Meaning |"
    yield "|---|---|---|"
    for name in sorted(metric.catalogue):
        definition = metric.catalogue[name]
        kind = f"{definition.kind} by {definition.label}" if definition.label else definition.kind
        yield f"| `{definition.name}` | {kind} | {definition.meaning} |"
