"""What an attempt sends to an endpoint, and what has come of it."""

import dataclasses
import enum

from sequoiagap.gateway import _answer_memory

FIRST_REDIRECT_STATUS = 300


class AttemptOutcome(enum.StrEnum):
    """What is proved about an attempt."""

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Answer:
    """A complete answer of an endpoint, buffered in memory.

    :param int status: HTTP status.
    :param headers: multi-value map of its headers.
    :param AnswerBody body: its body.
    """

    status: int
    headers: object
    body: _answer_memory.AnswerBody

    @property
    def is_success(self):
        """Whether its status says that the request succeeded."""
        return self.status < FIRST_REDIRECT_STATUS


@dataclasses.dataclass(frozen=True)
class AttemptResult:
    """Result of an attempt.

    :param AttemptOutcome outcome: what is proved about the attempt.
    :param str reason: why there is no complete answer; empty for one.
    :param Answer answer: the answer, unless it was forwarded as a stream. A server
        error that the endpoint signed comes with ``UNKNOWN``.
    """

    outcome: AttemptOutcome
    reason: str = ""
    answer: Answer | None = None


@dataclasses.dataclass(frozen=True)
class Outgoing:
    """A request as it is sent to an endpoint.

    :param str request_id: the caller's id.
    :param str method: HTTP method.
    :param str url: address, path and query, as they are sent.
    :param headers: multi-value map of headers.
    :param bytes body: its body.
    :param int resume_after: id of the last event that the caller has, or ``None``.
    """

    request_id: str
    method: str
    url: str
    headers: object
    body: bytes
    resume_after: int | None = None
