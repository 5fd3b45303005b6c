"""Keeps the crashes behind a quarantine in the store, for gateways that start anew."""

import asyncio
import random
import time

from sequoiagap import admission, base
from sequoiagap.gateway import _ports

FIRST_RETRY_S = 0.5
MAX_RETRY_S = 5.0
MAX_TRIES = 10

_log = base.get_logger("crashes")


class CrashArchive:
    """Saves, loads and deletes crashes in the background.

    Gateways tell each other what they know; the store is read only by those that start,
    as all may have been lost at once.

    :param Store store: the store.
    """

    def __init__(self, store):
        self.store = store
        self._tasks = base.TaskSet()

    async def close(self):
        """Stop all calls to the store."""
        await self._tasks.close()

    def save(self, crashes, now):
        """Save crashes.

        :param list crashes: each an :class:`admission.Crash`.
        :param float now: time on the clock of the crashes, in seconds.
        """
        for crash in crashes:
            record = _ports.CrashRecord(
                crash.crash_id,
                time.time() - (now - crash.at),
                tuple(sorted(crash.prompts)),
                crash.is_confirmed,
            )
            self._start(lambda record=record: self.store.save_crash(record), "save")

    def delete(self, crash_ids):
        """Delete crashes whose quarantine has ended.

        :param crash_ids: iterable of their ids.
        """
        for crash_id in crash_ids:
            self._start(lambda i=crash_id: self.store.delete_crash(i), "delete")

    async def load(self, now):
        """Return the saved crashes; those that are too old to matter are deleted.

        :param now: function that returns the time on the clock of the crashes.
        :rtype: list[admission.Crash]
        """
        records = await self._call(self.store.list_crashes, "load") or []
        wall_time = time.time()
        ages = [max(wall_time - record.at_s, 0.0) for record in records]
        self.delete(
            record.crash_id
            for record, age_s in zip(records, ages, strict=True)
            if age_s > admission.CRASH_KEPT_S
        )
        return [
            admission.Crash(
                record.crash_id,
                now() - age_s,
                frozenset(record.prompts),
                record.is_confirmed,
            )
            for record, age_s in zip(records, ages, strict=True)
            if age_s <= admission.CRASH_KEPT_S
        ]

    def _start(self, call, name):
        self._tasks.start(self._call(call, name), f"{name}-crash")

    async def _call(self, call, name):
        """Return the result of a call to the store, ``None`` if all tries failed."""
        backoff = base.Backoff(FIRST_RETRY_S, MAX_RETRY_S, random.Random())
        for _ in range(MAX_TRIES):
            try:
                return await call()
            except base.PlatformError as error:
                reason = str(error)
            await asyncio.sleep(backoff.next_delay())
        _log.emit(base.Event.CRASH_CALL_FAILED, call=name, error=reason[:160])
        return None
