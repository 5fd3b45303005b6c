"""What a fleet consists of."""

import dataclasses
import sys


@dataclasses.dataclass(frozen=True)
class FleetPlan:
    """What a fleet consists of.

    :param tuple domains: failure domains.
    :param int entries: entry processes, spread over the domains in turn.
    :param int engines_per_domain: model endpoints in each domain.
    :param int services_per_domain: plain service endpoints in each domain.
    :param dict engine: parameters of the engine stand-ins.
    :param dict service: parameters of the service stand-ins.
    :param dict endpoint: settings of the endpoints, over the defaults.
    :param dict entry: settings of the entries, over the defaults.
    :param dict node: settings of entries and agents, over the defaults.
    :param bool configured: whether version 1 of the configuration exists at the
        start; otherwise the fleet starts without waiting for it.
    :param dict agent: settings of the agents, over the defaults.
    :param dict config: merge patch over the default configuration.
    :param dict platform: parameters of the platform stand-in.
    :param tuple program: the command that runs a role, with its arguments.
    :param tuple accounts: client accounts; the key is ``NAME-key``.
    :param bool relays: whether the links of every process pass through relays,
        see :attr:`Fleet.relays_`.
    """

    domains: tuple = ("north", "middle", "south")
    entries: int = 2
    engines_per_domain: int = 1
    services_per_domain: int = 1
    engine: dict = dataclasses.field(default_factory=dict)
    service: dict = dataclasses.field(default_factory=dict)
    endpoint: dict = dataclasses.field(default_factory=dict)
    entry: dict = dataclasses.field(default_factory=dict)
    node: dict = dataclasses.field(default_factory=dict)
    configured: bool = True
    agent: dict = dataclasses.field(default_factory=dict)
    config: dict = dataclasses.field(default_factory=dict)
    platform: dict = dataclasses.field(default_factory=dict)
    program: tuple = (sys.executable, "-m", "sequoiagap.cli")
    accounts: tuple = ("caller",)
    relays: bool = False
