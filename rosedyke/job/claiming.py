"""Claiming a first attempt's job at the two registrars of the own data centre.

The registrar that ranks first decides between rivals: nobody starts without its grant.  The
second keeps a copy that outlives the holder and the first registrar.
"""

import attrs

from rosedyke.job import authority, claim, instance, messages, metrics, steps
from rosedyke.observe import metric, step
from rosedyke.wire import peer

GRANTED = claim.Outcome.GRANTED
# From the strongest: a claim that is found tells most about the job.
DECIDING = (
    claim.Outcome.HELD,
    claim.Outcome.OTHER_BODY,
    claim.Outcome.CLOSED,
    claim.Outcome.HISTORY_LOST,
    claim.Outcome.FULL,
)


@attrs.frozen
class Verdict:
    """How a claim ended.

    Attributes
    ----------
    outcome : Outcome
        ``UNSETTLED`` when registrars stayed silent or not authoritative.
    holder : Peer or None
        Who holds the claim if another does.
    silent : tuple of str
        Data centres that gave no grant.
    """

    outcome: claim.Outcome
    holder: peer.Peer | None = None
    silent: tuple[str, ...] = ()


def outcome_of(reply: object) -> claim.Outcome | None:
    """Return a reply's outcome; None for a silent registrar."""
    return reply.outcome if isinstance(reply, messages.ClaimReply) else None


def decide(pair: tuple[peer.Peer, ...], replies: dict[peer.Peer, object]) -> Verdict | None:
    """Return the verdict that a pair's replies force, None if more tries make sense.

    The second registrar may have granted to a rival that the first refused.  That rival makes
    way, so who has the first one's grant goes on asking; were both to make way, neither would
    run, and were neither, both would.
    """
    first_granted = bool(pair) and outcome_of(replies.get(pair[0])) is GRANTED
    for deciding in DECIDING:
        for one in pair:
            reply = replies.get(one)
            if outcome_of(reply) is not deciding:
                continue
            if deciding is claim.Outcome.HELD and first_granted:
                continue
            return Verdict(deciding, reply.holder)
    return None


def is_enough(own: peer.Peer, pair: tuple[peer.Peer, ...], replies: dict) -> bool:
    """Return whether a job may start on these grants.

    With the holder as the only one that remembers, its death would take the proof along that
    the job may have run, and a resubmission would run it again.
    """
    granted = [one for one in pair if outcome_of(replies.get(one)) is GRANTED]
    if not pair or pair[0] not in granted:
        return False
    is_alone = len(pair) == 1
    return is_alone or any(one != own for one in granted)


def claim_first(node: instance.Instance, held: instance.Held, give_up: float) -> Verdict:
    """Claim the job until granted, refused, or ``give_up`` seconds by the clock have come."""
    job_id = held.job.request.job_id
    while True:
        pair = node.registrars(job_id, node.own.data_centre)
        held.places.update(pair)
        replies = node.ask(pair, node.claim_request(held, pair), node.settings.silence_s)
        verdict = decide(pair, replies)
        if verdict is not None:
            return verdict
        granted = [one for one in pair if outcome_of(replies.get(one)) is GRANTED]
        contended = any(outcome_of(reply) is claim.Outcome.HELD for reply in replies.values())
        if is_enough(node.own, pair, replies) and not contended:
            if len(granted) < len(pair):
                metric.count(metrics.HALF_HELD)
                node.half_held.add(job_id)
                node.runtime.spawn(complete, node, held)
            return Verdict(GRANTED)
        if not pause(node, give_up) or held.job.is_closed:
            return Verdict(claim.Outcome.UNSETTLED, silent=(node.own.data_centre,))


def pause(node: instance.Instance, give_up: float) -> bool:
    """Wait before the next try; return false when there is no time for one."""
    delay = node.settings.retry_delay_s * (0.5 + node.runtime.random())
    if node.now() + delay >= give_up:
        return False
    metric.count(metrics.RETRIED_CLAIMS)
    node.runtime.sleep(delay)
    return True


def complete(node: instance.Instance, held: instance.Held) -> None:
    """Bring a half-held claim to the registrar that was silent when the job started."""
    job_id = held.job.request.job_id
    end = node.now() + node.settings.claim_life_s
    delay = node.settings.silence_s
    while node.now() < end and job_id in node.half_held:
        node.runtime.sleep(delay)
        delay = min(2 * delay, 1.0)
        pair = node.registrars(job_id, node.own.data_centre)
        if not held.is_holding:
            break
        held.places.update(pair)
        replies = node.ask(pair, node.claim_request(held, pair), node.settings.silence_s)
        if all(outcome_of(replies.get(one)) is GRANTED for one in pair):
            break
    node.half_held.discard(job_id)


def close_attempt(node: instance.Instance, held: instance.Held) -> Verdict:
    """Close a refused first attempt, so that a delayed copy of it can't run after "not run".

    One grant of the first registrar is enough, since nobody starts without it.
    """
    request = held.job.request
    pair = node.registrars(request.job_id, node.own.data_centre)
    closes = claim.closing_attempt(request.attempt)
    message = node.claim_request(held, pair, closes)
    step.reach(steps.CLOSE_ASKING, node.own.name)
    replies = node.ask(pair, message, node.settings.silence_s)
    verdict = decide(pair, replies)
    if verdict is not None:
        return verdict
    if pair and outcome_of(replies.get(pair[0])) is GRANTED:
        return Verdict(GRANTED)
    return Verdict(claim.Outcome.UNSETTLED, silent=(node.own.data_centre,))


def answer_claim(
    node: instance.Instance, sender: peer.Peer, request: messages.ClaimRequest
) -> messages.ClaimReply:
    """Decide on a claim as a registrar."""
    reply = decide_as_registrar(node, sender, request)
    step.reach(steps.CLAIM_DECIDED, node.own.name)
    return reply


def decide_as_registrar(
    node: instance.Instance, sender: peer.Peer, request: messages.ClaimRequest
) -> messages.ClaimReply:
    """Grant a claim or say why not, without blocking, so that decisions have an order."""
    now = node.now()
    decision = node.registrar.conflict(sender, request, now)
    if decision is not None:
        return messages.ClaimReply(decision.outcome, decision.holder)
    if not may_grant(node, sender, request):
        return messages.ClaimReply(claim.Outcome.UNSETTLED)
    if not is_past_known(node, request, now):
        return messages.ClaimReply(claim.Outcome.HISTORY_LOST)
    node.registrar.grant(sender, request, now)
    return messages.ClaimReply(GRANTED)


def is_past_known(node: instance.Instance, request: messages.ClaimRequest, now: float) -> bool:
    """Return whether "never seen" proves that nothing of the job was started.

    A first attempt may be the copy of one that ran under registrars that have died since: its
    tasks would start twice.  Only jobs whose claim can have died with them are refused, and
    only while such a copy can still come; the caller's second attempt states its age and runs.
    """
    if request.attempt == 1:
        return not node.authority.may_have_lost(request.job_id, node.settings.repeat_s, now)
    age_s = request.age_s + node.settings.age_slack_s
    return node.authority.can_vouch(request.job_id, age_s, now)


def may_grant(node: instance.Instance, sender: peer.Peer, request: messages.ClaimRequest) -> bool:
    """Return whether a grant of this registrar excludes every other holder.

    A sender that is not a member here doesn't move its claims on a change of members.  Two
    pairs that differ would each let a rival start.  An unsettled registrar may not have been
    told of a claim yet.  One that leaves would take the claim along.  An isolated one may be dead
    to its peers, which would let a rival start; closing an attempt starts nothing.
    """
    if node.is_leaving or (node.membership.is_isolated() and not request.closes):
        return False
    is_own_centre = sender.data_centre == node.own.data_centre
    if is_own_centre and not node.authority.knows(sender):
        return False
    pair = node.authority.registrars(request.job_id)
    if request.registrars != tuple(authority.identity(one) for one in pair):
        return False
    return node.authority.is_settled_for(request.job_id)
