"""What the gateway needs from outside: a dialect of headers and a store.

An adapter provides both, so that the gateway knows no names of any platform.
"""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class RequestHead:
    """What the headers of a caller's request say.

    :param str request_id: the caller's id of this attempt; empty if missing.
    :param float deadline_s: how long the caller waits, in seconds, or ``None``.
    :param str key: key of the client account; empty if missing.
    :param int prompt_tokens: tokens of the prompt; 0 if not said.
    :param int answer_tokens: longest answer in tokens; 0 if not said.
    :param int last_event_id: event after which a stream goes on, or ``None``.
    """

    request_id: str = ""
    deadline_s: float | None = None
    key: str = dataclasses.field(default="", repr=False)
    prompt_tokens: int = 0
    answer_tokens: int = 0
    last_event_id: int | None = None


@dataclasses.dataclass(frozen=True)
class LoadSample:
    """Load of an endpoint at a moment.

    :param int running: requests that run.
    :param int waiting: requests that wait.
    :param int slots: requests that may run at once.
    """

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True)
class AnswerHead:
    """What status and headers of an endpoint's answer say.

    :param str request_id: id of the request that it answers; empty if missing.
    :param bool is_sealed: whether the endpoint signed it.
    :param bool is_not_run: whether it says that the request did not run.
    :param bool is_misdirected: whether another endpoint has the address now.
    :param str faulty_endpoint: id of the endpoint that failed to do its part of the
        work; empty where none is named.
    :param LoadSample load: the endpoint's load, if told.
    """

    request_id: str = ""
    is_sealed: bool = False
    is_not_run: bool = False
    is_misdirected: bool = False
    faulty_endpoint: str = ""
    load: LoadSample | None = None


@dataclasses.dataclass(frozen=True)
class ForwardHead:
    """What the gateway adds to a request that it passes on.

    :param str endpoint_id: endpoint that alone may run it.
    :param float remaining_s: time left, in seconds.
    :param str account: name of the client account; empty for none.
    :param int resume_after: event after which a stream goes on, or ``None``.
    :param int urgency: rank in the endpoint's queue, 0 first, or ``None``.
    """

    endpoint_id: str
    remaining_s: float
    account: str = ""
    resume_after: int | None = None
    urgency: int | None = None


class Dialect(typing.Protocol):
    """Names of headers, as one kind of deployment spells them."""

    def read_request(self, headers):
        """Return the :class:`RequestHead` of a caller's headers.

        :raises ValueError: naming header and value, if one can't be read.
        """

    def write_request(self, headers, forward_head):
        """Return the headers for an endpoint, as a multi-value map."""

    def read_answer(self, status, headers):
        """Return the :class:`AnswerHead` of an endpoint's answer."""

    def write_refusal(self, request_id, refusal):
        """Return the headers of a refusal, as a dict."""


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """A decoded reading of the store.

    :param int revision: revision of the store that it shows, within its era.
    :param object value: the :class:`sequoiagap.routes.RouteTable`, the endpoints
        by id, or the set of failure domains taken out; ``None`` where the store
        holds none.
    """

    revision: int
    value: object


@dataclasses.dataclass(frozen=True)
class Reading:
    """What the store answered for a topic.

    :param bytes content: its content.
    :param int era: how often the store has come back from a copy; 0 where it does not
        say.
    """

    content: bytes
    era: int = 0


class Store(typing.Protocol):
    """The readings that a gateway decides by.

    Reading and decoding are apart, so that a gateway which can't reach the store
    may ask another one to read for it.
    """

    def topics(self):
        """Return the names of the readings: ``config``, ``endpoints``, ``domains``."""

    async def read(self, topic, may_be_old=False):
        """Return the newest content of a topic, a :class:`Reading`.

        :param str topic: what to read.
        :param bool may_be_old: whether a content some seconds old will do.
        :raises sequoiagap.base.PlatformError: if the store does not answer.
        """

    def decode(self, topic, content):
        """Return the :class:`Snapshot` of a content.

        :raises ValueError: if the content can't be used as a whole.
        """

    async def announce(self, node):
        """Register this process, a :class:`Node`, for the others."""

    async def list_nodes(self):
        """Return the registered processes by id."""


@dataclasses.dataclass(frozen=True)
class Node:
    """A process of the system, as registered for the others.

    :param str node_id: its id.
    :param str role: ``gateway`` or ``ranks``.
    :param str address: IP address.
    :param int port: port for other processes, TCP and UDP.
    :param str failure_domain: where it stands.
    :param str endpoint: ``address:port`` of the endpoint beside it; empty for none.
    """

    node_id: str
    role: str
    address: str
    port: int
    failure_domain: str = ""
    endpoint: str = ""
