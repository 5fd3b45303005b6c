"""Runs attempts at the endpoint and reports their answers."""

import asyncio
import time

from sequoiagap import base, wire
from sequoiagap.agent import _endpoint

RETRY_AFTER_MS = 500
SERVICE_TIME_WEIGHT = 0.2

_log = base.get_logger("executor")


class Executor:
    """Runs the attempts that entries send.

    :param EndpointClient client: the endpoint.
    :param sequoiagap.admission.EndpointGate gate: what the endpoint bears.
    :param sequoiagap.outcome.Ledger ledger: attempts of this incarnation.
    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    :param str node_id: id of the endpoint.
    :param str failure_domain: where the endpoint stands.

    :ivar float service_time_s_: recent mean time of an attempt in seconds.
    """

    def __init__(self, client, gate, ledger, holder, node_id, failure_domain):
        self.client = client
        self.gate = gate
        self.ledger = ledger
        self.holder = holder
        self.node_id = node_id
        self.failure_domain = failure_domain
        self.service_time_s_ = 0.0
        self.stopping_ = False
        self._tasks = base.TaskSet()
        self._task_by_attempt_id = {}

    def attach(self, handlers):
        """Register the message handlers of attempts.

        :param sequoiagap.wire.HandlerTable handlers: table to fill.
        """
        handlers.add(wire.Execute, self._on_execute)
        handlers.add(wire.Cancel, self._on_cancel)
        handlers.add(wire.Revoke, self._on_revoke)

    def load(self):
        """Return what entries may know of the endpoint.

        :rtype: sequoiagap.wire.Load
        """
        limit = self.gate.limit(time.monotonic())
        return wire.Load(
            state=self.gate.state,
            in_flight=self.gate.in_flight_,
            limit=limit,
            service_time_s=self.service_time_s_,
        )

    async def wait_idle(self, bound_s):
        """Wait until no attempt runs.

        :param float bound_s: longest wait, in seconds.
        """
        running = list(self._task_by_attempt_id.values())
        if running:
            await asyncio.wait(running, timeout=bound_s)

    async def close(self):
        """Cancel what still runs."""
        await self._tasks.close()

    async def _on_execute(self, connection, order):
        refusal = self._find_refusal(order)
        if refusal is not None:
            await connection.send(refusal)
            await connection.send(self.load())
            return
        task = self._tasks.start(self._run(connection, order), order.attempt_id)
        self._task_by_attempt_id[order.attempt_id] = task

    async def _on_cancel(self, connection, order):
        task = self._task_by_attempt_id.get(order.attempt_id)
        if task is not None:
            task.cancel()

    async def _on_revoke(self, connection, order):
        standing = self.ledger.revoke(order.attempt_id, order.incarnation)
        _log.emit(
            base.Event.ATTEMPT_REVOKED, attempt_id=order.attempt_id, standing=standing
        )
        await connection.send(wire.Revoked(order.attempt_id, str(standing)))

    def _find_refusal(self, order):
        if self.stopping_ or self.is_out():
            return self._refused(order, base.RefusalKind.DRAINING, "endpoint drains")
        if not self.gate.try_enter(time.monotonic()):
            return self._refused(order, base.RefusalKind.OVERLOADED, "no free slot")
        if not self.ledger.start(order.attempt_id):
            self.gate.leave_slot()
            return self._refused(order, base.RefusalKind.REVOKED, "attempt is revoked")
        return None

    def is_out(self):
        """Return whether operators took the endpoint or its domain out.

        :rtype: bool
        """
        document = self.holder.current_.document
        domain = document.failure_domains.get(self.failure_domain)
        endpoint = document.endpoints.get(self.node_id)
        return (domain is not None and domain.state == "out") or (
            endpoint is not None and endpoint.drain
        )

    async def _run(self, connection, order):
        began = time.monotonic()
        answer = _AnswerSender(connection, order.attempt_id)
        try:
            await self.client.call(order, answer.send_head, answer.send_data)
            await answer.send_final()
            self._learn_service_time(time.monotonic() - began)
        except _endpoint.EndpointError as error:
            await self._send_failure(connection, order, error)
        except base.WireError:
            pass  # the entry settles the attempt over a new connection
        finally:
            self.ledger.finish(order.attempt_id)
            self.gate.leave_slot()
            self._task_by_attempt_id.pop(order.attempt_id, None)
        await self._send_load(connection)

    async def _send_failure(self, connection, order, error):
        result = base.Outcome.UNKNOWN if error.sent else base.Outcome.NOT_RUN
        refusal = self._refused(
            order, base.RefusalKind.ENDPOINT_ERROR, error.message, result
        )
        try:
            await connection.send(refusal)
        except base.WireError:
            return

    async def _send_load(self, connection):
        try:
            await connection.send(self.load())
        except base.WireError:
            return

    def _refused(self, order, kind, text, result=base.Outcome.NOT_RUN):
        return wire.Refused(
            attempt_id=order.attempt_id,
            kind=str(kind),
            text=text,
            remedy="Try another endpoint",
            outcome=str(result),
            retry_after_ms=RETRY_AFTER_MS,
            config_version=self.holder.current_.number,
        )

    def _learn_service_time(self, seconds):
        if self.service_time_s_ == 0.0:
            self.service_time_s_ = seconds
        self.service_time_s_ += SERVICE_TIME_WEIGHT * (seconds - self.service_time_s_)


class _AnswerSender:
    """Numbers the chunks of one answer.

    :param sequoiagap.wire.Connection connection: the entry.
    :param str attempt_id: the attempt.
    """

    def __init__(self, connection, attempt_id):
        self.connection = connection
        self.attempt_id = attempt_id
        self._chunks = 0
        self._size = 0

    async def send_head(self, status, headers):
        await self.connection.send(wire.Head(self.attempt_id, status, headers))

    async def send_data(self, data):
        await self.connection.send(wire.Chunk(self.attempt_id, self._chunks, data))
        self._chunks += 1
        self._size += len(data)

    async def send_final(self):
        await self.connection.send(
            wire.Final(self.attempt_id, self._chunks, self._size)
        )
