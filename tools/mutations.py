"""Mutation tests: remove one safeguard at a time and show which matrix cells detect it.

    python tools/mutations.py [--visits N] [NAME ...]

A fault matrix that passes without a safeguard does not test it.  Exits 1 if any mutation is
undetected in all cells that were run.
"""

import logging
import sys
import time
from collections.abc import Callable
from typing import Annotated
from unittest import mock

import attrs
import cyclopts

from rosedyke.configuration import local_configuration
from rosedyke.dispatch import message_delay, pool_session, server_state, takeover
from rosedyke.job import (
    authority,
    claim,
    claiming,
    fence,
    handover,
    job,
    job_runner,
    resubmission,
)
from rosedyke.membership import isolation
from rosedyke.standins import matrix

MAX_FAILURES_SHOWN = 3
FAULTS = (
    "isolation",
    "stop",
    "crash",
    "crash of a peer",
    "crash + crash of a peer",
    "messages late",
    "messages repeated",
    "messages lost",
    "join",
    "data centres cut",
    "servers mute",
    "isolation + servers mute",
    "stop + crash of a peer",
    "crash of a peer + long cut",
    "data centre lost",
)


@attrs.frozen
class Mutation:
    """A safeguard and the patches that remove it.

    Attributes
    ----------
    name : str
        The removed safeguard.
    replacements : tuple
        ``(owner, attribute, replacement)`` of each patch.
    """

    name: str
    replacements: tuple[tuple[object, str, Callable], ...]


def mark_sent_unchecked(self, index):
    """Mark a task as sent without checking its state."""
    self.states[index] = job.TaskState.SENT


def is_granted_by_first(own, pair, replies):
    """Treat the grant of the first registrar as sufficient."""
    return bool(pair) and claiming.outcome_of(replies.get(pair[0])) is claiming.GRANTED


def recover_without_audit(self, is_current):
    """Finish recovery without asking the lease holders."""
    self.pool.mark_recovered(self.server_names)
    return True


def accept_any_ballot(self, ballot):
    """Accept any ballot, also an older one."""
    self.ballot = ballot
    return True


def claim_locally(node, tracked, claim_deadline):
    """Claim a resubmission in the local data centre only."""
    return claiming.claim_first_attempt(node, tracked, claim_deadline)


MUTATIONS = (
    Mutation(
        "tasks marked as sent without a check", ((job.Job, "mark_sent", mark_sent_unchecked),)
    ),
    Mutation("fence after a pause", ((fence.Fence, "check", lambda self: None),)),
    Mutation("second registrar", ((claiming, "has_enough_grants", is_granted_by_first),)),
    Mutation("settling", ((authority.Authority, "is_settled_for", lambda self, job_id: True),)),
    Mutation(
        "deaths in the history", ((authority.Authority, "has_complete_history", lambda *a: True),)
    ),
    Mutation("other data centres' claims", ((resubmission, "claim_everywhere", claim_locally),)),
    Mutation(
        "closing of refused attempts",
        ((claiming, "close_attempt", lambda *a: claiming.ClaimResult(claim.Outcome.GRANTED)),),
    ),
    Mutation(
        "sticky cancellation",
        ((job_runner.Runner, "_end_unstarted", job_runner.Runner._withdraw_claim),),
    ),
    Mutation("hand-over", ((handover, "hand_over", lambda node, deadline: True),)),
    Mutation("ballots", ((pool_session.PoolSession, "accept_ballot", accept_any_ballot),)),
    Mutation("asking for slots in use", ((takeover.Takeover, "run", recover_without_audit),)),
    Mutation(
        "orphaned slots",
        ((server_state.ServerState, "add_orphans", lambda self, count, now: None),),
    ),
    Mutation("permits", ((takeover.Takeover, "_wait_for_permit_expiry", lambda self: None),)),
    Mutation("late grants", ((message_delay.DelayEstimator, "delay_s", lambda *a: 0.0),)),
    Mutation(
        "evidence before a death",
        (
            (isolation.Isolation, "may_declare_dead", lambda *a: True),
            (isolation.Isolation, "is_isolated", lambda self: False),
        ),
    ),
    Mutation(
        "order of generations",
        ((local_configuration.LocalConfiguration, "is_newer", lambda *a: True),),
    ),
)


def find_failing_cells(mutation: Mutation, visits: int) -> tuple[list[matrix.Outcome], int]:
    """Run cells with the mutation until enough fail; return those and the number run."""
    failed: list[matrix.Outcome] = []
    cells_run = 0
    patchers = [mock.patch.object(*replacement) for replacement in mutation.replacements]
    for patcher in patchers:
        patcher.start()
    try:
        _, violated = matrix.run_without_fault()
        if violated:
            cell = matrix.Cell("any step", "no fault")
            failed.append(matrix.Outcome(cell, matrix.Verdict.RED, tuple(violated)))
        for fault in FAULTS:
            for step_name in matrix.steps():
                for visit in range(1, visits + 1):
                    cells_run += 1
                    outcome = run_cell(matrix.Cell(step_name, fault, visit))
                    if outcome.verdict is matrix.Verdict.RED:
                        failed.append(outcome)
                    if len(failed) == MAX_FAILURES_SHOWN:
                        return failed, cells_run
    finally:
        for patcher in patchers:
            patcher.stop()
    return failed, cells_run


def run_cell(cell: matrix.Cell) -> matrix.Outcome:
    """Run a cell; an exception counts as a failure.

    AttributeError and TypeError are raised again: they mean that a mutation no longer matches the
    code, which would look like a detection.
    """
    try:
        return matrix.run_cell(cell)
    except (AttributeError, TypeError):
        raise
    except Exception as error:
        return matrix.Outcome(cell, matrix.Verdict.RED, (f"raised {error!r}",))


def main(
    *names: str,
    visits: Annotated[
        int, cyclopts.Parameter(help="Visits to each step into which a fault is injected.")
    ] = 1,
) -> int:
    """Run every mutation, or those named, and return the exit code."""
    logging.getLogger("rosedyke").addHandler(logging.NullHandler())
    undetected = 0
    for mutation in MUTATIONS:
        if names and mutation.name not in names:
            continue
        started = time.monotonic()
        failed, cells_run = find_failing_cells(mutation, visits)
        undetected += not failed
        verdict = f"{len(failed)} failed" if failed else "UNDETECTED"
        elapsed_s = time.monotonic() - started
        print(
            f"without {mutation.name}: {verdict} in {cells_run} cells ({elapsed_s:.0f} s)",
            flush=True,
        )
        for outcome in failed:
            print(f"    {outcome.cell}: {outcome.broken[0]}", flush=True)
    return 1 if undetected else 0


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
