"""The platform's configuration object, watched by few entries of a domain."""

import asyncio
import time

from sequoiagap import base, config, members

HOLD_S = 0.5
BOUND_S = 2.0
IDLE_CHECK_S = 0.25
RESYNC_CALLS = 10
BEHIND_READS = 2

_log = base.get_logger("watch")


class ConfigWatch:
    """Calls the platform when it is this entry's duty.

    Watches are held for half a second only: a lost one is noticed soon. After a
    call that failed the object is read outright, as it is once in a while, so
    that neither a lost watch nor an object whose version went back is missed.

    :param sequoiagap.platform.PlatformClient client: the platform.
    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    :param sequoiagap.config.ConfigReplica replica: reports malformed versions.
    :param sequoiagap.config.WatchDuty duty: decides when to call.
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
        self._object_version = 0
        self._calls_until_read = 0
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
            wait_s = self.duty.wait_s(self.find_rank(), now)
        self._set_watching(wait_s == 0.0)
        return wait_s

    async def _call(self):
        before = self._object_version
        try:
            is_read, stored = await self._read_or_watch()
            if stored is not None:
                self._take(stored)
        except base.PlatformError as error:
            self._note_failure(error)
            return
        except base.ConfigError as error:
            self.replica.report_malformed(before, "platform", error)
            is_read = True
        self._note_answer()
        was_held = not is_read and stored is None
        if self._object_version <= before and not was_held:
            await asyncio.sleep(HOLD_S)

    async def _read_or_watch(self):
        """Return whether the object was read outright, and the object."""
        name = config.CONFIG_OBJECT
        self._calls_until_read -= 1
        if self._calls_until_read > 0:
            return False, await self.client.watch(name, self._object_version, HOLD_S)
        stored = await self.client.get(name)
        self._calls_until_read = RESYNC_CALLS
        if stored is None:
            self._object_version = 0
            self._note_number(0)
        return True, stored

    def _take(self, stored):
        self._object_version = stored.version
        number = stored.value.get("number") if isinstance(stored.value, dict) else None
        if type(number) is int and 0 < number <= self.holder.current_.number:
            self._note_number(number)
            return
        head = config.parse_head(stored)
        self._note_number(head.version.number)
        self.holder.adopt(head.version, "platform", head.steps())

    def _note_number(self, number):
        """Notice a platform that keeps an older version than is in force."""
        is_behind = number < self.holder.current_.number
        self._reads_behind = self._reads_behind + 1 if is_behind else 0
        was_behind, self.behind_ = self.behind_, self._reads_behind >= BEHIND_READS
        if is_behind:
            self._calls_until_read = 0
        if self.behind_ and not was_behind:
            _log.emit(
                base.Event.PLATFORM_BEHIND,
                stored_version=number,
                config_version=self.holder.current_.number,
            )

    def _note_failure(self, error):
        self.duty.fail(time.monotonic())
        self._calls_until_read = 0
        if self.reachable_:
            _log.emit(base.Event.PLATFORM_UNREACHABLE, error=error.message)
        self.reachable_ = False
        self._become_ready_alone()

    def _note_answer(self):
        self.duty.confirm(time.monotonic())
        if not self.reachable_:
            _log.emit(base.Event.PLATFORM_REACHABLE)
        self.reachable_ = True
        if self.holder.known_.is_set():
            self.holder.ready_.set()

    def _become_ready_alone(self):
        """Without the platform, take work once peers had time to offer."""
        waited_s = time.monotonic() - self._began
        if self.holder.known_.is_set() and waited_s > BOUND_S:
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
