"""Run a command with one mechanism of the scheduling switched off at a time.

    .venv/bin/python tools/ablation.py --keep RESULTS -- COMMAND...

Each mechanism is one edit of the sources in a copy of the tree, in which the command runs; the
first copy is left as it is.  ``{copy}`` in the command stands for the copy's folder.  The output of
each run goes to ``RESULTS/MECHANISM.txt``.
"""

import pathlib
import shutil
import subprocess
import sys
from typing import Annotated

import attrs
import cyclopts

ROOT = pathlib.Path(__file__).resolve().parent.parent
RERUN = pathlib.Path("rosedyke/rerun")
LEFT_OUT = shutil.ignore_patterns(".git", ".venv", "journal", "__pycache__", "target")


@attrs.frozen
class Mechanism:
    """One mechanism, and the edit that switches it off.

    Attributes
    ----------
    path : Path
        The module that holds it.
    old, new : str
        A text that stands there once, and what takes its place.
    """

    name: str
    path: pathlib.Path
    old: str
    new: str


class EditFailed(Exception):
    """The sources have changed, so that an edit no longer fits."""


MECHANISMS = (
    Mechanism(
        "waiting-for-a-faster-server",
        RERUN / "scheduler.py",
        "if state is None or self._should_wait(owned, task, state, allocated, now):",
        "if state is None:",
    ),
    Mechanism(
        "moving-tasks-between-pools", RERUN / "spillover.py", "MAX_MOVES = 4", "MAX_MOVES = 0"
    ),
    Mechanism(
        "moving-what-has-waited",
        RERUN / "spillover.py",
        "if max(wait_s, now - owned.arrived_at) > MIN_WAIT_S",
        "if wait_s > MIN_WAIT_S",
    ),
    Mechanism(
        "ends-by-progress",
        RERUN / "server_state.py",
        "MIN_PROGRESS_PERCENT = 5",
        "MIN_PROGRESS_PERCENT = 1000",
    ),
    Mechanism(
        "latest-start",
        RERUN / "job_ordering.py",
        "return (is_late, rank, not owned.has_started, start)",
        "return (owned.arrived_at,)",
    ),
    Mechanism(
        "late-jobs-last",
        RERUN / "job_ordering.py",
        "is_late = start < now",
        "is_late = False",
    ),
    Mechanism(
        "priority-when-late",
        RERUN / "job_ordering.py",
        "rank = owned.work.priority if is_late else 0",
        "rank = 0",
    ),
    Mechanism(
        "refusing-hopeless-jobs",
        RERUN / "admission.py",
        "return now + longest_s / max(fastest, 0.1) > useful_until(owned, timing)",
        "return False",
    ),
    Mechanism(
        "learned-speeds",
        RERUN / "server_speed.py",
        "SERVER_WEIGHT = 0.12\nKIND",
        "SERVER_WEIGHT = 0.0\nKIND",
    ),
    Mechanism(
        "speed-by-kind", RERUN / "server_speed.py", "        if kind:\n", "        if False:\n"
    ),
    Mechanism(
        "memory-of-failures",
        RERUN / "placement.py",
        "            server.id in task.failed_on,\n",
        "            False,\n",
    ),
    Mechanism(
        "suspending-servers", RERUN / "completions.py", "SUSPENSION_S = 2.0", "SUSPENSION_S = 0.0"
    ),
    Mechanism(
        "routing-by-room",
        RERUN / "routing.py",
        "return _weighted_choice({pool: max(1, slots[pool]) for pool in best}, random_value)",
        "return best[0]",
    ),
)


def switch_off(mechanism: Mechanism, copy: pathlib.Path) -> None:
    """Edit a copy of the tree; raises ``EditFailed`` if the text doesn't stand there once."""
    path = copy / mechanism.path
    text = path.read_text()
    if text.count(mechanism.old) != 1:
        raise EditFailed(f"{mechanism.name}: {mechanism.path} has no such text, or several")
    path.write_text(text.replace(mechanism.old, mechanism.new))


def run_in_copy(mechanism: Mechanism | None, keep: pathlib.Path, command: list[str]) -> int:
    """Run the command in a copy of the tree and return its exit code."""
    name = mechanism.name if mechanism else "all"
    copy = keep / name
    shutil.copytree(ROOT, copy, ignore=LEFT_OUT)
    if mechanism:
        switch_off(mechanism, copy)
    words = [word.replace("{copy}", str(copy)) for word in command]
    with (keep / f"{name}.txt").open("w") as output:
        return subprocess.run(words, cwd=copy, stdout=output, stderr=subprocess.STDOUT).returncode


def main(
    *command: str,
    keep: Annotated[pathlib.Path, cyclopts.Parameter(help="An empty folder for the copies.")],
    only: Annotated[tuple[str, ...], cyclopts.Parameter(help="Just these mechanisms.")] = (),
) -> int:
    """Run a command with every mechanism on, and with each of them off."""
    keep.mkdir(parents=True, exist_ok=True)
    wanted = [each for each in MECHANISMS if not only or each.name in only]
    codes = [run_in_copy(each, keep.resolve(), list(command)) for each in (None, *wanted)]
    return max(codes)


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
