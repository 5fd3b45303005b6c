"""HTTP client for the expert map of the rank's engine."""

import asyncio
import base64
import dataclasses
import functools

import aiohttp

from sequoiagap import base, experts, platform, wire

CALL_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 512 * 1024

_BOUNDED_RESPONSE = functools.partial(
    wire.BoundedResponse, max_body_bytes=MAX_ANSWER_BYTES
)

ENGINE_KINDS = base.Registry("engine kind")


@dataclasses.dataclass(frozen=True)
class EngineKind:
    """Capabilities of a kind of engine.

    :param int lead_steps: steps between the proposal of a map and its first use.
    :param bool holds_on_prepare: whether the engine must stop before a round begins,
        because it can't wait for a future step.
    """

    lead_steps: int
    holds_on_prepare: bool = False


@ENGINE_KINDS.register("hold_at_step")
def _hold_at_step():
    """Engines that keep running when armed and hold at the armed step."""
    return EngineKind(lead_steps=8)


@ENGINE_KINDS.register("switch_at_step")
def _switch_at_step():
    """Engines that stop when armed and switch at the step once committed."""
    return EngineKind(lead_steps=8)


@ENGINE_KINDS.register("switch_now")
def _switch_now():
    """Engines that stop on order and switch immediately."""
    return EngineKind(lead_steps=0, holds_on_prepare=True)


class UnstoppableEngineError(base.ConfigError):
    """The engine can't be stopped at a step, so it can't be part of a group."""


@ENGINE_KINDS.register("never_holds")
def _never_holds():
    """Engines that switch at a step on their own and can't be stopped.

    Once armed for a step, such an engine switches there whether or not the other
    ranks are armed. A delayed message then leads to two maps in one step, and the
    agents have no means to prevent it.
    """
    raise UnstoppableEngineError(
        "endpoint.engine: engines of kind never_holds can't guarantee one map per step",
        "Leave out the section group, so that the engines keep their present map, "
        "or use engines that hold at a step until they are ordered to continue",
    )


class EngineUnavailableError(base.SequoiagapError):
    """The engine did not answer, or its answer is invalid."""


class EngineOrderError(base.SequoiagapError):
    """The engine rejected an order."""


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """State of the rank's engine.

    :param str start_id: changes whenever the engine restarts.
    :param sequoiagap.experts.EngineView view: maps and current step.
    :param tuple missing: digests of maps whose weights the engine needs and lacks.
    :param float blocked_s: how long the next step has been waiting, in seconds.
    :param float busy_s: time that the rank has spent computing, in seconds.
    :param int map_used: version of the map that the last step used.
    :param list counts: tokens of each slot since the last map change.
    """

    start_id: str
    view: experts.EngineView
    missing: tuple = ()
    blocked_s: float = 0.0
    busy_s: float = 0.0
    map_used: int = 0
    counts: list = dataclasses.field(default_factory=list)


class RankEngineClient:
    """Client of the rank's engine, and the only sender of map orders to it.

    Fencing numbers are also checked here, because some engines ignore them.

    :param sequoiagap.settings.EndpointSettings settings: URL and kind of the engine.

    :ivar int fence_: highest fencing number sent or observed.
    """

    def __init__(self, settings):
        self.settings = settings
        self.kind = ENGINE_KINDS.get(settings.engine)()
        self.fence_ = 0
        self._session = None

    async def open(self):
        """Open the client session."""
        self._session = aiohttp.ClientSession(
            timeout=platform.UNTIMED, response_class=_BOUNDED_RESPONSE
        )

    async def close(self):
        """Close the client session."""
        if self._session is not None:
            await self._session.close()

    async def fetch_report(self, with_counts=False):
        """Return the state of the engine.

        :param bool with_counts: whether to request the tokens of each slot.
        :rtype: EngineReport
        :raises EngineUnavailableError: if the engine does not answer in time.
        """
        document = await self._call(
            "GET", "/group?counts=1" if with_counts else "/group"
        )
        try:
            return _parse_report(document)
        except (KeyError, TypeError, ValueError) as error:
            raise _unavailable(error) from error

    async def send_order(self, order):
        """Send an order to the engine.

        :param sequoiagap.experts.Order order: the order.
        :raises EngineOrderError: if its fencing number is outdated, or if the engine
            rejects it.
        :raises EngineUnavailableError: if the engine does not answer in time.
        """
        if order.epoch < self.fence_:
            raise EngineOrderError(
                f"order {order.epoch} is older than {self.fence_}", "Request a new one"
            )
        self.fence_ = order.epoch
        body = {
            "kind": str(order.kind),
            "epoch": order.epoch,
            "target": order.target.to_wire(),
            "previous": order.previous.to_wire(),
        }
        await self._call("POST", "/group/order", body)

    async def stage(self, item, timeout_s):
        """Load the weights of a map into the engine; return once they are loaded.

        :param sequoiagap.experts.MapBody item: the map.
        :param float timeout_s: longest wait, in seconds.
        :raises EngineOrderError: if the engine can't load them.
        :raises EngineUnavailableError: if the engine does not answer in time.
        """
        content = base64.b64encode(item.content).decode()
        body = {"digest": item.digest, "shape": item.shape, "content": content}
        await self._call("POST", "/group/stage", body, timeout_s)

    async def _call(self, method, path, body=None, timeout_s=CALL_TIMEOUT_S):
        url = self.settings.url + path
        request = self._session.request(method, url, json=body)
        try:
            async with asyncio.timeout(timeout_s), request as response:
                document = await response.json()
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise _unavailable(error) from error
        if response.status != 200:
            raise EngineOrderError(
                f"the engine rejected {path}: {document}", "Check the engine's log"
            )
        return document


def _parse_report(document):
    view = experts.EngineView(
        document["step"],
        experts.MapRef.from_wire(document["previous"]),
        experts.MapRef.from_wire(document["committed"]),
        document["armed_epoch"],
        experts.MapRef.from_wire(document["armed"]),
        document["staged"],
        document["fence"],
    )
    return EngineReport(
        document["start_id"],
        view,
        tuple(document["missing"]),
        document["blocked_s"],
        document["busy_s"],
        document["map_used"],
        document.get("counts", []),
    )


def _unavailable(error):
    return EngineUnavailableError(
        f"the engine does not answer: {error!r}", "Check that the engine is running"
    )
