"""Messages about the attempts at one agent, queued for those who follow them."""

import asyncio


class AttemptEvents:
    """Queues of events by attempt id, and which attempts are open.

    :param sequoiagap.routing.EndpointView view: is told how many are open.
    """

    def __init__(self, view):
        self.view = view
        self._queue_by_attempt_id = {}
        self._open_ids = set()

    def is_empty(self):
        """Return whether nobody follows an attempt.

        :rtype: bool
        """
        return not self._queue_by_attempt_id

    def open(self, attempt_id):
        """Return the queue of a new attempt.

        :param str attempt_id: the attempt.
        :rtype: asyncio.Queue
        """
        events = asyncio.Queue()
        self._queue_by_attempt_id[attempt_id] = events
        self._open_ids.add(attempt_id)
        self._count()
        return events

    def close(self, attempt_id):
        """Count an attempt no more, as its endpoint has ended it.

        :param str attempt_id: the attempt.
        """
        self._open_ids.discard(attempt_id)
        self._count()

    def forget(self, attempt_id):
        """Drop an attempt, and whatever is still said of it.

        :param str attempt_id: the attempt.
        :returns: whether it was known.
        :rtype: bool
        """
        if self._queue_by_attempt_id.pop(attempt_id, None) is None:
            return False
        self.close(attempt_id)
        return True

    def put(self, attempt_id, event):
        """Queue an event of an attempt; nobody hears it if it was forgotten.

        :param str attempt_id: the attempt.
        :param event: the event.
        """
        events = self._queue_by_attempt_id.get(attempt_id)
        if events is not None:
            events.put_nowait(event)

    def put_all(self, event):
        """Queue an event for every attempt.

        :param event: the event.
        """
        for events in self._queue_by_attempt_id.values():
            events.put_nowait(event)

    def _count(self):
        self.view.own_in_flight = len(self._open_ids)
