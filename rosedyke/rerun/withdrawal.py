"""Decides whether a job of which one part was refused can be refused as a whole.

Only the owners know whether something of the other parts has started.  Ending every such job as
perhaps started would keep callers from sending it elsewhere at once, though mostly nothing has.
"""

import functools

from rosedyke.observe import event
from rosedyke.rerun import events, fan_out, job, messages

# Two messages within a region; an owner that is slower than that may have started something.
TIMEOUT_S = 0.15


class Withdrawal:
    """Takes the parts of one holder's jobs back from their owners.

    Parameters
    ----------
    holder : Holder
        Whose jobs they are.
    """

    def __init__(self, holder):
        self.holder = holder

    def on_refused(self, held, part, outcome: job.Outcome) -> None:
        """Refuse a job of which an owner has refused a part, unless another part has begun.

        Parameters
        ----------
        outcome : Outcome
            The refusal.
        """
        del held.parts[part.number]
        if held.is_withdrawn:
            return  # its tasks are counted when the answers are here
        if not held.parts and not held.has_started:
            self.holder.end(held, outcome)
            return
        held.is_withdrawn = True
        held.withdrawals += 1
        self.holder.runtime.spawn(self._withdraw, held, outcome)

    def _withdraw(self, held, outcome):
        if not held.has_started:
            # Together, so that the slowest owner alone is waited for.
            fan_out.run_all(
                self.holder.runtime,
                [functools.partial(self._take_back, held, each) for each in held.parts.values()],
                2 * TIMEOUT_S,
            )
        held.is_withdrawn = False
        if held.ended.is_set():
            return
        if not held.has_started and not held.parts:
            self.holder.end(held, outcome)
        else:
            # Now that it is known that the job has begun, owners let it wait for longer.
            self.holder.hand_over_missing(held)

    def _take_back(self, held, part):
        """Remove a part from a job if its owner says that nothing of it has started or will."""
        claim = self.holder.fleet.owner_of(part.pool)
        if claim is None or part.might_before or part.is_done:
            return
        began = held.withdrawals
        question = messages.Withdraw(held.work.id, part.number, part.pool)
        answer = self.holder.ask(claim.owner, question, TIMEOUT_S)
        if answer is None:
            return  # logged there; the part stays, since it may have started
        if not held.is_withdrawn or held.withdrawals != began:
            # Too late: what is in no part was handed over already.  The owner says with the next
            # renewal that it doesn't know this part, and it is handed over again.
            return
        if answer.is_withdrawn:
            held.parts.pop(part.number, None)
        else:
            held.has_started = True
            event.log(events.PART_HAS_BEGUN, job=held.work.id, pool=part.pool)
