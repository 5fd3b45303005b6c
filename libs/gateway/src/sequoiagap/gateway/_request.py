"""An admitted request and the progress of its attempts."""

import contextlib
import dataclasses
import functools
import hashlib

from sequoiagap import routes
from sequoiagap.gateway import _ports

FINGERPRINT_BYTES = 16
FINGERPRINT_PREFIX = "request:"  # ids of prompt parts have no colon


@dataclasses.dataclass
class Request:
    """An admitted request of a caller.

    :param str request_id: the caller's id.
    :param routes.Route route: its route.
    :param str service: service that runs it.
    :param str account: client account; empty for none.
    :param bool needs_key: whether its admission depends on a key.
    :param str method: HTTP method.
    :param str path: path and query.
    :param headers: multi-value map of its headers.
    :param bytes body: its body.
    :param float arrived_at: when it arrived, monotonic seconds.
    :param float deadline: when the final answer is due, monotonic seconds.
    :param RequestHead head: its decoded headers.
    :param contextlib.ExitStack resources: what to release once it has been answered.
    """

    request_id: str
    route: routes.Route
    service: str
    account: str
    needs_key: bool
    method: str
    path: str
    headers: object
    body: bytes
    arrived_at: float
    deadline: float
    head: _ports.RequestHead
    resources: contextlib.ExitStack = dataclasses.field(
        default_factory=contextlib.ExitStack, repr=False
    )

    @property
    def is_stream(self):
        """Whether the answer is an event stream."""
        return self.route.kind == routes.RequestKind.STREAM

    @functools.cached_property
    def parts(self):
        """Parts by which crashes are compared: the prompt's, and last a fingerprint.

        A request that is sent again has the same fingerprint, although another id.
        """
        return (*self.head.prompt_parts, self._fingerprint())

    def _fingerprint(self):
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        for text in (self.account, self.method, self.path):
            digest.update(text.encode(errors="surrogateescape") + b"\0")
        digest.update(self.body)
        return FINGERPRINT_PREFIX + digest.hexdigest()


@dataclasses.dataclass
class Progress:
    """Progress of a request over its attempts.

    :ivar set tried: ids of the chosen endpoints.
    :ivar int sent: attempts that may have reached an endpoint.
    :ivar bool may_have_run: whether an attempt may have run.
    :ivar Answer failed_answer: a signed server error, returned if no later attempt
        succeeds.
    :ivar str reason: why the last attempt gave no complete answer.
    :ivar bool is_retry_reserved: whether the budget has been charged for the next
        attempt.
    """

    tried: set = dataclasses.field(default_factory=set)
    sent: int = 0
    may_have_run: bool = False
    failed_answer: object = None
    reason: str = ""
    is_retry_reserved: bool = False
