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
class PoolRequest:
    """Tasks of one job that wait for slots of one pool.

    Attributes
    ----------
    session : Link
        The pool that they are asked of.
    number : int
        Under which the owner knows it.
    active_job : Job
        The job.
    service : Service
        Its service when the job was placed.
    waiting_indices : set of int
        Indices without a grant.
    """

    session: "Link"
    number: int
    active_job: job.Job
    service: intent.Service
    waiting_indices: set[int]


@attrs.frozen
class HeldGrant:
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
    request: PoolRequest
    granted_at: float


class Link:
    """One pool as this holder deals with it.

    Parameters
    ----------
    pool_shard : Shard
        The pool.
    request_numbers : iterator of int
        Gives numbers that this instance never used before.
    """

    def __init__(self, pool_shard: sharding.Shard, request_numbers: itertools.count):
        self.shard = pool_shard
        self.request_numbers = request_numbers
        self.owner: peer.Peer | None = None
        self.ballot: messages.Ballot | None = None
        self.requests: dict[int, PoolRequest] = {}
        self.held: dict[tuple[int, int], HeldGrant] = {}
        self.unacknowledged: dict[int, PoolRequest] = {}
        self.releases: list[messages.Release] = []
        self.withdrawn: list[int] = []
        self.restarts = 0
        self.is_flushing = False

    def add_request(self, active_job: job.Job, service: intent.Service, indices) -> PoolRequest:
        """Add tasks that wait for slots."""
        request = PoolRequest(self, next(self.request_numbers), active_job, service, set(indices))
        self.requests[request.number] = request
        self.unacknowledged[request.number] = request
        return request

    def withdraw(self, request: PoolRequest) -> None:
        """Stop waiting for a request's slots."""
        if self.requests.pop(request.number, None) is not None:
            self.unacknowledged.pop(request.number, None)
            self.withdrawn.append(request.number)

    def drop_waiting(self, grant: messages.Grant) -> PoolRequest | None:
        """Forget that a task waits for this grant, and return its request if it did."""
        request = self.requests.get(grant.request)
        if request is None or grant.index not in request.waiting_indices:
            return None
        request.waiting_indices.remove(grant.index)
        if not request.waiting_indices:
            del self.requests[request.number]
        return request

    def accept(self, grant: messages.Grant, now: float) -> PoolRequest | None:
        """Use a slot for the task that it was asked for, if that still waits."""
        request = self.drop_waiting(grant)
        if request is not None:
            self.held[grant.request, grant.index] = HeldGrant(grant, request, now)
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

    def discard_all(self) -> list[PoolRequest]:
        """Forget everything, because the pool is no longer declared; return what waited."""
        waiting_requests = list(self.requests.values())
        self.requests.clear()
        self.unacknowledged.clear()
        self.releases.clear()
        self.withdrawn.clear()
        return waiting_requests

    def has_pending(self) -> bool:
        """Return whether there is anything to tell."""
        return bool(self.unacknowledged or self.releases or self.withdrawn)

    def restart(self, owner: peer.Peer | None) -> None:
        """Turn to another owner, or to the same in a later term: what waits gets new numbers.

        Slots in use are told by ``held_slots`` when the new owner asks; what had ended is of no
        interest to it.
        """
        self.restarts += 1
        self.releases = []
        self.withdrawn = list(self.requests) if owner == self.owner else []
        self.owner = owner
        requests = list(self.requests.values())
        self.requests = {}
        for request in requests:
            request.number = next(self.request_numbers)
            self.requests[request.number] = request
        self.unacknowledged = dict(self.requests)

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
            call = held.request.active_job.request.tasks[held.grant.index]
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
                    held.request.active_job.deadline - now,
                )
            )
        return tuple(slots)
