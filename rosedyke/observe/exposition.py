"""Exposes counters, gauges and histograms over HTTP in the Prometheus text format."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any

from rosedyke.observe import metric

NAME_PREFIX = "rosedyke_"


class Collector:
    """Converts the metrics in memory to metric families of ``prometheus_client``."""

    def collect(self) -> Iterator[Any]:
        """Yield one family for each metric that has a value."""
        from prometheus_client import core

        for definition in metric.catalogue.values():
            name = NAME_PREFIX + definition.name.replace(".", "_")
            if definition.kind == "counter" and definition.name in metric.counts:
                yield core.CounterMetricFamily(
                    name, definition.meaning, metric.counts[definition.name]
                )
            elif definition.kind == "gauge" and definition.name in metric.gauges:
                yield core.GaugeMetricFamily(
                    name, definition.meaning, metric.gauges[definition.name]
                )
            elif definition.name in metric.labelled_gauges:
                family = core.GaugeMetricFamily(name, definition.meaning, labels=[definition.label])
                for value, measured in metric.labelled_gauges[definition.name].items():
                    family.add_metric([value], measured)
                yield family
            elif definition.name in metric.histograms:
                histogram = metric.histograms[definition.name]
                yield core.HistogramMetricFamily(
                    f"{name}_ms",
                    definition.meaning,
                    list(cumulative_buckets(histogram)),
                    histogram.total_ms,
                )


def cumulative_buckets(histogram: metric.Histogram) -> Iterator[tuple[str, int]]:
    """Yield the upper bound and the cumulative count of each bucket."""
    cumulative_count = 0
    bounds = [*map(str, metric.BUCKETS_MS), "+Inf"]
    for bound, count in zip(bounds, histogram.counts, strict=True):
        cumulative_count += count
        yield bound, cumulative_count


def application(
    environ: dict[str, Any], start_response: Callable[[str, list[tuple[str, str]]], Any]
) -> Iterable[bytes]:
    """Serve all metrics under every path."""
    # Imported at the first request, because the import would delay the start by 50 ms.
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
