import unittest

from rosedyke.job import answer, answer_cache, code

COMPLETE = code.Code.COMPLETE


def entry(job_id, size, expires=10.0):
    final = answer.Answer(job_id, COMPLETE, answer.Ran.YES, results=(b"x" * size,))
    return answer_cache.Entry(final, b"body", 1, expires)


class CacheLimits(unittest.TestCase):
    def test_oldest_results_are_evicted_and_never_reported_as_complete(self):
        cache = answer_cache.AnswerCache(10.0, max_bytes=250)
        for number in range(4):
            cache.add(entry(f"job-{number}", 100))
        self.assertLessEqual(cache.bytes, 250)
        evicted = cache.find("job-0").answer
        self.assertEqual(
            (evicted.code, evicted.ran, evicted.results),
            (code.Code.HISTORY_LOST, answer.Ran.YES, ()),
        )
        self.assertEqual(cache.find("job-3").answer.results, (b"x" * 100,))

    def test_results_larger_than_the_limit_are_not_cached(self):
        cache = answer_cache.AnswerCache(10.0, max_bytes=250)
        cache.add(entry("big", 1000))
        self.assertEqual(cache.bytes, 0)
        self.assertIs(cache.find("big").answer.code, code.Code.HISTORY_LOST)

    def test_expired_entries_are_removed(self):
        cache = answer_cache.AnswerCache(10.0, max_bytes=1000)
        cache.add(entry("old", 100, expires=5.0))
        cache.add(entry("new", 100, expires=15.0))
        cache.expire(10.0)
        self.assertIsNone(cache.find("old"))
        self.assertIsNotNone(cache.find("new"))

    def test_second_answer_of_a_job_replaces_the_first(self):
        cache = answer_cache.AnswerCache(10.0, max_bytes=1000)
        cache.add(entry("job", 100))
        cache.add(entry("job", 200))
        self.assertEqual(cache.bytes, answer_cache.size_of(cache.find("job").answer))
