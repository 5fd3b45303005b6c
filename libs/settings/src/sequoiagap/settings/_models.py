"""Models of the settings of each role."""

from typing import Annotated, Literal

import pydantic

Name = Annotated[str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$")]
Port = Annotated[int, pydantic.Field(ge=0, le=65535)]
Seconds = Annotated[float, pydantic.Field(gt=0, le=86400)]
IpAddress = pydantic.IPvAnyAddress


class SettingsModel(pydantic.BaseModel):
    """Base of all settings: unknown keys are errors, values don't change."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class PlatformSettings(SettingsModel):
    """Where the platform's object API is."""

    url: Annotated[str, pydantic.Field(pattern=r"^https?://")]
    timeout_s: Seconds = 1.0


class NodeSettings(SettingsModel):
    """Settings that every role has."""

    node_id: Name
    deployment: Name
    region: Name
    failure_domain: Name
    address: IpAddress
    port: Port
    platform: PlatformSettings
    secret_file: str
    log_level: Literal["debug", "info", "warning"] = "info"


class EntrySettings(NodeSettings):
    """Settings of ``sequoiagap entry``; ``port`` is for its own peers."""

    role: Literal["entry"]
    http_port: Port
    keys_file: str
    drain_lag_s: Seconds = 2.0
    drain_bound_s: Seconds = 60.0
    request_timeout_s: Seconds = 120.0
    max_queue_wait_s: Seconds = 1.0
    max_body_bytes: Annotated[int, pydantic.Field(gt=0, le=4 * 1024 * 1024)] = 1048576


class EndpointSettings(SettingsModel):
    """The endpoint beside an agent."""

    kind: Literal["model", "service"]
    url: Annotated[str, pydantic.Field(pattern=r"^https?://")]
    serves: Annotated[list[Name], pydantic.Field(min_length=1)]
    warm_limit: Annotated[int, pydantic.Field(gt=0, le=4096)] = 16
    cold_limit: Annotated[int, pydantic.Field(gt=0, le=4096)] = 2
    warm_up_s: Seconds = 10.0
    first_byte_timeout_s: Seconds = 20.0
    between_bytes_timeout_s: Seconds = 2.0
    engine: Name = "hold_at_step"
    checks_fencing: bool = False


class AgentSettings(NodeSettings):
    """Settings of ``sequoiagap agent``; ``port`` is for the entries."""

    role: Literal["agent"]
    endpoint: EndpointSettings
    drain_bound_s: Seconds = 60.0
