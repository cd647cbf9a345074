"""What a holder has to tell the owner of one pool, and which slots it uses there.

The rule that keeps a late grant harmless: a number of a request is told to one owner only, in one
of its terms.  When the owner changes, everything that waits gets new numbers, so a grant for an
old one is known to be late.
"""

import itertools

import attrs

from rosedyke.configuration import intent
from rosedyke.dispatch import messages, sharding, slot_lease
from rosedyke.job import job
from rosedyke.wire import peer


@attrs.define(eq=False)
class Request:
    """Tasks of one job that wait for slots of one pool.

    Attributes
    ----------
    link : Link
        The pool that they are asked of.
    number : int
        Under which the owner knows it.
    running : Job
        The job.
    service : Service
        Its service when the job was placed.
    waiting : set of int
        Indices without a grant.
    """

    link: "Link"
    number: int
    running: job.Job
    service: intent.Service
    waiting: set[int]


@attrs.frozen
class Held:
    """A slot that this instance uses.

    Attributes
    ----------
    grant : Grant
        As it came.
    request : Request
        Whose task runs there.
    granted_at : float
        When it came.
    """

    grant: messages.Grant
    request: Request
    granted_at: float


class Link:
    """One pool as this holder deals with it.

    Parameters
    ----------
    target : Shard
        The pool.
    numbers : iterator of int
        Gives numbers that this instance never used before.
    """

    def __init__(self, target: sharding.Shard, numbers: itertools.count):
        self.shard = target
        self.numbers = numbers
        self.owner: peer.Peer | None = None
        self.ballot: messages.Ballot | None = None
        self.requests: dict[int, Request] = {}
        self.held: dict[tuple[int, int], Held] = {}
        self.asked: dict[int, Request] = {}
        self.releases: list[messages.Release] = []
        self.withdrawn: list[int] = []
        self.renewals = 0
        self.is_flushing = False

    def ask(self, running: job.Job, service: intent.Service, indices) -> Request:
        """Add tasks that wait for slots."""
        request = Request(self, next(self.numbers), running, service, set(indices))
        self.requests[request.number] = request
        self.asked[request.number] = request
        return request

    def withdraw(self, request: Request) -> None:
        """Stop waiting for a request's slots."""
        if self.requests.pop(request.number, None) is not None:
            self.asked.pop(request.number, None)
            self.withdrawn.append(request.number)

    def give_up(self, grant: messages.Grant) -> Request | None:
        """Forget that a task waits for this grant, and return its request if it did."""
        request = self.requests.get(grant.request)
        if request is None or grant.index not in request.waiting:
            return None
        request.waiting.remove(grant.index)
        if not request.waiting:
            del self.requests[request.number]
        return request

    def take(self, grant: messages.Grant, now: float) -> Request | None:
        """Use a slot for the task that it was asked for, if that still waits."""
        request = self.give_up(grant)
        if request is not None:
            self.held[grant.request, grant.index] = Held(grant, request, now)
        return request

    def release(
        self,
        grant: messages.Grant,
        outcome: slot_lease.Outcome,
        run_s: float = 0.0,
        is_leaving: bool = False,
    ) -> None:
        """Give a slot back."""
        self.held.pop((grant.request, grant.index), None)
        self.releases.append(
            messages.Release(grant.request, grant.index, outcome.value, run_s, is_leaving)
        )

    def abandon(self) -> list[Request]:
        """Forget everything, because the pool is no longer declared; return what waited."""
        waiting = list(self.requests.values())
        self.requests.clear()
        self.asked.clear()
        self.releases.clear()
        self.withdrawn.clear()
        return waiting

    def has_news(self) -> bool:
        """Return whether there is anything to tell."""
        return bool(self.asked or self.releases or self.withdrawn)

    def renew(self, owner: peer.Peer | None) -> None:
        """Turn to another owner, or to the same in a later term: what waits gets new numbers.

        Slots in use are told by ``held_slots`` when the new owner asks; what had ended is of no
        interest to it.
        """
        self.renewals += 1
        self.releases = []
        self.withdrawn = list(self.requests) if owner == self.owner else []
        self.owner = owner
        requests = list(self.requests.values())
        self.requests = {}
        for request in requests:
            request.number = next(self.numbers)
            self.requests[request.number] = request
        self.asked = dict(self.requests)

    def obey(self, ballot: messages.Ballot) -> bool:
        """Return whether a ballot is the newest known, and remember it."""
        if self.ballot is not None and ballot.key() < self.ballot.key():
            return False
        self.ballot = ballot
        return True

    def held_slots(self, now: float) -> tuple[messages.HeldSlot, ...]:
        """Return the slots in use, for a new owner."""
        slots = []
        for held in self.held.values():
            call = held.request.running.request.tasks[held.grant.index]
            declared = held.request.service.task(call.name)
            slots.append(
                messages.HeldSlot(
                    held.grant.request,
                    held.grant.index,
                    held.grant.server,
                    call.name,
                    call.size or declared.size,
                    call.run_time_s or declared.run_time_s,
                    now - held.granted_at,
                    held.request.running.deadline - now,
                )
            )
        return tuple(slots)
