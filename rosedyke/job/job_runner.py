"""Execution of one submission, from its claim to its final answer."""

from collections.abc import Callable

from rosedyke.job import (
    answer,
    answer_cache,
    attaching,
    claim,
    claiming,
    code,
    events,
    instance,
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
TAKES_NO_JOBS = "This instance takes no more jobs."


class Runner:
    """Claims jobs, runs those that are granted, and answers the others from earlier attempts.

    Parameters
    ----------
    node : Instance
        State and ports of this entry instance.
    refusal : callable
        Returns why a submission is refused, None if it is accepted.
    """

    def __init__(
        self,
        node: instance.Instance,
        refusal: Callable[[submission.Submission], ports.Refusal | None],
    ):
        self.node = node
        self.refusal = refusal

    def serve(self, tracked: instance.TrackedJob) -> None:
        """Claim and run a job, or attach to its earlier run, until the job is closed."""
        node = self.node
        job_id = tracked.job.request.job_id
        try:
            self._claim_and_run(tracked)
        except Exception as error:
            event.log(events.RUN_FAILED, job=job_id, error=repr(error))
            tracked.job.fail(code.Code.INTERNAL, "An unexpected error ended the job.", ran=UNKNOWN)
            raise
        finally:
            if node.tracked_jobs.get(job_id) is tracked:
                del node.tracked_jobs[job_id]

    def _claim_and_run(self, tracked: instance.TrackedJob) -> None:
        node = self.node
        request = tracked.job.request
        refusal = self.refusal(request) if request.is_first else None
        if refusal is not None:
            return self._refuse_first_attempt(tracked, refusal)
        if not request.is_first:
            metric.count(metrics.RESUBMITTED)
        claim_deadline = min(tracked.job.deadline, node.now() + node.settings.settle_s)
        while not tracked.job.is_closed:
            result = self._claim(tracked, claim_deadline)
            if result.outcome is claim.Outcome.GRANTED:
                return self._run(tracked)
            self._withdraw_claim(tracked)
            if self._close_unclaimed(tracked, result):
                return None
            if not claiming.wait_before_retry(node, claim_deadline):
                result = claiming.ClaimResult(claim.Outcome.UNSETTLED)
                return self._fail_unclaimed(tracked, result)
        return self._withdraw_claim(tracked)

    def _claim(self, tracked: instance.TrackedJob, claim_deadline: float) -> claiming.ClaimResult:
        node = self.node
        tracked.round = node.next_round()
        record = node.registrar.find(tracked.job.request.job_id)
        if record is None and node.registrar.is_full(node.now()):
            return claiming.ClaimResult(claim.Outcome.FULL)
        # A record with another digest is kept, so that the claim is refused here as well.
        is_unclaimed = record is None or record.holder is None
        if is_unclaimed and (record is None or record.digest == tracked.job.request.digest):
            node.record_own_claim(tracked)
        tracked.has_claim = True
        step.reach(steps.CLAIM_KEPT, node.own.name)
        if tracked.job.request.is_first:
            return claiming.claim_first_attempt(node, tracked, claim_deadline)
        return resubmission.claim_everywhere(node, tracked, claim_deadline)

    def _run(self, tracked: instance.TrackedJob) -> None:
        node = self.node
        request = tracked.job.request
        if tracked.job.is_closed:
            return self._end_unstarted(tracked)
        tracked.is_started = True
        tracked.job.is_claimed = True
        step.reach(steps.CLAIM_GRANTED, node.own.name)
        refusal = None if request.is_first else self.refusal(request)
        if refusal is not None:
            metric.count(metrics.REFUSED)
            return tracked.job.fail(refusal.code, refusal.detail, refusal.retry_after_s)
        node.dispatcher.run(tracked.job)
        if not tracked.job.is_closed:
            tracked.job.fail(code.Code.INTERNAL, "The job ended without an answer.")
        return None

    def _end_unstarted(self, tracked: instance.TrackedJob) -> None:
        # A cancellation also applies to later attempts.
        if tracked.job.answer.code is code.Code.CANCELLED:
            self._cache_answer(tracked)
        else:
            self._withdraw_claim(tracked)

    def on_close(self, tracked: instance.TrackedJob) -> None:
        """Cache the answer of a job that was started here, and wake its waiters."""
        # Cached before waiters are woken, so that a query after the answer finds it.
        if tracked.is_started:
            self._cache_answer(tracked)
            step.reach(steps.JOB_ENDED, self.node.own.name)
        tracked.ended.set()

    def _cache_answer(self, tracked: instance.TrackedJob) -> None:
        node = self.node
        request = tracked.job.request
        attempt = claim.closing_attempt(request.attempt)
        expires = node.now() + node.settings.kept_answers_s
        node.answer_cache.add(
            answer_cache.Entry(tracked.job.answer, request.digest, attempt, expires)
        )
        metric.gauge(metrics.KEPT_BYTES, node.answer_cache.bytes)
        if tracked.job.answer.ran is NO:
            self._release(tracked, closed_through=attempt)

    def _refuse_first_attempt(self, tracked: instance.TrackedJob, refusal: ports.Refusal) -> None:
        tracked.round = self.node.next_round()
        result = claiming.close_attempt(self.node, tracked)
        if result.outcome is claim.Outcome.HELD and not self.node.is_ending:
            final = attaching.attach(self.node, tracked, result.holder)
            if final is not None:
                return self._adopt_answer(tracked, final)
        metric.count(metrics.REFUSED)
        is_closed = result.outcome in (claim.Outcome.GRANTED, claim.Outcome.CLOSED)
        ran = NO if is_closed else UNKNOWN
        return tracked.job.fail(refusal.code, refusal.detail, refusal.retry_after_s, ran=ran)

    def _close_unclaimed(self, tracked: instance.TrackedJob, result: claiming.ClaimResult) -> bool:
        """Close the job according to a result without a grant; return false to retry."""
        outcome = result.outcome
        job_id = tracked.job.request.job_id
        if outcome is claim.Outcome.HELD and self.node.is_ending:
            tracked.job.fail(code.Code.DRAINING, TAKES_NO_JOBS, RETRY_AFTER_S, ran=UNKNOWN)
        elif outcome is claim.Outcome.HELD:
            metric.count(metrics.ATTACHED)
            final = attaching.attach(self.node, tracked, result.holder)
            if final is not None:
                self._adopt_answer(tracked, final)
            return final is not None
        elif outcome is claim.Outcome.OTHER_BODY:
            self._adopt_answer(tracked, attaching.other_body_refusal(job_id))
        elif outcome is claim.Outcome.CLOSED:
            detail = "This attempt was refused before. Nothing of it ran; use a higher attempt."
            tracked.job.fail(code.Code.ATTEMPT_CLOSED, detail, ran=NO)
        elif outcome is claim.Outcome.HISTORY_LOST:
            event.log(events.HISTORY_LOST, job=job_id)
            detail = "Instances that could have run the job are gone with their memory."
            tracked.job.fail(code.Code.HISTORY_LOST, detail, ran=UNKNOWN)
        else:
            self._fail_unclaimed(tracked, result)
        return True

    def _fail_unclaimed(self, tracked: instance.TrackedJob, result: claiming.ClaimResult) -> None:
        reason = code.Code.CLAIM_FAILED
        detail = "The registrars of the job did not answer."
        if not tracked.job.request.is_first and result.ungranted:
            reason = code.Code.DATA_CENTRE_UNREACHABLE
            detail = f"No answer from {', '.join(result.ungranted)}; a task may have run there."
        tracked.job.fail(reason, detail, RETRY_AFTER_S, ran=UNKNOWN)

    def _adopt_answer(self, tracked: instance.TrackedJob, final: answer.Answer) -> None:
        tracked.job.close_with(final)

    def _withdraw_claim(self, tracked: instance.TrackedJob) -> None:
        tracked.has_claim = False
        self._release(tracked, closed_through=0)

    def _release(self, tracked: instance.TrackedJob, closed_through: int) -> None:
        node = self.node
        job_id = tracked.job.request.job_id
        tracked.has_claim = False
        message = messages.ReleaseRequest(job_id, tracked.round, closed_through)
        step.reach(steps.CLAIM_RELEASING, node.own.name)
        node.registrar.release(node.own, message, node.now())
        for target in tracked.contacted - {node.own}:
            node.runtime.spawn(self._send_release, target, message)

    def _send_release(self, target: peer.Peer, message: messages.ReleaseRequest) -> None:
        node = self.node
        deadline = node.now() + node.settings.settle_s
        while node.now() < deadline and not node.is_stopped:
            try:
                node.peers.request(target, message, node.settings.transfer_timeout_s)
                return
            except peer.PeerGone:
                return
            except peer.PeerError:
                node.runtime.sleep(node.settings.retry_delay_s)
