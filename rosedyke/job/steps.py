"""Named points of the claim protocol, between which faults can be put."""

from rosedyke.observe import step

CLAIM_KEPT = step.define(
    "claim.kept", "The asker keeps its own copy of a claim; the registrars are asked next."
)
CLAIM_DECIDED = step.define(
    "claim.decided", "A registrar has decided on a claim; its reply leaves next."
)
CLAIM_GRANTED = step.define(
    "claim.granted", "The claim is complete; the job is given to the dispatcher next."
)
CLAIM_RELEASING = step.define(
    "claim.releasing", "The holder started nothing; the registrars are told next."
)
CLOSE_ASKING = step.define(
    "close.asking", "A first attempt is refused; its registrars close it next."
)
ATTACH_ASKING = step.define("attach.asking", "A claim was found; its holder is asked next.")
ATTACH_ANSWERING = step.define(
    "attach.answering", "The holder knows what to say; its reply leaves next."
)
JOB_ENDED = step.define("job.ended", "The final answer is kept; the caller gets it next.")
CANCEL_LOCATED = step.define(
    "cancel.located", "The holder of a job to be cancelled is known; it is told next."
)
TRANSFER_SENDING = step.define(
    "transfer.sending", "Members changed; claims go to their new registrars next."
)
TRANSFER_ACKNOWLEDGING = step.define(
    "transfer.acknowledging", "The own claims have moved; every member is told next."
)
DRAIN_ENDED = step.define(
    "drain.ended", "A draining instance runs nothing any more; it hands over next."
)
DRAIN_ANSWERS_MOVED = step.define(
    "drain.answers_moved", "Kept answers were handed over; the claims follow next."
)
DRAIN_CLAIMS_MOVED = step.define(
    "drain.claims_moved", "Claims were handed over; every member is told next."
)
