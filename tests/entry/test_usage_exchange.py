"""Usage of accounts is exchanged between entries, directly or by collectors."""

import asyncio
import types
import unittest

from simulations import virtual

from sequoiagap import admission, wire
from sequoiagap.entry import _peer_choice, _usage_exchange
from tests import support

DOMAINS = ("north", "middle", "south")
LARGE = 12
SMALL = 4


class FakeMesh:
    """Connections of one entry to the other entries of a network."""

    def __init__(self, network, node_id):
        self.network = network
        self.node_id = node_id
        self.handlers_ = wire.HandlerTable()
        self.find_extra_ids = None

    def ids_by_domain(self, now):
        """Return the ids of the running entries, by failure domain."""
        ids_by_domain = {}
        for number, node_id in enumerate(self.network.by_id):
            if node_id not in self.network.stopped:
                domain = DOMAINS[number % len(DOMAINS)]
                ids_by_domain.setdefault(domain, []).append(node_id)
        return ids_by_domain

    def find_connection(self, node_id):
        """Return a value that stands for the connection to a running entry."""
        return None if node_id in self.network.stopped else (self.node_id, node_id)

    async def send_to(self, node_id, item):
        """Encode, decode and deliver a message to one entry."""
        item = wire.decode(wire.encode(item))
        await self.network.by_id[node_id].mesh.handlers_.handle(self, item)

    async def broadcast(self, item):
        """Deliver a message to all other running entries."""
        for node_id in self.network.by_id:
            if node_id not in (self.node_id, *self.network.stopped):
                await self.send_to(node_id, item)


class FakeNetwork:
    """Entries that exchange usage.

    :param int count: number of entries.
    """

    def __init__(self, count):
        self.by_id = {}
        self.stopped = set()
        self.task_by_id = {}
        for number in range(count):
            node_id = f"entry-{number}"
            settings = types.SimpleNamespace(
                node_id=node_id, failure_domain=DOMAINS[number % len(DOMAINS)]
            )
            mesh = FakeMesh(self, node_id)
            charged = {}
            exchange = _usage_exchange.UsageExchange(
                settings,
                admission.UsageTable(node_id, "inc"),
                mesh,
                lambda used, charged=charged: _add_seconds(charged, used),
            )
            exchange.charged = charged
            self.by_id[node_id] = exchange

    def start(self):
        """Start the exchange at every entry."""
        for node_id, exchange in self.by_id.items():
            self.task_by_id[node_id] = asyncio.create_task(exchange.run())

    def stop_entry(self, node_id):
        """Stop one entry."""
        self.task_by_id[node_id].cancel()
        self.stopped.add(node_id)

    async def stop_all(self):
        """Stop all entries."""
        for task in self.task_by_id.values():
            task.cancel()
        await asyncio.gather(*self.task_by_id.values(), return_exceptions=True)


def _add_seconds(total, used):
    for account, seconds in used.items():
        total[account] = total.get(account, 0.0) + seconds


class UsageExchangeTest(unittest.TestCase):
    def setUp(self):
        support.silence_logs()

    def run_case(self, case, count):
        loop = virtual.VirtualLoop()
        try:
            loop.run_until_complete(self._run(case, count))
        finally:
            loop.close()

    async def _run(self, case, count):
        network = FakeNetwork(count)
        network.start()
        for exchange in network.by_id.values():
            exchange.table.record_arrival("guild")
            exchange.table.record_start("guild")
            exchange.table.record_arrival("guild")
        try:
            await case(network)
        finally:
            await network.stop_all()

    def test_entries_count_all_others_and_expire_stopped_ones(self):
        async def case(network):
            running_count = count = len(network.by_id)
            for _ in range(3):
                await asyncio.sleep(support.FEW_SECONDS_S)
                for node_id, exchange in network.by_id.items():
                    if node_id not in network.stopped:
                        remote = exchange.remote_in_flight("guild")
                        self.assertEqual(remote, 2 * (running_count - 1), node_id)
                        self.assertEqual(
                            exchange.count_remote_entries(), running_count - 1
                        )
                network.stop_entry(self._pick_collector(network))
                running_count = count - len(network.stopped)

        for count in (SMALL, LARGE):
            with self.subTest(count=count):
                self.run_case(case, count)

    def test_deployment_that_shrinks_uses_direct_exchange(self):
        async def case(network):
            await asyncio.sleep(support.FEW_SECONDS_S)
            for node_id in list(network.by_id)[SMALL:]:
                network.stop_entry(node_id)
            await asyncio.sleep(support.FEW_SECONDS_S)
            for exchange in list(network.by_id.values())[:SMALL]:
                self.assertEqual(exchange.remote_in_flight("guild"), 2 * (SMALL - 1))
                self.assertEqual(exchange.count_remote_entries(), SMALL - 1)

        self.run_case(case, LARGE)

    def test_slots_in_use_at_other_entries_are_charged(self):
        async def case(network):
            await asyncio.sleep(support.FEW_SECONDS_S)
            exchange = network.by_id["entry-0"]
            before = exchange.charged.get("guild", 0.0)
            await asyncio.sleep(10.0)
            charged = exchange.charged["guild"] - before
            self.assertAlmostEqual(charged, 10.0 * (LARGE - 1), delta=LARGE)

        self.run_case(case, LARGE)

    def test_intermittent_account_is_counted_between_its_requests(self):
        async def case(network):
            own = network.by_id["entry-1"].table
            own.record_end("guild", 0.0)
            own.record_end("guild", 0.0)
            own.record_stop("guild")
            for _ in range(10):
                own.record_arrival("guild")
                own.record_end("guild", 0.01)
                await asyncio.sleep(1.0)
            remote = network.by_id["entry-1"].remote_in_flight("guild")
            self.assertEqual(remote, 2 * (LARGE - 1))
            self.assertEqual(network.by_id["entry-0"].remote_in_flight("guild"), 20)

        self.run_case(case, LARGE)

    def test_entries_connect_to_collectors_and_collectors_to_each_other(self):
        network = FakeNetwork(LARGE)
        mesh = network.by_id["entry-0"].mesh
        by_domain = _usage_exchange._choose_collectors(mesh.ids_by_domain(0.0))
        all_collectors = {node_id for ids in by_domain.values() for node_id in ids}
        for node_id, exchange in network.by_id.items():
            own = set(by_domain[exchange.settings.failure_domain])
            expected = all_collectors if node_id in own else own
            self.assertEqual(set(exchange.mesh.find_extra_ids(0.0)), expected)
        self.assertEqual(
            FakeNetwork(SMALL).by_id["entry-0"].mesh.find_extra_ids(0.0), []
        )

    def _pick_collector(self, network):
        """Return a collector in use, or a running entry of a full mesh."""
        mesh = network.by_id["entry-0"].mesh
        ids = mesh.ids_by_domain(0.0)
        if _peer_choice.is_full_mesh(ids):
            return next(i for i in network.by_id if i not in network.stopped)
        return _usage_exchange._choose_collectors(ids)["north"][0]
