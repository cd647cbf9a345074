"""Jobs of one entry instance, from a caller's submission to its final answer."""

from rosedyke import runtime
from rosedyke.job import (
    answer,
    attaching,
    authority,
    claim,
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
    resubmission,
    settings,
    status,
    steps,
    submission,
)
from rosedyke.membership import member
from rosedyke.membership import ports as membership_ports
from rosedyke.observe import event, metric, step
from rosedyke.wire import peer

NO = answer.Ran.NO
UNKNOWN = answer.Ran.UNKNOWN
SWEEP_S = 1.0
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
        self.is_stopped = False
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
        self.fence = fence.Fence(limits, clock, self._end_paused)

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
        self.is_stopped = True
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
        job_limit = give_up - node.settings.transfer_timeout_s
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
        deadline = node.now() + request.timeout_s - node.settings.answer_margin_s
        held = instance.Held(
            job.Job(request, deadline, fence=self.fence.check), node.runtime.signal()
        )
        held.job.is_claimed = False
        held.job.on_close.append(lambda closed: self._on_close(held))
        node.held[request.job_id] = held
        node.runtime.spawn(self._serve, held)
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
            node.runtime.sleep(0)
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
        deadline = node.now() + request.timeout_s - node.settings.answer_margin_s
        if held.ended.wait(max(0.0, deadline - node.now())):
            # Another attempt's "not run" doesn't bind a later one.
            is_other = held.job.request.attempt != request.attempt
            return None if is_other and held.job.answer.ran is NO else held.job.answer
        detail = "The job still runs; the answer was not there in time."
        return answer.Answer(request.job_id, code.Code.DEADLINE, UNKNOWN, detail=detail)

    def _serve(self, held: instance.Held) -> None:
        node = self.node
        job_id = held.job.request.job_id
        try:
            self._claim_and_run(held)
        except Exception as error:
            event.log(events.RUN_FAILED, job=job_id, error=repr(error))
            held.job.fail(code.Code.INTERNAL, "An unexpected error ended the job.", ran=UNKNOWN)
            raise
        finally:
            if node.held.get(job_id) is held:
                del node.held[job_id]

    def _claim_and_run(self, held: instance.Held) -> None:
        node = self.node
        request = held.job.request
        refusal = self._refusal(request) if request.is_first else None
        if refusal is not None:
            return self._refuse_first(held, refusal)
        if not request.is_first:
            metric.count(metrics.RESUBMITTED)
        give_up = min(held.job.deadline, node.now() + node.settings.settle_s)
        while not held.job.is_closed:
            verdict = self._claim(held, give_up)
            if verdict.outcome is claim.Outcome.GRANTED:
                return self._run(held)
            self._yield_claim(held)
            if self._conclude(held, verdict):
                return None
            if not claiming.pause(node, give_up):
                verdict = claiming.Verdict(claim.Outcome.UNSETTLED)
                return self._give_up(held, verdict)
        return self._yield_claim(held)

    def _claim(self, held: instance.Held, give_up: float) -> claiming.Verdict:
        node = self.node
        held.round = node.next_round()
        record = node.registrar.find(held.job.request.job_id)
        # A record of another body stays, so that the claim is refused like everywhere else.
        is_free = record is None or record.holder is None
        if is_free and (record is None or record.digest == held.job.request.digest):
            node.remember(held)
        held.is_holding = True
        step.reach(steps.CLAIM_KEPT, node.own.name)
        if held.job.request.is_first:
            return claiming.claim_first(node, held, give_up)
        return resubmission.claim_everywhere(node, held, give_up)

    def _run(self, held: instance.Held) -> None:
        node = self.node
        request = held.job.request
        if held.job.is_closed:
            return self._end_unstarted(held)
        held.is_started = True
        held.job.is_claimed = True
        step.reach(steps.CLAIM_GRANTED, node.own.name)
        refusal = None if request.is_first else self._refusal(request)
        if refusal is not None:
            metric.count(metrics.REFUSED)
            return held.job.fail(refusal.code, refusal.detail, refusal.retry_after_s)
        node.dispatcher.run(held.job)
        if not held.job.is_closed:
            held.job.fail(code.Code.INTERNAL, "The job ended without an answer.")
        return None

    def _end_unstarted(self, held: instance.Held) -> None:
        # A job that was cancelled stays so for every later attempt.
        if held.job.answer.code is code.Code.CANCELLED:
            self._keep(held)
        else:
            self._yield_claim(held)

    def _on_close(self, held: instance.Held) -> None:
        # The answer is kept before anyone who waits for it can ask.
        if held.is_started:
            self._keep(held)
            step.reach(steps.JOB_ENDED, self.node.own.name)
        held.ended.set()

    def _keep(self, held: instance.Held) -> None:
        node = self.node
        request = held.job.request
        attempt = claim.closing_attempt(request.attempt)
        expires = node.now() + node.settings.kept_answers_s
        node.kept.add(kept.Entry(held.job.answer, request.digest, attempt, expires))
        metric.gauge(metrics.KEPT_BYTES, node.kept.bytes)
        if held.job.answer.ran is NO:
            self._release(held, closed_through=attempt)

    def _refusal(self, request: submission.Submission) -> ports.Refusal | None:
        if self.is_draining or self.is_stopped:
            return ports.Refusal(
                code.Code.DRAINING, "This instance takes no more jobs.", RETRY_AFTER_S
            )
        if self.node.membership.own.state is member.State.JOINING or self.fence.is_closed:
            return ports.Refusal(
                code.Code.NOT_READY, "This instance has not joined yet.", RETRY_AFTER_S
            )
        return self.node.dispatcher.check(request)

    def _refuse_first(self, held: instance.Held, refusal: ports.Refusal) -> None:
        held.round = self.node.next_round()
        verdict = claiming.close_attempt(self.node, held)
        if verdict.outcome is claim.Outcome.HELD:
            final = attaching.attach(self.node, held, verdict.holder)
            if final is not None:
                return self._pass_on(held, final)
        metric.count(metrics.REFUSED)
        is_closed = verdict.outcome in (claim.Outcome.GRANTED, claim.Outcome.CLOSED)
        ran = NO if is_closed else UNKNOWN
        return held.job.fail(refusal.code, refusal.detail, refusal.retry_after_s, ran=ran)

    def _conclude(self, held: instance.Held, verdict: claiming.Verdict) -> bool:
        """Close the job by a verdict that granted nothing; false if it is worth another try."""
        outcome = verdict.outcome
        job_id = held.job.request.job_id
        if outcome is claim.Outcome.HELD:
            metric.count(metrics.ATTACHED)
            final = attaching.attach(self.node, held, verdict.holder)
            if final is not None:
                self._pass_on(held, final)
            return final is not None
        if outcome is claim.Outcome.OTHER_BODY:
            self._pass_on(held, attaching.other_body(job_id))
        elif outcome is claim.Outcome.CLOSED:
            detail = "This attempt was refused before. Nothing of it ran; use a higher attempt."
            held.job.fail(code.Code.ATTEMPT_CLOSED, detail, ran=NO)
        elif outcome is claim.Outcome.HISTORY_LOST:
            event.log(events.HISTORY_LOST, job=job_id)
            detail = "Instances that could have run the job are gone with their memory."
            held.job.fail(code.Code.HISTORY_LOST, detail, ran=UNKNOWN)
        else:
            self._give_up(held, verdict)
        return True

    def _give_up(self, held: instance.Held, verdict: claiming.Verdict) -> None:
        reason = code.Code.CLAIM_FAILED
        detail = "The registrars of the job did not answer."
        if not held.job.request.is_first and verdict.silent:
            reason = code.Code.DATA_CENTRE_UNREACHABLE
            detail = f"No answer from {', '.join(verdict.silent)}; a task may have run there."
        held.job.fail(reason, detail, RETRY_AFTER_S, ran=UNKNOWN)

    def _pass_on(self, held: instance.Held, final: answer.Answer) -> None:
        held.job.close_with(final)

    def _yield_claim(self, held: instance.Held) -> None:
        held.is_holding = False
        self._release(held, closed_through=0)

    def _release(self, held: instance.Held, closed_through: int) -> None:
        node = self.node
        job_id = held.job.request.job_id
        held.is_holding = False
        message = messages.ReleaseRequest(job_id, held.round, closed_through)
        step.reach(steps.CLAIM_RELEASING, node.own.name)
        node.registrar.release(node.own, message, node.now())
        for place in held.places - {node.own}:
            node.runtime.spawn(self._release_at, place, message)

    def _release_at(self, place: peer.Peer, message: messages.ReleaseRequest) -> None:
        node = self.node
        end = node.now() + node.settings.settle_s
        while node.now() < end and not self.is_stopped:
            try:
                node.peers.request(place, message, node.settings.transfer_timeout_s)
                return
            except peer.PeerGone:
                return
            except peer.PeerError:
                node.runtime.sleep(node.settings.retry_delay_s)

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
            held.job.fail(code.Code.STOPPED, "The instance stood still.", RETRY_AFTER_S)

    def _say_farewell(self) -> None:
        node = self.node
        note = node.authority.registered(node.now(), is_final=True)
        targets = [one for one in node.authority.members.present.values() if one != node.own]
        node.ask(targets, note, node.settings.transfer_timeout_s)

    def _sweep(self) -> None:
        node = self.node
        while not self.is_stopped:
            node.runtime.sleep(SWEEP_S)
            node.registrar.expire(node.now())
            node.kept.expire(node.now())
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
