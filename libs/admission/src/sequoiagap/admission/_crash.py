"""Crashes of endpoints and the requests that they accuse."""

import collections
import dataclasses

OUTAGE_SPAN_S = 2.0  # crashes this soon after the first one are the same outage


@dataclasses.dataclass(frozen=True)
class Crash:
    """Crash of an endpoint, with the requests that had not been served any output.

    :param str crash_id: identifies the run of the endpoint that ended.
    :param float at: when it was noticed, in seconds.
    :param frozenset prompts: parts of each cut request, as tuples: its prompt parts,
        and last a part of its own, which only the same request has again.
    :param bool is_confirmed: whether the endpoint has started again since. Until then
        it may only be out of reach.
    """

    crash_id: str
    at: float
    prompts: frozenset
    is_confirmed: bool = True

    def accuses(self, part):
        """Return whether a request with a part was cut."""
        return any(part in prompt for prompt in self.prompts)


@dataclasses.dataclass(frozen=True)
class Accusation:
    """A cut request with a certain part.

    :param float at: when its endpoint crashed, in seconds.
    :param frozenset parts: all parts of the request.
    :param str crash_id: id of the crash.
    """

    at: float
    parts: frozenset
    crash_id: str


def accusations_by_part(crashes, select_parts=lambda prompt: prompt):
    """Return the :class:`Accusation` of each cut request, by part.

    :param crashes: iterable of :class:`Crash`.
    :param select_parts: function that returns which parts of a request count.
    :rtype: dict[str, list[Accusation]]
    """
    found = collections.defaultdict(list)
    for crash in crashes:
        for prompt in crash.prompts:
            accusation = Accusation(crash.at, frozenset(prompt), crash.crash_id)
            for part in select_parts(prompt):
                found[part].append(accusation)
    return found


def count_outages(times):
    """Return how many outages crashes at these times belong to.

    :param times: iterable of times in seconds.
    :rtype: int
    """
    count, began = 0, float("-inf")
    for at in sorted(times):
        if at - began > OUTAGE_SPAN_S:
            count += 1
            began = at
    return count
