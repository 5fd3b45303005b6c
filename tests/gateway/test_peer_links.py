"""Gateways link to each other however many names of gone hosts are registered."""

from sequoiagap import gateway
from sequoiagap.gateway import _peers
from tests import support
from tests.gateway import gateway_case

LINK_TIMEOUT_S = 20.0


class PeerLinksTest(gateway_case.GatewayCase):
    def register_gone(self, count):
        """Register gateways that nobody runs, with names that come first."""
        for number in range(count):
            name = f"a{number:02}"
            self.store.node_by_id[name] = gateway.Node(
                name, "gateway", "127.0.0.1", support.free_port()
            )

    async def test_names_of_gone_hosts_take_no_links_for_good(self):
        # Guards against gateways that share nothing, as replaced ones fill all places.
        self.register_gone(3 * _peers.MAX_PEERS)
        others = [await self.start_gateway(name) for name in ("g2", "g3")]
        for running in (self.gateway, *others):
            await support.eventually(
                lambda r=running: (
                    {"g1", "g2", "g3"} - {r.settings.node_id}
                    <= set(r.peers._connection_by_id)
                ),
                LINK_TIMEOUT_S,
            )

    async def test_gone_host_that_is_back_is_linked(self):
        port = support.free_port()
        self.store.node_by_id["g2"] = gateway.Node("g2", "gateway", "127.0.0.1", port)
        await support.eventually(lambda: "g2" in self.gateway.peers.node_by_id, 5.0)
        await self.start_gateway("g2")
        await support.eventually(
            lambda: "g2" in self.gateway.peers._connection_by_id, LINK_TIMEOUT_S
        )
