"""HTTP API for operators: configuration, local orders and endpoint orders."""

import collections
import dataclasses
import json
import time

from aiohttp import web

from sequoiagap import base, config, members, routing
from sequoiagap.entry import _responses

MAX_REFUSALS = 256
MAX_SHOWN_CHARACTERS = 2048

_log = base.get_logger("config-api")


class ConfigApi:
    """Handlers of the operators' HTTP API that read or change the configuration.

    :param sequoiagap.config.ConfigStore store: configuration versions in the
        platform.
    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    :param FactCollector facts: collects the facts for harm checks of patches.
    :param OrderIssuer orders: sends orders to endpoints.

    :ivar collections.deque refusals_: the last refused patches, as plain data.
    """

    def __init__(self, store, holder, facts, orders):
        self.store = store
        self.holder = holder
        self.facts = facts
        self.orders = orders
        self.refusals_ = collections.deque(maxlen=MAX_REFUSALS)

    def add_routes(self, router, guarded):
        """Register the handlers with a router.

        :param aiohttp.web.UrlDispatcher router: router of the application.
        :param guarded: function that restricts a handler to operators.
        """
        router.add_get("/config", guarded(self.get_config))
        router.add_post("/config", guarded(self.patch_config))
        router.add_get("/config/history", guarded(self.history))
        router.add_get("/config/refusals", guarded(self.list_refusals))
        router.add_post("/config/restore", guarded(self.restore))
        router.add_get("/local", guarded(self.list_local))
        router.add_post("/local/domain-out", guarded(self.local_domain_out))
        router.add_post("/endpoints/{endpoint_id}/orders", guarded(self.order))

    async def get_config(self, http_request, operator):
        """Handle ``GET /config``: return the version in force at this entry."""
        current = self.holder.current_
        document = current.document.model_dump(mode="json")
        return web.json_response({"version": current.number, "document": document})

    async def patch_config(self, http_request, operator):
        """Handle ``POST /config``: submit a patch of the configuration."""
        body = await _read_json(http_request)
        try:
            fresh_id = base.new_id("patch")
            patch = config.patch_from_json(body, operator, fresh_id)
        except ValueError as error:
            refusal = self._bad_request(
                str(error), 'Send {"against": VERSION, "changes": {...}}'
            )
            return self._refuse_patch(refusal, operator, body, "")
        facts = await self.facts.collect()
        floor = self.holder.current_.number
        result = await self.store.submit(patch, facts, floor)
        return self._answer_patch(result, patch)

    async def restore(self, http_request, operator):
        """Handle ``POST /config/restore``.

        Writes the version in force here back to a platform that has lost it.
        """
        body = await _read_json(http_request)
        requested_id = body.get("patch_id") if isinstance(body, dict) else None
        patch_id = (
            requested_id if isinstance(requested_id, str) else base.new_id("restore")
        )
        current = self.holder.current_
        patch = config.Patch(patch_id, current.number, {}, operator)
        return self._answer_patch(await self.store.restore(current, patch), patch)

    async def history(self, http_request, operator):
        """Handle ``GET /config/history``: return accepted patches, oldest first."""
        before = http_request.query.get("before", "0")
        if not before.isdigit():
            return _refuse(self._bad_request("before: not a version", "Send a number"))
        try:
            entries = await self.store.history(int(before))
        except base.PlatformError as error:
            kind = base.RefusalKind.PLATFORM_DOWN
            return _refuse(base.Refusal(kind, error.message, error.remedy))
        except base.ConfigError as error:
            kind = base.RefusalKind.CONFLICT
            return _refuse(base.Refusal(kind, error.message, error.remedy))
        items = [dataclasses.asdict(entry) for entry in entries]
        return web.json_response({"history": items})

    async def list_refusals(self, http_request, operator):
        """Handle ``GET /config/refusals``.

        Returns the last patches that this entry refused, oldest first.
        """
        return web.json_response({"refusals": list(self.refusals_)})

    async def list_local(self, http_request, operator):
        """Handle ``GET /local``: return the local orders in force at this entry."""
        orders = [dataclasses.asdict(o) for o in self.holder.local_by_domain.values()]
        return web.json_response({"local": orders})

    async def local_domain_out(self, http_request, operator):
        """Handle ``POST /local/domain-out``.

        Takes a failure domain out of service at this entry, until a newer
        configuration version supersedes the order.
        """
        body = await _read_json(http_request)
        domain = body.get("failure_domain") if isinstance(body, dict) else None
        if not self._is_known_domain(domain):
            return _refuse(
                self._bad_request(
                    f"failure_domain: {domain!r} is unknown here",
                    'Send {"failure_domain": NAME} with a configured name',
                )
            )
        number = self.holder.current_.number
        order_id = base.new_id("local")
        order = config.LocalOrder(domain, number, order_id, operator, time.time())
        self.holder.apply_local_order(order, "operator")
        held = self.holder.local_by_domain[domain]
        return web.json_response(dataclasses.asdict(held))

    async def order(self, http_request, operator):
        """Handle ``POST /endpoints/{endpoint_id}/orders``.

        Sends an order to the endpoint, such as to load a model, to change its role
        or to drain.
        """
        endpoint_id = http_request.match_info["endpoint_id"]
        body = await _read_json(http_request)
        try:
            order_id, kind, arguments = _parse_order(body)
        except ValueError as error:
            return _refuse(
                self._bad_request(str(error), 'Send {"kind": ..., "arguments": {}}')
            )
        result = await self.orders.issue(
            endpoint_id, order_id, kind, arguments, operator
        )
        if result.is_error():
            return _responses.refusal_response(result.error, order_id)
        return web.json_response({"order_id": order_id, "fencing": result.ok})

    def _answer_patch(self, result, patch):
        if result.is_error():
            return self._refuse_patch(
                result.error, patch.operator, patch.changes, patch.patch_id
            )
        accepted = result.ok
        if accepted.version is not None:
            self.holder.adopt(accepted.version, "operator", accepted.steps)
        _log.emit(
            base.Event.CONFIG_ACCEPTED,
            config_version=accepted.number,
            patch_id=patch.patch_id,
            operator=patch.operator,
            override=patch.override,
        )
        return web.json_response(
            {"version": accepted.number, "patch_id": patch.patch_id}
        )

    def _refuse_patch(self, refusal, operator, changes, patch_id):
        self.refusals_.append(
            {
                "at": time.time(),
                "operator": operator,
                "patch_id": patch_id,
                "changes": json.dumps(changes)[:MAX_SHOWN_CHARACTERS],
                "kind": str(refusal.kind),
                "setting": refusal.setting,
                "message": refusal.message[:MAX_SHOWN_CHARACTERS],
                "outcome": str(refusal.outcome),
                "config_version": refusal.config_version,
            }
        )
        _log.emit(
            base.Event.CONFIG_REFUSED,
            patch_id=patch_id,
            operator=operator,
            kind=str(refusal.kind),
            setting=refusal.setting,
        )
        return _responses.refusal_response(refusal, patch_id)

    def _is_known_domain(self, domain):
        agents = self.facts.links.directory_.by_id.values()
        return isinstance(domain, str) and (
            domain in self.holder.current_.document.failure_domains
            or any(agent.host.failure_domain == domain for agent in agents)
        )

    def _bad_request(self, message, remedy):
        key = message.partition(":")[0]
        return base.Refusal(
            base.RefusalKind.BAD_REQUEST,
            message,
            remedy,
            config_version=self.holder.current_.number,
            setting=key,
        )


def check_policy(document):
    """Return setting and error of an unknown routing policy, or ``None``.

    :param sequoiagap.config.ConfigDocument document: the configuration document.
    :rtype: tuple[str, str] | None
    """
    try:
        routing.POLICIES.get(document.routing.policy)
    except ValueError as error:
        return "routing.policy", str(error)
    return None


def _parse_order(body):
    if not isinstance(body, dict):
        raise ValueError("body: must be a JSON object")
    try:
        kind = members.OrderKind(body.get("kind"))
    except ValueError as error:
        listed = ", ".join(members.OrderKind)
        raise ValueError(f"kind: must be one of {listed}") from error
    arguments = body.get("arguments", {})
    if not isinstance(arguments, dict):
        raise ValueError("arguments: must be a JSON object")
    order_id = body.get("order_id") or base.new_id("order")
    if not isinstance(order_id, str):
        raise ValueError("order_id: must be text")
    return order_id, kind, arguments


async def _read_json(http_request):
    """Return the JSON body, or ``None`` if it is missing or malformed."""
    try:
        return await http_request.json()
    except ValueError:
        return None


def _refuse(refusal):
    return _responses.refusal_response(refusal, "")
