"""Tells entries of load at the endpoint that they can't know themselves."""

import asyncio
import dataclasses

from sequoiagap import base, wire

MAX_REPORTS_PER_S = 100
ACTIVE_S = 2.0
STEPS_PER_LIMIT = 8


@dataclasses.dataclass
class _Told:
    """What an entry was told last.

    :param int others: attempts of other entries; ``None`` before a report.
    :param float used_at: when it last sent an attempt or got an answer.
    """

    others: int | None = None
    used_at: float = 0.0


class LoadNews:
    """Reports load to the entries that use the endpoint, as it changes.

    An entry knows its own attempts, and hears of the others with each of its
    answers. Between two answers the others can fill the endpoint unseen, so it
    is told as soon as their number has changed by an eighth of the limit. The
    reports of one agent are bounded together, however many entries use it.

    :param make_load: function that returns the load report.
    :param count_own: function that returns how many attempts of a connection
        run or wait here.
    :param float max_reports_per_s: bound on reports between answers.
    """

    def __init__(self, make_load, count_own, max_reports_per_s=MAX_REPORTS_PER_S):
        self.make_load = make_load
        self.count_own = count_own
        self.max_reports_per_s = base.check_positive(
            "max_reports_per_s", max_reports_per_s
        )
        self._told_by_connection = {}
        self._tasks = base.TaskSet()
        self._is_due = False
        self._next_at = 0.0

    def follow(self, connection):
        """Report to an entry from now on, for as long as it uses the endpoint.

        :param sequoiagap.wire.Connection connection: the entry.
        """
        told = self._told_by_connection.setdefault(connection, _Told())
        told.used_at = _now()

    async def tell(self, connection):
        """Report to an entry that uses the endpoint; after each of its answers.

        :param sequoiagap.wire.Connection connection: the entry.
        """
        load = self.make_load()
        others = self._count_others(connection, load)
        self._told_by_connection[connection] = _Told(others, _now())
        await wire.try_send(connection, load)

    def note_change(self):
        """Note that an attempt came or went; entries are told as soon as may be."""
        if self._told_by_connection and not self._is_due:
            self._is_due = True
            self._tasks.start(self._tell_when_due(), "tell-load")

    def forget(self, connection):
        """Forget a connection that is lost.

        :param sequoiagap.wire.Connection connection: the entry.
        """
        self._told_by_connection.pop(connection, None)

    async def close(self):
        """Stop reporting."""
        await self._tasks.close()

    async def _tell_when_due(self):
        await asyncio.sleep(max(self._next_at - _now(), 0.0))
        self._is_due = False
        load = self.make_load()
        stale = self._find_stale(load)
        self._next_at = _now() + len(stale) / self.max_reports_per_s
        await asyncio.gather(*(wire.try_send(entry, load) for entry in stale))

    def _find_stale(self, load):
        """Return the entries that believe too much or too little, and note it."""
        self._forget_unused()
        step = max(load.limit // STEPS_PER_LIMIT, 1)
        stale = []
        for connection, told in self._told_by_connection.items():
            others = self._count_others(connection, load)
            if told.others is None or abs(others - told.others) >= step:
                told.others = others
                stale.append(connection)
        return stale

    def _forget_unused(self):
        oldest = _now() - ACTIVE_S
        unused = [
            connection
            for connection, told in self._told_by_connection.items()
            if told.used_at < oldest and not self.count_own(connection)
        ]
        for connection in unused:
            del self._told_by_connection[connection]

    def _count_others(self, connection, load):
        return load.in_flight + load.queued - self.count_own(connection)


def _now():
    return asyncio.get_running_loop().time()
