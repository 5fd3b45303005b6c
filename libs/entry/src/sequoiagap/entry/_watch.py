"""The platform's configuration object, watched by few entries of a domain."""

import asyncio
import time

from sequoiagap import base, config, members

HOLD_S = 0.5
PROBE_HOLD_S = 0.01
BOUND_S = 2.0
IDLE_CHECK_S = 0.25
CHECK_INTERVAL_S = 1.0
WHOLE_INTERVAL_S = 30.0
BEHIND_READS = 2

_log = base.get_logger("watch")


class ConfigWatch:
    """Calls the platform when it is this entry's duty.

    What is watched is the small object of the newest patches. Watches are held
    for half a second only: a lost one is noticed soon. Each second that object is
    read outright, so that one whose version went back is noticed, and the
    configuration object is asked whether it went on without it. The configuration
    object is read whole where the newest patches leave a gap, and once in a while.

    :param sequoiagap.platform.PlatformClient client: the platform.
    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    :param sequoiagap.config.ConfigReplica replica: takes patches, reports malformed
        versions and forks.
    :param sequoiagap.config.WatchSchedule duty: decides when to call.
    :param find_rank: function that returns the place of this entry in its
        failure domain.

    :ivar bool watching_: whether the last call was this entry's duty.
    :ivar bool reachable_: whether the last call was answered.
    :ivar bool behind_: whether the platform holds an older version than is in
        force here.
    """

    def __init__(self, client, holder, replica, duty, find_rank):
        self.client = client
        self.holder = holder
        self.replica = replica
        self.duty = duty
        self.find_rank = find_rank
        self.watching_ = False
        self.reachable_ = True
        self.behind_ = False
        self._writer = config.NewestWriter(client)
        self._head_version = 0
        self._newest_version = 0
        self._newest_number = 0
        self._settled_number = None
        self._whole_at = 0.0
        self._check_at = 0.0
        self._probe_due = False
        self._reads_behind = 0
        self._began = time.monotonic()

    async def run(self):
        """Call the platform at this entry's turns until cancelled."""
        while True:
            wait_s = self._wait_s()
            if wait_s > 0:
                await asyncio.sleep(min(wait_s, IDLE_CHECK_S))
                self._become_ready_alone()
                continue
            await self._call()

    def _wait_s(self):
        now = time.monotonic()
        wait_s = 0.0
        if self.holder.ready_.is_set() or not self.reachable_:
            wait_s = self.duty.delay_s(self.find_rank(), now)
        self._set_watching(wait_s == 0.0)
        return wait_s

    async def _call(self):
        call = self._choose_call(time.monotonic())
        try:
            await call()
        except base.PlatformError as error:
            if call in (self._probe, self._read_whole):
                self._whole_at = 0.0
            self._check_at = 0.0
            self._note_failure(error)
            return
        except base.ConfigError as error:
            self.replica.report_malformed(self._head_version, "platform", error)
        self._note_answer()

    def _choose_call(self, now):
        if now >= self._whole_at:
            return self._read_whole
        if now >= self._check_at:
            return self._read_newest
        return self._probe if self._probe_due else self._watch_newest

    async def _read_whole(self):
        if self._reads_behind:
            await asyncio.sleep(HOLD_S)
        stored = await self.client.get(config.CONFIG_OBJECT)
        self._whole_at = time.monotonic() + WHOLE_INTERVAL_S
        self._probe_due = False
        await self._take_whole(stored)

    async def _read_newest(self):
        stored = await self.client.get(config.NEWEST_OBJECT)
        self._check_at = time.monotonic() + CHECK_INTERVAL_S
        self._probe_due = True
        self._take_newest(stored)

    async def _probe(self):
        """Ask whether the configuration object has a version not told of yet."""
        name = config.CONFIG_OBJECT
        stored = await self.client.watch(name, self._head_version, PROBE_HOLD_S)
        self._probe_due = False
        if stored is not None:
            await self._take_whole(stored)

    async def _watch_newest(self):
        before = self._newest_version
        stored = await self.client.watch(config.NEWEST_OBJECT, before, HOLD_S)
        if stored is None:
            return
        self._take_newest(stored)
        if stored.version <= before:
            await asyncio.sleep(HOLD_S)

    def _take_newest(self, stored):
        self._newest_version = 0 if stored is None else stored.version
        newest = config.parse_newest(stored)
        number = 0 if newest is None else newest.number
        self._newest_number = number
        if newest is not None:
            self.replica.on_delta(newest.delta, "platform")
        if number != self.holder.current_.number:
            if number != self._settled_number:
                self._whole_at = 0.0
            return
        self._settled_number = None
        if newest is None:
            return
        self._head_version = newest.head_version
        self.replica.on_offer(config.ConfigOffer(number, newest.delta.digest))
        self._note_number(number)

    async def _take_whole(self, stored):
        self._settled_number = self._newest_number
        self._head_version = 0 if stored is None else stored.version
        if stored is None:
            self._note_number(0)
            return
        current = self.holder.current_
        number = stored.value.get("number") if isinstance(stored.value, dict) else None
        is_older = type(number) is int and 0 < number < current.number
        if not is_older:
            head = config.parse_head(stored)
            number = head.version.number
            self.holder.adopt(head.version, "platform", head.steps())
            self.replica.on_offer(config.ConfigOffer(number, head.version.digest))
            await self._tell_newest(head)
        self._note_number(number)

    async def _tell_newest(self, head):
        """Write newest patches that whoever accepted them has not written."""
        if head.version.number > self._newest_number:
            version, steps = head.version, head.steps()
            newest = config.newest_patches(head.object_version, version, steps)
            await self._writer.write(newest)

    def _note_number(self, number):
        """Notice a platform that keeps an older version than is in force."""
        is_behind = number < self.holder.current_.number
        self._reads_behind = self._reads_behind + 1 if is_behind else 0
        was_behind, self.behind_ = self.behind_, self._reads_behind >= BEHIND_READS
        if is_behind and not self.behind_:
            self._whole_at = 0.0
        if self.behind_ and not was_behind:
            _log.emit(
                base.Event.PLATFORM_BEHIND,
                stored_version=number,
                config_version=self.holder.current_.number,
            )

    def _note_failure(self, error):
        self.duty.record_failure(time.monotonic())
        if self.reachable_:
            _log.emit(base.Event.PLATFORM_UNREACHABLE, error=error.message)
        self.reachable_ = False
        self._become_ready_alone()

    def _note_answer(self):
        self.duty.record_answer(time.monotonic())
        if not self.reachable_:
            _log.emit(base.Event.PLATFORM_REACHABLE)
        self.reachable_ = True
        if self.holder.has_version_.is_set():
            self.holder.ready_.set()

    def _become_ready_alone(self):
        """Without the platform, take work once peers had time to offer."""
        waited_s = time.monotonic() - self._began
        if self.holder.has_version_.is_set() and waited_s > BOUND_S:
            self.holder.ready_.set()

    def _set_watching(self, watching):
        if watching != self.watching_:
            event = base.Event.WATCH_STARTED if watching else base.Event.WATCH_STOPPED
            _log.emit(event)
        self.watching_ = watching


def find_rank(settings, mesh):
    """Return the place of an entry among those of its failure domain.

    :param sequoiagap.settings.EntrySettings settings: settings of the entry.
    :param PeerMesh mesh: knows the others.
    :rtype: int
    """
    return members.rank(settings.failure_domain, settings.node_id, mesh.domain_ids())
