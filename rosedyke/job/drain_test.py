import unittest

from rosedyke.job import answer, code
from rosedyke.job.claiming_test import job_with
from rosedyke.membership import member
from rosedyke.standins import explore_region as region

NO, YES, UNKNOWN = answer.Ran.NO, answer.Ran.YES, answer.Ran.UNKNOWN


def settled_cluster(counts):
    cluster = region.Region(counts)
    cluster.settle()
    return cluster


def leave(cluster, name, timeout_s=5.0):
    """Drain an instance as the daemon does, then remove it from the region."""
    is_complete = cluster.clock.call(cluster.nodes[name].jobs.drain, timeout_s)
    cluster.crash(name)
    del cluster.states[name]
    cluster.publish_view()
    return is_complete


class Drain(unittest.TestCase):
    def test_running_job_completes_and_new_ones_are_refused(self):
        # The running job of a draining instance completes. A new submission is refused as
        # "draining" and not run, and its next attempt runs elsewhere.
        cluster = settled_cluster({"dc1": 3, "dc2": 1})
        cluster.nodes["dc1a"].dispatcher.task_s = 1.0
        running = cluster.submit("dc1a", region.request_of(tasks=1))
        cluster.settle(0.1)
        cluster.clock.spawn(cluster.nodes["dc1a"].jobs.drain, 5.0)
        cluster.settle(0.1)
        refused = cluster.submit("dc1a", region.request_of("late"))
        cluster.settle(4)
        retried = cluster.submit("dc1b", region.request_of("late", attempt=2, age_s=4))
        cluster.settle(4)
        self.assertEqual(cluster.violations(), [])
        self.assertIs(running.answer.code, code.Code.COMPLETE)
        self.assertEqual((refused.answer.code, refused.answer.ran), (code.Code.DRAINING, NO))
        self.assertIs(retried.answer.code, code.Code.COMPLETE)

    def test_attempt_that_is_read_after_the_drain_is_answered_at_once(self):
        # A caller of a drained instance attached to a job of another instance, and waited for its
        # end, which may be after the end of the process.
        cluster = settled_cluster({"dc1": 3, "dc2": 1})
        cluster.nodes["dc1b"].dispatcher.task_s = 8.0
        running = cluster.submit("dc1b", region.request_of(timeout_s=20))
        cluster.settle(0.1)
        self.assertTrue(cluster.clock.call(cluster.nodes["dc1a"].jobs.drain, 5.0))
        attached = cluster.submit("dc1a", region.request_of(attempt=2, age_s=1, timeout_s=20))
        first = cluster.submit("dc1a", region.request_of("late", timeout_s=20))
        cluster.settle(0.05)
        self.assertEqual((attached.answer.code, attached.answer.ran), (code.Code.DRAINING, UNKNOWN))
        self.assertEqual((first.answer.code, first.answer.ran), (code.Code.DRAINING, NO))
        cluster.settle(18)
        self.assertIs(running.answer.code, code.Code.COMPLETE)
        self.assertEqual(cluster.violations(), [])

    def test_jobs_that_are_stopped_are_named_in_the_log(self):
        # Guards against callers' reports of a stopped job that no line of the log confirms.
        cluster = settled_cluster({"dc1": 2, "dc2": 1})
        cluster.nodes["dc1a"].dispatcher.task_s = 60.0
        cluster.submit("dc1a", region.request_of(timeout_s=100))
        cluster.settle(0.1)
        with self.assertLogs("rosedyke", "WARNING") as logged:
            cluster.clock.call(cluster.nodes["dc1a"].jobs.drain, 3.0)
        self.assertIn("job_stopped job=job-1 attempt=1 started=True ran=unknown", logged.output[0])

    def test_cached_answers_survive_the_replacement_of_every_instance(self):
        # Every instance of a data centre is replaced in turn. A resubmission still gets the
        # answer of the first run.
        cluster = settled_cluster({"dc1": 3, "dc2": 1})
        calls = [cluster.submit("dc1a", region.request_of(f"job-{n}")) for n in range(10)]
        cluster.settle(1)
        for number, name in enumerate(("dc1a", "dc1b", "dc1c")):
            cluster.join(f"dc1x{number}", "dc1")
            cluster.settle(1)
            self.assertTrue(leave(cluster, name))
            cluster.settle(1)
        resubmitted = [
            cluster.submit("dc2a", region.request_of(f"job-{n}", attempt=2, age_s=10))
            for n in range(10)
        ]
        cluster.settle(6)
        self.assertEqual(cluster.violations(), [])
        self.assertEqual([call.answer for call in resubmitted], [call.answer for call in calls])

    def test_answer_of_a_resubmission_is_found_from_every_data_centre_after_its_holder_left(self):
        # Registrars of every data centre record the holder of a resubmitted job. After the holder
        # has left, they must record the instance that received the answer.
        cluster = settled_cluster({"dc1": 3, "dc2": 2, "dc3": 2})
        cluster.settle(3)
        first = cluster.answer("dc2a", region.request_of(attempt=2, age_s=0.1))
        self.assertTrue(leave(cluster, "dc2a"))
        cluster.settle(1)
        for name in ("dc1a", "dc2b", "dc3a"):
            resubmitted = cluster.answer(name, region.request_of(attempt=3, age_s=5))
            self.assertEqual(resubmitted, first, name)

    def test_claim_is_not_granted_by_a_registrar_that_has_handed_over(self):
        # The first registrar has handed over its claims, but the other members do not know yet.
        # A claim that it grants now would be lost as soon as it and the holder are gone.
        names = ("dc1a", "dc1b", "dc1c")
        cluster = settled_cluster({"dc1": 3, "dc2": 1})
        cluster.settle(5)
        job_id = job_with(("dc1b", "dc1c"), names)
        cluster.nodes["dc1b"].views.on_leave = lambda: None
        self.assertTrue(cluster.clock.call(cluster.nodes["dc1b"].jobs.drain, 5.0))
        cluster.network.partition(["dc1a"], ["dc1c"])
        cluster.submit("dc1a", region.request_of(job_id))
        cluster.settle(0.5)
        for name, state in (("dc1b", member.State.LEAVING), ("dc1a", member.State.DEAD)):
            cluster.crash(name)
            cluster.set_state(name, state)
        del cluster.states["dc1b"]
        cluster.publish_view()
        cluster.settle(1)
        cluster.submit("dc2a", region.request_of(job_id, attempt=2, age_s=1.6))
        cluster.settle(6)
        self.assertEqual(cluster.violations(), [])

    def test_graceful_leave_is_not_recorded_as_a_death(self):
        cluster = settled_cluster({"dc1": 4, "dc2": 1})
        leave(cluster, "dc1a")
        leave(cluster, "dc1b")
        cluster.settle(1)
        for name in ("dc1c", "dc1d"):
            self.assertEqual(cluster.nodes[name].jobs.node.authority.deaths, {})

    def test_drain_fails_running_jobs_at_its_timeout(self):
        cluster = settled_cluster({"dc1": 2, "dc2": 1})
        cluster.nodes["dc1a"].dispatcher.task_s = 60.0
        running = cluster.submit("dc1a", region.request_of(timeout_s=100))
        cluster.settle(0.1)
        started = cluster.clock.now()
        self.assertFalse(cluster.clock.call(cluster.nodes["dc1a"].jobs.drain, 3.0))
        self.assertLessEqual(cluster.clock.now() - started, 3.0)
        cluster.settle(0.1)
        self.assertEqual((running.answer.code, running.answer.ran), (code.Code.STOPPED, UNKNOWN))
        self.assertEqual(cluster.violations(), [])

    def test_last_instance_of_a_data_centre_drains_within_its_timeout(self):
        cluster = settled_cluster({"dc1": 1, "dc2": 1})
        cluster.answer("dc1a", region.request_of())
        started = cluster.clock.now()
        self.assertFalse(cluster.clock.call(cluster.nodes["dc1a"].jobs.drain, 3.0))
        self.assertLessEqual(cluster.clock.now() - started, 3.0)

    def test_stop_fails_running_jobs(self):
        cluster = settled_cluster({"dc1": 2, "dc2": 1})
        running = cluster.submit("dc1a", region.request_of(tasks=2))
        cluster.settle(0.01)
        cluster.nodes["dc1a"].jobs.stop()
        cluster.settle(0.1)
        self.assertEqual((running.answer.code, running.answer.ran), (code.Code.STOPPED, UNKNOWN))
        cluster.settle(1)
        self.assertEqual(cluster.starts.count_started_tasks("job-1"), 1)


class Pause(unittest.TestCase):
    def test_waiting_task_is_not_sent_after_a_pause_before_any_timer_runs(self):
        # The process is paused while the first of two tasks runs. The job resumes before any
        # timer fires and must not send the second task.
        cluster = settled_cluster({"dc1": 2, "dc2": 1})
        call = cluster.submit("dc1a", region.request_of(tasks=2))
        cluster.settle(0.04)
        cluster.pause("dc1a")
        cluster.settle(5)
        cluster.resume("dc1a")
        cluster.settle(1)
        self.assertEqual(cluster.starts.count_started_tasks("job-1"), 1)
        self.assertEqual((call.answer.code, call.answer.ran), (code.Code.STOPPED, YES))
        # A retry would get the same answer, so none is suggested.
        self.assertIsNone(call.answer.retry_after_s)
        self.assertEqual(cluster.violations(), [])

    def test_paused_instance_refuses_jobs_until_it_has_rejoined(self):
        cluster = settled_cluster({"dc1": 3, "dc2": 1})
        first = cluster.answer("dc1a", region.request_of())
        node = cluster.nodes["dc1a"]
        node.jobs.on_pause()
        refused = cluster.answer("dc1a", region.request_of("second"))
        self.assertEqual((refused.code, refused.ran), (code.Code.NOT_READY, NO))
        cluster.rejoin("dc1a")
        cluster.settle(1)
        accepted = cluster.answer("dc1a", region.request_of("third"))
        self.assertIs(accepted.code, code.Code.COMPLETE)
        resubmitted = cluster.answer("dc2a", region.request_of(attempt=2, age_s=1.5))
        self.assertEqual(resubmitted, first)
        self.assertEqual(cluster.violations(), [])

    def test_fence_reopens_after_a_pause_that_the_membership_did_not_detect(self):
        # The pause was long enough for the fence but not for the membership, so no rejoin follows.
        # The instance must not refuse jobs permanently.
        cluster = settled_cluster({"dc1": 2, "dc2": 1})
        cluster.nodes["dc1a"].jobs.on_pause()
        self.assertIs(cluster.answer("dc1a", region.request_of()).code, code.Code.NOT_READY)
        cluster.settle(4)
        accepted = cluster.answer("dc1a", region.request_of("second"))
        self.assertIs(accepted.code, code.Code.COMPLETE)

    def test_regular_heartbeats_do_not_close_the_fence(self):
        cluster = settled_cluster({"dc1": 2, "dc2": 1})
        cluster.settle(30)
        self.assertFalse(cluster.nodes["dc1a"].jobs.fence.is_closed)
