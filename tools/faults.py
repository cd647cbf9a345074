"""Run the fault-injection matrix and write its results to docs/FAULTS.md.

    python tools/faults.py [--visits N] [--check]

Exits 1 if any cell violates a guarantee, or if a step is never reached.  With ``--check`` the page
is compared instead of written.
"""

import collections
import concurrent.futures
import logging
import pathlib
import sys
import time
from typing import Annotated

import cyclopts

from rosedyke.standins import matrix

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "FAULTS.md"
BEGIN_MARKER = "<!-- matrix: written by tools/faults.py -->"
END_MARKER = "<!-- end of matrix -->"


def run_cell(cell: matrix.Cell) -> matrix.Outcome:
    """Run one cell in a worker process."""
    logging.getLogger("rosedyke").addHandler(logging.NullHandler())
    return matrix.run_cell(cell)


def run_all(visits: int, pool: concurrent.futures.Executor) -> list[matrix.Outcome]:
    """Run every cell and print a summary line for each fault."""
    outcomes = []
    for fault in matrix.FAULTS:
        started = time.monotonic()
        cells = [
            matrix.Cell(step_name, fault, visit)
            for step_name in matrix.steps()
            for visit in range(1, visits + 1)
        ]
        row = list(pool.map(run_cell, cells, chunksize=4))
        outcomes.extend(row)
        counts = collections.Counter(outcome.verdict.value for outcome in row)
        summary = ", ".join(f"{count} {verdict}" for verdict, count in counts.items())
        print(f"{fault:28} {summary} ({time.monotonic() - started:.0f} s)", flush=True)
        for outcome in row:
            for guarantee in outcome.broken:
                print(f"    failed: {outcome.cell}: {guarantee}")
    return outcomes


def render(outcomes: list[matrix.Outcome]) -> str:
    """Return the matrix as a table with a row per step and a column per fault."""
    by_key: dict[tuple[str, str], list[matrix.Verdict]] = {}
    for outcome in outcomes:
        by_key.setdefault((outcome.cell.step, outcome.cell.fault), []).append(outcome.verdict)
    faults = list(matrix.FAULTS)
    lines = ["| step | " + " | ".join(faults) + " |", "|---" * (len(faults) + 1) + "|"]
    for step_name in matrix.steps():
        cell_texts = " | ".join(cell_text(by_key[step_name, fault]) for fault in faults)
        lines.append(f"| {step_name} | {cell_texts} |")
    counts = collections.Counter(outcome.verdict for outcome in outcomes)
    total = ", ".join(f"{counts[verdict]} {verdict.value}" for verdict in matrix.Verdict)
    return f"{len(outcomes)} cells: {total}.\n\n" + "\n".join(lines)


def cell_text(verdicts: list[matrix.Verdict]) -> str:
    """Return the text of a table cell, which combines all visits to a step under a fault."""
    if matrix.Verdict.RED in verdicts:
        return "**red**"
    holding = verdicts.count(matrix.Verdict.HOLDS)
    if holding == len(verdicts):
        return "holds"
    # A visit that was not reached proves nothing.
    return f"{holding} of {len(verdicts)}" if holding else "-"


def insert_table(page: str, table: str) -> str:
    """Return the page with the text between the markers replaced by the table."""
    before, _, after_begin = page.partition(BEGIN_MARKER)
    _, _, after = after_begin.partition(END_MARKER)
    return f"{before}{BEGIN_MARKER}\n\n{table}\n\n{END_MARKER}{after}"


def main(
    visits: Annotated[
        int, cyclopts.Parameter(help="Visits to each step into which a fault is injected.")
    ] = 2,
    processes: Annotated[int, cyclopts.Parameter(help="Number of worker processes.")] = 6,
    check: Annotated[
        bool, cyclopts.Parameter(help="Compare the page instead of writing it.")
    ] = False,
) -> int:
    """Run the matrix and return the exit code."""
    logging.getLogger("rosedyke").addHandler(logging.NullHandler())
    visited, violated = matrix.run_without_fault()
    unreached = [step_name for step_name, count in visited.items() if not count]
    for step_name in unreached:
        print(f"never reached: {step_name}")
    for guarantee in violated:
        print(f"violated without any fault: {guarantee}")
    # Cells are independent, so their outcomes do not depend on the number of workers.
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        outcomes = run_all(visits, pool)
    page = insert_table(PAGE.read_text(), render(outcomes))
    if check and page != PAGE.read_text():
        print("docs/FAULTS.md is out of date: run make faults")
        return 1
    PAGE.write_text(page)
    failed = [outcome for outcome in outcomes if outcome.verdict is matrix.Verdict.RED]
    print(f"{len(outcomes) - len(failed)} passed, {len(failed)} failed")
    return 1 if failed or unreached or violated else 0


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
