"""Messages of membership."""

import dataclasses

from sequoiagap import platform, wire


@wire.message(250)
class MemberReport:
    """Heartbeat of an agent to one of the few entries that it reports to.

    :param int interval_ms: when the next one follows, in milliseconds; 0 if none
        follows because the agent has chosen another entry.
    :param int config_version: version in force at the agent.
    """

    interval_ms: int
    config_version: int


@wire.message(251)
class MemberSuspect:
    """An entry no longer hears the reports of an agent.

    :param str node_id: the agent.
    :param str incarnation: the incarnation that went silent.
    """

    node_id: str
    incarnation: str


@wire.message(254)
class DomainSuspect:
    """An entry's connection to an entry of another failure domain went silent.

    :param str failure_domain: the other failure domain.
    """

    failure_domain: str


@wire.message(252)
class MemberHosts:
    """Hosts that the sender knows, for receivers whose list is down.

    :param list hosts: fields of :class:`sequoiagap.platform.HostEntry`.
    """

    hosts: list


@wire.message(253)
class MemberAnnounce:
    """A process that no entry has found says where it is.

    :param dict host: fields of :class:`sequoiagap.platform.HostEntry`.
    """

    host: dict


_FIELD_TYPES = {
    field.name: field.type for field in dataclasses.fields(platform.HostEntry)
}


def host_from_document(document):
    """Return the host of plain data, or ``None`` where it is malformed.

    :param dict document: fields of a host; unknown ones are dropped.
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
    are_right = all(type(value) is _FIELD_TYPES[key] for key, value in known.items())
    return host if are_right else None
