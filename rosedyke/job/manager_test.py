import unittest

from rosedyke.job import answer, code, ports, settings
from rosedyke.standins import explore_region as region

NO, YES, UNKNOWN = answer.Ran.NO, answer.Ran.YES, answer.Ran.UNKNOWN
COUNTS = {"dc1": 2, "dc2": 2, "dc3": 2}


def settled(counts=None, **options):
    built = region.Region(counts or COUNTS, **options)
    built.settle()
    return built


class FirstAttempt(unittest.TestCase):
    def test_answer_is_whole_and_each_task_started_once(self):
        built = settled()
        request = region.request_of(tasks=3)
        final = built.answer("dc1a", request)
        self.assertIsNone(region.fault_of(final, request))
        self.assertIs(final.code, code.Code.COMPLETE)
        self.assertEqual((built.starts.of("job-1"), built.starts.most()), (3, 1))

    def test_one_pair_of_messages_in_a_data_centre_of_two(self):
        built = settled()
        before = len(built.network.log)
        built.answer("dc1a", region.request_of())
        sent = built.network.log[before:]
        self.assertEqual(len(sent), 2)
        self.assertEqual({target for _, _, target, _ in sent}, {"dc1a", "dc1b"})

    def test_same_attempt_at_two_instances_runs_once(self):
        # A balancer repeats the caller's request at a second instance while the first one is
        # still claiming.  Both callers get the same whole answer of one run.
        built = settled({"dc1": 3})
        request = region.request_of()
        answers = [built.submit(name, request) for name in ("dc1a", "dc1b", "dc1c")]
        built.settle(5)
        self.assertEqual([got.answer is not None for got in answers], [True] * 3)
        self.assertEqual({got.answer.code for got in answers}, {code.Code.COMPLETE})
        self.assertEqual(built.starts.most(), 1)


class Resubmission(unittest.TestCase):
    def test_attaches_to_the_run_in_progress_in_another_data_centre(self):
        built = settled()
        first = built.submit("dc1a", region.request_of())
        built.settle(0.02)
        second = built.answer("dc3b", region.request_of(attempt=2, age_s=0.02))
        built.settle(1)
        self.assertEqual(second, first.answer)
        self.assertEqual(built.starts.most(), 1)

    def test_gets_the_kept_answer_of_a_finished_run(self):
        built = settled()
        first = built.answer("dc1a", region.request_of())
        self.assertEqual(built.answer("dc2b", region.request_of(attempt=None)), first)
        self.assertEqual(built.starts.most(), 1)

    def test_runs_a_job_that_nobody_has_seen(self):
        built = settled()
        built.settle(5)
        final = built.answer("dc2a", region.request_of(attempt=2, age_s=1.0))
        self.assertIs(final.code, code.Code.COMPLETE)

    def test_two_at_once_run_once(self):
        built = settled()
        answers = [
            built.submit("dc2a", region.request_of(attempt=2)),
            built.submit("dc3a", region.request_of(attempt=3)),
            built.submit("dc1b", region.request_of(attempt=None)),
        ]
        built.settle(5)
        self.assertEqual([got.answer.code for got in answers], [code.Code.COMPLETE] * 3)
        self.assertEqual(built.starts.most(), 1)

    def test_older_than_the_claims_life_is_unknown(self):
        built = settled()
        final = built.answer("dc1a", region.request_of(attempt=2, age_s=61.0))
        self.assertEqual((final.code, final.ran), (code.Code.TOO_OLD, UNKNOWN))


class OtherBody(unittest.TestCase):
    def test_same_id_with_another_body_is_refused_everywhere(self):
        built = settled()
        built.answer("dc1a", region.request_of())
        for name in built.nodes:
            final = built.answer(name, region.request_of(attempt=2, body=b"other"))
            self.assertEqual((final.code, final.ran), (code.Code.OTHER_BODY, NO))
        self.assertEqual(built.starts.most(), 1)


class Refusals(unittest.TestCase):
    refusal = ports.Refusal(code.Code.OVERLOADED, "busy", 1.0)

    def test_not_run_is_kept_against_a_delayed_copy(self):
        # The caller is told "not run", and a copy of its request that a balancer held back
        # arrives at another instance of the data centre.  It must not run any more.
        built = settled()
        built.nodes["dc1a"].dispatcher.refusal = self.refusal
        final = built.answer("dc1a", region.request_of())
        self.assertEqual((final.code, final.ran), (code.Code.OVERLOADED, NO))
        late = built.answer("dc1b", region.request_of())
        self.assertEqual((late.code, late.ran), (code.Code.ATTEMPT_CLOSED, NO))
        self.assertEqual(built.starts.most(), 0)

    def test_a_higher_attempt_may_run(self):
        built = settled()
        built.nodes["dc1a"].dispatcher.refusal = self.refusal
        built.answer("dc1a", region.request_of())
        final = built.answer("dc1b", region.request_of(attempt=2, age_s=0.5))
        self.assertIs(final.code, code.Code.COMPLETE)

    def test_refused_resubmission_says_not_run_only_after_claiming_everywhere(self):
        built = settled()
        built.nodes["dc2a"].dispatcher.refusal = self.refusal
        final = built.answer("dc2a", region.request_of(attempt=2))
        self.assertEqual((final.code, final.ran), (code.Code.OVERLOADED, NO))
        built.settle(1)
        for name in ("dc1a", "dc3b"):
            late = built.answer(name, region.request_of())
            self.assertEqual((late.code, late.ran), (code.Code.ATTEMPT_CLOSED, NO))
        again = built.answer("dc3a", region.request_of(attempt=3, age_s=1.0))
        self.assertIs(again.code, code.Code.COMPLETE)

    def test_refused_resubmission_gets_the_answer_of_an_earlier_run(self):
        built = settled()
        first = built.answer("dc1a", region.request_of())
        built.nodes["dc2a"].dispatcher.refusal = self.refusal
        self.assertEqual(built.answer("dc2a", region.request_of(attempt=2)), first)

    def test_unnumbered_attempt_that_was_refused_is_closed_for_good(self):
        built = settled()
        built.nodes["dc1a"].dispatcher.refusal = self.refusal
        built.answer("dc1a", region.request_of(attempt=None))
        built.settle(1)
        for attempt in (None, 1, 7):
            final = built.answer("dc2a", region.request_of(attempt=attempt))
            self.assertEqual((final.code, final.ran), (code.Code.ATTEMPT_CLOSED, NO), attempt)


class Deadline(unittest.TestCase):
    def test_answer_comes_before_the_timeout(self):
        built = settled()
        built.nodes["dc1a"].dispatcher.task_s = 5.0
        started = built.clock.now()
        final = built.answer("dc1a", region.request_of(timeout_s=1.0))
        self.assertEqual((final.code, final.ran), (code.Code.DEADLINE, UNKNOWN))
        self.assertLessEqual(built.clock.now() - started, 1.0)

    def test_answer_comes_though_every_other_instance_is_gone(self):
        built = settled()
        for name in list(built.nodes)[1:]:
            built.crash(name)
        for attempt in (1, 2):
            started = built.clock.now()
            request = region.request_of(f"j{attempt}", attempt=attempt, timeout_s=0.8)
            final = built.answer("dc1a", request)
            self.assertIs(final.ran, UNKNOWN)
            self.assertLessEqual(built.clock.now() - started, 0.8)
        self.assertEqual(built.starts.most(), 0)


class FullRegistrar(unittest.TestCase):
    def test_new_jobs_are_refused_and_the_operator_is_told(self):
        limits = settings.JobSettings(data_centres=("dc1",), max_claims=3)
        built = settled({"dc1": 1}, limits=limits)
        calls = [built.submit("dc1a", region.request_of(f"job-{n}")) for n in range(6)]
        with self.assertLogs("rosedyke", "WARNING") as logs:
            built.settle(6)
        self.assertIn("E3002", logs.output[0])
        whole = [call for call in calls if call.answer.is_complete]
        self.assertEqual(len(whole), 3)
        self.assertEqual(built.faults(), [])
