"""Metrics of jobs and claims."""

from rosedyke.observe import metric

SUBMITTED = metric.define("job.submitted", "counter", "Submissions received, of any attempt.")
RESUBMITTED = metric.define("job.resubmitted", "counter", "Submissions that were resubmissions.")
ATTACHED = metric.define(
    "job.attached", "counter", "Submissions answered with the answer of an earlier attempt."
)
REFUSED = metric.define("job.refused", "counter", "Submissions refused before they ran.")
UNKNOWN = metric.define("job.unknown", "counter", "Answers that could not say whether tasks ran.")
UNDER_REPLICATED = metric.define(
    "job.half_held", "counter", "Jobs started while one of two registrars was silent."
)
RETRIED_CLAIMS = metric.define("job.claim_retries", "counter", "Claims tried again.")
CLAIMS = metric.define("job.claims", "gauge", "Claims held in memory as a registrar.")
KEPT_BYTES = metric.define("job.kept_bytes", "gauge", "Bytes of answers kept for resubmissions.")
CANCELLED = metric.define("job.cancelled", "counter", "Jobs ended by a cancellation here.")
TRANSFERRED = metric.define(
    "job.transferred", "counter", "Claims sent to new registrars after a change of members."
)
