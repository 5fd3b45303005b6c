"""What became of the requests in a log, second by second, and why.

Beside them stands what the rank groups did: the time that a group did not serve, and
the holds that were left behind.
"""

import collections
import dataclasses
import datetime
import itertools

LONGEST_REASON = 48  # characters
UNFINISHED = "no line says how it ended"
BAR_WIDTH = 14  # of a second in the plot, in pixels
REQUEST_HEIGHT = 3  # of a request in the plot, in pixels
MARGIN = 40  # around the plot, in pixels
LEGEND_LINE = 16  # in pixels
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

_END_BY_EVENT = {}


@dataclasses.dataclass
class Outcomes:
    """Requests by how they ended, and what the groups did.

    :ivar dict count_by_end_by_second: for each second since the first line, how many
        requests that came in it ended in which way.
    :ivar dict request_by_end: id of one request that ended in a way.
    :ivar dict closed_by_second: groups that some agent said not to serve.
    :ivar dict holds_by_second: holds that were found to be left behind.
    """

    count_by_end_by_second: dict
    request_by_end: dict
    closed_by_second: dict
    holds_by_second: dict

    @property
    def count_by_end(self):
        """Requests by how they ended, most first, as a dict."""
        counts = collections.Counter()
        for of_second in self.count_by_end_by_second.values():
            counts.update(of_second)
        return dict(counts.most_common())


def ends(event):
    """Return a decorator that registers how an event names the end of a request.

    :param str event: name of the event.
    """

    def decorate(function):
        _END_BY_EVENT[event] = function
        return function

    return decorate


@ends("request_answered")
def _answered(line):
    return "answered"


@ends("request_refused")
def _refused(line):
    reason = _without_figures(str(line.get("reason", "")))
    return f"refused: {reason}"[:LONGEST_REASON]


@ends("request_cut")
def _cut(line):
    return "cut in the answer"


@ends("caller_left")
def _left(line):
    when = "in the answer" if line.get("started") else "before the first event"
    return f"caller left {when}"


def collect(documents):
    """Read what became of the requests.

    :param documents: what each line of a log says.
    :rtype: Outcomes
    """
    came_at, end_by_request = {}, {}
    closed, holds = collections.Counter(), collections.Counter()
    first_at = None
    for line in documents:
        at = _time(line)
        if at is None:
            continue
        first_at = at if first_at is None else min(first_at, at)
        event, request_id = line.get("event"), line.get("request_id")
        if request_id:
            came_at[request_id] = min(at, came_at.get(request_id, at))
            if event in _END_BY_EVENT:
                end_by_request[request_id] = _END_BY_EVENT[event](line)
        elif event == "group_seen" and line.get("is_open") is False:
            closed[at] += 1
        elif event == "hold_found":
            holds[at] += 1
    return _gather(first_at or 0.0, came_at, end_by_request, closed, holds)


def _gather(first_at, came_at, end_by_request, closed, holds):
    by_second = collections.defaultdict(collections.Counter)
    request_by_end = {}
    for request_id, at in came_at.items():
        end = end_by_request.get(request_id, UNFINISHED)
        by_second[int(at - first_at)][end] += 1
        request_by_end.setdefault(end, request_id)
    closed, holds = _per_second(closed, first_at), _per_second(holds, first_at)
    last = max([0, *by_second, *closed, *holds])
    counts = {second: dict(by_second[second]) for second in range(last + 1)}
    return Outcomes(counts, request_by_end, closed, holds)


def table(outcomes):
    """Return the outcomes as lines of text.

    :param Outcomes outcomes: what to show.
    :rtype: list[str]
    """
    lines = [f"{'requests':>8}  {'how they ended':{LONGEST_REASON}}  for example"]
    for end, count in outcomes.count_by_end.items():
        example = outcomes.request_by_end[end]
        lines.append(f"{count:>8}  {end:{LONGEST_REASON}}  {example}")
    numbered = list(enumerate(outcomes.count_by_end, start=1))
    lines += ["", *(f"({number}) {end}" for number, end in numbered), ""]
    head = "".join(f"{f'({number})':>6}" for number, _ in numbered)
    lines.append(f"{'second':>6}{head}  groups")
    for second, counts in outcomes.count_by_end_by_second.items():
        row = "".join(f"{counts.get(end, 0) or '':>6}" for _, end in numbered)
        lines.append(f"{second:>6}{row}  {_marks(outcomes, second)}".rstrip())
    return lines


def plot(outcomes):
    """Return the outcomes as an SVG picture, a bar for each second.

    :param Outcomes outcomes: what to show.
    :rtype: str
    """
    by_second = outcomes.count_by_end_by_second
    names = list(outcomes.count_by_end)
    most = max((sum(c.values()) for c in by_second.values()), default=0)
    seconds = max(by_second, default=0) + 1
    floor = MARGIN + most * REQUEST_HEIGHT
    height = floor + MARGIN + LEGEND_LINE * len(names)
    width = 2 * MARGIN + max(seconds * BAR_WIDTH, LONGEST_REASON * 8)
    shapes = []
    for second, counts in by_second.items():
        top = floor
        for name, colour in zip(names, itertools.cycle(COLOURS)):
            tall = counts.get(name, 0) * REQUEST_HEIGHT
            top -= tall
            shapes.append(_box(MARGIN + second * BAR_WIDTH, top, tall, colour))
        if _marks(outcomes, second):
            shapes.append(_box(MARGIN + second * BAR_WIDTH, floor + 2, 4, "#000000"))
    for line, (name, colour) in enumerate(zip(names, itertools.cycle(COLOURS))):
        top = floor + MARGIN + line * LEGEND_LINE
        shapes.append(_box(MARGIN, top - 10, 10, colour))
        shapes.append(f'<text x="{MARGIN + 20}" y="{top}">{_escaped(name)}</text>')
    body = "\n".join(shapes)
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" '
        f'font-family="sans-serif" font-size="12">\n{body}\n</svg>\n'
    )


def _marks(outcomes, second):
    marks = []
    if outcomes.closed_by_second.get(second):
        marks.append("down")
    if outcomes.holds_by_second.get(second):
        marks.append("hold left behind")
    return ", ".join(marks)


def _box(left, top, tall, colour):
    wide = BAR_WIDTH - 2
    return (
        f'<rect x="{left}" y="{top}" width="{wide}" height="{tall}" fill="{colour}"/>'
    )


def _escaped(text):
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;")


def _per_second(count_by_time, first_at):
    counts = collections.Counter()
    for at, count in count_by_time.items():
        counts[int(at - first_at)] += count
    return dict(counts)


def _without_figures(reason):
    return "".join("#" if letter.isdigit() else letter for letter in reason)


def _time(line):
    try:
        moment = datetime.datetime.fromisoformat(str(line.get("timestamp", "")))
    except ValueError:
        return None
    return moment.timestamp()
