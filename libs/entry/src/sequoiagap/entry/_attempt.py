"""One attempt of a request at one endpoint, followed to its outcome."""

import dataclasses

from sequoiagap import base, outcome, wire
from sequoiagap.entry import _link

CREDIT_EVERY_CHUNKS = 16
MAX_REATTACHES = 20
SERVER_ERROR_STATUS = 500
MILLISECONDS = 1000
CHECK_FIRST = "The request may have run; check before sending it again"


@dataclasses.dataclass(frozen=True)
class AttemptEnd:
    """What became of an attempt.

    :param sequoiagap.base.Refusal refusal: why there is no whole answer, or
        ``None`` for a whole answer.
    :param str owner: agent that holds the claim of the request's key, if that is
        why.
    """

    refusal: base.Refusal | None = None
    owner: str = ""

    @property
    def may_have_run(self):
        """Whether this attempt itself may have run without a whole answer."""
        refusal = self.refusal
        is_unknown = refusal is not None and refusal.outcome == base.Outcome.UNKNOWN
        return is_unknown and not self.owner

    def describe(self):
        """Return outcome and reason as plain data.

        :rtype: dict
        """
        refusal = self.refusal
        if refusal is None:
            return {"outcome": str(base.Outcome.ANSWERED)}
        details = {
            "outcome": str(refusal.outcome),
            "kind": str(refusal.kind),
            "reason": refusal.message,
        }
        if refusal.setting:
            details["setting"] = refusal.setting
        if self.owner:
            details["owner"] = self.owner
        return details


class Attempt:
    """Follows one attempt.

    When the connection is lost the attempt is settled by its id over a new one:
    the agent goes on with the answer where it stopped, or says what it knows.

    :param AgentLink link: link to the agent.
    :param sequoiagap.wire.Execute order: the attempt.
    :param sink: see :meth:`Dispatcher.dispatch`.
    :param bool retry_server_errors: whether a server error of the endpoint is
        no answer, as another endpoint may be asked.

    :ivar bool sent_: whether the order may have reached the agent.
    :ivar int reattached_: how often the answer was taken up again.
    """

    def __init__(self, link, order, sink, retry_server_errors):
        self.link = link
        self.order = order
        self.sink = sink
        self.retry_server_errors = retry_server_errors
        self.sent_ = False
        self.reattached_ = 0
        self._incarnation = link.member.incarnation
        self._assembly = outcome.AnswerAssembly(order.attempt_id)
        self._has_head = False

    async def run(self):
        """Send the order and pass its answer on.

        :rtype: AttemptEnd
        """
        is_over = False
        try:
            end = await self._follow()
            is_over = not self._is_wasted(end)
            return end
        except _link.NotSentError as error:
            self.sent_ = False
            return AttemptEnd(not_sent(error.message))
        except base.WireError as error:
            return AttemptEnd(_lost(error.message))
        except base.SequoiagapError as error:
            return AttemptEnd(_unusable(error))
        finally:
            self.link.forget(self.order.attempt_id)
            if self.sent_ and not is_over:
                self.link.cancel(self.order)

    def _is_wasted(self, end):
        """Return whether the endpoint may go on with an answer not wanted."""
        return end.refusal is not None and end.refusal.outcome == base.Outcome.UNKNOWN

    async def _follow(self):
        events = await self._send()
        while True:
            event = await events.get()
            end = await self._take(event)
            if end is not None:
                return end

    async def _send(self):
        self.sent_ = True
        return await self.link.execute(self.order)

    async def _take(self, event):
        """Take one event; return the end of the attempt if this is it."""
        match event:
            case wire.Head():
                return await self._take_head(event)
            case wire.Chunk():
                return await self._take_chunk(event)
            case wire.Final():
                if self._has_head and self._assembly.is_whole(event.chunks, event.size):
                    return AttemptEnd()
                return await self._reattach()
            case wire.Refused():
                return AttemptEnd(_from_agent(event), event.owner)
            case wire.Revoked():
                return AttemptEnd(_from_standing(event.standing))
            case _link.LinkLost():
                return await self._reattach()
        return None

    async def _take_head(self, head):
        if self._has_head:
            return None
        if self.retry_server_errors and head.status >= SERVER_ERROR_STATUS:
            return AttemptEnd(_server_error(head.status))
        self._has_head = True
        await self.sink.head(head.status, head.headers)
        return None

    async def _take_chunk(self, chunk):
        if not self._has_head or chunk.sequence > self._assembly.chunks_:
            return await self._reattach()
        if not self._assembly.accept(chunk.sequence, chunk.data):
            return None
        await self.sink.data(chunk.data)
        if self._assembly.chunks_ % CREDIT_EVERY_CHUNKS == 0:
            await self.link.send_credit(chunk.attempt_id, self._assembly.chunks_)
        return None

    async def _reattach(self):
        """Ask for what is lacking; return the end of the attempt if that fails."""
        self.reattached_ += 1
        if self.reattached_ > MAX_REATTACHES:
            return AttemptEnd(_lost("the answer came with too many gaps"))
        could_ask = await self.link.reattach(
            self.order, self._incarnation, self._assembly.chunks_
        )
        if could_ask:
            return None
        return AttemptEnd(_lost("the connection to the agent was lost"))


def _from_agent(event):
    return base.Refusal(
        base.RefusalKind(event.kind),
        event.text,
        event.remedy,
        outcome=base.Outcome(event.outcome),
        retry_after_s=event.retry_after_ms / MILLISECONDS,
        config_version=event.config_version,
        setting=event.setting,
    )


def _from_standing(standing):
    if standing == outcome.AttemptState.NEVER_STARTED:
        return not_sent("the order did not reach the agent, which now refuses it")
    return _lost(f"the agent no longer has the answer; the attempt is {standing}")


def not_sent(reason):
    """Return the refusal of an order that certainly was not run.

    :param str reason: what happened.
    :rtype: sequoiagap.base.Refusal
    """
    return base.Refusal(
        base.RefusalKind.ENDPOINT_LOST,
        reason,
        "The request was not run; send it again",
        retry_after_s=1.0,
    )


def _lost(reason):
    return base.Refusal(
        base.RefusalKind.ENDPOINT_LOST,
        reason,
        CHECK_FIRST,
        outcome=base.Outcome.UNKNOWN,
    )


def _server_error(status):
    return base.Refusal(
        base.RefusalKind.ENDPOINT_ERROR,
        f"the engine answered with status {status}",
        CHECK_FIRST,
        outcome=base.Outcome.UNKNOWN,
    )


def _unusable(error):
    return base.Refusal(
        base.RefusalKind.TOO_LARGE,
        error.message,
        error.remedy,
        outcome=base.Outcome.UNKNOWN,
    )
