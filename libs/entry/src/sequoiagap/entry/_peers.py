"""Sparse mesh of connections between entries."""

import asyncio
import dataclasses
import time

from sequoiagap import base, members, wire
from sequoiagap.entry import _peer_choice

ROUND_INTERVAL_S = 0.5
HEARTBEAT_INTERVAL_S = 1.0
RECONNECT_DELAY_S = 0.3
AVOID_DURATION_S = 2.0
SEND_TIMEOUT_S = 0.5
MAX_HOSTS_ANNOUNCED = 2000

_log = base.get_logger("peers")


class PeerMesh:
    """Keeps connections to a few other entries, chosen by rendezvous hashing.

    :param sequoiagap.settings.EntrySettings settings: validated settings.
    :param make_hello: function that returns this entry's hello message.
    :param sequoiagap.config.ConfigChannel channel: replicates the configuration.
    :param AgentLinks links: links to the agents, which are announced to peers and
        extended by the agents that peers announce.

    :ivar on_silence: coroutine function of a :class:`sequoiagap.members.DomainSuspect`
        message, called when a connection to another failure domain goes silent; set
        by the owner.
    :ivar find_extra_ids: function of the time that returns the ids of further entries
        to connect to; set by the owner.
    :ivar int port_: TCP port for peers and agents, 0 before the start.
    :ivar set connections_: open connections, in both directions.
    :ivar sequoiagap.members.Directory directory_: the known entries.
    """

    def __init__(self, settings, make_hello, channel, links):
        self.settings = settings
        self.make_hello = make_hello
        self.channel = channel
        self.links = links
        self.port_ = 0
        self.connections_ = set()
        self.directory_ = members.Directory()
        self.handlers_ = wire.HandlerTable()
        self._task_by_key = {}
        self._avoid_until_by_id = {}
        self._server = None
        self._closing = False
        self._tasks = base.TaskSet()
        self.on_silence = None
        self.find_extra_ids = lambda now: []
        channel.attach(self.handlers_)
        self.handlers_.add(members.MemberHosts, self._on_hosts)
        self.handlers_.add(members.MemberAnnounce, self._on_announce)

    async def start(self):
        """Listen for other entries and for agents that no entry has linked."""
        self._server = await wire.listen(
            self._serve,
            str(self.settings.address),
            self.settings.port,
            self.make_hello().tls,
        )
        self.port_ = self._server.sockets[0].getsockname()[1]

    async def close(self):
        """Close the listener and every connection."""
        self._closing = True
        if self._server is not None:
            self._server.close()
        await self._tasks.close()
        for task in list(self._task_by_key.values()):
            await base.cancel_and_wait(task)
        for connection in list(self.connections_):
            await connection.close_politely("entry is shutting down")

    def apply_list(self, hosts):
        """Update the known entries from the platform's list.

        :param list[sequoiagap.platform.HostEntry] hosts: the listed entries.
        """
        now = time.monotonic()
        self.directory_.apply_list(hosts, now)
        self.directory_.remove_stale(now)

    def domain_ids(self):
        """Return the ids of the known entries of the own failure domain.

        :rtype: list[str]
        """
        own = self.settings.failure_domain
        hosts = [member.host for member in self.directory_.by_id.values()]
        return [host.host_id for host in hosts if host.failure_domain == own]

    def domain_by_id(self):
        """Return the failure domain of each known entry.

        :rtype: dict[str, str]
        """
        members_by_id = self.directory_.by_id
        return {i: member.host.failure_domain for i, member in members_by_id.items()}

    def choose(self, now):
        """Return the ids of the entries to connect to.

        See :func:`sequoiagap.entry._peer_choice.choose`.

        :param float now: monotonic time in seconds.
        :rtype: list[str]
        """
        own_id, own_domain = self.settings.node_id, self.settings.failure_domain
        ids_by_domain = self.ids_by_domain(now)
        return _peer_choice.choose(own_id, own_domain, ids_by_domain)

    def ids_by_domain(self, now):
        """Return the ids of the usable entries, including this one, by domain.

        Entries that could not be reached a short time ago are left out.

        :param float now: monotonic time in seconds.
        :rtype: dict[str, list[str]]
        """
        own_id = self.settings.node_id
        ids_by_domain = {self.settings.failure_domain: [own_id]}
        for node_id, member in self.directory_.by_id.items():
            avoided = self._avoid_until_by_id.get(node_id, now) > now
            if node_id != own_id and not avoided and member.host.port:
                ids = ids_by_domain.setdefault(member.host.failure_domain, [])
                ids.append(node_id)
        return ids_by_domain

    def find_connection(self, node_id):
        """Return an open connection to an entry, or ``None``.

        :param str node_id: id of the entry.
        :rtype: sequoiagap.wire.Connection | None
        """
        found = [c for c in self.connections_ if c.peer.node_id == node_id]
        return min(found, key=id) if found else None

    async def send_to(self, node_id, item):
        """Send a message to one entry, if it is connected.

        :param str node_id: id of the entry.
        :param item: the message.
        """
        connection = self.find_connection(node_id)
        if connection is not None:
            await _send(connection, item)

    async def run(self, make_offer):
        """Maintain the connections and offer the configuration until cancelled.

        :param make_offer: function that returns the configuration offer to send.
        """
        while True:
            self._update_connections(time.monotonic())
            await self.broadcast(make_offer())
            await asyncio.sleep(ROUND_INTERVAL_S)

    async def broadcast(self, item, within_domain=False):
        """Send a message to every connected entry.

        :param item: the message.
        :param bool within_domain: whether to send to the own failure domain only.
        """
        own = self.settings.failure_domain
        targets = [
            connection
            for connection in self.connections_
            if not within_domain or connection.peer.failure_domain == own
        ]
        await asyncio.gather(*(_send(connection, item) for connection in targets))

    def _update_connections(self, now):
        wanted = {*self.choose(now), *self.find_extra_ids(now)}
        wanted.discard(self.settings.node_id)
        for node_id in set(self._task_by_key) - wanted:
            if not node_id.startswith(_SEED_PREFIX):
                self._task_by_key.pop(node_id).cancel()
        for node_id in wanted - set(self._task_by_key):
            host = self.directory_.by_id[node_id].host
            self._start_dialing(node_id, host.address, host.port)
        if not self.connections_:
            self._dial_seeds()

    def _dial_seeds(self):
        for seed in self.settings.seeds:
            key = f"{_SEED_PREFIX}{seed.address}:{seed.port}"
            if key not in self._task_by_key:
                self._start_dialing(key, str(seed.address), seed.port)

    def _start_dialing(self, key, address, port):
        task = asyncio.create_task(self._dial(key, address, port), name=f"peer-{key}")
        self._task_by_key[key] = task

    async def _dial(self, key, address, port):
        """Open and serve one connection; the next round replaces a lost one."""
        try:
            connection = await wire.connect(address, port, self.make_hello())
            await self._run_connection(connection)
            await asyncio.sleep(RECONNECT_DELAY_S)
        except base.WireError:
            self._avoid_until_by_id[key] = time.monotonic() + AVOID_DURATION_S
        finally:
            self._task_by_key.pop(key, None)

    async def _serve(self, reader, writer):
        try:
            connection = await wire.accept(reader, writer, self.make_hello())
        except base.WireError as error:
            _log.emit(base.Event.FRAME_REJECTED, error=error.message)
            return
        await self._run_connection(connection)

    async def _run_connection(self, connection):
        peer = connection.peer
        if self._closing or peer.node_id == self.settings.node_id:
            connection.close()
            return
        connection.idle_interval_s = HEARTBEAT_INTERVAL_S
        _log.emit(base.Event.PEER_OPENED, peer=peer.node_id)
        reason = "lost immediately after the handshake"
        try:
            if peer.role == "entry":
                self.connections_.add(connection)
                await self.channel.send_offer(connection)
                await connection.send(members.MemberHosts(self._known_hosts()))
            reason = await connection.run(
                lambda item: self.handlers_.handle(connection, item)
            )
        except base.WireError as error:
            reason = error.message
        finally:
            self.connections_.discard(connection)
            connection.close()
            self._report_silence(connection)
            _log.emit(base.Event.PEER_CLOSED, peer=peer.node_id, reason=reason)

    def _report_silence(self, connection):
        """Report the peer's failure domain if a peer of another domain went silent."""
        domain = connection.peer.failure_domain
        if connection.silent_ and domain != self.settings.failure_domain:
            item = members.DomainSuspect(domain)
            self._tasks.start(self.on_silence(item), "tell-silence")

    def _known_hosts(self):
        """Return the hosts that this entry finds alive, own domain first."""
        agents = [
            link.member.host
            for link in self.links.by_id.values()
            if link.member.alive and not link.member.leaving
        ]
        connected = {connection.peer.node_id for connection in self.connections_}
        entries = [
            member.host
            for node_id, member in self.directory_.by_id.items()
            if node_id in connected
        ]
        own = self.settings.failure_domain
        hosts = sorted([*entries, *agents], key=lambda h: h.failure_domain != own)
        return [dataclasses.asdict(host) for host in hosts[:MAX_HOSTS_ANNOUNCED]]

    async def _on_hosts(self, connection, item):
        self._add_hosts(
            [members.host_from_document(document) for document in item.hosts]
        )

    async def _on_announce(self, connection, item):
        """Add an agent that announces itself, and forward it in the own domain."""
        host = members.host_from_document(item.host)
        if host is None or host.host_id != connection.peer.node_id:
            return
        self._add_hosts([host])
        message = members.MemberHosts([dataclasses.asdict(host)])
        await self.broadcast(message, within_domain=True)

    def _add_hosts(self, hosts):
        valid = [host for host in hosts if host is not None]
        self.links.propose([host for host in valid if host.role == "agent"])
        entries = [host for host in valid if host.role == "entry"]
        self.directory_.add_reported(entries, time.monotonic())


_SEED_PREFIX = "seed "


async def _send(connection, item):
    try:
        async with asyncio.timeout(SEND_TIMEOUT_S):
            await connection.send(item)
    except (TimeoutError, base.WireError):
        return
