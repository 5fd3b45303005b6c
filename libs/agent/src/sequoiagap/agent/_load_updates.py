"""Load reports to entries when other entries change the load of the endpoint."""

import asyncio
import dataclasses

from sequoiagap import base, wire

MAX_REPORTS_PER_S = 100
ACTIVE_WINDOW_S = 2.0
REPORT_STEPS_PER_LIMIT = 8


@dataclasses.dataclass
class _LastReport:
    """Last load report that was sent to an entry.

    :param int remote_count: attempts of other entries; ``None`` before a report.
    :param float used_at: when the entry last sent an attempt or got an answer.
    """

    remote_count: int | None = None
    used_at: float = 0.0


class LoadUpdates:
    """Sends load reports to the entries that use the endpoint, as the load changes.

    An entry knows its own attempts and learns the number of the others with each of
    its answers. Between two answers the others can fill the endpoint unseen, so it
    gets a report as soon as their number has changed by an eighth of the limit. The
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
        self._last_by_connection = {}
        self._tasks = base.TaskSet()
        self._is_due = False
        self._next_send_at = 0.0

    def subscribe(self, connection):
        """Report to an entry from now on, for as long as it uses the endpoint.

        :param sequoiagap.wire.Connection connection: the entry.
        """
        last = self._last_by_connection.setdefault(connection, _LastReport())
        last.used_at = _now()

    async def send_report(self, connection):
        """Send a report to an entry; called after each of its answers.

        :param sequoiagap.wire.Connection connection: the entry.
        """
        load = self.make_load()
        remote_count = self._count_remote(connection, load)
        self._last_by_connection[connection] = _LastReport(remote_count, _now())
        await wire.try_send(connection, load)

    def record_change(self):
        """Record that an attempt arrived or left, and schedule reports."""
        if self._last_by_connection and not self._is_due:
            self._is_due = True
            self._tasks.start(self._send_when_due(), "tell-load")

    def unsubscribe(self, connection):
        """Remove a connection that is lost.

        :param sequoiagap.wire.Connection connection: the entry.
        """
        self._last_by_connection.pop(connection, None)

    async def close(self):
        """Stop reporting."""
        await self._tasks.close()

    async def _send_when_due(self):
        await asyncio.sleep(max(self._next_send_at - _now(), 0.0))
        self._is_due = False
        load = self.make_load()
        stale = self._find_stale(load)
        self._next_send_at = _now() + len(stale) / self.max_reports_per_s
        await asyncio.gather(*(wire.try_send(entry, load) for entry in stale))

    def _find_stale(self, load):
        """Return the entries whose last report is stale, and mark them updated."""
        self._forget_unused()
        step = max(load.limit // REPORT_STEPS_PER_LIMIT, 1)
        stale = []
        for connection, last in self._last_by_connection.items():
            remote_count = self._count_remote(connection, load)
            if (
                last.remote_count is None
                or abs(remote_count - last.remote_count) >= step
            ):
                last.remote_count = remote_count
                stale.append(connection)
        return stale

    def _forget_unused(self):
        oldest = _now() - ACTIVE_WINDOW_S
        unused = [
            connection
            for connection, last in self._last_by_connection.items()
            if last.used_at < oldest and not self.count_own(connection)
        ]
        for connection in unused:
            del self._last_by_connection[connection]

    def _count_remote(self, connection, load):
        return load.in_flight + load.queued - self.count_own(connection)


def _now():
    return asyncio.get_running_loop().time()
