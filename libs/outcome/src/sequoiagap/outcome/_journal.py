"""Bounded in-memory journal of routing decisions, for ``explain``."""

import collections
import dataclasses
import time

from sequoiagap import base


@dataclasses.dataclass(frozen=True)
class Decision:
    """One decision about a request.

    :param float at: time of the decision, seconds since the epoch.
    :param str step: name of the decision, such as ``attempt_sent``.
    :param int config_version: configuration version that it was based on.
    :param dict details: further values; never prompts, answers or keys.
    """

    at: float
    step: str
    config_version: int
    details: dict


@dataclasses.dataclass
class _Record:
    account: str
    decisions: list[Decision] = dataclasses.field(default_factory=list)


class Journal:
    """Records the decisions about the latest requests.

    :param int capacity: maximum number of requests.
    :param int max_decisions: maximum number of decisions of a request; later ones
        are not recorded.
    :param int max_total: maximum number of decisions of all requests; the oldest
        requests are dropped first.

    :ivar int total_: number of decisions held.

    >>> journal = Journal(capacity=2)
    >>> journal.open("req-1", "guild")
    >>> journal.record("req-1", "admitted", 4)
    >>> [d["step"] for d in journal.explain("req-1")["decisions"]]
    ['admitted']
    """

    def __init__(self, capacity=10_000, max_decisions=32, max_total=30_000):
        self.capacity = base.check_positive("capacity", capacity)
        self.max_decisions = base.check_positive("max_decisions", max_decisions)
        self.max_total = base.check_positive("max_total", max_total)
        self.total_ = 0
        self._record_by_id = collections.OrderedDict()

    def open(self, request_id, account):
        """Start the record of a request.

        :param str request_id: id of the request.
        :param str account: client account that may read the record.
        """
        self._record_by_id[request_id] = _Record(account)
        self._drop_oldest()

    def record(self, request_id, step, config_version, **details):
        """Record a decision about a request.

        :param str request_id: id of the request.
        :param str step: name of the decision.
        :param int config_version: configuration version that it was based on.
        :param details: further values.
        """
        record = self._record_by_id.get(request_id)
        if record is None or len(record.decisions) >= self.max_decisions:
            return
        record.decisions.append(Decision(time.time(), step, config_version, details))
        self.total_ += 1
        self._drop_oldest()

    def explain(self, request_id, account=None):
        """Return the decisions about a request.

        :param str request_id: id of the request.
        :param str account: client account that reads them; ``None`` for an operator.
        :returns: id, account and decisions of the request, or ``None`` if it is
            unknown or belongs to another account.
        :rtype: dict | None
        """
        record = self._record_by_id.get(request_id)
        if record is None or account not in (None, record.account):
            return None
        decisions = [dataclasses.asdict(item) for item in record.decisions]
        return {
            "request_id": request_id,
            "account": record.account,
            "decisions": decisions,
        }

    def _drop_oldest(self):
        while len(self._record_by_id) > self.capacity or self.total_ > self.max_total:
            _, record = self._record_by_id.popitem(last=False)
            self.total_ -= len(record.decisions)
