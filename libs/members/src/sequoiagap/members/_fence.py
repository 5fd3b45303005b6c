"""Fencing numbers of orders to endpoints.

Whoever orders an endpoint first takes a number from the platform by conditional
update. The agent beside the endpoint lets an order pass only if its number is
above every number that it has met, so that an order which comes late, after a
pause of its sender or of the network, can't undo a later one.
"""

import asyncio
import dataclasses
import enum
import time

from sequoiagap import base, platform, wire

FENCE_PREFIX = "sequoiagap-fence-"
ISSUE_BOUND_S = 3.0
RETRY_DELAY_S = 0.1


class OrderKind(enum.StrEnum):
    """What an endpoint can be ordered to do."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    LOAD_VERSION = "load_version"
    CHANGE_ROLE = "change_role"
    DRAIN = "drain"


class OrderOutcome(enum.StrEnum):
    """What became of an order."""

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@wire.message(200)
class EndpointOrder:
    """Order to an endpoint.

    :param str order_id: unique id; the same order sent twice runs once.
    :param int fencing: its fencing number.
    :param str kind: an :class:`OrderKind`.
    :param dict arguments: what the engine is told besides.
    """

    order_id: str
    fencing: int
    kind: str
    arguments: dict


@wire.message(201)
class EndpointOrderReply:
    """What became of an order.

    :param str order_id: the order.
    :param str outcome: an :class:`OrderOutcome`.
    :param str text: why, where it was not done.
    """

    order_id: str
    outcome: str
    text: str = ""


@dataclasses.dataclass(frozen=True)
class IssuedOrder:
    """The last order to an endpoint that got a number.

    :param int number: its fencing number; 0 if there was none.
    :param str order_id: its id.
    """

    number: int = 0
    order_id: str = ""


class OrderFence:
    """Compares the fencing numbers of the orders to one endpoint.

    :ivar int highest_: highest number met; a fresh process learns it from the
        platform before it lets an order pass.

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
        """Take what the platform holds.

        :param IssuedOrder issued: the last order that got a number.
        """
        if issued.number > self.highest_:
            self.highest_ = issued.number - 1
            self.order_id_ = ""

    def find_rejection_reason(self, number, order_id):
        """Return why an order may not pass; empty if it may.

        :param int number: its fencing number.
        :param str order_id: its id.
        :rtype: str
        """
        if number > self.highest_:
            return ""
        return f"fencing number {number} is not above {self.highest_}"

    def record_order(self, number, order_id):
        """Note that an order is about to be sent to the endpoint.

        :param int number: its fencing number.
        :param str order_id: its id.
        """
        self.highest_ = number
        self.order_id_ = order_id


class FenceStore:
    """Fencing numbers in the platform, one object for each endpoint.

    :param sequoiagap.platform.PlatformClient client: the platform.
    :param float timeout_s: longest time to settle a number, in seconds.
    """

    def __init__(self, client, timeout_s=ISSUE_BOUND_S):
        self.client = client
        self.timeout_s = timeout_s

    async def read(self, endpoint_id):
        """Return the last order that got a number.

        :param str endpoint_id: the endpoint.
        :rtype: IssuedOrder
        :raises sequoiagap.base.PlatformError: if the platform does not answer.
        """
        return _parse(await self.client.get(FENCE_PREFIX + endpoint_id))

    async def issue(self, endpoint_id, order_id, kind, operator):
        """Take the next fencing number for an order.

        An order id that already holds the last number gets the same one again.

        :param str endpoint_id: the endpoint.
        :param str order_id: unique id of the order.
        :param OrderKind kind: what is ordered.
        :param str operator: who orders it.
        :rtype: int
        :raises sequoiagap.base.PlatformError: if no number is settled in time;
            no order may then be sent.
        """
        value = {"order_id": order_id, "kind": str(kind), "operator": operator}
        try:
            async with asyncio.timeout(self.timeout_s):
                return await self._issue(FENCE_PREFIX + endpoint_id, value)
        except TimeoutError as error:
            raise base.PlatformError(
                f"no fencing number was settled within {self.timeout_s} s",
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
                continue  # another order got the number; its writer needs no rest
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
            f"object {stored.name!r} is malformed ({error})", "Mend it by hand"
        ) from error
