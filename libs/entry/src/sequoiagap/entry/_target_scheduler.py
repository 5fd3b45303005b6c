"""Start of queued requests for one model or service as slots become free."""

import asyncio
import enum
import time

from sequoiagap import base

WAKE_INTERVAL_S = 0.02

_log = base.get_logger("admission")


class WaitResult(enum.Enum):
    """How the wait of a queued request ended."""

    GIVEN = "given"
    TOO_LONG = "too_long"
    STOPPED = "stopped"


class TargetScheduler:
    """Starts requests while endpoints are expected to have free slots.

    :param str target: name of the model or service.
    :param sequoiagap.admission.FairQueue queue: queue of the waiting requests.
    :param find_candidates: function of the target that returns endpoint views.
    :param sequoiagap.base.TaskSet tasks: owns the task that wakes requests.
    :param count_entries: function that returns the number of entries that share
        the slots.

    :ivar int running_: number of requests that were started and have not ended.
    """

    def __init__(self, target, queue, find_candidates, tasks, count_entries):
        self.target = target
        self.queue = queue
        self.find_candidates = find_candidates
        self.tasks = tasks
        self.count_entries = count_entries
        self.running_ = 0
        self._is_waking = False

    def candidates(self):
        """Return the endpoints that can accept requests now.

        :rtype: list[sequoiagap.routing.EndpointView]
        """
        return self.find_candidates(self.target)

    def try_start(self, account, weight, candidates):
        """Start a request without queueing if a slot is expected to be free.

        If requests are queued, no request overtakes them. If no endpoint can accept
        requests at all, the request starts too, so that the dispatcher refuses it
        without delay.

        :param str account: client account.
        :param float weight: effective weight of the account.
        :param list candidates: current result of :meth:`candidates`.
        :returns: whether the request may start.
        :rtype: bool
        """
        if candidates and (self.queue.size_ or not self._has_slot(candidates)):
            return False
        self.queue.charge_start(account, weight)
        self.running_ += 1
        return True

    async def wait(self, account, waiter, timeout_s):
        """Wait until a queued request may start.

        :param str account: client account.
        :param asyncio.Future waiter: the request's item in the queue.
        :param float timeout_s: longest wait, in seconds.
        :rtype: WaitResult
        """
        self._start_waking()
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(waiter)
        except TimeoutError:
            return waiter.result() if waiter.done() else WaitResult.TOO_LONG
        except asyncio.CancelledError:
            if waiter.done() and waiter.result() == WaitResult.GIVEN:
                self.running_ -= 1
            raise
        finally:
            self.queue.remove(account, waiter)

    def slots(self, candidates):
        """Return the number of slots that this entry predicts waits with.

        This is its share of all slots, or the number in use here if that is larger.
        The number in use alone may be very low for a moment.

        :param list candidates: current result of :meth:`candidates`.
        :rtype: int
        """
        limits = sum(view.limit for view in candidates)
        return max(self.running_, limits // self.count_entries(), 1)

    def finish(self):
        """Record that a started request has ended, and start the next ones."""
        self.running_ -= 1
        self.wake_waiting()

    def wake_waiting(self):
        """Start queued requests while a slot is expected to be free."""
        if not self.queue.size_:
            return
        candidates = self.candidates()
        while self.queue.size_ and (not candidates or self._has_slot(candidates)):
            _, waiter = self.queue.pop()
            if not waiter.done():
                self.running_ += 1
                waiter.set_result(WaitResult.GIVEN)

    def stop(self):
        """End the wait of every queued request immediately."""
        while self.queue.size_:
            _, waiter = self.queue.pop()
            if not waiter.done():
                waiter.set_result(WaitResult.STOPPED)

    def _has_slot(self, candidates):
        """Return whether an endpoint is expected to have a free slot.

        Started requests that were not sent to an endpoint yet occupy a slot too.
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

    def _start_waking(self):
        if not self._is_waking:
            self._is_waking = True
            _log.emit(base.Event.ADMISSION_OVERLOADED, target=self.target)
            self.tasks.start(self._wake_until_empty(), f"pump-{self.target}")

    async def _wake_until_empty(self):
        """Start queued requests as slots become free, until the queue is empty.

        It polls, as load reports of endpoints arrive at any time.
        """
        try:
            while self.queue.size_:
                self.wake_waiting()
                await asyncio.sleep(WAKE_INTERVAL_S)
        finally:
            self._is_waking = False
            _log.emit(base.Event.ADMISSION_CALM, target=self.target)
