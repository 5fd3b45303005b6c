"""Client of the store, against a stand-in for the store's HTTP API."""

import asyncio
import json
import sys
import unittest

from aiohttp import web

from sequoiagap import base, gateway
from tests import support

sys.path.insert(0, str(support.ROOT / "platform"))

from sequoiagap_site import store  # noqa: E402 - found by the path above


class StoreStandIn:
    """Stores objects and lists them in pages of two; fails or delays on demand."""

    def __init__(self):
        self.by_kind = {
            "servers": {},
            "sequoiagap-nodes": {},
            "sequoiagap-crashes": {},
        }
        self.status = 0
        self.delay_s = 0.0
        self.calls = []
        self.headers = {}
        self.next_eras = []

    async def answer(self, request):
        """Answer one call and add the configured headers."""
        if self.next_eras:
            self.headers["Store-Era"] = self.next_eras.pop(0)
        response = await self._answer(request)
        response.headers.update(self.headers)
        return response

    async def _answer(self, request):
        self.calls.append((request.method, request.path_qs))
        await asyncio.sleep(self.delay_s)
        if self.status:
            return web.Response(status=self.status)
        kind, _, name = request.path.removeprefix("/api/objects/").partition("/")
        objects = self.by_kind.get(kind, {})
        if request.method in ("POST", "PUT"):
            document = json.loads(await request.read())
            name = document["Metadata"]["Name"]
            if request.method == "POST" and name in objects:
                return web.json_response(objects[name], status=409)
            objects[name] = document
            return web.json_response(document)
        if request.method == "DELETE":
            found = objects.pop(name, None)
            return web.json_response(found or {}, status=200 if found else 404)
        if name:
            found = objects.get(name)
            return web.json_response(found or {}, status=200 if found else 404)
        after = request.query.get("After", "")
        names = [n for n in sorted(objects) if n > after]
        page = [objects[n] for n in names[:2]]
        body = {"Items": page, "HasMore": len(names) > 2, "AsOf": 5}
        return web.json_response(body)


class StoreTest(unittest.IsolatedAsyncioTestCase):
    @classmethod
    def setUpClass(cls):
        support.silence_logs()

    async def asyncSetUp(self):
        self.stand_in = StoreStandIn()
        runner = web.ServerRunner(web.Server(self.stand_in.answer))
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self.addAsyncCleanup(runner.cleanup)
        port = runner.addresses[0][1]
        self.store = store.PlatformStore(f"http://127.0.0.1:{port}")
        self.addAsyncCleanup(self.store.close)

    async def test_list_of_several_pages(self):
        for number in range(5):
            name = f"i{number}"
            self.stand_in.by_kind["servers"][name] = {
                "Metadata": {"Name": name},
                "Spec": {
                    "Service": "s",
                    "Address": f"10.0.0.{number}:80",
                    "Zone": "z",
                    "State": "ready",
                },
            }
        reading = await self.store.read("endpoints")
        found = self.store.decode("endpoints", reading.content).value
        self.assertEqual(sorted(found), ["i0", "i1", "i2", "i3", "i4"])

    async def test_odd_entry_at_the_end_of_a_page_hides_no_later_page(self):
        # Guards against a list that can't be continued after such an entry.
        spec = {"Service": "s", "Address": "10.0.0.1:80", "Zone": "z", "State": "ready"}
        for odd in ({}, {"Metadata": None}, {"Metadata": {"Name": 7}}, "text"):
            with self.subTest(odd):
                names = ("a", "b", "c", "d & e=#", "f")
                self.stand_in.by_kind["servers"] = {
                    name: {"Metadata": {"Name": name}, "Spec": spec} for name in names
                }
                self.stand_in.by_kind["servers"]["b"] = odd
                reading = await self.store.read("endpoints")
                found = self.store.decode("endpoints", reading.content).value
                self.assertEqual(set(found), set(names) - {"b"})

    async def test_page_without_any_name_is_an_error(self):
        for name in ("a", "b", "c"):
            self.stand_in.by_kind["servers"][name] = {"Spec": {}}
        with self.assertRaises(base.PlatformError):
            await self.store.read("endpoints")

    async def test_missing_configuration(self):
        reading = await self.store.read("config")
        self.assertIsNone(self.store.decode("config", reading.content).value)

    async def test_era_of_the_store(self):
        self.assertEqual((await self.store.read("config")).era, 0)
        self.stand_in.headers["Store-Era"] = "3"
        self.assertEqual((await self.store.read("config")).era, 3)
        self.assertEqual((await self.store.read("endpoints")).era, 3)

    async def test_era_that_is_not_a_number_is_an_error(self):
        for text in ("-1", "", "two", "1.5"):
            with self.subTest(text):
                self.stand_in.headers["Store-Era"] = text
                with self.assertRaises(base.PlatformError):
                    await self.store.read("config")

    async def test_list_with_pages_of_two_eras_is_an_error(self):
        for number in range(5):
            entry = {"Metadata": {"Name": f"i{number}"}, "Spec": {}}
            self.stand_in.by_kind["servers"][f"i{number}"] = entry
        self.stand_in.next_eras = ["1", "2", "2"]
        with self.assertRaises(base.PlatformError):
            await self.store.read("endpoints")

    async def test_error_statuses_raise_platform_error(self):
        for status in (429, 500, 503):
            self.stand_in.status = status
            with self.assertRaises(base.PlatformError):
                await self.store.read("config")

    async def test_call_to_a_slow_store_times_out(self):
        self.stand_in.delay_s = 5.0
        with self.assertRaises(base.PlatformError):
            async with asyncio.timeout(2.0):
                await self.store.read("config")

    async def test_crashes_are_kept_listed_and_deleted(self):
        kept = [
            gateway.CrashRecord(f"e/{n}.1", 5.0 + n, (("a", "b"),)) for n in range(3)
        ]
        for record in (*kept, kept[0]):
            await self.store.save_crash(record)
        self.assertEqual(await self.store.list_crashes(), kept)
        await self.store.delete_crash("e/0.1")
        await self.store.delete_crash("e/0.1")
        self.assertEqual(
            self.stand_in.calls[-1][1], "/api/objects/sequoiagap-crashes/e%2F0.1"
        )

    async def test_confirmed_crash_replaces_an_unconfirmed_one(self):
        for is_confirmed in (False, True, False):
            record = gateway.CrashRecord("e/1.1", 5.0, (("a", "b"),), is_confirmed)
            await self.store.save_crash(record)
        (kept,) = await self.store.list_crashes()
        self.assertTrue(kept.is_confirmed)

    async def test_registration_is_listed_and_replaced_after_a_restart(self):
        first = gateway.Node("n1", "gateway", "10.0.0.1", 7000, "z")
        await self.store.announce(first)
        moved = gateway.Node("n1", "gateway", "10.0.0.2", 7000, "z")
        await self.store.announce(moved)
        self.assertEqual(await self.store.list_nodes(), {"n1": moved})

    async def test_only_lists_that_may_be_old_allow_stale_content(self):
        await self.store.read("endpoints")
        await self.store.list_nodes()
        (fresh, old) = self.stand_in.calls
        self.assertNotIn("AllowStale", fresh[1])
        self.assertIn("AllowStale=1", old[1])
