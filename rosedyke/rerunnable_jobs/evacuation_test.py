import unittest

import attrs

from rosedyke.rerunnable_jobs import job
from rosedyke.standins import rerun_region

STARTUP_S = 1.5
DONE = job.Outcome(job.EndState.SUCCEEDED)


class Evacuation(unittest.TestCase):
    """A data centre is evacuated; the pool of each has three servers with four cores."""

    def setUp(self):
        self.region = rerun_region.Region({"a": 3, "b": 2, "c": 2})
        self.region.run(STARTUP_S)

    def tearDown(self):
        self.assertEqual(self.region.backend.violations, [])

    def starts_in(self, data_centre, since):
        return [
            task
            for at, task, server_id in self.region.backend.starts
            if at > since and server_id.startswith(f"s-{data_centre}-")
        ]

    def submit_to_all(self, prefix, **options):
        return [
            self.region.submit(name, f"{prefix}{name}", **options) for name in self.region.members
        ]

    def fill(self, duration_s=0.5):
        """Submit a job that fills all pools, and others of which some wait in data centre ``b``."""
        filling = [self.region.submit(self.region.owner("a"), "fill", 36, duration_s, 8)]
        self.region.run(0.1)
        filling += [
            self.region.submit(self.region.owner("a"), f"wait-{number}", 2, timeout_s=8)
            for number in range(9)
        ]
        self.region.run(0.05)
        owner = self.region.members[self.region.owner("b")].node.owned_pools["b/r1"]
        self.assertTrue(any(owned.has_waiting_tasks() for owned in owner.jobs.values()))
        return filling

    def test_no_task_starts_there_and_jobs_of_its_callers_run_elsewhere(self):
        self.region.evacuate("a")
        evacuated_at = self.region.runtime.now()
        submissions = []
        for number in range(10):
            submissions += self.submit_to_all(f"j{number}-", count=2)
            self.region.run(0.15)
        self.region.run(1.0)
        self.assertEqual([item.outcome for item in submissions], [DONE] * len(submissions))
        self.assertEqual(self.starts_in("a", evacuated_at), [])

    def test_waiting_tasks_move_and_running_ones_end_by_themselves(self):
        # Guards against tasks that wait for the evacuation to end, and against stopped runs.
        submissions = self.fill()
        self.assertEqual(len(self.starts_in("b", 0.0)), 12)
        self.region.evacuate("b")
        evacuated_at = self.region.runtime.now()
        self.region.run(2.0)
        self.assertEqual([item.outcome for item in submissions], [DONE] * len(submissions))
        self.assertEqual(self.starts_in("b", evacuated_at), [])
        self.assertEqual(len(self.region.backend.starts), 54)

    def test_moves_to_leave_an_evacuated_pool_are_not_counted(self):
        # Guards against tasks that may not move to free capacity because evacuations used up
        # their moves.
        self.fill()
        moves = []
        for member in self.region.members.values():
            submit = member.node.holder.submit
            member.node.holder.submit = lambda target, message, submit=submit: (
                moves.append(message.moves),
                submit(target, message),
            )
        self.region.evacuate("b")
        self.region.run(0.003)
        self.assertEqual(set(moves), {0})

    def test_instance_that_does_not_know_the_evacuation_yet(self):
        # Guards against a start by a holder's outdated view, and against a job that is sent to the
        # evacuated pool again and again.
        late = self.region.non_owner("a")
        self.region.evacuate("a", instances=set(self.region.members) - {late})
        evacuated_at = self.region.runtime.now()
        submissions = [self.region.submit(late, f"j{number}", count=3) for number in range(4)]
        self.region.run(1.0)
        self.assertEqual([item.outcome for item in submissions], [DONE] * 4)
        self.assertEqual(self.starts_in("a", evacuated_at), [])
        self.assertLess(max(item.ended_at for item in submissions) - evacuated_at, 0.3)

    def test_takeover_during_an_evacuation(self):
        # Guards against a successor that starts the tasks that it adopts or that waited.
        old_owner = self.region.owner("a")
        holder = self.region.non_owner("a")
        submissions = [
            self.region.submit(holder, f"j{number}", 4, 0.8, timeout_s=8) for number in range(12)
        ]
        self.region.run(0.1)
        self.region.evacuate("a")
        evacuated_at = self.region.runtime.now()
        self.region.kill(old_owner)
        self.region.run(4.0)
        self.assertEqual([item.outcome for item in submissions], [DONE] * len(submissions))
        self.assertNotIn(self.region.owner("a"), ("", old_owner))
        self.assertEqual(self.starts_in("a", evacuated_at), [])
        self.assertEqual(len(self.region.backend.starts), 48)

    def test_unanswered_start_is_resolved_before_its_task_moves(self):
        # Guards against a task that runs twice: a server of the evacuated data centre executes a
        # start command late, after the task was moved.
        server_ids = {f"s-a-{number}" for number in range(3)}
        self.region.backend.fault_injector = lambda kind, instance, server_id: (
            0.4 if kind == "start" and server_id in server_ids else None
        )
        submission = self.region.submit(self.region.owner("a"), "j", count=3, timeout_s=8)
        self.region.run(0.02)
        self.region.evacuate("a")
        self.region.run(3.0)
        self.assertEqual(submission.outcome, DONE)

    def test_end_of_the_evacuation(self):
        self.region.evacuate("a")
        self.region.run(1.0)
        self.region.evacuate()
        ended_at = self.region.runtime.now()
        self.region.run(0.5)
        submission = self.region.submit(self.region.owner("a"), "j", count=4)
        self.region.run(0.5)
        self.assertEqual(submission.outcome, DONE)
        self.assertNotEqual(self.starts_in("a", ended_at), [])

    def test_cold_servers_get_one_task_at_a_time(self):
        # Guards against a rush of tasks to servers that are still slow after the evacuation.
        self.region.evacuate("a")
        self.region.run(1.0)
        for number in range(3):
            server = self.region.backend.servers[f"s-a-{number}"]
            server.listed = attrs.evolve(server.listed, cold_s=1)
        self.region.evacuate()
        self.region.run(0.3)
        self.region.submit(self.region.owner("a"), "j", count=36, duration_s=0.2)
        self.region.run(0.1)
        running = [len(self.region.backend.servers[f"s-a-{n}"].runs) for n in range(3)]
        self.assertEqual(running, [1, 1, 1])
        for number in range(3):
            server = self.region.backend.servers[f"s-a-{number}"]
            server.listed = attrs.evolve(server.listed, cold_s=0)
        self.region.evacuate()
        self.region.submit(self.region.owner("a"), "k", count=36, duration_s=0.2)
        self.region.run(0.15)
        running = [len(self.region.backend.servers[f"s-a-{n}"].runs) for n in range(3)]
        self.assertGreater(sum(running), 3)

    def test_pool_without_runs_is_logged_once(self):
        self.fill()
        owned_pool = self.region.members[self.region.owner("b")].node.owned_pools["b/r1"]
        with self.assertLogs("rosedyke") as logs:
            self.region.evacuate("b")
            self.region.run(0.2)
            self.assertGreater(owned_pool.evacuated_runs(), 0)
            self.assertNotIn("pool_emptied", str(logs.output))
            self.region.run(1.5)
        self.assertEqual(str(logs.output).count("pool_emptied"), 1)
        self.assertEqual(owned_pool.evacuated_runs(), 0)

    def test_evacuation_of_every_data_centre_refuses_jobs_at_once(self):
        # Guards against callers that wait for servers that get no tasks.
        waiting = self.region.submit(self.region.owner("a"), "fill", count=40, duration_s=0.4)
        self.region.run(0.1)
        self.region.evacuate("a", "b", "c")
        evacuated_at = self.region.runtime.now()
        submission = self.region.submit(self.region.owner("a"), "j")
        self.region.run(2.0)
        self.assertEqual(submission.outcome.end, job.EndState.REFUSED)
        self.assertGreater(submission.outcome.retry_after_s, 0.0)
        self.assertLess(submission.ended_at - evacuated_at, 0.05)
        # Its tasks that have started make a refusal untrue.
        self.assertEqual(waiting.outcome.end, job.EndState.LOST)

    def test_second_data_centre_is_lost_during_an_evacuation(self):
        self.region.evacuate("a")
        evacuated_at = self.region.runtime.now()
        for name in ("b-1", "b-2"):
            self.region.kill(name)
        for number in range(3):
            self.region.backend.servers[f"s-b-{number}"].crash()
        self.region.run(1.0)
        submissions = self.submit_to_all("j-", count=2)
        self.region.run(2.0)
        self.assertEqual([item.outcome for item in submissions], [DONE] * len(submissions))
        self.assertEqual(self.starts_in("a", evacuated_at), [])


if __name__ == "__main__":
    unittest.main()
