"""Watch of the configuration in the platform, by few entries of a failure domain."""

import asyncio
import time

from sequoiagap import base, config, members

WATCH_DURATION_S = 0.5
PROBE_DURATION_S = 0.01
PEER_OFFER_WAIT_S = 2.0
IDLE_CHECK_S = 0.25
CHECK_INTERVAL_S = 1.0
FULL_READ_INTERVAL_S = 30.0
BEHIND_READ_COUNT = 2

_log = base.get_logger("watch")


class ConfigWatch:
    """Watches the configuration in the platform when it is this entry's turn.

    The watch is on the small object with the newest patches. A watch lasts only half
    a second, so that a lost one is noticed soon. Every second the object is read
    directly, which detects a version that was rolled back, and the configuration
    object is checked for a version that the newest patches lack. The configuration
    object is read in full if the newest patches leave a gap, and at a long interval.

    :param sequoiagap.platform.PlatformClient client: client of the platform.
    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    :param sequoiagap.config.ConfigReplica replica: applies patches, reports malformed
        versions and forks.
    :param sequoiagap.config.WatchSchedule schedule: schedule of the calls.
    :param find_rank: function that returns the rank of this entry in its failure
        domain, from 0.

    :ivar bool watching_: whether it is this entry's turn to call the platform.
    :ivar bool reachable_: whether the last call was answered.
    :ivar bool behind_: whether the platform holds an older version than the one in
        force here.
    """

    def __init__(self, client, holder, replica, schedule, find_rank):
        self.client = client
        self.holder = holder
        self.replica = replica
        self.schedule = schedule
        self.find_rank = find_rank
        self.watching_ = False
        self.reachable_ = True
        self.behind_ = False
        self._writer = config.NewestWriter(client)
        self._head_version = 0
        self._newest_version = 0
        self._newest_number = 0
        self._checked_number = None
        self._full_read_at = 0.0
        self._newest_read_at = 0.0
        self._probe_due = False
        self._reads_behind = 0
        self._started_at = time.monotonic()

    async def run(self):
        """Call the platform whenever it is this entry's turn, until cancelled."""
        while True:
            wait_s = self._wait_s()
            if wait_s > 0:
                await asyncio.sleep(min(wait_s, IDLE_CHECK_S))
                self._become_ready_without_platform()
                continue
            await self._call()

    def _wait_s(self):
        now = time.monotonic()
        wait_s = 0.0
        if self.holder.ready_.is_set() or not self.reachable_:
            wait_s = self.schedule.delay_s(self.find_rank(), now)
        self._set_watching(wait_s == 0.0)
        return wait_s

    async def _call(self):
        call = self._choose_call(time.monotonic())
        try:
            await call()
        except base.PlatformError as error:
            if call in (self._probe, self._read_full):
                self._full_read_at = 0.0
            self._newest_read_at = 0.0
            self._record_failure(error)
            return
        except base.ConfigError as error:
            self.replica.report_malformed(self._head_version, "platform", error)
        self._record_success()

    def _choose_call(self, now):
        if now >= self._full_read_at:
            return self._read_full
        if now >= self._newest_read_at:
            return self._read_newest
        return self._probe if self._probe_due else self._watch_newest

    async def _read_full(self):
        if self._reads_behind:
            await asyncio.sleep(WATCH_DURATION_S)
        stored = await self.client.get(config.CONFIG_OBJECT)
        self._full_read_at = time.monotonic() + FULL_READ_INTERVAL_S
        self._probe_due = False
        await self._apply_full(stored)

    async def _read_newest(self):
        stored = await self.client.get(config.NEWEST_OBJECT)
        self._newest_read_at = time.monotonic() + CHECK_INTERVAL_S
        self._probe_due = True
        self._apply_newest(stored)

    async def _probe(self):
        """Check the configuration object for a version not applied yet."""
        name = config.CONFIG_OBJECT
        stored = await self.client.watch(name, self._head_version, PROBE_DURATION_S)
        self._probe_due = False
        if stored is not None:
            await self._apply_full(stored)

    async def _watch_newest(self):
        known_version = self._newest_version
        stored = await self.client.watch(
            config.NEWEST_OBJECT, known_version, WATCH_DURATION_S
        )
        if stored is None:
            return
        self._apply_newest(stored)
        if stored.version <= known_version:
            await asyncio.sleep(WATCH_DURATION_S)

    def _apply_newest(self, stored):
        self._newest_version = 0 if stored is None else stored.version
        newest = config.parse_newest(stored)
        number = 0 if newest is None else newest.number
        self._newest_number = number
        if newest is not None:
            self.replica.on_delta(newest.delta, "platform")
        if number != self.holder.current_.number:
            if number != self._checked_number:
                self._full_read_at = 0.0
            return
        self._checked_number = None
        if newest is None:
            return
        self._head_version = newest.head_version
        self.replica.on_offer(config.ConfigOffer(number, newest.delta.digest))
        self._record_stored_number(number)

    async def _apply_full(self, stored):
        self._checked_number = self._newest_number
        self._head_version = 0 if stored is None else stored.version
        if stored is None:
            self._record_stored_number(0)
            return
        current = self.holder.current_
        number = stored.value.get("number") if isinstance(stored.value, dict) else None
        is_older = type(number) is int and 0 < number < current.number
        if not is_older:
            head = config.parse_head(stored)
            number = head.version.number
            self.holder.adopt(head.version, "platform", head.steps())
            self.replica.on_offer(config.ConfigOffer(number, head.version.digest))
            await self._write_missing_newest(head)
        self._record_stored_number(number)

    async def _write_missing_newest(self, head):
        """Write the newest patches if the entry that accepted them did not."""
        if head.version.number > self._newest_number:
            version, steps = head.version, head.steps()
            newest = config.newest_patches(head.object_version, version, steps)
            await self._writer.write(newest)

    def _record_stored_number(self, number):
        """Detect a platform that holds an older version than the one in force."""
        is_behind = number < self.holder.current_.number
        self._reads_behind = self._reads_behind + 1 if is_behind else 0
        was_behind, self.behind_ = self.behind_, self._reads_behind >= BEHIND_READ_COUNT
        if is_behind and not self.behind_:
            self._full_read_at = 0.0
        if self.behind_ and not was_behind:
            _log.emit(
                base.Event.PLATFORM_BEHIND,
                stored_version=number,
                config_version=self.holder.current_.number,
            )

    def _record_failure(self, error):
        self.schedule.record_failure(time.monotonic())
        if self.reachable_:
            _log.emit(base.Event.PLATFORM_UNREACHABLE, error=error.message)
        self.reachable_ = False
        self._become_ready_without_platform()

    def _record_success(self):
        self.schedule.record_answer(time.monotonic())
        if not self.reachable_:
            _log.emit(base.Event.PLATFORM_REACHABLE)
        self.reachable_ = True
        if self.holder.has_version_.is_set():
            self.holder.ready_.set()

    def _become_ready_without_platform(self):
        """Become ready without the platform, once peers had time to send offers."""
        waited_s = time.monotonic() - self._started_at
        if self.holder.has_version_.is_set() and waited_s > PEER_OFFER_WAIT_S:
            self.holder.ready_.set()

    def _set_watching(self, watching):
        if watching != self.watching_:
            event = base.Event.WATCH_STARTED if watching else base.Event.WATCH_STOPPED
            _log.emit(event)
        self.watching_ = watching


def find_rank(settings, mesh):
    """Return the rank of an entry in its failure domain, from 0.

    :param sequoiagap.settings.EntrySettings settings: settings of the entry.
    :param PeerMesh mesh: connections to the other entries.
    :rtype: int
    """
    return members.rank(settings.failure_domain, settings.node_id, mesh.domain_ids())
