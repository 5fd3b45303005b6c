"""Messages of the usage of client accounts, by way of collectors."""

from sequoiagap import wire


@wire.message(501)
class EntryUsage:
    """What client accounts have at one entry; changes only, unless full.

    :param str entry_id: the entry.
    :param bool is_full: whether accounts not named have nothing.
    :param bool wants_total: whether the collector is to hand the rest back.
    :param list accounts: client accounts.
    :param list running: requests of each that hold a slot.
    :param list in_flight: requests of each that run or wait.
    """

    entry_id: str
    is_full: bool
    wants_total: bool
    accounts: list
    running: list
    in_flight: list


@wire.message(502)
class DomainUsage:
    """What client accounts have in one failure domain, from a collector there.

    :param str failure_domain: the failure domain.
    :param str collector_id: the collector.
    :param int entries: how many entries are counted.
    :param bool is_full: whether accounts not named have nothing.
    :param list accounts: client accounts.
    :param list running: requests of each that hold a slot.
    :param list in_flight: requests of each that run or wait.
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
    """What the accounts of an entry have at all other entries.

    :param str collector_id: the collector that hands it back.
    :param int entries: how many other entries are counted.
    :param bool is_full: whether accounts not named have nothing.
    :param list accounts: client accounts.
    :param list running: requests of each that hold a slot.
    :param list in_flight: requests of each that run or wait.
    """

    collector_id: str
    entries: int
    is_full: bool
    accounts: list
    running: list
    in_flight: list
