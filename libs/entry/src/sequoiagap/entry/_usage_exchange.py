"""Exchange of the usage of client accounts between entries."""

import asyncio

from sequoiagap import admission, base, members
from sequoiagap.entry import _peer_choice

DIRECT_INTERVAL_S = 0.5
COLLECTED_INTERVAL_S = 1.0
SELF_CONNECTION = object()

_log = base.get_logger("usage")


class UsageExchange:
    """Sends the usage of accounts to other entries and receives theirs.

    In a full mesh of few entries each sends its usage to all others. In a larger
    deployment each sends it to two collectors of its failure domain, which exchange
    sums with the collectors of other domains.

    :param sequoiagap.settings.EntrySettings settings: validated settings.
    :param sequoiagap.admission.UsageTable table: usage at this entry, and at those
        that report to it directly.
    :param PeerMesh mesh: connections to other entries.
    :param charge: function of the slot time in seconds that was used elsewhere, by
        account.
    """

    def __init__(self, settings, table, mesh, charge):
        self.settings = settings
        self.table = table
        self.mesh = mesh
        self.charge = charge
        self.collected_ = admission.CollectedUsage(settings.node_id)
        self.collector_ = admission.UsageCollector(
            settings.node_id, settings.failure_domain
        )
        self._remote_counts = {}
        self._charged_at = None
        mesh.find_extra_ids = self._find_collectors
        mesh.handlers_.add(admission.AccountUsage, self._on_direct)
        mesh.handlers_.add(admission.EntryUsage, self._on_entry)
        mesh.handlers_.add(admission.DomainUsage, self._on_domain)
        mesh.handlers_.add(admission.OtherUsage, self._on_others)

    async def run(self):
        """Exchange usage periodically until cancelled."""
        while True:
            now = _now()
            ids_by_domain = self.mesh.ids_by_domain(now)
            if _peer_choice.is_full_mesh(ids_by_domain):
                await self._send_to_all(now)
                await asyncio.sleep(DIRECT_INTERVAL_S)
            else:
                await self._send_to_collectors(now, ids_by_domain)
                await asyncio.sleep(COLLECTED_INTERVAL_S)

    def remote_in_flight(self, account):
        """Return how many requests of an account run or wait at other entries.

        :param str account: client account.
        :rtype: int
        """
        direct = self.table.remote_in_flight(account)
        collected = self._remote_counts.get(account)
        return max(direct, collected.in_flight if collected else 0)

    def count_remote_entries(self):
        """Return the number of other entries with known usage.

        :rtype: int
        """
        return max(
            len(self.table.reporting_entries()), self.collected_.counted_entries_
        )

    def describe(self):
        """Return the entries whose usage is known, for the state dump.

        :rtype: dict
        """
        return {
            "entries_heard": self.table.reporting_entries(),
            "entries_collected": self.collected_.counted_entries_,
        }

    async def _send_to_all(self, now):
        self._remote_counts = self.collected_.remote_counts(now)
        self._charged_at = None
        await self.mesh.broadcast(self.table.make_report())
        self._expire(now)

    async def _send_to_collectors(self, now, ids_by_domain):
        self._expire(now)
        by_domain = _choose_collectors(ids_by_domain)
        own = by_domain.get(self.settings.failure_domain, [])
        messages = self.collected_.make_messages(
            now, self.table.count_by_account(now), own, self._find_connection
        )
        self.table.make_report()
        messages += self.collector_.make_messages(now, by_domain, self._find_connection)
        await asyncio.gather(*(self._send(*pair) for pair in messages))
        self._charge_collected(now)

    async def _send(self, receiver, message):
        if receiver == self.settings.node_id:
            self._handle_own(message)
        else:
            await self.mesh.send_to(receiver, message)

    def _handle_own(self, message):
        now = _now()
        if isinstance(message, admission.EntryUsage):
            self.collector_.record_entry_usage(message, now)
        else:
            self.collected_.record(message, now)

    def _charge_collected(self, now):
        """Charge accounts for slots held at other entries since the last round."""
        self._remote_counts = self.collected_.remote_counts(now)
        started_at, self._charged_at = self._charged_at, now
        if started_at is not None:
            seconds = min(now - started_at, 2 * COLLECTED_INTERVAL_S)
            self.charge(
                {a: c.running * seconds for a, c in self._remote_counts.items()}
            )

    def _expire(self, now):
        for entry_id in self.table.expire(now):
            _log.emit(base.Event.USAGE_EXPIRED, entry=entry_id)

    def _find_connection(self, node_id):
        if node_id == self.settings.node_id:
            return SELF_CONNECTION
        return self.mesh.find_connection(node_id)

    def _find_collectors(self, now):
        """Return the ids of collectors that this entry must be connected to."""
        ids_by_domain = self.mesh.ids_by_domain(now)
        if _peer_choice.is_full_mesh(ids_by_domain):
            return []
        by_domain = _choose_collectors(ids_by_domain)
        own = by_domain.get(self.settings.failure_domain, [])
        if self.settings.node_id in own:
            return [node_id for ids in by_domain.values() for node_id in ids]
        return own

    async def _on_direct(self, connection, report):
        self.charge(self.table.record_report(report, _now()))

    async def _on_entry(self, connection, message):
        self.collector_.record_entry_usage(message, _now())

    async def _on_domain(self, connection, message):
        self.collector_.record_domain_usage(message, _now())

    async def _on_others(self, connection, message):
        self.collected_.record(message, _now())


def _choose_collectors(ids_by_domain):
    """Return the collectors per failure domain; all entries compute the same."""
    return {
        domain: members.choose(domain, ids, admission.COLLECTORS_PER_DOMAIN)
        for domain, ids in ids_by_domain.items()
    }


def _now():
    return asyncio.get_running_loop().time()
