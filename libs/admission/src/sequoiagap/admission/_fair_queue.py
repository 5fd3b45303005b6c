"""Weighted fair queueing of client accounts with bursts and a bounded wait."""

import collections
import dataclasses

from sequoiagap import base

DEFAULT_BURST_S = 2.0
DEFAULT_MAX_LEAD_S = 2.0
MIN_RETRY_SPREAD_S = 2.0
MAX_PRIORITY = 8


@dataclasses.dataclass(frozen=True)
class Shed:
    """Result for a request that is rejected because its wait would be too long.

    :param float predicted_wait_s: predicted wait of the request, in seconds.
    :param float retry_after_s: delay before a retry, in seconds; randomized.
    """

    predicted_wait_s: float
    retry_after_s: float


class _Account:
    """Queue and virtual time of one client account."""

    def __init__(self):
        self.waiting = collections.deque()
        self.virtual_time = 0.0
        self.weight = 1.0


def effective_weight(weight, priority):
    """Return the weight of an account adjusted by its priority.

    Each priority level doubles the weight. Strict priority would let an account of
    high priority starve all others.

    :param float weight: configured weight of the account.
    :param int priority: priority of the account; 0 is the default level.
    :rtype: float

    >>> effective_weight(3, 1)
    6.0
    """
    return float(weight) * 2.0 ** min(max(priority, -MAX_PRIORITY), MAX_PRIORITY)


class FairQueue:
    """Queues requests for slots and shares slot time among client accounts.

    Start-time fair queueing: the virtual time of an account grows by the slot time
    that it uses, here and at other entries, divided by its weight. The account with
    the lowest virtual time is served next. The virtual time of an idle account may lag
    by its burst, and usage at other entries can raise it above the others by a bounded
    lead only.

    :param float max_wait_s: longest predicted wait at which a request is queued, in
        seconds.
    :param random.Random random_state: generator that spreads the retry delays.
    :param float burst_s: slot time per unit of weight that an idle account can
        accumulate, in seconds.
    :param float max_lead_s: time for which usage at other entries can delay an
        account, in seconds.

    :ivar int size_: number of queued requests.
    :ivar float service_time_s_: moving average of a request's slot time, in seconds.

    >>> import random
    >>> queue = FairQueue(1.0, random.Random(0))
    >>> queue.offer("guild", "first", 1.0, slots=1)
    >>> queue.pop()
    ('guild', 'first')
    """

    def __init__(
        self,
        max_wait_s,
        random_state,
        burst_s=DEFAULT_BURST_S,
        max_lead_s=DEFAULT_MAX_LEAD_S,
    ):
        self.max_wait_s = base.check_positive("max_wait_s", max_wait_s)
        self.random_state = random_state
        self.burst_s = burst_s
        self.max_lead_s = max_lead_s
        self.size_ = 0
        self.service_time_s_ = 0.2
        self._virtual_now = 0.0
        self._account_by_name = {}

    def predict_wait_s(self, name, weight, slots):
        """Return the predicted wait of a new request of an account, in seconds.

        :param str name: client account.
        :param float weight: effective weight of the account.
        :param int slots: number of slots available to this entry.
        :rtype: float
        """
        slots = max(slots, 1)
        if self._would_be_next(name):
            return self.service_time_s_ / slots
        account = self._account_by_name.get(name)
        own = len(account.waiting) if account else 0
        others = sum(
            a.weight
            for n, a in self._account_by_name.items()
            if a.waiting and n != name
        )
        share = weight / (weight + others)
        by_share = (own + 1) * self.service_time_s_ / (slots * share)
        by_queue = (self.size_ + 1) * self.service_time_s_ / slots
        return min(by_share, by_queue)

    def offer(self, name, item, weight, slots):
        """Queue a request, or reject it if its predicted wait is too long.

        :param str name: client account.
        :param item: the request, as returned by :meth:`pop`.
        :param float weight: effective weight of the account.
        :param int slots: number of slots available to this entry.
        :returns: ``None`` if the request is queued.
        :rtype: Shed | None
        """
        wait_s = self.predict_wait_s(name, weight, slots)
        if wait_s > self.max_wait_s:
            return Shed(wait_s, self.retry_after_s(wait_s))
        account = self._activate_account(name, weight)
        account.waiting.append(item)
        self.size_ += 1
        return None

    def requeue(self, name, item, weight):
        """Return a dequeued request that found no free slot to the head of its queue.

        :param str name: client account.
        :param item: the request.
        :param float weight: effective weight of the account.
        """
        self._activate_account(name, weight).waiting.appendleft(item)
        self.size_ += 1

    def retry_after_s(self, wait_s):
        """Return a randomized retry delay in seconds.

        :param float wait_s: predicted wait, in seconds.
        :rtype: float
        """
        time_to_half_s = max(wait_s - self.max_wait_s / 2, 0.0)
        return time_to_half_s + self.random_state.uniform(
            0.0, max(wait_s, MIN_RETRY_SPREAD_S)
        )

    def pop(self):
        """Dequeue the next request and charge its account the mean slot time.

        :returns: account and request, or ``None`` if the queue is empty.
        :rtype: tuple | None
        """
        ready = [
            (a.virtual_time, n) for n, a in self._account_by_name.items() if a.waiting
        ]
        if not ready:
            return None
        _, name = min(ready)
        account = self._account_by_name[name]
        item = account.waiting.popleft()
        self.size_ -= 1
        self._charge(account, self.service_time_s_)
        return name, item

    def remove(self, name, item):
        """Remove a queued request that no longer needs a slot.

        :param str name: client account.
        :param item: the request.
        """
        account = self._account_by_name.get(name)
        if account is not None and item in account.waiting:
            account.waiting.remove(item)
            self.size_ -= 1

    def charge_start(self, name, weight):
        """Charge the mean slot time of a request that starts without queueing.

        :param str name: client account.
        :param float weight: effective weight of the account.
        """
        self._charge(self._activate_account(name, weight), self.service_time_s_)

    def correct_charge(self, name, charged_s, used_s):
        """Replace the charge of a request by the slot time that it used.

        :param str name: client account.
        :param float charged_s: slot time charged at its start, in seconds.
        :param float used_s: slot time that it used, in seconds.
        """
        account = self._account_by_name.get(name)
        if account is not None:
            account.virtual_time += (used_s - charged_s) / account.weight
        self.service_time_s_ += 0.05 * (used_s - self.service_time_s_)

    def refund(self, name, charged_s):
        """Refund the charge of a request that did not run.

        :param str name: client account.
        :param float charged_s: slot time charged at its start, in seconds.
        """
        account = self._account_by_name.get(name)
        if account is not None:
            account.virtual_time -= charged_s / account.weight

    def record_remote_usage(self, name, used_s, weight, slots):
        """Charge slot time that an account used at other entries.

        :param str name: client account.
        :param float used_s: slot time used there, in seconds.
        :param float weight: effective weight of the account.
        :param int slots: number of slots available to this entry.
        """
        account = self._activate_account(name, weight)
        active = sum(a.weight for a in self._account_by_name.values() if a.waiting)
        lead = self.max_lead_s * max(slots, 1) / max(active, account.weight)
        limit = max(self._virtual_now + lead, account.virtual_time)
        account.virtual_time = min(
            account.virtual_time + used_s / account.weight, limit
        )

    def forget_idle(self):
        """Drop accounts without queued requests whose burst has fully accumulated."""
        for name, account in list(self._account_by_name.items()):
            is_behind = account.virtual_time <= self._virtual_now - self.burst_s
            if not account.waiting and is_behind:
                del self._account_by_name[name]

    def waiting_by_account(self):
        """Return the number of queued requests of each account.

        :rtype: dict[str, int]
        """
        return {
            n: len(a.waiting) for n, a in self._account_by_name.items() if a.waiting
        }

    def _would_be_next(self, name):
        """Return whether a new request of an account would be served next."""
        account = self._account_by_name.get(name)
        if account is not None and account.waiting:
            return False
        min_virtual_time = self._virtual_now - self.burst_s
        virtual_time = (
            self._virtual_now
            if account is None
            else max(account.virtual_time, min_virtual_time)
        )
        return all(
            virtual_time <= a.virtual_time
            for a in self._account_by_name.values()
            if a.waiting
        )

    def _activate_account(self, name, weight):
        account = self._account_by_name.get(name)
        if account is None:
            account = self._account_by_name[name] = _Account()
            account.virtual_time = self._virtual_now
        account.weight = weight
        if not account.waiting:
            account.virtual_time = max(
                account.virtual_time, self._virtual_now - self.burst_s
            )
        return account

    def _charge(self, account, seconds):
        self._virtual_now = max(self._virtual_now, account.virtual_time)
        account.virtual_time += seconds / account.weight
