"""Decides whether a job can be refused as a whole after one of its parts was refused.

Only the owners know whether the other parts have started.  If none has, the job ends as refused,
and its caller can send it elsewhere at once.
"""

import functools

from rosedyke.observe import event, metric
from rosedyke.rerunnable_jobs import events, fan_out, job, messages, metrics

# Time for two messages within a region.  An owner that does not answer in time may have started its
# part.
WITHDRAW_TIMEOUT_S = 0.15
CLAIM_POLL_INTERVAL_S = 0.02


class Withdrawal:
    """Withdraws the parts of one holder's jobs from their owners.

    Parameters
    ----------
    holder : Holder
        The holder of the jobs.
    """

    def __init__(self, holder):
        self.holder = holder

    def on_refused(self, pending, part, outcome: job.Outcome) -> None:
        """Refuse a job of which a part was refused, unless another part has started.

        Parameters
        ----------
        outcome : Outcome
            The refusal.
        """
        del pending.parts[part.number]
        # The refusing owner may not know of runs by an earlier one.
        pending.has_started |= part.had_earlier_owner
        if pending.is_withdrawn:
            return  # its tasks are resubmitted when the withdrawal is complete
        pending.refused_by.add(part.pool)
        if self.holder.timing.predicts_completion and self.holder.submit_elsewhere(pending, part):
            return
        if not pending.may_have_run():
            self.holder.finish(pending, outcome)
            return
        pending.begin_withdrawal()
        self.holder.runtime.spawn(self._withdraw, pending, outcome)

    def end(self, pending, reason: str, timeout_s: float = WITHDRAW_TIMEOUT_S) -> None:
        """End a job: as refused if every owner confirms that nothing has started, else as lost.

        Without a claim another instance may run it for an earlier request, so it is lost, too.

        Parameters
        ----------
        timeout_s : float
            Time for the answer to its claim, and for the owners' confirmations; up to twice as much
            passes.
        """
        pending.begin_withdrawal()
        self._wait_for_claim(pending, timeout_s)
        self.withdraw_parts(pending, timeout_s)
        if pending.ended.is_set():
            return
        outcome = job.Outcome(job.EndState.LOST, reason)
        if pending.is_claimed:
            outcome = self.holder.unfinished_outcome(pending, reason)
        self.holder.finish(pending, outcome)

    def _wait_for_claim(self, pending, timeout_s):
        """Wait until a job is claimed, may have run, or has ended."""
        until = self.holder.runtime.now() + timeout_s
        while not (pending.is_claimed or pending.may_have_run()):
            remaining_s = until - self.holder.runtime.now()
            if remaining_s <= 0.0 or pending.ended.wait(min(CLAIM_POLL_INTERVAL_S, remaining_s)):
                return

    def withdraw_parts(self, pending, timeout_s: float) -> None:
        """Withdraw the parts of a job that has not started, as far as is known here."""
        round_number = pending.withdrawals
        if not pending.has_started:
            # Concurrently, so that the wait is that for the slowest owner.
            fan_out.run_concurrently(
                self.holder.runtime,
                [
                    functools.partial(self._withdraw_part, pending, part, timeout_s)
                    for part in pending.parts.values()
                ],
                2 * timeout_s,
            )
        # Otherwise its claim is being confirmed meanwhile.
        if pending.withdrawals == round_number:
            pending.is_withdrawn = False

    def _withdraw(self, pending, outcome):
        self.withdraw_parts(pending, WITHDRAW_TIMEOUT_S)
        if pending.ended.is_set() or pending.is_withdrawn:
            return
        if not pending.may_have_run():
            self.holder.finish(pending, outcome)
        else:
            # The job may have started, so owners let it wait for longer.
            self.holder.resubmit_missing(pending)

    def _withdraw_part(self, pending, part, timeout_s):
        """Remove a part if its owner confirms that it has not started and never will."""
        claim = self.holder.fleet.claim_of(part.pool)
        if claim is None or not part.is_sent or part.had_earlier_owner or part.is_done:
            return
        round_number = pending.withdrawals
        message = messages.Withdraw(pending.work.id, part.number, part.pool)
        reply = self.holder.request_reply(claim.owner, message, timeout_s)
        if reply is None:
            metric.count(metrics.PARTS_UNCONFIRMED)
            return  # already logged; the part may have started, so it stays
        if not pending.is_withdrawn or pending.withdrawals != round_number:
            # Too late: the missing tasks were already resubmitted.  The next renewal reports this
            # part as unknown, and it is resubmitted too.
            return
        if reply.is_withdrawn:
            metric.count(metrics.PARTS_WITHDRAWN)
            pending.parts.pop(part.number, None)
        elif reply.has_started:
            pending.has_started = True
            event.log(events.PART_STARTED, job=pending.work.id, pool=part.pool)
        else:
            metric.count(metrics.PARTS_UNCONFIRMED)
