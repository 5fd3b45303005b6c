"""The watch of the platform alone: slow, lost, gapped and stale answers."""

import asyncio
import time

from sequoiagap import config, platform
from sequoiagap.entry import _config_watch
from tests import support

CALL_TIMEOUT_S = 0.5
MANY_PATCHES = 30


class CountingClient(platform.PlatformClient):
    """Counts the configurations that it was given whole."""

    wholes = 0

    async def _call(self, method, path, body=None, timeout_s=None):
        status, document = await super()._call(method, path, body, timeout_s)
        name = path.removeprefix("/objects/").partition("/")[0]
        if method == "GET" and status == 200 and name == config.CONFIG_OBJECT:
            self.wholes += 1
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
        await self.accept()
        self.task = asyncio.create_task(self.watch.run())
        self.addCleanup(self.task.cancel)
        await self.wait_for(1)

    async def accept(self):
        """Let the platform accept a patch; return its version."""
        number = (await self.store.read()).version.number
        changes = {"models": {f"m{number % 7}": {"repeatable": number % 2 == 0}}}
        patch = config.Patch(f"p{number}", number, changes, "ann")
        result = await self.store.submit(patch)
        self.assertTrue(result.is_ok(), result)
        return number + 1

    async def wait_for(self, number):
        """Wait until a version is in force."""
        await self.wait_until(lambda: self.holder.current_.number >= number)

    async def wait_until(self, condition):
        """Wait the few seconds that are promised for a condition."""
        async with asyncio.timeout(support.FEW_SECONDS_S):
            while not condition():  # noqa: ASYNC110 - the watch runs beside
                await asyncio.sleep(0.01)

    async def accept_without_telling(self):
        """Accept as a writer that dies before it writes the newest patches."""
        head = await self.store.read()
        version = head.version.apply([{"services": {"late": {}}}])
        value = {"number": version.number, "document": version.raw, "history": []}
        await self.operator.put(config.CONFIG_OBJECT, value, head.object_version)
        return version.number

    async def accept_many(self):
        """Accept more patches than the newest ones hold, unseen."""
        self.stand_in.faults_.set({"lose_watches": True})
        for _ in range(MANY_PATCHES):
            number = await self.accept()
        return number

    async def spoil_newest(self):
        """Accept a patch and overwrite the newest patches with other data."""
        number = await self.accept()
        stored = await self.operator.get(config.NEWEST_OBJECT)
        await self.operator.put(stored.name, {"above": "?"}, stored.version)
        return number

    async def test_each_version_is_in_force_in_a_few_seconds(self):
        cases = [
            ("no fault", {}, self.accept),
            ("slow", {"slow_s": 0.3}, self.accept),
            ("lost watches", {"lose_watches": True}, self.accept),
            ("gapped watches", {"gap_watches": 5}, self.accept),
            ("refused calls", {}, self._accept_and_refuse),
            ("writer dies in between", {}, self.accept_without_telling),
            (
                "the same, lost watches",
                {"lose_watches": True},
                self.accept_without_telling,
            ),
            ("more patches than told", {}, self.accept_many),
            ("newest patches malformed", {}, self.spoil_newest),
            ("silent before", {"silent": True}, self._accept_after_silence),
        ]
        for name, switches, accept in cases:
            with self.subTest(name):
                self.stand_in.faults_.set(switches)
                await self.wait_for(await accept())
                self.stand_in.faults_.__init__()
                stored = (await self.store.read()).version
                self.assertEqual(self.holder.current_.digest, stored.digest)

    async def _accept_and_refuse(self):
        number = await self.accept()
        self.stand_in.faults_.set({"refuse_next": 3})
        return number

    async def _accept_after_silence(self):
        await asyncio.sleep(CALL_TIMEOUT_S + _config_watch.WATCH_DURATION_S)
        self.stand_in.faults_.__init__()
        return await self.accept()

    async def test_a_change_costs_its_patch_and_not_the_document(self):
        await self.wait_until(lambda: self.client.calls_ > 5)
        before = self.client.wholes
        for _ in range(5):
            await self.wait_for(await self.accept())
        self.assertEqual(self.client.wholes, before)

    async def wait_until_told(self, number):
        """Wait until the newest patches tell of a version, and no more writes."""
        await self.wait_until(lambda: self.watch._newest_number == number)

    async def test_what_a_dead_writer_left_is_told_by_the_watch(self):
        number = await self.accept_without_telling()
        await self.wait_until_told(number)
        stored = await self.operator.get(config.NEWEST_OBJECT)
        self.assertEqual(config.parse_newest(stored).number, number)

    async def test_a_restored_platform_is_noticed_and_then_left_alone(self):
        backup = self.stand_in._object_by_name.copy(), self.stand_in._last_version
        number = await self.accept()
        await self.wait_until_told(number)
        self.stand_in._object_by_name, self.stand_in._last_version = backup
        await self.wait_until(lambda: self.watch.behind_)
        self.assertIn('"platform_behind"', self.log.getvalue())
        wholes = self.client.wholes
        await asyncio.sleep(2 * _config_watch.CHECK_INTERVAL_S)
        self.assertEqual(self.client.wholes, wholes)
        patch = config.Patch("back", number, {}, "ann")
        await self.store.restore(self.holder.current_, patch)
        await self.wait_for(number + 1)
        await self.wait_until(lambda: not self.watch.behind_)

    async def test_a_line_that_forked_is_reported(self):
        backup = self.stand_in._object_by_name.copy(), self.stand_in._last_version
        await self.wait_until_told(await self.accept())
        self.stand_in._object_by_name, self.stand_in._last_version = backup
        fresh = config.ConfigStore(self.operator)
        changes = {"services": {"other": {}}}
        await fresh.submit(config.Patch("fork", 1, changes, "bob"))
        await self.wait_until(lambda: '"config_forked"' in self.log.getvalue())
