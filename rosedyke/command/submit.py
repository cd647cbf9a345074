"""``rosedyke submit``: run jobs from a file and wait for their answers."""

import concurrent.futures
import pathlib
import sys
import time
from typing import Annotated

import attrs
import cyclopts
import rich.console
import rich.progress

from rosedyke.callers import client
from rosedyke.command import exit_codes, job_file, options, terminal
from rosedyke.job import answer


@attrs.frozen
class Outcome:
    """How one job ended.

    Attributes
    ----------
    job_id : str
        The job.
    outcome : str
        ``complete`` or ``failed``.
    code : str
        The answer's code.
    ran : str
        ``yes``, ``no`` or ``unknown``.
    seconds : float
        From the first attempt to the answer.
    detail : str
        One sentence about a failure.
    results : tuple of str
        Each task's result as JSON text.
    """

    job_id: str
    outcome: str
    code: str
    ran: str
    seconds: float
    detail: str = ""
    results: tuple[str, ...] = ()


def register(app: cyclopts.App) -> None:
    """Add the command."""
    app.command(submit)


def submit(
    file: Annotated[
        str, cyclopts.Parameter(help="JSON: a job, a list of jobs, or a job a line; - reads stdin.")
    ],
    *,
    instances: options.Instances = (),
    parallel: Annotated[int, cyclopts.Parameter(help="Jobs submitted at one time.")] = 8,
    timeout_s: Annotated[
        float, cyclopts.Parameter(help="Timeout in seconds of a job that names none.")
    ] = 30.0,
    json: options.Json = False,
) -> int:
    """Run jobs from a file and wait for the whole answer of each.

    A job is an object with "service", "tasks" (each with "name" and, if wanted, "payload",
    "run_time_s" and "size") and, if wanted, "job_id", "timeout_s" and "idempotent". A job with a
    "job_id" may be submitted again, at any instance, and gets the answer of its first run; ids are
    remembered for about a minute. With --json each job prints a line with its results.
    """
    if not instances:
        return terminal.warn_no_instances()
    try:
        content = sys.stdin.buffer.read() if file == "-" else pathlib.Path(file).read_bytes()
        jobs = job_file.parse(content)
    except OSError as error:
        terminal.warn(f"{file}: {error.strerror}")
        return exit_codes.USAGE
    except job_file.JobFileError as error:
        for each in error.faults:
            terminal.warn(f"{file}: {each}")
        return exit_codes.REJECTED
    outcomes = run(client.Client(client.ClientSettings(instances)), jobs, parallel, timeout_s, json)
    failed = sum(one.outcome != "complete" for one in outcomes)
    if not json:
        print(f"{len(outcomes) - failed} complete, {failed} failed")
    return exit_codes.JOB_FAILED if failed else exit_codes.OK


def run(
    caller: client.Client,
    jobs: list[job_file.JobEntry],
    parallel: int,
    timeout_s: float,
    json: bool,
) -> list[Outcome]:
    """Submit all jobs, print each outcome when it is there, and return them."""
    outcomes = []
    with (
        concurrent.futures.ThreadPoolExecutor(max(1, parallel)) as pool,
        rich.progress.Progress(
            console=rich.console.Console(stderr=True), disable=not sys.stderr.isatty()
        ) as progress,
    ):
        bar = progress.add_task("jobs", total=len(jobs))
        waiting = [pool.submit(run_one, caller, job, timeout_s) for job in jobs]
        for future in concurrent.futures.as_completed(waiting):
            outcome = future.result()
            outcomes.append(outcome)
            progress.advance(bar)
            if json:
                terminal.print_json(outcome)
            else:
                print(describe(outcome))
    return outcomes


def run_one(caller: client.Client, job: job_file.JobEntry, timeout_s: float) -> Outcome:
    """Submit one job and return how it ended."""
    tasks = [client.Task(one.name, one.payload, one.run_time_s, one.size) for one in job.tasks]
    begun = time.monotonic()
    try:
        final = caller.submit(
            job.service,
            tasks,
            timeout_s if job.timeout_s is None else job.timeout_s,
            job.job_id,
            job.idempotent,
        )
    except client.ClientError as error:
        final = error.answer
    return outcome_of(final, time.monotonic() - begun)


def outcome_of(final: answer.Answer, seconds: float) -> Outcome:
    """Return an answer as it is printed."""
    return Outcome(
        final.job_id,
        "complete" if final.is_complete else "failed",
        final.code.value,
        final.ran.value,
        round(seconds, 4),
        final.detail,
        tuple(result.decode() for result in final.results),
    )


def describe(outcome: Outcome) -> str:
    """Return one line about an outcome."""
    if outcome.outcome == "complete":
        count = len(outcome.results)
        return f"{outcome.job_id} complete, {count} results in {outcome.seconds:.3f} s"
    return (
        f"{outcome.job_id} failed after {outcome.seconds:.3f} s: {outcome.code}, "
        f"ran: {outcome.ran}. {outcome.detail}"
    )
