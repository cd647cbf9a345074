"""Parses job files: one JSON object, a list of objects, or one object per line."""

import msgspec

from rosedyke import fault


class JobFileError(fault.RosedykeError):
    """The job file is invalid.

    Attributes
    ----------
    faults : tuple of str
        Each begins with the position in the file.
    """

    code = "job_file"

    def __init__(self, faults: tuple[str, ...]):
        super().__init__("; ".join(faults))
        self.faults = faults


class TaskEntry(msgspec.Struct, forbid_unknown_fields=True):
    """One task of a job."""

    name: str
    payload: object = None
    run_time_s: float | None = None
    size: dict[str, float] | None = None


class JobEntry(msgspec.Struct, forbid_unknown_fields=True):
    """One job; without a ``job_id`` it gets a new id each time the file is submitted."""

    service: str
    tasks: list[TaskEntry]
    job_id: str | None = None
    timeout_s: float | None = None
    idempotent: bool = False


def parse(content: bytes) -> list[JobEntry]:
    """Return the jobs of a file.

    Raises
    ------
    JobFileError
        The file is invalid; lists the faults of all jobs.
    """
    jobs: list[JobEntry] = []
    faults: list[str] = []
    for position, value in _decode_jobs(content):
        try:
            jobs.append(msgspec.convert(value, JobEntry))
        except msgspec.ValidationError as error:
            faults.append(f"{position}: {error}")
    if not jobs and not faults:
        faults.append("the file has no jobs")
    if faults:
        raise JobFileError(tuple(faults))
    return jobs


def _decode_jobs(content: bytes) -> list[tuple[str, object]]:
    try:
        document = msgspec.json.decode(content)
    except msgspec.DecodeError:
        return _decode_lines(content)
    if isinstance(document, list):
        return [(f"job {index + 1}", value) for index, value in enumerate(document)]
    return [("job 1", document)]


def _decode_lines(content: bytes) -> list[tuple[str, object]]:
    numbered_jobs = []
    faults = []
    for number, line in enumerate(content.splitlines(), 1):
        if not line.strip():
            continue
        try:
            numbered_jobs.append((f"line {number}", msgspec.json.decode(line)))
        except msgspec.DecodeError as error:
            faults.append(f"line {number}: {error}")
    if faults:
        raise JobFileError(tuple(faults))
    return numbered_jobs
