"""Offers the room that a pool has left to the owners of full pools.

The load that this answers: jobs are bound to a pool by reports that are some tenths of a second
old, so tasks wait in one pool while servers of another are free.  The owner of the free servers is
the first to know; it says so at the moment when room comes up, and the tasks follow.
"""

import attrs

from rosedyke.rerun import messages

# A full pool that doesn't ask again is no longer full.
REQUEST_LIFETIME_S = 0.04
# Room that was offered is kept from others for so long: the way there, to the holders of the tasks
# and back.  Two full pools that take the same room would move their tasks in vain.
OFFER_LIFETIME_S = 0.01


@attrs.define
class PendingRequest:
    """A full pool that waits for room here.

    Attributes
    ----------
    missing_millicores : int
        What it wants less what it was offered.  It asks again if that was not enough; offering
        all room that comes up meanwhile would keep it from others.
    """

    message: messages.CapacityRequest
    expires_at: float
    missing_millicores: int


class CapacityOffers:
    """Offers room for one owner.

    Attributes
    ----------
    requests : dict of str to Want
        The full pools by name, the one that got an offer last at the end.
    offered_until : dict of str to float
        Servers that are offered, by id, and until when.
    """

    def __init__(self, owner):
        self.owner = owner
        self.requests: dict[str, PendingRequest] = {}
        self.offered_until: dict[str, float] = {}

    def on_request(self, message: messages.CapacityRequest) -> None:
        """Note that a pool is full, and offer it what is free."""
        until = self.owner.runtime.now() + REQUEST_LIFETIME_S
        self.requests[message.pool] = PendingRequest(message, until, message.millicores)
        # Offers what is left once the tasks that wait here are placed.
        self.owner.wake_scheduler()

    def offer_free_capacity(self, now: float) -> None:
        """Offer what is free; called when all that wants to start here has started."""
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
            rooms = tuple(
                (millicores, self.owner.speeds.speed_of(state.server.id))
                for state, millicores in reserved
            )
            offer = messages.CapacityOffer(self.owner.name, pool, request.message.service, rooms)
            self.owner.listener.offer_capacity(request.message.sender, offer)

    def _free_servers(self, now):
        """Return the servers with room that is offered to nobody, and that room, fastest first."""
        free = [
            (state, state.free_millicores())
            for state in self.owner.available_servers(now)
            if state.server.id not in self.offered_until
        ]
        return sorted(free, key=lambda entry: -self.owner.speeds.speed_of(entry[0].server.id))


def _reserve(free, request):
    """Remove from the free servers what a pool wants, and return it."""
    needed, reserved = request.message, []
    missing = request.missing_millicores
    for state, millicores in list(free):
        if missing <= 0:
            break
        if state.server.service == needed.service and millicores >= needed.smallest_millicores:
            free.remove((state, millicores))
            reserved.append((state, millicores))
            missing -= millicores
    return reserved
