"""Take safeguards out one at a time and show which cells of the fault matrix notice it.

    python tools/mutations.py [--visits N] [NAME ...]

A matrix that stays green without a safeguard proves nothing about it.  Exits 1 if a mutation goes
unnoticed in every cell that was tried.
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

SHOWN = 3
LIKELY_FAULTS = (
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
    """One safeguard and what stands in its place.

    Attributes
    ----------
    name : str
        What is left out.
    replaced : tuple
        ``(owner, attribute, replacement)`` of each patch.
    """

    name: str
    replaced: tuple[tuple[object, str, Callable], ...]


def send_unchecked(self, index):
    """Record a task as sent whatever its state."""
    self.states[index] = job.TaskState.SENT


def first_is_enough(own, pair, replies):
    """Start on the first registrar's grant alone."""
    return bool(pair) and claiming.outcome_of(replies.get(pair[0])) is claiming.GRANTED


def recover_unasked(self, is_wanted):
    """Grant without asking who uses what."""
    self.pool.mark_recovered(self.server_names)
    return True


def obey_anyone(self, ballot):
    """Take any ballot."""
    self.ballot = ballot
    return True


def claim_near(node, held, give_up):
    """Claim a resubmission in the own data centre only."""
    return claiming.claim_first_attempt(node, held, give_up)


MUTATIONS = (
    Mutation("tasks marked as sent without a check", ((job.Job, "mark_sent", send_unchecked),)),
    Mutation("fence after a pause", ((fence.Fence, "check", lambda self: None),)),
    Mutation("second registrar", ((claiming, "has_enough_grants", first_is_enough),)),
    Mutation("settling", ((authority.Authority, "is_settled_for", lambda self, job_id: True),)),
    Mutation(
        "deaths in the history", ((authority.Authority, "has_complete_history", lambda *a: True),)
    ),
    Mutation("other data centres' claims", ((resubmission, "claim_everywhere", claim_near),)),
    Mutation(
        "closing of refused attempts",
        ((claiming, "close_attempt", lambda *a: claiming.ClaimResult(claim.Outcome.GRANTED)),),
    ),
    Mutation(
        "sticky cancellation",
        ((job_runner.Runner, "_end_unstarted", job_runner.Runner._withdraw_claim),),
    ),
    Mutation("hand-over", ((handover, "hand_over", lambda node, give_up: True),)),
    Mutation("ballots", ((pool_session.PoolSession, "accept_ballot", obey_anyone),)),
    Mutation("asking for slots in use", ((takeover.Takeover, "run", recover_unasked),)),
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


def find_red(mutation: Mutation, visits: int) -> tuple[list[matrix.Outcome], int]:
    """Run cells without the safeguard until enough are red; return them and the count run."""
    red: list[matrix.Outcome] = []
    count = 0
    patches = [mock.patch.object(*each) for each in mutation.replaced]
    for each in patches:
        each.start()
    try:
        _, broken = matrix.run_without_fault()
        if broken:
            cell = matrix.Cell("any step", "no fault")
            red.append(matrix.Outcome(cell, matrix.Verdict.RED, tuple(broken)))
        for fault in LIKELY_FAULTS:
            for name in matrix.steps():
                for visit in range(1, visits + 1):
                    count += 1
                    outcome = run_cell(matrix.Cell(name, fault, visit))
                    if outcome.verdict is matrix.Verdict.RED:
                        red.append(outcome)
                    if len(red) == SHOWN:
                        return red, count
    finally:
        for each in patches:
            each.stop()
    return red, count


def run_cell(cell: matrix.Cell) -> matrix.Outcome:
    """Run a cell; an error that ends it is a broken promise too.

    But not one of a mutation that no longer fits the code: it would seem to be noticed.
    """
    try:
        return matrix.run_cell(cell)
    except (AttributeError, TypeError):
        raise
    except Exception as error:
        return matrix.Outcome(cell, matrix.Verdict.RED, (f"ended by {error!r}",))


def main(
    *names: str,
    visits: Annotated[int, cyclopts.Parameter(help="Visits to each step that get a fault.")] = 1,
) -> int:
    """Run every mutation, or those named, and return the exit code."""
    logging.getLogger("rosedyke").addHandler(logging.NullHandler())
    unnoticed = 0
    for mutation in MUTATIONS:
        if names and mutation.name not in names:
            continue
        begun = time.monotonic()
        red, count = find_red(mutation, visits)
        unnoticed += not red
        word = f"{len(red)} red" if red else "UNNOTICED"
        spent_s = time.monotonic() - begun
        print(f"without {mutation.name}: {word} in {count} cells ({spent_s:.0f} s)", flush=True)
        for outcome in red:
            print(f"    {outcome.cell}: {outcome.broken[0]}", flush=True)
    return 1 if unnoticed else 0


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
