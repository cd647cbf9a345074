"""The job manager of an entry instance: submission, cancellation, lookup and drain."""

from rosedyke import runtime
from rosedyke.job import (
    answer,
    answer_cache,
    attaching,
    authority,
    claiming,
    code,
    events,
    fence,
    handover,
    instance,
    job,
    job_runner,
    lookup,
    messages,
    metrics,
    ports,
    registrar,
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
EXPIRY_INTERVAL_S = 1.0
# Upper limit of ``answer_margin_s`` as a fraction of the caller's timeout.
MAX_MARGIN_FRACTION = 0.1
LEAVE_TIMEOUT_S = 2.0
# Part of the drain timeout reserved for leaving the membership and handing over state.
HANDOVER_RESERVE_S = 2.0
RETRY_AFTER_S = 1.0
DRAIN_POLL_INTERVAL_S = 0.005
# Once the jobs have ended, an attempt is closed at its registrars within this time, or it is not
# known whether its job ran.  Several round trips within a region.
REFUSAL_TIMEOUT_S = 0.25


class JobManager:
    """Accepts submissions, claims and runs their jobs, and returns their final answers.

    Parameters
    ----------
    job_settings : JobSettings
        Timeouts and limits.
    clock : Runtime
        Clock and background tasks.
    peers : Peers
        Messaging with other instances.
    membership : Membership
        View of the live instances.
    dispatcher : Dispatcher
        Runs the tasks of claimed jobs.
    """

    def __init__(
        self,
        job_settings: settings.JobSettings,
        clock: runtime.Runtime,
        peers: peer.Peers,
        membership: membership_ports.Membership,
        dispatcher: ports.Dispatcher,
    ):
        self.is_draining = False
        self.node = instance.Instance(
            job_settings,
            clock,
            peers,
            membership,
            dispatcher,
            authority.Authority(
                membership.own.peer, membership.view, clock.now(), job_settings.claim_life_s
            ),
            registrar.Registrar(job_settings.claim_life_s, job_settings.max_claims),
            answer_cache.AnswerCache(job_settings.kept_answers_s, job_settings.kept_answer_bytes),
        )
        self.runner = job_runner.Runner(self.node, self._refusal)
        self.fence = fence.Fence(
            job_settings, clock, self._fail_jobs_after_pause, self._is_confirmed_alive
        )

    # Lifecycle

    def start(self) -> None:
        """Register message handlers, subscribe to the membership and start background tasks."""
        node = self.node
        handlers = {
            messages.ClaimRequest: claiming.handle_claim,
            messages.AttachRequest: attaching.handle_attach,
            messages.ReleaseRequest: handle_release,
            messages.CancelRequest: lookup.handle_cancel,
            messages.LocateRequest: lookup.handle_locate,
            messages.FindRequest: lookup.handle_find,
            messages.TransferRequest: handover.handle_transfer,
            messages.TransferAcknowledgement: handover.handle_acknowledgement,
            messages.HandoverRequest: handover.handle_handover,
        }
        for message_type, handler in handlers.items():
            node.peers.handle(message_type, self._bind(handler))
        node.membership.subscribe(self._on_view)
        node.runtime.spawn_service(self.fence.run)
        node.runtime.spawn_service(self._expire_records)
        node.runtime.spawn(handover.rebalance_claims, node)

    def stop(self) -> None:
        """Fail the jobs in progress and stop, without a handover."""
        self.node.is_stopped = True
        self.fence.is_stopped = True
        self._stop_jobs("The instance stopped.")

    def drain(self, timeout_s: float) -> bool:
        """Refuse new jobs, wait for those in progress, and hand over claims and answers.

        Returns
        -------
        bool
            Whether no job had to be failed and everything was handed over in time.
        """
        node = self.node
        self.is_draining = True
        deadline = node.now() + timeout_s
        job_deadline = deadline - min(HANDOVER_RESERVE_S, timeout_s / 2)
        while node.tracked_jobs and node.now() < job_deadline:
            first = next(iter(node.tracked_jobs.values()))
            first.ended.wait(max(0.0, job_deadline - node.now()))
            # An ended job stays tracked until its claim is released; the delay avoids a busy
            # loop meanwhile.
            node.runtime.sleep(DRAIN_POLL_INTERVAL_S)
        is_complete = not node.tracked_jobs
        node.has_drained = True
        self._stop_jobs("The instance was drained.")
        node.runtime.sleep(0)
        # From here on, other instances no longer use this one as a registrar.
        node.membership.leave(max(0.0, min(LEAVE_TIMEOUT_S, deadline - node.now())))
        is_complete = handover.hand_over(node, deadline) and is_complete
        if is_complete:
            self._announce_departure()
        event.log(events.DRAINED, whole=is_complete)
        return is_complete

    def on_pause(self) -> None:
        """Fence the instance after a process pause, until it has rejoined."""
        self.fence.close()

    def _stop_jobs(self, detail: str) -> None:
        for tracked in list(self.node.tracked_jobs.values()):
            if tracked.job.is_closed:
                continue
            tracked.job.fail(code.Code.STOPPED, detail)
            event.log(
                events.JOB_STOPPED,
                job=tracked.job.request.job_id,
                attempt=tracked.job.request.attempt,
                started=tracked.is_started,
                ran=tracked.job.answer.ran.value,
            )

    # Caller operations

    def submit(self, request: submission.Submission) -> answer.Answer:
        """Run a job, or attach to the run of an earlier attempt; return its final answer."""
        node = self.node
        metric.count(metrics.SUBMITTED)
        local_answer = self._find_local_answer(request)
        if local_answer is not None:
            return local_answer
        deadline = self._deadline(request)
        tracked = instance.TrackedJob(
            job.Job(request, deadline, fence=self.fence.check), node.runtime.signal()
        )
        tracked.job.is_claimed = False
        tracked.job.on_close.append(lambda closed: self.runner.on_close(tracked))
        node.tracked_jobs[request.job_id] = tracked
        node.runtime.spawn(self.runner.serve, tracked)
        if not tracked.ended.wait(max(0.0, deadline - node.now())):
            if self.node.is_ending:
                tracked.job.fail(code.Code.DRAINING, job_runner.TAKES_NO_JOBS, RETRY_AFTER_S)
            else:
                tracked.job.fail(code.Code.DEADLINE, "The answer was not there in time.")
        self._count_unknown(tracked.job.answer)
        return tracked.job.answer

    def cancel(self, job_id: str) -> status.Status:
        """Cancel a job at whichever instance holds it; its waiting tasks never start."""
        return lookup.cancel(self.node, job_id)

    def find(self, job_id: str) -> status.Status:
        """Return a job's state or cached answer from whichever instance holds it."""
        return lookup.find(self.node, job_id)

    # Submission

    def _deadline(self, request: submission.Submission) -> float:
        margin_s = min(self.node.settings.answer_margin_s, MAX_MARGIN_FRACTION * request.timeout_s)
        timeout_s = request.timeout_s - margin_s
        if self.node.is_ending:
            timeout_s = min(timeout_s, REFUSAL_TIMEOUT_S)
        return self.node.now() + timeout_s

    def _find_local_answer(self, request: submission.Submission) -> answer.Answer | None:
        node = self.node
        if request.age_s > node.settings.max_age_s:
            detail = f"Jobs older than {node.settings.max_age_s:.0f} s are not looked up."
            return answer.Answer(request.job_id, code.Code.TOO_OLD, UNKNOWN, detail=detail)
        tracked = node.tracked_jobs.get(request.job_id)
        while tracked is not None:
            final = self._wait_for_tracked_job(tracked, request)
            if final is not None:
                return final
            node.runtime.sleep(node.settings.retry_delay_s / 10)
            tracked = node.tracked_jobs.get(request.job_id)
        entry = node.answer_cache.find(request.job_id)
        if entry is None:
            return None
        if entry.digest != request.digest:
            return attaching.other_body_refusal(request.job_id)
        # A job that did not run may run under a higher attempt.
        return None if entry.answer.ran is NO else entry.answer

    def _wait_for_tracked_job(
        self, tracked: instance.TrackedJob, request: submission.Submission
    ) -> answer.Answer | None:
        if tracked.job.request.digest != request.digest:
            return attaching.other_body_refusal(request.job_id)
        node = self.node
        metric.count(metrics.ATTACHED)
        deadline = self._deadline(request)
        if tracked.ended.wait(max(0.0, deadline - node.now())):
            # "Not run" applies to that attempt only; a later one may run.
            is_other_attempt = tracked.job.request.attempt != request.attempt
            return None if is_other_attempt and tracked.job.answer.ran is NO else tracked.job.answer
        detail = "The job still runs; the answer was not there in time."
        return answer.Answer(request.job_id, code.Code.DEADLINE, UNKNOWN, detail=detail)

    def _refusal(self, request: submission.Submission) -> ports.Refusal | None:
        self.node.membership.wait_for_first_answer()
        if self.is_draining or self.node.is_stopped:
            return ports.Refusal(
                code.Code.DRAINING,
                job_runner.TAKES_NO_JOBS,
                RETRY_AFTER_S,
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

    # Messages, membership changes and timers

    def _bind(self, handler):
        return lambda sender, message: handler(self.node, sender, message)

    def _on_view(self, old: member.View, new: member.View) -> None:
        node = self.node
        now = node.now()
        own = node.membership.own.peer
        if own.incarnation != node.authority.own.incarnation:
            node.authority = authority.Authority(own, new, now, node.settings.claim_life_s)
            self.fence.open()
            node.runtime.spawn(handover.rebalance_claims, node)
        elif node.authority.update_view(new, now):
            node.runtime.spawn(handover.rebalance_claims, node)

    def _fail_jobs_after_pause(self) -> None:
        event.log(events.PAUSED, jobs=len(self.node.tracked_jobs))
        for tracked in list(self.node.tracked_jobs.values()):
            # Once a task was sent, a retry would get the same answer.
            is_final = tracked.is_started and tracked.job.ran() is not NO
            retry_after_s = None if is_final else RETRY_AFTER_S
            tracked.job.fail(code.Code.STOPPED, "The instance stood still.", retry_after_s)

    def _is_confirmed_alive(self) -> bool:
        own = self.node.membership.own
        is_current_incarnation = own.peer.incarnation == self.node.own.incarnation
        is_serving = own.state in member.SERVING_STATES
        return is_current_incarnation and is_serving and self.node.membership.is_confirmed()

    def _announce_departure(self) -> None:
        node = self.node
        ack = node.authority.acknowledgement(node.now(), is_final=True)
        targets = [
            target for target in node.authority.members.present.values() if target != node.own
        ]
        node.request_all(targets, ack, node.settings.transfer_timeout_s)

    def _expire_records(self) -> None:
        node = self.node
        while not self.node.is_stopped:
            node.runtime.sleep(EXPIRY_INTERVAL_S)
            node.registrar.expire(node.now())
            node.answer_cache.expire(node.now())
            if len(node.registrar.claims) >= node.settings.max_claims:
                event.log(events.REGISTRAR_FULL, claims=len(node.registrar.claims))
            metric.gauge(metrics.CLAIMS, len(node.registrar.claims))

    @staticmethod
    def _count_unknown(final: answer.Answer) -> None:
        if final.ran is UNKNOWN:
            metric.count(metrics.UNKNOWN)


def handle_release(
    node: instance.Instance, sender: peer.Peer, request: messages.ReleaseRequest
) -> messages.Done:
    """Handle the release of a claim as a registrar."""
    node.registrar.release(sender, request, node.now())
    return messages.Done()
