"""Offers a pool's free capacity to the owners of full pools.

Holders choose pools by reports that are some tenths of a second old, so tasks may wait in one pool
while servers of another are idle.  The owner of the idle servers offers them as soon as they
become free, and waiting tasks are moved there.
"""

import attrs

from rosedyke.rerunnable_jobs import messages

# A request expires unless it is repeated; a pool that does not repeat it is no longer full.
REQUEST_LIFETIME_S = 0.04
# An offered server is not offered to another pool until the moved tasks may have arrived.
# Otherwise two full pools would move tasks to the same capacity in vain.
OFFER_LIFETIME_S = 0.01


@attrs.define
class PendingRequest:
    """An unexpired capacity request of a full pool.

    Attributes
    ----------
    missing_millicores : int
        Requested minus offered millicores.  The pool repeats the request if it needs more; offering
        it more than that would keep the capacity from other pools.
    """

    message: messages.CapacityRequest
    expires_at: float
    missing_millicores: int


class CapacityOffers:
    """Offers the free capacity of one owner's pool.

    Attributes
    ----------
    requests : dict of str to PendingRequest
        Requests by pool; the one that got an offer last is at the end.
    offered_until : dict of str to float
        Until when each offered server is reserved, by server id.
    """

    def __init__(self, owner):
        self.owner = owner
        self.requests: dict[str, PendingRequest] = {}
        self.offered_until: dict[str, float] = {}

    def on_request(self, message: messages.CapacityRequest) -> None:
        """Store the capacity request of a full pool."""
        expires_at = self.owner.runtime.now() + REQUEST_LIFETIME_S
        self.requests[message.pool] = PendingRequest(message, expires_at, message.millicores)
        # The scheduler makes offers after it has placed the tasks that wait here.
        self.owner.wake_scheduler()

    def offer_free_capacity(self, now: float) -> None:
        """Offer the servers that are still free after all local tasks were placed."""
        self.requests = {
            pool: request
            for pool, request in self.requests.items()
            if request.expires_at > now and request.missing_millicores > 0
        }
        if not self.requests:
            return
        self.offered_until = {
            server: until for server, until in self.offered_until.items() if until > now
        }
        free = self._free_servers(now)
        for pool, request in list(self.requests.items()):
            reserved = _reserve(free, request)
            if not reserved:
                continue
            request.missing_millicores -= sum(millicores for _, millicores in reserved)
            self.offered_until.update(
                (state.server.id, now + OFFER_LIFETIME_S) for state, _ in reserved
            )
            self.requests[pool] = self.requests.pop(pool)
            offered_servers = tuple(
                (millicores, self.owner.speeds.speed_of(state.server.id))
                for state, millicores in reserved
            )
            offer = messages.CapacityOffer(
                self.owner.name,
                pool,
                request.message.service,
                offered_servers,
            )
            self.owner.listener.offer_capacity(request.message.sender, offer)

    def _free_servers(self, now):
        """Return the servers that are not offered yet and their free millicores, fastest first.

        Servers that are kept for urgent tasks of this pool are left out.
        """
        kept = frozenset().union(*self.owner.task_scheduler.kept.values())
        free = [
            (state, state.free_millicores())
            for state in self.owner.available_servers(now)
            if state.server.id not in self.offered_until and state.server.id not in kept
        ]
        return sorted(free, key=lambda entry: -self.owner.speeds.speed_of(entry[0].server.id))


def _reserve(free, request):
    """Remove the servers that satisfy a request from the free ones and return them."""
    demand, reserved = request.message, []
    missing = request.missing_millicores
    for state, millicores in list(free):
        if missing <= 0:
            break
        if state.server.service == demand.service and millicores >= demand.smallest_millicores:
            free.remove((state, millicores))
            reserved.append((state, millicores))
            missing -= millicores
    return reserved
