"""Generate docs/METRICS.md from the catalogue of metrics in the code."""

import pathlib

from sequoiagap import base

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEADER = """# Metrics

`GET /metrics` of an entry gives its own, `GET /metrics/ENDPOINT` those of an
endpoint's agent; both need an operator key. Each name has the prefix
`sequoiagap_` and the label `node`. Durations are summaries with the quantiles
0.5, 0.95 and 0.99 since the start of the process. A metric keeps at most 64
series; what comes after them is added to a series labelled `other`. Written by
`tools/write_metrics.py`.

| metric | meaning |
| --- | --- |
"""


def main():
    """Write the page with one table row per metric."""
    rows = [
        f"| `{name}` | {meaning} |\n"
        for name, meaning in sorted(base.METRIC_CATALOGUE.items())
    ]
    (ROOT / "docs/METRICS.md").write_text(HEADER + "".join(rows))


if __name__ == "__main__":
    main()
