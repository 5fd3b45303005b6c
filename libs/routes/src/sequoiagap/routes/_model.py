"""What operators publish: routes, services, client accounts and endpoints."""

import dataclasses
import enum


class RequestKind(enum.StrEnum):
    """What may be done with a request a second time."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class EndpointState(enum.StrEnum):
    """What an endpoint says of itself where it is registered."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True)
class WeightedTarget:
    """A service that gets a share of a route's requests.

    :param str service: name of the service.
    :param float weight: its share, relative to the route's other targets.
    """

    service: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True)
class Route:
    """How requests of one host and path prefix are served.

    :param str name: its name.
    :param str host: value of the ``Host`` header, without port.
    :param str path_prefix: beginning of the path; begins and ends with a slash.
    :param RequestKind kind: what may be done a second time.
    :param tuple targets: :class:`WeightedTarget` of each service.
    :param float timeout_s: longest time until the final answer, in seconds.
    :param float target_latency_s: time in which an answer, or the first event of
        a stream, is on time; 0 for none.
    :param float target_gap_s: longest pause of a stream on time; 0 for none.
    :param float patience_s: how long callers of a stream wait for its next event
        before they leave; 0 if that is not known.
    :param int priority: rank of its requests; 0 is the most urgent.
    :param int max_attempts: endpoints that one request may be sent to.
    :param bool is_public: whether requests need no key.
    :param bool is_resumable: whether a stream may go on at another endpoint.
    :param tuple allowed_regions: regions that may run it; empty for all.
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
    """How the model engines of a service spend time and memory.

    :param int slots: requests that an engine decodes at once.
    :param int kv_tokens: tokens that its memory holds.
    :param int stride: decoding steps of a pass.
    :param float step_s: time of a decoding step, in seconds.
    :param float per_sequence_s: more for each request that decodes, in seconds.
    :param float per_context_token_s: more for each token of context, in seconds.
    :param float prompt_tokens_s: prompt tokens read in a second.
    :param float per_token_pair_s: more for a pair of a token and an earlier one.
    :param int chunk_tokens: prompt tokens read in a step at most.
    :param int usual_prompt_tokens: mean prompt of a request.
    :param int usual_answer_tokens: mean answer of a request.
    :param int layers: sets of layers with an expert map of their own.
    :param int experts: experts of a layer; 0 for an engine without groups.
    :param int slots_per_rank: experts that a rank holds of a layer at most.
    :param int new_per_change: experts new to a rank and layer in a change at most.
    :param float expert_bytes: weights of one expert of a layer.
    :param float link_bytes_s: rate at which a rank copies weights.
    :param float expert_share: share of a pass that goes to experts, 0 to 1.
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
    """A service behind the routes.

    :param str name: its name.
    :param int max_connections: connections that an endpoint takes from everybody.
    :param float cold_requests_s: requests a second that a cold endpoint bears; 0
        where cold endpoints bear what others do.
    :param EngineTerms engine: terms of its model engines, or ``None`` for a plain
        service.
    """

    name: str
    max_connections: int = 0
    cold_requests_s: float = 0.0
    engine: EngineProfile | None = None


@dataclasses.dataclass(frozen=True)
class ClientAccount:
    """A client account and the keys that name it.

    :param str name: its name.
    :param tuple keys: its keys, as callers send them.
    :param int priority: rank of its requests, before that of their route; ``None``
        where the route's rank holds.
    """

    name: str
    keys: tuple = dataclasses.field(default=(), repr=False)
    priority: int | None = None


@dataclasses.dataclass(frozen=True)
class RequestLimits:
    """What a caller may send.

    :param int max_body_bytes: longest body.
    :param float idle_timeout_s: how long a caller's connection may stay idle.
    """

    max_body_bytes: int = 4 * 1024 * 1024
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """A server that has registered itself.

    :param str endpoint_id: its id; new for most starts.
    :param str service: service that it belongs to.
    :param str address: IP address.
    :param int port: TCP port.
    :param str failure_domain: where it stands.
    :param EndpointState state: whether it takes new requests.
    :param int slots: requests that it runs at once.
    :param float cold_remaining_s: how much longer it bears only a little, as it last
        wrote, in seconds.
    :param int started_ms: when it started, Unix milliseconds; 0 if not known.
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
