import unittest

from rosedyke.rerunnable_jobs import cancellations, job, settings
from rosedyke.standins import explore_holders

STARTUP_S = 1.5
# The caller's delay before it sends a job again.
RETRY_S = 1.3
# No task of a cancelled job starts later than this after the acknowledgement.
CANCEL_S = 1.0
DOWN_S = 1.0
STORED = cancellations.Cancelled(True, True)
STORED_ELSEWHERE = cancellations.Cancelled(False, True)


TIMING = settings.RerunSettings(cancellations_kept_s=20.0)


class RegionTest(unittest.TestCase):
    """Instances in two data centres, and a job of many short tasks."""

    SIZES = {"a": 3, "b": 2}

    def setUp(self):
        self.region = explore_holders.PausableRegion(self.SIZES, timing=TIMING)
        self.region.run(STARTUP_S)
        self.first, self.second = self.region.non_owner("a"), self.region.non_owner("b")

    def tearDown(self):
        self.assertEqual(self.region.backend.violations, [])

    def submit(self, name, count=200, timeout_s=10.0, **arguments):
        return self.region.submit(
            name, "j1", count=count, duration_s=0.4, timeout_s=timeout_s, **arguments
        )

    def other(self):
        """Return an instance that is neither an owner nor one to which a job is submitted."""
        owners = {self.region.owner("a"), self.region.owner("b")}
        return next(
            name for name in self.region.members if name not in {self.first, self.second, *owners}
        )

    def last_start(self):
        return max((time for time, _, _ in self.region.backend.starts), default=0.0)

    def is_running(self):
        return any(server.runs for server in self.region.backend.servers.values())

    def kill_and_start_all(self):
        members = {name: member.own for name, member in self.region.members.items()}
        for name in members:
            self.region.kill(name)
        self.region.run(DOWN_S)
        for name, own in members.items():
            self.region.add(name, own.data_centre, own.address)

    def assert_stopped(self, since=None):
        """Assert that no task starts later than ``CANCEL_S`` after a time, by default now."""
        since = self.region.runtime.now() if since is None else since
        self.region.run(CANCEL_S + 2.0)
        self.assertLessEqual(self.last_start(), since + CANCEL_S)
        self.assertFalse(self.is_running())


class Orders(RegionTest):
    """A cancellation before, between and during the attempts of a job's caller."""

    def test_before_the_first_request_and_a_restart_of_all(self):
        # Guards against a job that runs because every instance has forgotten its cancellation.
        cancelled = self.region.cancel(self.first, "j1")
        self.region.run(0.5)
        self.assertEqual(cancelled.result, STORED_ELSEWHERE)
        self.kill_and_start_all()
        self.region.run(STARTUP_S)
        late = self.submit(self.second)
        self.region.run(2.0)
        self.assertEqual(late.outcome, job.CANCELLED_BY_CALLER)
        self.assertEqual(self.region.backend.starts, [])

    def test_between_two_attempts_and_a_restart_of_all(self):
        self.submit(self.first)
        self.region.run(1.0)
        cancelled = self.region.cancel(self.first, "j1")
        self.region.run(0.1)
        self.assertEqual(cancelled.result, STORED)
        began_at = self.region.runtime.now()
        self.kill_and_start_all()
        self.region.run(STARTUP_S)
        again = self.submit(self.second)
        self.assert_stopped(began_at)
        self.assertEqual(again.outcome, job.CANCELLED_BY_CALLER)

    def test_all_killed_at_every_step(self):
        # Guards against an acknowledgement before anything keeps the cancellation.  Within these
        # times it is sent, told, stored and answered.
        acknowledged = []
        for step in range(12):
            with self.subTest(step=step):
                self.setUp()
                self.submit(self.first)
                self.region.run(0.5)
                cancelled = self.region.cancel(self.second, "j1")
                self.region.run(step * 0.0004)
                result, began_at = cancelled.result, self.region.runtime.now()
                self.kill_and_start_all()
                self.region.run(STARTUP_S)
                self.submit(self.first)
                acknowledged.append(result is not None)
                if result is not None:
                    self.assertEqual(result, STORED_ELSEWHERE)
                    self.assert_stopped(began_at)
        self.assertEqual(set(acknowledged), {False, True})

    def test_one_instance_killed_at_every_step(self):
        # Guards against a cancellation that depends on the holder or on who answered it.
        for victim in ("first", "second", "owner"):
            for step in range(0, 12, 3):
                with self.subTest(victim=victim, step=step):
                    self.setUp()
                    self.submit(self.first)
                    self.region.run(1.0)
                    cancelled = self.region.cancel(self.second, "j1")
                    self.region.run(step * 0.0004)
                    is_answered = cancelled.result is not None
                    names = {
                        "first": self.first,
                        "second": self.second,
                        "owner": self.region.owner("a"),
                    }
                    self.region.kill(names[victim])
                    began_at = self.region.runtime.now()
                    self.region.run(RETRY_S)
                    self.submit(self.other())
                    if is_answered or victim != "second":
                        self.assert_stopped(began_at)

    def test_twice_at_two_instances(self):
        # Guards against an acknowledgement of the second before the first is stored.
        self.submit(self.first)
        self.region.run(1.0)
        cancelled = [self.region.cancel(name, "j1") for name in (self.first, self.second)]
        self.region.run(0.1)
        self.assertEqual([one.result for one in cancelled], [STORED, STORED_ELSEWHERE])
        self.assert_stopped()

    def test_repeated_at_one_instance_while_the_first_waits(self):
        self.region.members[self.first].cancellation_store.delay_s = 0.2
        cancelled = [self.region.cancel(self.first, "j1") for _ in range(3)]
        self.region.run(0.3)
        self.assertTrue(all(one.result.is_stored for one in cancelled))
        self.assertEqual(self.region.cancellation_writes, 1)

    def test_job_that_a_second_holder_has_joined(self):
        submissions = [self.submit(self.first)]
        self.region.run(0.5)
        submissions.append(self.submit(self.second))
        self.region.run(0.5)
        self.region.cancel(self.other(), "j1")
        self.assert_stopped()
        ends = [submission.outcome for submission in submissions]
        self.assertEqual(ends, [job.CANCELLED_BY_CALLER] * 2)

    def test_job_that_a_second_holder_claims_at_that_moment(self):
        for step in range(0, 12, 3):
            with self.subTest(step=step):
                self.setUp()
                first = self.submit(self.first)
                self.region.run(1.0)
                self.region.kill(self.first)
                self.region.run(RETRY_S)
                again = self.submit(self.second)
                self.region.run(step * 0.0003)
                self.region.cancel(self.other(), "j1")
                self.assert_stopped()
                self.assertIsNone(first.outcome)
                self.assertEqual(again.outcome, job.CANCELLED_BY_CALLER)

    def test_job_whose_owner_was_just_replaced(self):
        for wait_s in (0.0, 0.5, 0.6):
            with self.subTest(wait_s=wait_s):
                self.setUp()
                self.submit(self.first)
                self.region.run(1.0)
                self.region.kill(self.region.owner("a"))
                self.region.run(wait_s)
                self.region.cancel(self.second, "j1")
                self.assert_stopped()

    def test_job_whose_pool_is_handed_over_at_a_shutdown(self):
        for wait_s in (0.0, 0.002, 0.05):
            with self.subTest(wait_s=wait_s):
                self.setUp()
                self.submit(self.first)
                self.region.run(1.0)
                handover = self.region.members[self.region.owner("a")].node.handover
                self.region.runtime.spawn(handover.hand_pools_over, False)
                self.region.run(wait_s)
                self.region.cancel(self.second, "j1")
                self.assert_stopped()

    def test_job_that_runs_in_two_data_centres(self):
        self.submit(self.first, count=300)
        self.region.run(1.0)
        servers = {server for _, _, server in self.region.backend.starts}
        self.assertEqual({server.split("-")[1] for server in servers}, {"a", "b"})
        self.region.cancel(self.first, "j1")
        self.assert_stopped()


class Cuts(RegionTest):
    """Instances that can't reach each other or the store."""

    def cut(self, name, *others):
        others = others or [other for other in self.region.members if other != name]
        self.region.partition_instances([name], list(others))

    def test_instance_that_is_cut_off_reaches_the_holder_through_the_store(self):
        # Guards against an answer by an instance that knows only that it does not hold the job.
        self.submit(self.first)
        self.region.run(1.0)
        self.cut(self.other())
        cancelled = self.region.cancel(self.other(), "j1")
        self.region.run(0.1)
        self.assertEqual(cancelled.result, STORED_ELSEWHERE)
        self.assert_stopped()

    def test_instance_that_reaches_neither_others_nor_the_store_acknowledges_nothing(self):
        name = self.other()
        self.submit(self.first)
        self.region.run(1.0)
        self.cut(name)
        self.region.members[name].cancellation_store.reachable = False
        cancelled = self.region.cancel(name, "j1", timeout_s=2.0)
        self.region.run(2.5)
        self.assertEqual(cancelled.result, cancellations.Cancelled(False, False))
        self.assertLessEqual(cancelled.ended_at - cancelled.submitted_at, 2.01)
        # It goes on trying, because the caller may count on the cancellation later.
        self.region.members[name].cancellation_store.reachable = True
        self.region.run(1.0)
        self.assertEqual(self.region.cancelled, {"j1"})
        self.assert_stopped()

    def test_instance_that_the_store_rejects_lets_another_one_store(self):
        self.region.members[self.first].cancellation_store.reachable = False
        self.submit(self.first)
        self.region.run(1.0)
        cancelled = self.region.cancel(self.first, "j1")
        self.region.run(0.2)
        self.assertEqual(cancelled.result, STORED)
        began_at = self.region.runtime.now()
        self.kill_and_start_all()
        self.region.run(STARTUP_S)
        self.submit(self.second)
        self.assert_stopped(began_at)

    def test_no_acknowledgement_while_the_store_is_away(self):
        for member in self.region.members.values():
            member.cancellation_store.reachable = False
        submission = self.submit(self.first)
        other = self.region.submit(self.second, "j2", count=4, duration_s=0.1)
        self.region.run(1.0)
        cancelled = self.region.cancel(self.second, "j1", timeout_s=1.0)
        # The job is stopped at once all the same, and others are served.
        self.assert_stopped()
        self.assertEqual(submission.outcome, job.CANCELLED_BY_CALLER)
        self.assertEqual(other.outcome.end, job.EndState.SUCCEEDED)
        self.assertFalse(cancelled.result.is_stored)
        for member in self.region.members.values():
            member.cancellation_store.reachable = True
        self.region.run(1.0)
        self.assertEqual(self.region.cancelled, {"j1"})

    def test_owner_refuses_the_tasks_of_a_holder_that_has_not_heard(self):
        # Guards against an owner in touch that starts tasks for a holder that is cut off from all
        # that know of the cancellation.
        owners = {self.region.owner("a"), self.region.owner("b")}
        submission = self.submit(self.first)
        self.region.run(1.0)
        others = [name for name in self.region.members if name not in {*owners, self.first}]
        self.cut(self.first, *others)
        self.region.members[self.first].cancellation_store.reachable = False
        self.region.cancel(self.second, "j1")
        self.assert_stopped()
        self.assertEqual(submission.outcome, job.CANCELLED_BY_CALLER)

    def test_owner_that_learns_of_it_refuses_a_later_part(self):
        self.region.members[self.region.owner("a")].node.registrar.cancel("j1")
        for name in self.region.members:
            if name != self.region.owner("a"):
                self.region.members[name].node.registrar.cancelled.clear()
        owner = self.region.owner("a")
        submission = self.submit(owner, count=2)
        self.region.run(1.0)
        self.assertEqual(submission.outcome, job.CANCELLED_BY_CALLER)

    def test_lost_message_to_the_holder(self):
        # Guards against a holder that learns of a cancellation from nobody.
        self.submit(self.first)
        self.region.run(1.0)
        self.region.members[self.first].cancellation_store.reachable = False
        canceller = self.other()
        self.cut(canceller, self.first)
        self.region.cancel(canceller, "j1")
        self.assert_stopped()


class Restarts(RegionTest):
    def test_instance_accepts_jobs_once_it_has_read_the_cancellations(self):
        node = self.region.members[self.first].node
        self.assertTrue(node.cancellations.are_known())
        self.region.kill(self.first)
        member = self.region.add(self.first, "a", "10.0.0.77:7000")
        self.assertFalse(member.node.cancellations.are_known())
        self.region.run(0.1)
        self.assertTrue(member.node.cancellations.are_known())

    def test_instance_without_the_store_learns_them_from_another_one(self):
        # Guards against an instance that the store rejects, and that is not ready for long.
        self.region.cancel(self.second, "j1")
        self.region.run(0.5)
        self.region.kill(self.first)
        member = self.region.add(self.first, "a", "10.0.0.77:7000")
        member.cancellation_store.reachable = False
        self.region.run(0.5)
        self.assertTrue(member.node.cancellations.are_known())
        self.assertTrue(member.node.registrar.is_cancelled("j1"))

    def test_instance_without_the_store_accepts_jobs_after_a_while(self):
        # Guards against a data centre that serves nothing while it is cut off.
        names = [name for name in self.region.members if name != self.first]
        self.region.kill(self.first)
        self.region.partition_instances([self.first], names)
        member = self.region.add(self.first, "a", "10.0.0.77:7000")
        member.cancellation_store.reachable = False
        self.region.run(TIMING.cancellations_wait_s - 0.1)
        self.assertFalse(member.node.cancellations.are_known())
        self.region.run(0.2)
        self.assertTrue(member.node.cancellations.are_known())

    def test_job_that_was_accepted_without_the_store_is_stopped_once_that_is_back(self):
        self.region.cancel(self.first, "j1")
        self.region.run(0.5)
        names = list(self.region.members)
        self.kill_and_start_all()
        for name in names:
            self.region.members[name].cancellation_store.reachable = False
        self.region.run(TIMING.cancellations_wait_s)
        self.assertTrue(self.region.members[self.second].node.cancellations.are_known())
        submission = self.submit(self.second)
        self.region.run(1.0)
        self.assertTrue(self.is_running())
        for name in names:
            self.region.members[name].cancellation_store.reachable = True
        self.assert_stopped()
        self.assertEqual(submission.outcome, job.CANCELLED_BY_CALLER)


class Kept(RegionTest):
    def test_as_long_as_its_caller_sends_the_job_again(self):
        # Guards against a job that runs once a fixed time after its cancellation has passed.
        self.region.cancel(self.first, "j1")
        self.region.run(1.0)
        self.region.cancelled.clear()
        for member in self.region.members.values():
            member.node.registrar.stored = frozenset()
        for _ in range(4):
            self.region.run(0.6 * TIMING.cancellations_kept_s)
            again = self.submit(self.second)
            self.region.run(0.1)
            self.assertEqual(again.outcome, job.CANCELLED_BY_CALLER)

    def test_submission_of_a_cancelled_job_prolongs_what_is_stored(self):
        self.region.cancel(self.first, "j1")
        self.region.run(1.0)
        writes = self.region.cancellation_writes
        for _ in range(3):
            self.submit(self.second)
            self.region.run(0.1)
        self.assertEqual(self.region.cancellation_writes, writes + 1)

    def test_stored_again_if_its_lease_has_ended_early(self):
        self.region.cancel(self.first, "j1")
        self.region.run(1.0)
        self.region.cancelled.clear()
        self.region.run(2 * cancellations.SETTLED_S)
        self.assertEqual(self.region.cancelled, {"j1"})

    def test_stored_again_if_nobody_has_read_it_before(self):
        # Guards against a record that is lost with its lease before the next answer of the watch.
        self.region.cancel(self.first, "j1")
        self.region.run(0.01)
        self.assertEqual(self.region.cancelled, {"j1"})
        self.region.cancelled.clear()
        self.region.run(2 * cancellations.SETTLED_S)
        self.assertEqual(self.region.cancelled, {"j1"})

    def test_not_stored_again_after_its_time(self):
        # Guards against records that are left behind for ever.
        self.region.cancel(self.first, "j1")
        self.region.run(TIMING.cancellations_kept_s + 2.0)
        self.region.cancelled.clear()
        self.region.run(2 * cancellations.SETTLED_S)
        self.assertEqual(self.region.cancelled, set())
        for member in self.region.members.values():
            self.assertEqual(member.node.registrar.cancelled, {})

    def test_those_that_arrive_together_share_a_write(self):
        # Guards against a rate of writes that grows with the rate of cancellations.
        self.region.members[self.first].cancellation_store.delay_s = 0.02
        cancelled = [self.region.cancel(self.first, f"j{number}") for number in range(200)]
        self.region.run(1.0)
        self.assertTrue(all(one.result.is_stored for one in cancelled))
        self.assertLessEqual(self.region.cancellation_writes, 1 + -(-200 // 32))


if __name__ == "__main__":
    unittest.main()
