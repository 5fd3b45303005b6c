"""Gateways that lose the store together do not call it more often."""

import asyncio

from sequoiagap import standins
from tests import support
from tests.gateway import gateway_case

GATEWAYS = 6
OUTAGE_S = 3.0
TOPICS = 3
MAX_CALLS_PER_S = 3.0  # per topic and gateway on average; 2 without an outage


class CountingStore(standins.DirectStore):
    """A store that counts its reads.

    :ivar int reads: number of reads, including failed ones.
    """

    def __init__(self):
        super().__init__()
        self.reads = 0

    async def read(self, topic, may_be_old=False):
        self.reads += 1
        return await super().read(topic, may_be_old)


class StoreCallsTest(gateway_case.GatewayCase):
    async def start_gateways(self):
        """Start gateways that share the content of a store and are connected."""
        shared = CountingStore()
        shared.__dict__.update(self.store.__dict__)
        gateways = [
            await self.start_gateway(f"more-{number}", store=shared)
            for number in range(GATEWAYS)
        ]
        await support.eventually(
            lambda: all(len(g.peers._connection_by_id) >= GATEWAYS for g in gateways)
        )
        return shared

    async def test_store_outage_causes_no_storm_of_calls(self):
        shared = await self.start_gateways()
        shared.is_unreachable = True
        shared.reads = 0
        await asyncio.sleep(OUTAGE_S)
        self.assertLess(shared.reads, MAX_CALLS_PER_S * OUTAGE_S * TOPICS * GATEWAYS)
