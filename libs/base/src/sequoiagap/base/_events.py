"""Structured log events: their numbers, catalogue and output as JSON lines.

The number of an event never changes its meaning. ``docs/EVENTS.md`` is the
catalogue for operators; a test compares it with :data:`CATALOGUE`.
"""

import enum
import logging
import sys
import time

import structlog

from sequoiagap.base import _line_limiter

MAX_TEMPLATE_CHARACTERS = 120


class Event(enum.IntEnum):
    """Log events and their numbers, grouped by the hundred."""

    PROCESS_STARTED = 1001
    PROCESS_READY = 1002
    PROCESS_STOPPING = 1003
    PROCESS_STOPPED = 1004
    TASK_FAILED = 1005
    PROCESS_RELOADED = 1006
    RELOAD_FAILED = 1007
    STATE_DUMPED = 1008
    LIBRARY_WARNING = 1009
    HANDLER_FAILED = 1010
    LINK_OPENED = 1101
    LINK_CLOSED = 1102
    LINK_SILENT = 1103
    FRAME_REJECTED = 1104
    LINK_UNREACHABLE = 1105
    REQUEST_ADMITTED = 1201
    REQUEST_REFUSED = 1202
    REQUEST_ANSWERED = 1203
    ATTEMPT_SENT = 1204
    ATTEMPT_ENDED = 1205
    ATTEMPT_REVOKED = 1206
    REQUEST_CUT = 1207
    ATTEMPT_REATTACHED = 1208
    ATTEMPT_DUPLICATE = 1209
    CLAIM_WRITE_FAILED = 1210
    RUN_ABANDONED = 1211
    CONNECTION_SUSPECT = 1212
    STREAM_RESUMED = 1213
    CALLER_LEFT = 1214
    REQUEST_WAITED = 1215
    ATTEMPT_LINGERS = 1216
    RETRY_DECIDED = 1217
    CONFIG_ADOPTED = 1301
    CONFIG_ACCEPTED = 1302
    CONFIG_REFUSED = 1303
    PLATFORM_UNREACHABLE = 1304
    PLATFORM_REACHABLE = 1305
    CONFIG_MALFORMED = 1306
    PLATFORM_BEHIND = 1307
    CONFIG_FORKED = 1308
    LOCAL_ORDER_TAKEN = 1309
    LOCAL_ORDER_ENDED = 1310
    WATCH_STARTED = 1311
    WATCH_STOPPED = 1312
    ORDER_ISSUED = 1313
    ORDER_REFUSED = 1314
    ORDER_DONE = 1315
    STORE_RETURNED = 1316
    READING_OVERTAKEN = 1317
    REGISTERED_AGAIN = 1318
    ENDPOINT_STATE = 1401
    ENDPOINT_SEEN = 1402
    ENDPOINT_GONE = 1403
    ENDPOINT_TURNED_COLD = 1404
    ENDPOINT_DOUBTED = 1405
    ENDPOINT_RECORD_BAD = 1406
    DOMAINS_OUT = 1407
    ENDPOINT_RESTARTED = 1408
    ENDPOINT_CRASHED = 1409
    PART_QUARANTINED = 1410
    PART_RELEASED = 1411
    CRASH_CALL_FAILED = 1412
    ENDPOINT_LIMITED = 1413
    RATE_LIMIT_INVALID = 1414
    ENDPOINT_LEAVES = 1415
    ENDPOINT_PAUSED = 1416
    ANSWER_HEADER_INVALID = 1417
    ENDPOINT_SUSPECT = 1420
    ENDPOINT_LEAVING = 1421
    PEER_OPENED = 1422
    PEER_CLOSED = 1423
    LINK_ON_DEMAND = 1424
    RANK_STARTED = 1501
    RANK_JOINED = 1502
    RANK_UNREACHABLE = 1503
    RANK_ORDER_FAILED = 1504
    MAP_ORDERED = 1505
    GROUP_STALLED = 1506
    GROUP_STEPS = 1507
    WEIGHTS_FAILED = 1508
    MAP_PLANNED = 1509
    ROUND_ENDED = 1510
    MAP_UNKNOWN = 1511
    MAP_CHANGE_BEGAN = 1512
    MAP_CHANGE_ENDED = 1513
    RANK_ORDER_SENT = 1514
    HOLD_RESOLVED = 1515
    GROUP_SEEN = 1516
    GROUP_LED = 1517
    RANK_SILENT = 1518
    HOLD_FOUND = 1519
    KEEPER_ASKED = 1520
    MAP_CHANGE_WAITS = 1521
    GROUP_FOLLOWED = 1522
    USAGE_EXPIRED = 1601
    ADMISSION_OVERLOADED = 1602
    ADMISSION_CALM = 1603


CATALOGUE = {
    Event.PROCESS_STARTED: "A process has started; the fields give role and addresses.",
    Event.PROCESS_READY: "A process is ready and accepts work.",
    Event.PROCESS_STOPPING: "A process is shutting down and rejects new work.",
    Event.PROCESS_STOPPED: "A process has stopped.",
    Event.TASK_FAILED: "A background task ended with an error.",
    Event.PROCESS_RELOADED: "Keys and certificates were reloaded.",
    Event.RELOAD_FAILED: "Keys or certificates are invalid; the old ones stay in use.",
    Event.STATE_DUMPED: "State dump of a process, requested by SIGUSR1.",
    Event.LIBRARY_WARNING: "A library logged a warning; the values in it are omitted.",
    Event.HANDLER_FAILED: "An HTTP handler of the entry raised an error; report it.",
    Event.LINK_OPENED: "A connection to another process is open.",
    Event.LINK_CLOSED: "A connection to another process has closed.",
    Event.LINK_SILENT: "A peer missed its heartbeats; the connection was closed.",
    Event.FRAME_REJECTED: "A frame or handshake did not follow the protocol.",
    Event.LINK_UNREACHABLE: "No connection to an agent; the entry keeps retrying.",
    Event.REQUEST_ADMITTED: "A caller's request was admitted.",
    Event.REQUEST_REFUSED: "A caller's request was rejected, with kind and setting.",
    Event.REQUEST_ANSWERED: "A caller received the complete answer.",
    Event.ATTEMPT_SENT: "An attempt was sent to an endpoint's agent.",
    Event.ATTEMPT_ENDED: "An attempt ended, with its outcome.",
    Event.ATTEMPT_REVOKED: "An attempt was revoked; the agent reported its state.",
    Event.REQUEST_CUT: "An answer was cut short; the caller was notified.",
    Event.ATTEMPT_REATTACHED: "An entry resumes an answer by its attempt id.",
    Event.ATTEMPT_DUPLICATE: "An attempt was received twice; the second was dropped.",
    Event.CLAIM_WRITE_FAILED: "Claims of idempotency keys could not be stored or read.",
    Event.RUN_ABANDONED: "A run was stopped because no caller waits for its answer.",
    Event.CONNECTION_SUSPECT: "Connections to an endpoint failed; none is reused.",
    Event.STREAM_RESUMED: "A cut stream continues at its offset on the same engine.",
    Event.ATTEMPT_LINGERS: "A connection outlives its abandoned attempt.",
    Event.RETRY_DECIDED: "The retry budget granted or denied a further attempt.",
    Event.CALLER_LEFT: "A caller disconnected before it had the complete answer.",
    Event.REQUEST_WAITED: "A request waited until its rank group served again.",
    Event.CONFIG_ADOPTED: "A process adopted a configuration version.",
    Event.CONFIG_ACCEPTED: "An operator's patch was accepted as a version.",
    Event.CONFIG_REFUSED: "An operator's patch was rejected.",
    Event.PLATFORM_UNREACHABLE: "The platform does not answer.",
    Event.PLATFORM_REACHABLE: "The platform answers again.",
    Event.CONFIG_MALFORMED: "A version is invalid; the process keeps the one in use.",
    Event.STORE_RETURNED: "The store was restored from a copy, with both eras.",
    Event.READING_OVERTAKEN: "A reading older than the known store state was dropped.",
    Event.REGISTERED_AGAIN: "A process's record in the store was rewritten.",
    Event.PLATFORM_BEHIND: "The platform has an older version than the one in force.",
    Event.CONFIG_FORKED: "A peer has different content under the same version.",
    Event.LOCAL_ORDER_TAKEN: "A local order that takes a failure domain out is active.",
    Event.LOCAL_ORDER_ENDED: "A configuration version superseded a local order.",
    Event.WATCH_STARTED: "This entry watches the configuration on the platform.",
    Event.WATCH_STOPPED: "Other entries of the domain watch the configuration now.",
    Event.ORDER_ISSUED: "An order to an endpoint got its fencing number.",
    Event.ORDER_REFUSED: "An agent rejected an order to its endpoint.",
    Event.ORDER_DONE: "An endpoint has executed an order.",
    Event.ENDPOINT_STATE: "An endpoint changed its state.",
    Event.ENDPOINT_SEEN: "An endpoint was discovered.",
    Event.ENDPOINT_GONE: "An endpoint is no longer used.",
    Event.ENDPOINT_TURNED_COLD: "An endpoint is held to its cold limit, with reason.",
    Event.ENDPOINT_DOUBTED: "An endpoint's connection closed; its state is queried.",
    Event.ENDPOINT_RECORD_BAD: "A record of the store is invalid and is ignored.",
    Event.DOMAINS_OUT: "Operators took failure domains out of service or back in.",
    Event.ENDPOINT_RESTARTED: "An endpoint restarted; the store has its earlier start.",
    Event.MAP_CHANGE_BEGAN: "A change of expert map began, with its reason.",
    Event.MAP_CHANGE_ENDED: "A change of expert map ended, with its result.",
    Event.RANK_ORDER_SENT: "An order was sent to a rank's engine, with its result.",
    Event.HOLD_RESOLVED: "An abandoned hold was released.",
    Event.GROUP_SEEN: "A rank group re-formed or changed its state.",
    Event.RANK_SILENT: "The agent of a rank did not answer a request.",
    Event.HOLD_FOUND: "An abandoned hold was found and will be released.",
    Event.MAP_CHANGE_WAITS: "A leader postpones a change of expert map, with reason.",
    Event.GROUP_FOLLOWED: "A leader's view of its ranks: report ages, silence, bytes.",
    Event.KEEPER_ASKED: "A leader requested to keep a hold, or to allow arming.",
    Event.GROUP_LED: "This agent gained or lost the lead of its rank group.",
    Event.USAGE_EXPIRED: "An entry's usage report is too old and no longer counted.",
    Event.ADMISSION_OVERLOADED: "Requests are queued or shed for lack of capacity.",
    Event.ADMISSION_CALM: "No request is queued for capacity any longer.",
    Event.ENDPOINT_CRASHED: "An endpoint ended; requests without output were cut.",
    Event.PART_QUARANTINED: "Requests with a part that crashes endpoints are withheld.",
    Event.PART_RELEASED: "Requests with a part are no longer withheld.",
    Event.CRASH_CALL_FAILED: "Crashes could not be saved in the store, or read.",
    Event.ENDPOINT_LIMITED: "An endpoint states another rate limit, or none any more.",
    Event.RATE_LIMIT_INVALID: "The rate limit in an answer is invalid and is ignored.",
    Event.ENDPOINT_LEAVES: "A start of an endpoint will end and gets no new requests.",
    Event.ENDPOINT_PAUSED: "An endpoint wants no requests from here for a time.",
    Event.ANSWER_HEADER_INVALID: "A header of an answer is invalid and is ignored.",
    Event.ENDPOINT_SUSPECT: "An agent's reports stopped; it gets no new work.",
    Event.ENDPOINT_LEAVING: "An endpoint's agent announced that it is leaving.",
    Event.PEER_OPENED: "A connection to another entry is open.",
    Event.PEER_CLOSED: "A connection to another entry has closed.",
    Event.LINK_ON_DEMAND: "A link to a further agent was opened for a request.",
    Event.RANK_STARTED: "A rank's engine or agent has started and queries its peers.",
    Event.RANK_JOINED: "A peer answered a rank; joined says if it is a member.",
    Event.RANK_UNREACHABLE: "The engine of a rank does not answer its agent.",
    Event.RANK_ORDER_FAILED: "An order about the expert map failed at the engine.",
    Event.MAP_ORDERED: "The engine executed an order about its expert map.",
    Event.GROUP_STALLED: "A rank group can't step; it receives no requests.",
    Event.GROUP_STEPS: "A rank group steps again.",
    Event.WEIGHTS_FAILED: "Weights of an expert map could not be loaded.",
    Event.MAP_PLANNED: "A new expert map was planned, with moves and expected skew.",
    Event.ROUND_ENDED: "A round of a change of expert map ended, with its phase.",
    Event.MAP_UNKNOWN: "No queried rank has the expert map that is needed.",
}

_WARNINGS = frozenset(
    {
        Event.RANK_UNREACHABLE,
        Event.GROUP_STALLED,
        Event.WEIGHTS_FAILED,
        Event.RANK_ORDER_FAILED,
        Event.TASK_FAILED,
        Event.RELOAD_FAILED,
        Event.LIBRARY_WARNING,
        Event.HANDLER_FAILED,
        Event.LINK_SILENT,
        Event.FRAME_REJECTED,
        Event.LINK_UNREACHABLE,
        Event.REQUEST_CUT,
        Event.ATTEMPT_LINGERS,
        Event.CLAIM_WRITE_FAILED,
        Event.CONNECTION_SUSPECT,
        Event.PLATFORM_UNREACHABLE,
        Event.CONFIG_MALFORMED,
        Event.PLATFORM_BEHIND,
        Event.STORE_RETURNED,
        Event.REGISTERED_AGAIN,
        Event.CONFIG_FORKED,
        Event.ENDPOINT_SUSPECT,
    }
)


_limiter = _line_limiter.LineLimiter()


class Logger:
    """Writes the numbered log events of one component.

    The process limits the rate of lines of each event. The first line after
    suppressed ones carries their number in the field ``suppressed``.

    :param str component: name of the component.
    """

    def __init__(self, component):
        self.component = component
        self._log = structlog.get_logger(component=component)

    def emit(self, event, **fields):
        """Write one event, unless the rate limit suppresses it.

        :param Event event: event to write.
        :param fields: fields of the event; never prompts, answers or keys.
        """
        suppressed = _limiter.acquire(int(event), time.monotonic())
        if suppressed is None:
            return
        if suppressed:
            fields["suppressed"] = suppressed
        write = self._log.warning if event in _WARNINGS else self._log.info
        write(event.name.lower(), number=int(event), **fields)


def get_logger(component):
    """Return the logger of a component.

    :param str component: name of the component.
    :rtype: Logger
    """
    return Logger(component)


def suppressed_lines():
    """Return how many log lines were suppressed so far, by name of the event.

    :rtype: dict[str, int]
    """
    counts = _limiter.suppressed_by_number
    return {Event(number).name.lower(): count for number, count in counts.items()}


def configure_logs(level="info", stream=None, **fields):
    """Configure logging as JSON lines and reset the rate limits.

    :param str level: minimum level: ``debug``, ``info`` or ``warning``.
    :param stream: text stream to write to; standard error by default.
    :param fields: fields added to each line, such as the node id.
    """
    global _limiter
    _limiter = _line_limiter.LineLimiter()
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=True,
    )
    _redirect_library_logs()
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(**fields)


class _LibraryHandler(logging.Handler):
    """Converts warnings of third-party libraries to events.

    Only the message template is logged: its values may contain caller data.
    """

    def emit(self, record):
        """Write a log record as an event."""
        error = record.exc_info[0] if record.exc_info else None
        get_logger("library").emit(
            Event.LIBRARY_WARNING,
            library=record.name,
            template=str(record.msg)[:MAX_TEMPLATE_CHARACTERS],
            error=error.__name__ if error else "",
        )


def _redirect_library_logs():
    """Replace the handlers of the root logger by :class:`_LibraryHandler`."""
    root = logging.getLogger()
    for handler in list(root.handlers):
        root.removeHandler(handler)
    root.addHandler(_LibraryHandler(logging.WARNING))
