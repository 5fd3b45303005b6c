"""Finds prompt parts that crash endpoints, and withholds requests that contain them.

Each request with such a part takes down the endpoint that starts to answer it, with
everything that runs there. A single crash accuses the parts of all requests that it cut
before their first output; comparing several crashes shows what they have in common.
"""

import collections
import dataclasses

MIN_OUTAGES = 2  # one may have another cause
MIN_CRASHES_TOGETHER = 3  # in one outage, if all have the part in common
MAX_SHARE_TOGETHER = 0.5  # of the cut requests; a part of more is just a common one
MIN_OUTAGES_AFTER_SERVING = 4  # a part that was served before is likely innocent
OUTAGE_SPAN_S = 2.0  # crashes this soon after the first one are the same outage
QUARANTINE_S = 60.0
MAX_QUARANTINE_S = 3600.0
TRIAL_S = 10.0  # by then the outcome of a single trial request is known
CRASH_KEPT_S = 3600.0
MAX_CRASHES = 32
MAX_SERVED_PARTS = 10_000


@dataclasses.dataclass(frozen=True)
class Crash:
    """Crash of an endpoint, with the requests that had not been served any output.

    :param str crash_id: identifies the run of the endpoint that ended.
    :param float at: when it was noticed, in seconds.
    :param frozenset prompts: prompt parts of each cut request, as tuples; the last part
        of each is the request's own.
    """

    crash_id: str
    at: float
    prompts: frozenset


@dataclasses.dataclass
class Suspicion:
    """A prompt part that enough outages have in common.

    :ivar str part: id of the part.
    :ivar int outages: outages that accuse it since it was served last.
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
    """Withholds requests with a prompt part that several outages have in common.

    The fewest parts are suspected that explain the outages. A part is innocent as soon
    as it is served after the last crash that accuses it. A quarantine ends after a
    while, longer after each further outage; then one request at a time is let through.

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
        """Record a crash, or further requests that a known crash cut.

        :param Crash crash: the crash.
        :returns: whether it was news.
        :rtype: bool
        """
        known = self._crash_by_id.get(crash.crash_id)
        if known is not None:
            prompts = known.prompts | crash.prompts
            if prompts == known.prompts:
                return False
            crash = dataclasses.replace(known, prompts=prompts)
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
        unexplained = list(self._crash_by_id.values())
        suspicion_by_part = {}
        while found := self._find_heaviest(unexplained):
            suspicion_by_part |= found
            unexplained = [
                crash
                for crash in unexplained
                if not any(_accuses(crash, part) for part in found)
            ]
        for part, suspicion in suspicion_by_part.items():
            known = self.suspicion_by_part.get(part)
            if known is not None and known.outages == suspicion.outages:
                suspicion.until = known.until
        self.suspicion_by_part = suspicion_by_part

    def _find_heaviest(self, crashes):
        """Return the suspicions with the largest weight, by part."""
        suspicions = [
            self._suspect(part, accusations)
            for part, accusations in _accusations_by_part(crashes).items()
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
            accusations = [(at, prompt) for at, prompt in accusations if at > served_at]
        outages = _count_outages(at for at, _ in accusations)
        if served_at is None and self._explains_one_outage(part, accusations):
            outages = max(outages, needed)
        if outages < needed:
            return None
        length_s = min(QUARANTINE_S * 2 ** (outages - needed), MAX_QUARANTINE_S)
        return Suspicion(
            part=part,
            outages=outages,
            requests=len(accusations),
            until=max(at for at, _ in accusations) + length_s,
            companions=frozenset.intersection(*(p for _, p in accusations)) - {part},
        )

    def _explains_one_outage(self, part, accusations):
        """Return whether several endpoints crashed together that have a part in common.

        Most of the requests that were cut must be without it: endpoints that were
        lost together for another cause have common parts in common too.
        """
        newest_at = max(at for at, _ in accusations)
        crashes = [
            crash
            for crash in self._crash_by_id.values()
            if abs(crash.at - newest_at) <= OUTAGE_SPAN_S
        ]
        prompts = [prompt for crash in crashes for prompt in crash.prompts]
        with_part = sum(part in prompt for prompt in prompts)
        return (
            len(crashes) >= MIN_CRASHES_TOGETHER
            and all(_accuses(crash, part) for crash in crashes)
            and with_part <= MAX_SHARE_TOGETHER * len(prompts)
        )


def _accusations_by_part(crashes):
    """Return time and prompt of each cut request, by each part that it had."""
    accusations_by_part = collections.defaultdict(list)
    for crash in crashes:
        for prompt in map(frozenset, crash.prompts):
            for part in prompt:
                accusations_by_part[part].append((crash.at, prompt))
    return accusations_by_part


def _accuses(crash, part):
    return any(part in prompt for prompt in crash.prompts)


def _count_outages(times):
    """Return how many outages crashes at these times belong to."""
    count, began = 0, float("-inf")
    for at in sorted(times):
        if at - began > OUTAGE_SPAN_S:
            count += 1
            began = at
    return count
