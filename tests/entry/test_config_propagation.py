"""Every process applies an accepted configuration version within 4 s despite faults."""

import asyncio

from sequoiagap import standins
from tests import support

PASS = standins.LinkMode.PASS
CUT = standins.LinkMode.CUT
SILENT = standins.LinkMode.SILENT
LOG_TIMEOUT_S = 10.0


class ConfigPropagationTest(support.FleetCase):
    plan = standins.FleetPlan(
        entries=6, engines_per_domain=1, services_per_domain=0, relays=True
    )

    async def test_version_is_in_force_in_time_despite_faults(self):
        cases = [
            ("no fault", self._inject_nothing),
            ("slow platform", lambda: self._set_platform_faults(slow_s=0.25)),
            ("lost watches", lambda: self._set_platform_faults(lose_watches=True)),
            ("gapped watches", lambda: self._set_platform_faults(gap_watches=5)),
            ("entries cut from each other", lambda: self._cut_entries(CUT)),
            ("entries silent to each other", lambda: self._cut_entries(SILENT)),
            ("lost watches and entries cut", self._lose_watches_and_cut),
            ("platform cut from all but one", self._cut_platform),
            ("open connections silent", self._silence_open_connections),
            ("entry killed and replaced", self._replace_entry),
            ("accepting entry killed", self._inject_nothing),
        ]
        for name, inject_fault in cases:
            with self.subTest(name):
                await inject_fault()
                await self._check_patch_comes_into_force(name)
                await self._heal()

    async def _check_patch_comes_into_force(self, name):
        changes = {"models": {name.replace(" ", "-"): {}}}
        status, reply = await self.fleet.patch_config(changes)
        self.assertEqual(status, 200, reply)
        entries = self.fleet.entry_names()
        if name == "accepting entry killed":
            await self.fleet.process_by_name["entry-0"].kill()
            entries = entries[1:]
        await self.wait_in_force(reply["version"], entries)

    async def _inject_nothing(self):
        return

    async def _set_platform_faults(self, **faults):
        await self.fleet.set_faults("platform", **faults)

    async def _cut_entries(self, mode):
        names = self.fleet.entry_names()
        self.fleet.relays_.cut_between(names, names, mode)

    async def _lose_watches_and_cut(self):
        await self._set_platform_faults(lose_watches=True)
        await self._cut_entries(SILENT)

    async def _cut_platform(self):
        cut_names = self.fleet.entry_names()[1:] + self.fleet.endpoint_names()
        self.fleet.relays_.cut_platform(cut_names, SILENT)

    async def _silence_open_connections(self):
        for name in self.fleet.entry_names():
            self.fleet.relays_.peer_by_name[name].silence_open()
            self.fleet.relays_.platform_by_name[name].silence_open()

    async def _replace_entry(self):
        await self.fleet.process_by_name["entry-3"].kill()
        await self.fleet.start_entry(3)

    async def _heal(self):
        await self._set_platform_faults(
            slow_s=0.0, lose_watches=False, gap_watches=0, stale_reads=False
        )
        self.fleet.relays_.heal()


class PlatformRestoreTest(support.FleetCase):
    plan = standins.FleetPlan(entries=3, services_per_domain=0)

    async def test_outdated_or_malformed_platform_data_never_lowers_the_version(self):
        await self.fleet.call("platform", "POST", "/backup")
        status, reply = await self.fleet.patch_config({"models": {"later": {}}})
        number = reply["version"]
        await self.wait_in_force(number)
        with self.subTest("stale reads"):
            await self.fleet.set_faults("platform", stale_reads=True)
            await self._check_version_stays(number)
            await self.fleet.set_faults("platform", stale_reads=False)
        with self.subTest("malformed object"):
            path = "/objects/sequoiagap-config"
            _, stored = await self.fleet.call("platform", "GET", path)
            malformed = {"expected_version": stored["version"], "value": {"number": 99}}
            await self.fleet.call("platform", "PUT", path, malformed)
            await self._check_version_stays(number)
            await self._check_logged("config_malformed")
        with self.subTest("restored from a backup"):
            await self.fleet.call("platform", "POST", "/restore")
            await self._check_version_stays(number)
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

    async def _check_version_stays(self, number):
        """Check for a while that every process keeps a version in force."""
        for _ in range(8):
            versions = await self.versions()
            self.assertEqual(set(versions.values()), {number}, versions)
            await asyncio.sleep(0.25)

    async def _check_logged(self, event):
        async def is_logged():
            logs = [self.fleet.process_by_name[f"entry-{i}"].log_path for i in range(3)]
            return any(f'"{event}"' in path.read_text() for path in logs)

        await self.fleet.wait_until(is_logged, LOG_TIMEOUT_S)
