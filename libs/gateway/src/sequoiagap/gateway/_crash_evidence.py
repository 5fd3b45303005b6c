"""Collects which requests crashed endpoints, and shares this among the gateways.

A gateway sees only some of the crashes, and only its own requests. All gateways merge
what each has seen: crashes, by the run of the endpoint that ended, and the parts of
requests that were served although a crash accuses them.
"""

import dataclasses

from sequoiagap import admission, base
from sequoiagap.gateway import _messages

ALIVE_AFTER_S = 0.5  # a report sent before the connection ended may arrive later
RESTART_TIMEOUT_S = 15.0  # an endpoint that returns later did not crash by a request

_log = base.get_logger("crashes")


@dataclasses.dataclass
class _Cut:
    """Requests without output whose connections to an endpoint ended.

    :param routes.Endpoint endpoint: the endpoint.
    :param float at: when the first one ended, in seconds.
    :ivar set prompts: parts of each, as tuples.
    """

    endpoint: object
    at: float
    prompts: set = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True)
class _Changes:
    """Parts that are withheld or released since an earlier moment."""

    withheld: set
    released: set


class CrashEvidence:
    """Tells from cut requests and restarts which requests crash endpoints.

    The parts of a request are its prompt parts and, last, its fingerprint.

    All times are those of a clock that counts suspensions, in seconds.

    :param share: function that sends a message to all connected gateways.
    :param CrashArchive archive: keeps the crashes behind a quarantine.

    :ivar admission.PartQuarantine quarantine: withholds requests.
    """

    message_types = (_messages.CrashReport, _messages.PartServed)

    def __init__(self, share, archive):
        self.share = share
        self.archive = archive
        self.quarantine = admission.PartQuarantine()
        self._cut_by_address = {}
        self._parts_known_served = set()
        self._logged_parts = set()

    def record_cut(self, endpoint, parts, now):
        """Record a request without output whose connection to an endpoint ended.

        :param routes.Endpoint endpoint: the endpoint.
        :param tuple parts: parts of the request.
        :param float now: the time.
        """
        if not endpoint.started_ms:
            return
        address = endpoint.host_and_port
        cut = self._cut_by_address.get(address)
        if cut is None or cut.endpoint.started_ms != endpoint.started_ms:
            cut = self._cut_by_address[address] = _Cut(endpoint, now)
        cut.prompts.add(parts)

    def record_served(self, parts, at, now):
        """Record that output of a request was received.

        :param tuple parts: parts of the request.
        :param float at: when.
        :param float now: the time.
        """
        changed = self.quarantine.record_served(parts, at)
        if not changed:
            return
        for part in changed:
            self._share_served(part, now)
        released = self.quarantine.crashes_with(self._log_changes(now).released)
        needed = self.quarantine.crashes_with(self.quarantine.suspicion_by_part)
        self.archive.delete(
            {crash.crash_id for crash in released}
            - {crash.crash_id for crash in needed}
        )

    def record_refused(self, endpoint, now):
        """Record that an endpoint refuses connections after it had cut requests.

        Most likely it has crashed; its next start will confirm that.

        :param routes.Endpoint endpoint: the endpoint.
        :param float now: the time.
        """
        cut = self._cut_by_address.get(endpoint.host_and_port)
        if cut is not None and cut.endpoint.started_ms == endpoint.started_ms:
            self._record_crash(cut, now, is_confirmed=False)

    def record_start(self, address, started_ms, now):
        """Record the start of the process at an address, as reported or registered.

        A later start than that of the requests' endpoint proves a crash; the same start
        disproves it.

        :param str address: ``address:port`` of the endpoint.
        :param int started_ms: start of the process, Unix milliseconds; 0 if not known.
        :param float now: the time.
        """
        cut = self._cut_by_address.get(address)
        if cut is None or not started_ms:
            return
        if started_ms > cut.endpoint.started_ms and now - cut.at < RESTART_TIMEOUT_S:
            self._record_crash(cut, now, is_confirmed=True)
        elif now - cut.at < ALIVE_AFTER_S:
            return
        del self._cut_by_address[address]

    def record_registered_starts(self, endpoints, now):
        """Record the starts of all registered endpoints.

        :param endpoints: iterable of :class:`routes.Endpoint`.
        :param float now: the time.
        """
        if not self._cut_by_address:
            return
        for endpoint in endpoints:
            cut = self._cut_by_address.get(endpoint.host_and_port)
            # The registry may still hold the start that has ended.
            if cut is not None and endpoint.started_ms > cut.endpoint.started_ms:
                self.record_start(endpoint.host_and_port, endpoint.started_ms, now)

    async def load(self, clock):
        """Merge the crashes that earlier gateways saved in the store.

        :param clock: function that returns the time.
        """
        for crash in await self.archive.load(clock):
            self.quarantine.record_crash(crash)
        self._log_changes(clock())

    def save_again(self, now):
        """Save what the store may have lost, as it was restored from a copy.

        :param float now: the time.
        """
        parts = self.quarantine.suspicion_by_part.keys()
        self.archive.save(self.quarantine.crashes_with(parts), now)

    def snapshot(self, now):
        """Return the messages that tell another gateway everything.

        :param float now: the time.
        :rtype: list
        """
        messages = []
        parts = set()
        for crash in self.quarantine.crashes():
            messages.append(_crash_report(crash, now))
            parts |= {part for prompt in crash.prompts for part in prompt}
        for part in sorted(parts):
            served_at = self.quarantine.served_at(part)
            if served_at is not None:
                messages.append(_messages.PartServed(part, now - served_at))
        return messages

    def handle(self, item, now):
        """Merge a message of another gateway.

        :param item: a :class:`CrashReport` or :class:`PartServed`.
        :param float now: the time.
        :returns: whether it was news, so that others should have it too.
        :rtype: bool
        """
        if isinstance(item, _messages.PartServed):
            self._parts_known_served.add(item.part)
            is_news = bool(
                self.quarantine.record_served((item.part,), now - item.age_s)
            )
        else:
            is_news = self.quarantine.record_crash(_read_report(item, now))
            if is_news:
                self._answer_report(item, now)
        self._log_changes(now)
        return is_news

    def _record_crash(self, cut, now, is_confirmed):
        endpoint = cut.endpoint
        crash = admission.Crash(
            f"{endpoint.endpoint_id}.{endpoint.started_ms}",
            cut.at,
            frozenset(cut.prompts),
            is_confirmed,
        )
        _log.emit(
            base.Event.ENDPOINT_CRASHED,
            endpoint=endpoint.endpoint_id,
            prompts=sorted(map(list, crash.prompts)),
            noticed_ago_s=round(now - cut.at, 2),
            confirmed=is_confirmed,
        )
        if self.quarantine.record_crash(crash):
            report = _crash_report(crash, now)
            self.share(report)
            self._answer_report(report, now)
        withheld = self._log_changes(now).withheld
        to_save = self.quarantine.crashes_with(withheld)
        if not to_save:
            suspected = self.quarantine.suspicion_by_part
            to_save = [
                known
                for known in self.quarantine.crashes_with(suspected)
                if known.crash_id == crash.crash_id
            ]
        self.archive.save(to_save, now)

    def _answer_report(self, report, now):
        """Share which of the accused parts this gateway has seen served."""
        self._parts_known_served &= self.quarantine.accused_at_by_part.keys()
        for part in {part for prompt in report.prompts for part in prompt}:
            is_served = self.quarantine.served_at(part) is not None
            if is_served and part not in self._parts_known_served:
                self._share_served(part, now)

    def _share_served(self, part, now):
        self._parts_known_served.add(part)
        age_s = now - self.quarantine.served_at(part)
        self.share(_messages.PartServed(part, age_s))

    def _log_changes(self, now):
        """Log and return which parts are withheld and released since the last call."""
        current = self.quarantine.suspicion_by_part
        changes = _Changes(
            withheld=current.keys() - self._logged_parts,
            released=self._logged_parts - current.keys(),
        )
        for part in changes.withheld:
            suspicion = current[part]
            _log.emit(
                base.Event.PART_QUARANTINED,
                part=part,
                outages=suspicion.outages,
                requests=suspicion.requests,
                companions=sorted(suspicion.companions),
                for_s=round(suspicion.until - now, 1),
            )
        for part in changes.released:
            _log.emit(base.Event.PART_RELEASED, part=part)
        self._logged_parts = set(current)
        return changes


def _crash_report(crash, now):
    prompts = [list(prompt) for prompt in sorted(crash.prompts)]
    return _messages.CrashReport(
        crash.crash_id, now - crash.at, prompts, crash.is_confirmed
    )


def _read_report(report, now):
    prompts = frozenset(tuple(map(str, prompt)) for prompt in report.prompts)
    return admission.Crash(
        report.crash_id, now - report.age_s, prompts, report.is_confirmed
    )
