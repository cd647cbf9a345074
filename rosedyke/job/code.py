"""The catalogue of stable codes that an answer can carry."""

import enum


class Code(enum.Enum):
    """Why a job or request ended as it did.  docs/API.md says what a caller does about each."""

    COMPLETE = "complete"
    # Refused before anything was claimed; nothing ran.
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
    # Decided by the claims.
    OTHER_BODY = "other_body"
    ATTEMPT_CLOSED = "attempt_closed"
    CLAIM_FAILED = "claim_failed"
    TOO_OLD = "too_old"
    HOLDER_LOST = "holder_lost"
    HISTORY_LOST = "history_lost"
    DATA_CENTRE_UNREACHABLE = "data_centre_unreachable"
    # The job was accepted and ended without a whole answer.
    TASK_FAILED = "task_failed"
    SERVER_LOST = "server_lost"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    STOPPED = "stopped"
    INTERNAL = "internal"
