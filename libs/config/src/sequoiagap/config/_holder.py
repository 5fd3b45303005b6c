"""Configuration version and local orders in force in a process."""

import asyncio
import json

from sequoiagap import base
from sequoiagap.config import _version

MAX_STEPS = 128

_log = base.get_logger("config")


class ConfigHolder:
    """Holds the highest configuration version that the process has received.

    The version in force never decreases.

    :ivar ConfigVersion current_: version in force.
    :ivar asyncio.Event has_version_: set once a version above 0 is in force.
    :ivar asyncio.Event ready_: set once the process may accept work, because it has
        the highest version that it could reach.
    :ivar dict local_by_domain: each :class:`LocalOrder` in force, by failure domain.

    >>> holder = ConfigHolder()
    >>> holder.adopt(_version.ConfigVersion(2), "platform")
    True
    >>> holder.adopt(_version.ConfigVersion(1), "peer")
    False
    """

    def __init__(self):
        self.current_ = _version.ConfigVersion()
        self.has_version_ = asyncio.Event()
        self.ready_ = asyncio.Event()
        self.local_by_domain = {}
        self._patch_by_number = {}
        self._listeners = []
        self._local_listeners = []

    def add_listener(self, listener):
        """Register a function that is called with each adopted version.

        :param listener: function that takes a :class:`ConfigVersion`.
        """
        self._listeners.append(listener)

    def add_local_listener(self, listener):
        """Register a function that is called with each new local order.

        :param listener: function that takes a :class:`LocalOrder`.
        """
        self._local_listeners.append(listener)

    def adopt(self, version, source, steps=()):
        """Put a version in force if it is higher than the current one.

        :param ConfigVersion version: received version.
        :param str source: source of the version, for the log.
        :param steps: latest steps to the version, as far as the source knows them.
        :type steps: collections.abc.Iterable[Step]
        :returns: whether it was adopted.
        :rtype: bool
        """
        if version.number <= self.current_.number:
            return False
        self.current_ = version
        self._store_patches(steps)
        self.has_version_.set()
        self._remove_superseded_orders()
        _log.emit(
            base.Event.CONFIG_ADOPTED, config_version=version.number, source=source
        )
        for listener in self._listeners:
            listener(version)
        return True

    def patches_above(self, number):
        """Return the patches from a version to the current one.

        :param int number: version that the patches start from.
        :returns: JSON texts of the patches, or ``None`` if one of them is not held.
        :rtype: list[str] | None
        """
        wanted = range(number + 1, self.current_.number + 1)
        texts = [self._patch_by_number.get(item) for item in wanted]
        return None if None in texts else texts

    def apply_local_order(self, order, source):
        """Put a local order in force unless the current version supersedes it.

        :param LocalOrder order: received order.
        :param str source: source of the order, for the log.
        :returns: whether the order was put in force by this call.
        :rtype: bool
        """
        existing = self.local_by_domain.get(order.failure_domain)
        if order.is_superseded(self.current_.number):
            return False
        if existing is not None and existing.against >= order.against:
            return False
        self.local_by_domain[order.failure_domain] = order
        _log.emit(
            base.Event.LOCAL_ORDER_TAKEN,
            failure_domain=order.failure_domain,
            operator=order.operator,
            against=order.against,
            source=source,
        )
        for listener in self._local_listeners:
            listener(order)
        return True

    def blocking_setting(self, failure_domain, endpoint_id):
        """Return the setting that blocks new work at an endpoint.

        :param str failure_domain: failure domain of the endpoint.
        :param str endpoint_id: id of the endpoint.
        :returns: path of the setting; empty if work is allowed.
        :rtype: str
        """
        document = self.current_.document
        domain = document.failure_domains.get(failure_domain)
        endpoint = document.endpoints.get(endpoint_id)
        if domain is not None and domain.state == "out":
            return f"failure_domains.{failure_domain}.state"
        if failure_domain in self.local_by_domain:
            return f"local.{failure_domain}"
        if endpoint is not None and endpoint.drain:
            return f"endpoints.{endpoint_id}.drain"
        return ""

    def _store_patches(self, steps):
        for step in steps:
            self._patch_by_number[step.number] = json.dumps(step.patch)
        oldest = self.current_.number - MAX_STEPS
        for number in [item for item in self._patch_by_number if item <= oldest]:
            del self._patch_by_number[number]

    def _remove_superseded_orders(self):
        number = self.current_.number
        for domain, order in list(self.local_by_domain.items()):
            if order.is_superseded(number):
                del self.local_by_domain[domain]
                _log.emit(
                    base.Event.LOCAL_ORDER_ENDED,
                    failure_domain=domain,
                    config_version=number,
                )
