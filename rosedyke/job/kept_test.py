import unittest

from rosedyke.job import answer, code, kept

WHOLE = code.Code.COMPLETE


def entry(job_id, size, expires=10.0):
    final = answer.Answer(job_id, WHOLE, answer.Ran.YES, results=(b"x" * size,))
    return kept.Entry(final, b"body", 1, expires)


class Bounds(unittest.TestCase):
    def test_oldest_results_go_first_and_are_never_given_as_complete(self):
        table = kept.KeptAnswers(10.0, max_bytes=250)
        for number in range(4):
            table.add(entry(f"job-{number}", 100))
        self.assertLessEqual(table.bytes, 250)
        dropped = table.find("job-0").answer
        self.assertEqual(
            (dropped.code, dropped.ran, dropped.results),
            (code.Code.HISTORY_LOST, answer.Ran.YES, ()),
        )
        self.assertEqual(table.find("job-3").answer.results, (b"x" * 100,))

    def test_one_answer_beyond_the_bound_is_not_kept(self):
        table = kept.KeptAnswers(10.0, max_bytes=250)
        table.add(entry("big", 1000))
        self.assertEqual(table.bytes, 0)
        self.assertIs(table.find("big").answer.code, code.Code.HISTORY_LOST)

    def test_expiry_forgets_and_frees(self):
        table = kept.KeptAnswers(10.0, max_bytes=1000)
        table.add(entry("old", 100, expires=5.0))
        table.add(entry("new", 100, expires=15.0))
        table.expire(10.0)
        self.assertIsNone(table.find("old"))
        self.assertIsNotNone(table.find("new"))

    def test_same_job_again_replaces(self):
        table = kept.KeptAnswers(10.0, max_bytes=1000)
        table.add(entry("job", 100))
        table.add(entry("job", 200))
        self.assertEqual(table.bytes, kept.size_of(table.find("job").answer))
