"""An accepted version is in force everywhere in 4 s, through faults."""

import asyncio

from sequoiagap import standins
from tests import support

PASS = standins.LinkMode.PASS
CUT = standins.LinkMode.CUT
SILENT = standins.LinkMode.SILENT
NOTICE_BOUND_S = 10.0


class InForceTest(support.FleetCase):
    plan = standins.FleetPlan(
        entries=6, engines_per_domain=1, services_per_domain=0, relays=True
    )

    async def test_faults_of_platform_links_and_entries(self):
        cases = [
            ("no fault", self._nothing),
            ("slow platform", lambda: self._platform(slow_s=0.25)),
            ("lost watches", lambda: self._platform(lose_watches=True)),
            ("gapped watches", lambda: self._platform(gap_watches=5)),
            ("entries cut from each other", lambda: self._entries(CUT)),
            ("entries silent to each other", lambda: self._entries(SILENT)),
            ("lost watches and entries cut", self._lose_watches_and_cut),
            ("platform cut from all but one", self._cut_platform),
            ("open connections silent", self._silence_open),
            ("entry killed and replaced", self._replace_entry),
            ("accepting entry killed", self._nothing),
        ]
        for name, break_it in cases:
            with self.subTest(name):
                await break_it()
                await self._check(name)
                await self._heal()

    async def _check(self, name):
        changes = {"models": {name.replace(" ", "-"): {}}}
        status, reply = await self.fleet.patch_config(changes)
        self.assertEqual(status, 200, reply)
        entries = self.fleet.entry_names()
        if name == "accepting entry killed":
            await self.fleet.process_by_name["entry-0"].kill()
            entries = entries[1:]
        await self.wait_in_force(reply["version"], entries)

    async def _nothing(self):
        return

    async def _platform(self, **switches):
        await self.fleet.set_faults("platform", **switches)

    async def _entries(self, mode):
        names = self.fleet.entry_names()
        self.fleet.relays_.cut_between(names, names, mode)

    async def _lose_watches_and_cut(self):
        await self._platform(lose_watches=True)
        await self._entries(SILENT)

    async def _cut_platform(self):
        others = self.fleet.entry_names()[1:] + self.fleet.endpoint_names()
        self.fleet.relays_.cut_platform(others, SILENT)

    async def _silence_open(self):
        for name in self.fleet.entry_names():
            self.fleet.relays_.peer_by_name[name].silence_open()
            self.fleet.relays_.platform_by_name[name].silence_open()

    async def _replace_entry(self):
        await self.fleet.process_by_name["entry-3"].kill()
        await self.fleet.start_entry(3)

    async def _heal(self):
        await self._platform(
            slow_s=0.0, lose_watches=False, gap_watches=0, stale_reads=False
        )
        self.fleet.relays_.heal()


class PlatformBackTest(support.FleetCase):
    plan = standins.FleetPlan(entries=3, services_per_domain=0)

    async def test_an_older_or_malformed_platform_never_takes_a_version_back(self):
        await self.fleet.call("platform", "POST", "/backup")
        status, reply = await self.fleet.patch_config({"models": {"later": {}}})
        number = reply["version"]
        await self.wait_in_force(number)
        with self.subTest("stale reads"):
            await self.fleet.set_faults("platform", stale_reads=True)
            await self._check_kept(number)
            await self.fleet.set_faults("platform", stale_reads=False)
        with self.subTest("malformed object"):
            path = "/objects/sequoiagap-config"
            _, stored = await self.fleet.call("platform", "GET", path)
            bad = {"expected_version": stored["version"], "value": {"number": 99}}
            await self.fleet.call("platform", "PUT", path, bad)
            await self._check_kept(number)
            await self._check_logged("config_malformed")
        with self.subTest("restored from a backup"):
            await self.fleet.call("platform", "POST", "/restore")
            await self._check_kept(number)
            await self._check_logged("platform_behind")
            status, reply = await self.fleet.patch_config({"models": {"x": {}}})
            self.assertEqual(status, 409)
            self.assertIn("restore", reply["error"]["remedy"])
            status, reply = await self.fleet.call(
                "entry-1", "POST", "/config/restore", {}
            )
            self.assertEqual((status, reply["version"]), (200, number + 1))
            await self.wait_in_force(number + 1)
            _, current = await self.fleet.call("entry-2", "GET", "/config")
            self.assertIn("later", current["document"]["models"])

    async def _check_kept(self, number):
        """Look for a while that no process goes below a version."""
        for _ in range(8):
            versions = await self.versions()
            self.assertEqual(set(versions.values()), {number}, versions)
            await asyncio.sleep(0.25)

    async def _check_logged(self, event):
        async def is_logged():
            logs = [self.fleet.process_by_name[f"entry-{i}"].log_path for i in range(3)]
            return any(f'"{event}"' in path.read_text() for path in logs)

        await self.fleet.wait_until(is_logged, NOTICE_BOUND_S)
