"""Reader of log files, and the decisions about a request that they contain."""

import dataclasses
import json

from sequoiagap import base

_STANDARD_FIELDS = frozenset(
    {"component", "event", "level", "node", "number", "request_id", "timestamp"}
)


@dataclasses.dataclass(frozen=True)
class LoggedDecision:
    """A log line about a request.

    :param str at: timestamp of the line.
    :param str node: node id of the process that wrote it.
    :param str step: name of the event.
    :param dict details: remaining fields of the line.
    """

    at: str
    node: str
    step: str
    details: dict


def find_decisions(path, request_id):
    """Return the lines of a log file about a request, ordered by time.

    Lines without JSON are ignored, and so is text before the JSON, which some log
    collectors insert.

    :param str path: path of the log file.
    :param str request_id: id of the request.
    :rtype: list[LoggedDecision]
    :raises sequoiagap.base.ConfigError: if the file can't be read.
    """
    documents = read_lines(path)
    found = [
        _decision(document)
        for document in documents
        if document.get("request_id") == request_id
    ]
    return sorted(found, key=lambda decision: decision.at)


def read_lines(path):
    """Yield the JSON object of each line of a log file; ignore lines without one.

    :param str path: path of the log file.
    :rtype: collections.abc.Iterator[dict]
    :raises sequoiagap.base.ConfigError: if the file can't be read.
    """
    try:
        with open(path, encoding="utf-8", errors="replace") as log:
            for line in log:
                document = _parse(line)
                if document is not None:
                    yield document
    except OSError as error:
        raise base.ConfigError(
            f"{path}: can't be read ({error})", "Check the path and its permissions"
        ) from error


def _parse(line):
    start = line.find("{")
    try:
        document = json.loads(line[start:]) if start >= 0 else None
    except ValueError:
        return None
    return document if isinstance(document, dict) else None


def _decision(document):
    return LoggedDecision(
        at=str(document.get("timestamp", "")),
        node=str(document.get("node", "")),
        step=str(document.get("event", "")),
        details={k: v for k, v in document.items() if k not in _STANDARD_FIELDS},
    )
