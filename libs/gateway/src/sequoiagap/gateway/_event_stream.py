"""Splits a byte stream into complete server-sent events."""

MAX_EVENT_BYTES = 1024 * 1024
_ENDS = (b"\n\n", b"\r\n\r\n")
_ID = b"id:"
_DATA = b"data"


class EventStreamError(Exception):
    """The bytes are not an event stream that may be forwarded."""


class EventSplitter:
    r"""Splits bytes into complete events and tracks their ids.

    An endpoint may stop in the middle of an event, so only complete events are
    forwarded. Ids must rise by one; an event that was forwarded before is dropped.

    :param int last_id: id of the last event that the caller has, or ``None``.

    :ivar int last_id_: id of the last complete event so far.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    [b'id: 1\ndata: a\n\n']
    >>> splitter.feed(b"ta: b\n\n"), splitter.is_at_end()
    ([b'id: 2\ndata: b\n\n'], True)
    """

    def __init__(self, last_id=None):
        self.last_id_ = last_id
        self._rest = b""

    def feed(self, data):
        """Add bytes and return the events that are now complete.

        :param bytes data: received bytes.
        :rtype: list[bytes]
        :raises EventStreamError: if an event is too long or its id is out of order.
        """
        self._rest += data
        events = []
        while (end := _find_end(self._rest)) > 0:
            event, self._rest = self._rest[:end], self._rest[end:]
            if self._is_next(event):
                events.append(event)
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventStreamError(f"event exceeds {MAX_EVENT_BYTES} bytes")
        return events

    @property
    def rest_bytes_(self):
        """Number of bytes of the incomplete event that remains."""
        return len(self._rest)

    def is_at_end(self):
        """Return whether no incomplete event remains."""
        return not self._rest

    def _is_next(self, event):
        event_id = _find_id(event)
        if event_id is None:
            return True
        last = self.last_id_
        if last is not None and event_id <= last:
            return False
        if last is not None and event_id != last + 1:
            raise EventStreamError(f"event {event_id} follows event {last}")
        self.last_id_ = event_id
        return True


def has_content(event):
    r"""Return whether an event advances its stream.

    :param bytes event: a complete event.
    :rtype: bool

    >>> has_content(b"id: 1\ndata: a\n\n"), has_content(b": still there\n\n")
    (True, False)
    """
    return any(line.startswith((_ID, _DATA)) for line in event.splitlines())


def _find_end(data):
    ends = [data.find(end) + len(end) for end in _ENDS if end in data]
    return min(ends, default=0)


def _find_id(event):
    for line in event.splitlines():
        if line.startswith(_ID):
            try:
                return int(line[len(_ID) :])
            except ValueError as error:
                raise EventStreamError(f"event id {line!r} is not a number") from error
    return None
