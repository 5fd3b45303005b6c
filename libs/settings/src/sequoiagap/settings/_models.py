"""Models of the settings of each role.

The docstrings of the models are part of the JSON schema; the examples of the fields
are part of the schema and of the error messages.
"""

from typing import Annotated, Literal

import pydantic

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$"
DIGEST_PATTERN = r"^[0-9a-f]{64}$"
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_LINKS = 127

Name = Annotated[str, pydantic.Field(pattern=NAME_PATTERN, examples=["north-1"])]
Port = Annotated[int, pydantic.Field(ge=0, le=65535, examples=[7100])]
Seconds = Annotated[float, pydantic.Field(gt=0, le=86400, examples=[1.5])]
Url = Annotated[
    str, pydantic.Field(pattern=r"^https?://", examples=["http://10.0.1.5:8000"])
]
Path = Annotated[str, pydantic.Field(min_length=1, examples=["/etc/sequoiagap/file"])]
Slots = Annotated[int, pydantic.Field(gt=0, le=4096, examples=[16])]
IpAddress = Annotated[pydantic.IPvAnyAddress, pydantic.Field(examples=["10.0.1.5"])]
Digest = Annotated[str, pydantic.Field(pattern=DIGEST_PATTERN)]
Digests = Annotated[list[Digest], pydantic.Field(min_length=1)]


class SettingsModel(pydantic.BaseModel):
    """Base class of all settings; they are immutable and forbid unknown keys."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class PlatformSettings(SettingsModel):
    """Address of the platform's object API, and time limit of its calls."""

    url: Url
    timeout_s: Seconds = 1.0


class TlsSettings(SettingsModel):
    """Certificate of a process, in PEM files that are reloaded on SIGHUP.

    ``ca_file`` contains the CA that verifies the certificates of peers; without it
    peers need no certificate.
    """

    certificate_file: Path
    key_file: Path
    ca_file: str = ""


class WireTlsSettings(TlsSettings):
    """Certificate for connections between processes of the deployment.

    Both sides must present a certificate.
    """

    ca_file: Path


class SeedSettings(SettingsModel):
    """Address of an entry to contact while the platform's list is unavailable."""

    address: IpAddress
    port: Port


class NodeSettings(SettingsModel):
    """Common settings of entries and agents.

    ``seeds`` lists entries of the same failure domain. A process that starts while
    its failure domain is cut off from the platform finds its peers through them.
    """

    node_id: Name
    deployment: Name
    region: Name
    failure_domain: Name
    address: IpAddress
    port: Port
    platform: PlatformSettings
    secret_file: Path
    tls: WireTlsSettings | None = None
    log_level: Annotated[
        Literal["debug", "info", "warning"], pydantic.Field(examples=["info"])
    ] = "info"
    seeds: list[SeedSettings] = []


class EntrySettings(NodeSettings):
    """Settings of ``sequoiagap entry``; its peers connect to ``port``."""

    role: Literal["entry"]
    http_port: Port
    http_tls: TlsSettings | None = None
    keys_file: Path
    drain_lag_s: Seconds = 2.0
    drain_bound_s: Seconds = 60.0
    request_timeout_s: Annotated[float, pydantic.Field(gt=0, le=800)] = 120.0
    max_queue_wait_s: Seconds = 1.0
    body_timeout_s: Seconds = 10.0
    header_timeout_s: Seconds = 15.0
    caller_stall_s: Annotated[float, pydantic.Field(ge=1, le=60, examples=[2.0])] = 2.0
    max_links: Annotated[
        int, pydantic.Field(ge=2, le=MAX_LINKS, examples=[MAX_LINKS])
    ] = MAX_LINKS
    max_body_bytes: Annotated[
        int, pydantic.Field(gt=0, le=MAX_BODY_BYTES, examples=[1048576])
    ] = 1048576


class EndpointSettings(SettingsModel):
    """Settings of the endpoint that an agent serves."""

    kind: Annotated[Literal["model", "service"], pydantic.Field(examples=["model"])]
    url: Url
    serves: Annotated[
        list[Name], pydantic.Field(min_length=1, examples=[["desk-model"]])
    ]
    warm_limit: Slots = 16
    cold_limit: Slots = 2
    warm_up_s: Seconds = 10.0
    first_byte_timeout_s: Seconds = 20.0
    between_bytes_timeout_s: Seconds = 2.0
    resumes: bool = False
    engine: Name = "hold_at_step"
    checks_fencing: bool = False


class GroupSettings(SettingsModel):
    """Settings of the rank group that the endpoint's engine belongs to.

    ``peers`` lists the agents of all ranks, in order of rank; ``rank`` is the rank of
    this agent.
    """

    name: Name
    rank: Annotated[int, pydantic.Field(ge=0, lt=1024)]
    peers: Annotated[list[SeedSettings], pydantic.Field(min_length=1)]
    layers: Slots
    experts: Slots
    slots: Slots
    policy: Name = "incremental"
    interval_s: Seconds = 300.0
    report_interval_s: Seconds = 10.0
    horizon_s: Seconds = 600.0
    expert_bytes: Annotated[int, pydantic.Field(gt=0)] = 44_000_000
    store_bytes_s: Annotated[float, pydantic.Field(gt=0)] = 2e9

    @pydantic.model_validator(mode="after")
    def _check_shape(self):
        ranks = len(self.peers)
        if self.rank >= ranks:
            raise ValueError(f"rank {self.rank} has no address among the peers")
        if not self.slots <= self.experts <= ranks * self.slots:
            raise ValueError(
                f"{ranks} ranks of {self.slots} slots can't hold {self.experts} "
                "experts; a rank holds an expert at most once"
            )
        return self


class AgentSettings(NodeSettings):
    """Settings of ``sequoiagap agent``; entries connect to ``port``."""

    role: Literal["agent"]
    endpoint: EndpointSettings
    group: GroupSettings | None = None
    drain_bound_s: Seconds = 60.0


class StoreSettings(SettingsModel):
    """Address of the deployment's own store, which its adapter reads."""

    url: Url


class AdaptedRoleSettings(SettingsModel):
    """Common settings of the roles that a platform's adapter starts.

    Gateways send requests to the endpoints directly, without an agent in between.
    """

    node_id: Name
    deployment: Name
    region: Name
    failure_domain: Name
    address: IpAddress
    port: Port
    store: StoreSettings
    metrics_port: Annotated[int, pydantic.Field(ge=0, le=65535, examples=[9464])] = 0
    log_level: Annotated[
        Literal["debug", "info", "warning"], pydantic.Field(examples=["info"])
    ] = "info"


class GatewaySettings(AdaptedRoleSettings):
    """Settings of the gateway; other processes use ``port``, over TCP and UDP.

    ``key_proof_ms`` is the maximum age of the proof that a key is valid.
    ``retry_ratio`` and ``retry_slack`` limit the retries of all gateways together in
    each window of ``retry_window_s``. A cold endpoint receives at most
    ``cold_overshoot`` times its capacity plus ``cold_slack`` requests per second from
    all gateways. ``max_gateways`` is the number of gateways to assume while the
    registered ones are unknown.
    """

    role: Literal["gateway"]
    front_address: Annotated[
        str, pydantic.Field(pattern=r"^[0-9.]+:\d+$", examples=["10.0.1.5:8080"])
    ]
    ready_address: Annotated[
        str, pydantic.Field(pattern=r"^[0-9.]+:\d+$", examples=["10.0.1.5:8081"])
    ]
    key_proof_ms: Annotated[int, pydantic.Field(gt=0, examples=[5000])] = 5000
    grace_s: Seconds = 8.0
    retry_ratio: Annotated[float, pydantic.Field(ge=0, le=1, examples=[0.2])] = 0.2
    retry_slack: Annotated[float, pydantic.Field(ge=0, examples=[88])] = 20.0
    retry_window_s: Seconds = 10.0
    cold_overshoot: Annotated[float, pydantic.Field(gt=0, examples=[1.5])] = 1.0
    cold_slack: Annotated[float, pydantic.Field(ge=0, examples=[5])] = 0.0
    max_gateways: Slots = 8


class RankSettings(AdaptedRoleSettings):
    """Settings of the agent of a rank's engine; other processes use ``port``.

    ``link_mbit_s`` is the rate of the host's link in Mbit/s. A leader limits the
    reports of the other ranks to a share of it; 0 sets no limit.
    """

    role: Literal["ranks"]
    endpoint: Annotated[
        str, pydantic.Field(pattern=r"^[0-9.]+:\d+$", examples=["10.0.1.5:8000"])
    ]
    service: Name
    link_mbit_s: Annotated[float, pydantic.Field(ge=0, examples=[10.0])] = 0.0


class KeysFile(SettingsModel):
    """Digests of the keys of client accounts and operators.

    Each name has a list of SHA-256 digests of its valid keys, in hexadecimal, so that
    a key can be replaced without an interruption.
    """

    accounts: dict[Name, Digests]
    operators: dict[Name, Digests]
