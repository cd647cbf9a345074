import unittest

from rosedyke.observe import exposition, metric
from rosedyke.rerun import metrics


class Text(unittest.TestCase):
    def test_every_kind_is_shown(self):
        metric.count(metrics.STARTS, 3)
        metric.gauge(metrics.POOLS, 2)
        metric.timing(metrics.WAIT, 7.0)
        metric.timing(metrics.WAIT, 70_000.0)
        answers = []
        body = b"".join(exposition.application({}, lambda *answer: answers.append(answer)))
        text = body.decode()
        self.assertEqual(answers[0][0], "200 OK")
        self.assertRegex(text, r"\nrosedyke_rerun_starts_total [0-9.]+\n")
        self.assertIn("\nrosedyke_rerun_pools 2.0\n", text)
        self.assertRegex(text, r'rosedyke_rerun_wait_ms_bucket\{le="10"\} [0-9.]+\n')
        self.assertRegex(text, r"rosedyke_rerun_wait_ms_sum [0-9.]+\n")

    def test_buckets_add_up(self):
        found = metric.Histogram()
        for milliseconds in (0.5, 1, 3, 99_999):
            found.add(milliseconds)
        shown = dict(exposition.buckets(found))
        self.assertEqual((shown["1"], shown["5"], shown["10000"], shown["+Inf"]), (2, 3, 3, 4))
