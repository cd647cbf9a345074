"""Offers the room that a pool has left to the owners of full pools.

The load that this answers: jobs are bound to a pool by reports that are some tenths of a second
old, so tasks wait in one pool while servers of another are free.  The owner of the free servers is
the first to know; it says so at the moment when room comes up, and the tasks follow.
"""

import attrs

from rosedyke.rerun import messages

# A full pool that doesn't ask again is no longer full.
WANT_KEPT_S = 0.04
# Room that was offered is kept from others for so long: the way there, to the holders of the tasks
# and back.  Two full pools that take the same room would move their tasks in vain.
OFFER_KEPT_S = 0.01


@attrs.define
class Want:
    """A full pool that waits for room here.

    Attributes
    ----------
    missing_millicores : int
        What it wants less what it was offered.  It asks again if that was not enough; offering
        all room that comes up meanwhile would keep it from others.
    """

    message: messages.WantRoom
    until: float
    missing_millicores: int


class Offering:
    """Offers room for one owner.

    Attributes
    ----------
    wants : dict of str to Want
        The full pools by name, the one that got an offer last at the end.
    offered : dict of str to float
        Servers that are offered, by id, and until when.
    """

    def __init__(self, owner):
        self.owner = owner
        self.wants: dict[str, Want] = {}
        self.offered: dict[str, float] = {}

    def on_wanted(self, message: messages.WantRoom) -> None:
        """Note that a pool is full, and offer it what is free."""
        until = self.owner.runtime.now() + WANT_KEPT_S
        self.wants[message.pool] = Want(message, until, message.millicores)
        # Offers what is left once the tasks that wait here are placed.
        self.owner.schedule()

    def offer(self, now: float) -> None:
        """Offer what is free; called when all that wants to start here has started."""
        self.wants = {
            pool: want
            for pool, want in self.wants.items()
            if want.until > now and want.missing_millicores > 0
        }
        if not self.wants:
            return
        self.offered = {server: until for server, until in self.offered.items() if until > now}
        free = self._free(now)
        for pool, want in list(self.wants.items()):
            taken = _take(free, want)
            if not taken:
                continue
            want.missing_millicores -= sum(millicores for _, millicores in taken)
            self.offered.update((state.server.id, now + OFFER_KEPT_S) for state, _ in taken)
            self.wants[pool] = self.wants.pop(pool)
            rooms = tuple(
                (millicores, self.owner.speeds.of(state.server.id)) for state, millicores in taken
            )
            offer = messages.Offer(self.owner.name, pool, want.message.service, rooms)
            self.owner.listener.offer(want.message.sender, offer)

    def _free(self, now):
        """Return the servers with room that is offered to nobody, and that room, fastest first."""
        found = [
            (state, state.free_millicores())
            for state in self.owner.usable(now)
            if state.server.id not in self.offered
        ]
        return sorted(found, key=lambda each: -self.owner.speeds.of(each[0].server.id))


def _take(free, want):
    """Remove from the free servers what a pool wants, and return it."""
    wanted, taken = want.message, []
    missing = want.missing_millicores
    for state, millicores in list(free):
        if missing <= 0:
            break
        if state.server.service == wanted.service and millicores >= wanted.smallest_millicores:
            free.remove((state, millicores))
            taken.append((state, millicores))
            missing -= millicores
    return taken
