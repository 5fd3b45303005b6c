"""Orders of operators to endpoints, each under a fencing number."""

import expression

from sequoiagap import base, members

REPLY_TIMEOUT_S = 40.0
RETRY_AFTER_S = 2.0

_log = base.get_logger("orders")


class OrderIssuer:
    """Takes fencing numbers and sends orders through the endpoints' agents.

    :param sequoiagap.members.FenceStore store: numbers in the platform.
    :param AgentLinks links: links to the agents.
    """

    def __init__(self, store, links):
        self.store = store
        self.links = links

    async def issue(self, endpoint_id, order_id, kind, arguments, operator):
        """Issue one order and wait for what became of it.

        :param str endpoint_id: the endpoint.
        :param str order_id: unique id; sent again, the order runs once.
        :param sequoiagap.members.OrderKind kind: what is ordered.
        :param dict arguments: what the engine is told besides.
        :param str operator: who orders it.
        :returns: the fencing number of the order that was done, or a refusal.
        :rtype: expression.Result[int, sequoiagap.base.Refusal]
        """
        link = await self.links.demand_.reach_endpoint(endpoint_id)
        if link is None:
            return expression.Error(_unknown_endpoint(endpoint_id))
        try:
            number = await self.store.issue(endpoint_id, order_id, kind, operator)
        except base.PlatformError as error:
            return expression.Error(_no_number(error))
        _log.emit(
            base.Event.ORDER_ISSUED,
            endpoint=endpoint_id,
            order_id=order_id,
            kind=str(kind),
            fencing=number,
            operator=operator,
        )
        order = members.EndpointOrder(order_id, number, str(kind), arguments)
        reply = await link.order(order, REPLY_TIMEOUT_S)
        if reply is not None and reply.outcome == members.OrderOutcome.DONE:
            return expression.Ok(number)
        return expression.Error(_not_done(endpoint_id, reply))


def _unknown_endpoint(endpoint_id):
    return base.Refusal(
        base.RefusalKind.NOT_FOUND,
        f"endpoint {endpoint_id} is unknown",
        "Use an endpoint that the state of this entry lists",
    )


def _no_number(error):
    return base.Refusal(
        base.RefusalKind.PLATFORM_DOWN,
        f"the order has no fencing number: {error.message}",
        "Send the order again with the same order id; it was not sent on",
        retry_after_s=RETRY_AFTER_S,
    )


def _not_done(endpoint_id, reply):
    if reply is not None and reply.outcome == members.OrderOutcome.REFUSED:
        return base.Refusal(
            base.RefusalKind.CONFLICT,
            f"the agent of {endpoint_id} refused the order: {reply.text}",
            "Look at the endpoint's state, then order anew",
        )
    text = "no reply came in time" if reply is None else reply.text
    return base.Refusal(
        base.RefusalKind.ENDPOINT_LOST,
        f"what became of the order at {endpoint_id} is unknown: {text}",
        "Send the order again with the same order id; it runs at most once",
        outcome=base.Outcome.UNKNOWN,
    )
