"""Claims jobs at their registrars, the instances that every other one finds by a job's id."""

import functools
import itertools
import zlib
from collections.abc import Callable

import attrs

from rosedyke import runtime as runtime_module
from rosedyke.observe import metric
from rosedyke.overload import own_delay
from rosedyke.rerunnable_jobs import (
    election,
    fleet_view,
    job_registrar,
    messages,
    metrics,
    pending_job,
    settings,
)
from rosedyke.wire import peer

# Jobs are divided among so many orders of registrars, each computed once for a set of instances.
ORDERS = 64
# Any two of three registrars include one of any other two, so one may be lost.
REGISTRARS = 3
QUORUM = 2
# After this time without a quorum a further registrar is asked.  Suspected registrars are waited
# for no longer, unless the others cannot make a quorum.
HEDGE_S = 0.03
# Registrars of this data centre, which may be cut off from the others, that are asked if the first
# ones do not answer.
LOCAL_REGISTRARS = 2
# An instance that did not answer a claim is suspected for this long, unless it answers another.
SUSPICION_S = 5.0
# Less than a claim lasts.
RENEWAL_INTERVAL_S = 1.0


@attrs.frozen
class Registrars:
    """The registrars of a job.

    Attributes
    ----------
    others : tuple of Instance
        The registrars but for this instance, in the order of their rank.
    quorum : int
        Number of them that must answer.  One less if this instance is a registrar itself.
    spare : tuple of Instance
        Those that are asked if none of the others answers.
    """

    others: tuple[messages.Instance, ...]
    quorum: int
    spare: tuple[messages.Instance, ...]

    def includes(self, name: str) -> bool:
        """Return whether an instance is one of them."""
        return any(instance.name == name for instance in (*self.others, *self.spare))


class JobClaims:
    """Claims jobs for one holder.

    Parameters
    ----------
    view : FleetView
        The known instances.
    registrar : JobRegistrar
        The registrar of this instance.
    delay : OwnDelay
        The instance's own delay.

    Attributes
    ----------
    own : Claimant
        This instance as a holder.
    unanswered : dict of str to float
        When an instance last left a claim unanswered.
    """

    def __init__(
        self,
        timing: settings.RerunSettings,
        runtime: runtime_module.Runtime,
        peers: peer.Peers,
        view: fleet_view.FleetView,
        registrar: job_registrar.JobRegistrar,
        delay: own_delay.OwnDelay,
    ):
        self.timing = timing
        self.runtime = runtime
        self.peers = peers
        self.fleet = view
        self.registrar = registrar
        self.delay = delay
        self.own = messages.Claimant(view.this_instance, view.first_number)
        self.numbers = itertools.count(view.first_number)
        self.unanswered: dict[str, float] = {}
        self.ranked_instances: dict[str, messages.Instance] = {}
        self.orders: dict[int, Registrars] = {}

    def has_others(self) -> bool:
        """Return whether any other instance is known."""
        return bool(self.fleet.instances())

    def claim(
        self, pending: pending_job.PendingJob, replaces: int = 0
    ) -> messages.ClaimReply | None:
        """Claim a job; return the answer, None if no other instance has answered.

        Parameters
        ----------
        replaces : int
            Number of the claim of a former holder, whose runs are over; 0 for none.
        """
        # A new one, or the claim of an earlier request for the job here, which another holder is
        # about to replace, could not be told from this one.
        pending.claim_number = next(self.numbers)
        message = self._message(pending, replaces)
        reply = self.registrar.claim(self.own.instance, message)
        if not is_granted(reply) or not self.has_others():
            return reply
        registrars = self.registrars(pending.work.id)
        replies = self._ask(registrars.others, registrars.quorum, message)
        if registrars.quorum < QUORUM:
            # A caller sends its job again when this holder, a registrar itself, is out of reach.
            self._inform(registrars.others[registrars.quorum :], pending)
        if not replies and registrars.spare:
            replies = self._ask(registrars.spare, 1, message)
        if not replies:
            metric.count(metrics.CLAIMS_UNANSWERED)
            return None
        return next((reply for reply in replies if not is_granted(reply)), replies[0])

    def _message(self, pending, replaces=0, is_renewal=False):
        pending.claimed_at = self.runtime.now()
        return messages.ClaimJob(
            pending.work.id, self.own.incarnation, pending.claim_number, replaces, is_renewal
        )

    def renew(self, pending: pending_job.PendingJob) -> None:
        """Claim a held job at its present registrars without waiting for their answers."""
        self.registrar.claim(self.own.instance, self._message(pending, is_renewal=True))
        self._inform(self.registrars(pending.work.id).others, pending)

    def _inform(self, targets, pending):
        """Claim a held job at some registrars without waiting for their answers."""
        message = self._message(pending, is_renewal=True)
        for instance in targets:
            try:
                self.peers.send(peer.at_address(instance.address), message)
            except peer.PeerError:
                continue  # repeated with the next renewal

    def registrars(self, job_id: str) -> Registrars:
        """Return the registrars of a job."""
        instances = self.fleet.instances()
        if instances is not self.ranked_instances:
            self._update_orders(instances)
        number = zlib.crc32(job_id.encode()) % ORDERS
        order = self.orders.get(number)
        if order is None:
            order = self.orders[number] = self._rank(_order_key(number), instances)
        return order

    def _update_orders(self, instances):
        """Discard the orders that a change of the instances affects."""
        previous, self.ranked_instances = self.ranked_instances, instances
        changed = [
            instance
            for former, present in ((previous, instances), (instances, previous))
            for name, instance in former.items()
            if present.get(name) != instance
        ]
        if len(changed) > REGISTRARS:
            self.orders.clear()
        for number, order in list(self.orders.items()):
            if any(self._affects(instance, number, order) for instance in changed):
                del self.orders[number]

    def _affects(self, instance, number, order):
        if order.includes(instance.name) or len(order.others) < REGISTRARS:
            return True
        key = _order_key(number)
        last = max(election.score(key, other) for other in (*order.others, *order.spare))
        return election.score(key, instance) <= last

    def _rank(self, key, instances):
        own = self.fleet.this_instance
        ranked = sorted(
            (own, *instances.values()),
            key=lambda instance: (election.score(key, instance), instance.name),
        )
        first = ranked[:REGISTRARS]
        spare = ranked[REGISTRARS : REGISTRARS + 1]
        local = [instance for instance in ranked if instance.data_centre == own.data_centre]
        spare += [one for one in local[: LOCAL_REGISTRARS + 1] if one not in first + spare]
        is_own = own in first
        return Registrars(
            tuple(instance for instance in first if instance.name != own.name),
            min(QUORUM, len(first)) - is_own,
            tuple(instance for instance in spare if instance.name != own.name),
        )

    def is_suspected(self, name: str) -> bool:
        """Return whether an instance has not answered the last claim, or no instance is heard."""
        if self.is_isolated():
            return True
        unanswered_at = self.unanswered.get(name)
        return unanswered_at is not None and self.runtime.now() - unanswered_at < SUSPICION_S

    def is_isolated(self) -> bool:
        """Return whether no other instance has been heard from lately."""
        return self.runtime.now() - self.fleet.heard_at > self.timing.holder_lost_s

    def record_unanswered(self, name: str) -> None:
        """Record that an instance has not answered a claim."""
        self.unanswered[name] = self.runtime.now()

    def _ask(self, targets, needed, message):
        """Return the replies of enough instances, or those that arrive within the timeout.

        A suspected instance is asked at once, since it may have recovered, but waited for only if
        there is no quorum without it.
        """
        question = _Question(self, message, needed, self.runtime.signal())
        timeout_s = self.timing.claim_s + self.delay.allowance_s(self.runtime.now())
        trusted = [target for target in targets if not self.is_suspected(target.name)]
        suspected = [target for target in targets if target not in trusted]
        try:
            question.ask([*trusted[:needed], *suspected])
            if question.wait(HEDGE_S):
                return question.replies
            question.ask(trusted[needed:])
            # Without them there is no quorum, which another holder may have.
            question.waits_for_suspected = len(trusted) < needed and not self.is_isolated()
            if question.waits_for_suspected or not question.is_hopeless():
                question.wait(timeout_s - HEDGE_S)
        finally:
            question.end()
        return question.replies


@attrs.define(eq=False)
class _Question:
    """A claim that several registrars are asked for."""

    claims: JobClaims
    message: messages.ClaimJob
    needed: int
    decided: runtime_module.Signal
    waits_for_suspected: bool = True
    replies: list[messages.ClaimReply] = attrs.Factory(list)
    # The functions that end the requests, by the name of the registrar.
    unanswered: dict[str, Callable[[], None]] = attrs.Factory(dict)
    asked_at: dict[str, float] = attrs.Factory(dict)

    def ask(self, targets):
        """Ask some registrars."""
        if not targets:
            return
        self.decided = self.claims.runtime.signal()
        self.unanswered.update({target.name: _do_nothing for target in targets})
        self.asked_at.update({target.name: self.claims.runtime.now() for target in targets})
        for target in targets:
            try:
                self.unanswered[target.name] = self.claims.peers.start_request(
                    peer.at_address(target.address),
                    self.message,
                    functools.partial(self.on_reply, target.name),
                )
            except peer.PeerError as error:
                self.on_reply(target.name, error)

    def wait(self, timeout_s):
        """Wait until enough registrars have replied, or no further one can; return which."""
        self.decided.wait(timeout_s)
        return self.has_enough()

    def has_enough(self):
        """Return whether no further reply can change the result."""
        return len(self.replies) >= self.needed or not all(map(is_granted, self.replies))

    def is_hopeless(self):
        """Return whether only suspected registrars have not replied."""
        return all(map(self.claims.is_suspected, self.unanswered))

    def on_reply(self, name, reply):
        """Record a reply, or an error in its place."""
        self.unanswered.pop(name, None)
        if isinstance(reply, peer.PeerRefused):
            # An instance of an earlier version keeps no claims.
            reply = messages.ClaimReply(None, False)
        if isinstance(reply, peer.PeerError):
            self.claims.record_unanswered(name)
        else:
            self.claims.fleet.record_heard()
            self.claims.unanswered.pop(name, None)
            self.replies.append(reply)
        is_over = not self.unanswered or (not self.waits_for_suspected and self.is_hopeless())
        if is_over or self.has_enough():
            self.decided.set()

    def end(self):
        """Cease to wait for further replies."""
        now = self.claims.runtime.now()
        for name, end in self.unanswered.items():
            end()
            if now - self.asked_at[name] >= HEDGE_S:
                self.claims.record_unanswered(name)


def _do_nothing():
    """Stand for the end of a request that is about to be sent."""


def _order_key(number):
    return f"jobs/{number}"


def is_granted(reply: messages.ClaimReply) -> bool:
    """Return whether a registrar has recorded a claim."""
    return reply.claimant is None and not reply.is_cancelled
