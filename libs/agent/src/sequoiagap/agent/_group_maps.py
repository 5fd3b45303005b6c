"""Expert maps known to the agent, and staging of their weights."""

import asyncio

from sequoiagap import base, experts

STAGE_TIMEOUT_S = 600.0

_log = base.get_logger("group")


class MapStore:
    """Stores maps by digest, exchanges them with peers and stages their weights.

    :param sequoiagap.settings.GroupSettings settings: the group and the rank.
    :param RankEngineClient engine: client of the rank's engine.
    :param GroupLinks links: connections to the other ranks.

    :ivar sequoiagap.experts.MapShape shape: dimensions of the group's maps.
    :ivar sequoiagap.experts.ExpertMap initial_map: map that every agent can
        construct.
    :ivar dict by_digest: stored maps by digest.
    """

    def __init__(self, settings, engine, links):
        self.settings = settings
        self.engine = engine
        self.links = links
        self.shape = experts.MapShape(
            settings.layers, len(settings.peers), settings.experts, settings.slots
        )
        self.initial_map = experts.initial_map(self.shape)
        self.by_digest = {self.initial_map.digest: self.initial_map}
        self._staging_by_digest = {}

    def attach(self, handlers):
        """Register the handlers of the peers' requests and answers.

        :param sequoiagap.wire.HandlerTable handlers: table of the peers' connections.
        """
        handlers.add(experts.Stage, self._on_stage)
        handlers.add(experts.MapRequest, self._on_map_request)
        self.links.handlers_.add(experts.MapBody, self._on_map_body)

    def to_body(self, placement):
        """Return the message that contains a map.

        :param sequoiagap.experts.ExpertMap placement: the map.
        :rtype: sequoiagap.experts.MapBody
        """
        shape = placement.shape
        numbers = [shape.layers, shape.ranks, shape.experts, shape.slots]
        return experts.MapBody(
            self.settings.name, placement.digest, numbers, placement.to_bytes()
        )

    def add(self, body):
        """Store a map.

        :param body: a message with shape and content.
        :returns: the map.
        :rtype: sequoiagap.experts.ExpertMap
        :raises sequoiagap.experts.ExpertMapError: if the map does not fit the group.
        """
        placement = experts.ExpertMap.from_bytes(self.shape, body.content)
        self.by_digest[placement.digest] = placement
        return placement

    def retain(self, needed):
        """Drop all maps that are no longer needed.

        :param set needed: digests to keep; the initial map and a map being staged are
            always kept.
        """
        needed = needed | {self.initial_map.digest} | set(self._staging_by_digest)
        self.by_digest = {d: m for d, m in self.by_digest.items() if d in needed}

    async def stage(self, body):
        """Have the engine load the weights of a map.

        :param sequoiagap.experts.MapBody body: the map.
        :raises sequoiagap.base.SequoiagapError: if the engine fails to load them.
        """
        self.add(body)
        task = self._staging_by_digest.get(body.digest)
        if task is None or task.done():
            call = self.engine.stage(body, STAGE_TIMEOUT_S)
            task = asyncio.ensure_future(call)
            self._staging_by_digest = {body.digest: task}
        await asyncio.shield(task)

    def load_missing(self, digests):
        """Load weights that the engine lacks; request unknown maps from the peers.

        :param collections.abc.Iterable digests: digests of the maps.
        """
        for digest in digests:
            task = self._staging_by_digest.get(digest)
            if task is not None and not task.done():
                continue
            placement = self.by_digest.get(digest)
            if placement is None:
                self.request_map(digest)
                continue
            body = self.to_body(placement)
            self.links.start(self._stage_and_log(body), f"stage-{digest}")
            return

    def request_map(self, digest):
        """Request a map from all peers.

        :param str digest: digest of the map.
        """
        request = experts.MapRequest(self.settings.name, self.settings.rank, digest)
        for rank in range(self.shape.ranks):
            if rank != self.settings.rank:
                self.links.start(self.links.send(rank, request), "map-request")

    async def _stage_and_log(self, body):
        try:
            await self.stage(body)
        except base.SequoiagapError as error:
            _log.emit(base.Event.WEIGHTS_FAILED, error=error.message)

    async def _on_stage(self, connection, item):
        self.links.start(self._answer_stage(connection, item), "stage")

    async def _answer_stage(self, connection, item):
        ready, error_text = True, ""
        try:
            await self.stage(item)
        except base.SequoiagapError as error:
            ready, error_text = False, error.message
            _log.emit(base.Event.WEIGHTS_FAILED, error=error_text)
        group, rank = self.settings.name, self.settings.rank
        await connection.send(
            experts.Staged(group, rank, item.digest, ready, error_text)
        )

    async def _on_map_request(self, connection, item):
        placement = self.by_digest.get(item.digest)
        if placement is not None:
            await connection.send(self.to_body(placement))

    async def _on_map_body(self, connection, item):
        try:
            self.add(item)
        except experts.ExpertMapError as error:
            _log.emit(base.Event.MAP_UNKNOWN, error=error.message)
