"""Orders to the endpoint: fenced, one at a time."""

import asyncio
import dataclasses

import aiohttp

from sequoiagap import base, members, platform, wire
from sequoiagap.agent import _roles

ORDER_TIMEOUT_S = 30.0
IDLE_BOUND_S = 5.0
IDLE_POLL_S = 0.1
STATUS_TIMEOUT_S = 1.0
NOT_FOUND_STATUS = 404

_log = base.get_logger("orders")


@dataclasses.dataclass(frozen=True)
class _Result:
    outcome: members.OrderOutcome
    text: str = ""


class OrderDesk:
    """Passes orders on to the endpoint beside the agent.

    An order passes only if its fencing number is above every number met, and
    only once the endpoint has no earlier order at work. That protects an engine
    that does not check numbers itself.

    :param sequoiagap.settings.EndpointSettings endpoint: the endpoint.
    :param str endpoint_id: id of the endpoint.
    :param sequoiagap.members.FenceStore store: numbers in the platform.
    :param float timeout_s: longest time that an order may take, in seconds.
    :param RoleKeeper roles: keeps work away while the role changes.

    :ivar asyncio.Lock lock_: held while an order is at work.
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
        self._learnt = False
        self._last = None
        self.lock_ = asyncio.Lock()
        self._tasks = base.TaskSet()

    def attach(self, handlers):
        """Register the message handler of orders.

        :param sequoiagap.wire.HandlerTable handlers: table to fill.
        """
        handlers.add(members.EndpointOrder, self._on_order)

    async def close(self):
        """Stop waiting for orders that are at work."""
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
        # Where this fails, the orderer asks again with the same order id.
        await wire.try_send(connection, reply)

    async def run(self, order):
        """Run one order; the caller sees to it that there is one at a time.

        :param sequoiagap.members.EndpointOrder order: the order.
        :returns: outcome and reason.
        """
        if self.endpoint.kind == "service":
            text = "a plain service takes no orders"
            return _Result(members.OrderOutcome.REFUSED, text)
        if self._last is not None and self._last[0] == order.order_id:
            return self._last[1]
        try:
            await self._learn()
            await self._wait_until_idle()
        except (base.PlatformError, base.ConfigError) as error:
            return _Result(members.OrderOutcome.REFUSED, error.message)
        objection = self.fence_.find_rejection_reason(order.fencing, order.order_id)
        if objection:
            return _Result(members.OrderOutcome.REFUSED, objection)
        result = await self._pass_on(order)
        if result.outcome != members.OrderOutcome.UNKNOWN:
            self._last = (order.order_id, result)
        return result

    async def _pass_on(self, order):
        """Send an order that may pass; a change of role waits for the attempts."""
        if order.kind != members.OrderKind.CHANGE_ROLE or self.roles is None:
            self.fence_.record_order(order.fencing, order.order_id)
            return await self._send(order)
        try:
            await self.roles.prepare()
        except _roles.RoleError as error:
            return _Result(members.OrderOutcome.REFUSED, str(error))
        try:
            self.fence_.record_order(order.fencing, order.order_id)
            return await self._send(order)
        finally:
            self.roles.finish()

    async def _learn(self):
        """Learn once, in a fresh process, which number was issued last."""
        if not self._learnt:
            self.fence_.restore_highest(await self.store.read(self.endpoint_id))
            self._learnt = True

    async def _wait_until_idle(self):
        """Wait until the endpoint has no order at work, of whatever sender."""
        try:
            async with asyncio.timeout(IDLE_BOUND_S):
                while await self.is_at_work():  # noqa: ASYNC110 - asked over HTTP
                    await asyncio.sleep(IDLE_POLL_S)
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            raise base.ConfigError(
                f"endpoint does not say that it is free of orders ({error!r})",
                "Look at the endpoint, then send the order again",
            ) from error

    async def is_at_work(self):
        """Return whether the endpoint has an order at work, of whatever sender.

        One that takes no orders has none.

        :rtype: bool
        """
        async with (
            asyncio.timeout(STATUS_TIMEOUT_S),
            aiohttp.ClientSession(timeout=platform.UNTIMED) as session,
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
                aiohttp.ClientSession(timeout=platform.UNTIMED) as session,
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
