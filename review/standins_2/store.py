"""Stand-in for the platform's store: objects by kind and name, revisions and eras."""

import asyncio
import copy
import json
import urllib.parse

from standins_2 import http

PAGE = 500


class Store:
    """Keeps objects in memory.

    :param str address: loopback address to listen on.
    :param int port: its port.
    :param Record record: where changes are written.

    :ivar int era: how often it came back from a copy.
    """

    def __init__(self, address, port, record):
        self.address = address
        self.port = port
        self.record = record
        self.era = 0
        self.revision = 1
        self.objects = {}
        self._server = None
        self._writers = set()
        self._raw_by_mark = {}

    @property
    def host_and_port(self):
        """Its address as the settings name it."""
        return f"{self.address}:{self.port}"

    async def start(self):
        """Accept calls."""
        self._server = await asyncio.start_server(self._serve, self.address, self.port)

    def go_away(self):
        """Refuse all calls and end those that are open."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.record.write("store-away")

    def put(self, kind, name, spec, born=None):
        """Write an object as the operator or a server does; the return is the ack."""
        self.revision += 1
        known = self.objects.setdefault(kind, {}).get(name)
        created = known["Metadata"]["Created"] if known else self.revision
        item = {
            "Metadata": {
                "Name": name,
                "Revision": self.revision,
                "Created": created,
                "Finalizers": [],
                "Deleting": False,
            },
            "Spec": spec,
            "Status": None,
        }
        if born is not None:
            item["born"] = born
        self.objects[kind][name] = item

    def put_raw(self, kind, name, spec):
        """Write an object whose spec is kept, and handed out, as the bytes it has.

        :param bytes spec: the bytes.
        """
        mark = f"raw-{len(self._raw_by_mark)}"
        self._raw_by_mark[mark] = spec
        self.put(kind, name, mark)

    def remove(self, kind, name):
        """Delete an object."""
        if self.objects.get(kind, {}).pop(name, None) is not None:
            self.revision += 1

    def make_copy(self):
        """Return a copy of all that is known now, for :meth:`restore`."""
        return self.revision, copy.deepcopy(self.objects)

    def restore(self, state):
        """Come back from a copy: later writes are lost, and the era rises."""
        self.revision, self.objects = state[0], copy.deepcopy(state[1])
        self.era += 1
        self.record.write("store-copy", era=self.era, revision=self.revision)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (head := await http.read_head(reader)) is not None:
                message = await http.read_body(reader, head)
                status, document = self._answer(message)
                headers = [
                    ("Content-Type", "application/json"),
                    ("Store-Era", self.era),
                ]
                body = self._encode(document)
                writer.write(http.answer(status, headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _encode(self, document):
        body = json.dumps(document).encode()
        for mark, spec in self._raw_by_mark.items():
            body = body.replace(json.dumps(mark).encode(), spec)
        return body

    def _answer(self, message):
        method, target, _ = message.first.split(" ")
        path, _, query = target.partition("?")
        parts = [urllib.parse.unquote(part) for part in path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if method == "GET" and name:
            found = self.objects.get(kind, {}).get(name)
            return (200, found) if found else (404, {})
        if method == "GET":
            return 200, self._list(kind, urllib.parse.parse_qs(query))
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        document = json.loads(message.body)
        name = name or document["Metadata"]["Name"]
        known = self.objects.get(kind, {}).get(name)
        if method == "POST" and known:
            return 409, known
        if method == "PUT" and not known:
            return 404, {}
        self.put(kind, name, document.get("Spec"))
        return 200, self.objects[kind][name]

    def _list(self, kind, query):
        after = query.get("After", [""])[0]
        items = sorted(self.objects.get(kind, {}).items())
        items = [item for name, item in items if name > after]
        return {
            "Items": items[:PAGE],
            "HasMore": len(items) > PAGE,
            "AsOf": self.revision,
        }
