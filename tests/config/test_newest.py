"""Newest patches object: it never contains a version that was not accepted."""

import asyncio

from sequoiagap import config, platform
from tests.config import test_store

LONG_TEXT = "x" * 3000


class NewestTest(test_store.StoreCase):
    async def newest(self):
        """Return the newest patches in the platform, or ``None``."""
        return config.parse_newest(await self.client.get(config.NEWEST_OBJECT))

    async def test_accepted_patches_are_written_with_the_object_version(self):
        for number in range(20):
            await self.accept(f"p{number}", number)
        newest = await self.newest()
        head = await self.store.read()
        self.assertEqual((newest.number, newest.delta.above), (20, 4))
        self.assertEqual(newest.delta.digest, head.version.digest)
        self.assertEqual(newest.head_version, head.object_version)

    async def test_newest_patches_never_run_ahead_under_faults(self):
        cases = [
            # faults, version of the configuration, version of the newest patches
            ({"refuse_next": 2}, 0, 0),
            ({"down": True}, 0, 0),
            ({"late_writes_s": 2.5}, 0, 0),
            ({"lose_answers": 1}, 1, 1),
            ({"lose_answers": 2}, 2, 2),
        ]
        for faults, number, newest_number in cases:
            with self.subTest(faults):
                against = (await self.store.read()).version.number
                self.stand_in.faults_.set(faults)
                patch = test_store.make_patch(f"p{faults}", against, {"models": {}})
                await self.store.submit(patch)
                self.stand_in.faults_.__init__()
                self.assertEqual((await self.store.read()).version.number, number)
                newest = await self.newest()
                self.assertEqual(0 if newest is None else newest.number, newest_number)

    async def test_refused_patches_are_not_written(self):
        patches = [test_store.make_patch(f"p{i}", 0) for i in range(6)]
        await asyncio.gather(*(self.store.submit(patch) for patch in patches))
        await self.store.submit(test_store.make_patch("stale", 0))
        newest, head = await self.newest(), await self.store.read()
        self.assertEqual(newest.number, head.version.number)
        self.assertEqual(newest.delta.digest, head.version.digest)

    async def test_a_lower_number_never_replaces_a_higher_one(self):
        versions = [config.ConfigVersion(number) for number in range(8)]
        cases = [
            ("one writer", [config.NewestWriter(self.client)] * 8),
            (
                "one writer for each version",
                [config.NewestWriter(self.client) for _ in range(8)],
            ),
        ]
        for name, writers in cases:
            with self.subTest(name):
                writes = [
                    writer.write(config.newest_patches(1, version, ()))
                    for writer, version in zip(writers, reversed(versions), strict=True)
                ]
                await asyncio.gather(*writes[:4])
                await asyncio.gather(*writes[4:])
                self.assertEqual((await self.newest()).number, 7)

    def test_long_patches_are_left_out(self):
        steps = [config.Step(n, {"models": {f"m{n}": {}}}) for n in range(1, 40)]
        long = config.Step(40, {"models": {LONG_TEXT: {}}})
        cases = [(39, steps, 23), (40, [*steps, long], 40), (38, steps[:30], 38)]
        for number, known, above in cases:
            with self.subTest(number):
                newest = config.newest_patches(1, config.ConfigVersion(number), known)
                self.assertEqual((newest.number, newest.delta.above), (number, above))

    def test_malformed_values_count_as_none(self):
        good = {"head_version": 1, "above": 0, "patches": ["{}"], "digest": "d"}
        bad = [
            [],
            {},
            good | {"above": -1},
            good | {"head_version": "1"},
            good | {"patches": [3]},
            good | {"patches": None},
            good | {"digest": 3},
        ]
        for value in bad:
            with self.subTest(value):
                stored = platform.StoredObject("newest", 1, value)
                self.assertIsNone(config.parse_newest(stored))
        stored = platform.StoredObject("newest", 1, good)
        self.assertEqual(config.parse_newest(stored).number, 1)
