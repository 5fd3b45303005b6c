"""Commands of operators, against any entry."""

import json

from cleo import helpers
from cleo.commands import command

from sequoiagap.cli import _client, _exit_codes

DEFAULT_ENTRY = "http://127.0.0.1:8080"
_REFUSED_STATUS = 400
_EXIT_BY_OUTCOME = {"outcome_unknown": _exit_codes.ExitCode.UNKNOWN}


class _OperatorCommand(command.Command):
    options = [
        helpers.option("entry", "e", "URL of an entry", flag=False),
        helpers.option("json", None, "print JSON for scripts"),
    ]

    def handle(self):
        """Call the entry and print its answer."""
        try:
            return self.act()
        except _client.EntryUnreachableError as error:
            self.line_error(str(error))
            return _exit_codes.ExitCode.UNREACHABLE

    def call(self, method, path, body=None):
        """Call the entry named by the options."""
        return _client.call(self.option("entry") or DEFAULT_ENTRY, method, path, body)

    def show(self, reply, print_table):
        """Print a reply and return the exit code."""
        if self.option("json"):
            self.line(json.dumps(reply.document, indent=2, sort_keys=True))
        elif reply.status < _REFUSED_STATUS:
            print_table(reply.document)
        if reply.status < _REFUSED_STATUS:
            return _exit_codes.ExitCode.DONE
        return self._show_refusal(reply.document)

    def print_json(self, document):
        """Print a document as indented JSON."""
        self.line(json.dumps(document, indent=2, sort_keys=True))

    def print_table(self, headers, rows):
        """Print rows as a table."""
        texts = [[str(cell) for cell in row] for row in rows]
        self.table(headers, texts).render()

    def submit(self, changes):
        """Submit a patch against the current version; return the exit code."""
        current = self.call("GET", "/config")
        if current.status >= _REFUSED_STATUS:
            return self._show_refusal(current.document)
        body = {"against": current.document["version"], "changes": changes}
        return self.show(self.call("POST", "/config", body), self.print_accepted)

    def print_accepted(self, document):
        """Print which version a patch made."""
        self.line(f"accepted as version {document['version']}")

    def _show_refusal(self, document):
        error = document["error"]
        self.line_error(f"{error['type']}: {error['message']}. {error['remedy']}")
        return _EXIT_BY_OUTCOME.get(error["outcome"], _exit_codes.ExitCode.REFUSED)


class ConfigGetCommand(_OperatorCommand):
    """``sequoiagap config get``."""

    name = "config get"
    description = "Show the configuration in force."

    def act(self):
        """Show version and document."""
        return self.show(self.call("GET", "/config"), self.print_json)


class ConfigPatchCommand(_OperatorCommand):
    """``sequoiagap config patch``."""

    name = "config patch"
    description = "Submit a JSON merge patch against a version."
    arguments = [helpers.argument("changes", "merge patch as JSON")]
    options = [
        *_OperatorCommand.options,
        helpers.option("against", None, "version it was written against", flag=False),
        helpers.option("id", None, "patch id, to submit again safely", flag=False),
        helpers.option("override", None, "accept a change that harm checks refuse"),
    ]

    def act(self):
        """Submit the patch."""
        try:
            changes = json.loads(self.argument("changes"))
            against = int(self.option("against"))
        except (ValueError, TypeError):
            self.line_error("give a JSON object and --against VERSION")
            return _exit_codes.ExitCode.BAD_USAGE
        body = {"against": against, "changes": changes, "patch_id": self.option("id")}
        body["override"] = self.option("override")
        return self.show(self.call("POST", "/config", body), self.print_accepted)


class ConfigHistoryCommand(_OperatorCommand):
    """``sequoiagap config history``."""

    name = "config history"
    description = "Show the accepted patches."
    options = [
        *_OperatorCommand.options,
        helpers.option("before", None, "show sealed ones below a version", flag=False),
    ]

    def act(self):
        """Show one row for each patch."""
        before = self.option("before") or "0"
        path = f"/config/history?before={before}"
        return self.show(self.call("GET", path), self._print)

    def _print(self, document):
        rows = [
            [e["number"], e["operator"], e["patch_id"], json.dumps(e["patch"])]
            for e in document["history"]
        ]
        self.print_table(["version", "operator", "patch id", "changes"], rows)


class ConfigRestoreCommand(_OperatorCommand):
    """``sequoiagap config restore``."""

    name = "config restore"
    description = "Write the version in force back to a platform that lost it."

    def act(self):
        """Write it back as the next version."""
        return self.show(self.call("POST", "/config/restore", {}), self.print_accepted)


class _DomainCommand(_OperatorCommand):
    arguments = [helpers.argument("domain", "failure domain")]
    state = ""

    def act(self):
        """Submit the new state of the failure domain."""
        domain = self.argument("domain")
        return self.submit({"failure_domains": {domain: {"state": self.state}}})


class DomainOutCommand(_DomainCommand):
    """``sequoiagap domain out``."""

    name = "domain out"
    description = "Take a failure domain out: it receives no new work."
    options = [
        *_OperatorCommand.options,
        helpers.option(
            "local", None, "only in the entry's own failure domain, until a new version"
        ),
    ]
    state = "out"

    def act(self):
        """Submit the patch, or give the local order."""
        if not self.option("local"):
            return super().act()
        body = {"failure_domain": self.argument("domain")}
        return self.show(self.call("POST", "/local/domain-out", body), self._print)

    def _print(self, document):
        domain, number = document["failure_domain"], document["against"]
        self.line(f"{domain} is out here until a version above {number}")


class DomainInCommand(_DomainCommand):
    """``sequoiagap domain in``."""

    name = "domain in"
    description = "Bring a failure domain back."
    state = "in"


class EndpointDrainCommand(_OperatorCommand):
    """``sequoiagap endpoint drain``."""

    name = "endpoint drain"
    description = "Drain an endpoint, or take the order back with --undo."
    arguments = [helpers.argument("endpoint", "endpoint id")]
    options = [*_OperatorCommand.options, helpers.option("undo", None, "take it back")]

    def act(self):
        """Submit the order."""
        order = {"drain": not self.option("undo")}
        return self.submit({"endpoints": {self.argument("endpoint"): order}})


class StateCommand(_OperatorCommand):
    """``sequoiagap state``."""

    name = "state"
    description = "Show the state of an entry, or of an endpoint's agent."
    arguments = [helpers.argument("endpoint", "endpoint id", optional=True)]

    def act(self):
        """Show the dump."""
        endpoint = self.argument("endpoint")
        if endpoint:
            return self.show(self.call("GET", f"/state/{endpoint}"), self.print_json)
        return self.show(self.call("GET", "/state"), self._print)

    def _print(self, document):
        self.line(
            f"{document['node_id']}: config version {document['config_version']}, "
            f"ready {document['ready']}, in flight {document['in_flight']}"
        )
        rows = [
            [name, e["failure_domain"], e["state"], e["connected"], e["limit"]]
            for name, e in document["endpoints"].items()
        ]
        self.print_table(["endpoint", "domain", "state", "connected", "limit"], rows)


class ExplainCommand(_OperatorCommand):
    """``sequoiagap explain``."""

    name = "explain"
    description = "Show what was decided about a request, and on which version."
    arguments = [helpers.argument("request_id", "id of the request")]

    def act(self):
        """Show one row for each decision."""
        path = f"/v1/explain/{self.argument('request_id')}"
        return self.show(self.call("GET", path), self._print)

    def _print(self, document):
        rows = [
            [d["step"], d["config_version"], json.dumps(d["details"])]
            for d in document["decisions"]
        ]
        self.line(f"{document['request_id']} of {document['account']}")
        self.print_table(["step", "config version", "details"], rows)


COMMANDS = (
    ConfigGetCommand,
    ConfigPatchCommand,
    ConfigHistoryCommand,
    ConfigRestoreCommand,
    DomainOutCommand,
    DomainInCommand,
    EndpointDrainCommand,
    StateCommand,
    ExplainCommand,
)
