import unittest

from rosedyke.job import answer, code, status
from rosedyke.standins import explore_region as region

NO, UNKNOWN = answer.Ran.NO, answer.Ran.UNKNOWN


def settled():
    built = region.Region({"dc1": 2, "dc2": 2, "dc3": 2})
    built.settle()
    return built


def cancel(built, name, job_id="job-1"):
    return built.clock.call(built.nodes[name].jobs.cancel, job_id)


class Cancel(unittest.TestCase):
    def test_waiting_tasks_never_start_whoever_is_asked(self):
        for name in ("dc1a", "dc1b", "dc2b", "dc3a"):
            built = settled()
            call = built.submit("dc1a", region.request_of(tasks=5))
            built.settle(0.06)
            became = cancel(built, name)
            built.settle(2)
            self.assertEqual(built.starts.of("job-1"), 2, name)
            self.assertEqual((call.answer.code, became.answer), (code.Code.CANCELLED, call.answer))
            self.assertIs(call.answer.ran, answer.Ran.YES)
            self.assertEqual(built.faults(), [])

    def test_resubmission_after_a_cancellation_runs_nothing(self):
        built = settled()
        built.submit("dc1a", region.request_of(tasks=5))
        built.settle(0.02)
        cancel(built, "dc2a")
        again = built.answer("dc3a", region.request_of(attempt=2, age_s=0.1, tasks=5))
        self.assertIs(again.code, code.Code.CANCELLED)
        self.assertEqual(built.starts.most(), 1)

    def test_while_claiming_starts_nothing(self):
        built = settled()
        call = built.submit("dc1a", region.request_of())
        built.nodes["dc1a"].dispatcher.task_s = 0
        built.clock.step()
        while not built.nodes["dc1a"].jobs.node.held:
            built.clock.step()
        built.nodes["dc1a"].jobs.node.held["job-1"].is_holding = True
        built.clock.spawn(built.nodes["dc1a"].jobs.cancel, "job-1")
        built.settle(2)
        self.assertEqual(built.faults(), [])
        self.assertIsNotNone(call.answer)

    def test_ended_job_keeps_its_answer(self):
        built = settled()
        final = built.answer("dc1a", region.request_of())
        for name in built.nodes:
            self.assertEqual(cancel(built, name).answer, final)

    def test_unknown_job(self):
        built = settled()
        self.assertIs(cancel(built, "dc2a").state, status.State.NOT_FOUND)

    def test_job_that_may_be_behind_a_partition_is_not_called_unknown(self):
        built = settled()
        built.submit("dc1a", region.request_of())
        names = list(built.nodes)
        built.network.partition(names[:2], names[2:])
        self.assertIs(cancel(built, "dc2a").state, status.State.UNREACHABLE)

    def test_wave_of_ten_thousand(self):
        # Ten thousand jobs are running at one instance and all are cancelled through another.
        # None of their waiting tasks starts, and every caller is told the truth.
        built = region.Region({"dc1": 2, "dc2": 1}, delay_s=0.0001)
        built.settle()
        calls = [
            built.submit("dc1a", region.request_of(f"job-{n}", tasks=2, timeout_s=60))
            for n in range(10_000)
        ]
        built.nodes["dc1a"].dispatcher.task_s = 30.0
        built.settle(1)
        node = built.nodes["dc1b"].jobs
        for n in range(10_000):
            built.clock.spawn(node.cancel, f"job-{n}")
        built.settle(40)
        self.assertEqual({call.answer.code for call in calls}, {code.Code.CANCELLED})
        self.assertEqual(len(built.starts.by_task), 10_000)
        self.assertEqual(built.faults(), [])


class Find(unittest.TestCase):
    def test_state_and_kept_answer_from_any_instance(self):
        built = settled()
        call = built.submit("dc2a", region.request_of(tasks=4))
        built.settle(0.02)
        for name in built.nodes:
            became = built.clock.call(built.nodes[name].jobs.find, "job-1")
            self.assertEqual((became.state, became.holder), (status.State.RUNNING, "dc2a"))
        built.settle(2)
        for name in built.nodes:
            became = built.clock.call(built.nodes[name].jobs.find, "job-1")
            self.assertEqual((became.state, became.answer), (status.State.ENDED, call.answer))
