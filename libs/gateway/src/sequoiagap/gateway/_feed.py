"""Readings of the store: configuration, endpoints and failure domains out."""

import asyncio
import dataclasses
import time

from sequoiagap import base, routes

READ_TIMEOUT_S = 0.8
# Changes are to be in force 2 s after they were made, those of domains after 5 s.
INTERVAL_S_BY_TOPIC = {"config": 1.3, "endpoints": 0.9, "domains": 3.0}
READINGS_PER_PROOF = 3  # of the configuration, so that one may fail
MIN_INTERVAL_S = 0.1
RETRY_S = 0.25
MAX_AWAY_S = 86400.0  # shown where the store has never answered
AWAY_S = 1.2  # an unanswered store this long may have let entries lapse

_log = base.get_logger("feed")


@dataclasses.dataclass
class Topic:
    """What is known of one topic.

    :ivar int revision: revision of the newest reading taken; -1 for none.
    :ivar bytes content: its content.
    :ivar object value: the value decoded from it.
    :ivar float read_at: when it was asked for, suspend-aware seconds.
    :ivar bool is_away: whether the store did not answer last time.
    :ivar asyncio.Event is_wanted: set where it is to be read at once.
    """

    name: str
    revision: int = -1
    content: bytes = b""
    value: object = None
    read_at: float = float("-inf")
    is_away: bool = False
    is_wanted: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class StoreFeed:
    """Reads the store at short intervals, by way of other gateways if need be.

    Each reading is complete and the newest there is, so nothing is lost with a
    connection or with the store's history. It counts from when it was asked for.

    :param Store store: the store.
    :param PeerLinks peers: links to the other gateways.
    :param dict take_by_topic: function of value and time asked for, for each topic.
    :param base.Metrics metrics: metrics of the process.
    :param on_return: function called when the store answers again after a while.
    :param float proof_s: how long a reading of the configuration proves keys.
    """

    def __init__(self, store, peers, take_by_topic, metrics, on_return, proof_s):
        self.store = store
        self.peers = peers
        self.take_by_topic = take_by_topic
        self.metrics = metrics
        self.on_return = on_return
        self.proof_s = proof_s
        self.by_topic = {name: Topic(name) for name in take_by_topic}

    async def run(self):
        """Read all topics until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for topic in self.by_topic.values():
                tasks.create_task(self._follow(topic), name=f"read-{topic.name}")

    def is_known(self):
        """Return whether each topic has been read once.

        :rtype: bool
        """
        return all(topic.revision >= 0 for topic in self.by_topic.values())

    def is_away(self):
        """Return whether the store can't be read now, neither by another gateway.

        :rtype: bool
        """
        return any(topic.is_away for topic in self.by_topic.values())

    async def read_for_peer(self, name):
        """Read a topic for another gateway.

        :param str name: the topic.
        :returns: its content, or ``None`` if the store does not answer.
        :rtype: bytes | None
        """
        if name not in self.by_topic:
            return None
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                return await self.store.read(name)
        except (base.PlatformError, TimeoutError):
            return None

    def hurry(self, name):
        """Read a topic at once, as what is known of it has proved old.

        :param str name: the topic.
        """
        self.by_topic[name].is_wanted.set()

    async def _follow(self, topic):
        while True:
            topic.is_wanted.clear()
            is_read = await self._read(topic)
            interval_s = self._interval(topic) if is_read else RETRY_S
            await asyncio.sleep(MIN_INTERVAL_S)
            try:
                async with asyncio.timeout(interval_s - MIN_INTERVAL_S):
                    await topic.is_wanted.wait()
            except TimeoutError:
                continue

    def _interval(self, topic):
        interval_s = INTERVAL_S_BY_TOPIC[topic.name]
        if topic.name == "config":
            interval_s = min(interval_s, self.proof_s / READINGS_PER_PROOF)
        return interval_s

    async def _read(self, topic):
        """Read a topic once; return whether the store answered."""
        asked_at = routes.suspend_aware_time()
        began = time.monotonic()
        content, way = await self._fetch(topic)
        if content is None:
            topic.is_away = True
            return False
        self.metrics.observe(
            "store_read_seconds", time.monotonic() - began, topic=topic.name
        )
        self._note_back(topic, way)
        try:
            self._take(topic, content, asked_at)
        except ValueError as error:
            _log.emit(
                base.Event.CONFIG_MALFORMED, topic=topic.name, error=str(error)[:200]
            )
        return True

    async def _fetch(self, topic):
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                return await self.store.read(topic.name), "direct"
        except (base.PlatformError, TimeoutError) as error:
            topic_error = repr(error)[:160]
        self.metrics.count("store_failures_total", topic=topic.name)
        content = await self.peers.read(topic.name)
        if content is None and not topic.is_away:
            _log.emit(
                base.Event.PLATFORM_UNREACHABLE, topic=topic.name, error=topic_error
            )
        return content, "peer"

    def _take(self, topic, content, asked_at):
        if content != topic.content or topic.revision < 0:
            snapshot = self.store.decode(topic.name, content)
            if snapshot.revision < topic.revision:
                return  # an answer that was overtaken
            topic.revision = snapshot.revision
            topic.content = content
            topic.value = snapshot.value
        topic.read_at = asked_at
        # Also where nothing has changed: what was held back may be due by now.
        self.take_by_topic[topic.name](topic.value, asked_at)

    def _note_back(self, topic, way):
        if not topic.is_away:
            return
        topic.is_away = False
        away_s = min(routes.suspend_aware_time() - topic.read_at, MAX_AWAY_S)
        _log.emit(
            base.Event.PLATFORM_REACHABLE,
            topic=topic.name,
            way=way,
            away_s=round(away_s, 2),
        )
        if away_s >= AWAY_S:
            self.on_return()
