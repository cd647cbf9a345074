"""Mutation tests: disabling a safeguard of the claim protocol must make its test fail."""

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


def is_granted_by_any(own, pair, replies):
    return any(
        claiming.outcome_of(replies.get(registrar_peer)) is GRANTED for registrar_peer in pair
    )


def is_granted_by_first(own, pair, replies):
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


def grant_to_dead_members(node, sender, request):
    pair = node.authority.registrars(request.job_id)
    is_same_pair = request.registrars == tuple(
        authority.identity(registrar_peer) for registrar_peer in pair
    )
    return is_same_pair and node.authority.is_settled_for(request.job_id)


def grant_while_leaving(node, sender, request, real=claiming.may_grant):
    was_leaving, node.is_leaving = node.is_leaving, False
    try:
        return real(node, sender, request)
    finally:
        node.is_leaving = was_leaving


def transfer_only_others_claims(node, members, record, real=handover.must_transfer):
    return record.holder != node.own and real(node, members, record)


def not_run_without_a_claim(active_job, real=job.Job.ran):
    if all(state is job.TaskState.WAITING for state in active_job.states):
        return answer.Ran.NO
    return real(active_job)


# Name of the safeguard, the patches that disable it, and the test that must fail then.
SAFEGUARDS = (
    (
        "first registrar arbitrates between claimants",
        [(claiming, "has_enough_grants", is_granted_by_any)],
        claiming_test.ConcurrentClaimants(
            "test_claimants_that_reach_one_registrar_each_start_the_job_once"
        ),
    ),
    (
        "claim is stored outside its holder",
        [(claiming, "has_enough_grants", is_granted_by_first)],
        claiming_test.UnderReplicatedClaims(
            "test_first_registrar_as_holder_waits_for_a_replica_of_its_claim"
        ),
    ),
    (
        "resubmission needs the grant of both registrars",
        [
            (
                resubmission,
                "is_granted",
                lambda pair, replies: is_granted_by_any(None, pair, replies),
            )
        ],
        claiming_test.UnderReplicatedClaims(
            "test_resubmission_that_reaches_only_the_registrar_without_the_claim_runs_nothing"
        ),
    ),
    (
        "resubmission claims in every data centre",
        [(instance.Instance, "data_centres", lambda node: (node.own.data_centre,))],
        failures_test.Partition(
            "test_isolated_data_centre_serves_first_attempts_and_its_jobs_are_not_run_elsewhere"
        ),
    ),
    (
        "unreachable data centre is still asked",
        [(instance.Instance, "data_centres", lambda node: node.membership.view.data_centres())],
        failures_test.Partition(
            "test_data_centre_whose_members_are_all_declared_dead_is_still_asked"
        ),
    ),
    (
        "claimant and registrar agree on the registrar pair",
        [(claiming, "may_grant", grant_with_any_pair)],
        claiming_test.StaleViews(
            "test_claimant_with_a_stale_view_gets_no_grant_from_former_registrars"
        ),
    ),
    (
        "claims are granted to present members only",
        [(claiming, "may_grant", grant_to_dead_members)],
        claiming_test.StaleViews("test_instance_declared_dead_by_its_registrar_gets_no_grant"),
    ),
    (
        "registrar waits for every acknowledgement",
        [(authority.Authority, "is_settled_for", lambda table, job_id: True)],
        failures_test.Joins(
            "test_new_registrars_grant_nothing_before_every_member_has_transferred_its_claims"
        ),
    ),
    (
        "holders transfer their claims to new registrars",
        [(handover, "must_transfer", transfer_only_others_claims)],
        failures_test.Joins(
            "test_live_holder_transfers_its_claim_when_joins_replace_both_registrars"
        ),
    ),
    (
        "registrars transfer the claims of dead holders",
        [(handover, "must_transfer", lambda node, members, record: record.holder == node.own)],
        failures_test.Joins("test_former_registrars_transfer_a_dead_holders_claim"),
    ),
    (
        "holder records its claim before requesting it",
        [(instance.Instance, "record_own_claim", lambda node, tracked: None)],
        failures_test.Joins("test_claim_in_progress_is_transferred_on_a_join"),
    ),
    (
        "first attempts are refused if their claim may be lost",
        [(authority.Authority, "may_have_lost_claim", lambda table, job_id, age_s, now: False)],
        failures_test.RegistrarsLost(
            "test_duplicate_of_a_first_attempt_starts_nothing_once_both_registrars_are_dead"
        ),
    ),
    (
        "simultaneous deaths make the history unknown",
        [(authority.Authority, "has_complete_history", lambda table, job_id, age_s, now: True)],
        failures_test.RegistrarsLost(
            "test_holder_and_both_registrars_dead_at_once_is_history_lost"
        ),
    ),
    (
        "claim of a dead holder is kept",
        [
            (claiming, "decide_as_registrar", grant_dead_holders_claims),
            (attaching, "holder_lost", lambda job_id, holder: None),
        ],
        failures_test.HolderLost(
            "test_started_job_of_a_dead_holder_is_unknown_and_never_run_again"
        ),
    ),
    (
        "attempts answered 'not run' are closed",
        [(claim, "is_closed_for", lambda record, attempt: False)],
        manager_test.Refusals("test_delayed_duplicate_of_a_refused_attempt_does_not_run"),
    ),
    (
        "first attempt is closed before it is refused",
        [(claiming, "close_attempt", lambda node, tracked: claiming.ClaimResult(GRANTED))],
        manager_test.Refusals("test_delayed_duplicate_of_a_refused_attempt_does_not_run"),
    ),
    (
        "'not run' is answered with a claim only",
        [(job.Job, "ran", not_run_without_a_claim)],
        manager_test.Deadline("test_answer_comes_in_time_when_every_other_instance_is_dead"),
    ),
    (
        "releases are checked against their round",
        [(registrar.Registrar, "release", release_any_round)],
        registrar_test.Claims("test_delayed_release_of_an_earlier_round_is_ignored"),
    ),
    (
        "registrar that handed over grants nothing",
        [(claiming, "may_grant", grant_while_leaving)],
        drain_test.Drain("test_claim_is_not_granted_by_a_registrar_that_has_handed_over"),
    ),
    (
        "paused instance sends nothing",
        [(fence.Fence, "check", lambda instance_fence: None)],
        drain_test.Pause("test_waiting_task_is_not_sent_after_a_pause_before_any_timer_runs"),
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
def disabled(patches):
    """Apply the patches that disable a safeguard."""
    with contextlib.ExitStack() as stack:
        for owner, name, replacement in patches:
            stack.enter_context(mock.patch.object(owner, name, replacement))
        yield


class SilencedLogTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)


class Safeguards(SilencedLogTest):
    def test_each_safeguard_is_covered_by_its_test(self):
        for name, patches, test in SAFEGUARDS:
            with self.subTest(name):
                result_with = unittest.TestResult()
                test.run(result_with)
                self.assertTrue(
                    result_with.wasSuccessful(), result_with.failures + result_with.errors
                )
                result_without = unittest.TestResult()
                with disabled(patches):
                    test.run(result_without)
                self.assertTrue(
                    result_without.failures,
                    f"{test.id()} passes with this safeguard disabled: {name}",
                )


class Exploration(SilencedLogTest):
    def test_invariants_hold_under_every_single_fault(self):
        for shape in SHAPES:
            report = explore.explore(explore_claims.scenario(shape), depth=1)
            self.assertGreater(report.runs, 50)
            self.assertIsNone(report.finding, shape)

    def test_invariants_hold_under_random_combinations_of_faults(self):
        for shape in SHAPES:
            report = explore.walk(explore_claims.scenario(shape), range(200), rate=0.05)
            self.assertEqual(report.runs, 200)
            self.assertIsNone(report.finding, shape)

    def test_duplicate_that_outlives_both_registrars_starts_nothing(self):
        # Regression: a duplicate of attempt 1 arrived a second late, after the holder, itself a
        # registrar, had been paused and the other registrar replaced by a joining instance. The
        # new registrars had no record of the claim, and the task started twice.
        report = explore.walk(explore_claims.scenario(SHAPES[5]), (10097,), rate=0.05)
        self.assertIsNone(report.finding)

    def test_random_walks_detect_a_missing_safeguard(self):
        patches = {name: patches for name, patches, _ in SAFEGUARDS}
        for name, shape in (
            ("claim of a dead holder is kept", SHAPES[0]),
            ("paused instance sends nothing", SHAPES[0]),
            ("'not run' is answered with a claim only", SHAPES[0]),
            ("attempts answered 'not run' are closed", SHAPES[4]),
            ("resubmission claims in every data centre", SHAPES[2]),
        ):
            with self.subTest(name), disabled(patches[name]):
                report = explore.walk(explore_claims.scenario(shape), range(600), rate=0.05)
                self.assertIsNotNone(report.finding)
