"""Slots of the endpoint and a short queue for them.

Entries only estimate which endpoint has a free slot. When two of them choose the
same slot, the later attempt waits here briefly until another slot becomes free,
instead of being refused and retried at another endpoint.
"""

import asyncio
import collections

MAX_WAIT_S = 0.3
MAX_WAITING_PER_SLOT = 0.25
_OPEN_STATES = frozenset({"cold", "warming", "warm"})


class SlotRequest:
    """A slot, or a position in the queue for one.

    :ivar bool is_granted_: whether a slot was granted.
    :ivar asyncio.Event granted_event_: set when the slot is granted.
    """

    def __init__(self):
        self.is_granted_ = False
        self.granted_event_ = asyncio.Event()

    async def wait(self):
        """Wait for the slot for at most :data:`MAX_WAIT_S`.

        :returns: whether the slot was granted.
        :rtype: bool
        """
        if not self.is_granted_:
            try:
                async with asyncio.timeout(MAX_WAIT_S):
                    await self.granted_event_.wait()
            except TimeoutError:
                return self.is_granted_
        return self.is_granted_


class SlotQueue:
    """Grants the slots of a gate in order of arrival.

    :param sequoiagap.admission.EndpointGate gate: limit on concurrent attempts.
    :param on_change: function called whenever an attempt arrives or leaves.
    """

    def __init__(self, gate, on_change):
        self.gate = gate
        self.on_change = on_change
        self._waiting = collections.deque()

    @property
    def size_(self):
        """Number of waiting attempts."""
        return len(self._waiting)

    def can_accept(self, now):
        """Return whether an attempt gets a slot now or may wait for one.

        :param float now: monotonic time in seconds.
        :rtype: bool
        """
        limit = self.gate.limit(now)
        if self.gate.in_flight_ + self.gate.inherited_ < limit and not self._waiting:
            return True
        if self.gate.state not in _OPEN_STATES or not self.gate.serves_full_requests:
            return False
        return len(self._waiting) < max(int(limit * MAX_WAITING_PER_SLOT), 1)

    def request_slot(self, now):
        """Take a slot, or join the queue for one.

        :param float now: monotonic time in seconds.
        :rtype: SlotRequest
        """
        slot_request = SlotRequest()
        self._waiting.append(slot_request)
        self.grant_free_slots(now)
        self.on_change()
        return slot_request

    def release(self, slot_request, now):
        """Release a slot or leave the queue.

        :param SlotRequest slot_request: result of :meth:`request_slot`.
        :param float now: monotonic time in seconds.
        """
        if slot_request.is_granted_:
            self.gate.release_slot()
        elif slot_request in self._waiting:
            self._waiting.remove(slot_request)
        self.grant_free_slots(now)
        self.on_change()

    def grant_free_slots(self, now):
        """Grant free slots to waiting attempts; call it whenever the limit may grow.

        :param float now: monotonic time in seconds.
        """
        while self._waiting and self.gate.try_acquire_slot(now):
            slot_request = self._waiting.popleft()
            slot_request.is_granted_ = True
            slot_request.granted_event_.set()
