"""Local copy of the platform's host list, updated by complete lists or changes."""

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
    """Changes between two host lists, with the age of the newer one.

    :param str base: digest of the list that the changes apply to.
    :param str digest: digest of the resulting list; equal to ``base`` if nothing
        changed.
    :param int age_ms: time since the platform confirmed the list, in
        milliseconds.
    :param list hosts: fields of each :class:`sequoiagap.platform.HostEntry` that
        was added or changed.
    :param list gone: ids of the hosts that were removed from the list.
    """

    base: str
    digest: str
    age_ms: int
    hosts: list = dataclasses.field(default_factory=list)
    gone: list = dataclasses.field(default_factory=list)


class HostView:
    """Holds a host list and its digest.

    The digest is a sum of checksums of the hosts, so that the cost of an update is
    proportional to the change and not to the length of the list.

    :ivar dict by_id: :class:`sequoiagap.platform.HostEntry` by host id.
    :ivar bool has_list_: whether a complete list was received.

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
        """Digest of the list; equal lists have equal digests."""
        return f"{self._checksum:016x}"

    def replace(self, hosts):
        """Replace the list by a complete list of the platform.

        :param list[sequoiagap.platform.HostEntry] hosts: the new list.
        :returns: changes from the previous list to the new one, in order, each with
            at most ``MAX_CHANGED_HOSTS`` added and removed hosts; their age is 0.
        :rtype: list[MemberListChange]
        """
        self.has_list_ = True
        listed = {host.host_id: host for host in hosts}
        gone = [host_id for host_id in self.by_id if host_id not in listed]
        changed = [h for h in listed.values() if self.by_id.get(h.host_id) != h]
        changes = []
        while gone or changed:
            gone_now, gone = _split_batch(gone)
            changed_now, changed = _split_batch(changed)
            base = self.digest
            self._update(changed_now, gone_now)
            documents = [dataclasses.asdict(host) for host in changed_now]
            changes.append(MemberListChange(base, self.digest, 0, documents, gone_now))
        return changes

    def apply(self, change):
        """Apply changes received from another process if they match the local list.

        The list stays as it is if the base differs, if a host is malformed or if
        the result doesn't have the digest of the message.

        :param MemberListChange change: received changes.
        :returns: whether the changes were applied.
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


def _split_batch(items):
    return items[:MAX_CHANGED_HOSTS], items[MAX_CHANGED_HOSTS:]


def _checksum(host):
    text = json.dumps(dataclasses.asdict(host), sort_keys=True)
    digest = hashlib.blake2b(text.encode(), digest_size=CHECKSUM_BYTES).digest()
    return int.from_bytes(digest, "big")
