"""Reads configuration, endpoints and drained failure domains from the store."""

import asyncio
import dataclasses
import hashlib
import random
import time

from sequoiagap import base, routes
from sequoiagap.gateway import _messages, _ports, _position

READ_TIMEOUT_S = 0.8
# Changes must be in force after 2 s, changes of failure domains after 5 s.
INTERVAL_S_BY_TOPIC = {"config": 1.3, "endpoints": 0.9, "domains": 3.0}
READINGS_PER_PROOF = 3  # of the configuration, so that one of them may fail
MIN_INTERVAL_S = 0.1
FIRST_RETRY_S = 0.25
MAX_RETRY_S = 0.6  # keeps readings through a peer recent
PEER_MAX_AGE_S = 2.0  # of a reading that is passed to another gateway
DIGEST_BYTES = 16
SETTLE_S = 1.0  # after a restore, until operators have repeated lost writes
MAX_LOGGED_AWAY_S = 86400.0  # logged if the store has never answered
OUTAGE_S = 1.2  # an unreachable store this long may have let entries lapse

_log = base.get_logger("feed")


@dataclasses.dataclass
class Topic:
    """Newest reading of one topic of the store.

    :ivar Position position: position of the newest accepted reading.
    :ivar bytes content: its content.
    :ivar bytes digest: digest of the content; empty for none.
    :ivar object value: the value decoded from it.
    :ivar float read_at: when it was requested, suspend-aware seconds.
    :ivar bool is_unreachable: whether the last read failed.
    :ivar asyncio.Event refresh_event: set if the topic is to be read at once.
    """

    name: str
    position: _position.Position = _position.Position()
    content: bytes = b""
    digest: bytes = b""
    value: object = None
    read_at: float = float("-inf")
    is_unreachable: bool = False
    refresh_event: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def is_loaded(self):
        """Whether the topic has been read."""
        return self.position.revision >= 0


class StoreFeed:
    """Polls the store at short intervals, through other gateways if necessary.

    Each reading is complete and current, so a lost connection or a lost history of the
    store loses no change. The age of a reading counts from its request.

    :param Store store: the store.
    :param PeerLinks peers: connections to the other gateways.
    :param dict handler_by_topic: function for each topic that receives its value, the
        time of the request, and whether writes missing from a copy have had time to be
        repeated.
    :param base.Metrics metrics: metrics of the process.
    :param on_return: function that is called when the store is reachable again after
        an outage; ``is_copy`` says whether it was restored from a copy.
    :param float max_proof_age_s: how long a reading of the configuration proves keys,
        in seconds.

    :ivar int era_: newest era of the store seen so far.
    """

    def __init__(
        self, store, peers, handler_by_topic, metrics, on_return, max_proof_age_s
    ):
        self.store = store
        self.peers = peers
        self.handler_by_topic = handler_by_topic
        self.metrics = metrics
        self.on_return = on_return
        self.max_proof_age_s = max_proof_age_s
        self.topic_by_name = {name: Topic(name) for name in handler_by_topic}
        self.era_ = 0
        self._settled_at = float("-inf")

    async def run(self):
        """Poll all topics until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for topic in self.topic_by_name.values():
                tasks.create_task(self._follow(topic), name=f"read-{topic.name}")

    def is_loaded(self):
        """Return whether each topic has been read at least once.

        :rtype: bool
        """
        return all(topic.is_loaded for topic in self.topic_by_name.values())

    def is_unreachable(self):
        """Return whether a topic can be read neither directly nor through a peer.

        :rtype: bool
        """
        return any(topic.is_unreachable for topic in self.topic_by_name.values())

    def answer_peer(self, request):
        """Return the newest reading of a topic for another gateway.

        The topic is not read again: gateways that lose the store together would
        otherwise repeat each read once per peer.

        :param ReadRequest request: the request.
        :rtype: ReadReply
        """
        topic = self.topic_by_name.get(request.topic)
        age_s = float("inf")
        if topic is not None and topic.is_loaded:
            age_s = routes.suspend_aware_time() - topic.read_at
        if age_s > PEER_MAX_AGE_S:
            return _messages.ReadReply(request.number, False)
        is_known = request.known == topic.digest
        content = b"" if is_known else topic.content
        era = topic.position.era
        return _messages.ReadReply(request.number, True, content, age_s, is_known, era)

    def refresh(self, name):
        """Read a topic at once, as its last reading has proved outdated.

        :param str name: the topic.
        """
        self.topic_by_name[name].refresh_event.set()

    async def _follow(self, topic):
        backoff = base.Backoff(FIRST_RETRY_S, MAX_RETRY_S, random.Random())
        while True:
            topic.refresh_event.clear()
            if await self._read(topic):
                backoff.reset()
                interval_s = self._interval(topic)
            else:
                interval_s = backoff.next_wait()
            await asyncio.sleep(MIN_INTERVAL_S)
            try:
                async with asyncio.timeout(max(interval_s - MIN_INTERVAL_S, 0.0)):
                    await topic.refresh_event.wait()
            except TimeoutError:
                continue

    def _interval(self, topic):
        interval_s = INTERVAL_S_BY_TOPIC[topic.name]
        if topic.name == "config":
            interval_s = min(interval_s, self.max_proof_age_s / READINGS_PER_PROOF)
        return interval_s

    async def _read(self, topic):
        """Read a topic once; return whether the store answered directly."""
        began = time.monotonic()
        requested_at = routes.suspend_aware_time()
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                reading = await self.store.read(topic.name)
        except (base.PlatformError, TimeoutError) as error:
            await self._read_by_peer(topic, error)
            return False
        self.metrics.observe(
            "store_read_seconds", time.monotonic() - began, topic=topic.name
        )
        self._apply_reading(topic, reading, requested_at, "direct")
        return True

    async def _read_by_peer(self, topic, error):
        """Apply another gateway's recent reading of a topic, if there is one."""
        self.metrics.count("store_failures_total", topic=topic.name)
        requested_at = routes.suspend_aware_time()
        reply = await self.peers.read(topic.name, topic.digest)
        if reply is not None:
            content = topic.content if reply.is_known else reply.content
            reading = _ports.Reading(content, reply.era)
            self._apply_reading(topic, reading, requested_at - reply.age_s, "peer")
            return
        if not topic.is_unreachable:
            _log.emit(
                base.Event.PLATFORM_UNREACHABLE,
                topic=topic.name,
                error=repr(error)[:160],
            )
        topic.is_unreachable = True

    def _apply_reading(self, topic, reading, requested_at, way):
        self._record_reachable(topic, way)
        try:
            self._apply(topic, reading, requested_at)
        except ValueError as error:
            _log.emit(
                base.Event.CONFIG_MALFORMED, topic=topic.name, error=str(error)[:200]
            )

    def _apply(self, topic, reading, requested_at):
        position, value = self._decode(topic, reading)
        order = _position.compare(position, topic.position)
        is_of_earlier_era = reading.era < self.era_
        if order == _position.PositionOrder.OVERTAKEN or is_of_earlier_era:
            _log.emit(
                base.Event.READING_OVERTAKEN,
                topic=topic.name,
                era=position.era,
                revision=position.revision,
                known_era=self.era_,
                known_revision=topic.position.revision,
            )
            return
        self._record_era(topic, reading.era)
        if reading.content != topic.content or not topic.is_loaded:
            topic.content = reading.content
            topic.digest = _digest(reading.content)
            topic.value = value
        topic.position = position
        topic.read_at = max(requested_at, topic.read_at)
        # Called for unchanged values too: a change that was held back may be due now.
        is_settled = requested_at >= self._settled_at
        self.handler_by_topic[topic.name](topic.value, requested_at, is_settled)

    def _decode(self, topic, reading):
        """Return position and value of a reading."""
        if reading.content == topic.content and topic.is_loaded:
            position = _position.Position(reading.era, topic.position.revision)
            return position, topic.value
        snapshot = self.store.decode(topic.name, reading.content)
        return _position.Position(reading.era, snapshot.revision), snapshot.value

    def _record_era(self, topic, era):
        """Record the era of a reading; after a restore, refresh all topics."""
        previous_era = self.era_
        if era == previous_era:
            return
        is_first = not any(topic.is_loaded for topic in self.topic_by_name.values())
        self.era_ = era
        if is_first:
            return
        self._settled_at = routes.suspend_aware_time() + SETTLE_S
        _log.emit(
            base.Event.STORE_RETURNED,
            topic=topic.name,
            era_before=previous_era,
            era=era,
            settled_in_s=SETTLE_S,
        )
        self.on_return(is_copy=True)
        for other in self.topic_by_name.values():
            other.refresh_event.set()

    def _record_reachable(self, topic, way):
        if not topic.is_unreachable:
            return
        topic.is_unreachable = False
        away_s = min(routes.suspend_aware_time() - topic.read_at, MAX_LOGGED_AWAY_S)
        _log.emit(
            base.Event.PLATFORM_REACHABLE,
            topic=topic.name,
            way=way,
            away_s=round(away_s, 2),
        )
        if away_s >= OUTAGE_S:
            self.on_return(is_copy=False)


def _digest(content):
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()
