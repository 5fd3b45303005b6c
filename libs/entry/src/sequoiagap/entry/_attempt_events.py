"""Event queues of the attempts that run at one agent."""

import asyncio


class AttemptEvents:
    """Holds an event queue per attempt and counts the open attempts.

    :param sequoiagap.routing.EndpointView view: gets the number of open attempts.
    """

    def __init__(self, view):
        self.view = view
        self._queue_by_attempt_id = {}
        self._open_ids = set()

    def is_empty(self):
        """Return whether there is no queue.

        :rtype: bool
        """
        return not self._queue_by_attempt_id

    def open(self, attempt_id):
        """Create the queue of a new attempt.

        :param str attempt_id: id of the attempt.
        :rtype: asyncio.Queue
        """
        events = asyncio.Queue()
        self._queue_by_attempt_id[attempt_id] = events
        self._open_ids.add(attempt_id)
        self._update_view()
        return events

    def close(self, attempt_id):
        """Stop counting an attempt that its endpoint has ended.

        :param str attempt_id: id of the attempt.
        """
        self._open_ids.discard(attempt_id)
        self._update_view()

    def forget(self, attempt_id):
        """Remove the queue of an attempt; its later events are dropped.

        :param str attempt_id: id of the attempt.
        :returns: whether the attempt had a queue.
        :rtype: bool
        """
        if self._queue_by_attempt_id.pop(attempt_id, None) is None:
            return False
        self.close(attempt_id)
        return True

    def put(self, attempt_id, event):
        """Queue an event of an attempt, or drop it if there is no queue.

        :param str attempt_id: id of the attempt.
        :param event: the event.
        """
        events = self._queue_by_attempt_id.get(attempt_id)
        if events is not None:
            events.put_nowait(event)

    def put_all(self, event):
        """Add an event to the queue of every attempt.

        :param event: the event.
        """
        for events in self._queue_by_attempt_id.values():
            events.put_nowait(event)

    def _update_view(self):
        self.view.own_in_flight = len(self._open_ids)
