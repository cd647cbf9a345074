"""Answering a submission with the answer of the run that another attempt began."""

from rosedyke.job import answer, code, instance, messages, steps
from rosedyke.observe import step
from rosedyke.wire import peer

SILENT_LIMIT = 3
STATE = messages.HolderState


def attach(node: instance.Instance, held: instance.Held, holder: peer.Peer) -> answer.Answer | None:
    """Return the holder's answer, or what its silence allows; None if it released the claim."""
    request = held.job.request
    silent = 0
    while not held.job.is_closed:
        target = latest(node, holder)
        if target is None:
            return lost(request.job_id, holder)
        left_s = held.job.deadline - node.now()
        wait_s = max(0.0, min(node.settings.attach_poll_s, left_s))
        step.reach(steps.ATTACH_ASKING, node.own.name)
        question = messages.AttachRequest(request.job_id, request.digest, wait_s)
        try:
            reply = node.peers.request(target, question, wait_s + 3 * node.settings.silence_s)
        except peer.PeerError:
            silent += 1
            if silent >= SILENT_LIMIT:
                return lost(request.job_id, holder)
            node.runtime.sleep(node.settings.retry_delay_s)
            continue
        silent = 0
        if reply.state is STATE.RELEASED and target == holder:
            return None
        final = conclude(request.job_id, holder, reply)
        if final is not None:
            return final
    return held.job.answer


def latest(node: instance.Instance, holder: peer.Peer) -> peer.Peer | None:
    """Return the incarnation to ask: one that re-joined still keeps its answers."""
    seen = node.membership.view.find(holder.name)
    if not node.is_dead(holder):
        return holder
    if seen is not None and seen.peer.incarnation > holder.incarnation:
        return None if node.is_dead(seen.peer) else seen.peer
    return None


def lost(job_id: str, holder: peer.Peer) -> answer.Answer:
    """Return the answer for a holder that is gone.  Its tasks may have run: never run again."""
    detail = f"{holder.name}, which ran the job, can't be reached. Its tasks may have run."
    return answer.Answer(job_id, code.Code.HOLDER_LOST, answer.Ran.UNKNOWN, detail=detail)


def conclude(job_id: str, holder: peer.Peer, reply: messages.AttachReply) -> answer.Answer | None:
    """Return the final answer that a reply gives, None while the job runs."""
    if reply.state in (STATE.CLAIMING, STATE.RUNNING):
        return None
    if reply.state is STATE.OTHER_BODY:
        return other_body(job_id)
    is_own = reply.answer is not None and reply.answer.job_id == job_id
    if reply.state is STATE.ENDED and is_own:
        return reply.answer
    return lost(job_id, holder)


def other_body(job_id: str) -> answer.Answer:
    """Return the refusal of another body under a known id."""
    detail = "The job id was used before with another service or other tasks."
    return answer.Answer(job_id, code.Code.OTHER_BODY, answer.Ran.NO, detail=detail)


def answer_attach(
    node: instance.Instance, sender: peer.Peer, question: messages.AttachRequest
) -> messages.AttachReply:
    """Say what this instance knows of a job, after waiting a while for its end."""
    reply = state_here(node, question)
    step.reach(steps.ATTACH_ANSWERING, node.own.name)
    return reply


def state_here(node: instance.Instance, question: messages.AttachRequest) -> messages.AttachReply:
    """Return what is known of a job here; blocks while it runs, up to the stated time."""
    held = node.held.get(question.job_id)
    if held is not None and held.is_holding:
        if held.job.request.digest != question.digest:
            return messages.AttachReply(STATE.OTHER_BODY)
        held.ended.wait(question.wait_s)
        if held.is_holding and not held.job.is_closed:
            return messages.AttachReply(STATE.RUNNING if held.is_started else STATE.CLAIMING)
    entry = node.kept.find(question.job_id)
    if entry is not None and entry.digest != question.digest:
        return messages.AttachReply(STATE.OTHER_BODY)
    if entry is not None and entry.answer.ran is answer.Ran.NO:
        return messages.AttachReply(STATE.RELEASED, entry.answer, entry.attempt)
    if entry is not None:
        return messages.AttachReply(STATE.ENDED, entry.answer)
    record = node.registrar.find(question.job_id)
    if record is not None and record.holder == node.own:
        return messages.AttachReply(STATE.FORGOTTEN)
    return messages.AttachReply(STATE.RELEASED)
