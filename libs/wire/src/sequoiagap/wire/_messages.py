"""Messages of connections, attempts and state dumps.

Numbers 1 to 99 belong to this library. Other libraries register their messages in:
100 to 199 configuration, 200 to 299 membership, 300 to 399 outcomes, 400 to
499 expert maps, 500 to 599 admission.
"""

from sequoiagap.wire import _codec

PROTOCOL_VERSION = 2


@_codec.message(1)
class Hello:
    """First message of each side of a connection; identifies the sender.

    :param str node_id: id of the sender.
    :param str role: ``entry``, ``agent`` or ``operator``.
    :param str incarnation: id of this run of the sender, new at each start.
    :param int protocol: protocol version of the sender.
    :param str failure_domain: failure domain of the sender.
    :param int config_version: configuration version that the sender has adopted.
    :param bytes nonce: random bytes, set by the handshake.
    :param str secret: the deployment's shared secret; never sent.
    :param TlsContexts tls: TLS contexts, or ``None`` for plain TCP; never sent.
    """

    node_id: str
    role: str
    incarnation: str
    protocol: int = PROTOCOL_VERSION
    failure_domain: str = ""
    config_version: int = 0
    nonce: bytes = b""
    secret: str = _codec.local_field("")
    tls: object = _codec.local_field(None)


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
    """Announces that the sender closes the connection, with the reason."""

    reason: str = ""


@_codec.message(5)
class Proof:
    """Proves that the sender has the deployment's secret.

    :param bytes digest: HMAC over the hellos of the handshake.
    """

    digest: bytes


@_codec.message(10)
class Execute:
    """Orders an agent to run one attempt of a request.

    :param str request_id: id of the caller's request.
    :param str attempt_id: unique id of this attempt.
    :param str account: client account of the caller.
    :param str target: name of the model or service.
    :param str method: HTTP method.
    :param str path: HTTP path and query on the endpoint.
    :param dict headers: HTTP headers for the endpoint.
    :param bytes body: HTTP body.
    :param int expires_at_ms: deadline of the caller on the agent's clock, see
        :class:`AgentClock`, in milliseconds; the order is void after it.
    :param bool repeatable: whether the request may safely run more than once.
    :param str idempotency_key: key within which the request runs at most once.
    :param int priority: priority; higher values are served first.
    :param int config_version: configuration version used for the decision.
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
    """One chunk of the answer's body; chunks are numbered from 0."""

    attempt_id: str
    sequence: int
    data: bytes


@_codec.message(13)
class Final:
    """Ends a complete answer, with its number of chunks and size in bytes."""

    attempt_id: str
    chunks: int
    size: int


@_codec.message(14)
class Refused:
    """Ends an attempt that has no complete answer.

    :param str attempt_id: id of the attempt.
    :param str kind: a :class:`sequoiagap.base.RefusalKind`.
    :param str text: what happened.
    :param str remedy: what to do about it.
    :param str outcome: a :class:`sequoiagap.base.Outcome`.
    :param int retry_after_ms: retry delay in milliseconds.
    :param int config_version: configuration version used for the decision.
    :param str setting: path of the setting that caused the decision.
    :param str owner: agent that holds the claim of the idempotency key, if that
        caused the rejection.
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
    """Cancels an attempt whose answer is no longer needed.

    An attempt that has not started will not start. A running attempt is stopped if
    it is repeatable and runs to its end otherwise.

    :param str attempt_id: id of the attempt.
    :param int expires_at_ms: as in :class:`Execute`.
    """

    attempt_id: str
    expires_at_ms: int


@_codec.message(16)
class Attach:
    """Requests the rest of an attempt's answer, or revokes an unknown attempt.

    The agent resumes the answer if it still has it. Otherwise it replies with
    :class:`Revoked`; an attempt that it never received will not run.

    :param str attempt_id: id of the attempt.
    :param str incarnation: incarnation of the agent that the attempt was sent to.
    :param int expires_at_ms: as in :class:`Execute`.
    :param int next_sequence: number of the first chunk that the sender lacks.
    """

    attempt_id: str
    incarnation: str
    expires_at_ms: int
    next_sequence: int = 0


@_codec.message(17)
class Revoked:
    """Reply to :class:`Attach` if there is no answer to resume.

    :param str attempt_id: id of the attempt.
    :param str standing: state of the attempt at the agent, a
        :class:`sequoiagap.outcome.AttemptState`.
    """

    attempt_id: str
    standing: str


@_codec.message(18)
class Credit:
    """Acknowledges all chunks before a number, so that the agent may send more."""

    attempt_id: str
    next_sequence: int


@_codec.message(20)
class Load:
    """Reports state and load of an agent's endpoint.

    :param str state: state of the endpoint.
    :param int in_flight: number of running attempts.
    :param int limit: maximum number of concurrent attempts.
    :param int queued: number of attempts queued at the agent.
    :param float service_time_s: recent mean duration of one attempt in seconds.
    :param str role: which parts of a request the endpoint serves.
    """

    state: str
    in_flight: int
    limit: int
    queued: int = 0
    service_time_s: float = 0.0
    role: str = "both"


@_codec.message(30)
class StateRequest:
    """Requests a state dump."""

    sequence: int


@_codec.message(31)
class StateReply:
    """Reply to :class:`StateRequest`: the state dump as JSON text."""

    sequence: int
    document: str


@_codec.message(310)
class AgentClock:
    """Reports the agent's clock, on each new connection.

    Entries express deadlines on this clock. An order that arrives late is therefore
    void whichever way it took, and an agent may forget ids with a past deadline.

    :param int now_ms: milliseconds since an arbitrary moment.
    """

    now_ms: int
