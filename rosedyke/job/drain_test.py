import unittest

from rosedyke.job import answer, code
from rosedyke.job.claiming_test import job_with
from rosedyke.membership import member
from rosedyke.standins import explore_region as region

NO, YES, UNKNOWN = answer.Ran.NO, answer.Ran.YES, answer.Ran.UNKNOWN


def settled(counts):
    built = region.Region(counts)
    built.settle()
    return built


def leave(built, name, timeout_s=5.0):
    """Drain an instance as the daemon does; at the end it is gone."""
    whole = built.clock.call(built.nodes[name].jobs.drain, timeout_s)
    built.crash(name)
    del built.states[name]
    built.spread()
    return whole


class Drain(unittest.TestCase):
    def test_request_in_flight_ends_whole_and_new_ones_are_refused(self):
        # A planned stop. The running job's caller gets its whole answer; a new submission to
        # the draining instance is told "draining", not run, and runs at the next attempt.
        built = settled({"dc1": 3, "dc2": 1})
        built.nodes["dc1a"].dispatcher.task_s = 1.0
        running = built.submit("dc1a", region.request_of(tasks=1))
        built.settle(0.1)
        built.clock.spawn(built.nodes["dc1a"].jobs.drain, 5.0)
        built.settle(0.1)
        refused = built.submit("dc1a", region.request_of("late"))
        built.settle(4)
        retried = built.submit("dc1b", region.request_of("late", attempt=2, age_s=4))
        built.settle(4)
        self.assertEqual(built.faults(), [])
        self.assertIs(running.answer.code, code.Code.COMPLETE)
        self.assertEqual((refused.answer.code, refused.answer.ran), (code.Code.DRAINING, NO))
        self.assertIs(retried.answer.code, code.Code.COMPLETE)

    def test_kept_answers_outlive_every_instance_that_knew_them(self):
        # A rolling replacement: every instance of the data centre is drained in turn, each
        # after a new one joined. A resubmission still gets the first run's whole answer.
        built = settled({"dc1": 3, "dc2": 1})
        calls = [built.submit("dc1a", region.request_of(f"job-{n}")) for n in range(10)]
        built.settle(1)
        for number, name in enumerate(("dc1a", "dc1b", "dc1c")):
            built.join(f"dc1x{number}", "dc1")
            built.settle(1)
            self.assertTrue(leave(built, name))
            built.settle(1)
        again = [
            built.submit("dc2a", region.request_of(f"job-{n}", attempt=2, age_s=10))
            for n in range(10)
        ]
        built.settle(6)
        self.assertEqual(built.faults(), [])
        self.assertEqual([call.answer for call in again], [call.answer for call in calls])

    def test_answer_of_a_resubmission_is_found_from_every_data_centre_after_its_holder_left(self):
        # The job was run by a resubmission, so every data centre's registrars name its holder.
        # After the holder left gracefully they name the instance that keeps the answer.
        built = settled({"dc1": 3, "dc2": 2, "dc3": 2})
        built.settle(3)
        first = built.answer("dc2a", region.request_of(attempt=2, age_s=0.1))
        self.assertTrue(leave(built, "dc2a"))
        built.settle(1)
        for name in ("dc1a", "dc2b", "dc3a"):
            again = built.answer(name, region.request_of(attempt=3, age_s=5))
            self.assertEqual(again, first, name)

    def test_claim_is_not_granted_by_a_registrar_that_has_handed_over(self):
        # The first registrar has handed its claims over, but its leaving isn't known yet. A job
        # is half-held by it alone, its holder dies, and it is gone. Nobody would know the job.
        names = ("dc1a", "dc1b", "dc1c")
        built = settled({"dc1": 3, "dc2": 1})
        built.settle(5)
        job_id = job_with(("dc1b", "dc1c"), names)
        built.nodes["dc1b"].views.on_leave = lambda: None
        self.assertTrue(built.clock.call(built.nodes["dc1b"].jobs.drain, 5.0))
        built.network.partition(["dc1a"], ["dc1c"])
        built.submit("dc1a", region.request_of(job_id))
        built.settle(0.5)
        for name, state in (("dc1b", member.State.LEAVING), ("dc1a", member.State.DEAD)):
            built.crash(name)
            built.set_state(name, state)
        del built.states["dc1b"]
        built.spread()
        built.settle(1)
        built.submit("dc2a", region.request_of(job_id, attempt=2, age_s=1.6))
        built.settle(6)
        self.assertEqual(built.faults(), [])

    def test_graceful_leave_is_no_death(self):
        built = settled({"dc1": 4, "dc2": 1})
        leave(built, "dc1a")
        leave(built, "dc1b")
        built.settle(1)
        for name in ("dc1c", "dc1d"):
            self.assertEqual(built.nodes[name].jobs.node.authority.deaths, {})

    def test_bound_ends_the_drain_with_truthful_failures(self):
        built = settled({"dc1": 2, "dc2": 1})
        built.nodes["dc1a"].dispatcher.task_s = 60.0
        running = built.submit("dc1a", region.request_of(timeout_s=100))
        built.settle(0.1)
        started = built.clock.now()
        self.assertFalse(built.clock.call(built.nodes["dc1a"].jobs.drain, 3.0))
        self.assertLessEqual(built.clock.now() - started, 3.0)
        built.settle(0.1)
        self.assertEqual((running.answer.code, running.answer.ran), (code.Code.STOPPED, UNKNOWN))
        self.assertEqual(built.faults(), [])

    def test_last_instance_of_a_data_centre_drains_in_time(self):
        built = settled({"dc1": 1, "dc2": 1})
        built.answer("dc1a", region.request_of())
        started = built.clock.now()
        self.assertFalse(built.clock.call(built.nodes["dc1a"].jobs.drain, 3.0))
        self.assertLessEqual(built.clock.now() - started, 3.0)

    def test_stop_ends_running_jobs_with_truthful_failures(self):
        built = settled({"dc1": 2, "dc2": 1})
        running = built.submit("dc1a", region.request_of(tasks=2))
        built.settle(0.01)
        built.nodes["dc1a"].jobs.stop()
        built.settle(0.1)
        self.assertEqual((running.answer.code, running.answer.ran), (code.Code.STOPPED, UNKNOWN))
        built.settle(1)
        self.assertEqual(built.starts.of("job-1"), 1)


class Pause(unittest.TestCase):
    def test_waiting_task_is_not_sent_after_a_pause_that_no_timer_has_noticed(self):
        # The process is stopped while the first of two tasks runs. When it goes on, the job's
        # task runs first, before any timer. The second task must not leave.
        built = settled({"dc1": 2, "dc2": 1})
        call = built.submit("dc1a", region.request_of(tasks=2))
        built.settle(0.04)
        built.pause("dc1a")
        built.settle(5)
        built.resume("dc1a")
        built.settle(1)
        self.assertEqual(built.starts.of("job-1"), 1)
        self.assertEqual((call.answer.code, call.answer.ran), (code.Code.STOPPED, YES))
        # Another attempt gets the same answer, so none is asked for.
        self.assertIsNone(call.answer.retry_after_s)
        self.assertEqual(built.faults(), [])

    def test_nothing_is_sent_until_it_joined_again(self):
        built = settled({"dc1": 3, "dc2": 1})
        first = built.answer("dc1a", region.request_of())
        node = built.nodes["dc1a"]
        node.jobs.on_pause()
        refused = built.answer("dc1a", region.request_of("second"))
        self.assertEqual((refused.code, refused.ran), (code.Code.NOT_READY, NO))
        built.rejoin("dc1a")
        built.settle(1)
        after = built.answer("dc1a", region.request_of("third"))
        self.assertIs(after.code, code.Code.COMPLETE)
        again = built.answer("dc2a", region.request_of(attempt=2, age_s=1.5))
        self.assertEqual(again, first)
        self.assertEqual(built.faults(), [])

    def test_pause_that_the_membership_did_not_notice_ends_by_itself(self):
        # The loop stood still just long enough for the fence, and not for the membership, so
        # there is no new incarnation to wait for. The instance must not refuse jobs for ever.
        built = settled({"dc1": 2, "dc2": 1})
        built.nodes["dc1a"].jobs.on_pause()
        self.assertIs(built.answer("dc1a", region.request_of()).code, code.Code.NOT_READY)
        built.settle(4)
        after = built.answer("dc1a", region.request_of("second"))
        self.assertIs(after.code, code.Code.COMPLETE)

    def test_beating_loop_is_not_taken_for_a_pause(self):
        built = settled({"dc1": 2, "dc2": 1})
        built.settle(30)
        self.assertFalse(built.nodes["dc1a"].jobs.fence.is_closed)
