"""Orders that hold only until the platform's version overtakes them."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class LocalOrder:
    """An operator's order, given at an entry, that a failure domain be out.

    :param str failure_domain: what receives no new work.
    :param int against: version in force where it was given; the order ends
        wherever a higher one is in force.
    :param str order_id: unique id of the order.
    :param str operator: who gave it.
    :param float at: wall-clock time, seconds since the epoch.

    >>> LocalOrder("north", 4, "order-1", "ann", 0.0).is_overtaken(5)
    True
    """

    failure_domain: str
    against: int
    order_id: str
    operator: str
    at: float

    def is_overtaken(self, number):
        """Return whether a version in force ends the order.

        :param int number: the version.
        :rtype: bool
        """
        return number > self.against
