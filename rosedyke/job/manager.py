"""Jobs of one entry instance, from a caller's submission to its final answer."""

from rosedyke import runtime
from rosedyke.job import (
    answer,
    attaching,
    authority,
    claiming,
    code,
    events,
    fence,
    handover,
    instance,
    job,
    kept,
    locating,
    messages,
    metrics,
    ports,
    registrar,
    running,
    settings,
    status,
    submission,
)
from rosedyke.membership import member
from rosedyke.membership import ports as membership_ports
from rosedyke.observe import event, metric
from rosedyke.wire import peer

NO = answer.Ran.NO
UNKNOWN = answer.Ran.UNKNOWN
SWEEP_S = 1.0
# The most of a caller's timeout that the margin for its answer may take.
MARGIN_SHARE = 0.1
LEAVE_S = 2.0
# Kept from the end of a drain for leaving and handing over.
HANDOVER_S = 2.0
RETRY_AFTER_S = 1.0
DRAIN_STEP_S = 0.005


class JobManager:
    """Accepts submissions, claims their jobs, and gives each caller its own whole answer.

    Parameters
    ----------
    limits : JobSettings
        Bounds.
    clock : Runtime
        Time and tasks.
    peers : Peers
        The other instances.
    membership : Membership
        Who is alive.
    dispatcher : Dispatcher
        Runs the tasks of claimed jobs.
    """

    def __init__(
        self,
        limits: settings.JobSettings,
        clock: runtime.Runtime,
        peers: peer.Peers,
        membership: membership_ports.Membership,
        dispatcher: ports.Dispatcher,
    ):
        self.is_draining = False
        self.node = instance.Instance(
            limits,
            clock,
            peers,
            membership,
            dispatcher,
            authority.Authority(
                membership.own.peer, membership.view, clock.now(), limits.claim_life_s
            ),
            registrar.Registrar(limits.claim_life_s, limits.max_claims),
            kept.KeptAnswers(limits.kept_answers_s, limits.kept_answer_bytes),
        )
        self.runner = running.Runner(self.node, self._refusal)
        self.fence = fence.Fence(limits, clock, self._end_paused, self._is_counted_alive)

    # Life

    def start(self) -> None:
        """Answer peers and follow the membership."""
        node = self.node
        handlers = {
            messages.ClaimRequest: claiming.answer_claim,
            messages.AttachRequest: attaching.answer_attach,
            messages.ReleaseRequest: take_release,
            messages.CancelRequest: locating.answer_cancel,
            messages.LocateRequest: locating.answer_locate,
            messages.FindRequest: locating.answer_find,
            messages.TransferRequest: handover.take_transfer,
            messages.Registered: handover.take_acknowledgement,
            messages.HandoverRequest: handover.take_handover,
        }
        for message_type, handler in handlers.items():
            node.peers.handle(message_type, self._bind(handler))
        node.membership.subscribe(self._on_view)
        node.runtime.spawn(self.fence.run)
        node.runtime.spawn(self._sweep)
        node.runtime.spawn(handover.register, node)

    def stop(self) -> None:
        """End what still runs with truthful failures; nothing is handed over."""
        self.node.is_stopped = True
        self.fence.is_stopped = True
        for held in list(self.node.held.values()):
            held.job.fail(code.Code.STOPPED, "The instance stopped.")

    def drain(self, timeout_s: float) -> bool:
        """Take no more jobs, let the present ones end, and hand claims and answers over.

        Returns
        -------
        bool
            Whether every job ended by itself and everything was handed over in time.
        """
        node = self.node
        self.is_draining = True
        give_up = node.now() + timeout_s
        job_limit = give_up - min(HANDOVER_S, timeout_s / 2)
        while node.held and node.now() < job_limit:
            first = next(iter(node.held.values()))
            first.ended.wait(max(0.0, job_limit - node.now()))
            # An ended job is still held while its claim is given back, which takes messages.
            # Without a pause this loop would take the whole processor meanwhile.
            node.runtime.sleep(DRAIN_STEP_S)
        is_whole = not node.held
        for held in list(node.held.values()):
            held.job.fail(code.Code.STOPPED, "The instance was drained.")
        node.runtime.sleep(0)
        # From here on no other instance takes this one for a registrar.
        node.membership.leave(max(0.0, min(LEAVE_S, give_up - node.now())))
        is_whole = handover.hand_over(node, give_up) and is_whole
        if is_whole:
            self._say_farewell()
        event.log(events.DRAINED, whole=is_whole)
        return is_whole

    def on_pause(self) -> None:
        """Send nothing that still waits: the instance was stopped, until it has re-joined."""
        self.fence.close()

    # Callers

    def submit(self, request: submission.Submission) -> answer.Answer:
        """Run a job, or find the run that an earlier attempt began; return its final answer."""
        node = self.node
        metric.count(metrics.SUBMITTED)
        known = self._known_here(request)
        if known is not None:
            return known
        deadline = self._deadline(request)
        held = instance.Held(
            job.Job(request, deadline, fence=self.fence.check), node.runtime.signal()
        )
        held.job.is_claimed = False
        held.job.on_close.append(lambda closed: self.runner.on_close(held))
        node.held[request.job_id] = held
        node.runtime.spawn(self.runner.serve, held)
        if not held.ended.wait(max(0.0, deadline - node.now())):
            held.job.fail(code.Code.DEADLINE, "The answer was not there in time.")
        self._count(held.job.answer)
        return held.job.answer

    def cancel(self, job_id: str) -> status.Status:
        """End a job wherever it runs; its waiting tasks never start."""
        return locating.cancel(self.node, job_id)

    def find(self, job_id: str) -> status.Status:
        """Return a job's state or kept answer, wherever it is."""
        return locating.find(self.node, job_id)

    # One submission

    def _deadline(self, request: submission.Submission) -> float:
        margin_s = min(self.node.settings.answer_margin_s, MARGIN_SHARE * request.timeout_s)
        return self.node.now() + request.timeout_s - margin_s

    def _known_here(self, request: submission.Submission) -> answer.Answer | None:
        node = self.node
        if request.age_s > node.settings.max_age_s:
            detail = f"Jobs older than {node.settings.max_age_s:.0f} s are not looked up."
            return answer.Answer(request.job_id, code.Code.TOO_OLD, UNKNOWN, detail=detail)
        held = node.held.get(request.job_id)
        while held is not None:
            final = self._wait_with(held, request)
            if final is not None:
                return final
            node.runtime.sleep(node.settings.retry_delay_s / 10)
            held = node.held.get(request.job_id)
        entry = node.kept.find(request.job_id)
        if entry is None:
            return None
        if entry.digest != request.digest:
            return attaching.other_body(request.job_id)
        # After "not run" a higher attempt may run.
        return None if entry.answer.ran is NO else entry.answer

    def _wait_with(
        self, held: instance.Held, request: submission.Submission
    ) -> answer.Answer | None:
        if held.job.request.digest != request.digest:
            return attaching.other_body(request.job_id)
        node = self.node
        metric.count(metrics.ATTACHED)
        deadline = self._deadline(request)
        if held.ended.wait(max(0.0, deadline - node.now())):
            # Another attempt's "not run" doesn't bind a later one.
            is_other = held.job.request.attempt != request.attempt
            return None if is_other and held.job.answer.ran is NO else held.job.answer
        detail = "The job still runs; the answer was not there in time."
        return answer.Answer(request.job_id, code.Code.DEADLINE, UNKNOWN, detail=detail)

    def _refusal(self, request: submission.Submission) -> ports.Refusal | None:
        if self.is_draining or self.node.is_stopped:
            return ports.Refusal(
                code.Code.DRAINING, "This instance takes no more jobs.", RETRY_AFTER_S
            )
        if self.node.membership.own.state is member.State.JOINING or self.fence.is_closed:
            return ports.Refusal(
                code.Code.NOT_READY, "This instance has not joined yet.", RETRY_AFTER_S
            )
        if self.node.membership.is_isolated():
            return ports.Refusal(
                code.Code.NOT_READY, "This instance may be cut off.", RETRY_AFTER_S
            )
        return self.node.dispatcher.check(request)

    # Peers, membership, time

    def _bind(self, handler):
        return lambda sender, message: handler(self.node, sender, message)

    def _on_view(self, old: member.View, new: member.View) -> None:
        node = self.node
        now = node.now()
        own = node.membership.own.peer
        if own.incarnation != node.authority.own.incarnation:
            node.authority = authority.Authority(own, new, now, node.settings.claim_life_s)
            self.fence.open()
            node.runtime.spawn(handover.register, node)
        elif node.authority.change(new, now):
            node.runtime.spawn(handover.register, node)

    def _end_paused(self) -> None:
        event.log(events.PAUSED, jobs=len(self.node.held))
        for held in list(self.node.held.values()):
            # Once a task was sent, every further attempt would get this same answer.
            is_final = held.is_started and held.job.ran() is not NO
            retry_after_s = None if is_final else RETRY_AFTER_S
            held.job.fail(code.Code.STOPPED, "The instance stood still.", retry_after_s)

    def _is_counted_alive(self) -> bool:
        own = self.node.membership.own
        is_present_life = own.peer.incarnation == self.node.own.incarnation
        is_serving = own.state in member.SERVING_STATES
        return is_present_life and is_serving and self.node.membership.is_confirmed()

    def _say_farewell(self) -> None:
        node = self.node
        note = node.authority.registered(node.now(), is_final=True)
        targets = [one for one in node.authority.members.present.values() if one != node.own]
        node.ask(targets, note, node.settings.transfer_timeout_s)

    def _sweep(self) -> None:
        node = self.node
        while not self.node.is_stopped:
            node.runtime.sleep(SWEEP_S)
            node.registrar.expire(node.now())
            node.kept.expire(node.now())
            if len(node.registrar.claims) >= node.settings.max_claims:
                event.log(events.REGISTRAR_FULL, claims=len(node.registrar.claims))
            metric.gauge(metrics.CLAIMS, len(node.registrar.claims))

    @staticmethod
    def _count(final: answer.Answer) -> None:
        if final.ran is UNKNOWN:
            metric.count(metrics.UNKNOWN)


def take_release(
    node: instance.Instance, sender: peer.Peer, request: messages.ReleaseRequest
) -> messages.Done:
    """Carry out a release as a registrar."""
    node.registrar.release(sender, request, node.now())
    return messages.Done()
