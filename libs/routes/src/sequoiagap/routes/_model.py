"""Records of routes, services, client accounts and endpoints."""

import dataclasses
import enum


class RequestKind(enum.StrEnum):
    """Whether and how a request may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class EndpointState(enum.StrEnum):
    """State of an endpoint in its registration record."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True)
class WeightedTarget:
    """A service that receives a share of a route's requests.

    :param str service: name of the service.
    :param float weight: share of the requests, relative to the route's other targets.
    """

    service: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True)
class Route:
    """Targets, limits and access of requests with one host and path prefix.

    :param str name: name of the route.
    :param str host: value of the ``Host`` header, without port.
    :param str path_prefix: prefix of the path; begins and ends with a slash.
    :param RequestKind kind: whether and how a request may be repeated.
    :param tuple targets: :class:`WeightedTarget` of each service.
    :param float timeout_s: maximum time until the end of the response, in seconds.
    :param float target_latency_s: target time until the response, or until the first
        event of a stream, in seconds; 0 for none.
    :param float target_gap_s: target for the longest pause between events of a stream,
        in seconds; 0 for none.
    :param float patience_s: time that callers of a stream wait for the next event
        before they disconnect, in seconds; 0 if unknown.
    :param int priority: priority of the requests; 0 is the most urgent.
    :param int max_attempts: maximum number of endpoints that one request is sent to.
    :param bool is_public: whether requests need no key.
    :param bool is_resumable: whether a stream may continue at another endpoint.
    :param tuple allowed_regions: regions that may run the requests; empty for all.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    targets: tuple
    timeout_s: float
    target_latency_s: float = 0.0
    target_gap_s: float = 0.0
    patience_s: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    allowed_regions: tuple = ()

    @property
    def is_idempotent(self):
        """Whether a request may run more than once."""
        if self.kind == RequestKind.STREAM:
            return self.is_resumable
        return self.kind == RequestKind.SAFE


@dataclasses.dataclass(frozen=True)
class EngineProfile:
    """Timing and memory parameters of a service's model engines.

    :param int slots: number of requests that an engine decodes at once.
    :param int kv_tokens: capacity of the KV cache, in tokens.
    :param int stride: number of decoding steps in a pass.
    :param float step_s: base time of a decoding step, in seconds.
    :param float per_sequence_s: additional step time per decoding request, in seconds.
    :param float per_context_token_s: additional step time per token of context, in
        seconds.
    :param float prompt_tokens_s: prefill rate, in prompt tokens per second.
    :param float per_token_pair_s: additional prefill time per pair of a token and an
        earlier token, in seconds.
    :param int chunk_tokens: maximum number of prompt tokens in a prefill step.
    :param int usual_prompt_tokens: mean prompt length of a request, in tokens.
    :param int usual_answer_tokens: mean length of an answer, in tokens.
    :param int layers: number of sets of layers that have their own expert map.
    :param int experts: number of experts in a layer; 0 for engines without groups.
    :param int slots_per_rank: maximum number of experts that a rank holds in a layer.
    :param int new_per_change: maximum number of experts new to a rank in one layer in
        one change of map.
    :param float expert_bytes: size of one expert's weights in a layer, in bytes.
    :param float link_bytes_s: rate at which a rank copies weights, in bytes per second.
    :param float expert_share: share of a pass that is spent in experts, 0 to 1.
    """

    slots: int
    kv_tokens: int = 0
    stride: int = 1
    step_s: float = 0.0
    per_sequence_s: float = 0.0
    per_context_token_s: float = 0.0
    prompt_tokens_s: float = 0.0
    per_token_pair_s: float = 0.0
    chunk_tokens: int = 0
    usual_prompt_tokens: int = 0
    usual_answer_tokens: int = 0
    layers: int = 0
    experts: int = 0
    slots_per_rank: int = 0
    new_per_change: int = 0
    expert_bytes: float = 0.0
    link_bytes_s: float = 0.0
    expert_share: float = 0.0


@dataclasses.dataclass(frozen=True)
class Service:
    """A service that routes can target.

    :param str name: name of the service.
    :param int max_connections: maximum number of connections to an endpoint from all
        clients together.
    :param float cold_requests_s: capacity of a cold endpoint, in requests per second;
        0 if cold endpoints have the same capacity as warm ones.
    :param EngineProfile engine: parameters of the service's model engines, or ``None``
        for a service without them.
    """

    name: str
    max_connections: int = 0
    cold_requests_s: float = 0.0
    engine: EngineProfile | None = None


@dataclasses.dataclass(frozen=True)
class ClientAccount:
    """A client account and its keys.

    :param str name: name of the account.
    :param tuple keys: keys of the account, as callers send them.
    :param int priority: priority of the account's requests, which overrides that of
        their route; ``None`` to use the route's priority.
    """

    name: str
    keys: tuple = dataclasses.field(default=(), repr=False)
    priority: int | None = None


@dataclasses.dataclass(frozen=True)
class RequestLimits:
    """Limits of a caller's requests and connections.

    :param int max_body_bytes: maximum length of a request body, in bytes.
    :param float idle_timeout_s: time after which an idle connection of a caller is
        closed, in seconds.
    """

    max_body_bytes: int = 4 * 1024 * 1024
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """A registered server of a service.

    :param str endpoint_id: id of the endpoint; usually changes when it restarts.
    :param str service: name of its service.
    :param str address: IP address.
    :param int port: TCP port.
    :param str failure_domain: failure domain of the endpoint.
    :param EndpointState state: whether it accepts new requests.
    :param int slots: number of requests that it runs at once.
    :param float cold_remaining_s: remaining time with the reduced capacity of a cold
        endpoint, as last registered, in seconds.
    :param int started_ms: start time in Unix milliseconds; 0 if unknown.
    """

    endpoint_id: str
    service: str
    address: str
    port: int
    failure_domain: str
    state: EndpointState
    slots: int
    cold_remaining_s: float = 0.0
    started_ms: int = 0

    @property
    def host_and_port(self):
        """Its address as ``address:port``."""
        return f"{self.address}:{self.port}"
