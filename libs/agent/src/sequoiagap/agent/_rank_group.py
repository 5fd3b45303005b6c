"""Group components of an agent whose endpoint is a rank of a group."""

import asyncio

from sequoiagap import wire
from sequoiagap.agent import (
    _group_links,
    _group_maps,
    _member,
    _rank_engine,
    _rebalance,
    _rounds,
)


class RankGroup:
    """Builds and runs the group components of an agent.

    :param sequoiagap.settings.AgentSettings settings: settings with a group.
    :param make_hello: function that returns this agent's hello.
    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    :param str incarnation: incarnation of the agent.
    """

    def __init__(self, settings, make_hello, holder, incarnation):
        group = settings.group
        self.engine_ = _rank_engine.RankEngineClient(settings.endpoint)
        self.links_ = _group_links.GroupLinks(group.peers, group.rank, make_hello)
        maps = _group_maps.MapStore(group, self.engine_, self.links_)
        self.member_ = _member.GroupMember(
            group, self.engine_, self.links_, maps, incarnation
        )
        rounds = _rounds.RoundRunner(self.member_, self.links_)
        self.handlers_ = wire.HandlerTable()
        self.member_.attach(self.handlers_)
        maps.attach(self.handlers_)
        self.rebalancer_ = _rebalance.Rebalancer(
            self.member_, self.links_, rounds, holder
        )

    @property
    def is_stalled(self):
        """Whether the group can't step, so that requests would only wait."""
        return self.member_.is_stalled

    async def serve(self, connection):
        """Serve the connection of a peer's agent until it closes.

        :param sequoiagap.wire.Connection connection: the peer.
        """
        await connection.run(lambda item: self.handlers_.handle(connection, item))

    async def run(self):
        """Take part in the group until cancelled."""
        await self.engine_.open()
        await asyncio.gather(self.member_.run(), self.rebalancer_.run())

    async def close(self):
        """Close all connections."""
        await self.links_.close()
        await self.engine_.close()

    def set_gauges(self, metrics):
        """Update the gauges of the group.

        :param sequoiagap.base.Metrics metrics: metrics of the agent.
        """
        rebalancer = self.rebalancer_
        state = self.member_.state_
        version = state.committed_.version if state is not None else 0
        metrics.set_gauge("group_step_skew", rebalancer.loads_.skew_)
        metrics.set_gauge("group_map_version", version)
        metrics.set_gauge("group_stalled", int(self.is_stalled))
        metrics.set_gauge("group_map_changes", rebalancer.changes_)
        metrics.set_gauge("group_bytes_moved", rebalancer.bytes_moved_)

    def dump_state(self):
        """Return the group part of the state dump.

        :rtype: dict
        """
        return self.member_.dump_state() | {"lead": self.rebalancer_.dump_state()}
