"""Usage reaches the other entries, directly or by way of collectors."""

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


class Mesh:
    """Connections of one entry to the others of its network."""

    def __init__(self, network, node_id):
        self.network = network
        self.node_id = node_id
        self.handlers_ = wire.HandlerTable()
        self.find_extra_ids = None

    def ids_by_domain(self, now):
        """Return every entry that lives."""
        ids_by_domain = {}
        for number, node_id in enumerate(self.network.by_id):
            if node_id not in self.network.lost:
                domain = DOMAINS[number % len(DOMAINS)]
                ids_by_domain.setdefault(domain, []).append(node_id)
        return ids_by_domain

    def find_connection(self, node_id):
        """Return what stands for the connection to an entry that is connected."""
        return None if node_id in self.network.lost else (self.node_id, node_id)

    async def send_to(self, node_id, item):
        """Deliver a message over the wire's codec."""
        item = wire.decode(wire.encode(item))
        await self.network.by_id[node_id].mesh.handlers_.handle(self, item)

    async def broadcast(self, item):
        """Deliver a message to all that live."""
        for node_id in self.network.by_id:
            if node_id not in (self.node_id, *self.network.lost):
                await self.send_to(node_id, item)


class Network:
    """Entries that exchange usage.

    :param int count: how many.
    """

    def __init__(self, count):
        self.by_id = {}
        self.lost = set()
        self.task_by_id = {}
        for number in range(count):
            node_id = f"entry-{number}"
            settings = types.SimpleNamespace(
                node_id=node_id, failure_domain=DOMAINS[number % len(DOMAINS)]
            )
            mesh = Mesh(self, node_id)
            charged = {}
            exchange = _usage_exchange.UsageExchange(
                settings,
                admission.UsageTable(node_id, "inc"),
                mesh,
                lambda used, charged=charged: _add(charged, used),
            )
            exchange.charged = charged
            self.by_id[node_id] = exchange

    def start(self):
        """Begin the exchange at every entry."""
        for node_id, exchange in self.by_id.items():
            self.task_by_id[node_id] = asyncio.create_task(exchange.run())

    def lose(self, node_id):
        """End an entry."""
        self.task_by_id[node_id].cancel()
        self.lost.add(node_id)

    async def stop(self):
        """End all."""
        for task in self.task_by_id.values():
            task.cancel()
        await asyncio.gather(*self.task_by_id.values(), return_exceptions=True)


def _add(total, used):
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
        network = Network(count)
        network.start()
        for exchange in network.by_id.values():
            exchange.table.record_arrival("guild")
            exchange.table.record_start("guild")
            exchange.table.record_arrival("guild")
        try:
            await case(network)
        finally:
            await network.stop()

    def test_every_entry_counts_all_others_and_a_lost_one_not_for_long(self):
        async def case(network):
            living = count = len(network.by_id)
            for _ in range(3):
                await asyncio.sleep(support.FEW_SECONDS_S)
                for node_id, exchange in network.by_id.items():
                    if node_id not in network.lost:
                        others = exchange.remote_in_flight("guild")
                        self.assertEqual(others, 2 * (living - 1), node_id)
                        self.assertEqual(exchange.count_remote_entries(), living - 1)
                network.lose(self._pick_collector(network))
                living = count - len(network.lost)

        for count in (SMALL, LARGE):
            with self.subTest(count=count):
                self.run_case(case, count)

    def test_a_deployment_that_shrinks_to_a_few_counts_them_directly(self):
        async def case(network):
            await asyncio.sleep(support.FEW_SECONDS_S)
            for node_id in list(network.by_id)[SMALL:]:
                network.lose(node_id)
            await asyncio.sleep(support.FEW_SECONDS_S)
            for exchange in list(network.by_id.values())[:SMALL]:
                self.assertEqual(exchange.remote_in_flight("guild"), 2 * (SMALL - 1))
                self.assertEqual(exchange.count_remote_entries(), SMALL - 1)

        self.run_case(case, LARGE)

    def test_slots_held_elsewhere_are_charged(self):
        async def case(network):
            await asyncio.sleep(support.FEW_SECONDS_S)
            exchange = network.by_id["entry-0"]
            before = exchange.charged.get("guild", 0.0)
            await asyncio.sleep(10.0)
            charged = exchange.charged["guild"] - before
            self.assertAlmostEqual(charged, 10.0 * (LARGE - 1), delta=LARGE)

        self.run_case(case, LARGE)

    def test_an_account_that_comes_and_goes_is_known_between_its_requests(self):
        async def case(network):
            own = network.by_id["entry-1"].table
            own.record_end("guild", 0.0)
            own.record_end("guild", 0.0)
            own.record_stop("guild")
            for _ in range(10):
                own.record_arrival("guild")
                own.record_end("guild", 0.01)
                await asyncio.sleep(1.0)
            others = network.by_id["entry-1"].remote_in_flight("guild")
            self.assertEqual(others, 2 * (LARGE - 1))
            self.assertEqual(network.by_id["entry-0"].remote_in_flight("guild"), 20)

        self.run_case(case, LARGE)

    def test_entries_connect_to_their_collectors_and_collectors_to_each_other(self):
        network = Network(LARGE)
        mesh = network.by_id["entry-0"].mesh
        by_domain = _usage_exchange._choose_collectors(mesh.ids_by_domain(0.0))
        everywhere = {node_id for ids in by_domain.values() for node_id in ids}
        for node_id, exchange in network.by_id.items():
            own = set(by_domain[exchange.settings.failure_domain])
            expected = everywhere if node_id in own else own
            self.assertEqual(set(exchange.mesh.find_extra_ids(0.0)), expected)
        self.assertEqual(Network(SMALL).by_id["entry-0"].mesh.find_extra_ids(0.0), [])

    def _pick_collector(self, network):
        """Return a collector in use, or the second entry of a small deployment."""
        mesh = network.by_id["entry-0"].mesh
        ids = mesh.ids_by_domain(0.0)
        if _peer_choice.is_full_mesh(ids):
            return next(i for i in network.by_id if i not in network.lost)
        return _usage_exchange._choose_collectors(ids)["north"][0]
