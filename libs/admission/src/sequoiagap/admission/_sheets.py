"""Request counts by client account and their delta encoding between entries."""

import dataclasses

TOLERANCE = 1 / 32  # relative deviation of a count that is not sent
ACCOUNT_REMOVED = -1  # value of in_flight for an account that was removed


@dataclasses.dataclass(frozen=True)
class RequestCount:
    """Number of requests of one client account.

    :param int running: number of requests that hold a slot.
    :param int in_flight: number of requests that run or wait.
    """

    running: int = 0
    in_flight: int = 0

    def __add__(self, other):
        """Return the sum of two counts."""
        return RequestCount(
            self.running + other.running, self.in_flight + other.in_flight
        )

    def __sub__(self, other):
        """Return the difference, with negative values set to zero."""
        return RequestCount(
            max(self.running - other.running, 0),
            max(self.in_flight - other.in_flight, 0),
        )

    def is_near(self, other, tolerance):
        """Return whether two counts differ by at most a relative tolerance.

        :param RequestCount other: the other count.
        :param float tolerance: maximum difference as a share of the larger value.
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
    """Return the sum of several tables of counts, without accounts of zero requests.

    :param tables: dicts of :class:`RequestCount` by account.
    :rtype: dict[str, RequestCount]
    """
    total = {}
    for count_by_account in tables:
        for account, count in count_by_account.items():
            if count != ZERO:
                total[account] = total.get(account, ZERO) + count
    return total


def subtract_counts(total, own):
    """Return the total without the own counts, for the accounts of the latter.

    :param dict total: :class:`RequestCount` by account.
    :param dict own: :class:`RequestCount` by account; included in the total.
    :rtype: dict[str, RequestCount]

    >>> total = {"a": RequestCount(3, 4), "b": RequestCount(1, 1)}
    >>> subtract_counts(total, {"a": RequestCount(1, 2)})
    {'a': RequestCount(running=2, in_flight=2)}
    """
    rest = {a: total.get(a, ZERO) - count for a, count in own.items()}
    return {account: count for account, count in rest.items() if count != ZERO}


def apply_delta(count_by_account, message):
    """Apply the changes in a message to a table of counts.

    :param dict count_by_account: :class:`RequestCount` by account; changed in place.
    :param message: message with ``is_full``, ``accounts``, ``running`` and
        ``in_flight``; the latter is :data:`ACCOUNT_REMOVED` for an account that was
        removed.
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
    """Encodes tables of counts as changes since the last message to each receiver.

    A connection delivers messages in order or ends. A receiver with a new connection
    may have missed the last messages, so it is sent the full table again.

    :param float tolerance: relative deviation from the sent count that is not sent.
    """

    def __init__(self, tolerance=0.0):
        self.tolerance = tolerance
        self._sent_by_receiver = {}

    def encode_delta(self, receiver, connection, count_by_account):
        """Return the fields of the next message to a receiver.

        :param str receiver: id of the receiver.
        :param connection: connection that will carry the message; compared by identity.
        :param dict count_by_account: current :class:`RequestCount` by account.
        :returns: values of ``is_full``, ``accounts``, ``running`` and ``in_flight``.
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
        """Drop the state of all other receivers.

        :param set receivers: ids of the receivers to retain.
        """
        for receiver in set(self._sent_by_receiver) - set(receivers):
            del self._sent_by_receiver[receiver]

    def _has_changed(self, now, sent):
        if now is None or sent is None:
            return now is not sent
        return not now.is_near(sent, self.tolerance)
