"""Tests the configuration watch alone with slow, lost, incomplete and stale answers."""

import asyncio
import time

from sequoiagap import config, platform
from sequoiagap.entry import _config_watch
from tests import support

CALL_TIMEOUT_S = 0.5
MANY_PATCHES = 30


class CountingClient(platform.PlatformClient):
    """Counts the reads of the full configuration."""

    full_reads = 0

    async def _call(self, method, path, body=None, timeout_s=None):
        status, document = await super()._call(method, path, body, timeout_s)
        name = path.removeprefix("/objects/").partition("/")[0]
        if method == "GET" and status == 200 and name == config.CONFIG_OBJECT:
            self.full_reads += 1
        return status, document


class ConfigWatchTest(support.PlatformCase):
    call_timeout_s = CALL_TIMEOUT_S

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.operator = self.client
        self.client = self.open_client(CountingClient)
        self.store = config.ConfigStore(self.operator)
        self.holder = config.ConfigHolder()
        self.watch = _config_watch.ConfigWatch(
            self.client,
            self.holder,
            config.ConfigReplica(self.holder),
            config.WatchSchedule(time.monotonic()),
            lambda: 0,
        )
        await self.accept_patch()
        self.task = asyncio.create_task(self.watch.run())
        self.addCleanup(self.task.cancel)
        await self.wait_for_version(1)

    async def accept_patch(self):
        """Write a patch to the platform and return its version."""
        number = (await self.store.read()).version.number
        changes = {"models": {f"m{number % 7}": {"repeatable": number % 2 == 0}}}
        patch = config.Patch(f"p{number}", number, changes, "ann")
        result = await self.store.submit(patch)
        self.assertTrue(result.is_ok(), result)
        return number + 1

    async def wait_for_version(self, number):
        """Wait until a version is in force."""
        await self.wait_until(lambda: self.holder.current_.number >= number)

    async def wait_until(self, condition):
        """Wait for a condition, for at most the guaranteed few seconds."""
        async with asyncio.timeout(support.FEW_SECONDS_S):
            while not condition():  # noqa: ASYNC110 - the watch runs concurrently
                await asyncio.sleep(0.01)

    async def accept_without_newest(self):
        """Accept a patch as a writer that crashes before writing the newest patches."""
        head = await self.store.read()
        version = head.version.apply([{"services": {"late": {}}}])
        value = {"number": version.number, "document": version.raw, "history": []}
        await self.operator.put(config.CONFIG_OBJECT, value, head.object_version)
        return version.number

    async def accept_many_patches(self):
        """Accept more patches than the newest object holds while watches are lost."""
        self.stand_in.faults_.set({"lose_watches": True})
        for _ in range(MANY_PATCHES):
            number = await self.accept_patch()
        return number

    async def corrupt_newest(self):
        """Accept a patch and overwrite the newest patches with other data."""
        number = await self.accept_patch()
        stored = await self.operator.get(config.NEWEST_OBJECT)
        await self.operator.put(stored.name, {"above": "?"}, stored.version)
        return number

    async def test_each_version_is_in_force_within_seconds_despite_faults(self):
        cases = [
            ("no fault", {}, self.accept_patch),
            ("slow", {"slow_s": 0.3}, self.accept_patch),
            ("lost watches", {"lose_watches": True}, self.accept_patch),
            ("gapped watches", {"gap_watches": 5}, self.accept_patch),
            ("refused calls", {}, self._accept_before_failed_calls),
            (
                "writer crashes before the newest patches",
                {},
                self.accept_without_newest,
            ),
            (
                "writer crashes and watches are lost",
                {"lose_watches": True},
                self.accept_without_newest,
            ),
            ("more patches than the newest object holds", {}, self.accept_many_patches),
            ("newest patches malformed", {}, self.corrupt_newest),
            ("silent at first", {"silent": True}, self._accept_after_silence),
        ]
        for name, faults, change in cases:
            with self.subTest(name):
                self.stand_in.faults_.set(faults)
                await self.wait_for_version(await change())
                self.stand_in.faults_.__init__()
                stored = (await self.store.read()).version
                self.assertEqual(self.holder.current_.digest, stored.digest)

    async def _accept_before_failed_calls(self):
        number = await self.accept_patch()
        self.stand_in.faults_.set({"refuse_next": 3})
        return number

    async def _accept_after_silence(self):
        await asyncio.sleep(CALL_TIMEOUT_S + _config_watch.WATCH_DURATION_S)
        self.stand_in.faults_.__init__()
        return await self.accept_patch()

    async def test_change_is_applied_without_reading_the_full_document(self):
        await self.wait_until(lambda: self.client.calls_ > 5)
        before = self.client.full_reads
        for _ in range(5):
            await self.wait_for_version(await self.accept_patch())
        self.assertEqual(self.client.full_reads, before)

    async def wait_for_newest(self, number):
        """Wait until the watch has read a version from the newest patches."""
        await self.wait_until(lambda: self.watch._newest_number == number)

    async def test_watch_writes_newest_patches_missing_after_a_crash(self):
        number = await self.accept_without_newest()
        await self.wait_for_newest(number)
        stored = await self.operator.get(config.NEWEST_OBJECT)
        self.assertEqual(config.parse_newest(stored).number, number)

    async def test_detects_restored_platform_without_repeated_full_reads(self):
        backup = self.stand_in._object_by_name.copy(), self.stand_in._last_version
        number = await self.accept_patch()
        await self.wait_for_newest(number)
        self.stand_in._object_by_name, self.stand_in._last_version = backup
        await self.wait_until(lambda: self.watch.behind_)
        self.assertIn('"platform_behind"', self.log.getvalue())
        full_reads = self.client.full_reads
        await asyncio.sleep(2 * _config_watch.CHECK_INTERVAL_S)
        self.assertEqual(self.client.full_reads, full_reads)
        patch = config.Patch("back", number, {}, "ann")
        await self.store.restore(self.holder.current_, patch)
        await self.wait_for_version(number + 1)
        await self.wait_until(lambda: not self.watch.behind_)

    async def test_conflicting_history_is_logged(self):
        backup = self.stand_in._object_by_name.copy(), self.stand_in._last_version
        await self.wait_for_newest(await self.accept_patch())
        self.stand_in._object_by_name, self.stand_in._last_version = backup
        forked_store = config.ConfigStore(self.operator)
        changes = {"services": {"other": {}}}
        await forked_store.submit(config.Patch("fork", 1, changes, "bob"))
        await self.wait_until(lambda: '"config_forked"' in self.log.getvalue())
