"""Generate load from several client accounts and report the results.

Usage::

    python -m sequoiagap.standins.load --url URL [--url URL ...]
        --account NAME:RATE[:KEY] [--account ...] --phase NAME:SECONDS [...]

Sends model requests of several client accounts concurrently and prints, for each
phase and account, answers, rejections by kind and quantiles of the time to the
first byte.
"""

import argparse
import asyncio
import json
import random
import sys

from sequoiagap.standins import _load


def parse_account(text):
    """Return name, rate and key of ``NAME:RATE[:KEY]``.

    :param str text: command line argument.
    :rtype: tuple[str, float, str]
    :raises argparse.ArgumentTypeError: if it is malformed.

    >>> parse_account("guild:20")
    ('guild', 20.0, '')
    """
    name, _, rest = text.partition(":")
    rate, _, key = rest.partition(":")
    return name, _positive(rate, "NAME:RATE[:KEY] with a rate above 0"), key


def parse_phase(text):
    """Return name and duration in seconds of ``NAME:SECONDS``.

    :param str text: command line argument.
    :rtype: tuple[str, float]
    :raises argparse.ArgumentTypeError: if it is malformed.

    >>> parse_phase("normal:5")
    ('normal', 5.0)
    """
    name, _, seconds = text.partition(":")
    return name, _positive(seconds, "NAME:SECONDS with more than 0 seconds")


def _positive(text, expected):
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if value <= 0:
        raise argparse.ArgumentTypeError(f"{text!r} is invalid; expected {expected}")
    return value


def make_parser():
    """Return the parser of the command line.

    :rtype: argparse.ArgumentParser
    """
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--url", action="append", required=True, help="URL of an entry")
    parser.add_argument("--account", type=parse_account, action="append", required=True)
    parser.add_argument("--phase", type=parse_phase, action="append")
    parser.add_argument("--model", default="desk-model")
    parser.add_argument("--no-stream", action="store_true")
    parser.add_argument("--max-tokens", type=int, default=0)
    parser.add_argument("--prompt-kb", type=float, default=0.0)
    parser.add_argument("--prefixes", type=int, default=0)
    parser.add_argument("--timeout", type=float, default=_load.DEFAULT_TIMEOUT_S)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--json", action="store_true", help="print JSON")
    return parser


async def run(options):
    """Run the phases one after another and return their reports.

    :param argparse.Namespace options: parsed command line.
    :rtype: LoadReports
    """
    loads = [
        _load.AccountLoad(
            name,
            rate,
            key=key,
            model=options.model,
            stream=not options.no_stream,
            max_tokens=options.max_tokens,
            prompt_kb=options.prompt_kb,
            prefixes=options.prefixes,
        )
        for name, rate, key in options.account
    ]
    generator = _load.LoadGenerator(
        options.url, loads, random.Random(options.seed), options.timeout
    )
    for name, seconds in options.phase or [("all", 10.0)]:
        generator.phase_ = name
        await generator.run(seconds)
    return generator.reports_


def main():
    """Run the load generator; return 1 if no request was answered."""
    options = make_parser().parse_args()
    reports = asyncio.run(run(options))
    if options.json:
        print(json.dumps(reports.to_document(), indent=2))
    else:
        print(reports.to_table())
    return 0 if reports.total().answered else 1


if __name__ == "__main__":
    sys.exit(main())
