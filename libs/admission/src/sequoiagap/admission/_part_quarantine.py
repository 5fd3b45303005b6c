"""Finds requests and prompt parts that crash endpoints, and withholds such requests.

Each of these requests takes down the endpoint that starts to answer it, with everything
that runs there. A single crash accuses the parts of all requests that it cut before
their first output; comparing several crashes shows what they have in common.
"""

import collections
import dataclasses

from sequoiagap.admission import _crash

MIN_OUTAGES = 2  # one may have another cause
MIN_CRASHES_TOGETHER = 3  # in one outage, if all have the part in common
MAX_SHARE_TOGETHER = 0.5  # of the cut requests; a part of more is just a common one
MIN_OUTAGES_AFTER_SERVING = 4  # a part that was served before is likely innocent
MIN_CRASHES_BY_REQUEST = 2  # of endpoints that the same request was sent to in turn
QUARANTINE_S = 60.0
MAX_QUARANTINE_S = 3600.0
TRIAL_S = 10.0  # by then the outcome of a single trial request is known
CRASH_KEPT_S = 3600.0
MAX_CRASHES = 32
MAX_SERVED_PARTS = 10_000


@dataclasses.dataclass
class Suspicion:
    """A part that enough outages, or crashes by one request, have in common.

    :ivar str part: id of the part.
    :ivar int outages: outages that accuse it since it was served last; for the own part
        of a request, crashes.
    :ivar int requests: requests with it that were cut in these outages.
    :ivar float until: end of its quarantine, in seconds.
    :ivar frozenset companions: suspected parts that all these requests have too. Only
        requests with all of them are withheld, until it is known which one crashes.
    """

    part: str
    outages: int
    requests: int
    until: float
    companions: frozenset = frozenset()

    @property
    def weight(self):
        """Sort key: many outages first, then the few requests of a rare part."""
        return self.outages, -self.requests


class PartQuarantine:
    """Withholds requests with a part that several outages have in common.

    The fewest parts are suspected that explain the outages. Prompt parts are shared by
    many requests, so only confirmed crashes accuse them. The own part of a request
    stands for that request alone: two endpoints that crashed under it are enough, also
    within one outage.

    A part is innocent as soon as it is served after the last crash that accuses it. A
    quarantine ends after a while, longer after each further outage; then one request at
    a time is let through.

    All times are those of a clock that counts suspensions, in seconds.

    :ivar dict suspicion_by_part: :class:`Suspicion` of each quarantined part.
    :ivar dict accused_at_by_part: when the newest crash that accuses a part happened.
    """

    def __init__(self):
        self.suspicion_by_part = {}
        self.accused_at_by_part = {}
        self._crash_by_id = {}
        self._served_at_by_part = collections.OrderedDict()

    def crashes(self):
        """Return the known crashes.

        :rtype: list[Crash]
        """
        return list(self._crash_by_id.values())

    def crashes_with(self, parts):
        """Return the known crashes that accuse any of the given parts.

        :param parts: iterable of parts.
        :rtype: list[Crash]
        """
        parts = set(parts)
        return [
            crash
            for crash in self._crash_by_id.values()
            if any(parts.intersection(prompt) for prompt in crash.prompts)
        ]

    def served_at(self, part):
        """Return when a part was served last, or ``None``.

        :param str part: id of the part.
        :rtype: float | None
        """
        return self._served_at_by_part.get(part)

    def record_crash(self, crash):
        """Record a crash, or more about a known one.

        :param Crash crash: the crash.
        :returns: whether it was news.
        :rtype: bool
        """
        known = self._crash_by_id.get(crash.crash_id)
        if known is not None:
            merged = dataclasses.replace(
                known,
                prompts=known.prompts | crash.prompts,
                is_confirmed=known.is_confirmed or crash.is_confirmed,
            )
            if merged == known:
                return False
            crash = merged
        self._crash_by_id[crash.crash_id] = crash
        self._drop_old_crashes()
        self._update_suspicions()
        return True

    def record_served(self, parts, at):
        """Record that output of a request was received.

        :param tuple parts: its prompt parts; the last one is its own.
        :param float at: when.
        :returns: those parts whose suspicion this changes.
        :rtype: list[str]
        """
        changed = []
        for part in parts:
            is_accused = part in self.accused_at_by_part
            if part == parts[-1] and not is_accused:
                continue  # no other request has it
            before = self._served_at_by_part.pop(part, None)
            self._served_at_by_part[part] = at if before is None else max(before, at)
            if is_accused and self._changes_suspicion(part, before, at):
                changed.append(part)
        while len(self._served_at_by_part) > MAX_SERVED_PARTS:
            self._served_at_by_part.popitem(last=False)
        if not self.suspicion_by_part.keys().isdisjoint(changed):
            self._update_suspicions()
        return changed

    def find(self, parts, now):
        """Return the suspicion for which a request is withheld, or ``None``.

        :param tuple parts: prompt parts of the request.
        :param float now: the time.
        :rtype: Suspicion | None
        """
        for part in parts:
            suspicion = self.suspicion_by_part.get(part)
            if suspicion is None or now >= suspicion.until:
                continue
            if suspicion.companions.issubset(parts):
                return suspicion
        return None

    def record_sent(self, parts, now):
        """Record that a request is sent, which may be the trial of a part.

        :param tuple parts: prompt parts of the request.
        :param float now: the time.
        """
        for part in parts:
            suspicion = self.suspicion_by_part.get(part)
            if suspicion is not None and now >= suspicion.until:
                suspicion.until = now + TRIAL_S

    def _changes_suspicion(self, part, before, at):
        """Return whether being served once more changes what crashes say of a part."""
        accused_at = self.accused_at_by_part[part]
        return before is None or before <= accused_at < at

    def _drop_old_crashes(self):
        crashes = sorted(self._crash_by_id.values(), key=lambda crash: crash.at)
        newest_at = crashes[-1].at
        self._crash_by_id = {
            crash.crash_id: crash
            for crash in crashes[-MAX_CRASHES:]
            if newest_at - crash.at <= CRASH_KEPT_S
        }
        self.accused_at_by_part = {
            part: crash.at
            for crash in self._crash_by_id.values()
            for prompt in crash.prompts
            for part in prompt
        }

    def _update_suspicions(self):
        unexplained = self._confirmed_crashes()
        suspicion_by_part = {}
        while found := self._find_heaviest(unexplained):
            suspicion_by_part |= found
            unexplained = [
                crash for crash in unexplained if not any(map(crash.accuses, found))
            ]
        suspicion_by_part |= self._suspect_requests()
        for part, suspicion in suspicion_by_part.items():
            known = self.suspicion_by_part.get(part)
            if known is not None and known.outages == suspicion.outages:
                suspicion.until = known.until
        self.suspicion_by_part = suspicion_by_part

    def _confirmed_crashes(self):
        return [crash for crash in self._crash_by_id.values() if crash.is_confirmed]

    def _suspect_requests(self):
        """Return the suspicions of single requests, by their own part."""
        suspicion_by_part = {}
        accusations_by_part = _crash.accusations_by_part(
            self._crash_by_id.values(), lambda prompt: prompt[-1:]
        )
        for part, accusations in accusations_by_part.items():
            served_at = self._served_at_by_part.get(part, float("-inf"))
            crashed_at_by_id = {
                a.crash_id: a.at for a in accusations if a.at > served_at
            }
            crashes = len(crashed_at_by_id)
            if crashes >= MIN_CRASHES_BY_REQUEST:
                suspicion_by_part[part] = Suspicion(
                    part=part,
                    outages=crashes,
                    requests=len(accusations),
                    until=max(crashed_at_by_id.values())
                    + _quarantine_s(crashes - MIN_CRASHES_BY_REQUEST),
                )
        return suspicion_by_part

    def _find_heaviest(self, crashes):
        """Return the suspicions with the largest weight, by part."""
        suspicions = [
            self._suspect(part, accusations)
            for part, accusations in _crash.accusations_by_part(crashes).items()
            if len(accusations) >= MIN_OUTAGES
        ]
        suspicions = [suspicion for suspicion in suspicions if suspicion is not None]
        weight = max((suspicion.weight for suspicion in suspicions), default=None)
        found = {s.part: s for s in suspicions if s.weight == weight}
        for suspicion in found.values():
            suspicion.companions &= found.keys()
        return found

    def _suspect(self, part, accusations):
        """Return the suspicion of a part, or ``None`` if too little accuses it."""
        served_at = self._served_at_by_part.get(part)
        needed = MIN_OUTAGES
        if served_at is not None:
            needed = MIN_OUTAGES_AFTER_SERVING
            accusations = [a for a in accusations if a.at > served_at]
        outages = _crash.count_outages(a.at for a in accusations)
        if served_at is None and self._explains_one_outage(part, accusations):
            outages = max(outages, needed)
        if outages < needed:
            return None
        return Suspicion(
            part=part,
            outages=outages,
            requests=len(accusations),
            until=max(a.at for a in accusations) + _quarantine_s(outages - needed),
            companions=frozenset.intersection(*(a.parts for a in accusations)) - {part},
        )

    def _explains_one_outage(self, part, accusations):
        """Return whether several endpoints crashed together that have a part in common.

        Most of the requests that were cut must be without it: endpoints that were
        lost together for another cause have common parts in common too.
        """
        newest_at = max(a.at for a in accusations)
        crashes = [
            crash
            for crash in self._confirmed_crashes()
            if abs(crash.at - newest_at) <= _crash.OUTAGE_SPAN_S
        ]
        prompts = [prompt for crash in crashes for prompt in crash.prompts]
        with_part = sum(part in prompt for prompt in prompts)
        return (
            len(crashes) >= MIN_CRASHES_TOGETHER
            and all(crash.accuses(part) for crash in crashes)
            and with_part <= MAX_SHARE_TOGETHER * len(prompts)
        )


def _quarantine_s(further):
    """Return the length of a quarantine, longer with each further outage or crash."""
    return min(QUARANTINE_S * 2**further, MAX_QUARANTINE_S)
