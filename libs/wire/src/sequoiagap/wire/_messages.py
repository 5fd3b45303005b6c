"""Messages of connections, attempts and state dumps.

Numbers 1 to 99 belong to this library. Other libraries register their own:
100 to 199 configuration, 200 to 299 membership, 300 to 399 outcomes, 400 to
499 expert maps, 500 to 599 admission.
"""

from sequoiagap.wire import _codec

PROTOCOL_VERSION = 2


@_codec.message(1)
class Hello:
    """First message in both directions of a connection.

    :param str node_id: id of the sender.
    :param str role: ``entry``, ``agent`` or ``operator``.
    :param str incarnation: fresh id of this run of the sender.
    :param int protocol: protocol version of the sender.
    :param str failure_domain: failure domain of the sender.
    :param int config_version: highest configuration version it has adopted.
    :param bytes nonce: fresh random bytes; the handshake fills them in.
    :param str secret: the deployment's shared secret; never sent.
    :param TlsContexts tls: contexts of the connection, or ``None``; never sent.
    """

    node_id: str
    role: str
    incarnation: str
    protocol: int = PROTOCOL_VERSION
    failure_domain: str = ""
    config_version: int = 0
    nonce: bytes = b""
    secret: str = _codec.local("")
    tls: object = _codec.local(None)


@_codec.message(2)
class Ping:
    """Heartbeat; the receiver echoes the sequence number in a :class:`Pong`."""

    sequence: int
    config_version: int = 0


@_codec.message(3)
class Pong:
    """Answer to a :class:`Ping`."""

    sequence: int
    config_version: int = 0


@_codec.message(4)
class Goodbye:
    """The sender closes the connection on purpose and says why."""

    reason: str = ""


@_codec.message(5)
class Proof:
    """Proof that the sender holds the deployment's secret.

    :param bytes digest: HMAC over the handshake.
    """

    digest: bytes


@_codec.message(10)
class Execute:
    """Order to run one attempt of a request.

    :param str request_id: id of the caller's request.
    :param str attempt_id: id of this attempt; unique.
    :param str account: client account of the caller.
    :param str target: name of the model or service.
    :param str method: HTTP method.
    :param str path: HTTP path and query on the endpoint.
    :param dict headers: HTTP headers for the endpoint.
    :param bytes body: HTTP body.
    :param int expires_at_ms: when the caller gives up, on the agent's own clock as
        :class:`AgentClock` gave it, in milliseconds; later the order is void.
    :param bool repeatable: whether running twice does no harm.
    :param str idempotency_key: key that scopes at-most-once execution.
    :param int priority: higher goes first.
    :param int config_version: version that the decision rests on.
    """

    request_id: str
    attempt_id: str
    account: str
    target: str
    method: str
    path: str
    headers: dict
    body: bytes
    expires_at_ms: int
    repeatable: bool = True
    idempotency_key: str = ""
    priority: int = 0
    config_version: int = 0


@_codec.message(11)
class Head:
    """Status and headers of the endpoint's answer."""

    attempt_id: str
    status: int
    headers: dict


@_codec.message(12)
class Chunk:
    """One piece of the answer's body, numbered from 0."""

    attempt_id: str
    sequence: int
    data: bytes


@_codec.message(13)
class Final:
    """End of the whole answer; names how many chunks and bytes it has."""

    attempt_id: str
    chunks: int
    size: int


@_codec.message(14)
class Refused:
    """The agent ends an attempt without a whole answer.

    :param str attempt_id: the attempt.
    :param str kind: a :class:`sequoiagap.base.RefusalKind`.
    :param str text: what happened.
    :param str remedy: what to do about it.
    :param str outcome: a :class:`sequoiagap.base.Outcome`.
    :param int retry_after_ms: when to come back, in milliseconds.
    :param int config_version: version that the decision rests on.
    :param str setting: path of the setting that the decision rests on.
    :param str owner: agent that holds the claim of the key, if that is why.
    """

    attempt_id: str
    kind: str
    text: str
    remedy: str
    outcome: str
    retry_after_ms: int = 0
    config_version: int = 0
    setting: str = ""
    owner: str = ""


@_codec.message(15)
class Cancel:
    """Nobody waits for the attempt any more.

    An attempt that has not started never will; a repeatable one is stopped; any
    other runs to its end.

    :param str attempt_id: the attempt.
    :param int expires_at_ms: as in :class:`Execute`.
    """

    attempt_id: str
    expires_at_ms: int


@_codec.message(16)
class Attach:
    """Ask for the rest of an attempt's answer, and forbid it if it never came.

    The agent goes on with the answer where it still holds it, and otherwise says
    in :class:`Revoked` what it knows.

    :param str attempt_id: the attempt.
    :param str incarnation: incarnation of the agent that it was sent to.
    :param int expires_at_ms: as in :class:`Execute`.
    :param int next_sequence: first chunk that the asker lacks.
    """

    attempt_id: str
    incarnation: str
    expires_at_ms: int
    next_sequence: int = 0


@_codec.message(17)
class Revoked:
    """Answer to :class:`Attach` where there is no answer to go on with.

    :param str attempt_id: the attempt.
    :param str standing: a :class:`sequoiagap.outcome.AttemptState`.
    """

    attempt_id: str
    standing: str


@_codec.message(18)
class Credit:
    """Chunks before this number were taken; the agent may send more."""

    attempt_id: str
    next_sequence: int


@_codec.message(20)
class Load:
    """What an agent says about its endpoint.

    :param str state: state of the endpoint.
    :param int in_flight: attempts that run now.
    :param int limit: attempts that may run at once.
    :param int queued: attempts that wait at the agent.
    :param float service_time_s: recent mean time of one attempt in seconds.
    :param str role: what the endpoint does of a request.
    """

    state: str
    in_flight: int
    limit: int
    queued: int = 0
    service_time_s: float = 0.0
    role: str = "both"


@_codec.message(30)
class StateRequest:
    """Ask for a state dump."""

    sequence: int


@_codec.message(31)
class StateReply:
    """State dump of a process, as JSON text."""

    sequence: int
    document: str


@_codec.message(310)
class AgentClock:
    """The agent's own clock, sent on each new connection.

    Entries state deadlines on this clock, so that an order which arrives late is
    void whatever its path, and an agent may forget ids whose deadline is past.

    :param int now_ms: milliseconds since an arbitrary moment.
    """

    now_ms: int
