"""Exit codes of the commands; ``docs/OPERATORS.md`` lists them."""

import enum


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    DONE = 0
    FAILED = 1
    BAD_USAGE = 2
    REFUSED = 3
    UNREACHABLE = 4
    UNKNOWN = 5
