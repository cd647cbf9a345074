import random
import unittest
from unittest import mock

from rosedyke.rerunnable_jobs import job, messages
from rosedyke.standins import explore_holders

STARTUP_S = 1.5
# The caller's delay before it sends a job again.
RETRY_S = 1.3
SUCCEEDED = job.Outcome(job.EndState.SUCCEEDED)


class RegionTest(unittest.TestCase):
    """A job on a region of three instances in each of two data centres."""

    def setUp(self):
        self.region = explore_holders.PausableRegion({"a": 3, "b": 3})
        self.region.run(STARTUP_S)
        self.first, self.second = self.region.non_owner("a"), self.region.non_owner("b")

    def submit(self, name, duration_s=1.0, **arguments):
        return self.region.submit(name, "j1", duration_s=duration_s, **arguments)

    def single(self, name):
        return self.region.members[name].node.holder.single_holder

    def pending(self, name):
        return self.region.members[name].node.holder.jobs.get("j1")

    def start_times(self):
        return [time for time, _, _ in self.region.backend.starts]

    def is_running(self):
        return any(server.runs for server in self.region.backend.servers.values())

    def assert_ran_once(self, *submissions):
        self.assertEqual(self.region.backend.violations, [])
        self.assertEqual(len(self.region.backend.starts), 1)
        for submission in submissions:
            self.assertEqual(submission.outcome, SUCCEEDED)


class SimultaneousClaims(RegionTest):
    def delay_claims(self, delays_s):
        """Delay claims by sender and receiver; other messages take 0.5 ms."""
        self.region.network.delay_s = lambda source, target, message: (
            delays_s.get((source.name, target.name), 0.0005)
            if isinstance(message, messages.ClaimJob)
            else 0.0005
        )

    def test_one_of_two_that_each_find_the_other_at_one_registrar_goes_on(self):
        # Guards against two holders that both go on, and against two that both wait.
        for names in (("a-1", "b-1"), ("b-1", "a-1")):
            with self.subTest(names=names):
                self.setUp()
                first, second = names
                registrars = self.single(first).claims.registrars("j1")
                order = (*registrars.others, *registrars.spare)
                one, other = [x.name for x in order if x.name not in names][:2]
                late_s = 0.01
                self.delay_claims({(first, other): late_s, (second, one): late_s})
                submissions = [self.submit(first), self.submit(second)]
                self.region.run(3.0)
                self.assert_ran_once(*submissions)

    def test_claims_of_three_in_any_order(self):
        # Guards against an order of claims and joins after which several go on, or none.
        generator = random.Random(1)
        for _ in range(30):
            self.setUp()
            names = list(self.region.members)
            delays_s = {(a, b): generator.uniform(0.0, 0.02) for a in names for b in names}
            self.delay_claims(delays_s)
            submissions = []
            for name in generator.sample(names, 3):
                submissions.append(self.submit(name))
                self.region.run(generator.choice((0.0, 0.002, 0.01)))
            self.region.run(3.0)
            with self.subTest(delays_s=delays_s):
                self.assert_ran_once(*submissions)


class Joining(RegionTest):
    def test_second_holder_gets_the_outcome_of_the_first(self):
        # Guards against a second run, and a second caller that is not answered.
        submissions = [self.submit(self.first)]
        self.region.run(0.3)
        submissions.append(self.submit(self.second))
        self.region.run(1.0)
        self.assert_ran_once(*submissions)

    def test_holder_that_is_found_at_one_that_waits_for_another(self):
        # Guards against a third instance that takes the second one for the holder of the job.
        submissions = [self.submit(self.first)]
        self.region.run(0.1)
        submissions.append(self.submit(self.second))
        self.region.run(0.1)
        third = next(name for name in self.region.members if name[0] == "b" and name != self.second)
        found = messages.ClaimReply(self.single(self.second).claims.own, False)
        with mock.patch.object(self.single(third).claims, "claim", return_value=found):
            submissions.append(self.submit(third))
            self.region.run(0.1)
            self.assertEqual(self.pending(third).joined_to, self.single(self.first).claims.own)
            self.region.run(1.0)
        self.assert_ran_once(*submissions)

    def test_holder_keeps_the_job_for_a_caller_of_another_one(self):
        # Guards against a job that is cancelled because the first of its callers has gone.
        late = self.submit(self.first)
        self.region.run(0.1)
        resent = self.submit(self.second)
        self.region.run(0.1)
        late.disconnected.set()
        self.region.run(2.0)
        self.assert_ran_once(resent)

    def test_job_ends_when_the_last_caller_of_any_holder_has_gone(self):
        # Guards against runs that nobody waits for.
        first = self.submit(self.first, duration_s=3.0)
        self.region.run(0.1)
        second = self.submit(self.second, duration_s=3.0)
        self.region.run(0.1)
        first.disconnected.set()
        self.region.run(0.5)
        self.assertTrue(self.is_running())
        second.disconnected.set()
        self.region.run(0.3)
        self.assertFalse(self.is_running())
        self.assertIsNone(self.pending(self.first))

    def test_job_ends_when_a_holder_that_waits_for_it_is_killed(self):
        # Guards against runs for the caller of an instance that is gone.
        first = self.submit(self.first, duration_s=5.0)
        self.region.run(0.1)
        self.submit(self.second, duration_s=5.0)
        self.region.run(0.1)
        first.disconnected.set()
        self.region.kill(self.second)
        timing = self.region.timing
        self.region.run(timing.holder_lost_s - 0.3)
        self.assertTrue(self.is_running())
        self.region.run(0.7)
        self.assertFalse(self.is_running())
        self.assertIsNone(self.pending(self.first))


class HolderLostWhileAnotherWaits(RegionTest):
    def test_second_holder_takes_over_once_the_runs_of_the_first_are_over(self):
        # Guards against two runs, and against a caller that waits for a holder that is gone.
        self.submit(self.first, duration_s=3.0)
        self.region.run(0.1)
        second = self.submit(self.second, duration_s=3.0)
        self.region.run(0.5)
        killed_at = self.region.runtime.now()
        self.region.kill(self.first)
        self.region.run(5.5)
        self.assertEqual(self.region.backend.violations, [])
        self.assertEqual(second.outcome, SUCCEEDED)
        _, restarted_at = self.start_times()
        # It was last heard from up to a renewal before it was killed.
        lease_end_s = self.region.timing.holder_lease_end_s
        self.assertGreater(restarted_at, killed_at + lease_end_s - 0.35)
        self.assertLess(restarted_at, killed_at + lease_end_s + 0.5)


class EarlierIncarnation(RegionTest):
    def test_runs_of_a_restarted_holder_are_over_before_the_job_starts_again(self):
        # Guards against a restarted instance that knows nothing of the runs of its former process.
        for is_sent_to_itself in (False, True):
            with self.subTest(is_sent_to_itself=is_sent_to_itself):
                self.setUp()
                self.submit(self.first, duration_s=2.0)
                self.region.run(0.5)
                member = self.region.members[self.first].own
                self.region.kill(self.first)
                self.region.run(0.1)
                self.region.add(member.name, member.data_centre, member.address)
                self.region.run(0.2)
                name = self.first if is_sent_to_itself else self.second
                resent = self.submit(name, duration_s=2.0)
                self.region.run(4.5)
                self.assertEqual(self.region.backend.violations, [])
                self.assertEqual(resent.outcome, SUCCEEDED)


class EndedJobs(RegionTest):
    def test_success_is_answered_again_without_a_second_run(self):
        # Guards against a second run for a caller that missed the outcome.
        submissions = [self.submit(self.first, duration_s=0.3)]
        self.region.run(0.5)
        submissions += [
            self.submit(self.first, duration_s=0.3),
            self.submit(self.second, duration_s=0.3),
        ]
        self.region.run(0.1)
        self.assert_ran_once(*submissions)

    def test_job_starts_again_once_the_runs_of_a_cancelled_request_are_over(self):
        # Guards against two runs if a caller goes and sends its job to the same holder, or to
        # another one, which must also get an answer.
        for name in (self.first, self.second):
            with self.subTest(is_same=name == self.first):
                self.setUp()
                gone = self.submit(self.first, duration_s=0.6)
                self.region.run(0.3)
                gone.disconnected.set()
                self.region.run(0.01)
                resent = self.submit(name, duration_s=0.6)
                self.region.run(3.0)
                self.assertEqual(self.region.backend.violations, [])
                self.assertEqual(resent.outcome, SUCCEEDED)

    def test_are_forgotten(self):
        # Guards against memory that grows with each job.
        self.submit(self.first, duration_s=0.3)
        self.region.run(1.0)
        self.assertEqual(list(self.single(self.first).ended), ["j1"])
        self.region.run(2.5)
        self.assertEqual(self.single(self.first).ended, {})


class Cancellations(RegionTest):
    def test_request_that_arrives_after_its_cancellation_is_not_run(self):
        # Guards against a run that nobody can stop any more.
        self.region.cancel(self.second, "j1")
        self.region.run(0.1)
        late = self.submit(self.first)
        self.region.run(0.5)
        self.assertEqual(late.outcome.end, job.EndState.CANCELLED)
        self.assertEqual(self.start_times(), [])

    def test_ends_the_job_at_all_holders(self):
        # Guards against a holder that goes on for a caller of another one.
        submissions = [self.submit(self.first, duration_s=3.0)]
        self.region.run(0.1)
        submissions.append(self.submit(self.second, duration_s=3.0))
        self.region.run(0.1)
        other = next(name for name in self.region.members if name not in (self.first, self.second))
        self.region.cancel(other, "j1")
        self.region.run(0.3)
        ends = [submission.outcome.end for submission in submissions]
        self.assertEqual(ends, [job.EndState.CANCELLED] * 2)
        self.assertFalse(self.is_running())


class Pauses(RegionTest):
    def test_paused_holder_joins_the_one_that_has_taken_the_job_over(self):
        # Guards against a holder that submits its parts again when it goes on.
        self.submit(self.first, duration_s=2.5)
        self.region.run(0.3)
        self.region.pause(self.first, 2.0)
        self.region.run(RETRY_S)
        resent = self.submit(self.second, duration_s=2.5)
        self.region.run(1.0)
        self.assertEqual(self.pending(self.first).joined_to, self.single(self.second).claims.own)
        self.region.run(3.0)
        self.assertEqual(self.region.backend.violations, [])
        self.assertEqual(len(self.region.backend.starts), 2)
        self.assertEqual(resent.outcome, SUCCEEDED)

    def test_paused_holder_goes_on_if_nobody_has_taken_the_job_over(self):
        # Guards against a job that is lost, or stays withdrawn, after a pause.
        only = self.submit(self.first, duration_s=2.0, timeout_s=10.0)
        self.region.run(0.3)
        self.region.pause(self.first, 1.0)
        self.region.run(6.0)
        self.assertEqual(self.region.backend.violations, [])
        self.assertEqual(only.outcome, SUCCEEDED)


class RegistrarLost(unittest.TestCase):
    def test_claim_is_known_to_the_next_registrar(self):
        # Guards against a claim that is forgotten when its registrars fail one after the other.
        region = explore_holders.PausableRegion({"a": 8, "b": 3})
        region.run(STARTUP_S)
        first, second = region.non_owner("a"), region.non_owner("b")
        claims = region.members[first].node.holder.single_holder.claims
        others = {region.owner("a"), region.owner("b"), second}
        job_id, order = next(
            (job_id, order)
            for job_id in (f"j{number}" for number in range(1000))
            if others.isdisjoint(order := [one.name for one in claims.registrars(job_id).others])
        )
        submissions = [region.submit(first, job_id, duration_s=4.0)]
        region.run(0.1)
        for name in order[:2]:
            region.kill(name)
            region.run(0.7)
        submissions.append(region.submit(second, job_id, duration_s=4.0))
        region.run(4.0)
        self.assertEqual(len(region.backend.starts), 1)
        self.assertEqual([submission.outcome for submission in submissions], [SUCCEEDED] * 2)


class FormerHolder(RegionTest):
    """A holder lets another one take a job over, and gets a new request for it meanwhile."""

    def check(self, resent_after_s, offset_s):
        gone = self.submit(self.first, duration_s=0.6)
        self.region.run(0.3)
        gone.disconnected.set()
        self.region.run(resent_after_s)
        submissions = [self.submit(self.second, duration_s=0.6)]
        self.region.run(offset_s)
        submissions.append(self.submit(self.first, duration_s=0.6))
        self.region.run(4.0)
        self.assertEqual(self.region.backend.violations, [])
        self.assertEqual(len(self.region.backend.starts), 2)
        self.assertEqual([one.outcome for one in submissions], [SUCCEEDED] * 2)

    def test_request_that_arrives_between_the_answer_and_the_other_claim(self):
        # Guards against two holders: the claim of the second one replaces that of the first one's
        # new request, which has the same incarnation.
        for offset_ms in range(12):
            with self.subTest(offset_ms=offset_ms / 2):
                self.setUp()
                self.check(2.6, offset_ms / 2000)

    def test_request_that_arrives_while_the_other_waits_for_the_end_of_runs(self):
        # Guards against the same while both wait until earlier runs are over.
        for offset_s in (0.01, 0.5, 1.0):
            with self.subTest(offset_s=offset_s):
                self.setUp()
                self.check(0.05, offset_s)


class SentAgainToBoth(unittest.TestCase):
    def test_job_sent_to_its_former_holder_while_another_one_takes_it_over(self):
        # Guards against a second holder that replaces the former one's new claim as its old one.
        for number in range(12):
            with self.subTest(number=number):
                region = explore_holders.PausableRegion({"a": 1, "b": 1, "c": 1})
                region.run(STARTUP_S)
                job_id = f"j{number}"
                late = region.submit("a-1", job_id, duration_s=1.0)
                region.run(0.1)
                late.disconnected.set()
                region.run(RETRY_S - 0.08)
                submissions = [region.submit("b-1", job_id, duration_s=1.0)]
                region.run(0.03)
                submissions.append(region.submit("a-1", job_id, duration_s=1.0))
                region.run(4.0)
                self.assertEqual(region.backend.violations, [])
                self.assertEqual([one.outcome for one in submissions], [SUCCEEDED] * 2)


class TimeOfAnswers(RegionTest):
    def test_late_request_of_a_caller_that_has_gone_does_not_delay_the_answer(self):
        # Guards against a caller that still waits and is answered only once the time of a late
        # request is over too, which it has sent before, to the same holder or to another one.
        for name in (self.first, self.second):
            with self.subTest(is_same=name == self.first):
                self.setUp()
                waiting = self.submit(self.first, timeout_s=5.0)
                self.region.backend.durations["j1"] = 20.0
                self.region.run(3.0)
                late = self.submit(name, timeout_s=5.0)
                self.region.backend.durations["j1"] = 20.0
                self.region.run(0.05)
                late.disconnected.set()
                self.region.run(8.0)
                self.assertEqual(waiting.outcome.end, job.EndState.LOST)
                self.assertLess(waiting.duration_s, 5.1)


class NoAnswer(RegionTest):
    def cut_off(self, name, is_store_reachable):
        others = [other for other in self.region.members if other != name]
        self.region.partition_instances([name], others)
        self.region.members[name].listed.reachable = is_store_reachable

    def test_job_is_refused_if_no_registrar_answers(self):
        # Guards against a caller that is told nothing, or that the job may have run.
        self.cut_off(self.first, False)
        submission = self.submit(self.first)
        self.region.run(self.region.timing.wait_for_owner_s + 0.5)
        self.assertEqual(submission.outcome.end, job.EndState.REFUSED)
        self.assertGreaterEqual(submission.duration_s, self.region.timing.wait_for_owner_s)
        self.assertEqual(self.start_times(), [])

    def test_only_instance_of_a_data_centre_goes_on_alone(self):
        # Guards against a data centre that is cut off and refuses all jobs.  While the store is out
        # of reach too, it waits for longer, because the others may hold the job.
        timing = self.region.timing
        for is_store_reachable, silent_s in (
            (True, timing.holder_lost_s),
            (False, timing.resubmit_s),
        ):
            with self.subTest(is_store_reachable=is_store_reachable):
                self.region = explore_holders.PausableRegion({"a": 3, "b": 1})
                self.region.run(STARTUP_S)
                self.cut_off("b-1", is_store_reachable)
                cut_at = self.region.runtime.now()
                self.region.run(silent_s - 0.4)
                submission = self.submit("b-1", duration_s=0.2)
                self.region.run(3.0)
                self.assertEqual(submission.outcome, SUCCEEDED)
                self.assertGreater(self.start_times()[0], cut_at + silent_s - 0.35)


class HolderLost(RegionTest):
    def submit_and_kill(self, resent_after_s):
        """Kill the holder of a job while it runs; return the submission at another instance."""
        holder = self.region.non_owner("a")
        self.region.submit(holder, "j1", count=5, duration_s=2.5)
        self.region.run(1.0)
        self.region.kill(holder)
        self.region.run(resent_after_s)
        return self.region.submit(self.region.non_owner("b"), "j1", count=5, duration_s=2.5)

    def test_killed_long_after_its_caller_has_given_up(self):
        # Guards against runs that overlap those of a killed holder, which the second one has never
        # heard from and takes for lost since long before.
        resent = self.submit_and_kill(0.4)
        self.region.run(5.0)
        self.assertEqual(self.region.backend.violations, [])
        self.assertEqual(resent.outcome, SUCCEEDED)

    def test_killed_when_its_caller_sends_the_job_again_is_replaced_at_once(self):
        # Guards against a job that waits although the runs of the former holder are over.
        resent = self.submit_and_kill(RETRY_S)
        self.region.run(3.0)
        self.assertEqual(self.region.backend.violations, [])
        self.assertEqual(resent.outcome, SUCCEEDED)
        self.assertLess(resent.duration_s, 2.5 + 0.3)


class DurationOfClaims(RegionTest):
    def assert_runs_once(self, job_id, *sent):
        """Check that a job whose task takes longer than estimated runs once.

        Parameters
        ----------
        sent : (str, float)
            Instance that it is sent to, and the seconds since it was sent before.
        """
        for name, seconds in sent:
            self.region.run(seconds)
            resent = self.region.submit(name, job_id, duration_s=1.0, timeout_s=5.0)
            self.region.backend.durations[job_id] = 9.0
        self.region.run(5.0)
        starts = [task for _, task, _ in self.region.backend.starts if job.job_id(task) == job_id]
        self.assertEqual(len(starts), 1)
        self.assertEqual(resent.outcome, SUCCEEDED)

    def test_last_as_long_as_the_callers_of_other_holders_wait(self):
        # Guards against a second run by a third instance, because the first one's claim has ended
        # while a caller of the second one still waits for the job.
        for job_id in ("j1", "j2", "j3", "j4"):
            with self.subTest(job_id):
                self.assert_runs_once(job_id, ("a-1", 0.0), ("b-1", 4.0), ("b-2", 3.0))

    def test_last_as_long_as_a_caller_that_returns_waits(self):
        # Guards against the same for a caller that sends the job to its holder again.
        self.assert_runs_once("j1", ("a-1", 0.0), ("a-1", 4.0), ("b-2", 3.0))


class Isolation(unittest.TestCase):
    def test_data_centre_that_was_cut_off_confirms_its_claims_when_it_is_back(self):
        # Guards against a second run because the claims that a holder sent while it was cut off
        # have reached nobody, also once it has forgotten the other instances.
        for isolated_s in (2.0, 14.0):
            with self.subTest(isolated_s=isolated_s):
                region = explore_holders.PausableRegion({"a": 8, "b": 1})
                region.run(STARTUP_S)
                others = [name for name in region.members if name != "b-1"]
                region.partition_instances(["b-1"], others)
                region.run(isolated_s)
                region.submit("b-1", "j1", duration_s=3.0)
                region.run(0.5)
                region.network.heal()
                region.run(RETRY_S - 0.5)
                resent = region.submit(region.non_owner("a"), "j1", duration_s=3.0)
                region.run(5.0)
                self.assertEqual(region.backend.violations, [])
                self.assertEqual(resent.outcome, SUCCEEDED)

    def test_data_centre_that_was_cut_off_briefly_claims_at_the_other_registrars_too(self):
        # Guards against a second run because a claim is known only within a data centre that could
        # not reach the job's first registrars, after it reaches them again.
        for job_id in ("j1", "j2", "j3", "j4"):
            with self.subTest(job_id):
                region = explore_holders.PausableRegion({"a": 6, "b": 2})
                region.run(STARTUP_S)
                local = ["b-1", "b-2"]
                others = [name for name in region.members if name not in local]
                region.partition_instances(local, others)
                region.submit("b-1", job_id, duration_s=3.0)
                region.run(0.6)
                region.network.heal()
                region.run(RETRY_S - 0.5)
                resent = region.submit(region.non_owner("a"), job_id, duration_s=3.0)
                region.run(5.0)
                self.assertEqual(region.backend.violations, [])
                self.assertEqual(resent.outcome, SUCCEEDED)


if __name__ == "__main__":
    unittest.main()
