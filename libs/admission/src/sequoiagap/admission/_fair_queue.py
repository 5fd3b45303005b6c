"""Weighted fair queueing of client accounts, with burst and bounded wait."""

import collections
import dataclasses

from sequoiagap import base

DEFAULT_BURST_S = 2.0
DEFAULT_MAX_LEAD_S = 2.0
MIN_RETRY_SPREAD_S = 2.0
MAX_PRIORITY = 8


@dataclasses.dataclass(frozen=True)
class Shed:
    """A request that is not worth queueing.

    :param float predicted_wait_s: how long it would have waited.
    :param float retry_after_s: when to come back; different for each caller.
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
    """Return the weight of an account with a priority.

    Each level of priority doubles the share. Strict priority would let a high
    account starve the others, so that a small one would keep nothing.

    :param float weight: weight of the account.
    :param int priority: its priority; 0 is usual.
    :rtype: float

    >>> effective_weight(3, 1)
    6.0
    """
    return float(weight) * 2.0 ** min(max(priority, -MAX_PRIORITY), MAX_PRIORITY)


class FairQueue:
    """Requests that wait for a slot, served in shares of slot time.

    Start-time fair queueing: each account has a virtual time that grows with
    the slot time it used, here and at other entries, over its weight; the
    account with the least one goes first. An account that was idle may be
    behind by its burst, and none gets ahead by more than a bounded lead.

    :param float max_wait_s: longest wait worth queueing for, in seconds.
    :param random.Random random_state: spreads the times to come back.
    :param float burst_s: slot time for each unit of weight that an idle account
        saves up, in seconds.
    :param float max_lead_s: how long usage at other entries can hold an account
        back, in seconds.

    :ivar int size_: requests that wait.
    :ivar float service_time_s_: recent mean slot time of a request, in seconds.

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
        """Return how long a new request of an account would wait, in seconds.

        :param str name: client account.
        :param float weight: its effective weight.
        :param int slots: slots that this entry counts on.
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
        """Queue a request, or shed it if it would wait too long.

        :param str name: client account.
        :param item: the request; given back by :meth:`pop`.
        :param float weight: effective weight of the account.
        :param int slots: slots that this entry counts on.
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
        """Queue a request again that had its turn and found no slot.

        :param str name: client account.
        :param item: the request.
        :param float weight: effective weight of the account.
        """
        self._activate_account(name, weight).waiting.appendleft(item)
        self.size_ += 1

    def retry_after_s(self, wait_s):
        """Return when to come back; drawn anew for each caller.

        :param float wait_s: predicted wait, in seconds.
        :rtype: float
        """
        time_to_half_s = max(wait_s - self.max_wait_s / 2, 0.0)
        return time_to_half_s + self.random_state.uniform(
            0.0, max(wait_s, MIN_RETRY_SPREAD_S)
        )

    def pop(self):
        """Take the request that goes next; charges its account.

        :returns: account and item, or ``None`` if none waits.
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
        """Take a request out that no longer waits.

        :param str name: client account.
        :param item: the request.
        """
        account = self._account_by_name.get(name)
        if account is not None and item in account.waiting:
            account.waiting.remove(item)
            self.size_ -= 1

    def charge_start(self, name, weight):
        """Charge a request that starts without waiting.

        :param str name: client account.
        :param float weight: effective weight of the account.
        """
        self._charge(self._activate_account(name, weight), self.service_time_s_)

    def correct_charge(self, name, charged_s, used_s):
        """Correct the charge of a request by the slot time that it used.

        :param str name: client account.
        :param float charged_s: slot time charged at its start.
        :param float used_s: slot time used.
        """
        account = self._account_by_name.get(name)
        if account is not None:
            account.virtual_time += (used_s - charged_s) / account.weight
        self.service_time_s_ += 0.05 * (used_s - self.service_time_s_)

    def refund(self, name, charged_s):
        """Take back the charge of a request that did not run.

        :param str name: client account.
        :param float charged_s: slot time charged at its start.
        """
        account = self._account_by_name.get(name)
        if account is not None:
            account.virtual_time -= charged_s / account.weight

    def record_remote_usage(self, name, used_s, weight, slots):
        """Charge slot time that an account used at other entries.

        :param str name: client account.
        :param float used_s: slot time in seconds.
        :param float weight: effective weight of the account.
        :param int slots: slots that this entry counts on.
        """
        account = self._activate_account(name, weight)
        active = sum(a.weight for a in self._account_by_name.values() if a.waiting)
        lead = self.max_lead_s * max(slots, 1) / max(active, account.weight)
        limit = max(self._virtual_now + lead, account.virtual_time)
        account.virtual_time = min(
            account.virtual_time + used_s / account.weight, limit
        )

    def forget_idle(self):
        """Drop accounts that neither wait nor are ahead of the others."""
        for name, account in list(self._account_by_name.items()):
            is_behind = account.virtual_time <= self._virtual_now - self.burst_s
            if not account.waiting and is_behind:
                del self._account_by_name[name]

    def waiting_by_account(self):
        """Return how many requests of each account wait.

        :rtype: dict[str, int]
        """
        return {
            n: len(a.waiting) for n, a in self._account_by_name.items() if a.waiting
        }

    def _would_be_next(self, name):
        """Tell whether a new request of an account would be the next to start."""
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
