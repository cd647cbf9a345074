"""Run a command with one scheduling mechanism disabled at a time (ablation study).

    .venv/bin/python tools/ablation.py --keep RESULTS -- COMMAND...

Each mechanism is disabled by a source patch in a copy of the tree, in which the command runs; the
first copy is unpatched.  ``{copy}`` in the command is replaced by the folder of the copy.  The
output of each run goes to ``RESULTS/MECHANISM.txt``.
"""

import pathlib
import shutil
import subprocess
import sys
from typing import Annotated

import attrs
import cyclopts

ROOT = pathlib.Path(__file__).resolve().parent.parent
RERUN = pathlib.Path("rosedyke/rerunnable_jobs")
SCHEDULING = pathlib.Path("rosedyke/scheduling")
IGNORED_PATHS = shutil.ignore_patterns(".git", ".venv", "journal", "__pycache__", "target")


@attrs.frozen
class Mechanism:
    """A mechanism, and the patch that disables it.

    Attributes
    ----------
    path : Path
        The module to patch.
    old, new : str
        The text to replace, which occurs exactly once, and its replacement.
    """

    name: str
    path: pathlib.Path
    old: str
    new: str


class PatchFailed(Exception):
    """A patch no longer matches the sources."""


MECHANISMS = (
    Mechanism(
        "waiting-for-a-faster-server",
        RERUN / "scheduler.py",
        "if self._should_wait(owned, task, state, allocated, now):",
        "if False:",
    ),
    Mechanism(
        "urgent-first",
        RERUN / "pool_pressure.py",
        "pressure.is_urgent_first(used_by_urgent, capacity)",
        "False",
    ),
    Mechanism(
        "kept-servers",
        RERUN / "scheduler.py",
        "self._keep_servers(owned, [task for _, task in unplaced], allocated, now)",
        "pass",
    ),
    Mechanism(
        "starts-wait-for-the-link",
        RERUN / "scheduler.py",
        "if hold_s := self.owner.delay.hold_s(now):",
        "if hold_s := 0.0:",
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
        SCHEDULING / "queue_order.py",
        "return (*group(queued), queued.latest_start)",
        "return (queued.key.arrived_at,)",
    ),
    Mechanism(
        "late-jobs-last",
        SCHEDULING / "queue_order.py",
        "is_late = queued.latest_start < now",
        "is_late = False",
    ),
    Mechanism(
        "priority-when-late",
        SCHEDULING / "queue_order.py",
        "rank = queued.priority if is_late else 0",
        "rank = 0",
    ),
    Mechanism(
        "refusing-hopeless-jobs",
        SCHEDULING / "admission.py",
        "return now + longest_s / max(fastest, MIN_SPEED) > until",
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
        "            server.id in failed_on,\n",
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


def disable(mechanism: Mechanism, copy: pathlib.Path) -> None:
    """Patch a copy of the tree; raise ``PatchFailed`` unless the text occurs exactly once."""
    path = copy / mechanism.path
    text = path.read_text()
    if text.count(mechanism.old) != 1:
        raise PatchFailed(
            f"{mechanism.name}: text to replace not found exactly once in {mechanism.path}"
        )
    path.write_text(text.replace(mechanism.old, mechanism.new))


def run_in_copy(mechanism: Mechanism | None, keep: pathlib.Path, command: list[str]) -> int:
    """Run the command in a copy of the tree and return its exit code."""
    name = mechanism.name if mechanism else "all"
    copy = keep / name
    shutil.copytree(ROOT, copy, ignore=IGNORED_PATHS)
    if mechanism:
        disable(mechanism, copy)
    arguments = [argument.replace("{copy}", str(copy)) for argument in command]
    with (keep / f"{name}.txt").open("w") as output:
        return subprocess.run(
            arguments, cwd=copy, stdout=output, stderr=subprocess.STDOUT
        ).returncode


def main(
    *command: str,
    keep: Annotated[pathlib.Path, cyclopts.Parameter(help="An empty folder for the copies.")],
    only: Annotated[
        tuple[str, ...], cyclopts.Parameter(help="Disable only these mechanisms.")
    ] = (),
) -> int:
    """Run a command with every mechanism enabled, and with each of them disabled."""
    keep.mkdir(parents=True, exist_ok=True)
    selected = [mechanism for mechanism in MECHANISMS if not only or mechanism.name in only]
    exit_codes = [
        run_in_copy(mechanism, keep.resolve(), list(command)) for mechanism in (None, *selected)
    ]
    return max(exit_codes)


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
