"""Messages, bytes and time of propagating one configuration change among entries.

Usage: ``python benchmarks/config_spread.py [--nodes N ...] [--changes N]``. Runs the
entries' real propagation code over loopback TCP, all in one process, with a document
of the design size. Baselines in the same run: full documents instead of patches, and
a full mesh of connections.
"""

import argparse
import asyncio
import io
import statistics
import time

from sequoiagap import base, config, entry, platform, settings, wire

DOMAINS = 12
ACCOUNTS = 2500
MODELS = 17
IDLE_S = 5.0
SETTLE_S = 3.0
MAX_BASELINE_NODES = 24
PROPAGATION_TIMEOUT_S = 30.0
CHANGES_PER_DAY = 39_000
SECONDS_PER_DAY = 86_400
ROW = "{:<10} {:>5} {:>5} {:>8} {:>11} {:>12} {:>8} {:>8} {:>10} {:>6}"


class FullDocumentReplica(config.ConfigReplica):
    """Baseline: pulls full documents instead of patches."""

    def on_offer(self, item):
        """Handle an offer; pull the full document if its version is higher."""
        reply = super().on_offer(item)
        if isinstance(reply, config.ConfigPull):
            return config.ConfigPull(reply.above, whole=True)
        return reply


class NoAgentLinks:
    """Replaces the links to agents, which this benchmark does not run."""

    by_id = {}  # noqa: RUF012 - never changed

    def propose(self, hosts):
        """Ignore the agents that peers announce."""

    def suspect_domain(self, failure_domain):
        """Ignore a suspicion, since there are no agents."""


class Node:
    """The part of one entry that propagates the configuration."""

    def __init__(self, index, replica_type, make_settings):
        self.settings = make_settings(index)
        self.holder = config.ConfigHolder()
        self.replica = replica_type(self.holder)
        channel = config.ConfigChannel(self.replica)
        self.mesh = entry.PeerMesh(self.settings, self._hello, channel, NoAgentLinks())
        self.mesh.on_silence = self._ignore
        self.tasks = base.TaskSet()
        self.adopted_at = {}
        self.holder.add_listener(self._on_adopted)

    async def _ignore(self, item):
        """Ignore a connection that goes silent."""

    def _hello(self):
        return wire.Hello(
            node_id=self.settings.node_id,
            role="entry",
            incarnation="inc-1",
            failure_domain=self.settings.failure_domain,
            config_version=self.holder.current_.number,
            secret="secret",
        )

    def _on_adopted(self, version):
        self.adopted_at[version.number] = time.monotonic()
        offer = self.replica.offer(0)
        self.tasks.start(self.mesh.broadcast(offer), "offer")

    def sent(self):
        """Return the messages and payload bytes sent on the open connections."""
        connections = self.mesh.connections_
        messages = sum(connection.messages_sent_ for connection in connections)
        return messages, sum(connection.bytes_sent_ for connection in connections)

    async def start(self):
        """Listen for peers."""
        await self.mesh.start()

    def join(self, hosts):
        """Start connecting to the peers that the mesh selects among the hosts."""
        self.mesh.apply_list(hosts)
        self.tasks.start(self.mesh.run(lambda: self.replica.offer(0)), "mesh")

    async def close(self):
        """Stop all tasks and close all connections."""
        await self.tasks.close()
        await self.mesh.close()


def make_settings(index):
    return settings.EntrySettings(
        role="entry",
        node_id=f"entry-{index}",
        deployment="bench",
        region="local",
        failure_domain=f"domain-{index % DOMAINS}",
        address="127.0.0.1",
        port=0,
        http_port=0,
        platform={"url": "http://127.0.0.1:1"},
        secret_file="unused",
        keys_file="unused",
    )


def make_document():
    accounts = {
        f"account-{i:04}": {"weight": 1 + i % 7, "max_in_flight": 100 + i % 50}
        for i in range(ACCOUNTS)
    }
    models = {f"model-{i}": {} for i in range(MODELS)}
    domains = {f"domain-{i}": {} for i in range(DOMAINS)}
    sections = {"client_accounts": accounts, "models": models}
    return config.ConfigDocument(**sections, failure_domains=domains)


async def measure(name, count, replica_type, changes, full_mesh):
    nodes = [Node(i, replica_type, make_settings) for i in range(count)]
    for index, node in enumerate(nodes):
        if full_mesh:
            lower = [f"entry-{i}" for i in range(index)]
            node.mesh.choose = lambda now, ids=lower: ids
        await node.start()
    hosts = [
        platform.HostEntry(
            node.settings.node_id,
            "entry",
            "127.0.0.1",
            node.mesh.port_,
            node.settings.failure_domain,
        )
        for node in nodes
    ]
    version = config.ConfigVersion(1, make_document())
    for node in nodes:
        node.holder.adopt(version, "start")
        node.join(hosts)
    await asyncio.sleep(SETTLE_S + count / 50)
    row = await _measure_changes(nodes, version, changes)
    links = sum(len(node.mesh.connections_) for node in nodes) / count
    for node in nodes:
        await node.close()
    print(ROW.format(name, count, f"{links:.1f}", *row), flush=True)


async def _measure_changes(nodes, version, changes):
    idle = await _measure_rates(nodes, IDLE_S)
    times, messages, sizes, process_s = [], [], [], []
    for change in range(changes):
        patch = {"client_accounts": {f"account-{change:04}": {"weight": 9}}}
        before = _sum_sent(nodes)
        started_at, cpu = time.monotonic(), time.process_time()
        version = version.apply([patch])
        step = config.Step(version.number, patch)
        nodes[change % len(nodes)].holder.adopt(version, "operator", [step])
        async with asyncio.timeout(PROPAGATION_TIMEOUT_S):
            while any(  # noqa: ASYNC110 - no event covers many holders
                n.holder.current_.number < version.number for n in nodes
            ):
                await asyncio.sleep(0.002)
        process_s.append((time.process_time() - cpu) / len(nodes))
        last = max(node.adopted_at[version.number] for node in nodes)
        times.append(last - started_at)
        await asyncio.sleep(0.1)
        after = _sum_sent(nodes)
        messages.append((after[0] - before[0]) / len(nodes))
        sizes.append((after[1] - before[1]) / len(nodes))
    rate = CHANGES_PER_DAY / SECONDS_PER_DAY
    size = statistics.median(sizes)
    return [
        f"{statistics.median(times) * 1000:.0f}",
        f"{statistics.median(messages):.1f}",
        f"{size:.0f}",
        f"{idle[0]:.1f}",
        f"{idle[1]:.0f}",
        f"{size * rate:.0f}",
        f"{statistics.median(process_s) * 1000:.1f}",
    ]


async def _measure_rates(nodes, duration_s):
    before = _sum_sent(nodes)
    await asyncio.sleep(duration_s)
    after = _sum_sent(nodes)
    return [
        (b - a) / duration_s / len(nodes) for a, b in zip(before, after, strict=True)
    ]


def _sum_sent(nodes):
    sent = [node.sent() for node in nodes]
    return [sum(column) for column in zip(*sent, strict=True)]


async def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--nodes", type=int, nargs="+", default=[4, 12, 24, 48, 96])
    parser.add_argument("--changes", type=int, default=15)
    options = parser.parse_args()
    base.configure_logs("warning", io.StringIO())
    size = len(config.ConfigVersion(1, make_document()).to_json())
    print(f"document {size} bytes, {DOMAINS} failure domains, per node:")
    heads = ["spread", "nodes", "links", "force ms", "msgs/change", "bytes/change"]
    print(ROW.format(*heads, "idle m/s", "idle B/s", "change B/s", "cpu ms"))
    baseline_counts = [count for count in options.nodes if count <= MAX_BASELINE_NODES]
    for count in options.nodes:
        await measure("patches", count, config.ConfigReplica, options.changes, False)
    for count in baseline_counts:
        await measure("documents", count, FullDocumentReplica, options.changes, False)
    for count in baseline_counts:
        await measure("full mesh", count, config.ConfigReplica, options.changes, True)


if __name__ == "__main__":
    asyncio.run(main())
