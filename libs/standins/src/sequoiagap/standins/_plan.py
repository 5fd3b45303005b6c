"""Composition of a test fleet."""

import dataclasses
import sys


@dataclasses.dataclass(frozen=True)
class FleetPlan:
    """Describes the processes of a test fleet and their settings.

    :param tuple domains: names of the failure domains.
    :param int entries: number of entries, assigned to the domains round robin.
    :param int engines_per_domain: number of model endpoints in each domain.
    :param int services_per_domain: number of plain service endpoints in each domain.
    :param dict engine: parameters of the engine stand-ins.
    :param dict service: parameters of the service stand-ins.
    :param dict endpoint: settings of the endpoints, merged over the defaults.
    :param dict entry: settings of the entries, merged over the defaults.
    :param dict node: settings of entries and agents, merged over the defaults.
    :param bool configured: whether configuration version 1 exists at the
        start; otherwise the fleet starts without one and does not wait until ready.
    :param dict agent: settings of the agents, merged over the defaults.
    :param dict config: top-level keys that replace those of the default
        configuration.
    :param dict platform: parameters of the platform stand-in.
    :param tuple program: command line prefix that runs a role.
    :param tuple accounts: client accounts; the key of each is ``NAME-key``.
    :param bool relays: whether connections to and from each process pass through
        relays, see :attr:`Fleet.relays_`.
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
