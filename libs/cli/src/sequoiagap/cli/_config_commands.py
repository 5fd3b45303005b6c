"""Commands that show and change the configuration."""

import json
import pathlib
import sys

from cleo import helpers

from sequoiagap import settings
from sequoiagap.cli import _client, _operator

STANDARD_INPUT = "-"


class ConfigGetCommand(_operator.OperatorCommand):
    """``sequoiagap config get``."""

    name = "config get"
    description = "Show the configuration in force."

    def act(self):
        """Print version and document."""
        return self.show(self.call("GET", "/config"), self.print_json)


class ConfigInitCommand(_operator.OperatorCommand):
    """``sequoiagap config init``."""

    name = "config init"
    description = "Create version 1 on the platform from a file."
    arguments = [helpers.argument("document", "file in JSON with comments, or -")]

    def act(self):
        """Submit the document as a patch against version 0, the empty configuration."""
        return self.submit_against(0, _read_changes(self.argument("document")))


class ConfigPatchCommand(_operator.OperatorCommand):
    """``sequoiagap config patch``."""

    name = "config patch"
    description = "Submit a JSON merge patch against a version."
    arguments = [
        helpers.argument("changes", "merge patch: JSON text, a file, or - for input")
    ]
    options = [
        *_operator.OperatorCommand.options,
        helpers.option("against", None, "version it was written against", flag=False),
        helpers.option("id", None, "patch id, to submit again safely", flag=False),
        helpers.option("override", None, "accept a change that harm checks reject"),
    ]

    def act(self):
        """Submit the patch."""
        against = self.option("against")
        if against is None or not against.isdecimal():
            raise _client.UsageError(
                f"--against is {against!r}",
                "Give the version that you wrote the patch against; "
                "'config get' shows the current one",
            )
        changes = _read_changes(self.argument("changes"))
        return self.submit_against(
            int(against), changes, self.option("id"), self.option("override")
        )


class ConfigHistoryCommand(_operator.OperatorCommand):
    """``sequoiagap config history``."""

    name = "config history"
    description = "Show the accepted patches."
    options = [
        *_operator.OperatorCommand.options,
        helpers.option("before", None, "show sealed ones below a version", flag=False),
    ]

    def act(self):
        """Print one row per patch."""
        before = self.option("before") or "0"
        path = f"/config/history?before={before}"
        return self.show(self.call("GET", path), self._print)

    def _print(self, document):
        rows = [
            [e["number"], e["operator"], e["patch_id"], json.dumps(e["patch"])]
            for e in document["history"]
        ]
        self.print_table(["version", "operator", "patch id", "changes"], rows)


class ConfigRestoreCommand(_operator.OperatorCommand):
    """``sequoiagap config restore``."""

    name = "config restore"
    description = "Write the version in force back to a platform that lost it."

    def act(self):
        """Request the entry to write its version back as the next one."""
        return self.show(self.call("POST", "/config/restore", {}), self.print_accepted)


def _read_changes(argument):
    """Return the JSON object given as text, as a file name or as ``-``."""
    if argument == STANDARD_INPUT:
        return settings.parse_document("standard input", sys.stdin.read())
    if argument.lstrip().startswith("{"):
        return settings.parse_document("the argument", argument)
    return settings.read_document(pathlib.Path(argument))


COMMANDS = (
    ConfigGetCommand,
    ConfigInitCommand,
    ConfigPatchCommand,
    ConfigHistoryCommand,
    ConfigRestoreCommand,
)
