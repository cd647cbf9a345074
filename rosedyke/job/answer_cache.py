"""Cache of final answers for resubmissions, bounded by time and bytes."""

import attrs

from rosedyke.job import answer, code

EVICTED_DETAIL = "The job completed, but its results are no longer kept."


@attrs.define
class Entry:
    """The answer of an ended job; its results may be evicted before the entry expires."""

    answer: answer.Answer
    digest: bytes
    attempt: int
    expires: float


def size_of(final: answer.Answer) -> int:
    """Return the size of an answer's results and texts in bytes."""
    return sum(len(result) for result in final.results) + len(final.detail) + len(final.job_id)


class AnswerCache:
    """Ended jobs by id, oldest first.

    Parameters
    ----------
    retention_s : float
        How long each entry is kept.
    max_bytes : int
        Total size of all answers; the oldest results are evicted first.
    """

    def __init__(self, retention_s: float, max_bytes: int):
        self.retention_s = retention_s
        self.max_bytes = max_bytes
        self.entries: dict[str, Entry] = {}
        self.result_sizes: dict[str, int] = {}
        self.bytes = 0

    def add(self, entry: Entry) -> None:
        """Add or replace the answer of a job and evict results beyond the limit."""
        job_id = entry.answer.job_id
        self.remove(job_id)
        self.entries[job_id] = entry
        self.result_sizes[job_id] = size_of(entry.answer)
        self.bytes += self.result_sizes[job_id]
        while self.bytes > self.max_bytes and self.result_sizes:
            self._evict_results(next(iter(self.result_sizes)))

    def find(self, job_id: str) -> Entry | None:
        """Return the entry of an ended job, None if there is none."""
        return self.entries.get(job_id)

    def remove(self, job_id: str) -> None:
        """Remove the entry of a job if there is one."""
        if self.entries.pop(job_id, None) is not None:
            self.bytes -= self.result_sizes.pop(job_id, 0)

    def expire(self, now: float) -> None:
        """Remove expired entries."""
        while self.entries:
            job_id = next(iter(self.entries))
            if self.entries[job_id].expires > now:
                return
            self.remove(job_id)

    def _evict_results(self, job_id: str) -> None:
        entry = self.entries[job_id]
        self.bytes -= self.result_sizes.pop(job_id)
        if entry.answer.is_complete:
            # A complete answer without its results would be a partial answer.
            entry.answer = answer.Answer(
                job_id, code.Code.HISTORY_LOST, answer.Ran.YES, detail=EVICTED_DETAIL
            )
