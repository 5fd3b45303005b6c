"""Delays attempts until the configuration version they were decided under is known."""

import asyncio

from sequoiagap import base, wire

RETRY_AFTER_MS = 500


class ConfigGuard:
    """Wraps the handler of :class:`sequoiagap.wire.Execute` with a version check.

    Attempts are refused until this process has a configuration. An attempt that an
    entry decided under a newer version waits until that version has been pulled, so
    that everything the version forbids is in force before the attempt is handled.

    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    :param ConfigSync config_sync: pulls versions.
    """

    def __init__(self, holder, config_sync):
        self.holder = holder
        self.config_sync = config_sync
        self._tasks = base.TaskSet()
        self._next_handler = None

    def attach(self, handlers):
        """Wrap the handler of attempts in a handler table.

        :param sequoiagap.wire.HandlerTable handlers: the table.
        """
        self._next_handler = handlers.by_type[wire.Execute]
        handlers.by_type[wire.Execute] = self._on_execute

    async def wait_idle(self):
        """Wait until no attempt waits for a version."""
        if self._tasks.tasks_:
            await asyncio.wait(list(self._tasks.tasks_))

    async def close(self):
        """Cancel attempts that wait for a version."""
        await self._tasks.close()

    def find_refusal(self, order):
        """Return the refusal of an attempt, or ``None`` if it may run.

        :param sequoiagap.wire.Execute order: the attempt.
        :rtype: sequoiagap.wire.Refused | None
        """
        if not self.holder.ready_.is_set():
            return self._refused(
                order, base.RefusalKind.NOT_READY, "this agent has no configuration yet"
            )
        if order.config_version > self.holder.current_.number:
            return self._refused(
                order,
                base.RefusalKind.NOT_READY,
                f"this agent does not have version {order.config_version} yet",
            )
        return None

    async def _on_execute(self, connection, order):
        if order.config_version > self.holder.current_.number:
            self._tasks.start(self._execute_after_pull(connection, order), "catch-up")
            return
        await self._execute(connection, order)

    async def _execute_after_pull(self, connection, order):
        try:
            await self.config_sync.pull(connection, order.config_version)
            await self._execute(connection, order)
        except base.WireError:
            return  # the entry resolves the attempt over a new connection

    async def _execute(self, connection, order):
        refusal = self.find_refusal(order)
        if refusal is not None:
            await connection.send(refusal)
            return
        await self._next_handler(connection, order)

    def _refused(self, order, kind, text):
        return wire.Refused(
            attempt_id=order.attempt_id,
            kind=str(kind),
            text=text,
            remedy="Try another endpoint",
            outcome=str(base.Outcome.NOT_RUN),
            retry_after_ms=RETRY_AFTER_MS,
            config_version=self.holder.current_.number,
        )
