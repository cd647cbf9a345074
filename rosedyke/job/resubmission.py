"""Claims of resubmissions, in every data centre, as the first attempt may have run in any.

The first registrar of the first data centre in name order is the arbiter: it is asked alone, so
that only one of several concurrent claimants proceeds.  All others are then asked concurrently.
"""

from rosedyke.job import claim, claiming, instance
from rosedyke.wire import peer

Pairs = dict[str, tuple[peer.Peer, ...]]


def claim_everywhere(
    node: instance.Instance, tracked: instance.TrackedJob, claim_deadline: float
) -> claiming.ClaimResult:
    """Claim in every data centre until granted or refused, or ``claim_deadline`` passes."""
    job_id = tracked.job.request.job_id
    while True:
        pairs = {centre: node.registrars(job_id, centre) for centre in node.data_centres()}
        replies = claim_through_arbiter(node, tracked, pairs)
        result = decide(pairs, replies)
        if result is not None:
            return result
        ungranted = tuple(centre for centre, pair in pairs.items() if not is_granted(pair, replies))
        if not ungranted:
            return claiming.ClaimResult(claiming.GRANTED)
        if not claiming.wait_before_retry(node, claim_deadline) or tracked.job.is_closed:
            return claiming.ClaimResult(claim.Outcome.UNSETTLED, ungranted=ungranted)


def claim_through_arbiter(
    node: instance.Instance, tracked: instance.TrackedJob, pairs: Pairs
) -> dict[peer.Peer, object]:
    """Request the claim from the arbiter and, unless it is held, from all other registrars."""
    timeout_s = node.settings.silence_s
    for pair in pairs.values():
        tracked.contacted.update(pair)
    arbiter_pair = next(iter(pairs.values()))
    arbiter = arbiter_pair[0] if arbiter_pair else None
    replies = {}
    if arbiter is not None:
        replies = node.request_all([arbiter], node.claim_request(tracked, arbiter_pair), timeout_s)
        if claiming.outcome_of(replies[arbiter]) is claim.Outcome.HELD:
            return replies
    tasks = []
    for pair in pairs.values():
        targets = [registrar for registrar in pair if registrar != arbiter]
        tasks.append(node.runtime.spawn(claim_at_pair, node, tracked, pair, targets, replies))
    for task in tasks:
        task.wait()
    return replies


def claim_at_pair(node, tracked, pair, targets, replies):
    """Request the claim from registrars of one data centre and add their replies."""
    message = node.claim_request(tracked, pair)
    replies.update(node.request_all(targets, message, node.settings.silence_s))


def decide(pairs: Pairs, replies: dict[peer.Peer, object]) -> claiming.ClaimResult | None:
    """Return the result of highest precedence of any data centre, None to retry."""
    results = [claiming.decide(pair, replies) for pair in pairs.values()]
    for outcome in claiming.OUTCOME_PRECEDENCE:
        for result in results:
            if result is not None and result.outcome is outcome:
                return result
    return None


def is_granted(pair: tuple[peer.Peer, ...], replies: dict[peer.Peer, object]) -> bool:
    """Return whether every registrar of a data centre granted the claim.

    A first attempt may have started with the grant of one registrar, so all must be asked.
    """
    if not pair:
        return False
    return all(
        claiming.outcome_of(replies.get(registrar)) is claiming.GRANTED for registrar in pair
    )
