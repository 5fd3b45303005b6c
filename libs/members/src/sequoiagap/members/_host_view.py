"""The platform's host list as a process holds it, and changes between two lists."""

import dataclasses
import hashlib
import json

from sequoiagap import wire
from sequoiagap.members import _messages

MAX_CHANGED_HOSTS = 256
CHECKSUM_BYTES = 8
_MODULUS = 1 << (8 * CHECKSUM_BYTES)


@wire.message(255)
class MemberListChange:
    """The sender has a host list that the platform confirmed a while ago.

    :param str base: digest of the list that the changes start from.
    :param str digest: digest of the list that they lead to; equal to ``base``
        where nothing changed.
    :param int age_ms: how long ago the platform confirmed the list.
    :param list hosts: fields of each :class:`sequoiagap.platform.HostEntry` that
        is new or has changed.
    :param list gone: ids of the hosts that the list no longer shows.
    """

    base: str
    digest: str
    age_ms: int
    hosts: list = dataclasses.field(default_factory=list)
    gone: list = dataclasses.field(default_factory=list)


class HostView:
    """A host list with a digest that a change costs only what it changes.

    :ivar dict by_id: hosts by id.
    :ivar bool has_list_: whether a list was ever taken.

    >>> from sequoiagap import platform
    >>> view = HostView()
    >>> host = platform.HostEntry("e1", "agent", "127.0.0.1", 1, "pnw-a")
    >>> [len(change.hosts) for change in view.replace([host])], view.replace([host])
    ([1], [])
    """

    def __init__(self):
        self.by_id = {}
        self.has_list_ = False
        self._checksum = 0

    @property
    def digest(self):
        """Digest of the list, equal wherever the lists are equal."""
        return f"{self._checksum:016x}"

    def replace(self, hosts):
        """Take a whole list of the platform.

        :param list[sequoiagap.platform.HostEntry] hosts: the list.
        :returns: changes that lead there from the list before, in order; their
            age is 0.
        :rtype: list[MemberListChange]
        """
        self.has_list_ = True
        listed = {host.host_id: host for host in hosts}
        gone = [host_id for host_id in self.by_id if host_id not in listed]
        fresh = [h for h in listed.values() if self.by_id.get(h.host_id) != h]
        changes = []
        while gone or fresh:
            gone_now, gone = _split(gone)
            fresh_now, fresh = _split(fresh)
            base = self.digest
            self._update(fresh_now, gone_now)
            documents = [dataclasses.asdict(host) for host in fresh_now]
            changes.append(MemberListChange(base, self.digest, 0, documents, gone_now))
        return changes

    def apply(self, change):
        """Take changes of another process if they fit the list held here.

        :param MemberListChange change: the changes.
        :returns: whether they were taken.
        :rtype: bool
        """
        if not self.has_list_ or change.base != self.digest:
            return False
        hosts = [_messages.host_from_document(item) for item in change.hosts]
        if None in hosts or not all(isinstance(item, str) for item in change.gone):
            return False
        before = dict(self.by_id), self._checksum
        self._update(hosts, change.gone)
        if self.digest == change.digest:
            return True
        self.by_id, self._checksum = before
        return False

    def _update(self, hosts, gone):
        checksum = self._checksum
        for host_id in [*gone, *(host.host_id for host in hosts)]:
            old = self.by_id.pop(host_id, None)
            checksum -= 0 if old is None else _checksum(old)
        for host in hosts:
            self.by_id[host.host_id] = host
            checksum += _checksum(host)
        self._checksum = checksum % _MODULUS


def _split(items):
    return items[:MAX_CHANGED_HOSTS], items[MAX_CHANGED_HOSTS:]


def _checksum(host):
    text = json.dumps(dataclasses.asdict(host), sort_keys=True)
    digest = hashlib.blake2b(text.encode(), digest_size=CHECKSUM_BYTES).digest()
    return int.from_bytes(digest, "big")
