"""A holder's session with the owner of one pool: pending updates, requests and slots in use.

Stale grants are harmless because each request number is sent to one owner only, in one of its
terms.  When the owner changes, waiting requests get new numbers, so grants for old ones are
recognised as stale.
"""

import itertools

import attrs

from rosedyke.configuration import intent
from rosedyke.dispatch import messages, sharding, slot_lease
from rosedyke.job import job
from rosedyke.wire import peer


@attrs.define(eq=False)
class PoolRequest:
    """Tasks of one job that are waiting for slots of one pool.

    Attributes
    ----------
    session : PoolSession
        The session with the pool's owner.
    number : int
        Request number, which identifies it to the owner.
    active_job : Job
        The job.
    service : Service
        The job's service at the time of its placement.
    waiting_indices : set of int
        Indices of the tasks without a grant.
    """

    session: "PoolSession"
    number: int
    active_job: job.Job
    service: intent.Service
    waiting_indices: set[int]


@attrs.frozen
class HeldGrant:
    """A granted slot that this instance uses.

    Attributes
    ----------
    grant : Grant
        The grant as received.
    request : PoolRequest
        The request that it was granted for.
    granted_at : float
        Monotonic seconds of its receipt.
    """

    grant: messages.Grant
    request: PoolRequest
    granted_at: float


class PoolSession:
    """Session with the owner of one pool.

    Parameters
    ----------
    pool_shard : Shard
        The pool.
    request_numbers : iterator of int
        Yields request numbers unique in this instance.
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
        """Add a request for slots."""
        request = PoolRequest(self, next(self.request_numbers), active_job, service, set(indices))
        self.requests[request.number] = request
        self.unacknowledged[request.number] = request
        return request

    def withdraw(self, request: PoolRequest) -> None:
        """Withdraw a request."""
        if self.requests.pop(request.number, None) is not None:
            self.unacknowledged.pop(request.number, None)
            self.withdrawn.append(request.number)

    def drop_waiting(self, grant: messages.Grant) -> PoolRequest | None:
        """Remove the waiting task of a grant; return its request, None if it was not waiting."""
        request = self.requests.get(grant.request)
        if request is None or grant.index not in request.waiting_indices:
            return None
        request.waiting_indices.remove(grant.index)
        if not request.waiting_indices:
            del self.requests[request.number]
        return request

    def accept(self, grant: messages.Grant, now: float) -> PoolRequest | None:
        """Accept a grant if its task is still waiting, and return its request."""
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
        """Release a slot."""
        self.held.pop((grant.request, grant.index), None)
        self.releases.append(
            messages.Release(grant.request, grant.index, outcome.value, run_s, is_leaving)
        )

    def discard_all(self) -> list[PoolRequest]:
        """Discard all state and return the waiting requests."""
        waiting_requests = list(self.requests.values())
        self.requests.clear()
        self.unacknowledged.clear()
        self.releases.clear()
        self.withdrawn.clear()
        return waiting_requests

    def has_pending(self) -> bool:
        """Return whether there are pending updates for the owner."""
        return bool(self.unacknowledged or self.releases or self.withdrawn)

    def restart(self, owner: peer.Peer | None) -> None:
        """Restart with another owner, or the same in a later term, under new request numbers.

        A new owner requests the slots in use itself (see ``held_slots``) and does not need
        earlier releases.
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

    def accept_ballot(self, ballot: messages.Ballot) -> bool:
        """Accept a ballot and return true, unless a newer one was accepted before."""
        if self.ballot is not None and ballot.key() < self.ballot.key():
            return False
        self.ballot = ballot
        return True

    def held_slots(self, now: float) -> tuple[messages.HeldSlot, ...]:
        """Return the slots in use, as reported to a new owner."""
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
