import unittest

from rosedyke.observe import exposition, metric
from rosedyke.rerunnable_jobs import metrics


class Exposition(unittest.TestCase):
    def test_every_kind_is_exposed(self):
        metric.count(metrics.STARTS, 3)
        metric.gauge(metrics.POOLS, 2)
        metric.gauge_by_label(metrics.QUEUE_USED, {"batch": 5})
        self.addCleanup(metric.labelled_gauges.clear)
        metric.timing(metrics.WAIT, 7.0)
        metric.timing(metrics.WAIT, 70_000.0)
        responses = []
        body = b"".join(exposition.application({}, lambda *response: responses.append(response)))
        text = body.decode()
        self.assertEqual(responses[0][0], "200 OK")
        self.assertRegex(text, r"\nrosedyke_rerun_starts_total [0-9.]+(e[+-][0-9]+)?\n")
        self.assertIn("\nrosedyke_rerun_pools 2.0\n", text)
        self.assertIn('\nrosedyke_rerun_queue_used{queue="batch"} 5.0\n', text)
        self.assertRegex(text, r'rosedyke_rerun_wait_ms_bucket\{le="10"\} [0-9.]+(e[+-][0-9]+)?\n')
        self.assertRegex(text, r"rosedyke_rerun_wait_ms_sum [0-9.]+(e[+-][0-9]+)?\n")

    def test_buckets_are_cumulative(self):
        histogram = metric.Histogram()
        for milliseconds in (0.5, 1, 3, 99_999):
            histogram.add(milliseconds)
        counts = dict(exposition.cumulative_buckets(histogram))
        self.assertEqual((counts["1"], counts["5"], counts["10000"], counts["+Inf"]), (2, 3, 3, 4))
