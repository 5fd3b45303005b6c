"""Local orders, in force until a higher configuration version supersedes them."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class LocalOrder:
    """Order of an operator at an entry to take a failure domain out of service.

    :param str failure_domain: failure domain that receives no new work.
    :param int against: version in force at that entry when the order was given; a
        process with a higher version in force ignores the order.
    :param str order_id: unique id of the order.
    :param str operator: operator who gave the order.
    :param float at: time of the order, seconds since the epoch.

    >>> LocalOrder("north", 4, "order-1", "ann", 0.0).is_superseded(5)
    True
    """

    failure_domain: str
    against: int
    order_id: str
    operator: str
    at: float

    def is_superseded(self, number):
        """Return whether a version in force supersedes the order.

        :param int number: number of the version.
        :rtype: bool
        """
        return number > self.against
