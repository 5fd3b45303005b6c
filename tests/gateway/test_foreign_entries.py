"""Entries of another writer hide no server."""

import dataclasses

from tests import support
from tests.gateway import gateway_case

UNKNOWN_SERVICE = "desk-trial"  # no configuration names it


class ForeignEntriesTest(gateway_case.GatewayCase):
    async def test_copies_under_an_unknown_service_hide_no_server(self):
        # Guards against a service that another writer's copies take down.
        for later_ms in (-1, 0, 1):
            with self.subTest(later_ms=later_ms):
                own = {e.endpoint_id: e.record("desk") for e in self.endpoints}
                foreign = {
                    f"trial-{endpoint_id}": dataclasses.replace(
                        record,
                        endpoint_id=f"trial-{endpoint_id}",
                        service=UNKNOWN_SERVICE,
                        started_ms=record.started_ms + later_ms,
                    )
                    for endpoint_id, record in own.items()
                }
                self.store.put("endpoints", own | foreign)
                await self.register(own | foreign)
                self.assertEqual((await self.call("/safe/x"))[0], 200)
                self.assertEqual(len(self.gateway.pool.candidates("desk")), 2)
                await self.register(own)

    async def register(self, record_by_id):
        """Register endpoints and wait for the gateway to know them."""
        self.store.put("endpoints", record_by_id)
        known = self.gateway.pool.load_by_id
        await support.eventually(lambda: set(known) == set(record_by_id))
