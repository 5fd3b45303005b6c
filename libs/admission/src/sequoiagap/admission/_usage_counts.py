"""Counts by client account on their way between entries: changes only."""

import dataclasses

TOLERANCE = 1 / 32
ACCOUNT_REMOVED = -1


@dataclasses.dataclass(frozen=True)
class RequestCount:
    """Requests of one client account.

    :param int running: those that hold a slot.
    :param int in_flight: those that run or wait.
    """

    running: int = 0
    in_flight: int = 0

    def __add__(self, other):
        """Return the sum of two counts."""
        return RequestCount(
            self.running + other.running, self.in_flight + other.in_flight
        )

    def __sub__(self, other):
        """Return the difference, nowhere below zero."""
        return RequestCount(
            max(self.running - other.running, 0),
            max(self.in_flight - other.in_flight, 0),
        )

    def is_near(self, other, tolerance):
        """Return whether two counts differ by no more than a share of them.

        :param Count other: the other count.
        :param float tolerance: the share.
        :rtype: bool

        >>> RequestCount(100, 100).is_near(RequestCount(104, 96), 1 / 16)
        True
        >>> RequestCount(1, 1).is_near(RequestCount(2, 1), 1 / 16)
        False
        """
        pairs = ((self.running, other.running), (self.in_flight, other.in_flight))
        return all(abs(a - b) <= tolerance * max(a, b) for a, b in pairs)


ZERO = RequestCount()
_REMOVED_COUNT = RequestCount(0, ACCOUNT_REMOVED)


def sum_counts(tables):
    """Return the sum of several sheets.

    :param tables: dicts of :class:`RequestCount` by account.
    :rtype: dict[str, Count]
    """
    total = {}
    for count_by_account in tables:
        for account, count in count_by_account.items():
            if count != ZERO:
                total[account] = total.get(account, ZERO) + count
    return total


def subtract_counts(total, own):
    """Return what the accounts of a sheet have besides it.

    :param dict total: :class:`RequestCount` by account.
    :param dict own: the sheet, counted in the total.
    :rtype: dict[str, Count]

    >>> subtract_counts({"a": RequestCount(3, 4), "b": RequestCount(1, 1)}, {"a": RequestCount(1, 2)})
    {'a': Count(running=2, in_flight=2)}
    """
    rest = {a: total.get(a, ZERO) - count for a, count in own.items()}
    return {account: count for account, count in rest.items() if count != ZERO}


def apply_delta(count_by_account, message):
    """Take what a message says into a sheet.

    :param dict count_by_account: :class:`RequestCount` by account; changed in place.
    :param message: message with ``is_full``, ``accounts``, ``running`` and
        ``in_flight``, which is :data:`ACCOUNT_REMOVED` for an account that left the sheet.
    """
    if message.is_full:
        count_by_account.clear()
    columns = (message.accounts, message.running, message.in_flight)
    for account, running, in_flight in zip(*columns, strict=True):
        if in_flight == ACCOUNT_REMOVED:
            count_by_account.pop(account, None)
        else:
            count_by_account[account] = RequestCount(running, in_flight)


@dataclasses.dataclass
class _SentState:
    connection: object
    count_by_account: dict


class DeltaEncoder:
    """Remembers what each receiver was sent, to send it changes only.

    A connection delivers in order or ends. A receiver with a new connection may
    have missed what was sent last, so it gets everything again.

    :param float tolerance: share by which a count may differ from what was sent.
    """

    def __init__(self, tolerance=0.0):
        self.tolerance = tolerance
        self._sent_by_receiver = {}

    def encode_delta(self, receiver, connection, count_by_account):
        """Return what to send: fullness, accounts, running and in flight.

        :param str receiver: id of the entry.
        :param connection: identity of the connection that will carry it.
        :param dict count_by_account: :class:`RequestCount` by account, as it is now.
        :rtype: tuple[bool, list, list, list]
        """
        sent = self._sent_by_receiver.get(receiver)
        is_full = sent is None or sent.connection is not connection
        if is_full:
            sent = self._sent_by_receiver[receiver] = _SentState(connection, {})
        changed = [
            account
            for account in sent.count_by_account.keys() | count_by_account.keys()
            if self._has_changed(
                count_by_account.get(account), sent.count_by_account.get(account)
            )
        ]
        counts = [count_by_account.get(account, _REMOVED_COUNT) for account in changed]
        sent.count_by_account.update(zip(changed, counts, strict=True))
        sent.count_by_account = {
            a: c for a, c in sent.count_by_account.items() if c is not _REMOVED_COUNT
        }
        running = [count.running for count in counts]
        return is_full, changed, running, [count.in_flight for count in counts]

    def retain_receivers(self, receivers):
        """Forget receivers that are sent nothing any more.

        :param set receivers: ids of those that are kept.
        """
        for receiver in set(self._sent_by_receiver) - set(receivers):
            del self._sent_by_receiver[receiver]

    def _has_changed(self, now, sent):
        if now is None or sent is None:
            return now is not sent
        return not now.is_near(sent, self.tolerance)
