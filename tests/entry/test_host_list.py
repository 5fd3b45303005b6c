"""Two entries of a failure domain poll the host list and send it to the others."""

import asyncio
import signal
import time
import types
import unittest

from sequoiagap import config, members, platform, standins
from sequoiagap.entry import _host_list
from tests import support

ENTRY_COUNT = 6
OBSERVATION_S = 4.0
POLLER_CHANGE_TIMEOUT_S = 10.0
FIRST_POLL_S = 0.1


class FakePlatform:
    """Platform client that counts the polls of the host list."""

    def __init__(self):
        self.hosts = [platform.HostEntry("h1", "agent", "10.0.0.1", 1, "north")]
        self.polls = 0

    async def list_hosts(self):
        """Count a poll and return the hosts."""
        self.polls += 1
        return list(self.hosts)


class ListAnnouncementsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.client, self.broadcast_items, self.applied_lists = FakePlatform(), [], []
        self.list = _host_list.HostList(
            self.client,
            {"agent": self.applied_lists.append},
            members.HostView(),
            config.WatchSchedule(time.monotonic()),
            lambda: config.PERMANENT_WATCHERS,
            self._broadcast,
        )
        self.poller = members.HostView()
        self.poller.replace(self.client.hosts)
        task = asyncio.create_task(self.list.run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(FIRST_POLL_S)

    async def _broadcast(self, item):
        self.broadcast_items.append(item)

    async def _receive_announcements(
        self, domain="north", seconds=support.FEW_SECONDS_S
    ):
        """Receive the poller's announcement of its current list every 0.25 s."""
        north = types.SimpleNamespace(failure_domain="north")
        peer = types.SimpleNamespace(failure_domain=domain)
        connection = types.SimpleNamespace(peer=peer, own=north)
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            digest = self.poller.digest
            item = members.MemberListChange(digest, digest, 100)
            await self.list.on_change(connection, item)
            await asyncio.sleep(0.25)

    async def test_entry_whose_list_is_confirmed_does_not_poll(self):
        await self._receive_announcements()
        self.assertEqual(self.client.polls, 1)
        self.assertGreater(len(self.broadcast_items), 2)
        self.assertGreater(len(self.applied_lists), 2)

    async def test_entry_with_different_list_polls(self):
        self.poller.replace([])
        self.client.hosts = []
        self.list.view.replace([platform.HostEntry("h2", "agent", "::1", 1, "north")])
        await self._receive_announcements()
        self.assertEqual(self.client.polls, 2)
        self.assertEqual(self.list.view.by_id, {})

    async def test_announcements_of_other_failure_domains_are_ignored(self):
        await self._receive_announcements("south")
        self.assertGreater(self.client.polls, 1)


class HostListFleetTest(support.FleetCase):
    plan = standins.FleetPlan(
        domains=("north",), entries=ENTRY_COUNT, services_per_domain=0, relays=True
    )

    async def test_few_entries_poll_and_all_follow_despite_faults(self):
        await self._check_calls()
        cases = [
            # name, fault (returns the entries that must follow), end of the fault
            ("no fault", self._inject_nothing, self._inject_nothing),
            ("one poller killed", self._kill_poller, self._inject_nothing),
            ("pollers suspended", self._suspend, self._resume),
            ("pollers partitioned from the platform", self._cut_platform, self._heal),
            ("pollers partitioned from the entries", self._cut_entries, self._heal),
            (
                "platform down, then available",
                self._take_platform_down,
                self._inject_nothing,
            ),
        ]
        for number, (name, inject_fault, end_fault) in enumerate(cases):
            with self.subTest(name):
                await self.fleet.wait_until(self._has_pollers, POLLER_CHANGE_TIMEOUT_S)
                entries = await inject_fault(await self._pollers())
                await self._add_host(f"fresh-{number}")
                await self._wait_listed(f"fresh-{number}", entries)
                await end_fault(await self._running_entries())

    async def _check_calls(self):
        """Check that no more than the permanent pollers call the platform."""
        await self.fleet.wait_until(self._has_pollers, POLLER_CHANGE_TIMEOUT_S)
        _, before = await self.fleet.call("platform", "GET", "/calls")
        await asyncio.sleep(OBSERVATION_S)
        _, after = await self.fleet.call("platform", "GET", "/calls")
        calls = after["hosts"] - before["hosts"]
        self.assertLessEqual(calls, config.PERMANENT_WATCHERS * (OBSERVATION_S + 1))
        self.assertEqual(len(await self._pollers()), config.PERMANENT_WATCHERS)

    async def _states(self):
        """Return the state of each running entry, by name."""
        state_by_name = {}
        for name in await self._running_entries():
            state_by_name[name] = (await self.fleet.call(name, "GET", "/state"))[1]
        return state_by_name

    async def _running_entries(self):
        names = self.fleet.entry_names()
        child_by_name = {n: self.fleet.process_by_name[n].child_ for n in names}
        return [name for name in names if child_by_name[name].returncode is None]

    async def _pollers(self):
        states = await self._states()
        return [n for n, s in states.items() if s["platform"]["polling_list"]]

    async def _has_pollers(self):
        return len(await self._pollers()) == config.PERMANENT_WATCHERS

    async def _add_host(self, name):
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

    async def _other_entries(self, names):
        return [name for name in await self._running_entries() if name not in names]

    async def _inject_nothing(self, names):
        return await self._running_entries()

    async def _kill_poller(self, pollers):
        await self.fleet.process_by_name[pollers[0]].kill()
        await self.fleet.call("platform", "DELETE", f"/hosts/{pollers[0]}")
        return await self._running_entries()

    async def _suspend(self, pollers):
        self.suspended = pollers
        others = await self._other_entries(pollers)
        for name in pollers:
            self.fleet.process_by_name[name].send_signal(signal.SIGSTOP)
        return others

    async def _resume(self, names):
        for name in self.suspended:
            self.fleet.process_by_name[name].send_signal(signal.SIGCONT)

    async def _cut_platform(self, pollers):
        self.fleet.relays_.cut_platform(pollers, standins.LinkMode.SILENT)
        return await self._running_entries()

    async def _cut_entries(self, pollers):
        others = await self._other_entries(pollers)
        self.fleet.relays_.cut_between(pollers, others, standins.LinkMode.SILENT)
        return await self._running_entries()

    async def _heal(self, names):
        self.fleet.relays_.heal()

    async def _take_platform_down(self, pollers):
        await self.fleet.set_faults("platform", down=True)
        await asyncio.sleep(support.FEW_SECONDS_S)
        status, _ = await self.post_model((await self._running_entries())[0])
        self.assertEqual(status, 200)
        await self.fleet.set_faults("platform", down=False)
        return await self._running_entries()
