"""Base class of the commands that call an entry."""

import json

from cleo import helpers
from cleo.commands import command

from sequoiagap import base
from sequoiagap.cli import _client, _exit_codes

DEFAULT_ENTRY = "http://127.0.0.1:8080"
_EXIT_BY_ERROR = {
    _client.UsageError: _exit_codes.ExitCode.BAD_USAGE,
    _client.EntryUnreachableError: _exit_codes.ExitCode.UNREACHABLE,
    _client.EffectUnknownError: _exit_codes.ExitCode.UNKNOWN,
    base.ConfigError: _exit_codes.ExitCode.BAD_USAGE,
}


class OperatorCommand(command.Command):
    """Calls an entry and prints its answer; subclasses define ``act()``."""

    options = [
        helpers.option(
            "entry", "e", "URL of an entry", flag=False, default=DEFAULT_ENTRY
        ),
        helpers.option("json", None, "print JSON for scripts"),
    ]

    def handle(self):
        """Call the entry, print its answer and return the exit code."""
        try:
            return self.act()
        except tuple(_EXIT_BY_ERROR) as error:
            self.line_error(str(error))
            return _EXIT_BY_ERROR[type(error)]

    def call(self, method, path, body=None):
        """Call the entry given by ``--entry``.

        :rtype: Reply
        """
        return _client.call(self.option("entry"), method, path, body)

    def show(self, reply, print_table):
        """Print a reply and return the exit code.

        :param Reply reply: answer of the entry.
        :param print_table: function that prints the document as text.
        :rtype: ExitCode
        """
        if self.option("json"):
            self.print_json(reply.document)
        elif not reply.refused:
            print_table(reply.document)
        if not reply.refused:
            return _exit_codes.ExitCode.DONE
        return self.show_refusal(reply)

    def show_refusal(self, reply):
        """Print a rejection and return the exit code.

        :param Reply reply: answer of the entry.
        :rtype: ExitCode
        """
        error = reply.document["error"]
        self.line_error(f"{error['type']}: {error['message']}. {error['remedy']}")
        if error["outcome"] == base.Outcome.UNKNOWN:
            return _exit_codes.ExitCode.UNKNOWN
        return _exit_codes.ExitCode.REFUSED

    def print_json(self, document):
        """Print a document as indented JSON."""
        self.line(json.dumps(document, indent=2, sort_keys=True))

    def print_table(self, headers, rows):
        """Print rows as a table."""
        texts = [[str(cell) for cell in row] for row in rows]
        self.table(headers, texts).render()

    def submit(self, changes):
        """Submit a patch against the current version; return the exit code.

        :param dict changes: merge patch.
        :rtype: ExitCode
        """
        current = self.call("GET", "/config")
        if current.refused:
            return self.show_refusal(current)
        return self.submit_against(current.document["version"], changes)

    def submit_against(self, version, changes, patch_id=None, override=False):
        """Submit a patch; return the exit code.

        :param int version: version that the patch was written against.
        :param dict changes: merge patch.
        :param str patch_id: id of the patch; a new one by default.
        :param bool override: accept a change that harm checks reject.
        :rtype: ExitCode
        """
        body = {
            "against": version,
            "changes": changes,
            "patch_id": patch_id or base.new_id("patch"),
            "override": override,
        }
        try:
            reply = self.call("POST", "/config", body)
        except _client.EffectUnknownError:
            self._print_resubmit_hint(body)
            raise
        exit_code = self.show(reply, self.print_accepted)
        if exit_code == _exit_codes.ExitCode.UNKNOWN:
            self._print_resubmit_hint(body)
        return exit_code

    def _print_resubmit_hint(self, body):
        self.line_error(
            f"'config patch --id {body['patch_id']} --against {body['against']}' "
            "with the same changes submits this patch again without a second effect"
        )

    def print_accepted(self, document):
        """Print the version that a patch created."""
        self.line(f"accepted as version {document['version']}")
