"""Messages that spread configuration versions and local orders."""

from sequoiagap import wire


@wire.message(100)
class ConfigOffer:
    """The sender has a version in force.

    :param int number: the version.
    :param str digest: digest of its content; empty if the sender gives none.
    :param int age_ms: how long ago the platform confirmed to the sender, or to
        whom it heard from, that there is none newer; -1 if unknown.
    """

    number: int
    digest: str = ""
    age_ms: int = -1


@wire.message(101)
class ConfigPull:
    """The sender wants a version above the one it has.

    :param int above: the version that it has.
    :param bool whole: whether it wants the document and no patches.
    """

    above: int
    whole: bool = False


@wire.message(102)
class ConfigBody:
    """A configuration version, its document as JSON text."""

    number: int
    document: str


@wire.message(103)
class ConfigDelta:
    """The patches from one version to a later one.

    :param int above: the version that they start from.
    :param list patches: JSON texts of merge patches, one for each number above.
    :param str digest: digest of the content that they lead to.
    """

    above: int
    patches: list
    digest: str


@wire.message(104)
class LocalDomainOut:
    """An operator's local order, see :class:`LocalOrder`."""

    failure_domain: str
    against: int
    order_id: str
    operator: str
    at: float
