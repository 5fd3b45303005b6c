"""Stand-in of the platform's store: objects by kind and name, with one revision."""

import copy
import json
import urllib.parse

import web

OBJECTS = "/api/objects/"


class Store:
    """Serves the object API; it can go away and come back from a copy.

    :ivar int era: how often it came back from a copy; sent as ``Store-Era``.
    :ivar dict kinds: objects by name, by kind.
    """

    def __init__(self):
        self.era = 0
        self.kinds = {}
        self._revision = 100
        self._address = None
        self._server = web.WebServer(self._handle)

    async def start(self, address, port):
        """Serve at an address."""
        self._address = (address, port)
        await self._server.start(address, port)

    def go_away(self):
        """Reset all connections and refuse new ones."""
        self._server.stop()

    async def come_back(self, kept=None):
        """Serve again, from a copy if one is given.

        :param kept: what :meth:`make_copy` returned.
        """
        if kept is not None:
            self.era += 1
            self._revision, self.kinds = kept[0], copy.deepcopy(kept[1])
        await self._server.start(*self._address)

    def make_copy(self):
        """Return a copy of all objects and of the revision."""
        return self._revision, copy.deepcopy(self.kinds)

    def put(self, kind, name, spec, **extra):
        """Write and acknowledge an object, for the operator or a server."""
        self._revision += 1
        known = self.kinds.setdefault(kind, {}).get(name)
        created = known["Metadata"]["Created"] if known else self._revision
        metadata = {
            "Name": name,
            "Revision": self._revision,
            "Created": created,
            "Finalizers": [],
            "Deleting": False,
        }
        stored = {"Metadata": metadata, "Spec": spec, "Status": None, **extra}
        self.kinds[kind][name] = stored
        return stored

    async def _handle(self, request, writer):
        path, _, query = request.target.partition("?")
        options = dict(urllib.parse.parse_qsl(query))
        kind, _, name = path.removeprefix(OBJECTS).partition("/")
        name = urllib.parse.unquote(name)
        status, document = self._execute(request, kind, name, options)
        headers = {"Content-Type": "application/json", "Store-Era": self.era}
        return status, headers, json.dumps(document).encode()

    def _execute(self, request, kind, name, options):
        objects = self.kinds.setdefault(kind, {})
        if request.method == "GET" and not name:
            after = options.get("After", "")
            items = [objects[key] for key in sorted(objects) if key > after]
            return 200, {"Items": items, "HasMore": False, "AsOf": self._revision}
        if request.method == "GET":
            return (200, objects[name]) if name in objects else (404, {})
        if request.method == "DELETE":
            return (200, objects.pop(name)) if name in objects else (404, {})
        document = json.loads(request.body)
        if request.method == "POST":
            name = document["Metadata"]["Name"]
            if name in objects:
                return 409, objects[name]
        elif name not in objects:
            return 404, {}
        return 200, self.put(kind, name, document.get("Spec"))
