"""Run the fault matrix, print it, and write docs/FAULTS.md from the run.

    python tools/faults.py [--visits N] [--check]

Exits 1 if a promise broke in a cell that KNOWN-RED.txt doesn't list, or if a step was never
reached.  With ``--check`` the page is compared instead of written.
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
BEGIN = "<!-- matrix: written by tools/faults.py -->"
END = "<!-- end of matrix -->"


def run_cell(cell: matrix.Cell) -> matrix.Outcome:
    """Run one cell in a worker process."""
    logging.getLogger("rosedyke").addHandler(logging.NullHandler())
    return matrix.run_cell(cell)


def run_all(visits: int, pool: concurrent.futures.Executor) -> list[matrix.Outcome]:
    """Run every cell and print a line for each fault."""
    outcomes = []
    for fault in matrix.FAULTS:
        begun = time.monotonic()
        cells = [
            matrix.Cell(name, fault, visit)
            for name in matrix.steps()
            for visit in range(1, visits + 1)
        ]
        row = list(pool.map(run_cell, cells, chunksize=4))
        outcomes.extend(row)
        counts = collections.Counter(one.verdict.value for one in row)
        summary = ", ".join(f"{count} {verdict}" for verdict, count in counts.items())
        print(f"{fault:28} {summary} ({time.monotonic() - begun:.0f} s)", flush=True)
        for one in row:
            for promise in one.broken:
                print(f"    red: {one.cell}: {promise}")
    return outcomes


def render(outcomes: list[matrix.Outcome]) -> str:
    """Return the matrix as a table: a row for each step, a column for each fault."""
    by_key: dict[tuple[str, str], list[matrix.Verdict]] = {}
    for one in outcomes:
        by_key.setdefault((one.cell.step, one.cell.fault), []).append(one.verdict)
    faults = list(matrix.FAULTS)
    lines = ["| step | " + " | ".join(faults) + " |", "|---" * (len(faults) + 1) + "|"]
    for name in matrix.steps():
        signs = " | ".join(sign_of(by_key[name, fault]) for fault in faults)
        lines.append(f"| {name} | {signs} |")
    counts = collections.Counter(one.verdict for one in outcomes)
    total = ", ".join(f"{counts[verdict]} {verdict.value}" for verdict in matrix.Verdict)
    return f"{len(outcomes)} cells: {total}.\n\n" + "\n".join(lines)


def sign_of(verdicts: list[matrix.Verdict]) -> str:
    """Return how the visits to one step under one fault are shown together."""
    if matrix.Verdict.RED in verdicts:
        return "**red**"
    held = verdicts.count(matrix.Verdict.HOLDS)
    if held == len(verdicts):
        return "holds"
    # A visit that never came proves nothing.
    return f"{held} of {len(verdicts)}" if held else "-"


def place(page: str, table: str) -> str:
    """Return the page with the table between its marks."""
    head, _, rest = page.partition(BEGIN)
    _, _, tail = rest.partition(END)
    return f"{head}{BEGIN}\n\n{table}\n\n{END}{tail}"


def main(
    visits: Annotated[int, cyclopts.Parameter(help="Visits to each step that get a fault.")] = 2,
    processes: Annotated[int, cyclopts.Parameter(help="Cells that run at one time.")] = 6,
    check: Annotated[bool, cyclopts.Parameter(help="Compare the page; don't write it.")] = False,
) -> int:
    """Run the matrix and return the exit code."""
    logging.getLogger("rosedyke").addHandler(logging.NullHandler())
    visited, broken = matrix.run_without_fault()
    unreached = [name for name, count in visited.items() if not count]
    for name in unreached:
        print(f"never reached: {name}")
    for promise in broken:
        print(f"without any fault: {promise}")
    # The cells don't know of each other, so their outcomes don't depend on how many run at once.
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        outcomes = run_all(visits, pool)
    page = place(PAGE.read_text(), render(outcomes))
    if check and page != PAGE.read_text():
        print("docs/FAULTS.md differs: run make faults")
        return 1
    PAGE.write_text(page)
    red = [one for one in outcomes if one.verdict is matrix.Verdict.RED]
    print(f"{len(outcomes) - len(red)} passed, {len(red)} failed")
    return 1 if red or unreached or broken else 0


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
