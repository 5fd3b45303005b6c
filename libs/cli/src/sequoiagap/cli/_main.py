"""Assembly of the command line."""

import sys

from cleo import application
from cleo.io.inputs import argv_input

from sequoiagap.cli import _operator_commands, _role_commands

VERSION = "0.1.0"


def main(arguments=None):
    """Run the command line.

    :param list[str] arguments: arguments; those of the process by default.
    :returns: exit code, see ``docs/OPERATORS.md``.
    :rtype: int
    """
    app = application.Application("sequoiagap", VERSION)
    app.auto_exits(False)
    for command in (*_role_commands.COMMANDS, *_operator_commands.COMMANDS):
        app.add(command())
    if arguments is None:
        arguments = sys.argv[1:]
    return app.run(argv_input.ArgvInput(["sequoiagap", *arguments]))
