"""Two entries of a failure domain poll the host list; the others are told."""

import asyncio
import signal
import time
import types
import unittest

from sequoiagap import config, members, platform, standins
from sequoiagap.entry import _host_list
from tests import support

ENTRIES = 6
WATCHED_S = 4.0
SETTLE_S = 10.0
FIRST_POLL_S = 0.1


class FakePlatform:
    """Counts the polls of its list."""

    def __init__(self):
        self.hosts = [platform.HostEntry("h1", "agent", "10.0.0.1", 1, "north")]
        self.polls = 0

    async def list_hosts(self):
        """Return the list."""
        self.polls += 1
        return list(self.hosts)


class TellingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.client, self.told, self.taken = FakePlatform(), [], []
        self.list = _host_list.HostList(
            self.client,
            {"agent": self.taken.append},
            members.HostView(),
            config.WatchSchedule(time.monotonic()),
            lambda: config.PERMANENT_WATCHERS,
            self._tell,
        )
        self.poller = members.HostView()
        self.poller.replace(self.client.hosts)
        task = asyncio.create_task(self.list.run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(FIRST_POLL_S)

    async def _tell(self, item):
        self.told.append(item)

    async def _be_told(self, domain="north", seconds=support.FEW_SECONDS_S):
        """Be told every quarter of a second that the poller's list holds."""
        north = types.SimpleNamespace(failure_domain="north")
        peer = types.SimpleNamespace(failure_domain=domain)
        connection = types.SimpleNamespace(peer=peer, own=north)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            digest = self.poller.digest
            item = members.MemberListChange(digest, digest, 100)
            await self.list.on_change(connection, item)
            await asyncio.sleep(0.25)

    async def test_whoever_is_told_that_its_list_holds_does_not_poll(self):
        await self._be_told()
        self.assertEqual(self.client.polls, 1)
        self.assertGreater(len(self.told), 2)
        self.assertGreater(len(self.taken), 2)

    async def test_whoever_is_told_of_another_list_polls(self):
        self.poller.replace([])
        self.client.hosts = []
        self.list.view.replace([platform.HostEntry("h2", "agent", "::1", 1, "north")])
        await self._be_told()
        self.assertEqual(self.client.polls, 2)
        self.assertEqual(self.list.view.by_id, {})

    async def test_other_failure_domains_are_not_heard(self):
        await self._be_told("south")
        self.assertGreater(self.client.polls, 1)


class HostListTest(support.FleetCase):
    plan = standins.FleetPlan(
        domains=("north",), entries=ENTRIES, services_per_domain=0, relays=True
    )

    async def test_few_poll_and_all_follow_through_faults(self):
        await self._check_calls()
        cases = [
            # name, fault, its end, entries that must follow
            ("no fault", self._nothing, self._nothing),
            ("one poller killed", self._kill_one, self._nothing),
            ("pollers frozen", self._freeze, self._thaw),
            ("pollers cut off from the platform", self._cut, self._heal),
            ("pollers cut off from the entries", self._isolate, self._heal),
            ("list down, then back", self._down, self._nothing),
        ]
        for number, (name, break_it, mend) in enumerate(cases):
            with self.subTest(name):
                await self.fleet.wait_until(self._has_pollers, SETTLE_S)
                entries = await break_it(await self._pollers())
                await self._list_host(f"fresh-{number}")
                await self._wait_listed(f"fresh-{number}", entries)
                await mend(await self._alive())

    async def _check_calls(self):
        """Check that the platform is not asked by more than the few."""
        await self.fleet.wait_until(self._has_pollers, SETTLE_S)
        _, before = await self.fleet.call("platform", "GET", "/calls")
        await asyncio.sleep(WATCHED_S)
        _, after = await self.fleet.call("platform", "GET", "/calls")
        calls = after["hosts"] - before["hosts"]
        self.assertLessEqual(calls, config.PERMANENT_WATCHERS * (WATCHED_S + 1))
        self.assertEqual(len(await self._pollers()), config.PERMANENT_WATCHERS)

    async def _states(self):
        """Return the state of each entry that is to answer."""
        found = {}
        for name in await self._alive():
            found[name] = (await self.fleet.call(name, "GET", "/state"))[1]
        return found

    async def _alive(self):
        names = self.fleet.entry_names()
        children = {n: self.fleet.process_by_name[n].child_ for n in names}
        return [name for name in names if children[name].returncode is None]

    async def _pollers(self):
        states = await self._states()
        return [n for n, s in states.items() if s["platform"]["polling_list"]]

    async def _has_pollers(self):
        return len(await self._pollers()) == config.PERMANENT_WATCHERS

    async def _list_host(self, name):
        host = {
            "host_id": name,
            "role": "agent",
            "address": "127.0.0.1",
            "port": 1,
            "failure_domain": "north",
            "state": "live",
            "serves": ["desk-model"],
        }
        await self.fleet.call("platform", "PUT", f"/hosts/{name}", host)

    async def _wait_listed(self, name, entries):
        async def is_listed():
            for entry in entries:
                _, state = await self.fleet.call(entry, "GET", "/state")
                if name not in state["endpoints"]:
                    return False
            return True

        await self.fleet.wait_until(is_listed, support.FEW_SECONDS_S)

    async def _others(self, names):
        return [name for name in await self._alive() if name not in names]

    async def _nothing(self, names):
        return await self._alive()

    async def _kill_one(self, pollers):
        await self.fleet.process_by_name[pollers[0]].kill()
        await self.fleet.call("platform", "DELETE", f"/hosts/{pollers[0]}")
        return await self._alive()

    async def _freeze(self, pollers):
        self.frozen = pollers
        others = await self._others(pollers)
        for name in pollers:
            self.fleet.process_by_name[name].send_signal(signal.SIGSTOP)
        return others

    async def _thaw(self, names):
        for name in self.frozen:
            self.fleet.process_by_name[name].send_signal(signal.SIGCONT)

    async def _cut(self, pollers):
        self.fleet.relays_.cut_platform(pollers, standins.LinkMode.SILENT)
        return await self._alive()

    async def _isolate(self, pollers):
        others = await self._others(pollers)
        self.fleet.relays_.cut_between(pollers, others, standins.LinkMode.SILENT)
        return await self._alive()

    async def _heal(self, names):
        self.fleet.relays_.heal()

    async def _down(self, pollers):
        await self.fleet.set_faults("platform", down=True)
        await asyncio.sleep(support.FEW_SECONDS_S)
        status, _ = await self.post_model((await self._alive())[0])
        self.assertEqual(status, 200)
        await self.fleet.set_faults("platform", down=False)
        return await self._alive()
