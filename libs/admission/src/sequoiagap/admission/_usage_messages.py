"""Wire messages that exchange usage of client accounts through collectors."""

from sequoiagap import wire


@wire.message(501)
class EntryUsage:
    """Request counts of client accounts at one entry, for a collector.

    :param str entry_id: id of the entry.
    :param bool is_full: whether the message is a full table and not a set of changes;
        in a full table, accounts that are not listed have no requests.
    :param bool wants_total: whether the collector shall reply with the counts at other
        entries.
    :param list accounts: client accounts.
    :param list running: number of requests of each account that hold a slot.
    :param list in_flight: number of requests of each account that run or wait.
    """

    entry_id: str
    is_full: bool
    wants_total: bool
    accounts: list
    running: list
    in_flight: list


@wire.message(502)
class DomainUsage:
    """Request counts of client accounts in one failure domain, from its collector.

    :param str failure_domain: the failure domain.
    :param str collector_id: id of the collector.
    :param int entries: number of entries included.
    :param bool is_full: as in :class:`EntryUsage`.
    :param list accounts: client accounts.
    :param list running: number of requests of each account that hold a slot.
    :param list in_flight: number of requests of each account that run or wait.
    """

    failure_domain: str
    collector_id: str
    entries: int
    is_full: bool
    accounts: list
    running: list
    in_flight: list


@wire.message(503)
class OtherUsage:
    """Request counts of an entry's client accounts at all other entries.

    :param str collector_id: id of the collector that sends the counts.
    :param int entries: number of other entries included.
    :param bool is_full: as in :class:`EntryUsage`.
    :param list accounts: client accounts.
    :param list running: number of requests of each account that hold a slot.
    :param list in_flight: number of requests of each account that run or wait.
    """

    collector_id: str
    entries: int
    is_full: bool
    accounts: list
    running: list
    in_flight: list
