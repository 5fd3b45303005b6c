"""Stand-in for the platform: versioned objects, watches and a lagging host list."""

import asyncio
import copy
import dataclasses
import time

from aiohttp import web

from sequoiagap import base
from sequoiagap.standins import _faults

FOREVER_S = 3600.0


@dataclasses.dataclass
class _Object:
    version: int
    value: dict


class PlatformStandIn:
    """Keeps versioned objects and the host list in memory.

    :param float list_lag_s: delay until the host list shows a change, in seconds.
    :param int port: TCP port; 0 selects a free one.
    """

    def __init__(self, list_lag_s=0.5, port=0):
        self.list_lag_s = list_lag_s
        self.port = port
        self.faults_ = _faults.Faults()
        self.calls_by_method_ = {}
        self._object_by_name = {}
        self._previous_by_name = {}
        self._backup = ({}, 0)
        self._tasks = base.TaskSet()
        self._last_version = 0
        self._changed = asyncio.Condition()
        self._host_changes = []

    def add_routes(self, router):
        """Register the HTTP routes.

        :param aiohttp.web.UrlDispatcher router: router to add them to.
        """
        router.add_get("/objects/{name}", self._on_get)
        router.add_put("/objects/{name}", self._on_put)
        router.add_delete("/objects/{name}", self._on_delete)
        router.add_get("/objects/{name}/watch", self._on_watch)
        router.add_get("/hosts", self._on_hosts)
        router.add_put("/hosts/{host_id}", self._on_put_host)
        router.add_delete("/hosts/{host_id}", self._on_delete_host)
        router.add_get("/calls", self._on_calls)
        router.add_post("/backup", self._on_backup)
        router.add_post("/restore", self._on_restore)
        self.faults_.add_routes(router)

    async def _begin(self, kind):
        self.calls_by_method_[kind] = self.calls_by_method_.get(kind, 0) + 1
        await self.faults_.before_call()

    async def _on_calls(self, request):
        return web.json_response(self.calls_by_method_)

    async def _on_get(self, request):
        await self._begin("get")
        found = self._read(request.match_info["name"])
        if found is None:
            return web.json_response({"version": 0}, status=404)
        return web.json_response(dataclasses.asdict(found))

    async def _on_put(self, request):
        await self._begin("put")
        name = request.match_info["name"]
        body = await request.json()
        if self.faults_.late_writes_s:
            self._tasks.start(self._write_late(name, body), "late-write")
            await asyncio.sleep(FOREVER_S)
        version = self._version(name)
        if not await self._write(name, body):
            return web.json_response({"version": version}, status=409)
        return await self._answer_write({"version": self._version(name)})

    async def _write_late(self, name, body):
        await asyncio.sleep(self.faults_.late_writes_s)
        await self._write(name, body)

    async def _write(self, name, body):
        """Apply a conditional update and return whether it took effect."""
        if body["expected_version"] != self._version(name):
            return False
        self._last_version += 1
        self._previous_by_name[name] = self._object_by_name.get(name)
        self._object_by_name[name] = _Object(self._last_version, body["value"])
        if not self.faults_.consume("gap_watches"):
            await self._notify()
        return True

    def _read(self, name):
        if self.faults_.stale_reads:
            return self._previous_by_name.get(name)
        return self._object_by_name.get(name)

    async def _on_backup(self, request):
        self._backup = (copy.deepcopy(self._object_by_name), self._last_version)
        return web.json_response({})

    async def _on_restore(self, request):
        objects, self._last_version = self._backup
        self._object_by_name = copy.deepcopy(objects)
        return web.json_response({})

    async def _on_delete(self, request):
        await self._begin("delete")
        name = request.match_info["name"]
        version = self._version(name)
        if int(request.query["expected_version"]) != version:
            return web.json_response({"version": version}, status=409)
        self._object_by_name.pop(name, None)
        await self._notify()
        return await self._answer_write({"version": 0})

    async def _answer_write(self, document):
        if self.faults_.consume("lose_answers"):
            await asyncio.sleep(FOREVER_S)
        if self.faults_.late_s:
            await asyncio.sleep(self.faults_.late_s)
        return web.json_response(document)

    async def _on_watch(self, request):
        await self._begin("watch")
        if self.faults_.lose_watches:
            await asyncio.sleep(FOREVER_S)
        name = request.match_info["name"]
        after = int(request.query["after"])
        try:
            async with asyncio.timeout(float(request.query["timeout_s"])):
                async with self._changed:
                    await self._changed.wait_for(lambda: self._version(name) > after)
        except TimeoutError:
            return web.Response(status=204)
        found = self._read(name)
        if found is None:
            return web.Response(status=204)
        return web.json_response(dataclasses.asdict(found))

    async def _notify(self):
        async with self._changed:
            self._changed.notify_all()

    async def _on_hosts(self, request):
        await self._begin("hosts")
        visible_until = time.monotonic() - self.list_lag_s
        hosts = {}
        for at, host_id, host in self._host_changes:
            if at > visible_until:
                continue
            hosts.pop(host_id, None)
            if host is not None:
                hosts[host_id] = host
        return web.json_response({"hosts": list(hosts.values())})

    async def _on_put_host(self, request):
        host = await request.json()
        host_id = request.match_info["host_id"]
        self._host_changes.append((time.monotonic(), host_id, host))
        return web.json_response({})

    async def _on_delete_host(self, request):
        host_id = request.match_info["host_id"]
        self._host_changes.append((time.monotonic(), host_id, None))
        return web.json_response({})

    def _version(self, name):
        found = self._object_by_name.get(name)
        return 0 if found is None else found.version
