import unittest
import unittest.mock

from rosedyke.observe import metric
from rosedyke.rerunnable_jobs import job, messages, settings
from rosedyke.standins import rerun_region

STARTUP_S = 1.5
PREDICTING = settings.RerunSettings(predicts_completion=True)
DONE = job.Outcome(job.EndState.SUCCEEDED)
REFUSED = job.EndState.REFUSED


def started(region):
    return {job.job_id(task) for _, task, _ in region.backend.starts}


class FullPool(unittest.TestCase):
    """The pool of data centre a runs tasks of 2 s on all of its twelve cores."""

    def start(self, timing, sizes=(("a", 2),), link_bytes_per_s=0.0):
        self.region = rerun_region.Region(
            dict(sizes), timing=timing, link_bytes_per_s=link_bytes_per_s
        )
        self.region.run(STARTUP_S)
        owner = self.region.members[self.region.owner("a")].node
        owner.request_capacity = lambda *request: None
        for member in self.region.members.values():
            member.node.holder.choose_pools = lambda work, count: {"a/r1": count}
        self.region.submit("a-1", "full", 12, 2.0, timeout_s=20)
        self.region.run(0.05)

    def submit(self, **options):
        return self.region.submit(self.region.non_owner("a"), "j1", objective_s=0.2, **options)

    def test_job_is_refused_within_a_quarter_of_its_objective_but_only_with_the_switch(self):
        # Guards also against new behaviour in deployments that did not ask for it.
        for timing, least_s, most_s in ((PREDICTING, 0, 0.05), (settings.RerunSettings(), 0.45, 1)):
            self.start(timing)
            submission = self.submit()
            self.region.run(4.0)
            self.assertEqual(submission.outcome.end, REFUSED)
            self.assertTrue(least_s < submission.duration_s < most_s)
            self.assertNotIn("j1", started(self.region))

    def test_job_that_is_merely_late_waits(self):
        self.start(PREDICTING)
        submission = self.region.submit("a-1", "late", objective_s=0.8)
        self.region.run(4.0)
        self.assertEqual(submission.outcome, DONE)
        self.assertGreater(submission.duration_s, 1.9)

    def test_job_whose_start_commands_take_too_long_on_the_link_is_refused(self):
        # Guards against starts for a job that is answered too late since its commands take longer
        # than the time that is left, and against refusals for smaller ones.
        for payload_bytes, is_refused in ((100, False), (5_000, False), (30_000, True)):
            with self.subTest(payload_bytes):
                self.start(PREDICTING, link_bytes_per_s=1e6)
                # Servers are free after 2 s, and an answer is useful until 2.4 s.
                submission = self.submit_late(count=12, payload="x" * payload_bytes)
                self.region.run(4.0)
                self.assertIs(submission.outcome.end is REFUSED, is_refused)
                self.assertIs("late" in started(self.region), not is_refused)

    def submit_late(self, **options):
        return self.region.submit(
            self.region.non_owner("a"), "late", objective_s=0.8, duration_s=0.1, **options
        )

    def test_queue_that_grows_ahead_of_a_job_leads_to_its_refusal(self):
        # Guards against checking a job only on its arrival.  Twelve tasks of 1.5 s that must start
        # earlier arrive after it.
        self.start(PREDICTING)
        waiting = self.region.submit("a-1", "long", 12, 0.4, objective_s=0.9)
        self.region.run(0.2)
        self.assertIsNone(waiting.outcome)
        self.region.submit("a-1", "urgent", 12, 1.5, objective_s=1.6)
        self.region.run(0.9 / 4)
        self.assertEqual(waiting.outcome.end, REFUSED)

    def test_refused_job_is_served_by_a_pool_with_free_capacity(self):
        # Guards against a refusal while servers of another pool are free.
        self.start(PREDICTING, (("a", 2), ("b", 2)))
        submission = self.submit(count=3)
        self.region.run(1.0)
        self.assertEqual(submission.outcome, DONE)
        self.assertLess(submission.duration_s, 0.2)
        servers = {server for _, task, server in self.region.backend.starts if "j1" in task}
        self.assertTrue(all(server.startswith("s-b") for server in servers))

    def test_callers_are_told_when_the_queue_has_drained(self):
        # Guards against a constant delay.  48 core-seconds wait for 12 cores.
        self.start(PREDICTING)
        for number in range(4):
            self.region.submit("a-1", f"long{number}", 12, 1.0, 90, objective_s=3.0 + number)
        self.region.run(0.05)
        for priority, delay_s in ((0, 4.0), (2, 6.4)):
            submission = self.region.submit("a-1", f"p{priority}", 1, 0.1, 4.5, priority, 8.0)
            self.region.run(0.1)
            self.assertAlmostEqual(
                submission.outcome.retry_after_s, delay_s, delta=delay_s / 4 + 0.01
            )

    def test_renewal_repairs_a_refusal_whose_message_is_lost(self):
        # Guards against a caller that is held until its timeout although the owner has refused.
        self.start(PREDICTING)
        usual_delay = self.region.network.delay_s
        lost = []

        def lose_first(source, target, message):
            if isinstance(message, messages.JobEnded) and not lost:
                lost.append(message)
                return None
            return usual_delay(source, target, message)

        self.region.network.delay_s = lose_first
        submission = self.submit()
        self.region.run(0.3)
        self.assertEqual((len(lost), submission.outcome.end), (1, REFUSED))
        self.region.run(4.0)
        self.assertNotIn("j1", started(self.region))


class Disagreement(unittest.TestCase):
    """Holder and owner know different things about the end of a job."""

    def setUp(self):
        self.region = rerun_region.Region({"a": 2}, timing=PREDICTING)
        self.region.run(STARTUP_S)
        self.name = self.region.non_owner("a")

    def test_job_that_has_succeeded_is_not_refused_when_its_messages_are_lost(self):
        # Guards against status 503 for a job that has run, by the withdrawal before its timeout.
        usual_delay = self.region.network.delay_s
        self.region.network.delay_s = lambda source, target, message: (
            None if isinstance(message, messages.JobEnded) else usual_delay(source, target, message)
        )
        submission = self.region.submit(self.name, "j1", timeout_s=1.0)
        self.region.run(1.5)
        self.assertEqual(submission.outcome.end, job.EndState.LOST)

    def test_refusal_after_the_answer_changes_nothing_and_is_not_counted(self):
        submission = self.region.submit(self.name, "j1")
        self.region.run(0.5)
        holder = self.region.members[self.name].node.holder
        refusal = messages.JobEnded(
            "j1", 1, "a/r1", 1 << 62, job.Outcome(REFUSED, "late", 1.0), ("j1.0.0.0",)
        )
        with unittest.mock.patch.object(metric, "count") as count:
            holder.on_ended(refusal)
            self.region.run(0.5)
        self.assertEqual(submission.outcome, DONE)
        self.assertEqual([call for call in count.mock_calls if "jobs_" in str(call)], [])


class Overload(unittest.TestCase):
    def test_twice_the_load_that_a_pool_carries(self):
        # Replays 3 s of urgent narrow jobs and of long ones that need 24 cores where there are 12.
        served, held_s = {}, {}
        for timing in (settings.RerunSettings(), PREDICTING):
            region = rerun_region.Region({"a": 2}, timing=timing)
            region.run(STARTUP_S)
            submissions = {}
            for number in range(300):
                is_long = number % 3 == 0
                submissions[f"j{number}"] = region.submit(
                    f"a-{1 + number % 2}",
                    f"j{number}",
                    count=1 if is_long else 2,
                    duration_s=0.4 if is_long else 0.08,
                    objective_s=0.7 if is_long else 0.19,
                    priority=2 if is_long else 0,
                )
                region.run(0.01)
            region.run(5.0)
            refused = {
                name: submission
                for name, submission in submissions.items()
                if submission.outcome.end is REFUSED
            }
            self.assertEqual(
                (region.backend.violations, set(refused) & started(region)), ([], set())
            )
            key = timing.predicts_completion
            served[key] = sum(entry.outcome == DONE for entry in submissions.values())
            held_s[key] = sum(entry.duration_s for entry in refused.values()) / len(refused)
        # Refusing early must not cost answers.
        self.assertGreaterEqual(served[True], served[False])
        self.assertLess(held_s[True], held_s[False])
