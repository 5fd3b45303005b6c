"""The registration of a process in the store, written again where it is missing."""

import random
import time

from sequoiagap import base

LIST_LAG_S = 4.0  # a list may be this old, and lack what was written since
DOUBT_SPREAD_S = 3.0  # over which all processes look after their entries

_log = base.get_logger("registration")


class Registration:
    """Keeps a process registered for the others.

    The store may lose the entry, as it came back from a copy, or somebody deletes it;
    then processes that start later would not find this one.

    :param Node own: the process.
    :param Store store: where it is registered.
    """

    def __init__(self, own, store):
        self.own = own
        self.store = store
        self._written_at = None
        self._write_at = 0.0

    async def write_if_missing(self):
        """Write the entry if it is missing, as far as known.

        :raises sequoiagap.base.PlatformError: if the store does not answer.
        """
        if time.monotonic() < self._write_at:
            return
        await self.store.announce(self.own)
        if self._written_at is not None:
            _log.emit(base.Event.REGISTERED_AGAIN, process=self.own.node_id)
        self._written_at = time.monotonic()
        self._write_at = float("inf")

    def check(self, node_by_id):
        """Compare the entry with a list that may be some seconds old.

        :param dict node_by_id: the processes registered.
        """
        if self._written_at is None or node_by_id.get(self.own.node_id) == self.own:
            return
        if time.monotonic() - self._written_at > LIST_LAG_S:
            self.doubt()

    def doubt(self):
        """Have the entry written again soon, at a moment of its own."""
        due_at = time.monotonic() + DOUBT_SPREAD_S * random.random()
        self._write_at = min(self._write_at, due_at)
