"""Moving claims and answers to the instances that answer for them next."""

from collections.abc import Iterator

from rosedyke.job import (
    answer_cache,
    authority,
    claim,
    events,
    instance,
    messages,
    metrics,
    settings,
    steps,
)
from rosedyke.observe import event, metric, step
from rosedyke.wire import peer


def rebalance_claims(node: instance.Instance) -> bool:
    """Move claims to the registrars of the present members, then acknowledge these members.

    Ends early, returning false, when the members change again: that change has its own call.
    """
    members = node.authority.members
    step.reach(steps.TRANSFER_SENDING, node.own.name)
    transfers = plan(node, members)
    if transfers is None:
        return False
    for target, claims in transfers.items():
        for start in range(0, len(claims), node.settings.transfer_batch):
            batch = tuple(claims[start : start + node.settings.transfer_batch])
            if not deliver(node, members, target, messages.TransferRequest(batch)):
                return False
            metric.count(metrics.TRANSFERRED, len(batch))
    return send_acknowledgement(node, members)


def send_acknowledgement(node: instance.Instance, members: authority.Members) -> bool:
    """Tell every member that the own claims have moved."""
    if node.authority.members is not members:
        return False
    step.reach(steps.TRANSFER_ACKNOWLEDGING, node.own.name)
    ack = node.authority.acknowledgement(node.now())
    tasks = [
        node.runtime.spawn(deliver, node, members, target, ack)
        for target in members.present.values()
        if target != node.own
    ]
    handle_acknowledgement(node, node.own, ack)
    for task in tasks:
        task.wait()
    return node.authority.members is members


def handle_acknowledgement(
    node: instance.Instance, sender: peer.Peer, ack: messages.TransferAcknowledgement
) -> messages.Done:
    """Record a member's acknowledgement."""
    if node.authority.acknowledge(sender, ack, node.now()):
        event.log(events.SETTLED, members=len(node.authority.members.present))
    return messages.Done()


def deliver(
    node: instance.Instance, members: authority.Members, target: peer.Peer, message: object
) -> bool:
    """Send until it is answered; false once the members have changed."""
    while node.authority.members is members:
        try:
            node.peers.request(target, message, node.settings.transfer_timeout_s)
            return True
        except peer.PeerError:
            node.runtime.sleep(node.settings.retry_delay_s * (1 + node.runtime.random()))
    return False


Transfers = dict[peer.Peer, list[messages.TransferredClaim]]


def claims_in_slices(node: instance.Instance) -> Iterator[tuple[str, claim.Claim]]:
    """Yield the claims known at the start that are still there, letting other tasks run."""
    for number, job_id in enumerate(list(node.registrar.claims)):
        if number and number % node.settings.transfer_slice == 0:
            node.runtime.sleep(0)
        record = node.registrar.find(job_id)
        if record is not None and record.expires > node.now():
            yield job_id, record


def plan(node: instance.Instance, members: authority.Members) -> Transfers | None:
    """Return which claims have to be told to which instance; None once the members changed.

    Living holders of the own data centre bring their claims themselves.  Registrars bring the
    others: of dead holders, of other data centres, and closed attempts.  Both compare with the
    last settled members, at which the claims are known to be where they belong.
    """
    transfers: Transfers = {}
    settled_members = node.authority.member_sets[0]
    for job_id, record in claims_in_slices(node):
        if node.authority.members is not members:
            return None
        if not must_transfer(node, members, record):
            continue
        targets = set(members.registrars(job_id))
        if settled_members is not None and job_id not in node.under_replicated:
            targets -= set(settled_members.registrars(job_id))
        for target in targets - {node.own}:
            transfers.setdefault(target, []).append(transferred_claim(job_id, record, node.now()))
    return transfers


def must_transfer(node: instance.Instance, members: authority.Members, record: claim.Claim) -> bool:
    """Return whether this instance has to tell new registrars of a claim."""
    holder = record.holder
    if holder is None or holder == node.own:
        return True
    return members.present.get(holder.name) != holder


def transferred_claim(job_id: str, record: claim.Claim, now: float) -> messages.TransferredClaim:
    """Return a claim as it travels."""
    return messages.TransferredClaim(
        job_id,
        record.holder,
        record.round,
        record.attempt,
        record.closed_through,
        record.digest,
        record.expires - now,
        record.moves,
    )


def handle_transfer(
    node: instance.Instance, sender: peer.Peer, request: messages.TransferRequest
) -> messages.Done:
    """Remember claims that another instance brings."""
    for transfer in request.claims:
        node.registrar.accept_transfer(transfer, node.now())
    return messages.Done()


def hand_over(node: instance.Instance, deadline: float) -> bool:
    """Give away all claims and kept answers before this instance ends.

    Returns
    -------
    bool
        Whether everything was taken.
    """
    # A claim granted after the others were told would be known here alone, and lost.
    node.is_leaving = True
    others = remaining_members(node)
    if not others:
        return not node.answer_cache.entries and not node.registrar.claims
    step.reach(steps.DRAIN_ENDED, node.own.name)
    is_complete = hand_over_answers(node, others, deadline)
    step.reach(steps.DRAIN_ANSWERS_MOVED, node.own.name)
    is_complete = hand_over_claims(node, others, deadline) and is_complete
    step.reach(steps.DRAIN_CLAIMS_MOVED, node.own.name)
    return is_complete


def remaining_members(node: instance.Instance) -> authority.Members | None:
    """Return the members without the own instance; None if none can be a registrar."""
    view = node.membership.view
    members = authority.members_of(view, node.own.data_centre)
    present = {name: member for name, member in members.present.items() if member != node.own}
    serving = tuple(name for name in members.serving if name in present)
    return authority.Members(present, serving, 0) if serving else None


def hand_over_answers(node: instance.Instance, others: authority.Members, deadline: float) -> bool:
    """Let each job's first registrar keep its answer and hold its claim."""
    now = node.now()
    answers_by_target: dict[peer.Peer, list[messages.HandedOverAnswer]] = {}
    for number, (job_id, entry) in enumerate(list(node.answer_cache.entries.items())):
        if number and number % node.settings.transfer_slice == 0:
            node.runtime.sleep(0)
        target = others.registrars(job_id)[0]
        answer = messages.HandedOverAnswer(
            entry.answer, entry.digest, entry.attempt, entry.expires - now
        )
        answers_by_target.setdefault(target, []).append(answer)
    is_complete = True
    for target, answers in answers_by_target.items():
        for batch in batches(answers, node.settings):
            if deliver_until(node, target, messages.HandoverRequest(batch), deadline):
                for handed_over in batch:
                    reassign_holder(node, handed_over.answer.job_id, target)
            else:
                is_complete = False
    return is_complete


def batches(
    answers: list[messages.HandedOverAnswer], limits: settings.JobSettings
) -> Iterator[tuple[messages.HandedOverAnswer, ...]]:
    """Yield the answers in messages of bounded count and bytes; a large one goes alone."""
    batch: list[messages.HandedOverAnswer] = []
    size = 0
    for handed_over in answers:
        answer_size = answer_cache.size_of(handed_over.answer)
        is_full = len(batch) >= limits.transfer_batch or size + answer_size > limits.transfer_bytes
        if batch and is_full:
            yield tuple(batch)
            batch, size = [], 0
        batch.append(handed_over)
        size += answer_size
    if batch:
        yield tuple(batch)


def reassign_holder(node: instance.Instance, job_id: str, target: peer.Peer) -> None:
    """Name the keeper of the answer in the own copy of the claim, which is handed over next."""
    record = node.registrar.find(job_id)
    if record is not None and record.holder == node.own:
        record.holder = target
        record.moves += 1


def hand_over_claims(node: instance.Instance, others: authority.Members, deadline: float) -> bool:
    """Give every claim to its registrars among the others."""
    transfers: Transfers = {}
    for job_id, record in claims_in_slices(node):
        for target in recipients_of(node, others, job_id, record):
            transfers.setdefault(target, []).append(transferred_claim(job_id, record, node.now()))
    is_complete = True
    for target, claims in transfers.items():
        for start in range(0, len(claims), node.settings.transfer_batch):
            batch = tuple(claims[start : start + node.settings.transfer_batch])
            message = messages.TransferRequest(batch)
            is_complete = deliver_until(node, target, message, deadline) and is_complete
    return is_complete


def recipients_of(
    node: instance.Instance, others: authority.Members, job_id: str, record: claim.Claim
) -> set[peer.Peer]:
    """Return who has to know a claim when this instance is gone.

    A job that was claimed as a resubmission is known in every data centre; where its answer
    was moved, they all have to learn of its new keeper.
    """
    targets = set(others.registrars(job_id))
    if record.attempt != 1 and record.moves:
        for centre in node.data_centres():
            if centre != node.own.data_centre:
                targets.update(node.registrars(job_id, centre))
    return targets


def deliver_until(
    node: instance.Instance, target: peer.Peer, message: object, deadline: float
) -> bool:
    """Send until it is answered or there is no time left."""
    while node.now() < deadline:
        try:
            node.peers.request(target, message, node.settings.transfer_timeout_s)
            return True
        except peer.PeerError:
            node.runtime.sleep(node.settings.retry_delay_s)
    return False


def handle_handover(
    node: instance.Instance, sender: peer.Peer, request: messages.HandoverRequest
) -> messages.Done:
    """Keep answers of an instance that ends."""
    for handed_over in request.answers:
        expires = node.now() + handed_over.life_s
        node.answer_cache.add(
            answer_cache.Entry(handed_over.answer, handed_over.digest, handed_over.attempt, expires)
        )
    return messages.Done()
