"""Holds attempts back until their configuration version is known here."""

import asyncio

from sequoiagap import base, wire

RETRY_AFTER_MS = 500


class ConfigGuard:
    """Stands before the handler of :class:`sequoiagap.wire.Execute`.

    No attempt passes before this process has learnt the configuration. One that
    an entry has decided under a version that this process does not have waits
    until that version is pulled; so whatever the version forbids is in force
    when the attempt is looked at.

    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    :param ConfigSpread spread: pulls versions.
    """

    def __init__(self, holder, spread):
        self.holder = holder
        self.spread = spread
        self._tasks = base.TaskSet()
        self._handle = None

    def attach(self, handlers):
        """Wrap the handler of attempts that a table has.

        :param sequoiagap.wire.HandlerTable handlers: the table.
        """
        self._handle = handlers.by_type[wire.Execute]
        handlers.by_type[wire.Execute] = self._on_execute

    async def wait_idle(self):
        """Wait until no attempt waits for a version."""
        if self._tasks.tasks_:
            await asyncio.wait(list(self._tasks.tasks_))

    async def close(self):
        """Drop attempts that wait for a version."""
        await self._tasks.close()

    def find_refusal(self, order):
        """Return why an attempt is refused, or ``None``.

        :param sequoiagap.wire.Execute order: the attempt.
        :rtype: sequoiagap.wire.Refused | None
        """
        if not self.holder.ready_.is_set():
            return self._refused(
                order, base.RefusalKind.NOT_READY, "no configuration is known here yet"
            )
        if order.config_version > self.holder.current_.number:
            return self._refused(
                order,
                base.RefusalKind.NOT_READY,
                f"version {order.config_version} is not known here yet",
            )
        return None

    async def _on_execute(self, connection, order):
        if order.config_version > self.holder.current_.number:
            self._tasks.start(self._execute_later(connection, order), "catch-up")
            return
        await self._execute(connection, order)

    async def _execute_later(self, connection, order):
        try:
            await self.spread.catch_up(connection, order.config_version)
            await self._execute(connection, order)
        except base.WireError:
            return  # the entry settles the attempt over a new connection

    async def _execute(self, connection, order):
        refusal = self.find_refusal(order)
        if refusal is not None:
            await connection.send(refusal)
            return
        await self._handle(connection, order)

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
