"""Decides whether a job of which one part was refused can be refused as a whole.

Only the owners know whether something of the other parts has started.  Ending every such job as
perhaps started would keep callers from sending it elsewhere at once, though mostly nothing has.
"""

import functools

from rosedyke.observe import event
from rosedyke.rerun import events, fan_out, job, messages

# Two messages within a region; an owner that is slower than that may have started something.
WITHDRAW_TIMEOUT_S = 0.15


class Withdrawal:
    """Takes the parts of one holder's jobs back from their owners.

    Parameters
    ----------
    holder : Holder
        Whose jobs they are.
    """

    def __init__(self, holder):
        self.holder = holder

    def on_refused(self, pending, part, outcome: job.Outcome) -> None:
        """Refuse a job of which an owner has refused a part, unless another part has begun.

        Parameters
        ----------
        outcome : Outcome
            The refusal.
        """
        del pending.parts[part.number]
        if pending.is_withdrawn:
            return  # its tasks are counted when the answers are here
        if not pending.parts and not pending.has_started:
            self.holder.end(pending, outcome)
            return
        pending.is_withdrawn = True
        pending.withdrawals += 1
        self.holder.runtime.spawn(self._withdraw, pending, outcome)

    def _withdraw(self, pending, outcome):
        if not pending.has_started:
            # Together, so that the slowest owner alone is waited for.
            fan_out.run_concurrently(
                self.holder.runtime,
                [
                    functools.partial(self._withdraw_part, pending, part)
                    for part in pending.parts.values()
                ],
                2 * WITHDRAW_TIMEOUT_S,
            )
        pending.is_withdrawn = False
        if pending.ended.is_set():
            return
        if not pending.has_started and not pending.parts:
            self.holder.end(pending, outcome)
        else:
            # Now that it is known that the job has begun, owners let it wait for longer.
            self.holder.resubmit_missing(pending)

    def _withdraw_part(self, pending, part):
        """Remove a part from a job if its owner says that nothing of it has started or will."""
        claim = self.holder.fleet.claim_of(part.pool)
        if claim is None or part.had_earlier_owner or part.is_done:
            return
        round_number = pending.withdrawals
        message = messages.Withdraw(pending.work.id, part.number, part.pool)
        answer = self.holder.request_reply(claim.owner, message, WITHDRAW_TIMEOUT_S)
        if answer is None:
            return  # logged there; the part stays, since it may have started
        if not pending.is_withdrawn or pending.withdrawals != round_number:
            # Too late: what is in no part was handed over already.  The owner says with the next
            # renewal that it doesn't know this part, and it is handed over again.
            return
        if answer.is_withdrawn:
            pending.parts.pop(part.number, None)
        else:
            pending.has_started = True
            event.log(events.PART_HAS_BEGUN, job=pending.work.id, pool=part.pool)
