"""Operators' orders to endpoints, each with a fencing number."""

import expression

from sequoiagap import base, members

REPLY_TIMEOUT_S = 40.0
RETRY_AFTER_S = 2.0

_log = base.get_logger("orders")


class OrderIssuer:
    """Allocates fencing numbers and sends orders to the agents of endpoints.

    :param sequoiagap.members.FenceStore store: fencing numbers in the platform.
    :param AgentLinks links: links to the agents.
    """

    def __init__(self, store, links):
        self.store = store
        self.links = links

    async def issue(self, endpoint_id, order_id, kind, arguments, operator):
        """Issue one order and wait for its result.

        :param str endpoint_id: id of the endpoint.
        :param str order_id: unique id; an order that is sent again under the same
            id is executed at most once.
        :param sequoiagap.members.OrderKind kind: kind of the order.
        :param dict arguments: arguments of the order for the engine.
        :param str operator: name of the operator.
        :returns: the fencing number of the completed order, or a refusal.
        :rtype: expression.Result[int, sequoiagap.base.Refusal]
        """
        link = await self.links.on_demand_.open_endpoint(endpoint_id)
        if link is None:
            return expression.Error(_unknown_endpoint(endpoint_id))
        try:
            number = await self.store.issue(endpoint_id, order_id, kind, operator)
        except base.PlatformError as error:
            return expression.Error(_no_fencing_number(error))
        _log.emit(
            base.Event.ORDER_ISSUED,
            endpoint=endpoint_id,
            order_id=order_id,
            kind=str(kind),
            fencing=number,
            operator=operator,
        )
        order = members.EndpointOrder(order_id, number, str(kind), arguments)
        reply = await link.send_order(order, REPLY_TIMEOUT_S)
        if reply is not None and reply.outcome == members.OrderOutcome.DONE:
            return expression.Ok(number)
        return expression.Error(_not_done(endpoint_id, reply))


def _unknown_endpoint(endpoint_id):
    return base.Refusal(
        base.RefusalKind.NOT_FOUND,
        f"endpoint {endpoint_id} is unknown",
        "Use an endpoint that the state of this entry lists",
    )


def _no_fencing_number(error):
    return base.Refusal(
        base.RefusalKind.PLATFORM_DOWN,
        f"the order has no fencing number: {error.message}",
        "Send the order again with the same order id; no agent received it",
        retry_after_s=RETRY_AFTER_S,
    )


def _not_done(endpoint_id, reply):
    if reply is not None and reply.outcome == members.OrderOutcome.REFUSED:
        return base.Refusal(
            base.RefusalKind.CONFLICT,
            f"the agent of {endpoint_id} refused the order: {reply.text}",
            "Check the endpoint's state, then send a new order",
        )
    text = "no reply arrived in time" if reply is None else reply.text
    return base.Refusal(
        base.RefusalKind.ENDPOINT_LOST,
        f"the result of the order at {endpoint_id} is unknown: {text}",
        "Send the order again with the same order id; it runs at most once",
        outcome=base.Outcome.UNKNOWN,
    )
