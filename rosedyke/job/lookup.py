"""Lookup and cancellation of a job from any instance, via the job's registrars."""

from rosedyke.job import code, instance, messages, metrics, status, steps
from rosedyke.observe import metric, step
from rosedyke.wire import peer


def find(node: instance.Instance, job_id: str) -> status.Status:
    """Return a job's state or cached answer."""
    local_status = find_local(node, job_id)
    if local_status is not None:
        return local_status
    holder, is_certain = locate(node, job_id)
    if holder is None:
        state = status.State.NOT_FOUND if is_certain else status.State.UNREACHABLE
        return status.Status(job_id, state)
    return query_holder(node, job_id, holder, messages.FindRequest(job_id))


def cancel(node: instance.Instance, job_id: str) -> status.Status:
    """Cancel a job at whichever instance holds it; return its state afterwards."""
    if cancel_local(node, job_id) or node.answer_cache.find(job_id) is not None:
        return find_local(node, job_id)
    holder, is_certain = locate(node, job_id)
    if holder is None:
        state = status.State.NOT_FOUND if is_certain else status.State.UNREACHABLE
        return status.Status(job_id, state)
    step.reach(steps.CANCEL_LOCATED, node.own.name)
    return query_holder(node, job_id, holder, messages.CancelRequest(job_id))


def find_local(node: instance.Instance, job_id: str) -> status.Status | None:
    """Return a job's state if it is in progress or cached on this instance, else None."""
    tracked = node.tracked_jobs.get(job_id)
    if tracked is not None:
        state = status.State.ENDED if tracked.job.is_closed else status.State.RUNNING
        return status.Status(job_id, state, tracked.job.answer, node.own.name)
    entry = node.answer_cache.find(job_id)
    if entry is not None:
        return status.Status(job_id, status.State.ENDED, entry.answer, node.own.name)
    return None


def cancel_local(node: instance.Instance, job_id: str) -> bool:
    """Cancel a job that this instance claims or runs, without blocking."""
    tracked = node.tracked_jobs.get(job_id)
    if tracked is None or not tracked.has_claim:
        return False
    if not tracked.job.is_closed:
        metric.count(metrics.CANCELLED)
        tracked.job.fail(code.Code.CANCELLED, "The job was cancelled.")
    return True


def locate(node: instance.Instance, job_id: str) -> tuple[peer.Peer | None, bool]:
    """Return a job's holder if there is one, and whether the result is certain.

    The local data centre is queried first, as most lookups are made where the job was submitted.
    """
    local_pair = node.registrars(job_id, node.own.data_centre)
    remote_registrars = [
        registrar
        for centre in node.data_centres()
        if centre != node.own.data_centre
        for registrar in node.registrars(job_id, centre)
    ]
    is_certain = True
    for targets in (local_pair, remote_registrars):
        replies = node.request_all(targets, messages.LocateRequest(job_id), node.settings.silence_s)
        for reply in replies.values():
            if isinstance(reply, messages.LocateReply) and reply.holder is not None:
                return reply.holder, True
            is_certain = is_certain and isinstance(reply, messages.LocateReply)
    has_registrars = all(node.registrars(job_id, centre) for centre in node.data_centres())
    return None, is_certain and has_registrars


def query_holder(
    node: instance.Instance, job_id: str, holder: peer.Peer, message: object
) -> status.Status:
    """Send a find or cancel request to the holder and return the state that it reports."""
    try:
        reply = node.peers.request(holder, message, node.settings.attach_poll_s)
    except peer.PeerError:
        return status.Status(job_id, status.State.UNREACHABLE, None, holder.name)
    return status.Status(job_id, reply.state, reply.answer, holder.name)


def handle_locate(
    node: instance.Instance, sender: peer.Peer, request: messages.LocateRequest
) -> messages.LocateReply:
    """Handle a request for the holder of a job."""
    record = node.registrar.find(request.job_id)
    return messages.LocateReply(record.holder if record is not None else None)


def handle_find(
    node: instance.Instance, sender: peer.Peer, request: messages.FindRequest
) -> messages.FindReply:
    """Handle a request for the state of a job."""
    local_status = find_local(node, request.job_id)
    if local_status is None:
        return messages.FindReply(status.State.NOT_FOUND)
    return messages.FindReply(local_status.state, local_status.answer)


def handle_cancel(
    node: instance.Instance, sender: peer.Peer, request: messages.CancelRequest
) -> messages.FindReply:
    """Handle a cancellation of a job."""
    cancel_local(node, request.job_id)
    return handle_find(node, sender, request)
