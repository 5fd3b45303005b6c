"""Wire messages that propagate configuration versions and local orders."""

from sequoiagap import wire


@wire.message(100)
class ConfigOffer:
    """Offer of the version that is in force at the sender.

    :param int number: version number.
    :param str digest: digest of its content; empty if the sender does not send one.
    :param int age_ms: time since the platform confirmed, to the sender or to a peer
        of it, that there is no newer version, in milliseconds; -1 if unknown.
    """

    number: int
    digest: str = ""
    age_ms: int = -1


@wire.message(101)
class ConfigPull:
    """Request for a version above the one that is in force at the sender.

    :param int above: version number at the sender.
    :param bool whole: whether to send the complete document and no patches.
    """

    above: int
    whole: bool = False


@wire.message(102)
class ConfigBody:
    """Configuration version with its complete document as JSON text."""

    number: int
    document: str


@wire.message(103)
class ConfigDelta:
    """Patches from one version to a later one.

    :param int above: version number that the patches apply to.
    :param list patches: JSON texts of merge patches, one for each later version.
    :param str digest: digest of the resulting content.
    """

    above: int
    patches: list
    digest: str


@wire.message(104)
class LocalDomainOut:
    """Local order of an operator, see :class:`LocalOrder`."""

    failure_domain: str
    against: int
    order_id: str
    operator: str
    at: float
