"""``rosedyke cancel``: cancel jobs before they finish."""

from typing import Annotated

import cyclopts

from rosedyke.callers import client
from rosedyke.command import exit_codes, options, terminal
from rosedyke.command import submit as submit_command
from rosedyke.job import code


def register(app: cyclopts.App) -> None:
    """Add the command."""
    app.command(cancel)


def cancel(
    job_ids: Annotated[tuple[str, ...], cyclopts.Parameter(help="The jobs.", negative=())],
    /,
    *,
    instances: options.Instances = (),
    json: options.Json = False,
) -> int:
    """Cancel jobs wherever they run, and show the final answer of each.

    A cancelled job starts no further tasks; running tasks are not stopped. A job that had finished
    keeps its answer.

    Exit codes: 0 each job has its final answer, 6 an instance that may know a job did not answer,
    9 a job is unknown to every instance.

    For example:

    - `rosedyke cancel scale-3:8f1c scale-3:8f1d`
    """
    if not instances:
        return terminal.warn_no_instances()
    caller = client.Client(client.ClientSettings(instances))
    exit_codes_seen = []
    for job_id in job_ids:
        try:
            final_answer = caller.cancel(job_id)
        except client.ClientError as error:
            final_answer = error.answer
        exit_codes_seen.append(exit_code(final_answer.code))
        outcome = submit_command.outcome_of(final_answer, 0.0)
        if json:
            terminal.print_json(outcome)
        else:
            print(f"{job_id}: {outcome.code}, ran: {outcome.ran}. {outcome.detail}")
    return max(exit_codes_seen, default=exit_codes.OK)


def exit_code(answer_code: code.Code) -> int:
    """Return the exit code for the answer code of a cancelled job."""
    if answer_code is code.Code.UNKNOWN_JOB:
        return exit_codes.NOT_FOUND
    if answer_code in (code.Code.NOT_READY, code.Code.DATA_CENTRE_UNREACHABLE):
        return exit_codes.UNREACHABLE
    return exit_codes.OK
