"""Transfer of claims and answers, after a membership change and on shutdown."""

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
    """Transfer claims to their registrars under the present members, then acknowledge the set.

    Returns false as soon as the members change again; that change has its own call.
    """
    members = node.authority.members
    step.reach(steps.TRANSFER_SENDING, node.own.name)
    transfers = plan_transfers(node, members)
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
    """Notify every member that this instance's claims were transferred."""
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
    """Send a message until it is answered; return false if the members change before that."""
    while node.authority.members is members:
        try:
            node.peers.request(target, message, node.settings.transfer_timeout_s)
            return True
        except peer.PeerError:
            node.runtime.sleep(node.settings.retry_delay_s * (1 + node.runtime.random()))
    return False


Transfers = dict[peer.Peer, list[messages.TransferredClaim]]


def claims_in_slices(node: instance.Instance) -> Iterator[tuple[str, claim.Claim]]:
    """Yield the claims that exist throughout, ceding the loop to other tasks after each slice."""
    for number, job_id in enumerate(list(node.registrar.claims)):
        if number and number % node.settings.transfer_slice == 0:
            node.runtime.sleep(0)
        record = node.registrar.find(job_id)
        if record is not None and record.expires > node.now():
            yield job_id, record


def plan_transfers(node: instance.Instance, members: authority.Members) -> Transfers | None:
    """Return the claims to transfer by target; None if the members changed meanwhile.

    Live holders in the local data centre transfer their own claims.  Registrars transfer those
    of dead holders and of other data centres, and closed attempts.  A claim is sent only to
    registrars that did not receive it under the last settled members.
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
    """Return whether this instance is responsible for transferring a claim."""
    holder = record.holder
    if holder is None or holder == node.own:
        return True
    return members.present.get(holder.name) != holder


def transferred_claim(job_id: str, record: claim.Claim, now: float) -> messages.TransferredClaim:
    """Return the message form of a claim."""
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
    """Record claims transferred by another instance."""
    for transfer in request.claims:
        node.registrar.accept_transfer(transfer, node.now())
    return messages.Done()


def hand_over(node: instance.Instance, deadline: float) -> bool:
    """Hand over all claims and cached answers before this instance shuts down.

    Returns
    -------
    bool
        Whether everything was accepted.
    """
    # A claim granted after the handover would be stored on this instance only, and lost.
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
    """Return the members without this instance; None if none of them can be a registrar."""
    view = node.membership.view
    members = authority.members_of(view, node.own.data_centre)
    present = {name: member for name, member in members.present.items() if member != node.own}
    serving = tuple(name for name in members.serving if name in present)
    return authority.Members(present, serving, 0) if serving else None


def hand_over_answers(node: instance.Instance, others: authority.Members, deadline: float) -> bool:
    """Move each cached answer, and the claim to its job, to the job's first registrar."""
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
    answers: list[messages.HandedOverAnswer], job_settings: settings.JobSettings
) -> Iterator[tuple[messages.HandedOverAnswer, ...]]:
    """Split answers into batches limited by count and bytes; a larger answer is sent alone."""
    batch: list[messages.HandedOverAnswer] = []
    size = 0
    for handed_over in answers:
        answer_size = answer_cache.size_of(handed_over.answer)
        is_full = (
            len(batch) >= job_settings.transfer_batch
            or size + answer_size > job_settings.transfer_bytes
        )
        if batch and is_full:
            yield tuple(batch)
            batch, size = [], 0
        batch.append(handed_over)
        size += answer_size
    if batch:
        yield tuple(batch)


def reassign_holder(node: instance.Instance, job_id: str, target: peer.Peer) -> None:
    """Make the new owner of the answer the holder of the local claim, which is handed over next."""
    record = node.registrar.find(job_id)
    if record is not None and record.holder == node.own:
        record.holder = target
        record.moves += 1


def hand_over_claims(node: instance.Instance, others: authority.Members, deadline: float) -> bool:
    """Transfer every claim to its registrars among the remaining members."""
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
    """Return the instances that must receive a claim when this instance leaves.

    A job claimed as a resubmission has claims in every data centre; if its answer was moved,
    the registrars of all of them must record the new holder.
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
    """Send a message until it is answered; return false if the deadline passes before that."""
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
    """Cache the answers of an instance that is shutting down."""
    for handed_over in request.answers:
        expires = node.now() + handed_over.life_s
        node.answer_cache.add(
            answer_cache.Entry(handed_over.answer, handed_over.digest, handed_over.attempt, expires)
        )
    return messages.Done()
