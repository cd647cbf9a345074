"""Counters, gauges and histograms as text over HTTP, for collectors that fetch them."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any

from rosedyke.observe import metric

PREFIX = "rosedyke_"


class Collector:
    """Turns the metrics in memory into those of the exposition library."""

    def collect(self) -> Iterator[Any]:
        """Yield one family for each metric that has a value."""
        from prometheus_client import core

        for each in metric.catalogue.values():
            name = PREFIX + each.name.replace(".", "_")
            if each.kind == "counter" and each.name in metric.counts:
                yield core.CounterMetricFamily(name, each.meaning, metric.counts[each.name])
            elif each.kind == "gauge" and each.name in metric.gauges:
                yield core.GaugeMetricFamily(name, each.meaning, metric.gauges[each.name])
            elif each.name in metric.histograms:
                found = metric.histograms[each.name]
                yield core.HistogramMetricFamily(
                    f"{name}_ms", each.meaning, list(buckets(found)), found.total_ms
                )


def buckets(histogram: metric.Histogram) -> Iterator[tuple[str, int]]:
    """Yield each bucket's upper bound with the count of all durations up to it."""
    total = 0
    bounds = [*map(str, metric.BUCKETS_MS), "+Inf"]
    for bound, count in zip(bounds, histogram.counts, strict=True):
        total += count
        yield bound, total


def application(
    environ: dict[str, Any], start_response: Callable[[str, list[tuple[str, str]]], Any]
) -> Iterable[bytes]:
    """Answer every path with all metrics."""
    # Imported with the first request: it takes 50 ms that a start should not wait for.
    import prometheus_client

    content = prometheus_client.generate_latest(Collector())
    start_response(
        "200 OK",
        [
            ("Content-Type", prometheus_client.CONTENT_TYPE_LATEST),
            ("Content-Length", str(len(content))),
        ],
    )
    return [content]
