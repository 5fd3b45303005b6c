"""Wire messages of membership: heartbeats, suspicions and known hosts."""

import dataclasses

from sequoiagap import platform, wire


@wire.message(250)
class MemberReport:
    """Heartbeat of an agent to one of the few entries that it reports to.

    :param int interval_ms: time until the next report, in milliseconds; 0 if none
        follows because the agent reports to another entry.
    :param int config_version: configuration version in force at the agent.
    """

    interval_ms: int
    config_version: int


@wire.message(251)
class MemberSuspect:
    """Suspicion of an agent whose reports to an entry have stopped.

    :param str node_id: id of the agent.
    :param str incarnation: incarnation whose reports have stopped.
    """

    node_id: str
    incarnation: str


@wire.message(254)
class DomainSuspect:
    """Suspicion of a failure domain to which an entry's connection went silent.

    :param str failure_domain: the suspected failure domain.
    """

    failure_domain: str


@wire.message(252)
class MemberHosts:
    """Hosts known to the sender, for receivers that can't read the platform's list.

    :param list hosts: fields of each :class:`sequoiagap.platform.HostEntry`.
    """

    hosts: list


@wire.message(253)
class MemberAnnounce:
    """Announcement of the address of a process that no entry has connected to.

    :param dict host: fields of :class:`sequoiagap.platform.HostEntry`.
    """

    host: dict


_FIELD_TYPES = {
    field.name: field.type for field in dataclasses.fields(platform.HostEntry)
}


def host_from_document(document):
    """Return the host described by plain data, or ``None`` if it is malformed.

    :param dict document: fields of a host; unknown fields are ignored.
    :rtype: sequoiagap.platform.HostEntry | None

    >>> host_from_document({"host_id": 3}) is None
    True
    """
    if not isinstance(document, dict):
        return None
    known = {key: document[key] for key in _FIELD_TYPES if key in document}
    try:
        host = platform.HostEntry(**known)
    except TypeError:
        return None
    has_valid_types = all(
        type(value) is _FIELD_TYPES[key] for key, value in known.items()
    )
    return host if has_valid_types else None
