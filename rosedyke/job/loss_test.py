import contextlib
import unittest

from rosedyke.job import answer, code, messages, steps
from rosedyke.job.claiming_test import job_with
from rosedyke.membership import member
from rosedyke.observe import step
from rosedyke.standins import explore_region as region

UNKNOWN = answer.Ran.UNKNOWN
DETECTION_S = 1.5
FIRST_ATTEMPT_STEPS = (
    steps.CLAIM_KEPT,
    steps.CLAIM_DECIDED,
    steps.CLAIM_GRANTED,
    steps.JOB_ENDED,
)
RESUBMISSION_STEPS = (*FIRST_ATTEMPT_STEPS, steps.ATTACH_ASKING, steps.ATTACH_ANSWERING)


@contextlib.contextmanager
def at_step(where, action):
    """Call ``action(instance)`` the first time that any instance reaches a step."""
    reached = []

    def hook(one, instance):
        if one is where and not reached:
            reached.append(instance)
            action(instance)

    step.use(hook)
    try:
        yield reached
    finally:
        step.use(None)


def settled(counts):
    built = region.Region(counts)
    built.settle()
    return built


def crash_and_detect(built, name):
    """Crash an instance; the others learn of it after the time of detection."""
    built.crash(name)

    def detect():
        built.clock.sleep(DETECTION_S)
        built.declare_dead(name)

    built.clock.spawn(detect)


class HolderLost(unittest.TestCase):
    def run_crash(self, where, counts, pause_s, second):
        built = settled(counts)
        with at_step(where, lambda name: crash_and_detect(built, name)) as reached:
            built.submit("dc1a", region.request_of())
            built.settle(pause_s)
            request = region.request_of(attempt=2, age_s=pause_s)
            call = built.submit(second, request)
            built.settle(12)
        self.assertTrue(reached, where.name)
        self.assertEqual(built.faults(), [], (where.name, counts, pause_s, second))
        return built, call

    def test_crash_at_each_step_while_a_second_instance_gets_the_resubmission(self):
        # The caller's instance dies at some step; the caller resubmits elsewhere, at once or
        # after the death became known. Whatever it gets is true, and no task starts twice.
        for where in FIRST_ATTEMPT_STEPS:
            for counts in ({"dc1": 2, "dc2": 2}, {"dc1": 4, "dc2": 2}, {"dc1": 3, "dc2": 1}):
                for pause_s in (0.0, 0.001, 0.03, 0.5, 3.0):
                    for second in ("dc1b", "dc2a"):
                        self.run_crash(where, counts, pause_s, second)

    def test_started_job_of_a_dead_holder_is_unknown_and_never_run_again(self):
        # The holder starts the tasks and dies. The registrar's claim outlives it, so later
        # attempts learn that the tasks may have run, before and after the death is known.
        for pause_s in (0.1, 3.0):
            built, call = self.run_crash(
                steps.JOB_ENDED, {"dc1": 3, "dc2": 2}, 0.2 + pause_s, "dc2a"
            )
            self.assertEqual((call.answer.code, call.answer.ran), (code.Code.HOLDER_LOST, UNKNOWN))
            self.assertEqual(built.starts.most(), 1)

    def test_job_that_died_before_any_claim_left_is_run_by_the_resubmission(self):
        built, call = self.run_crash(steps.CLAIM_KEPT, {"dc1": 2, "dc2": 2}, 3.0, "dc2a")
        self.assertIs(call.answer.code, code.Code.COMPLETE)


class RegistrarsLost(unittest.TestCase):
    def test_first_attempt_waits_until_the_silent_registrar_is_known_dead(self):
        # One of two instances dies. Jobs that need its grant wait for the membership, then run.
        built = settled({"dc1": 2, "dc2": 2})
        crash_and_detect(built, "dc1b")
        calls = [built.submit("dc1a", region.request_of(f"job-{n}")) for n in range(20)]
        built.settle(6)
        self.assertEqual(built.faults(), [])
        self.assertEqual({call.answer.code for call in calls}, {code.Code.COMPLETE})

    def test_second_registrar_silent_costs_the_bound_of_silence_only(self):
        built = settled({"dc1": 4, "dc2": 2})
        pair = built.nodes["dc1a"].jobs.node.authority.registrars("job-1")
        others = [name for name in built.nodes if name not in [one.name for one in pair]]
        started = built.clock.now()
        built.crash(pair[1].name)
        final = built.answer(others[0], region.request_of(tasks=1))
        self.assertIs(final.code, code.Code.COMPLETE)
        self.assertLess(built.clock.now() - started, 0.05 + 0.03 + 0.005)

    def test_claims_move_to_new_registrars_when_both_old_ones_go_in_turn(self):
        # Each registrar of a running job dies, with time between for the holder to register
        # with the next one. A resubmission still finds the run.
        built = settled({"dc1": 5, "dc2": 2})
        pair = [one.name for one in built.nodes["dc1a"].jobs.node.authority.registrars("job-1")]
        holder = next(n for n in built.nodes if n.startswith("dc1") and n not in pair)
        built.nodes[holder].dispatcher.task_s = 6.0
        first = built.submit(holder, region.request_of(tasks=1, timeout_s=20))
        built.settle(0.1)
        for name in pair:
            crash_and_detect(built, name)
            built.settle(DETECTION_S + 0.5)
        second = built.submit("dc2a", region.request_of(attempt=2, age_s=4.1, tasks=1))
        built.settle(8)
        self.assertEqual(built.faults(), [])
        self.assertIs(first.answer.code, code.Code.COMPLETE)
        self.assertEqual(second.answer, first.answer)

    def test_dead_holders_claim_survives_the_death_of_one_registrar(self):
        built = settled({"dc1": 5, "dc2": 2})
        pair = [one.name for one in built.nodes["dc1a"].jobs.node.authority.registrars("job-1")]
        holder = next(n for n in built.nodes if n.startswith("dc1") and n not in pair)
        built.submit(holder, region.request_of())
        built.settle(0.3)
        for name in (holder, pair[0]):
            crash_and_detect(built, name)
            built.settle(DETECTION_S + 0.5)
        call = built.submit("dc2a", region.request_of(attempt=2, age_s=4.5))
        built.settle(8)
        self.assertEqual(built.faults(), [])
        self.assertIs(call.answer.ran, UNKNOWN)

    def test_holder_and_both_registrars_dead_at_once_is_history_lost(self):
        # All three that knew the job die together. Nobody knows it, and nobody says "not run"
        # or runs it again.
        built = settled({"dc1": 5, "dc2": 2})
        built.settle(20)
        pair = [one.name for one in built.nodes["dc1a"].jobs.node.authority.registrars("job-1")]
        holder = next(n for n in built.nodes if n.startswith("dc1") and n not in pair)
        built.submit(holder, region.request_of())
        built.settle(0.3)
        for name in (holder, *pair):
            built.crash(name)
        built.settle(DETECTION_S)
        for name in (holder, *pair):
            built.set_state(name, member.State.DEAD)
        built.spread()
        built.settle(1)
        call = built.submit("dc2a", region.request_of(attempt=2, age_s=3.0))
        built.settle(8)
        self.assertEqual(built.faults(), [])
        self.assertEqual((call.answer.code, call.answer.ran), (code.Code.HISTORY_LOST, UNKNOWN))

    def lose_pair(self):
        built = settled({"dc1": 5, "dc2": 2})
        built.settle(20)
        pair = [one.name for one in built.nodes["dc1a"].jobs.node.authority.registrars("job-1")]
        others = [name for name in built.nodes if name.startswith("dc1") and name not in pair]
        return built, pair, others

    def end_pair(self, built, pair):
        for name in pair:
            built.crash(name)
        built.settle(DETECTION_S)
        for name in pair:
            built.set_state(name, member.State.DEAD)
        built.spread()
        built.settle(0.5)

    def test_copy_of_a_first_attempt_starts_nothing_once_both_registrars_are_dead(self):
        # A balancer repeats a request whose connection broke.  The job ran at its first registrar,
        # which then died with the second; the copy has no age, and nobody remembers the claim.
        built, pair, others = self.lose_pair()
        built.submit(pair[0], region.request_of())
        built.settle(0.05)
        self.end_pair(built, pair)
        call = built.submit(others[0], region.request_of())
        built.settle(2)
        self.assertEqual(built.faults(), [])
        self.assertEqual((call.answer.code, call.answer.ran), (code.Code.HISTORY_LOST, UNKNOWN))

    def test_new_job_after_that_loss_runs_with_its_second_attempt(self):
        # Refusing all that could be a copy must not keep new jobs out: the caller's second
        # attempt states an age that is younger than the loss.
        built, pair, others = self.lose_pair()
        self.end_pair(built, pair)
        first = built.submit(others[0], region.request_of())
        built.settle(1.5)
        again = built.submit(others[0], region.request_of(attempt=2, age_s=0.0))
        built.settle(2)
        self.assertIs(first.answer.code, code.Code.HISTORY_LOST)
        self.assertIs(again.answer.code, code.Code.COMPLETE)
        self.assertEqual(built.faults(), [])

    def test_first_attempts_run_again_once_no_copy_can_come_any_more(self):
        built, pair, others = self.lose_pair()
        self.end_pair(built, pair)
        built.settle(2.0)
        call = built.submit(others[0], region.request_of())
        built.settle(2)
        self.assertIs(call.answer.code, code.Code.COMPLETE)

    def test_one_death_leaves_jobs_that_nobody_saw_to_be_run(self):
        built = settled({"dc1": 3, "dc2": 2})
        built.settle(5)
        crash_and_detect(built, "dc1b")
        built.settle(3)
        calls = [
            built.submit("dc2a", region.request_of(f"job-{n}", attempt=2, age_s=4.0))
            for n in range(20)
        ]
        built.settle(8)
        self.assertEqual(built.faults(), [])
        self.assertEqual({call.answer.code for call in calls}, {code.Code.COMPLETE})


class Joins(unittest.TestCase):
    def test_job_started_before_a_join_is_found_by_the_new_registrars(self):
        built = settled({"dc1": 2, "dc2": 1})
        for name in ("dc1a", "dc1b"):
            built.nodes[name].dispatcher.task_s = 4.0
        calls = [built.submit("dc1a", region.request_of(f"job-{n}", tasks=1)) for n in range(20)]
        built.settle(0.1)
        for name in ("dc1x", "dc1y", "dc1z"):
            built.join(name, "dc1")
        again = [
            built.submit("dc2a", region.request_of(f"job-{n}", attempt=2, age_s=0.1, tasks=1))
            for n in range(20)
        ]
        built.settle(8)
        self.assertEqual(built.faults(), [])
        self.assertEqual([call.answer for call in again], [call.answer for call in calls])

    def test_dead_holders_claim_is_brought_to_new_registrars_by_the_old_ones(self):
        # The holder dies with a started job. Then two instances join and become the job's only
        # registrars. The former ones must tell them; a resubmission must not run the job again.
        names = ("dc1a", "dc1b", "dc1c")
        built = settled({"dc1": 3, "dc2": 1})
        job_id = job_with(("dc1b", "dc1c"), names, ("dc1x", "dc1y"))
        built.submit("dc1a", region.request_of(job_id))
        built.settle(0.03)
        crash_and_detect(built, "dc1a")
        built.settle(DETECTION_S + 0.5)
        built.join("dc1x", "dc1")
        built.join("dc1y", "dc1")
        built.settle(0.5)
        call = built.submit("dc2a", region.request_of(job_id, attempt=2, age_s=2.5))
        built.settle(6)
        self.assertEqual(built.faults(), [])
        self.assertIs(call.answer.code, code.Code.HOLDER_LOST)

    def test_living_holder_brings_its_claim_when_joins_replace_both_registrars(self):
        names = ("dc1a", "dc1b", "dc1c")
        built = settled({"dc1": 3, "dc2": 1})
        job_id = job_with(("dc1b", "dc1c"), names, ("dc1x", "dc1y"))
        built.nodes["dc1a"].dispatcher.task_s = 2.0
        first = built.submit("dc1a", region.request_of(job_id))
        built.settle(0.03)
        built.join("dc1x", "dc1")
        built.join("dc1y", "dc1")
        built.settle(0.5)
        call = built.submit("dc2a", region.request_of(job_id, attempt=2, age_s=0.5))
        built.settle(6)
        self.assertEqual(built.faults(), [])
        self.assertEqual(call.answer, first.answer)

    def test_new_registrars_grant_nothing_before_every_member_has_brought_its_claims(self):
        # The holder runs a job while two instances join and become its registrars; the holder's
        # messages to them are delayed. A resubmission that is quicker must wait.
        names = ("dc1a", "dc1b", "dc1c")
        built = settled({"dc1": 3, "dc2": 1})
        job_id = job_with(("dc1b", "dc1c"), names, ("dc1x", "dc1y"))
        built.nodes["dc1a"].dispatcher.task_s = 2.0
        first = built.submit("dc1a", region.request_of(job_id))
        built.settle(0.03)
        built.network.cut |= {("dc1a", "dc1x"), ("dc1a", "dc1y")}
        built.join("dc1x", "dc1")
        built.join("dc1y", "dc1")
        built.settle(0.5)
        call = built.submit("dc2a", region.request_of(job_id, attempt=2, age_s=0.5))
        built.settle(0.5)
        built.network.heal()
        built.settle(6)
        self.assertEqual(built.faults(), [])
        self.assertEqual(call.answer, first.answer)

    def test_claim_that_is_still_being_taken_moves_with_a_join(self):
        # Two instances join and become the job's registrars just while the former ones grant its
        # claim. The holder starts the job on those grants, so it must have told the new ones.
        names = ("dc1a", "dc1b", "dc1c")
        built = settled({"dc1": 3, "dc2": 1})
        job_id = job_with(("dc1b", "dc1c"), names, ("dc1x", "dc1y"))
        slow_reply = messages.ClaimReply
        built.network.delay_s = lambda s, t, m: 0.025 if isinstance(m, slow_reply) else 0.0005
        built.nodes["dc1a"].dispatcher.task_s = 2.0
        first = built.submit("dc1a", region.request_of(job_id))
        built.settle(0.005)
        built.join("dc1x", "dc1")
        built.join("dc1y", "dc1")
        built.settle(0.5)
        call = built.submit("dc2a", region.request_of(job_id, attempt=2, age_s=0.5))
        built.settle(6)
        self.assertEqual(built.faults(), [])
        self.assertEqual(call.answer, first.answer)

    def test_new_registrar_that_was_told_nothing_yet_grants_nothing(self):
        # An instance joins, but one member's acknowledgement is lost for a while. A
        # resubmission must wait for it: that member may hold the job's claim.
        built = settled({"dc1": 2, "dc2": 1})
        built.nodes["dc1a"].dispatcher.task_s = 4.0
        built.submit("dc1a", region.request_of(tasks=1))
        built.settle(0.1)
        built.network.cut |= {("dc1a", "dc1x"), ("dc1b", "dc1x")}
        built.join("dc1x", "dc1")
        call = built.submit("dc2a", region.request_of("other", attempt=2, age_s=0.05))
        built.settle(0.3)
        self.assertEqual(built.starts.of("other"), 0)
        built.network.heal()
        built.settle(8)
        self.assertEqual(built.faults(), [])
        self.assertIsNotNone(call.answer)


class Partition(unittest.TestCase):
    def test_data_centre_cut_off_serves_first_attempts_and_no_resubmission_of_its_jobs_runs(self):
        # dc1 is cut off. Its callers are served there. A resubmission of its job elsewhere is
        # told "unknown, retry later", and gets the whole answer once the partition heals.
        built = settled({"dc1": 2, "dc2": 2, "dc3": 2})
        inside = [name for name in built.nodes if name.startswith("dc1")]
        outside = [name for name in built.nodes if not name.startswith("dc1")]
        built.network.partition(inside, outside)
        first = built.submit("dc1a", region.request_of())
        cut = built.submit("dc2a", region.request_of(attempt=2, age_s=0.5))
        built.settle(6)
        self.assertIs(first.answer.code, code.Code.COMPLETE)
        self.assertEqual(
            (cut.answer.code, cut.answer.ran), (code.Code.DATA_CENTRE_UNREACHABLE, UNKNOWN)
        )
        built.network.heal()
        built.settle(1)
        healed = built.submit("dc3a", region.request_of(attempt=3, age_s=7.0))
        built.settle(6)
        self.assertEqual(built.faults(), [])
        self.assertEqual(healed.answer, first.answer)

    def test_data_centre_whose_members_are_all_declared_dead_is_not_left_out(self):
        built = settled({"dc1": 2, "dc2": 2})
        built.network.partition(["dc1a", "dc1b"], ["dc2a", "dc2b"])
        first = built.submit("dc1a", region.request_of())
        for name in ("dc1a", "dc1b"):
            built.set_state(name, member.State.DEAD)
        built.spread("dc2a", "dc2b")
        call = built.submit("dc2a", region.request_of(attempt=2, age_s=0.1))
        built.settle(6)
        self.assertEqual(built.faults(), [])
        self.assertIs(first.answer.code, code.Code.COMPLETE)
        self.assertIs(call.answer.code, code.Code.DATA_CENTRE_UNREACHABLE)
