"""Messages between gateways, and from agents to gateways."""

from sequoiagap import wire


@wire.message(600)
class ReadRequest:
    """Requests a gateway's newest reading of a topic of the store.

    :param int number: number of the request on this connection.
    :param str topic: topic of the store.
    :param bytes known: digest of the content that the requester has.
    """

    number: int
    topic: str
    known: bytes = b""


@wire.message(601)
class ReadReply:
    """Reply to :class:`ReadRequest`.

    :param int number: number of the request.
    :param bool found: whether there is a recent reading.
    :param bytes content: content of the topic; empty if the requester has it.
    :param float age_s: time since the reading was requested, in seconds.
    :param bool is_known: whether the requester has the content.
    :param int era: era of the store in which it was read.
    """

    number: int
    found: bool
    content: bytes = b""
    age_s: float = 0.0
    is_known: bool = False
    era: int = 0


@wire.message(603)
class EndpointReport:
    """Load of an endpoint, as measured by the agent beside it.

    :param str endpoint: ``address:port`` of the endpoint.
    :param str incarnation: unique id of this run of the agent.
    :param int sequence: increasing number of the report.
    :param int running: running requests.
    :param int waiting: waiting requests.
    :param int slots: requests that can run at once.
    :param bool is_open: whether its group serves.
    :param str group: name of its rank group; empty for none.
    :param int epoch: how often the group has formed.
    :param float slowness: its processing time divided by the usual one.
    :param int started_ms: when the endpoint started, Unix milliseconds; 0 if not known.
    :param float max_requests_s: requests per second that the endpoint takes from all
        gateways together; infinity for no limit, 0 if not known.
    :param bool is_leaving: whether the endpoint states that it is about to end.
    """

    endpoint: str
    incarnation: str
    sequence: int
    running: int
    waiting: int
    slots: int
    is_open: bool = True
    group: str = ""
    epoch: int = 0
    slowness: float = 1.0
    started_ms: int = 0
    max_requests_s: float = 0.0
    is_leaving: bool = False


@wire.message(604)
class CrashReport:
    """Tells other gateways of an endpoint's crash and of the requests that it cut.

    :param str crash_id: identifies the run of the endpoint that ended.
    :param float age_s: time since the crash, in seconds.
    :param list prompts: parts of each request that had no output yet.
    :param bool is_confirmed: whether the endpoint has started again since.
    """

    crash_id: str
    age_s: float
    prompts: list
    is_confirmed: bool = True


@wire.message(605)
class PartServed:
    """Tells other gateways that a part accused by a crash was served.

    :param str part: id of the part.
    :param float age_s: time since then, in seconds.
    """

    part: str
    age_s: float


@wire.message(606)
class RateLimitStated:
    """Tells other gateways what an endpoint stated of its rate limit.

    :param str endpoint: id of the endpoint.
    :param int started_ms: when it started, Unix milliseconds; 0 if not known.
    :param float max_requests_s: requests per second that it takes from all gateways
        together; infinity if it no longer states a limit.
    :param float age_s: time since it was last stated; for the end of a limit, since the
        request was sent whose answer stated none, in seconds.
    """

    endpoint: str
    started_ms: int
    max_requests_s: float
    age_s: float


@wire.message(607)
class EndpointLeaving:
    """Tells other gateways that an endpoint has stated that it is about to end.

    :param str endpoint: id of the endpoint.
    :param int started_ms: when it started, Unix milliseconds; 0 if not known.
    """

    endpoint: str
    started_ms: int
