"""Commands that run without an entry: settings files, keys and logs."""

import dataclasses
import hashlib
import json
import pathlib
import secrets

from cleo import helpers
from cleo.commands import command

from sequoiagap import base, settings
from sequoiagap.cli import _exit_codes, _log_file, _outcomes

KEY_BYTES = 32


class CheckCommand(command.Command):
    """``sequoiagap check``."""

    name = "check"
    description = "Check a settings file, or print the JSON schema of a role."
    arguments = [helpers.argument("settings", "settings file", optional=True)]
    options = [
        helpers.option("files", None, "also check the files that it names"),
        helpers.option("keys", None, "check this keys file", flag=False),
        helpers.option("schema", None, "print the schema of this role", flag=False),
    ]

    def handle(self):
        """Check the file and print its role or the error."""
        try:
            return self._act()
        except (base.ConfigError, ValueError) as error:
            self.line_error(str(error))
            return _exit_codes.ExitCode.BAD_USAGE

    def _act(self):
        if self.option("schema"):
            document = settings.schema(self.option("schema"))
            self.line(json.dumps(document, indent=2))
            return _exit_codes.ExitCode.DONE
        if self.option("keys"):
            settings.load_keys(self.option("keys"))
            self.line(f"{self.option('keys')}: good keys file")
            return _exit_codes.ExitCode.DONE
        path = self.argument("settings")
        if path is None:
            raise ValueError(
                "name a settings file, a role with --schema, or a keys file with --keys"
            )
        loaded = settings.load(path)
        if self.option("files"):
            settings.check_files(loaded)
        self.line(f"{path}: good settings for {loaded.role}")
        return _exit_codes.ExitCode.DONE


class KeyCommand(command.Command):
    """``sequoiagap key``."""

    name = "key"
    description = "Generate a random key and print it with its digest."
    options = [helpers.option("json", None, "print JSON for scripts")]

    def handle(self):
        """Print a new key and its digest for the keys file."""
        key = secrets.token_urlsafe(KEY_BYTES)
        digest = hashlib.sha256(key.encode()).hexdigest()
        if self.option("json"):
            self.line(json.dumps({"key": key, "digest": digest}))
        else:
            self.line(f"key     {key}")
            self.line(f"digest  {digest}")
        return _exit_codes.ExitCode.DONE


class OutcomesCommand(command.Command):
    """``sequoiagap outcomes``."""

    name = "outcomes"
    description = "Count how the requests in a log ended, and why, for each second."
    options = [
        helpers.option("log", None, "log of gateways and agents", flag=False),
        helpers.option("plot", None, "also write an SVG plot to this file", flag=False),
        helpers.option("json", None, "print JSON for scripts"),
    ]

    def handle(self):
        """Print the outcomes as a table or as JSON, and write the plot if requested."""
        if not self.option("log"):
            self.line_error("name the log with --log FILE")
            return _exit_codes.ExitCode.BAD_USAGE
        try:
            found = _outcomes.collect(_log_file.read_lines(self.option("log")))
        except base.ConfigError as error:
            self.line_error(str(error))
            return _exit_codes.ExitCode.BAD_USAGE
        if self.option("plot"):
            pathlib.Path(self.option("plot")).write_text(_outcomes.plot(found))
        if self.option("json"):
            self.line(json.dumps(dataclasses.asdict(found)))
        else:
            for line in _outcomes.table(found):
                self.line(line)
        return _exit_codes.ExitCode.DONE


COMMANDS = (CheckCommand, KeyCommand, OutcomesCommand)
