"""Generate docs/EVENTS.md from the catalogue of log events in the code."""

import pathlib

from sequoiagap import base

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEADER = """# Log events

Each process writes one JSON line for each event to standard error, gateways and
agents of ranks to standard output. `number` and the event's name never change their
meaning. Written by `tools/write_events.py`.

| number | event | meaning |
| --- | --- | --- |
"""


def main():
    """Write the page with one table row per event."""
    rows = [
        f"| {int(event)} | `{event.name.lower()}` | {base.CATALOGUE[event]} |\n"
        for event in base.Event
    ]
    (ROOT / "docs/EVENTS.md").write_text(HEADER + "".join(rows))


if __name__ == "__main__":
    main()
