"""Mutation tests of failures under overload: show which tests detect a missing safeguard.

    PYTHONHASHSEED=0 .venv/bin/python -W ignore tools/overload_mutations.py [NAME ...]

Each mutation removes one safeguard and runs ``rerunnable_jobs/overload_failures_test.py``.
Exits 1 if a mutation is undetected, or if a test fails without any mutation.
"""

import io
import logging
import sys
import time
import unittest
from unittest import mock

import attrs
import cyclopts
import mutations

from rosedyke.overload import job_limit, link
from rosedyke.rerunnable_jobs import (
    overload_failures_test,
    owned_job,
    pending_job,
    pool_owner,
    server_state,
)

check_timeouts = pool_owner.PoolOwner._check_timeouts
adapt = job_limit.adapt
accepts_tasks = server_state.ServerState.accepts_tasks
submitted_job = owned_job.OwnedJob.from_message.__func__


def check_timeouts_but_holders(self):
    """Check everything but whether holders are lost."""
    for owned in self.jobs.values():
        owned.renewed_at = self.runtime.now()
    check_timeouts(self)


def longest_backlog_s(self, now):
    """Return the longest backlog so far."""
    self.longest_s = max(getattr(self, "longest_s", 0.0), self.idle_at - now)
    return self.longest_s


def adapt_downwards(limit, jobs_held, delay_s, now):
    """Adapt the limit, but never increase it."""
    adapted = adapt(limit, jobs_held, delay_s, now)
    return adapted if adapted.jobs <= limit.jobs else limit


def accepts_tasks_until_it_is_gone(self, now, contact_s):
    """Return whether a server accepts tasks, also while it is about to leave."""
    entry = self.server
    self.server = attrs.evolve(entry, is_draining=False)
    try:
        return accepts_tasks(self, now, contact_s)
    finally:
        self.server = entry


def submitted_job_without_history(cls, message, now):
    """Return the owned job for a submission as if no earlier owner had had it."""
    owned = submitted_job(cls, message, now)
    owned.may_have_run = owned.has_started = owned.has_started_elsewhere = False
    return owned


MUTATIONS = (
    mutations.Mutation(
        "stopping a lost holder's jobs",
        ((pool_owner.PoolOwner, "_check_timeouts", check_timeouts_but_holders),),
    ),
    mutations.Mutation(
        "waiting for earlier leases",
        ((pool_owner.PoolOwner, "may_place", lambda self, owned, now: True),),
    ),
    mutations.Mutation(
        "what a job's holder knows of its starts",
        ((pending_job.PendingJob, "may_have_run", lambda self: False),),
    ),
    mutations.Mutation(
        "what a successor is told of earlier starts",
        ((owned_job.OwnedJob, "from_message", classmethod(submitted_job_without_history)),),
    ),
    mutations.Mutation(
        "reducing the backlog of the link", ((link.LinkUsage, "backlog_s", longest_backlog_s),)
    ),
    mutations.Mutation("increasing the job limit", ((job_limit, "adapt", adapt_downwards),)),
    mutations.Mutation(
        "notice of servers that leave",
        ((server_state.ServerState, "accepts_tasks", accepts_tasks_until_it_is_gone),),
    ),
)


def failing_tests(mutation: mutations.Mutation) -> list[tuple[str, str]]:
    """Run the tests with a mutation; return the name of each that fails, and its first sign."""
    patchers = [mock.patch.object(*replacement) for replacement in mutation.replacements]
    for patcher in patchers:
        patcher.start()
    try:
        suite = unittest.defaultTestLoader.loadTestsFromModule(overload_failures_test)
        result = unittest.TextTestRunner(stream=io.StringIO()).run(suite)
    finally:
        for patcher in patchers:
            patcher.stop()
    for _, text in result.errors:
        # A mutation that no longer matches the code would look like a detection.
        if "AttributeError" in text or "TypeError" in text:
            raise RuntimeError(text)
    return [
        (".".join(test.id().split(".")[-2:]), text.strip().splitlines()[-1])
        for test, text in result.failures + result.errors
    ]


def main(*names: str) -> int:
    """Run every mutation, or those named, and return the exit code."""
    logging.getLogger("rosedyke").addHandler(logging.NullHandler())
    unmutated = mutations.Mutation("nothing", ())
    exit_code = 0
    for mutation in (unmutated, *MUTATIONS):
        if names and mutation.name not in names:
            continue
        started = time.monotonic()
        failed = failing_tests(mutation)
        if bool(failed) == (mutation is unmutated):
            exit_code = 1
        verdict = f"{len(failed)} tests failed" if failed else "no test failed"
        print(
            f"without {mutation.name}: {verdict} ({time.monotonic() - started:.0f} s)", flush=True
        )
        for name, sign in failed:
            print(f"    {name}: {sign[:120]}", flush=True)
    return exit_code


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
