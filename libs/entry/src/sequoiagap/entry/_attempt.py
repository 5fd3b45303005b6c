"""One attempt of a request at one endpoint, up to its outcome."""

import dataclasses

from sequoiagap import base, outcome, wire
from sequoiagap.entry import _link

CREDIT_EVERY_CHUNKS = 16
MAX_REATTACHES = 20
SERVER_ERROR_STATUS = 500
MILLISECONDS = 1000
CHECK_BEFORE_RESENDING = "The request may have run; check before sending it again"


@dataclasses.dataclass(frozen=True)
class AttemptResult:
    """Result of an attempt.

    :param sequoiagap.base.Refusal refusal: why there is no complete answer, or
        ``None`` for a complete answer.
    :param str owner: id of the agent that holds the claim on the idempotency key,
        if the attempt was refused for that, else empty.
    """

    refusal: base.Refusal | None = None
    owner: str = ""

    @property
    def may_have_run(self):
        """Whether the endpoint may have executed it without a complete answer."""
        refusal = self.refusal
        is_unknown = refusal is not None and refusal.outcome == base.Outcome.UNKNOWN
        return is_unknown and not self.owner

    def describe(self):
        """Return outcome and reason for the decision log.

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
    """Sends one attempt to an agent and passes its answer to the sink.

    When the connection is lost the attempt is reattached by its id over a new
    one: the agent resumes the answer where it stopped, or reports the state of the
    attempt.

    :param AgentLink link: link to the agent.
    :param sequoiagap.wire.Execute order: the attempt.
    :param sink: see :meth:`Dispatcher.dispatch`.
    :param bool retry_server_errors: whether a server error of the endpoint is
        a failed attempt, to be retried elsewhere, instead of an answer.

    :ivar bool sent_: whether the message may have reached the agent.
    :ivar int reattached_: number of times that the answer was resumed.
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
        """Send the attempt and pass its answer to the sink.

        :rtype: AttemptResult
        """
        is_ended = False
        try:
            result = await self._follow()
            is_ended = not self._may_still_run(result)
            return result
        except _link.NotSentError as error:
            self.sent_ = False
            return AttemptResult(not_sent_refusal(error.message))
        except base.WireError as error:
            return AttemptResult(_lost_refusal(error.message))
        except base.SequoiagapError as error:
            return AttemptResult(_answer_error(error))
        finally:
            self.link.forget(self.order.attempt_id)
            if self.sent_ and not is_ended:
                self.link.cancel(self.order)

    def _may_still_run(self, result):
        """Return whether the endpoint may still execute it, so that it is cancelled."""
        return (
            result.refusal is not None
            and result.refusal.outcome == base.Outcome.UNKNOWN
        )

    async def _follow(self):
        events = await self._send()
        while True:
            event = await events.get()
            result = await self._handle_event(event)
            if result is not None:
                return result

    async def _send(self):
        self.sent_ = True
        return await self.link.execute(self.order)

    async def _handle_event(self, event):
        """Handle one event; return the result if the event ends the attempt."""
        match event:
            case wire.Head():
                return await self._handle_head(event)
            case wire.Chunk():
                return await self._handle_chunk(event)
            case wire.Final():
                if self._has_head and self._assembly.is_whole(event.chunks, event.size):
                    return AttemptResult()
                return await self._reattach()
            case wire.Refused():
                return AttemptResult(_agent_refusal(event), event.owner)
            case wire.Revoked():
                return AttemptResult(_attempt_state_refusal(event.standing))
            case _link.LinkLost():
                return await self._reattach()
        return None

    async def _handle_head(self, head):
        if self._has_head:
            return None
        if self.retry_server_errors and head.status >= SERVER_ERROR_STATUS:
            return AttemptResult(_server_error_refusal(head.status))
        self._has_head = True
        await self.sink.head(head.status, head.headers)
        return None

    async def _handle_chunk(self, chunk):
        if not self._has_head or chunk.sequence > self._assembly.chunks_:
            return await self._reattach()
        if not self._assembly.accept(chunk.sequence, chunk.data):
            return None
        await self.sink.data(chunk.data)
        if self._assembly.chunks_ % CREDIT_EVERY_CHUNKS == 0:
            await self.link.send_credit(chunk.attempt_id, self._assembly.chunks_)
        return None

    async def _reattach(self):
        """Request the missing chunks; return the result if that is impossible."""
        self.reattached_ += 1
        if self.reattached_ > MAX_REATTACHES:
            return AttemptResult(_lost_refusal("the answer was resumed too often"))
        is_requested = await self.link.reattach(
            self.order, self._incarnation, self._assembly.chunks_
        )
        if is_requested:
            return None
        return AttemptResult(_lost_refusal("the connection to the agent was lost"))


def _agent_refusal(event):
    return base.Refusal(
        base.RefusalKind(event.kind),
        event.text,
        event.remedy,
        outcome=base.Outcome(event.outcome),
        retry_after_s=event.retry_after_ms / MILLISECONDS,
        config_version=event.config_version,
        setting=event.setting,
    )


def _attempt_state_refusal(standing):
    if standing == outcome.AttemptState.NEVER_STARTED:
        return not_sent_refusal(
            "the attempt did not reach the agent, which now rejects it"
        )
    return _lost_refusal(
        f"the agent no longer has the answer; the attempt is {standing}"
    )


def not_sent_refusal(reason):
    """Return the refusal of an attempt that was certainly not executed.

    :param str reason: description of the failure.
    :rtype: sequoiagap.base.Refusal
    """
    return base.Refusal(
        base.RefusalKind.ENDPOINT_LOST,
        reason,
        "The request was not run; send it again",
        retry_after_s=1.0,
    )


def _lost_refusal(reason):
    return base.Refusal(
        base.RefusalKind.ENDPOINT_LOST,
        reason,
        CHECK_BEFORE_RESENDING,
        outcome=base.Outcome.UNKNOWN,
    )


def _server_error_refusal(status):
    return base.Refusal(
        base.RefusalKind.ENDPOINT_ERROR,
        f"the engine answered with status {status}",
        CHECK_BEFORE_RESENDING,
        outcome=base.Outcome.UNKNOWN,
    )


def _answer_error(error):
    return base.Refusal(
        base.RefusalKind.TOO_LARGE,
        error.message,
        error.remedy,
        outcome=base.Outcome.UNKNOWN,
    )
