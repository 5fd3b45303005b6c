"""Turns of the requests for one model or service."""

import asyncio
import enum
import time

from sequoiagap import base

PUMP_INTERVAL_S = 0.02

_log = base.get_logger("admission")


class Turn(enum.Enum):
    """How the wait for a turn ended."""

    GIVEN = "given"
    TOO_LONG = "too_long"
    STOPPED = "stopped"


class Turns:
    """Gives turns while endpoints are expected to have free slots.

    :param str target: the model or service.
    :param sequoiagap.admission.FairQueue queue: order of those who wait.
    :param find_candidates: function of the target that returns endpoint views.
    :param sequoiagap.base.TaskSet tasks: owns the task that wakes requests.
    :param count_entries: function that returns how many entries share the slots.

    :ivar int running_: requests that had their turn and have not ended.
    """

    def __init__(self, target, queue, find_candidates, tasks, count_entries):
        self.target = target
        self.queue = queue
        self.find_candidates = find_candidates
        self.tasks = tasks
        self.count_entries = count_entries
        self.running_ = 0
        self._is_pumping = False

    def candidates(self):
        """Return the endpoints that can take work now.

        :rtype: list[sequoiagap.routing.EndpointView]
        """
        return self.find_candidates(self.target)

    def try_take(self, account, weight, candidates):
        """Take a turn at once if nobody waits and a slot is expected to be free.

        Where no endpoint can take work at all, the turn is given too: the
        dispatcher then refuses the request without delay.

        :param str account: client account.
        :param float weight: its effective weight.
        :param list candidates: what :meth:`candidates` returned just now.
        :rtype: bool
        """
        if candidates and (self.queue.size_ or not self._has_slot(candidates)):
            return False
        self.queue.charge_start(account, weight)
        self.running_ += 1
        return True

    async def wait(self, account, turn, bound_s):
        """Wait for a turn of a request that is in the queue.

        :param str account: client account.
        :param asyncio.Future turn: the request's item in the queue.
        :param float bound_s: longest wait, in seconds.
        :rtype: Turn
        """
        self._start_pump()
        try:
            async with asyncio.timeout(bound_s):
                return await asyncio.shield(turn)
        except TimeoutError:
            return turn.result() if turn.done() else Turn.TOO_LONG
        except asyncio.CancelledError:
            if turn.done() and turn.result() == Turn.GIVEN:
                self.running_ -= 1
            raise
        finally:
            self.queue.remove(account, turn)

    def slots(self, candidates):
        """Return how many slots this entry counts on when it predicts a wait.

        That is its part of all slots, or those in use here if they are more: the
        ones in use alone may be very few for a moment.

        :param list candidates: what :meth:`candidates` returned just now.
        :rtype: int
        """
        limits = sum(view.limit for view in candidates)
        return max(self.running_, limits // self.count_entries(), 1)

    def leave(self):
        """Note that a request that had its turn has ended, and give the next."""
        self.running_ -= 1
        self.pump()

    def pump(self):
        """Give turns for as long as a slot is expected to be free."""
        if not self.queue.size_:
            return
        candidates = self.candidates()
        while self.queue.size_ and (not candidates or self._has_slot(candidates)):
            _, turn = self.queue.pop()
            if not turn.done():
                self.running_ += 1
                turn.set_result(Turn.GIVEN)

    def stop(self):
        """End every wait at once."""
        while self.queue.size_:
            _, turn = self.queue.pop()
            if not turn.done():
                turn.set_result(Turn.STOPPED)

    def _has_slot(self, candidates):
        """Tell whether an endpoint is expected to take one more at once.

        Requests that had their turn and have not reached an endpoint yet count
        as well.
        """
        sent = sum(view.own_in_flight for view in candidates)
        unsent = max(self.running_ - sent, 0)
        now = time.monotonic()
        free = 0
        for view in candidates:
            free += view.free_slots(now)
            if free > unsent:
                return True
        return False

    def _start_pump(self):
        if not self._is_pumping:
            self._is_pumping = True
            _log.emit(base.Event.ADMISSION_OVERLOADED, target=self.target)
            self.tasks.start(self._pump_until_empty(), f"pump-{self.target}")

    async def _pump_until_empty(self):
        """Wake waiting requests as slots become free; reports come at any time."""
        try:
            while self.queue.size_:
                self.pump()
                await asyncio.sleep(PUMP_INTERVAL_S)
        finally:
            self._is_pumping = False
            _log.emit(base.Event.ADMISSION_CALM, target=self.target)
