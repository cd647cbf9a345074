"""Fault injection points of the claim protocol."""

from rosedyke.observe import step

CLAIM_KEPT = step.define(
    "claim.kept",
    "The claimant has recorded its own copy of a claim; the registrars are asked next.",
)
CLAIM_DECIDED = step.define(
    "claim.decided", "A registrar has decided on a claim; its reply is sent next."
)
CLAIM_GRANTED = step.define(
    "claim.granted", "The claim is granted; the job is passed to the dispatcher next."
)
CLAIM_RELEASING = step.define(
    "claim.releasing", "The holder started no task; the claim is released at the registrars next."
)
CLOSE_ASKING = step.define(
    "close.asking", "A first attempt was refused; it is closed at its registrars next."
)
ATTACH_ASKING = step.define(
    "attach.asking", "A claim was found; the answer is requested from its holder next."
)
ATTACH_ANSWERING = step.define(
    "attach.answering", "The holder has determined the state of the job; its reply is sent next."
)
JOB_ENDED = step.define(
    "job.ended", "The final answer is cached; it is returned to the caller next."
)
CANCEL_LOCATED = step.define(
    "cancel.located",
    "The holder of a job to be cancelled is located; the cancellation is sent next.",
)
TRANSFER_SENDING = step.define(
    "transfer.sending", "The members changed; claims are transferred to their new registrars next."
)
TRANSFER_ACKNOWLEDGING = step.define(
    "transfer.acknowledging",
    "The instance's claims were transferred; every member is notified next.",
)
DRAIN_ENDED = step.define(
    "drain.ended", "A draining instance has no running jobs; it hands over its state next."
)
DRAIN_ANSWERS_MOVED = step.define(
    "drain.answers_moved", "Cached answers were handed over; the claims are handed over next."
)
DRAIN_CLAIMS_MOVED = step.define(
    "drain.claims_moved", "Claims were handed over; every member is notified next."
)
