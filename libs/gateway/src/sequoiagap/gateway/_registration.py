"""Keeps the registration of a process in the store and rewrites it if it is lost."""

import random
import time

from sequoiagap import base

MAX_LIST_AGE_S = 4.0  # an older write must be visible in a list
REWRITE_SPREAD_S = 3.0  # window over which all processes rewrite their entries

_log = base.get_logger("registration")


class Registration:
    """Keeps a process registered, so that others can discover it.

    The entry is lost if the store is restored from an older copy or if somebody deletes
    it; processes that start later would then not find this one.

    :param Node own: the process.
    :param Store store: where it is registered.
    """

    def __init__(self, own, store):
        self.own = own
        self.store = store
        self._written_at = None
        self._next_write_at = 0.0

    async def write_if_missing(self):
        """Write the entry at first, and again once it is known to be missing.

        :raises sequoiagap.base.PlatformError: if the store does not answer.
        """
        if time.monotonic() < self._next_write_at:
            return
        await self.store.announce(self.own)
        if self._written_at is not None:
            _log.emit(base.Event.REGISTERED_AGAIN, process=self.own.node_id)
        self._written_at = time.monotonic()
        self._next_write_at = float("inf")

    def check(self, node_by_id):
        """Compare the entry with a list that may be some seconds old.

        :param dict node_by_id: the registered processes.
        """
        if self._written_at is None or node_by_id.get(self.own.node_id) == self.own:
            return
        if time.monotonic() - self._written_at > MAX_LIST_AGE_S:
            self.rewrite_soon()

    def rewrite_soon(self):
        """Schedule a rewrite after a random delay."""
        due_at = time.monotonic() + REWRITE_SPREAD_S * random.random()
        self._next_write_at = min(self._next_write_at, due_at)
