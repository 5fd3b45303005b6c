"""What an endpoint says of itself."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """What an endpoint says of itself; it lags.

    :param str start_id: changes whenever the endpoint starts anew.
    :param bool cold: whether it calls itself cold.
    :param int in_flight: requests that run there.
    :param running: ids of those requests, or ``None`` if it does not tell.
    :param str role: its role, or empty if it names none.
    """

    start_id: str
    cold: bool
    in_flight: int
    running: list[str] | None = None
    role: str = ""

    def may_run(self, attempt_id):
        """Return whether an attempt may run there.

        :param str attempt_id: the attempt.
        :rtype: bool
        """
        if self.running is None:
            return self.in_flight > 0
        return attempt_id in self.running


def from_document(document):
    """Return the report of an endpoint's JSON document.

    :param dict document: what ``GET /load`` answered.
    :rtype: LoadReport
    :raises KeyError: if it lacks a value.
    """
    return LoadReport(
        document["start_id"],
        document["cold"],
        document["in_flight"],
        document.get("running"),
        str(document.get("role", "")),
    )
