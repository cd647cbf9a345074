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
    """Outcome of a job.

    Attributes
    ----------
    job_id : str
        Id of the job.
    outcome : str
        ``complete`` or ``failed``.
    code : str
        The answer's code.
    ran : str
        ``yes``, ``no`` or ``unknown``.
    seconds : float
        Seconds from the first attempt to the answer.
    detail : str
        Description of a failure.
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
        str,
        cyclopts.Parameter(help="JSON: a job, a list of jobs, or a job per line; - reads stdin."),
    ],
    /,
    *,
    instances: options.Instances = (),
    parallel: Annotated[int, cyclopts.Parameter(help="Number of concurrent jobs.")] = 8,
    timeout_s: Annotated[
        float, cyclopts.Parameter(help="Timeout in seconds of jobs without their own timeout.")
    ] = 30.0,
    first: Annotated[
        bool,
        cyclopts.Parameter(
            negative=(),
            help="Assert that no job of the file was submitted before; jobs without a job_id are "
            "always new. Skips the lookup in all data centres.",
        ),
    ] = False,
    json: options.Json = False,
) -> int:
    """Run jobs from a file and wait for the complete answer of each.

    A job is an object with "service", "tasks" (each with "name" and optionally "payload",
    "run_time_s" and "size") and optionally "job_id", "timeout_s" and "idempotent". A job with a
    "job_id" may be submitted again within a minute, at any instance, and gets the answer of its
    first run. Instances started less than a minute ago can't tell whether such a job is new, and
    fail it as "history_lost" unless --first is given. With --json each job prints a line with its
    results.

    Exit codes: 0 all jobs complete, 3 the file has faults and nothing was submitted, 10 a job
    failed.

    For example:

    - `rosedyke submit jobs.json`
    - `rosedyke submit jobs.jsonl --parallel 32 --json > answers.jsonl`
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
        for fault in error.faults:
            terminal.warn(f"{file}: {fault}")
        return exit_codes.REJECTED
    caller = client.Client(client.ClientSettings(instances))
    outcomes = submit_all(caller, jobs, parallel, timeout_s, first, json)
    failed = sum(job_outcome.outcome != "complete" for job_outcome in outcomes)
    if not json:
        print(f"{len(outcomes) - failed} complete, {failed} failed")
    return exit_codes.JOB_FAILED if failed else exit_codes.OK


def submit_all(
    caller: client.Client,
    jobs: list[job_file.JobEntry],
    parallel: int,
    timeout_s: float,
    first: bool,
    json: bool,
) -> list[Outcome]:
    """Submit all jobs, print each outcome as it arrives, and return the outcomes."""
    outcomes = []
    with (
        concurrent.futures.ThreadPoolExecutor(max(1, parallel)) as pool,
        rich.progress.Progress(
            console=rich.console.Console(stderr=True), disable=not sys.stderr.isatty()
        ) as progress,
    ):
        bar = progress.add_task("jobs", total=len(jobs))
        pending = [pool.submit(submit_job, caller, job, timeout_s, first) for job in jobs]
        for future in concurrent.futures.as_completed(pending):
            outcome = future.result()
            outcomes.append(outcome)
            progress.advance(bar)
            if json:
                terminal.print_json(outcome)
            else:
                print(format_outcome(outcome))
    return outcomes


def submit_job(
    caller: client.Client, job: job_file.JobEntry, timeout_s: float, first: bool
) -> Outcome:
    """Submit one job and return its outcome."""
    tasks = [client.Task(task.name, task.payload, task.run_time_s, task.size) for task in job.tasks]
    started_at = time.monotonic()
    try:
        final_answer = caller.submit(
            job.service,
            tasks,
            timeout_s if job.timeout_s is None else job.timeout_s,
            job.job_id,
            job.idempotent,
            first or job.job_id is None,
        )
    except client.ClientError as error:
        final_answer = error.answer
    return outcome_of(final_answer, time.monotonic() - started_at)


def outcome_of(final_answer: answer.Answer, seconds: float) -> Outcome:
    """Return the outcome of a job with the given answer."""
    return Outcome(
        final_answer.job_id,
        "complete" if final_answer.is_complete else "failed",
        final_answer.code.value,
        final_answer.ran.value,
        round(seconds, 4),
        final_answer.detail,
        tuple(result.decode() for result in final_answer.results),
    )


def format_outcome(outcome: Outcome) -> str:
    """Return a one-line description of an outcome."""
    if outcome.outcome == "complete":
        count = len(outcome.results)
        return f"{outcome.job_id} complete, {count} results in {outcome.seconds:.3f} s"
    return (
        f"{outcome.job_id} failed after {outcome.seconds:.3f} s: {outcome.code}, "
        f"ran: {outcome.ran}. {outcome.detail}"
    )
