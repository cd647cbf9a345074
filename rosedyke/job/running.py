"""One submission's way from its claim to its final answer."""

from collections.abc import Callable

from rosedyke.job import (
    answer,
    attaching,
    claim,
    claiming,
    code,
    events,
    instance,
    kept,
    messages,
    metrics,
    ports,
    resubmission,
    steps,
    submission,
)
from rosedyke.observe import event, metric, step
from rosedyke.wire import peer

NO = answer.Ran.NO
UNKNOWN = answer.Ran.UNKNOWN
RETRY_AFTER_S = 1.0


class Runner:
    """Claims jobs, runs those that are granted, and answers the others by what was found.

    Parameters
    ----------
    node : Instance
        State and ports of this entry instance.
    refusal : callable
        Returns why a submission can't be taken, None if it can.
    """

    def __init__(
        self,
        node: instance.Instance,
        refusal: Callable[[submission.Submission], ports.Refusal | None],
    ):
        self.node = node
        self.refusal = refusal

    def serve(self, held: instance.Held) -> None:
        """Claim and run a job, or find its run, until it is closed."""
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
        refusal = self.refusal(request) if request.is_first else None
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
        if record is None and node.registrar.is_full(node.now()):
            return claiming.Verdict(claim.Outcome.FULL)
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
        refusal = None if request.is_first else self.refusal(request)
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

    def on_close(self, held: instance.Held) -> None:
        """Keep the answer of a job that was started here, and wake those who wait for it."""
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
        while node.now() < end and not node.is_stopped:
            try:
                node.peers.request(place, message, node.settings.transfer_timeout_s)
                return
            except peer.PeerGone:
                return
            except peer.PeerError:
                node.runtime.sleep(node.settings.retry_delay_s)
