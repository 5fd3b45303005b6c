"""Configuration replica: handles offers, pulls, patches and documents without I/O.

Processes offer the number and digest of their version, and pull higher versions from
peers. The reply to a pull contains patches if the sender still holds them, else the
complete document. A process adopts only a higher version.
"""

import json

from sequoiagap import base
from sequoiagap.config import _local, _messages, _version

UNKNOWN_AGE_MS = -1
MAX_DELTA_BYTES = 65_536

_log = base.get_logger("config")


class ConfigReplica:
    """Handles the configuration messages of one process.

    Each ``on_`` method returns the reply, or ``None`` if there is none.

    :param ConfigHolder holder: holder of the version in force.

    >>> from sequoiagap.config import _holder
    >>> replica = ConfigReplica(_holder.ConfigHolder())
    >>> replica.on_offer(_messages.ConfigOffer(3))
    ConfigPull(above=0, whole=False)
    """

    def __init__(self, holder):
        self.holder = holder
        self._reported = set()

    def offer(self, age_ms=UNKNOWN_AGE_MS):
        """Return the offer of the version in force.

        :param int age_ms: time since the platform confirmed the version, in
            milliseconds.
        :rtype: ConfigOffer
        """
        current = self.holder.current_
        return _messages.ConfigOffer(current.number, current.digest, age_ms)

    def on_offer(self, item):
        """Handle an offer: pull a higher version, reply to a lower one with an offer.

        :param ConfigOffer item: received offer.
        :rtype: ConfigPull | ConfigOffer | None
        """
        current = self.holder.current_
        if item.number > current.number:
            return _messages.ConfigPull(current.number)
        if item.number < current.number:
            return self.offer()
        if item.digest and item.digest != current.digest:
            self._report_fork(item)
        return None

    def on_pull(self, item):
        """Handle a pull: reply with patches or with the document.

        :param ConfigPull item: received pull.
        :rtype: ConfigDelta | ConfigBody | None
        """
        current = self.holder.current_
        if current.number <= item.above:
            return None
        steps = None if item.whole else self.holder.patches_above(item.above)
        if steps is None or sum(map(len, steps)) > MAX_DELTA_BYTES:
            return _messages.ConfigBody(current.number, current.to_json())
        return _messages.ConfigDelta(item.above, steps, current.digest)

    def on_delta(self, item, source):
        """Handle patches: adopt the result, or pull again if they don't apply.

        A gap is closed by a pull from the current version, a wrong digest by a pull
        of the complete document.

        :param ConfigDelta item: received patches.
        :param str source: sender, for the log.
        :rtype: ConfigPull | None
        """
        current = self.holder.current_
        number = item.above + len(item.patches)
        if number <= current.number:
            return None
        if item.above > current.number:
            return _messages.ConfigPull(current.number)
        try:
            patches = [json.loads(text) for text in item.patches]
            version = current.apply(patches[current.number - item.above :])
        except (ValueError, TypeError) as error:
            self.report_malformed(number, source, error)
            return None
        if version.digest != item.digest:
            return _messages.ConfigPull(current.number, whole=True)
        self.holder.adopt(version, source, steps_of(item.above, patches))
        return None

    def on_body(self, item, source):
        """Handle a complete document.

        :param ConfigBody item: received document.
        :param str source: sender, for the log.
        """
        try:
            version = _version.ConfigVersion.from_json(item.number, item.document)
        except ValueError as error:
            self.report_malformed(item.number, source, error)
            return
        self.holder.adopt(version, source)

    def on_local(self, item, source):
        """Handle a local order.

        :param LocalDomainOut item: received order.
        :param str source: sender, for the log.
        """
        order = _local.LocalOrder(
            item.failure_domain, item.against, item.order_id, item.operator, item.at
        )
        self.holder.apply_local_order(order, source)

    def local_orders(self):
        """Return the messages of the local orders in force.

        :rtype: list[LocalDomainOut]
        """
        return [local_message(o) for o in self.holder.local_by_domain.values()]

    def report_malformed(self, number, source, error):
        """Log a malformed version, once for each number and source.

        :param int number: version number.
        :param str source: source of the version.
        :param Exception error: reason why it is malformed.
        """
        if (number, source) in self._reported:
            return
        self._reported.add((number, source))
        _log.emit(
            base.Event.CONFIG_MALFORMED,
            config_version=number,
            kept_version=self.holder.current_.number,
            source=source,
            error=str(error),
        )

    def _report_fork(self, item):
        if (item.number, item.digest) in self._reported:
            return
        self._reported.add((item.number, item.digest))
        _log.emit(base.Event.CONFIG_FORKED, config_version=item.number)


def local_message(order):
    """Return the wire message of a local order.

    :param LocalOrder order: local order.
    :rtype: LocalDomainOut
    """
    return _messages.LocalDomainOut(
        order.failure_domain, order.against, order.order_id, order.operator, order.at
    )


def steps_of(above, patches):
    """Return the steps of successive patches.

    :param int above: number of the version that the patches apply to.
    :param list[dict] patches: merge patches, one for each later version.
    :rtype: list[Step]
    """
    return [
        _version.Step(above + offset, patch)
        for offset, patch in enumerate(patches, start=1)
    ]
