"""Orders to the endpoint, forwarded one at a time with fencing numbers."""

import asyncio
import dataclasses
import functools

import aiohttp

from sequoiagap import base, members, platform, wire
from sequoiagap.agent import _roles

ORDER_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 5.0
IDLE_POLL_INTERVAL_S = 0.1
STATUS_TIMEOUT_S = 1.0
NOT_FOUND_STATUS = 404
MAX_ANSWER_BYTES = 64 * 1024

_BOUNDED_RESPONSE = functools.partial(
    wire.BoundedResponse, max_body_bytes=MAX_ANSWER_BYTES
)

_log = base.get_logger("orders")


@dataclasses.dataclass(frozen=True)
class _Result:
    outcome: members.OrderOutcome
    text: str = ""


class OrderForwarder:
    """Forwards orders to the endpoint beside the agent.

    An order is forwarded only if its fencing number is above every number seen so
    far, and once the endpoint runs no earlier order. This protects engines that do
    not check fencing numbers themselves.

    :param sequoiagap.settings.EndpointSettings endpoint: the endpoint.
    :param str endpoint_id: id of the endpoint.
    :param sequoiagap.members.FenceStore store: fencing numbers stored in the
        platform.
    :param float timeout_s: longest time that an order may take, in seconds.
    :param RoleManager roles: closes the gate while the role changes; ``None`` to
        change roles without draining.

    :ivar asyncio.Lock lock_: held while an order runs.
    """

    def __init__(
        self, endpoint, endpoint_id, store, timeout_s=ORDER_TIMEOUT_S, roles=None
    ):
        self.endpoint = endpoint
        self.endpoint_id = endpoint_id
        self.store = store
        self.timeout_s = timeout_s
        self.roles = roles
        self.fence_ = members.OrderFence()
        self._has_highest_number = False
        self._last_finished = None
        self.lock_ = asyncio.Lock()
        self._tasks = base.TaskSet()

    def attach(self, handlers):
        """Register the handler of orders.

        :param sequoiagap.wire.HandlerTable handlers: table to fill.
        """
        handlers.add(members.EndpointOrder, self._on_order)

    async def close(self):
        """Stop waiting for running orders."""
        await self._tasks.close()

    async def _on_order(self, connection, order):
        self._tasks.start(self._answer(connection, order), order.order_id)

    async def _answer(self, connection, order):
        async with self.lock_:
            result = await self.run(order)
        is_done = result.outcome == members.OrderOutcome.DONE
        _log.emit(
            base.Event.ORDER_DONE if is_done else base.Event.ORDER_REFUSED,
            order_id=order.order_id,
            fencing=order.fencing,
            outcome=str(result.outcome),
            reason=result.text,
        )
        reply = members.EndpointOrderReply(
            order.order_id, str(result.outcome), result.text
        )
        # If sending fails, the sender of the order retries with the same order id.
        await wire.try_send(connection, reply)

    async def run(self, order):
        """Run one order; the caller holds :attr:`lock_`.

        :param sequoiagap.members.EndpointOrder order: the order.
        :returns: outcome and reason.
        """
        if self.endpoint.kind == "service":
            text = "a plain service does not support orders"
            return _Result(members.OrderOutcome.REFUSED, text)
        if self._last_finished is not None and self._last_finished[0] == order.order_id:
            return self._last_finished[1]
        try:
            await self._load_highest_number()
            await self._wait_until_idle()
        except (base.PlatformError, base.ConfigError) as error:
            return _Result(members.OrderOutcome.REFUSED, error.message)
        rejection_reason = self.fence_.find_rejection_reason(
            order.fencing, order.order_id
        )
        if rejection_reason:
            return _Result(members.OrderOutcome.REFUSED, rejection_reason)
        result = await self._forward(order)
        if result.outcome != members.OrderOutcome.UNKNOWN:
            self._last_finished = (order.order_id, result)
        return result

    async def _forward(self, order):
        """Send an accepted order; a role change first drains the endpoint."""
        if order.kind != members.OrderKind.CHANGE_ROLE or self.roles is None:
            self.fence_.record_order(order.fencing, order.order_id)
            return await self._send(order)
        try:
            await self.roles.begin_change()
        except _roles.RoleError as error:
            return _Result(members.OrderOutcome.REFUSED, str(error))
        try:
            self.fence_.record_order(order.fencing, order.order_id)
            return await self._send(order)
        finally:
            self.roles.end_change()

    async def _load_highest_number(self):
        """Read the last issued number once after a start of the agent."""
        if not self._has_highest_number:
            self.fence_.restore_highest(await self.store.read(self.endpoint_id))
            self._has_highest_number = True

    async def _wait_until_idle(self):
        """Wait until the endpoint runs no order, whoever sent it."""
        try:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                while await self.has_running_order():  # noqa: ASYNC110 - polled over HTTP
                    await asyncio.sleep(IDLE_POLL_INTERVAL_S)
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            raise base.ConfigError(
                f"endpoint did not confirm that it runs no order ({error!r})",
                "Check the endpoint, then send the order again",
            ) from error

    async def has_running_order(self):
        """Return whether the endpoint runs an order, whoever sent it.

        An endpoint without an order API runs none.

        :rtype: bool
        """
        async with (
            asyncio.timeout(STATUS_TIMEOUT_S),
            _open_session() as session,
            session.get(f"{self.endpoint.url}/orders") as response,
        ):
            if response.status == NOT_FOUND_STATUS:
                return False
            document = await response.json()
            return bool(document.get("at_work"))

    async def _send(self, order):
        body = {
            "order_id": order.order_id,
            "fencing": order.fencing,
            "kind": order.kind,
            "arguments": order.arguments,
        }
        try:
            async with (
                asyncio.timeout(self.timeout_s),
                _open_session() as session,
                session.post(f"{self.endpoint.url}/orders", json=body) as response,
            ):
                if response.status < 400:
                    return _Result(members.OrderOutcome.DONE)
                text = f"endpoint answered {response.status}: {await response.text()}"
                if response.status < 500:
                    return _Result(members.OrderOutcome.REFUSED, text)
                return _Result(members.OrderOutcome.UNKNOWN, text)
        except aiohttp.ClientConnectorError as error:
            return _Result(members.OrderOutcome.REFUSED, f"not sent: {error}")
        except (aiohttp.ClientError, TimeoutError) as error:
            return _Result(members.OrderOutcome.UNKNOWN, repr(error))


def _open_session():
    return aiohttp.ClientSession(
        timeout=platform.UNTIMED, response_class=_BOUNDED_RESPONSE
    )
