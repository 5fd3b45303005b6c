"""Interfaces to the deployment: a dialect of headers and a store.

An adapter implements both, so that the gateway depends on no platform's names.
"""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class RequestHead:
    """Decoded headers of a caller's request.

    :param str request_id: the caller's id of this attempt; empty if missing.
    :param float deadline_s: how long the caller waits, in seconds, or ``None``.
    :param str key: key of the client account; empty if missing.
    :param int prompt_tokens: tokens of the prompt; 0 if not given.
    :param int answer_tokens: longest answer in tokens; 0 if not given.
    :param int last_event_id: event after which a stream resumes, or ``None``.
    :param tuple prompt_parts: ids of the parts of the prompt, in order. Other requests
        may have the same parts, but for the last one.
    """

    request_id: str = ""
    deadline_s: float | None = None
    key: str = dataclasses.field(default="", repr=False)
    prompt_tokens: int = 0
    answer_tokens: int = 0
    last_event_id: int | None = None
    prompt_parts: tuple = ()


@dataclasses.dataclass(frozen=True)
class LoadSample:
    """Load of an endpoint at one moment.

    :param int running: running requests.
    :param int waiting: waiting requests.
    :param int slots: requests that can run at once.
    """

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True)
class AnswerHead:
    """Decoded status and headers of an endpoint's answer.

    :param str request_id: id of the request that it answers; empty if missing.
    :param bool is_sealed: whether the endpoint signed it.
    :param bool is_not_run: whether it states that the request did not run.
    :param bool is_misdirected: whether another endpoint has the address now.
    :param str faulty_endpoint: id of the endpoint that failed to do its part of the
        work; empty if none is named.
    :param LoadSample load: the endpoint's load, if given.
    :param float max_requests_s: requests per second that the endpoint takes from all
        gateways together; infinity if it states no limit, 0 if that is not known.
    :param bool is_leaving: whether the endpoint states that it is about to end.
    :param str leaving_endpoint: id of the endpoint that states this, if it is not the
        one that the request was sent to.
    :param float pause_s: for how long the endpoint wants no further request from this
        gateway, in seconds; 0 if it does not say.
    """

    request_id: str = ""
    is_sealed: bool = False
    is_not_run: bool = False
    is_misdirected: bool = False
    faulty_endpoint: str = ""
    load: LoadSample | None = None
    max_requests_s: float = 0.0
    is_leaving: bool = False
    leaving_endpoint: str = ""
    pause_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class ForwardHead:
    """Fields that the gateway adds to a request for an endpoint.

    :param str endpoint_id: only this endpoint may run the request.
    :param float remaining_s: time left, in seconds.
    :param str account: name of the client account; empty for none.
    :param int resume_after: event after which a stream resumes, or ``None``.
    :param int urgency: priority in the endpoint's queue, 0 first, or ``None``.
    """

    endpoint_id: str
    remaining_s: float
    account: str = ""
    resume_after: int | None = None
    urgency: int | None = None


class Dialect(typing.Protocol):
    """Reads and writes headers under the names that a deployment uses."""

    def read_request(self, headers):
        """Return the :class:`RequestHead` of a caller's headers.

        :raises ValueError: if a header is malformed, naming it and its value.
        """

    def write_request(self, headers, forward_head):
        """Return the headers of a request to an endpoint, as a multi-value map."""

    def read_answer(self, status, headers):
        """Return the :class:`AnswerHead` of an endpoint's answer."""

    def write_refusal(self, request_id, refusal):
        """Return the headers of a refusal, as a dict."""


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """A decoded reading of the store.

    :param int revision: revision of the store that it shows, within its era.
    :param object value: the :class:`sequoiagap.routes.RouteTable`, the endpoints
        by id, or the set of failure domains out of service; ``None`` if the store
        holds none.
    """

    revision: int
    value: object


@dataclasses.dataclass(frozen=True)
class Reading:
    """Content of a topic as read from the store.

    :param bytes content: its content.
    :param int era: how often the store has been restored from a copy; 0 if the store
        does not say.
    """

    content: bytes
    era: int = 0


@dataclasses.dataclass(frozen=True)
class CrashRecord:
    """A crash of an endpoint as kept in the store.

    :param str crash_id: identifies the run of the endpoint that ended.
    :param float at_s: when it was noticed, in seconds of Unix time.
    :param tuple prompts: parts of each request that it cut, as tuples.
    :param bool is_confirmed: whether the endpoint has started again since.
    """

    crash_id: str
    at_s: float
    prompts: tuple
    is_confirmed: bool = True


class Store(typing.Protocol):
    """Source of the readings on which a gateway's decisions rest.

    Reading and decoding are separate, so that a gateway that can't reach the store can
    request the content from another one.
    """

    def topics(self):
        """Return the names of the topics: ``config``, ``endpoints``, ``domains``."""

    async def read(self, topic, may_be_old=False):
        """Return the newest content of a topic, a :class:`Reading`.

        :param str topic: topic to read.
        :param bool may_be_old: whether a content that is some seconds old suffices.
        :raises sequoiagap.base.PlatformError: if the store does not answer.
        """

    def decode(self, topic, content):
        """Return the :class:`Snapshot` of a content.

        :raises ValueError: if any part of the content is invalid.
        """

    async def announce(self, node):
        """Register this process, a :class:`Node`, for the others."""

    async def list_nodes(self):
        """Return the registered processes by id."""


@dataclasses.dataclass(frozen=True)
class Node:
    """A registered process of the system.

    :param str node_id: its id.
    :param str role: ``gateway`` or ``ranks``.
    :param str address: IP address.
    :param int port: port for other processes, TCP and UDP.
    :param str failure_domain: failure domain of its host.
    :param str endpoint: ``address:port`` of the endpoint beside it; empty for none.
    """

    node_id: str
    role: str
    address: str
    port: int
    failure_domain: str = ""
    endpoint: str = ""

    async def save_crash(self, record):
        """Keep a :class:`CrashRecord`; only a confirmed one replaces another."""

    async def list_crashes(self):
        """Return the kept :class:`CrashRecord` objects as a list."""

    async def delete_crash(self, crash_id):
        """Delete a kept record, if there is one."""
