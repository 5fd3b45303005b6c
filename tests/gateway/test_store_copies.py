"""A store that is restored from a copy reverts no decision of a gateway."""

import asyncio
import dataclasses

from sequoiagap import routes, standins
from sequoiagap.gateway import _feed, _pool, _registration
from tests import support
from tests.gateway import gateway_case


class CopiesTest(gateway_case.GatewayCase):
    more_settings = {"key_proof_ms": 1500}

    async def restore(self, copy):
        """Restore the store from a copy and wait until the gateway sees it."""
        self.store.restore(copy)
        await support.eventually(lambda: self.gateway.feed.era_ == self.store.era)

    async def test_readings_after_a_copy_prove_keys_though_revisions_are_lower(self):
        copy = self.store.make_copy()
        for _ in range(5):
            self.store.put("endpoints", self.store.snapshot_by_topic["endpoints"].value)
        await asyncio.sleep(1.0)
        await self.restore(copy)
        await asyncio.sleep(_feed.SETTLE_S + 1.6)
        self.assertEqual((await self.call("/safe/"))[0], 200)

    async def test_what_is_written_after_a_copy_is_seen_though_revisions_are_lower(
        self,
    ):
        copy = self.store.make_copy()
        endpoints = dict(self.store.snapshot_by_topic["endpoints"].value)
        for _ in range(5):
            self.store.put("endpoints", dict(endpoints))
        await asyncio.sleep(1.0)
        await self.restore(copy)
        name = sorted(endpoints)[0]
        endpoints["new"] = dataclasses.replace(endpoints[name], endpoint_id="new")
        self.store.put("endpoints", endpoints)
        await support.eventually(lambda: "new" in self.gateway.pool.load_by_id)

    async def test_two_copies_in_a_row(self):
        copy = self.store.make_copy()
        self.store.put("config", gateway_case.table(2))
        await support.eventually(lambda: self.gateway.table.version == 2)
        await self.restore(copy)
        self.store.restore(copy)
        self.store.put("config", gateway_case.table(2))
        await asyncio.sleep(_feed.SETTLE_S + 1.0)
        self.assertEqual(self.gateway.feed.era_, 2)
        self.assertEqual((await self.call("/safe/"))[0], 200)

    async def test_configuration_does_not_go_back_and_an_older_one_proves_no_key(self):
        copy = self.store.make_copy()
        self.store.put("config", gateway_case.table(2, accounts=()))
        await support.eventually(lambda: self.gateway.table.version == 2)
        await self.restore(copy)
        await asyncio.sleep(_feed.SETTLE_S + 1.6)
        self.assertEqual(self.gateway.table.version, 2)
        self.assertFalse(self.gateway.freshness.is_fresh(routes.suspend_aware_time()))
        self.assertNotEqual((await self.call("/safe/"))[0], 200)
        self.assertEqual(self.ran(), 0)

    async def test_configuration_written_again_is_in_force_at_once(self):
        copy = self.store.make_copy()
        self.store.put("config", gateway_case.table(2))
        await support.eventually(lambda: self.gateway.table.version == 2)
        await self.restore(copy)
        self.store.put("config", gateway_case.table(3))
        await support.eventually(lambda: self.gateway.table.version == 3)

    async def test_proof_waits_until_what_the_copy_lacked_may_be_written_again(self):
        copy = self.store.make_copy()
        await self.restore(copy)
        proved_at = self.gateway.freshness.confirmed_at_
        await asyncio.sleep(_feed.SETTLE_S / 2)
        self.assertEqual(self.gateway.freshness.confirmed_at_, proved_at)

    async def test_domain_taken_out_stays_out_until_it_may_be_written_again(self):
        copy = self.store.make_copy()
        self.store.put("domains", frozenset({"north"}))
        self.gateway.feed.refresh("domains")
        await support.eventually(lambda: self.gateway.pool.domains_out_)
        await self.restore(copy)
        await asyncio.sleep(_feed.SETTLE_S / 2)
        self.assertEqual(self.gateway.pool.domains_out_, {"north"})
        self.store.put("domains", frozenset({"north"}))
        await asyncio.sleep(_feed.SETTLE_S + 0.5)
        self.assertEqual(self.gateway.pool.domains_out_, {"north"})

    async def test_departed_endpoint_is_not_taken_back(self):
        copy = self.store.make_copy()
        endpoints = dict(self.store.snapshot_by_topic["endpoints"].value)
        gone = sorted(endpoints)[0]
        del endpoints[gone]
        self.store.put("endpoints", endpoints)
        await support.eventually(lambda: gone not in self.gateway.pool.load_by_id)
        await self.restore(copy)
        await asyncio.sleep(1.5)
        self.assertNotIn(gone, self.gateway.pool.load_by_id)

    async def test_draining_endpoint_stays_draining(self):
        copy = self.store.make_copy()
        endpoints = dict(self.store.snapshot_by_topic["endpoints"].value)
        name = sorted(endpoints)[0]
        endpoints[name] = dataclasses.replace(
            endpoints[name], state=routes.EndpointState.DRAINING
        )
        self.store.put("endpoints", endpoints)
        load_by_id = self.gateway.pool.load_by_id
        draining = routes.EndpointState.DRAINING
        await support.eventually(lambda: load_by_id[name].endpoint.state == draining)
        await self.restore(copy)
        await asyncio.sleep(1.5)
        self.assertEqual(load_by_id[name].endpoint.state, draining)

    async def test_answer_of_an_earlier_era_is_dropped(self):
        feed = self.gateway.feed
        copy = self.store.make_copy()
        before = await self.store.read("domains")
        await self.restore(copy)
        topic = feed.topic_by_name["domains"]
        read_at = topic.read_at
        feed._apply_reading(topic, before, read_at + 60.0, "direct")
        self.assertEqual(topic.read_at, read_at)

    async def test_lost_registration_is_written_again(self):
        before = self.store.make_copy()
        self.assertIn("g1", self.store.node_by_id)
        revision, snapshots, _ = before
        await self.restore((revision, snapshots, {}))
        limit_s = _registration.REWRITE_SPREAD_S + 4.0
        await support.eventually(lambda: "g1" in self.store.node_by_id, limit_s)


class PartialViewTest(gateway_case.GatewayCase):
    """Gateways that see the store's return late, through a peer, or at their start."""

    more_settings = {"key_proof_ms": 1500}

    async def start_cut_off(self):
        """Start a gateway that reads the store only through the first one."""
        store = standins.DirectStore()
        store.__dict__.update(self.store.__dict__)
        second = await self.start_gateway("g2", store=store)
        await support.eventually(lambda: second.gateway_count() == 2)
        await support.eventually(second.is_ready)
        store.is_unreachable = True
        return second

    async def test_cut_off_gateway_learns_of_the_return_through_a_peer(self):
        second = await self.start_cut_off()
        copy = self.store.make_copy()
        self.store.put("config", gateway_case.table(2, accounts=()))
        await support.eventually(lambda: second.table.version == 2)
        self.store.restore(copy)
        await support.eventually(lambda: second.feed.era_ == 1, 6.0)
        await asyncio.sleep(_feed.SETTLE_S + 1.6)
        self.assertEqual(second.table.version, 2)
        self.assertNotEqual((await self.call("/safe/", to=second))[0], 200)
        self.assertEqual(self.ran(), 0)

    async def test_cut_off_gateway_sees_two_returns_as_one(self):
        second = await self.start_cut_off()
        copy = self.store.make_copy()
        self.store.restore(copy)
        self.store.restore(copy)
        await support.eventually(lambda: second.feed.era_ == 2, 6.0)
        await asyncio.sleep(_feed.SETTLE_S + 1.6)
        self.assertEqual((await self.call("/safe/", to=second))[0], 200)

    async def test_a_gateway_that_starts_after_the_return_serves(self):
        copy = self.store.make_copy()
        self.store.restore(copy)
        second = await self.start_gateway("g2")
        await support.eventually(second.is_ready)
        self.assertEqual(second.feed.era_, 1)
        self.assertEqual((await self.call("/safe/", to=second))[0], 200)


class PoolTest(gateway_case.GatewayCase):
    async def test_entries_lost_with_the_copy_stay_until_they_are_back(self):
        known = set(self.gateway.pool.load_by_id)
        revision, snapshots, nodes = self.store.make_copy()
        empty = {
            **snapshots,
            "endpoints": dataclasses.replace(snapshots["endpoints"], value={}),
        }
        self.store.restore((revision, empty, nodes))
        await asyncio.sleep(_pool.RETURN_HOLD_S / 2)
        self.assertEqual(set(self.gateway.pool.load_by_id), known)
