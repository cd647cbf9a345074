"""The error of an invalid request."""

from rosedyke import fault
from rosedyke.job import code as job_code


class BadRequest(fault.RosedykeError):
    """A request is invalid or exceeds a limit; none of its tasks runs.

    Attributes
    ----------
    reason : Code
        Kind of error.
    detail : str
        Description with the position of the error.
    """

    code = "bad_request"

    def __init__(self, reason: job_code.Code, detail: str):
        super().__init__(detail)
        self.reason = reason
        self.detail = detail
