import unittest

from rosedyke.job import answer, code, ports, settings
from rosedyke.standins import explore_region as region

NO, YES, UNKNOWN = answer.Ran.NO, answer.Ran.YES, answer.Ran.UNKNOWN
COUNTS = {"dc1": 2, "dc2": 2, "dc3": 2}


def settled_cluster(counts=None, **options):
    cluster = region.Region(counts or COUNTS, **options)
    cluster.settle()
    return cluster


class FirstAttempt(unittest.TestCase):
    def test_answer_is_complete_and_each_task_starts_once(self):
        cluster = settled_cluster()
        request = region.request_of(tasks=3)
        final = cluster.answer("dc1a", request)
        self.assertIsNone(region.answer_error(final, request))
        self.assertIs(final.code, code.Code.COMPLETE)
        self.assertEqual(
            (cluster.starts.count_started_tasks("job-1"), cluster.starts.max_starts_per_task()),
            (3, 1),
        )

    def test_claim_in_a_data_centre_of_two_takes_one_request_and_reply(self):
        cluster = settled_cluster()
        before = len(cluster.network.log)
        cluster.answer("dc1a", region.request_of())
        sent = cluster.network.log[before:]
        self.assertEqual(len(sent), 2)
        self.assertEqual({target for _, _, target, _ in sent}, {"dc1a", "dc1b"})

    def test_same_attempt_at_several_instances_runs_once(self):
        # A load balancer duplicates a request while the first instance is still claiming. All
        # copies get the answer of the same run.
        cluster = settled_cluster({"dc1": 3})
        request = region.request_of()
        answers = [cluster.submit(name, request) for name in ("dc1a", "dc1b", "dc1c")]
        cluster.settle(5)
        self.assertEqual([call.answer is not None for call in answers], [True] * 3)
        self.assertEqual({call.answer.code for call in answers}, {code.Code.COMPLETE})
        self.assertEqual(cluster.starts.max_starts_per_task(), 1)


class Resubmission(unittest.TestCase):
    def test_attaches_to_the_run_in_progress_in_another_data_centre(self):
        cluster = settled_cluster()
        first = cluster.submit("dc1a", region.request_of())
        cluster.settle(0.02)
        second = cluster.answer("dc3b", region.request_of(attempt=2, age_s=0.02))
        cluster.settle(1)
        self.assertEqual(second, first.answer)
        self.assertEqual(cluster.starts.max_starts_per_task(), 1)

    def test_gets_the_cached_answer_of_a_finished_run(self):
        cluster = settled_cluster()
        first = cluster.answer("dc1a", region.request_of())
        self.assertEqual(cluster.answer("dc2b", region.request_of(attempt=None)), first)
        self.assertEqual(cluster.starts.max_starts_per_task(), 1)

    def test_unclaimed_job_is_run(self):
        cluster = settled_cluster()
        cluster.settle(5)
        final = cluster.answer("dc2a", region.request_of(attempt=2, age_s=1.0))
        self.assertIs(final.code, code.Code.COMPLETE)

    def test_concurrent_resubmissions_run_once(self):
        cluster = settled_cluster()
        answers = [
            cluster.submit("dc2a", region.request_of(attempt=2)),
            cluster.submit("dc3a", region.request_of(attempt=3)),
            cluster.submit("dc1b", region.request_of(attempt=None)),
        ]
        cluster.settle(5)
        self.assertEqual([call.answer.code for call in answers], [code.Code.COMPLETE] * 3)
        self.assertEqual(cluster.starts.max_starts_per_task(), 1)

    def test_resubmission_older_than_the_limit_is_unknown(self):
        cluster = settled_cluster()
        final = cluster.answer("dc1a", region.request_of(attempt=2, age_s=61.0))
        self.assertEqual((final.code, final.ran), (code.Code.TOO_OLD, UNKNOWN))


class OtherBody(unittest.TestCase):
    def test_same_id_with_another_body_is_refused_everywhere(self):
        cluster = settled_cluster()
        cluster.answer("dc1a", region.request_of())
        for name in cluster.nodes:
            final = cluster.answer(name, region.request_of(attempt=2, body=b"other"))
            self.assertEqual((final.code, final.ran), (code.Code.OTHER_BODY, NO))
        self.assertEqual(cluster.starts.max_starts_per_task(), 1)


class Refusals(unittest.TestCase):
    refusal = ports.Refusal(code.Code.OVERLOADED, "busy", 1.0)

    def test_delayed_duplicate_of_a_refused_attempt_does_not_run(self):
        # The caller was answered "not run", so a duplicate of its request that arrives later at
        # another instance must not run.
        cluster = settled_cluster()
        cluster.nodes["dc1a"].dispatcher.refusal = self.refusal
        final = cluster.answer("dc1a", region.request_of())
        self.assertEqual((final.code, final.ran), (code.Code.OVERLOADED, NO))
        duplicate = cluster.answer("dc1b", region.request_of())
        self.assertEqual((duplicate.code, duplicate.ran), (code.Code.ATTEMPT_CLOSED, NO))
        self.assertEqual(cluster.starts.max_starts_per_task(), 0)

    def test_a_higher_attempt_may_run(self):
        cluster = settled_cluster()
        cluster.nodes["dc1a"].dispatcher.refusal = self.refusal
        cluster.answer("dc1a", region.request_of())
        final = cluster.answer("dc1b", region.request_of(attempt=2, age_s=0.5))
        self.assertIs(final.code, code.Code.COMPLETE)

    def test_refused_resubmission_says_not_run_only_after_claiming_everywhere(self):
        cluster = settled_cluster()
        cluster.nodes["dc2a"].dispatcher.refusal = self.refusal
        final = cluster.answer("dc2a", region.request_of(attempt=2))
        self.assertEqual((final.code, final.ran), (code.Code.OVERLOADED, NO))
        cluster.settle(1)
        for name in ("dc1a", "dc3b"):
            duplicate = cluster.answer(name, region.request_of())
            self.assertEqual((duplicate.code, duplicate.ran), (code.Code.ATTEMPT_CLOSED, NO))
        resubmitted = cluster.answer("dc3a", region.request_of(attempt=3, age_s=1.0))
        self.assertIs(resubmitted.code, code.Code.COMPLETE)

    def test_refused_resubmission_gets_the_answer_of_an_earlier_run(self):
        cluster = settled_cluster()
        first = cluster.answer("dc1a", region.request_of())
        cluster.nodes["dc2a"].dispatcher.refusal = self.refusal
        self.assertEqual(cluster.answer("dc2a", region.request_of(attempt=2)), first)

    def test_refused_attempt_without_a_number_closes_all_attempts(self):
        cluster = settled_cluster()
        cluster.nodes["dc1a"].dispatcher.refusal = self.refusal
        cluster.answer("dc1a", region.request_of(attempt=None))
        cluster.settle(1)
        for attempt in (None, 1, 7):
            final = cluster.answer("dc2a", region.request_of(attempt=attempt))
            self.assertEqual((final.code, final.ran), (code.Code.ATTEMPT_CLOSED, NO), attempt)


class Deadline(unittest.TestCase):
    def test_answer_comes_before_the_timeout(self):
        cluster = settled_cluster()
        cluster.nodes["dc1a"].dispatcher.task_s = 5.0
        started = cluster.clock.now()
        final = cluster.answer("dc1a", region.request_of(timeout_s=1.0))
        self.assertEqual((final.code, final.ran), (code.Code.DEADLINE, UNKNOWN))
        self.assertLessEqual(cluster.clock.now() - started, 1.0)

    def test_answer_comes_in_time_when_every_other_instance_is_dead(self):
        cluster = settled_cluster()
        for name in list(cluster.nodes)[1:]:
            cluster.crash(name)
        for attempt in (1, 2):
            started = cluster.clock.now()
            request = region.request_of(f"j{attempt}", attempt=attempt, timeout_s=0.8)
            final = cluster.answer("dc1a", request)
            self.assertIs(final.ran, UNKNOWN)
            self.assertLessEqual(cluster.clock.now() - started, 0.8)
        self.assertEqual(cluster.starts.max_starts_per_task(), 0)


class FullRegistrar(unittest.TestCase):
    def test_new_jobs_are_refused_and_an_event_is_logged(self):
        limits = settings.JobSettings(data_centres=("dc1",), max_claims=3)
        cluster = settled_cluster({"dc1": 1}, limits=limits)
        calls = [cluster.submit("dc1a", region.request_of(f"job-{n}")) for n in range(6)]
        with self.assertLogs("rosedyke", "WARNING") as logs:
            cluster.settle(6)
        self.assertIn("E3002", logs.output[0])
        complete = [call for call in calls if call.answer.is_complete]
        self.assertEqual(len(complete), 3)
        self.assertEqual(cluster.violations(), [])
