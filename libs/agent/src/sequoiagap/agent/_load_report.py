"""Load report of an endpoint."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """State and load that an endpoint reports; the report may lag.

    :param str start_id: changes whenever the endpoint restarts.
    :param bool cold: whether the endpoint reports that it is cold.
    :param int in_flight: number of requests that run at the endpoint.
    :param running: ids of those requests, or ``None`` if not reported.
    :param str role: role of the endpoint; empty if not reported.
    """

    start_id: str
    cold: bool
    in_flight: int
    running: list[str] | None = None
    role: str = ""

    def may_run(self, attempt_id):
        """Return whether an attempt may be running at the endpoint.

        :param str attempt_id: the attempt.
        :rtype: bool
        """
        if self.running is None:
            return self.in_flight > 0
        return attempt_id in self.running


def from_document(document):
    """Return the load report in a JSON document of an endpoint.

    :param dict document: body of the response to ``GET /load``.
    :rtype: LoadReport
    :raises KeyError: if a required value is missing.
    """
    return LoadReport(
        document["start_id"],
        document["cold"],
        document["in_flight"],
        document.get("running"),
        str(document.get("role", "")),
    )
