"""Peak number of concurrent requests per client account over the last day."""

import collections

WINDOW_S = 3600.0
WINDOW_COUNT = 24


class PeakTracker:
    """Records the peak of concurrent requests per account in hourly windows.

    >>> peaks = PeakTracker()
    >>> peaks.record("ann", 3, now=0.0)
    >>> peaks.record("ann", 2, now=7200.0)
    >>> peaks.peaks(now=7200.0), peaks.peaks(now=25 * 3600.0)
    ({'ann': 3}, {'ann': 2})
    """

    def __init__(self):
        self._peak_by_account_by_window = collections.OrderedDict()

    def record(self, account, in_flight, now):
        """Record the number of concurrent requests of an account.

        :param str account: the client account.
        :param int in_flight: its number of requests in flight.
        :param float now: monotonic time in seconds.
        """
        window = int(now // WINDOW_S)
        peak_by_account = self._peak_by_account_by_window.setdefault(window, {})
        previous = peak_by_account.get(account, 0)
        peak_by_account[account] = max(previous, in_flight)
        while len(self._peak_by_account_by_window) > WINDOW_COUNT:
            self._peak_by_account_by_window.popitem(last=False)

    def peaks(self, now):
        """Return the peak of each account over the last day.

        :param float now: monotonic time in seconds.
        :rtype: dict[str, int]
        """
        oldest = int(now // WINDOW_S) - WINDOW_COUNT + 1
        peaks = {}
        for window, peak_by_account in self._peak_by_account_by_window.items():
            if window < oldest:
                continue
            for account, peak in peak_by_account.items():
                peaks[account] = max(peaks.get(account, 0), peak)
        return peaks
