"""Messages that spread configuration versions."""

from sequoiagap import wire


@wire.message(100)
class ConfigOffer:
    """The sender has adopted a version."""

    number: int


@wire.message(101)
class ConfigPull:
    """The sender wants a version above the one it has."""

    above: int


@wire.message(102)
class ConfigBody:
    """A configuration version, its document as JSON text."""

    number: int
    document: str
