"""The version that a process acts on; it only ever goes up."""

import asyncio

from sequoiagap import base
from sequoiagap.config import _document

_log = base.get_logger("config")


class ConfigHolder:
    """Holds the highest configuration version that the process has met.

    :ivar ConfigVersion current_: the version in force.
    :ivar asyncio.Event known_: set once a version above 0 is in force.

    >>> holder = ConfigHolder()
    >>> holder.adopt(_document.ConfigVersion(2), "platform")
    True
    >>> holder.adopt(_document.ConfigVersion(1), "peer")
    False
    """

    def __init__(self):
        self.current_ = _document.ConfigVersion()
        self.known_ = asyncio.Event()
        self._listeners = []

    def add_listener(self, listener):
        """Call a function with each version that is adopted from now on.

        :param listener: function that takes a :class:`ConfigVersion`.
        """
        self._listeners.append(listener)

    def adopt(self, version, source):
        """Put a version in force if it is higher than the current one.

        :param ConfigVersion version: the version offered.
        :param str source: where it came from, for the log.
        :returns: whether it was adopted.
        :rtype: bool
        """
        if version.number <= self.current_.number:
            return False
        self.current_ = version
        self.known_.set()
        _log.emit(
            base.Event.CONFIG_ADOPTED, config_version=version.number, source=source
        )
        for listener in self._listeners:
            listener(version)
        return True
