"""Fencing numbers of orders to endpoints.

The sender of an order first obtains a fencing number from the platform by a
conditional update. The agent of the endpoint forwards an order only if its number is
higher than every number seen before, so that an order delayed by a pause of its
sender or of the network can't undo a later one.
"""

import asyncio
import dataclasses
import enum
import time

from sequoiagap import base, platform, wire

FENCE_PREFIX = "sequoiagap-fence-"
ISSUE_TIMEOUT_S = 3.0
RETRY_DELAY_S = 0.1


class OrderKind(enum.StrEnum):
    """Kinds of orders that an endpoint accepts."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    LOAD_VERSION = "load_version"
    CHANGE_ROLE = "change_role"
    DRAIN = "drain"


class OrderOutcome(enum.StrEnum):
    """Result of an order."""

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@wire.message(200)
class EndpointOrder:
    """Order to an endpoint.

    :param str order_id: unique id; an order that is sent twice runs once.
    :param int fencing: fencing number of the order.
    :param str kind: an :class:`OrderKind`.
    :param dict arguments: further arguments for the engine.
    """

    order_id: str
    fencing: int
    kind: str
    arguments: dict


@wire.message(201)
class EndpointOrderReply:
    """Reply to an :class:`EndpointOrder` with its result.

    :param str order_id: id of the order.
    :param str outcome: an :class:`OrderOutcome`.
    :param str text: reason if the order was not carried out.
    """

    order_id: str
    outcome: str
    text: str = ""


@dataclasses.dataclass(frozen=True)
class IssuedOrder:
    """The latest order to an endpoint that obtained a fencing number.

    :param int number: its fencing number; 0 if no order has obtained one.
    :param str order_id: id of the order.
    """

    number: int = 0
    order_id: str = ""


class OrderFence:
    """Rejects orders to one endpoint whose fencing number is outdated.

    :ivar int highest_: highest number seen so far; a restarted process reads it
        from the platform before it forwards the first order.
    :ivar str order_id_: id of the order with that number; empty if unknown.

    >>> fence = OrderFence()
    >>> fence.find_rejection_reason(2, "b"), fence.record_order(2, "b")
    ('', None)
    >>> fence.find_rejection_reason(1, "a")
    'fencing number 1 is not above 2'
    """

    def __init__(self):
        self.highest_ = 0
        self.order_id_ = ""

    def restore_highest(self, issued):
        """Raise the threshold to the latest number in the platform.

        The order with that number itself is still accepted.

        :param IssuedOrder issued: latest order that obtained a number.
        """
        if issued.number > self.highest_:
            self.highest_ = issued.number - 1
            self.order_id_ = ""

    def find_rejection_reason(self, number, order_id):
        """Return why an order is rejected; empty if it is accepted.

        :param int number: fencing number of the order.
        :param str order_id: id of the order.
        :rtype: str
        """
        if number > self.highest_:
            return ""
        return f"fencing number {number} is not above {self.highest_}"

    def record_order(self, number, order_id):
        """Record an order that is about to be sent to the endpoint.

        :param int number: fencing number of the order.
        :param str order_id: id of the order.
        """
        self.highest_ = number
        self.order_id_ = order_id


class FenceStore:
    """Issues fencing numbers from the platform, one object for each endpoint.

    :param sequoiagap.platform.PlatformClient client: client of the platform.
    :param float timeout_s: time limit for obtaining a number, in seconds.
    """

    def __init__(self, client, timeout_s=ISSUE_TIMEOUT_S):
        self.client = client
        self.timeout_s = timeout_s

    async def read(self, endpoint_id):
        """Return the latest order that obtained a fencing number.

        :param str endpoint_id: id of the endpoint.
        :rtype: IssuedOrder
        :raises sequoiagap.base.PlatformError: if the platform does not answer.
        """
        return _parse(await self.client.get(FENCE_PREFIX + endpoint_id))

    async def issue(self, endpoint_id, order_id, kind, operator):
        """Return the next fencing number for an order.

        Issuing is idempotent: an order id that already holds the latest number
        receives the same number again.

        :param str endpoint_id: id of the endpoint.
        :param str order_id: unique id of the order.
        :param OrderKind kind: kind of the order.
        :param str operator: operator who submitted the order.
        :rtype: int
        :raises sequoiagap.base.PlatformError: if no number was issued in time; the
            order must then not be sent.
        """
        value = {"order_id": order_id, "kind": str(kind), "operator": operator}
        try:
            async with asyncio.timeout(self.timeout_s):
                return await self._issue(FENCE_PREFIX + endpoint_id, value)
        except TimeoutError as error:
            raise base.PlatformError(
                f"no fencing number was obtained within {self.timeout_s} s",
                "Send the order again with the same order id",
            ) from error

    async def _issue(self, name, value):
        while True:
            stored = await self.client.get(name)
            issued = _parse(stored)
            if issued.order_id == value["order_id"]:
                return issued.number
            number = issued.number + 1
            written = value | {"number": number, "at": time.time()}
            try:
                await self.client.put(name, written, stored.version if stored else 0)
            except platform.ObjectConflict:
                continue  # another order took the number; retry without a delay
            except base.PlatformError as error:
                if not error.effect_unknown:
                    raise
            else:
                return number
            await asyncio.sleep(RETRY_DELAY_S)


def _parse(stored):
    if stored is None:
        return IssuedOrder()
    try:
        return IssuedOrder(int(stored.value["number"]), str(stored.value["order_id"]))
    except (KeyError, TypeError, ValueError) as error:
        raise base.PlatformError(
            f"object {stored.name!r} in the platform is malformed ({error})",
            "Correct the object by hand",
        ) from error
