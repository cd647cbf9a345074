"""Each safeguard of the claim protocol is taken out, and a test or the exploration must notice."""

import contextlib
import logging
import unittest
from unittest import mock

import attrs

from rosedyke.job import (
    answer,
    attaching,
    authority,
    claim,
    claiming,
    claiming_test,
    drain_test,
    failures_test,
    fence,
    handover,
    instance,
    job,
    manager_test,
    registrar,
    registrar_test,
    resubmission,
)
from rosedyke.standins import explore, explore_claims

GRANTED = claiming.GRANTED


def any_granted(own, pair, replies):
    return any(
        claiming.outcome_of(replies.get(registrar_peer)) is GRANTED for registrar_peer in pair
    )


def first_granted(own, pair, replies):
    return bool(pair) and claiming.outcome_of(replies.get(pair[0])) is GRANTED


def grant_dead_holders_claims(node, sender, request, real=claiming.decide_as_registrar):
    record = node.registrar.find(request.job_id)
    if record is not None and record.holder is not None and node.is_dead(record.holder):
        del node.registrar.claims[request.job_id]
    return real(node, sender, request)


def release_any_round(table, sender, request, now, real=registrar.Registrar.release):
    record = table.find(request.job_id)
    if record is not None:
        request = attrs.evolve(request, round=record.round)
    return real(table, sender, request, now)


def grant_with_any_pair(node, sender, request):
    is_member = sender.data_centre != node.own.data_centre or node.authority.is_current_member(
        sender
    )
    return is_member and node.authority.is_settled_for(request.job_id)


def grant_to_the_dead(node, sender, request):
    pair = node.authority.registrars(request.job_id)
    is_pair = request.registrars == tuple(
        authority.identity(registrar_peer) for registrar_peer in pair
    )
    return is_pair and node.authority.is_settled_for(request.job_id)


def grant_while_leaving(node, sender, request, real=claiming.may_grant):
    was_leaving, node.is_leaving = node.is_leaving, False
    try:
        return real(node, sender, request)
    finally:
        node.is_leaving = was_leaving


def bring_only_others_claims(node, members, record, real=handover.must_transfer):
    return record.holder != node.own and real(node, members, record)


def not_run_without_a_claim(running, real=job.Job.ran):
    if all(state is job.TaskState.WAITING for state in running.states):
        return answer.Ran.NO
    return real(running)


# Name of the safeguard, what is patched, the test that must go red.
SAFEGUARDS = (
    (
        "first registrar decides between rivals",
        [(claiming, "is_enough", any_granted)],
        claiming_test.Rivals("test_each_reaches_one_registrar_only"),
    ),
    (
        "claim is remembered outside its holder",
        [(claiming, "is_enough", first_granted)],
        claiming_test.UnderReplicatedClaims(
            "test_holder_that_is_the_first_registrar_waits_for_a_second_memory"
        ),
    ),
    (
        "resubmission needs both registrars",
        [(resubmission, "is_granted", lambda pair, replies: any_granted(None, pair, replies))],
        claiming_test.UnderReplicatedClaims(
            "test_resubmission_that_reaches_only_the_registrar_without_the_claim_runs_nothing"
        ),
    ),
    (
        "resubmission claims in every data centre",
        [(instance.Instance, "data_centres", lambda node: (node.own.data_centre,))],
        failures_test.Partition(
            "test_data_centre_cut_off_serves_first_attempts_and_no_resubmission_of_its_jobs_runs"
        ),
    ),
    (
        "data centre out of sight still counts",
        [(instance.Instance, "data_centres", lambda node: node.membership.view.data_centres())],
        failures_test.Partition(
            "test_data_centre_whose_members_are_all_declared_dead_is_not_left_out"
        ),
    ),
    (
        "asker and registrar agree on the pair",
        [(claiming, "may_grant", grant_with_any_pair)],
        claiming_test.StaleViews("test_asker_with_an_old_view_is_not_granted_by_former_registrars"),
    ),
    (
        "claims are granted to known members only",
        [(claiming, "may_grant", grant_to_the_dead)],
        claiming_test.StaleViews("test_instance_that_is_dead_to_its_registrar_gets_no_claim"),
    ),
    (
        "registrar waits for every acknowledgement",
        [(authority.Authority, "is_settled_for", lambda table, job_id: True)],
        failures_test.Joins(
            "test_new_registrars_grant_nothing_before_every_member_has_brought_its_claims"
        ),
    ),
    (
        "holders bring their claims to new registrars",
        [(handover, "must_transfer", bring_only_others_claims)],
        failures_test.Joins(
            "test_living_holder_brings_its_claim_when_joins_replace_both_registrars"
        ),
    ),
    (
        "registrars bring the claims of the dead",
        [(handover, "must_transfer", lambda node, members, record: record.holder == node.own)],
        failures_test.Joins("test_dead_holders_claim_is_brought_to_new_registrars_by_the_old_ones"),
    ),
    (
        "holder remembers its claim before it asks",
        [(instance.Instance, "record_own_claim", lambda node, tracked: None)],
        failures_test.Joins("test_claim_that_is_still_being_taken_moves_with_a_join"),
    ),
    (
        "first attempts are refused where their claim may have died",
        [(authority.Authority, "may_have_lost_claim", lambda table, job_id, age_s, now: False)],
        failures_test.RegistrarsLost(
            "test_copy_of_a_first_attempt_starts_nothing_once_both_registrars_are_dead"
        ),
    ),
    (
        "deaths together make the past unknown",
        [(authority.Authority, "can_vouch", lambda table, job_id, age_s, now: True)],
        failures_test.RegistrarsLost(
            "test_holder_and_both_registrars_dead_at_once_is_history_lost"
        ),
    ),
    (
        "a dead holder's claim stands",
        [
            (claiming, "decide_as_registrar", grant_dead_holders_claims),
            (attaching, "holder_lost", lambda job_id, holder: None),
        ],
        failures_test.HolderLost(
            "test_started_job_of_a_dead_holder_is_unknown_and_never_run_again"
        ),
    ),
    (
        "attempts told 'not run' are closed",
        [(claim, "is_closed_for", lambda record, attempt: False)],
        manager_test.Refusals("test_not_run_is_kept_against_a_delayed_copy"),
    ),
    (
        "first attempt is closed before it is refused",
        [(claiming, "close_attempt", lambda node, tracked: claiming.Verdict(GRANTED))],
        manager_test.Refusals("test_not_run_is_kept_against_a_delayed_copy"),
    ),
    (
        "'not run' is said with a claim only",
        [(job.Job, "ran", not_run_without_a_claim)],
        manager_test.Deadline("test_answer_comes_though_every_other_instance_is_gone"),
    ),
    (
        "releases carry their round",
        [(registrar.Registrar, "release", release_any_round)],
        registrar_test.Claims("test_late_release_of_an_earlier_round_ends_nothing"),
    ),
    (
        "a registrar that handed over grants nothing",
        [(claiming, "may_grant", grant_while_leaving)],
        drain_test.Drain("test_claim_is_not_granted_by_a_registrar_that_has_handed_over"),
    ),
    (
        "a paused instance sends nothing",
        [(fence.Fence, "check", lambda guard: None)],
        drain_test.Pause("test_waiting_task_is_not_sent_after_a_pause_that_no_timer_has_noticed"),
    ),
)

Shape = explore_claims.Shape
SHAPES = (
    Shape({"dc1": 2, "dc2": 1}, registrars=("dc1a", "dc1b")),
    Shape({"dc1": 2, "dc2": 1}, registrars=("dc1b", "dc1a")),
    Shape({"dc1": 3, "dc2": 2}, registrars=("dc1b", "dc1c")),
    Shape({"dc1": 4, "dc2": 1}, registrars=("dc1b", "dc1c"), crashes=2),
    Shape({"dc1": 2, "dc2": 1}, is_refusing=True, attempts=(2, 3)),
    Shape({"dc1": 3, "dc2": 2}, registrars=("dc1a", "dc1c"), attempts=(2, 3)),
)


@contextlib.contextmanager
def without(patches):
    """Take a safeguard out."""
    with contextlib.ExitStack() as stack:
        for owner, name, replacement in patches:
            stack.enter_context(mock.patch.object(owner, name, replacement))
        yield


class Quiet(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)


class Safeguards(Quiet):
    def test_test_named_for_each_safeguard_is_red_without_it_and_green_with_it(self):
        for name, patches, test in SAFEGUARDS:
            with self.subTest(name):
                intact = unittest.TestResult()
                test.run(intact)
                self.assertTrue(intact.wasSuccessful(), intact.failures + intact.errors)
                broken = unittest.TestResult()
                with without(patches):
                    test.run(broken)
                self.assertTrue(broken.failures, f"{test.id()} passes without: {name}")


class Exploration(Quiet):
    def test_every_single_disturbance_keeps_the_promises(self):
        for shape in SHAPES:
            report = explore.explore(explore_claims.scenario(shape), depth=1)
            self.assertGreater(report.runs, 50)
            self.assertIsNone(report.finding, shape)

    def test_random_walks_with_many_disturbances_keep_the_promises(self):
        for shape in SHAPES:
            report = explore.walk(explore_claims.scenario(shape), range(200), rate=0.05)
            self.assertEqual(report.runs, 200)
            self.assertIsNone(report.finding, shape)

    def test_copy_of_a_first_attempt_that_outlives_both_registrars_starts_nothing(self):
        # A copy of attempt 1 arrives at another instance a second late.  Meanwhile the holder, a
        # registrar too, was paused and the other registrar's place went to a newcomer.  The new
        # registrars never saw the claim and take the copy for a first attempt: the task starts
        # twice.
        report = explore.walk(explore_claims.scenario(SHAPES[5]), (10097,), rate=0.05)
        self.assertIsNone(report.finding)

    def test_walks_find_faults_when_a_safeguard_is_out(self):
        patches = {name: patches for name, patches, _ in SAFEGUARDS}
        for name, shape in (
            ("a dead holder's claim stands", SHAPES[0]),
            ("a paused instance sends nothing", SHAPES[0]),
            ("'not run' is said with a claim only", SHAPES[0]),
            ("attempts told 'not run' are closed", SHAPES[4]),
            ("resubmission claims in every data centre", SHAPES[2]),
        ):
            with self.subTest(name), without(patches[name]):
                report = explore.walk(explore_claims.scenario(shape), range(600), rate=0.05)
                self.assertIsNotNone(report.finding)
