"""Attaching a submission to the run of another attempt, to return its answer."""

from rosedyke.job import answer, code, instance, messages, steps
from rosedyke.observe import step
from rosedyke.wire import peer

MAX_FAILED_REQUESTS = 3
HolderState = messages.HolderState


def attach(
    node: instance.Instance, tracked: instance.TrackedJob, holder: peer.Peer
) -> answer.Answer | None:
    """Return the holder's answer, or ``HOLDER_LOST`` if it is unreachable.

    Returns None if the holder released the claim.
    """
    request = tracked.job.request
    failed_requests = 0
    while not tracked.job.is_closed:
        target = current_incarnation(node, holder)
        if target is None:
            return holder_lost(request.job_id, holder)
        remaining_s = tracked.job.deadline - node.now()
        wait_s = max(0.0, min(node.settings.attach_poll_s, remaining_s))
        step.reach(steps.ATTACH_ASKING, node.own.name)
        attach_request = messages.AttachRequest(request.job_id, request.digest, wait_s)
        try:
            reply = node.peers.request(target, attach_request, wait_s + 3 * node.settings.silence_s)
        except peer.PeerError:
            failed_requests += 1
            if failed_requests >= MAX_FAILED_REQUESTS:
                return holder_lost(request.job_id, holder)
            node.runtime.sleep(node.settings.retry_delay_s)
            continue
        failed_requests = 0
        if reply.state is HolderState.RELEASED and target == holder:
            return None
        final = final_answer(request.job_id, holder, reply)
        if final is not None:
            return final
    return tracked.job.answer


def current_incarnation(node: instance.Instance, holder: peer.Peer) -> peer.Peer | None:
    """Return the holder's live incarnation, None if it is dead; answers survive a rejoin."""
    member_entry = node.membership.view.find(holder.name)
    if not node.is_dead(holder):
        return holder
    if member_entry is not None and member_entry.peer.incarnation > holder.incarnation:
        return None if node.is_dead(member_entry.peer) else member_entry.peer
    return None


def holder_lost(job_id: str, holder: peer.Peer) -> answer.Answer:
    """Return the answer for a lost holder; its tasks may have run and must not run again."""
    detail = f"{holder.name}, which ran the job, can't be reached. Its tasks may have run."
    return answer.Answer(job_id, code.Code.HOLDER_LOST, answer.Ran.UNKNOWN, detail=detail)


def final_answer(
    job_id: str, holder: peer.Peer, reply: messages.AttachReply
) -> answer.Answer | None:
    """Return the final answer according to a reply, None while the job runs."""
    if reply.state in (HolderState.CLAIMING, HolderState.RUNNING):
        return None
    if reply.state is HolderState.OTHER_BODY:
        return other_body_refusal(job_id)
    is_for_job = reply.answer is not None and reply.answer.job_id == job_id
    if reply.state is HolderState.ENDED and is_for_job:
        return reply.answer
    return holder_lost(job_id, holder)


def other_body_refusal(job_id: str) -> answer.Answer:
    """Return the refusal of a job id that was used with another body."""
    detail = "The job id was used before with another service or other tasks."
    return answer.Answer(job_id, code.Code.OTHER_BODY, answer.Ran.NO, detail=detail)


def handle_attach(
    node: instance.Instance, sender: peer.Peer, attach_request: messages.AttachRequest
) -> messages.AttachReply:
    """Handle a request for the answer of a job (long poll)."""
    reply = local_state(node, attach_request)
    step.reach(steps.ATTACH_ANSWERING, node.own.name)
    return reply


def local_state(
    node: instance.Instance, attach_request: messages.AttachRequest
) -> messages.AttachReply:
    """Return the local state of a job; blocks while it runs, up to the requested time."""
    tracked = node.tracked_jobs.get(attach_request.job_id)
    if tracked is not None and tracked.has_claim:
        if tracked.job.request.digest != attach_request.digest:
            return messages.AttachReply(HolderState.OTHER_BODY)
        tracked.ended.wait(attach_request.wait_s)
        if tracked.has_claim and not tracked.job.is_closed:
            return messages.AttachReply(
                HolderState.RUNNING if tracked.is_started else HolderState.CLAIMING
            )
    entry = node.answer_cache.find(attach_request.job_id)
    if entry is not None and entry.digest != attach_request.digest:
        return messages.AttachReply(HolderState.OTHER_BODY)
    if entry is not None and entry.answer.ran is answer.Ran.NO:
        return messages.AttachReply(HolderState.RELEASED, entry.answer, entry.attempt)
    if entry is not None:
        return messages.AttachReply(HolderState.ENDED, entry.answer)
    record = node.registrar.find(attach_request.job_id)
    if record is not None and record.holder == node.own:
        return messages.AttachReply(HolderState.FORGOTTEN)
    return messages.AttachReply(HolderState.RELEASED)
