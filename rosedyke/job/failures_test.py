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
def at_step(target_step, action):
    """Call ``action(instance)`` when an instance first reaches a step."""
    reached = []

    def hook(reached_step, instance):
        if reached_step is target_step and not reached:
            reached.append(instance)
            action(instance)

    step.set_hook(hook)
    try:
        yield reached
    finally:
        step.set_hook(None)


def settled_cluster(counts):
    cluster = region.Region(counts)
    cluster.settle()
    return cluster


def crash_and_detect(cluster, name):
    """Crash an instance; the others detect it after ``DETECTION_S``."""
    cluster.crash(name)

    def detect():
        cluster.clock.sleep(DETECTION_S)
        cluster.declare_dead(name)

    cluster.clock.spawn(detect)


class HolderLost(unittest.TestCase):
    def run_crash(self, target_step, counts, pause_s, second):
        cluster = settled_cluster(counts)
        with at_step(target_step, lambda name: crash_and_detect(cluster, name)) as reached:
            cluster.submit("dc1a", region.request_of())
            cluster.settle(pause_s)
            request = region.request_of(attempt=2, age_s=pause_s)
            call = cluster.submit(second, request)
            cluster.settle(12)
        self.assertTrue(reached, target_step.name)
        self.assertEqual(cluster.violations(), [], (target_step.name, counts, pause_s, second))
        return cluster, call

    def test_crash_at_each_step_while_a_second_instance_gets_the_resubmission(self):
        # The caller's instance crashes at each step, and the caller resubmits elsewhere before or
        # after the crash is detected. Every answer must be correct and no task may start twice.
        for target_step in FIRST_ATTEMPT_STEPS:
            for counts in ({"dc1": 2, "dc2": 2}, {"dc1": 4, "dc2": 2}, {"dc1": 3, "dc2": 1}):
                for pause_s in (0.0, 0.001, 0.03, 0.5, 3.0):
                    for second in ("dc1b", "dc2a"):
                        self.run_crash(target_step, counts, pause_s, second)

    def test_started_job_of_a_dead_holder_is_unknown_and_never_run_again(self):
        # The registrars' claim survives the holder, so later attempts are answered that the tasks
        # may have run, both before and after the death is detected.
        for pause_s in (0.1, 3.0):
            cluster, call = self.run_crash(
                steps.JOB_ENDED, {"dc1": 3, "dc2": 2}, 0.2 + pause_s, "dc2a"
            )
            self.assertEqual((call.answer.code, call.answer.ran), (code.Code.HOLDER_LOST, UNKNOWN))
            self.assertEqual(cluster.starts.max_starts_per_task(), 1)

    def test_job_whose_holder_died_before_asking_registrars_is_run_by_the_resubmission(self):
        cluster, call = self.run_crash(steps.CLAIM_KEPT, {"dc1": 2, "dc2": 2}, 3.0, "dc2a")
        self.assertIs(call.answer.code, code.Code.COMPLETE)


class RegistrarsLost(unittest.TestCase):
    def test_first_attempt_waits_until_the_unresponsive_registrar_is_declared_dead(self):
        # Jobs that need the grant of a dead registrar wait until it is detected, then run.
        cluster = settled_cluster({"dc1": 2, "dc2": 2})
        crash_and_detect(cluster, "dc1b")
        calls = [cluster.submit("dc1a", region.request_of(f"job-{n}")) for n in range(20)]
        cluster.settle(6)
        self.assertEqual(cluster.violations(), [])
        self.assertEqual({call.answer.code for call in calls}, {code.Code.COMPLETE})

    def test_unresponsive_second_registrar_delays_a_job_by_one_timeout(self):
        cluster = settled_cluster({"dc1": 4, "dc2": 2})
        pair = cluster.nodes["dc1a"].jobs.node.authority.registrars("job-1")
        others = [
            name for name in cluster.nodes if name not in [registrar.name for registrar in pair]
        ]
        started = cluster.clock.now()
        cluster.crash(pair[1].name)
        final = cluster.answer(others[0], region.request_of(tasks=1))
        self.assertIs(final.code, code.Code.COMPLETE)
        self.assertLess(cluster.clock.now() - started, 0.05 + 0.03 + 0.005)

    def test_claims_are_transferred_when_both_registrars_die_in_turn(self):
        # Both registrars of a running job die, with enough time in between to transfer its claim.
        # A resubmission still finds the run.
        cluster = settled_cluster({"dc1": 5, "dc2": 2})
        pair = [
            registrar.name
            for registrar in cluster.nodes["dc1a"].jobs.node.authority.registrars("job-1")
        ]
        holder = next(n for n in cluster.nodes if n.startswith("dc1") and n not in pair)
        cluster.nodes[holder].dispatcher.task_s = 6.0
        first = cluster.submit(holder, region.request_of(tasks=1, timeout_s=20))
        cluster.settle(0.1)
        for name in pair:
            crash_and_detect(cluster, name)
            cluster.settle(DETECTION_S + 0.5)
        second = cluster.submit("dc2a", region.request_of(attempt=2, age_s=4.1, tasks=1))
        cluster.settle(8)
        self.assertEqual(cluster.violations(), [])
        self.assertIs(first.answer.code, code.Code.COMPLETE)
        self.assertEqual(second.answer, first.answer)

    def test_dead_holders_claim_survives_the_death_of_one_registrar(self):
        cluster = settled_cluster({"dc1": 5, "dc2": 2})
        pair = [
            registrar.name
            for registrar in cluster.nodes["dc1a"].jobs.node.authority.registrars("job-1")
        ]
        holder = next(n for n in cluster.nodes if n.startswith("dc1") and n not in pair)
        cluster.submit(holder, region.request_of())
        cluster.settle(0.3)
        for name in (holder, pair[0]):
            crash_and_detect(cluster, name)
            cluster.settle(DETECTION_S + 0.5)
        call = cluster.submit("dc2a", region.request_of(attempt=2, age_s=4.5))
        cluster.settle(8)
        self.assertEqual(cluster.violations(), [])
        self.assertIs(call.answer.ran, UNKNOWN)

    def test_holder_and_both_registrars_dead_at_once_is_history_lost(self):
        # No live instance has a record of the job, which must be neither answered "not run" nor
        # run again.
        cluster = settled_cluster({"dc1": 5, "dc2": 2})
        cluster.settle(20)
        pair = [
            registrar.name
            for registrar in cluster.nodes["dc1a"].jobs.node.authority.registrars("job-1")
        ]
        holder = next(n for n in cluster.nodes if n.startswith("dc1") and n not in pair)
        cluster.submit(holder, region.request_of())
        cluster.settle(0.3)
        for name in (holder, *pair):
            cluster.crash(name)
        cluster.settle(DETECTION_S)
        for name in (holder, *pair):
            cluster.set_state(name, member.State.DEAD)
        cluster.publish_view()
        cluster.settle(1)
        call = cluster.submit("dc2a", region.request_of(attempt=2, age_s=3.0))
        cluster.settle(8)
        self.assertEqual(cluster.violations(), [])
        self.assertEqual((call.answer.code, call.answer.ran), (code.Code.HISTORY_LOST, UNKNOWN))

    def settled_cluster_with_pair(self):
        cluster = settled_cluster({"dc1": 5, "dc2": 2})
        cluster.settle(20)
        pair = [
            registrar.name
            for registrar in cluster.nodes["dc1a"].jobs.node.authority.registrars("job-1")
        ]
        others = [name for name in cluster.nodes if name.startswith("dc1") and name not in pair]
        return cluster, pair, others

    def crash_pair(self, cluster, pair):
        for name in pair:
            cluster.crash(name)
        cluster.settle(DETECTION_S)
        for name in pair:
            cluster.set_state(name, member.State.DEAD)
        cluster.publish_view()
        cluster.settle(0.5)

    def test_duplicate_of_a_first_attempt_starts_nothing_once_both_registrars_are_dead(self):
        # A load balancer repeats a request after a connection failure. The duplicate states no
        # age, and both registrars with the claim have died since.
        cluster, pair, others = self.settled_cluster_with_pair()
        cluster.submit(pair[0], region.request_of())
        cluster.settle(0.05)
        self.crash_pair(cluster, pair)
        call = cluster.submit(others[0], region.request_of())
        cluster.settle(2)
        self.assertEqual(cluster.violations(), [])
        self.assertEqual((call.answer.code, call.answer.ran), (code.Code.HISTORY_LOST, UNKNOWN))

    def test_new_job_after_the_loss_of_both_registrars_runs_with_its_second_attempt(self):
        # Refusing possible duplicates must not block new jobs: the caller's second attempt states
        # an age that is shorter than the time since the loss.
        cluster, pair, others = self.settled_cluster_with_pair()
        self.crash_pair(cluster, pair)
        first = cluster.submit(others[0], region.request_of())
        cluster.settle(1.5)
        resubmitted = cluster.submit(others[0], region.request_of(attempt=2, age_s=0.0))
        cluster.settle(2)
        self.assertIs(first.answer.code, code.Code.HISTORY_LOST)
        self.assertIs(resubmitted.answer.code, code.Code.COMPLETE)
        self.assertEqual(cluster.violations(), [])

    def test_first_attempts_run_again_once_no_duplicate_can_arrive(self):
        cluster, pair, others = self.settled_cluster_with_pair()
        self.crash_pair(cluster, pair)
        cluster.settle(2.0)
        call = cluster.submit(others[0], region.request_of())
        cluster.settle(2)
        self.assertIs(call.answer.code, code.Code.COMPLETE)

    def test_unclaimed_jobs_run_after_a_single_death(self):
        cluster = settled_cluster({"dc1": 3, "dc2": 2})
        cluster.settle(5)
        crash_and_detect(cluster, "dc1b")
        cluster.settle(3)
        calls = [
            cluster.submit("dc2a", region.request_of(f"job-{n}", attempt=2, age_s=4.0))
            for n in range(20)
        ]
        cluster.settle(8)
        self.assertEqual(cluster.violations(), [])
        self.assertEqual({call.answer.code for call in calls}, {code.Code.COMPLETE})


class Joins(unittest.TestCase):
    def test_job_started_before_a_join_is_found_by_the_new_registrars(self):
        cluster = settled_cluster({"dc1": 2, "dc2": 1})
        for name in ("dc1a", "dc1b"):
            cluster.nodes[name].dispatcher.task_s = 4.0
        calls = [cluster.submit("dc1a", region.request_of(f"job-{n}", tasks=1)) for n in range(20)]
        cluster.settle(0.1)
        for name in ("dc1x", "dc1y", "dc1z"):
            cluster.join(name, "dc1")
        resubmitted = [
            cluster.submit("dc2a", region.request_of(f"job-{n}", attempt=2, age_s=0.1, tasks=1))
            for n in range(20)
        ]
        cluster.settle(8)
        self.assertEqual(cluster.violations(), [])
        self.assertEqual([call.answer for call in resubmitted], [call.answer for call in calls])

    def test_former_registrars_transfer_a_dead_holders_claim(self):
        # The holder of a started job dies. Two instances then join and replace both registrars,
        # which must transfer the claim, or a resubmission would run the job again.
        names = ("dc1a", "dc1b", "dc1c")
        cluster = settled_cluster({"dc1": 3, "dc2": 1})
        job_id = job_with(("dc1b", "dc1c"), names, ("dc1x", "dc1y"))
        cluster.submit("dc1a", region.request_of(job_id))
        cluster.settle(0.03)
        crash_and_detect(cluster, "dc1a")
        cluster.settle(DETECTION_S + 0.5)
        cluster.join("dc1x", "dc1")
        cluster.join("dc1y", "dc1")
        cluster.settle(0.5)
        call = cluster.submit("dc2a", region.request_of(job_id, attempt=2, age_s=2.5))
        cluster.settle(6)
        self.assertEqual(cluster.violations(), [])
        self.assertIs(call.answer.code, code.Code.HOLDER_LOST)

    def test_live_holder_transfers_its_claim_when_joins_replace_both_registrars(self):
        names = ("dc1a", "dc1b", "dc1c")
        cluster = settled_cluster({"dc1": 3, "dc2": 1})
        job_id = job_with(("dc1b", "dc1c"), names, ("dc1x", "dc1y"))
        cluster.nodes["dc1a"].dispatcher.task_s = 2.0
        first = cluster.submit("dc1a", region.request_of(job_id))
        cluster.settle(0.03)
        cluster.join("dc1x", "dc1")
        cluster.join("dc1y", "dc1")
        cluster.settle(0.5)
        call = cluster.submit("dc2a", region.request_of(job_id, attempt=2, age_s=0.5))
        cluster.settle(6)
        self.assertEqual(cluster.violations(), [])
        self.assertEqual(call.answer, first.answer)

    def test_new_registrars_grant_nothing_before_every_member_has_transferred_its_claims(self):
        # Two instances join and become the registrars of a running job, and its holder cannot
        # reach them yet. A resubmission must wait for the holder's claim.
        names = ("dc1a", "dc1b", "dc1c")
        cluster = settled_cluster({"dc1": 3, "dc2": 1})
        job_id = job_with(("dc1b", "dc1c"), names, ("dc1x", "dc1y"))
        cluster.nodes["dc1a"].dispatcher.task_s = 2.0
        first = cluster.submit("dc1a", region.request_of(job_id))
        cluster.settle(0.03)
        cluster.network.cut |= {("dc1a", "dc1x"), ("dc1a", "dc1y")}
        cluster.join("dc1x", "dc1")
        cluster.join("dc1y", "dc1")
        cluster.settle(0.5)
        call = cluster.submit("dc2a", region.request_of(job_id, attempt=2, age_s=0.5))
        cluster.settle(0.5)
        cluster.network.heal()
        cluster.settle(6)
        self.assertEqual(cluster.violations(), [])
        self.assertEqual(call.answer, first.answer)

    def test_claim_in_progress_is_transferred_on_a_join(self):
        # Two instances join and become the job's registrars while the former ones grant its claim.
        # The holder starts the job with those grants, so the claim must be transferred.
        names = ("dc1a", "dc1b", "dc1c")
        cluster = settled_cluster({"dc1": 3, "dc2": 1})
        job_id = job_with(("dc1b", "dc1c"), names, ("dc1x", "dc1y"))
        delayed_type = messages.ClaimReply
        cluster.network.delay_s = lambda source, target, message: (
            0.025 if isinstance(message, delayed_type) else 0.0005
        )
        cluster.nodes["dc1a"].dispatcher.task_s = 2.0
        first = cluster.submit("dc1a", region.request_of(job_id))
        cluster.settle(0.005)
        cluster.join("dc1x", "dc1")
        cluster.join("dc1y", "dc1")
        cluster.settle(0.5)
        call = cluster.submit("dc2a", region.request_of(job_id, attempt=2, age_s=0.5))
        cluster.settle(6)
        self.assertEqual(cluster.violations(), [])
        self.assertEqual(call.answer, first.answer)

    def test_new_registrar_grants_nothing_before_every_member_has_acknowledged(self):
        # An instance joins but cannot receive the acknowledgements yet. A resubmission must wait,
        # as a member may hold the job's claim.
        cluster = settled_cluster({"dc1": 2, "dc2": 1})
        cluster.nodes["dc1a"].dispatcher.task_s = 4.0
        cluster.submit("dc1a", region.request_of(tasks=1))
        cluster.settle(0.1)
        cluster.network.cut |= {("dc1a", "dc1x"), ("dc1b", "dc1x")}
        cluster.join("dc1x", "dc1")
        call = cluster.submit("dc2a", region.request_of("other", attempt=2, age_s=0.05))
        cluster.settle(0.3)
        self.assertEqual(cluster.starts.count_started_tasks("other"), 0)
        cluster.network.heal()
        cluster.settle(8)
        self.assertEqual(cluster.violations(), [])
        self.assertIsNotNone(call.answer)


class Partition(unittest.TestCase):
    def test_isolated_data_centre_serves_first_attempts_and_its_jobs_are_not_run_elsewhere(self):
        # A resubmission in another data centre is answered "unknown, retry later", and gets the
        # answer once the partition heals.
        cluster = settled_cluster({"dc1": 2, "dc2": 2, "dc3": 2})
        inside = [name for name in cluster.nodes if name.startswith("dc1")]
        outside = [name for name in cluster.nodes if not name.startswith("dc1")]
        cluster.network.partition(inside, outside)
        first = cluster.submit("dc1a", region.request_of())
        during_partition = cluster.submit("dc2a", region.request_of(attempt=2, age_s=0.5))
        cluster.settle(6)
        self.assertIs(first.answer.code, code.Code.COMPLETE)
        self.assertEqual(
            (during_partition.answer.code, during_partition.answer.ran),
            (code.Code.DATA_CENTRE_UNREACHABLE, UNKNOWN),
        )
        cluster.network.heal()
        cluster.settle(1)
        after_healing = cluster.submit("dc3a", region.request_of(attempt=3, age_s=7.0))
        cluster.settle(6)
        self.assertEqual(cluster.violations(), [])
        self.assertEqual(after_healing.answer, first.answer)

    def test_data_centre_whose_members_are_all_declared_dead_is_still_asked(self):
        cluster = settled_cluster({"dc1": 2, "dc2": 2})
        cluster.network.partition(["dc1a", "dc1b"], ["dc2a", "dc2b"])
        first = cluster.submit("dc1a", region.request_of())
        for name in ("dc1a", "dc1b"):
            cluster.set_state(name, member.State.DEAD)
        cluster.publish_view("dc2a", "dc2b")
        call = cluster.submit("dc2a", region.request_of(attempt=2, age_s=0.1))
        cluster.settle(6)
        self.assertEqual(cluster.violations(), [])
        self.assertIs(first.answer.code, code.Code.COMPLETE)
        self.assertIs(call.answer.code, code.Code.DATA_CENTRE_UNREACHABLE)
