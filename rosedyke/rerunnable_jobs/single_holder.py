"""Makes an instance the only holder of a job before it submits the job to any owner.

A caller that got no answer sends its job again to any instance, and its first request may still
arrive, or be held, elsewhere.  The second holder waits for the outcome of the first.
"""

import attrs

from rosedyke import runtime as runtime_module
from rosedyke.observe import event, metric
from rosedyke.rerunnable_jobs import (
    events,
    fan_out,
    job,
    job_claims,
    messages,
    metrics,
    pending_job,
)

CLAIM_RETRY_S = 0.05
JOIN_TIMEOUT_S = 0.15
# Interval at which a second holder asks the first one.
JOIN_INTERVAL_S = 0.2
# Shortest time between two such questions.
MIN_JOIN_INTERVAL_S = 0.01
# Time between two contacts with a pool's owner.
OWNER_INTERVAL_S = 0.2
# How long the answers of the owners about an instance are kept.
OWNERS_QUERY_KEPT_S = 1.0
# Outcomes that a second run would not improve.
FINAL_ENDS = frozenset({job.EndState.SUCCEEDED, job.EndState.FAILED})


@attrs.frozen
class EndedJob:
    """The end of a job that this instance held.

    Attributes
    ----------
    may_have_run : bool
        Runs of it may not be over yet.
    """

    outcome: job.Outcome
    ended_at: float
    may_have_run: bool


@attrs.define(eq=False)
class OwnersQuery:
    """A question to the owners of pools since when they have not heard from an instance.

    Attributes
    ----------
    heard_at : Signal
        Set to the time that they last heard from it, None if none has.
    """

    asked_at: float
    heard_at: runtime_module.Signal


class SingleHolder:
    """Claims the jobs of one holder, and joins or answers other holders of the same jobs.

    Parameters
    ----------
    holder : Holder
        The holder.
    claims : JobClaims
        Its claims.
    started_at : float
        When this process started, at the latest.

    Attributes
    ----------
    ended : dict of str to EndedJob
        The jobs that ended lately, in the order of their ends.
    checked_at : float
        When ``check`` was last called.
    resumed_at : float
        When the process went on after its last pause, or started.
    owners_queries : dict of str to OwnersQuery
        The last question about each instance that did not answer lately.
    is_isolated : bool
        No other instance has been heard from for as long as owners keep the jobs of a holder.
    """

    def __init__(self, holder, claims: job_claims.JobClaims, started_at: float):
        self.holder = holder
        self.claims = claims
        self.timing = claims.timing
        self.runtime: runtime_module.Runtime = claims.runtime
        self.fleet = claims.fleet
        self.started_at = started_at
        self.ended: dict[str, EndedJob] = {}
        self.checked_at = self.resumed_at = self.runtime.now()
        self.is_isolated = False
        self.owners_queries: dict[str, OwnersQuery] = {}

    # This instance as a holder.

    def acquire(self, pending: pending_job.PendingJob) -> bool:
        """Block until this instance may submit a job; return false if the job has ended instead."""
        deadline, replaces = self._claim_deadline(), 0
        while not pending.ended.is_set():
            if not self._is_over_here(pending):
                return False
            asked_at = self.runtime.now()
            reply = self.claims.claim(pending, replaces)
            if pending.ended.is_set():
                return False
            self.confirm_after_pause()
            if asked_at < max(self.resumed_at, self.runtime.now() - self.timing.holder_lost_s):
                continue  # another holder may have taken the job over meanwhile
            if reply is None:
                if self._is_alone():
                    pending.is_claimed, pending.claimed_alone_at = True, self.runtime.now()
                    return True
                if self.runtime.now() >= deadline:
                    reason = "no other instance answers; this one may be cut off"
                    self.holder.finish(pending, self.holder.unfinished_outcome(pending, reason))
                    return False
                self.runtime.sleep(CLAIM_RETRY_S)
                continue
            if reply.is_cancelled:
                self.holder.finish(pending, job.CANCELLED_BY_CALLER)
                return False
            claimant = pending.yields_to or reply.claimant
            pending.yields_to = None
            if claimant is None:
                pending.is_claimed, pending.claimed_alone_at = True, None
                return True
            if not self._join(pending, claimant):
                return False
            deadline, replaces = self._claim_deadline(), reply.number
        return False

    def may_submit(self, pending: pending_job.PendingJob) -> bool:
        """Return whether parts of a job may be submitted; if not, its claim is being confirmed."""
        self.confirm_after_pause()
        alone_at = pending.claimed_alone_at
        if alone_at is not None and self.fleet.heard_at >= alone_at:
            self._confirm(pending)
        return pending.is_claimed

    def _claim_deadline(self):
        return self.runtime.now() + self.timing.wait_for_owner_s

    def _is_over_here(self, pending):
        """Wait until the runs of an earlier request for the job here are over.

        Returns false if the job has ended meanwhile, or needs no second run.
        """
        earlier = self.ended.get(pending.work.id)
        if earlier is None:
            return True
        if earlier.outcome.end in FINAL_ENDS:
            self.holder.finish(pending, earlier.outcome)
            return False
        remaining_s = self._remaining_s(earlier)
        if remaining_s > 0.0:
            pending.has_started = True
            pending.ended.wait(remaining_s)
        return not pending.ended.is_set()

    def _remaining_s(self, ended):
        """Return for how long runs of an ended job may go on."""
        if not ended.may_have_run:
            return 0.0
        return max(0.0, ended.ended_at + self.timing.holder_lease_end_s - self.runtime.now())

    def _is_alone(self):
        """Return whether no other instance has answered for so long that none is in reach."""
        silent_s = self.runtime.now() - max(self.fleet.heard_at, self.resumed_at)
        if silent_s <= self.timing.holder_lost_s:
            return False
        return silent_s > self.timing.resubmit_s or self.fleet.directory.can_reach()

    def _join(self, pending, claimant):
        """Wait for the outcome of a job that another instance has claimed.

        Returns true once its runs are over without a final outcome, false if the job has ended
        here.
        """
        metric.count(metrics.JOBS_JOINED)
        event.log(
            events.JOB_HELD_ELSEWHERE,
            job=pending.work.id,
            holder=claimant.instance.name,
            stall_ms=round(pending.stall_s * 1000),
            **pending.arrival.fields(),
        )
        heard_at, asked_since = float("-inf"), self.runtime.now()
        while not pending.ended.is_set():
            if claimant == self.claims.own:
                break  # the other one has joined this one
            asked_at = self.runtime.now()
            reply = self._ask_to_join(pending, claimant)
            if pending.ended.is_set():
                return False
            if reply is None:
                silent_s = self._silent_s(claimant.instance.name, heard_at, asked_since, asked_at)
                if silent_s >= self.timing.holder_lease_end_s:
                    break
            elif reply.outcome is not None:
                self.holder.finish(pending, reply.outcome)
                return False
            elif reply.claimant is not None:
                claimant = reply.claimant
            elif reply.is_held:
                heard_at = self.runtime.now()
                if pending.parts:
                    self._leave(pending)
                # The job may run, so it can no longer be refused here.
                pending.joined_to, pending.has_started = claimant, True
                pending.ended.wait(JOIN_INTERVAL_S)
            else:
                if reply.free_in_s > 0.0:
                    pending.has_started = True
                    pending.ended.wait(reply.free_in_s)
                break
            pending.ended.wait(asked_at + MIN_JOIN_INTERVAL_S - self.runtime.now())
        pending.joined_to = None
        return not pending.ended.is_set()

    def _silent_s(self, name, heard_at, asked_since, asked_at):
        """Return for how long an instance has been silent, as far as is known.

        An owner hears from it regularly if it has jobs there; other instances may not.

        Parameters
        ----------
        heard_at : float
            When it last answered here.
        asked_since : float
            Since when it has been asked; decides if an owner does not answer.
        asked_at : float
            When it was last asked; an earlier answer of the owners is no evidence.
        """
        now = self.runtime.now()
        heard_at = max(heard_at, now - self.fleet.contact_age_s(name))
        if now - heard_at < self.timing.holder_lease_end_s:
            return now - heard_at
        heard_at_owners = self._heard_at_owners(name, asked_at)
        if heard_at_owners is None:
            heard_at_owners = asked_since
        return now - max(heard_at, heard_at_owners)

    def _heard_at_owners(self, name, asked_at):
        """Return when the owners of pools last heard from an instance, None if none has.

        Jobs of one lost holder share the question, which goes to every owner.
        """
        query = self.owners_queries.get(name)
        if query is None or query.asked_at < asked_at:
            query = OwnersQuery(self.runtime.now(), self.runtime.signal())
            self.owners_queries[name] = query
            self.runtime.spawn(self._ask_owners, name, query)
        if not query.heard_at.wait(2 * self._query_timeout_s()):
            return self.runtime.now()  # not known to be silent
        return query.heard_at.value

    def _query_timeout_s(self):
        return self.timing.query_s + self.claims.delay.allowance_s(self.runtime.now())

    def _ask_owners(self, name, query):
        """Ask the owners of pools when they last heard from an instance."""
        now = self.runtime.now()
        owners, owners_heard_at = {}, {}
        for pool, state in self.fleet.owners.items():
            owner = state.claim.owner
            if owner.name not in (name, self.fleet.this_instance.name):
                owners[owner.name] = owner
                owners_heard_at[owner.name] = now - self.fleet.owner_contact_age_s(pool)
        replies = fan_out.request_all(
            self.runtime,
            self.claims.peers,
            owners.values(),
            messages.InstanceAgeQuery(name),
            self._query_timeout_s(),
        )
        heard_at = []
        for reply in replies:
            # Jobs that a lost owner ran end with it, or go on at its successor.
            owners_heard_at.pop(reply.sender, None)
            if reply.age_s is not None:
                heard_at.append(now - reply.age_s)
        heard_at += [at + OWNER_INTERVAL_S for at in owners_heard_at.values()]
        query.heard_at.set(max(heard_at, default=None))

    def on_instance_age_query(self, message: messages.InstanceAgeQuery) -> messages.InstanceAge:
        """Return this instance's last contact with another one."""
        age_s = self.fleet.contact_age_s(message.name)
        return messages.InstanceAge(
            self.fleet.this_instance.name, age_s if age_s < float("inf") else None
        )

    def _ask_to_join(self, pending, claimant):
        if claimant.instance.name == self.fleet.this_instance.name:
            return messages.JoinReply(free_in_s=self._remaining_of_earlier_incarnation_s())
        message = messages.JoinJob(
            pending.work.id, self.claims.own, claimant.incarnation, bool(pending.parts)
        )
        timeout_s = JOIN_TIMEOUT_S + self.claims.delay.allowance_s(self.runtime.now())
        return self.holder.request_reply(claimant.instance, message, timeout_s)

    def on_finished(self, pending: pending_job.PendingJob, outcome: job.Outcome) -> None:
        """Record the end of a job and tell it to the other holders."""
        now, job_id = self.runtime.now(), pending.work.id
        self.ended.pop(job_id, None)
        self.ended[job_id] = EndedJob(outcome, now, pending.may_have_run())
        if pending.joined_to is not None:
            message = messages.LeaveJob(job_id, self.fleet.this_instance)
            self.holder.send(pending.joined_to.instance, message)
        if outcome.end in FINAL_ENDS:
            for joined in pending.joined.values():
                message = messages.HeldJobEnded(job_id, self.claims.own.incarnation, outcome)
                self.holder.send(joined.instance, message)

    def has_joined(self, pending: pending_job.PendingJob) -> bool:
        """Return whether a caller of another instance waits for a job that is held here."""
        oldest = self.runtime.now() - self.timing.holder_lost_s
        return any(joined.renewed_at > oldest for joined in pending.joined.values())

    # Messages of other holders.

    def on_join(self, message: messages.JoinJob) -> messages.JoinReply:
        """Answer another holder that has found this instance's claim on a job."""
        self.fleet.record_heard()
        pending, sender = self.holder.jobs.get(message.job_id), message.sender
        if pending is not None:
            if pending.joined_to is not None:
                return messages.JoinReply(claimant=pending.joined_to)
            if pending.is_claimed or pending.parts or self._precedes(message):
                pending.joined[sender.instance.name] = pending_job.JoinedHolder(
                    sender.instance, self.runtime.now()
                )
                return messages.JoinReply(is_held=True)
            pending.yields_to = sender
        ended, free_in_s = self.ended.get(message.job_id), 0.0
        if ended is not None and ended.outcome.end in FINAL_ENDS:
            return messages.JoinReply(outcome=ended.outcome)
        if ended is not None:
            free_in_s = self._remaining_s(ended)
        if message.incarnation != self.claims.own.incarnation:
            free_in_s = max(free_in_s, self._remaining_of_earlier_incarnation_s())
        return messages.JoinReply(free_in_s=free_in_s)

    def _precedes(self, message):
        """Return whether this instance goes on if another one claims a job at the same time."""
        is_first = self.fleet.this_instance.name < message.sender.instance.name
        return is_first and not message.has_parts

    def _remaining_of_earlier_incarnation_s(self):
        """Return for how long runs of an earlier process of this instance may go on."""
        over_at = self.started_at + self.timing.holder_lease_end_s
        return max(0.0, over_at - self.runtime.now())

    def on_claim_lost(self, message: messages.ClaimLost) -> None:
        """Confirm the claim on a job that another instance has claimed."""
        pending = self.holder.jobs.get(message.job_id)
        if pending is not None and message.number == pending.claim_number:
            self._confirm(pending)

    def on_leave(self, message: messages.LeaveJob) -> None:
        """Forget a holder whose caller no longer waits for a job that is held here."""
        pending = self.holder.jobs.get(message.job_id)
        if pending is not None:
            pending.joined.pop(message.sender.name, None)

    def on_held_job_ended(self, message: messages.HeldJobEnded) -> None:
        """End a job whose outcome this instance waits for."""
        pending = self.holder.jobs.get(message.job_id)
        if pending is None or pending.joined_to is None:
            return
        if pending.joined_to.incarnation == message.incarnation:
            self.holder.finish(pending, message.outcome)

    # Changes of the fleet, and silence of this instance.

    def check(self) -> None:
        """Complete and prolong claims, and confirm them after a silence.

        Another holder may take over a job from this instance if it was silent.
        """
        self.confirm_after_pause()
        self.checked_at = now = self.runtime.now()
        was_isolated = self.is_isolated
        self.is_isolated = now - self.fleet.heard_at > self.timing.holder_lost_s
        if was_isolated and not self.is_isolated:
            self._confirm_all()
        # A copy, because sending may let other tasks run.
        for pending in list(self.holder.jobs.values()):
            if pending.is_claimed and now - pending.claimed_at >= job_claims.RENEWAL_INTERVAL_S:
                self.claims.renew(pending)
        self._remove_ended(now)
        self._remove_owners_queries(now)

    def confirm_after_pause(self) -> None:
        """Confirm all claims if the process was paused since the last check."""
        if self.runtime.now() - self.checked_at > self.timing.holder_lost_s:
            self.checked_at = self.resumed_at = self.runtime.now()
            self._confirm_all()

    def _confirm_all(self):
        for pending in list(self.holder.jobs.values()):
            self._confirm(pending)

    def _confirm(self, pending):
        """Submit no part of a held job until its claim is confirmed."""
        if not pending.is_claimed:
            return
        pending.is_claimed = False
        pending.has_started |= pending.may_have_run()
        pending.begin_withdrawal()
        self.runtime.spawn(self._acquire_again, pending)

    def _acquire_again(self, pending):
        """Go on with a job if no other instance has claimed it, otherwise join that one."""
        round_number = pending.withdrawals
        if self.acquire(pending) and pending.withdrawals == round_number:
            pending.is_withdrawn = False
            self.holder.resubmit_missing(pending)

    def _leave(self, pending):
        """Stop the runs of a job that another instance holds by now."""
        job_id = pending.work.id
        self.holder.leave_to_other_holder(pending)
        outcome = job.Outcome(job.EndState.LOST, "another instance holds the job")
        self.ended.pop(job_id, None)
        self.ended[job_id] = EndedJob(outcome, self.runtime.now(), True)

    def _remove_ended(self, now):
        kept_s = max(self.timing.kept_s, self.timing.holder_lease_end_s)
        while self.ended:
            job_id, ended = next(iter(self.ended.items()))
            if now - ended.ended_at < kept_s:
                return
            del self.ended[job_id]

    def _remove_owners_queries(self, now):
        for name, query in list(self.owners_queries.items()):
            if query.heard_at.is_set() and now - query.asked_at >= OWNERS_QUERY_KEPT_S:
                del self.owners_queries[name]
