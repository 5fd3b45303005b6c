"""Slots of the endpoint, and a short queue for them.

Entries only predict which endpoint has a free slot. Where two of them predict
the same one, the later attempt waits here for the moment that a slot takes to
become free, instead of being refused and sent around.
"""

import asyncio
import collections

MAX_WAIT_S = 0.3
WAITING_PER_SLOT = 0.25
_OPEN_STATES = frozenset({"cold", "warming", "warm"})


class Place:
    """A slot, or a place in the queue for one.

    :ivar bool given_: whether a slot was given.
    """

    def __init__(self):
        self.given_ = False
        self.turn_ = asyncio.Event()

    async def wait(self):
        """Wait for the slot within :data:`MAX_WAIT_S`; tell whether it came.

        :rtype: bool
        """
        if not self.given_:
            try:
                async with asyncio.timeout(MAX_WAIT_S):
                    await self.turn_.wait()
            except TimeoutError:
                return self.given_
        return self.given_


class SlotQueue:
    """Gives the slots of a gate in order of arrival.

    :param sequoiagap.admission.EndpointGate gate: what the endpoint bears.
    :param on_change: function that is called when an attempt came or went.
    """

    def __init__(self, gate, on_change):
        self.gate = gate
        self.on_change = on_change
        self._waiting = collections.deque()

    @property
    def size_(self):
        """Attempts that wait."""
        return len(self._waiting)

    def has_room(self, now):
        """Tell whether an attempt gets a slot now or may wait for one.

        :param float now: monotonic time in seconds.
        :rtype: bool
        """
        limit = self.gate.limit(now)
        if self.gate.in_flight_ + self.gate.inherited_ < limit and not self._waiting:
            return True
        if self.gate.state not in _OPEN_STATES or not self.gate.serves_full_requests:
            return False
        return len(self._waiting) < max(int(limit * WAITING_PER_SLOT), 1)

    def enter(self, now):
        """Take a slot, or a place in the queue.

        :param float now: monotonic time in seconds.
        :rtype: Place
        """
        place = Place()
        self._waiting.append(place)
        self.pump(now)
        self.on_change()
        return place

    def leave(self, place, now):
        """Give back a slot or a place.

        :param Place place: what :meth:`enter` returned.
        :param float now: monotonic time in seconds.
        """
        if place.given_:
            self.gate.release_slot()
        elif place in self._waiting:
            self._waiting.remove(place)
        self.pump(now)
        self.on_change()

    def pump(self, now):
        """Give free slots to those who wait; to be called when the limit grows.

        :param float now: monotonic time in seconds.
        """
        while self._waiting and self.gate.try_acquire_slot(now):
            place = self._waiting.popleft()
            place.given_ = True
            place.turn_.set()
