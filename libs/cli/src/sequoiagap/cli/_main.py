"""Entry point of the command line: registers the commands and runs one."""

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
COMMANDS = (
    *_role_commands.COMMANDS,
    *_local_commands.COMMANDS,
    *_config_commands.COMMANDS,
    *_operator_commands.COMMANDS,
)


def main(arguments=None):
    """Run the command line.

    :param list[str] arguments: command-line arguments; those of the process by
        default.
    :returns: exit code, see ``docs/OPERATORS.md``.
    :rtype: int
    """
    app = application.Application("sequoiagap", VERSION)
    app.auto_exits(False)
    app.catch_exceptions(False)
    for command in COMMANDS:
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
