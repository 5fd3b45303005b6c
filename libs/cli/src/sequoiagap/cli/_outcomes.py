"""Outcomes of the requests in a log, counted for each second.

The counts are shown together with events of rank groups that explain them: seconds in
which a group did not serve, and abandoned holds.
"""

import collections
import dataclasses
import datetime
import itertools

MAX_REASON_CHARACTERS = 48
UNFINISHED = "no line says how it ended"
BAR_WIDTH = 14  # pixels per second
REQUEST_HEIGHT = 3  # pixels per request
MARGIN = 40  # pixels around the plot
LEGEND_LINE = 16  # pixels per line of the legend
COLOURS = (
    "#4c9f70",
    "#d1495b",
    "#edae49",
    "#30638e",
    "#8d6a9f",
    "#8c8c8c",
    "#c97b4a",
    "#5fb0b7",
)

_END_FUNCTION_BY_EVENT = {}


@dataclasses.dataclass
class Outcomes:
    """Outcomes of requests, and events of rank groups, by second since the first line.

    :ivar dict count_by_end_by_second: for each second, the number of requests that
        arrived in it, by their outcome.
    :ivar dict request_by_end: id of one example request for each outcome.
    :ivar dict closed_by_second: reports of agents that their group does not serve.
    :ivar dict holds_by_second: abandoned holds that were found.
    """

    count_by_end_by_second: dict
    request_by_end: dict
    closed_by_second: dict
    holds_by_second: dict

    @property
    def count_by_end(self):
        """Number of requests by outcome, most frequent first."""
        counts = collections.Counter()
        for counts_of_second in self.count_by_end_by_second.values():
            counts.update(counts_of_second)
        return dict(counts.most_common())


def names_end(event):
    """Return a decorator that registers a function that names a request's outcome.

    :param str event: name of the event that ends a request.
    """

    def decorate(function):
        _END_FUNCTION_BY_EVENT[event] = function
        return function

    return decorate


@names_end("request_answered")
def _answered(line):
    return "answered"


@names_end("request_refused")
def _refused(line):
    reason = _mask_digits(str(line.get("reason", "")))
    return f"refused: {reason}"[:MAX_REASON_CHARACTERS]


@names_end("request_cut")
def _cut(line):
    return "cut in the answer"


@names_end("caller_left")
def _left(line):
    when = "in the answer" if line.get("started") else "before the first event"
    return f"caller left {when}"


def collect(documents):
    """Return the outcomes of all requests in a log.

    :param documents: iterable of the JSON objects of a log's lines.
    :rtype: Outcomes
    """
    arrived_at, end_by_request = {}, {}
    closed, holds = collections.Counter(), collections.Counter()
    first_at = None
    for line in documents:
        at = _parse_timestamp(line)
        if at is None:
            continue
        first_at = at if first_at is None else min(first_at, at)
        event, request_id = line.get("event"), line.get("request_id")
        if request_id:
            arrived_at[request_id] = min(at, arrived_at.get(request_id, at))
            if event in _END_FUNCTION_BY_EVENT:
                end_by_request[request_id] = _END_FUNCTION_BY_EVENT[event](line)
        elif event == "group_seen" and line.get("is_open") is False:
            closed[at] += 1
        elif event == "hold_found":
            holds[at] += 1
    return _build_outcomes(first_at or 0.0, arrived_at, end_by_request, closed, holds)


def _build_outcomes(first_at, arrived_at, end_by_request, closed, holds):
    by_second = collections.defaultdict(collections.Counter)
    request_by_end = {}
    for request_id, at in arrived_at.items():
        end = end_by_request.get(request_id, UNFINISHED)
        by_second[int(at - first_at)][end] += 1
        request_by_end.setdefault(end, request_id)
    closed, holds = _per_second(closed, first_at), _per_second(holds, first_at)
    last = max([0, *by_second, *closed, *holds])
    counts = {second: dict(by_second[second]) for second in range(last + 1)}
    return Outcomes(counts, request_by_end, closed, holds)


def table(outcomes):
    """Return the outcomes as lines of a text table.

    :param Outcomes outcomes: outcomes to show.
    :rtype: list[str]
    """
    lines = [
        f"{'requests':>8}  {'how they ended':{MAX_REASON_CHARACTERS}}  for example"
    ]
    for end, count in outcomes.count_by_end.items():
        example = outcomes.request_by_end[end]
        lines.append(f"{count:>8}  {end:{MAX_REASON_CHARACTERS}}  {example}")
    numbered = list(enumerate(outcomes.count_by_end, start=1))
    lines += ["", *(f"({number}) {end}" for number, end in numbered), ""]
    head = "".join(f"{f'({number})':>6}" for number, _ in numbered)
    lines.append(f"{'second':>6}{head}  groups")
    for second, counts in outcomes.count_by_end_by_second.items():
        row = "".join(f"{counts.get(end, 0) or '':>6}" for _, end in numbered)
        lines.append(f"{second:>6}{row}  {_describe_groups(outcomes, second)}".rstrip())
    return lines


def plot(outcomes):
    """Return the outcomes as an SVG chart with one stacked bar per second.

    :param Outcomes outcomes: outcomes to show.
    :rtype: str
    """
    by_second = outcomes.count_by_end_by_second
    names = list(outcomes.count_by_end)
    max_requests = max((sum(c.values()) for c in by_second.values()), default=0)
    seconds = max(by_second, default=0) + 1
    baseline = MARGIN + max_requests * REQUEST_HEIGHT
    height = baseline + MARGIN + LEGEND_LINE * len(names)
    width = 2 * MARGIN + max(seconds * BAR_WIDTH, MAX_REASON_CHARACTERS * 8)
    shapes = []
    for second, counts in by_second.items():
        top = baseline
        for name, colour in zip(names, itertools.cycle(COLOURS)):
            box_height = counts.get(name, 0) * REQUEST_HEIGHT
            top -= box_height
            shapes.append(_box(MARGIN + second * BAR_WIDTH, top, box_height, colour))
        if _describe_groups(outcomes, second):
            shapes.append(_box(MARGIN + second * BAR_WIDTH, baseline + 2, 4, "#000000"))
    for line, (name, colour) in enumerate(zip(names, itertools.cycle(COLOURS))):
        top = baseline + MARGIN + line * LEGEND_LINE
        shapes.append(_box(MARGIN, top - 10, 10, colour))
        shapes.append(f'<text x="{MARGIN + 20}" y="{top}">{_escaped(name)}</text>')
    body = "\n".join(shapes)
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" '
        f'font-family="sans-serif" font-size="12">\n{body}\n</svg>\n'
    )


def _describe_groups(outcomes, second):
    marks = []
    if outcomes.closed_by_second.get(second):
        marks.append("down")
    if outcomes.holds_by_second.get(second):
        marks.append("abandoned hold")
    return ", ".join(marks)


def _box(left, top, box_height, colour):
    box_width = BAR_WIDTH - 2
    return (
        f'<rect x="{left}" y="{top}" width="{box_width}" height="{box_height}" '
        f'fill="{colour}"/>'
    )


def _escaped(text):
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;")


def _per_second(count_by_time, first_at):
    counts = collections.Counter()
    for at, count in count_by_time.items():
        counts[int(at - first_at)] += count
    return dict(counts)


def _mask_digits(reason):
    return "".join("#" if character.isdigit() else character for character in reason)


def _parse_timestamp(line):
    try:
        moment = datetime.datetime.fromisoformat(str(line.get("timestamp", "")))
    except ValueError:
        return None
    return moment.timestamp()
