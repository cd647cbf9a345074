"""Claiming a resubmitted job: everywhere in the region, since its first attempt went anywhere.

The first registrar of the first data centre in name order is asked alone, so that of two rivals
only one goes on.  Then all others are asked at once.
"""

from rosedyke.job import claim, claiming, instance
from rosedyke.wire import peer

Pairs = dict[str, tuple[peer.Peer, ...]]


def claim_everywhere(
    node: instance.Instance, held: instance.Held, give_up: float
) -> claiming.Verdict:
    """Claim the job in every data centre until granted, refused, or ``give_up`` has come."""
    job_id = held.job.request.job_id
    while True:
        pairs = {centre: node.registrars(job_id, centre) for centre in node.data_centres()}
        replies = ask_in_order(node, held, pairs)
        verdict = decide(pairs, replies)
        if verdict is not None:
            return verdict
        silent = tuple(centre for centre, pair in pairs.items() if not is_granted(pair, replies))
        if not silent:
            return claiming.Verdict(claiming.GRANTED)
        if not claiming.pause(node, give_up) or held.job.is_closed:
            return claiming.Verdict(claim.Outcome.UNSETTLED, silent=silent)


def ask_in_order(
    node: instance.Instance, held: instance.Held, pairs: Pairs
) -> dict[peer.Peer, object]:
    """Ask the registrar that serialises rivals and, on its grant, all the others."""
    timeout_s = node.settings.silence_s
    for pair in pairs.values():
        held.places.update(pair)
    gate_pair = next(iter(pairs.values()))
    gate = gate_pair[0] if gate_pair else None
    replies = {}
    if gate is not None:
        replies = node.ask([gate], node.claim_request(held, gate_pair), timeout_s)
        if claiming.outcome_of(replies[gate]) is claim.Outcome.HELD:
            return replies
    tasks = []
    for pair in pairs.values():
        targets = [one for one in pair if one != gate]
        tasks.append(node.runtime.spawn(ask_pair, node, held, pair, targets, replies))
    for task in tasks:
        task.wait()
    return replies


def ask_pair(node, held, pair, targets, replies):
    """Ask registrars of one data centre and add their replies."""
    message = node.claim_request(held, pair)
    replies.update(node.ask(targets, message, node.settings.silence_s))


def decide(pairs: Pairs, replies: dict[peer.Peer, object]) -> claiming.Verdict | None:
    """Return the strongest verdict of any data centre, None if more tries make sense."""
    verdicts = [claiming.decide(pair, replies) for pair in pairs.values()]
    for outcome in claiming.DECIDING:
        for verdict in verdicts:
            if verdict is not None and verdict.outcome is outcome:
                return verdict
    return None


def is_granted(pair: tuple[peer.Peer, ...], replies: dict[peer.Peer, object]) -> bool:
    """Return whether every registrar of a data centre granted.

    A first attempt there may have started with one registrar alone, so one is not enough.
    """
    if not pair:
        return False
    return all(claiming.outcome_of(replies.get(one)) is claiming.GRANTED for one in pair)
