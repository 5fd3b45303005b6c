"""Assembly of the command line."""

import sys

from cleo import application
from cleo import exceptions as cleo_exceptions
from cleo.io.inputs import argv_input

from sequoiagap.cli import (
    _config_commands,
    _exit_codes,
    _local_commands,
    _operator_commands,
    _role_commands,
)

VERSION = "0.1.0"


def main(arguments=None):
    """Run the command line.

    :param list[str] arguments: arguments; those of the process by default.
    :returns: exit code, see ``docs/OPERATORS.md``.
    :rtype: int
    """
    app = application.Application("sequoiagap", VERSION)
    app.auto_exits(False)
    app.catch_exceptions(False)
    for module in (
        _role_commands,
        _local_commands,
        _config_commands,
        _operator_commands,
    ):
        for command in module.COMMANDS:
            app.add(command())
    if arguments is None:
        arguments = sys.argv[1:]
    try:
        return app.run(argv_input.ArgvInput(["sequoiagap", *arguments]))
    except cleo_exceptions.CleoError as error:
        print(
            f"{str(error).rstrip('.')}. 'sequoiagap list' shows the commands",
            file=sys.stderr,
        )
        return _exit_codes.ExitCode.BAD_USAGE
