"""Stable codes of answers."""

import enum


class Code(enum.Enum):
    """Outcome of a job or request.  docs/API.md describes how a caller handles each."""

    COMPLETE = "complete"
    # Rejected before a claim was taken; no task ran.
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    TOO_MANY_TASKS = "too_many_tasks"
    INVALID_FIELD = "invalid_field"
    CALLER_TOO_SLOW = "caller_too_slow"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_TASK = "unknown_task"
    UNKNOWN_JOB = "unknown_job"
    NOT_READY = "not_ready"
    DRAINING = "draining"
    CAN_NEVER_RUN = "can_never_run"
    OVERLOADED = "overloaded"
    QUOTA_EXCEEDED = "quota_exceeded"
    NO_SERVER = "no_server"
    # Determined by the claim protocol.
    OTHER_BODY = "other_body"
    ATTEMPT_CLOSED = "attempt_closed"
    CLAIM_FAILED = "claim_failed"
    TOO_OLD = "too_old"
    HOLDER_LOST = "holder_lost"
    HISTORY_LOST = "history_lost"
    DATA_CENTRE_UNREACHABLE = "data_centre_unreachable"
    # The job was accepted but did not complete.
    TASK_FAILED = "task_failed"
    SERVER_LOST = "server_lost"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    STOPPED = "stopped"
    INTERNAL = "internal"
