"""Exceptions and rejections of requests, each with a message and a remedy."""

import dataclasses
import enum


class Outcome(enum.StrEnum):
    """Proven outcome of an attempt.

    ``NOT_RUN`` means that the endpoint provably did not run it. ``UNKNOWN`` means
    that it may have run.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "outcome_unknown"


class RefusalKind(enum.StrEnum):
    """Kinds of rejection reported to callers and operators."""

    ACCOUNT_LIMIT = "account_limit"
    BAD_REQUEST = "bad_request"
    CANCELLED = "cancelled"
    CONFLICT = "conflict"
    DEADLINE = "deadline"
    DRAINING = "draining"
    ENDPOINT_ERROR = "endpoint_error"
    ENDPOINT_LOST = "endpoint_lost"
    FORBIDDEN = "forbidden"
    HARMFUL_CHANGE = "harmful_change"
    IDEMPOTENCY_MISMATCH = "idempotency_mismatch"
    ALREADY_RAN = "already_ran"
    INTERNAL_ERROR = "internal_error"
    NO_ENDPOINT = "no_endpoint"
    NOT_FOUND = "not_found"
    NOT_READY = "not_ready"
    OVERLOADED = "overloaded"
    PLATFORM_DOWN = "platform_down"
    REQUEST_TIMEOUT = "request_timeout"
    QUARANTINED = "quarantined"
    REVOKED = "revoked"
    STALE_VERSION = "stale_version"
    TOO_LARGE = "too_large"
    UNAUTHENTICATED = "unauthenticated"


HTTP_STATUS_BY_KIND = {
    RefusalKind.ACCOUNT_LIMIT: 429,
    RefusalKind.ALREADY_RAN: 409,
    RefusalKind.BAD_REQUEST: 400,
    RefusalKind.CANCELLED: 499,
    RefusalKind.CONFLICT: 409,
    RefusalKind.DEADLINE: 504,
    RefusalKind.ENDPOINT_ERROR: 502,
    RefusalKind.ENDPOINT_LOST: 502,
    RefusalKind.FORBIDDEN: 403,
    RefusalKind.HARMFUL_CHANGE: 422,
    RefusalKind.IDEMPOTENCY_MISMATCH: 422,
    RefusalKind.INTERNAL_ERROR: 500,
    RefusalKind.NOT_FOUND: 404,
    RefusalKind.REQUEST_TIMEOUT: 408,
    RefusalKind.STALE_VERSION: 409,
    RefusalKind.TOO_LARGE: 413,
    RefusalKind.UNAUTHENTICATED: 401,
}
DEFAULT_HTTP_STATUS = 503


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Rejection of a request or of an operator's change, with cause and remedy.

    :param RefusalKind kind: kind of the rejection.
    :param str message: what happened, in one sentence.
    :param str remedy: what the reader can do, in one sentence.
    :param Outcome outcome: outcome of the request; ``NOT_RUN`` only if proven.
    :param float retry_after_s: retry delay in seconds; 0 if none is advised.
    :param int config_version: configuration version used for the decision.
    :param str setting: path of the setting that caused the decision, if any.

    >>> Refusal(RefusalKind.NO_ENDPOINT, "no endpoint", "retry").http_status
    503
    """

    kind: RefusalKind
    message: str
    remedy: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_s: float = 0.0
    config_version: int = 0
    setting: str = ""

    @property
    def http_status(self):
        """HTTP status code for this kind."""
        return HTTP_STATUS_BY_KIND.get(self.kind, DEFAULT_HTTP_STATUS)

    def to_document(self, request_id=""):
        """Return the JSON body of the rejection.

        :param str request_id: id of the rejected request.
        :rtype: dict
        """
        return {
            "error": {
                "type": str(self.kind),
                "message": self.message,
                "remedy": self.remedy,
                "outcome": str(self.outcome),
                "retry_after_s": self.retry_after_s,
                "config_version": self.config_version,
                "setting": self.setting,
                "request_id": request_id,
            }
        }


class SequoiagapError(Exception):
    """Base class of all errors that the system raises itself.

    :param str message: what happened.
    :param str remedy: what to do about it.
    """

    def __init__(self, message, remedy):
        super().__init__(f"{message}. {remedy}" if remedy else message)
        self.message = message
        self.remedy = remedy


class ConfigError(SequoiagapError):
    """A settings file or configuration is missing or invalid."""


class WireError(SequoiagapError):
    """A peer violated the protocol or its connection was lost."""


class PlatformError(SequoiagapError):
    """A call to the platform failed or timed out.

    :param str message: what happened.
    :param str remedy: what to do about it.
    :param bool effect_unknown: whether a write may have taken effect.
    """

    def __init__(self, message, remedy, effect_unknown=False):
        super().__init__(message, remedy)
        self.effect_unknown = effect_unknown
