"""Claims of first attempts, at the job's two registrars in the local data centre.

The first registrar in rank order arbitrates between concurrent claimants: no job starts without
its grant.  The second stores a replica of the claim that survives the holder and the first.
"""

import attrs

from rosedyke.job import authority, claim, instance, messages, metrics, steps
from rosedyke.observe import metric, step
from rosedyke.wire import peer

GRANTED = claim.Outcome.GRANTED
# Outcomes other than a grant that end claiming, in order of precedence: an existing claim says most
# about the job.
OUTCOME_PRECEDENCE = (
    claim.Outcome.HELD,
    claim.Outcome.OTHER_BODY,
    claim.Outcome.CLOSED,
    claim.Outcome.HISTORY_LOST,
    claim.Outcome.FULL,
)


@attrs.frozen
class ClaimResult:
    """Result of claiming a job.

    Attributes
    ----------
    outcome : Outcome
        ``UNSETTLED`` if registrars remained unresponsive or not authoritative.
    holder : Peer or None
        The holder of the claim if it is another instance.
    ungranted : tuple of str
        Data centres that did not grant the claim.
    """

    outcome: claim.Outcome
    holder: peer.Peer | None = None
    ungranted: tuple[str, ...] = ()


def outcome_of(reply: object) -> claim.Outcome | None:
    """Return a reply's outcome; None if the registrar did not reply."""
    return reply.outcome if isinstance(reply, messages.ClaimReply) else None


def decide(pair: tuple[peer.Peer, ...], replies: dict[peer.Peer, object]) -> ClaimResult | None:
    """Return the result determined by a pair's replies, None if the claim should be retried.

    The second registrar may have granted to a concurrent claimant that the first refused.  The
    claimant with the first registrar's grant keeps retrying and the other withdraws, so that
    exactly one of them runs the job.
    """
    first_granted = bool(pair) and outcome_of(replies.get(pair[0])) is GRANTED
    for decisive in OUTCOME_PRECEDENCE:
        for registrar in pair:
            reply = replies.get(registrar)
            if outcome_of(reply) is not decisive:
                continue
            if decisive is claim.Outcome.HELD and first_granted:
                continue
            return ClaimResult(decisive, reply.holder)
    return None


def has_enough_grants(own: peer.Peer, pair: tuple[peer.Peer, ...], replies: dict) -> bool:
    """Return whether a job may start with these grants.

    The claim must be stored on an instance besides the holder.  Otherwise it is lost if the
    holder dies, and a resubmission would run the job again.
    """
    granted = [registrar for registrar in pair if outcome_of(replies.get(registrar)) is GRANTED]
    if not pair or pair[0] not in granted:
        return False
    is_only_registrar = len(pair) == 1
    return is_only_registrar or any(registrar != own for registrar in granted)


def claim_first_attempt(
    node: instance.Instance, tracked: instance.TrackedJob, claim_deadline: float
) -> ClaimResult:
    """Retry the claim until it is granted or refused, or ``claim_deadline`` passes."""
    job_id = tracked.job.request.job_id
    while True:
        pair = node.registrars(job_id, node.own.data_centre)
        tracked.contacted.update(pair)
        replies = node.request_all(pair, node.claim_request(tracked, pair), node.settings.silence_s)
        result = decide(pair, replies)
        if result is not None:
            return result
        granted = [registrar for registrar in pair if outcome_of(replies.get(registrar)) is GRANTED]
        is_contended = any(outcome_of(reply) is claim.Outcome.HELD for reply in replies.values())
        if has_enough_grants(node.own, pair, replies) and not is_contended:
            if len(granted) < len(pair):
                metric.count(metrics.UNDER_REPLICATED)
                node.under_replicated.add(job_id)
                node.runtime.spawn(replicate_claim, node, tracked)
            return ClaimResult(GRANTED)
        if not wait_before_retry(node, claim_deadline) or tracked.job.is_closed:
            return ClaimResult(claim.Outcome.UNSETTLED, ungranted=(node.own.data_centre,))


def wait_before_retry(node: instance.Instance, claim_deadline: float) -> bool:
    """Sleep before a retry; return false if the deadline leaves no time for one."""
    delay = node.settings.retry_delay_s * (0.5 + node.runtime.random())
    if node.now() + delay >= claim_deadline:
        return False
    metric.count(metrics.RETRIED_CLAIMS)
    node.runtime.sleep(delay)
    return True


def replicate_claim(node: instance.Instance, tracked: instance.TrackedJob) -> None:
    """Replicate a claim to the registrar that did not reply before the job started."""
    job_id = tracked.job.request.job_id
    retry_deadline = node.now() + node.settings.claim_life_s
    delay = node.settings.silence_s
    while node.now() < retry_deadline and job_id in node.under_replicated:
        node.runtime.sleep(delay)
        delay = min(2 * delay, 1.0)
        pair = node.registrars(job_id, node.own.data_centre)
        if not tracked.has_claim:
            break
        tracked.contacted.update(pair)
        replies = node.request_all(pair, node.claim_request(tracked, pair), node.settings.silence_s)
        if all(outcome_of(replies.get(registrar)) is GRANTED for registrar in pair):
            break
    node.under_replicated.discard(job_id)


def close_attempt(node: instance.Instance, tracked: instance.TrackedJob) -> ClaimResult:
    """Close a refused first attempt, so that a delayed duplicate cannot run it.

    The grant of the first registrar is sufficient, as no job starts without it.
    """
    request = tracked.job.request
    pair = node.registrars(request.job_id, node.own.data_centre)
    closes = claim.closing_attempt(request.attempt)
    message = node.claim_request(tracked, pair, closes)
    step.reach(steps.CLOSE_ASKING, node.own.name)
    replies = node.request_all(pair, message, node.settings.silence_s)
    result = decide(pair, replies)
    if result is not None:
        return result
    if pair and outcome_of(replies.get(pair[0])) is GRANTED:
        return ClaimResult(GRANTED)
    return ClaimResult(claim.Outcome.UNSETTLED, ungranted=(node.own.data_centre,))


def handle_claim(
    node: instance.Instance, sender: peer.Peer, request: messages.ClaimRequest
) -> messages.ClaimReply:
    """Handle a claim request as a registrar."""
    reply = decide_as_registrar(node, sender, request)
    step.reach(steps.CLAIM_DECIDED, node.own.name)
    return reply


def decide_as_registrar(
    node: instance.Instance, sender: peer.Peer, request: messages.ClaimRequest
) -> messages.ClaimReply:
    """Grant or refuse a claim.  Must not block, so that decisions are serialised."""
    now = node.now()
    decision = node.registrar.conflict(sender, request, now)
    if decision is not None:
        return messages.ClaimReply(decision.outcome, decision.holder)
    if not may_grant(node, sender, request):
        return messages.ClaimReply(claim.Outcome.UNSETTLED)
    if not is_history_known(node, request, now):
        return messages.ClaimReply(claim.Outcome.HISTORY_LOST)
    node.registrar.grant(sender, request, now)
    return messages.ClaimReply(GRANTED)


def is_history_known(node: instance.Instance, request: messages.ClaimRequest, now: float) -> bool:
    """Return whether a missing claim proves that no task of the job started.

    A first attempt may duplicate one whose registrars have died since, which would start its
    tasks twice.  It is refused only if deaths may have lost the claim, and only while such a
    duplicate may still arrive; the caller's second attempt states its age and runs.
    """
    if request.attempt == 1:
        return not node.authority.may_have_lost_claim(request.job_id, node.settings.repeat_s, now)
    age_s = request.age_s + node.settings.age_slack_s
    return node.authority.has_complete_history(request.job_id, age_s, now)


def may_grant(node: instance.Instance, sender: peer.Peer, request: messages.ClaimRequest) -> bool:
    """Return whether a grant by this registrar excludes every other holder.

    - The claim of a sender that is not a member would be lost on a membership change.
    - Different registrar pairs could grant to different claimants.
    - An unsettled registrar may not have received an existing claim yet.
    - A leaving registrar has handed over its claims, so a new one would be lost.
    - An isolated registrar may have been declared dead, and its successor could grant to another
      claimant.  It may still close attempts, which starts no task.
    """
    if node.is_leaving or (node.membership.is_isolated() and not request.closes):
        return False
    is_local = sender.data_centre == node.own.data_centre
    if is_local and not node.authority.is_current_member(sender):
        return False
    pair = node.authority.registrars(request.job_id)
    if request.registrars != tuple(authority.identity(registrar) for registrar in pair):
        return False
    return node.authority.is_settled_for(request.job_id)
