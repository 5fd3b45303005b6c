"""Usage of client accounts at this entry and, by direct reports, at others."""

import dataclasses

from sequoiagap import base, wire
from sequoiagap.admission import _sheets

USAGE_EXPIRY_S = 3.0
ACCOUNT_RETENTION_S = 4.0


@wire.message(500)
class AccountUsage:
    """Usage of client accounts at one entry since its last report.

    :param str entry_id: id of the entry.
    :param str incarnation: incarnation of the entry.
    :param dict used_s: slot time since the last report, in seconds, by account.
    :param dict in_flight: number of requests that run or wait there now, by account.
    """

    entry_id: str
    incarnation: str
    used_s: dict
    in_flight: dict


@dataclasses.dataclass
class _EntryReport:
    heard_at: float = 0.0
    in_flight: dict = dataclasses.field(default_factory=dict)


class UsageTable:
    """Usage of client accounts at this entry and, until expiry, at other entries.

    :param str entry_id: id of this entry.
    :param str incarnation: incarnation of this entry.
    :param float expiry_s: time after which another entry's report expires, in seconds.

    :ivar dict in_flight_: own requests that run or wait, by account.
    :ivar dict running_: own requests that hold a slot, by account.

    >>> table = UsageTable("entry-0", "inc-0")
    >>> report = AccountUsage("entry-1", "inc-1", {"guild": 1.0}, {"guild": 2})
    >>> table.record_report(report, now=1.0), table.remote_in_flight("guild")
    ({'guild': 1.0}, 2)
    """

    def __init__(self, entry_id, incarnation, expiry_s=USAGE_EXPIRY_S):
        self.entry_id = entry_id
        self.incarnation = incarnation
        self.expiry_s = base.check_positive("expiry_s", expiry_s)
        self.in_flight_ = {}
        self.running_ = {}
        self._seen_at_by_account = {}
        self._used_s = {}
        self._entry_by_id = {}

    def record_arrival(self, account):
        """Record a request that begins to wait or run here.

        :param str account: client account.
        """
        self.in_flight_[account] = self.in_flight_.get(account, 0) + 1

    def record_end(self, account, used_s):
        """Record the end of a request and its slot time.

        :param str account: client account.
        :param float used_s: slot time that the request used, in seconds.
        """
        _decrement(self.in_flight_, account)
        self._used_s[account] = self._used_s.get(account, 0.0) + used_s

    def record_start(self, account):
        """Record a request that acquires a slot.

        :param str account: client account.
        """
        self.running_[account] = self.running_.get(account, 0) + 1

    def record_stop(self, account):
        """Record a request that releases its slot.

        :param str account: client account.
        """
        _decrement(self.running_, account)

    def count_by_account(self, now):
        """Return the request counts of the accounts at this entry.

        An account is retained for :data:`ACCOUNT_RETENTION_S` after its last request,
        so that this entry continues to receive its counts at other entries.

        :param float now: monotonic time in seconds.
        :rtype: dict[str, RequestCount]
        """
        seen_at = self._seen_at_by_account
        seen_at.update(dict.fromkeys(self._used_s, now))
        seen_at.update(dict.fromkeys(self.in_flight_, now))
        for account in [
            a for a, at in seen_at.items() if now - at > ACCOUNT_RETENTION_S
        ]:
            del seen_at[account]
        return {
            account: _sheets.RequestCount(
                self.running_.get(account, 0), self.in_flight_.get(account, 0)
            )
            for account in seen_at
        }

    def make_report(self):
        """Return the report for the other entries and reset the used slot time.

        :rtype: AccountUsage
        """
        used_s, self._used_s = self._used_s, {}
        return AccountUsage(
            self.entry_id, self.incarnation, used_s, dict(self.in_flight_)
        )

    def record_report(self, report, now):
        """Record the report of another entry.

        :param AccountUsage report: the report.
        :param float now: monotonic time in seconds.
        :returns: slot time used there, in seconds, by account.
        :rtype: dict[str, float]
        """
        if report.entry_id == self.entry_id:
            return {}
        self._entry_by_id[report.entry_id] = _EntryReport(now, dict(report.in_flight))
        return report.used_s

    def expire(self, now):
        """Drop the entries whose last report has expired.

        :param float now: monotonic time in seconds.
        :returns: ids of the dropped entries.
        :rtype: list[str]
        """
        silent = [
            entry_id
            for entry_id, entry in self._entry_by_id.items()
            if now - entry.heard_at > self.expiry_s
        ]
        for entry_id in silent:
            del self._entry_by_id[entry_id]
        return silent

    def remote_in_flight(self, account):
        """Return the number of an account's requests that run or wait elsewhere.

        :param str account: client account.
        :rtype: int
        """
        return sum(e.in_flight.get(account, 0) for e in self._entry_by_id.values())

    def reporting_entries(self):
        """Return the ids of the entries whose report has not expired, sorted.

        :rtype: list[str]
        """
        return sorted(self._entry_by_id)


def _decrement(count_by_account, account):
    """Decrement the count of an account and drop the account at zero."""
    remaining = count_by_account.get(account, 0) - 1
    if remaining > 0:
        count_by_account[account] = remaining
    else:
        count_by_account.pop(account, None)
