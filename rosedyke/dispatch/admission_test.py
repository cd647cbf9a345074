import unittest

from rosedyke.configuration import intent
from rosedyke.dispatch import admission, messages, settings
from rosedyke.job import answer, code, submission
from rosedyke.standins import fleet

OPTIONS = settings.DispatchSettings()
IDLE = messages.PoolReport(((1.0, 8),), 0.0, 0.0, 8.0, 8, room_s=480.0)


def refusal_for(total_s, timeout_s, report, tasks=1, longest_s=0.1):
    work = admission.JobWork(total_s, longest_s, tasks)
    return admission.overload_refusal(work, timeout_s, [report], intent.Limits(queue=50), OPTIONS)


class Refusals(unittest.TestCase):
    def test_idle_pool_accepts_a_job_within_its_timeout(self):
        self.assertIsNone(refusal_for(10.0, 5.0, IDLE))

    def test_job_longer_than_its_timeout_is_refused(self):
        self.assertEqual(refusal_for(100.0, 5.0, IDLE).code, code.Code.OVERLOADED)

    def test_small_job_is_accepted_while_large_ones_wait(self):
        busy = messages.PoolReport(
            (), 300.0, 8.0, 8.0, 8, 40, room_s=100.0, ahead=((1.0, 2.0), (100.0, 300.0))
        )
        self.assertIsNone(refusal_for(0.5, 5.0, busy))
        self.assertEqual(refusal_for(30.0, 5.0, busy).code, code.Code.OVERLOADED)

    def test_job_that_would_delay_others_is_refused_with_a_retry_time(self):
        full = messages.PoolReport((), 300.0, 8.0, 8.0, 8, 40, room_s=1.0, ahead=((100.0, 300.0),))
        refusal = refusal_for(9.0, 60.0, full)
        self.assertEqual((refusal.code, refusal.retry_after_s), (code.Code.OVERLOADED, 1.0))

    def test_full_queue_refuses_jobs(self):
        full = messages.PoolReport((), 1.0, 8.0, 8.0, 8, 50, room_s=400.0, ahead=((1.0, 1.0),))
        self.assertEqual(refusal_for(0.1, 5.0, full).code, code.Code.OVERLOADED)


class DispatcherChecks(unittest.TestCase):
    def test_task_larger_than_every_server_can_never_run(self):
        cluster = fleet.Fleet(fleet.make_service({"s1": 2}), {"a": "dc1"})
        call = submission.TaskCall("tag", size=intent.Size(cores=64))
        request = submission.Submission("scale", "j", 1, 0.0, 5.0, (call,))
        refusal = cluster.nodes["a"].dispatcher.check(request)
        self.assertEqual(refusal.code, code.Code.CAN_NEVER_RUN)

    def test_overloaded_pool_refuses_jobs_and_recovers(self):
        # Ten times the capacity arrives for two seconds.  Most accepted jobs must still complete,
        # and no backlog may delay a job that arrives afterwards.
        cluster = fleet.Fleet(fleet.make_service({"s1": 4}), {"a": "dc1", "b": "dc1"})
        accepted, refused = [], []

        def submit_jobs():
            for number in range(200):
                name = "ab"[number % 2]
                request = fleet.make_request(f"j{number}", 20, timeout_s=3.0)
                if cluster.nodes[name].dispatcher.check(request) is None:
                    accepted.append(cluster.submit(name, request))
                else:
                    refused.append(request)
                cluster.runtime.sleep(0.01)

        cluster.runtime.spawn(submit_jobs)
        cluster.runtime.run(8)
        self.assertGreater(len(refused), 100)
        complete = [submitted for submitted in accepted if submitted.answer.is_complete]
        self.assertGreater(len(complete), 0.9 * len(accepted))
        probe_request = fleet.make_request("late", 4, timeout_s=3.0)
        self.assertIsNone(cluster.nodes["a"].dispatcher.check(probe_request))
        active_job = cluster.submit("a", probe_request)
        cluster.runtime.run(8.2)
        self.assertTrue(active_job.answer.is_complete)

    def test_full_queue_refuses_a_claimed_job_admitted_by_an_old_report(self):
        limits = intent.Limits(queue=10)
        cluster = fleet.Fleet(fleet.make_service({"s1": 1}, limits=limits), {"a": "dc1"})
        jobs = [cluster.submit("a", fleet.make_request(f"j{number}", 10)) for number in range(4)]
        cluster.runtime.run(0.05)
        refused = [submitted for submitted in jobs if submitted.is_closed]
        self.assertEqual({submitted.answer.code for submitted in refused}, {code.Code.OVERLOADED})
        self.assertEqual({submitted.answer.ran for submitted in refused}, {answer.Ran.NO})
        self.assertEqual(len(refused), 2)
