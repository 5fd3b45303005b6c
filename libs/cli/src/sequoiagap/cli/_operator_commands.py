"""Commands that control failure domains and endpoints or show state and requests."""

import dataclasses
import json

from cleo import helpers

from sequoiagap import base
from sequoiagap.cli import _exit_codes, _log_file, _operator


class _DomainCommand(_operator.OperatorCommand):
    """Sets the state of a failure domain."""

    arguments = [helpers.argument("domain", "failure domain")]
    state = ""

    def act(self):
        """Submit the new state of the failure domain."""
        domain = self.argument("domain")
        return self.submit({"failure_domains": {domain: {"state": self.state}}})


class DomainOutCommand(_DomainCommand):
    """``sequoiagap domain out``."""

    name = "domain out"
    description = "Take a failure domain out of service: it gets no new work."
    options = [
        *_operator.OperatorCommand.options,
        helpers.option(
            "local", None, "only in the entry's own failure domain, until a new version"
        ),
    ]
    state = "out"

    def act(self):
        """Submit the patch, or a local order with ``--local``."""
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
    description = "Bring a failure domain back into service."
    state = "in"


class EndpointDrainCommand(_operator.OperatorCommand):
    """``sequoiagap endpoint drain``."""

    name = "endpoint drain"
    description = "Drain an endpoint, or undo a drain with --undo."
    arguments = [helpers.argument("endpoint", "endpoint id")]
    options = [
        *_operator.OperatorCommand.options,
        helpers.option("undo", None, "undo the drain"),
    ]

    def act(self):
        """Submit the drain order, or its undoing."""
        order = {"drain": not self.option("undo")}
        return self.submit({"endpoints": {self.argument("endpoint"): order}})


class StateCommand(_operator.OperatorCommand):
    """``sequoiagap state``."""

    name = "state"
    description = "Show the state of an entry, or of an endpoint's agent."
    arguments = [helpers.argument("endpoint", "endpoint id", optional=True)]

    def act(self):
        """Print the state dump."""
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


class ExplainCommand(_operator.OperatorCommand):
    """``sequoiagap explain``."""

    name = "explain"
    description = "Show the decisions about a request and their versions."
    arguments = [helpers.argument("request_id", "id of the request")]
    options = [
        *_operator.OperatorCommand.options,
        helpers.option(
            "log", None, "read this log file instead of calling an entry", flag=False
        ),
    ]

    def act(self):
        """Print one row per decision."""
        if self.option("log"):
            return self._explain_log(self.option("log"))
        path = f"/v1/explain/{self.argument('request_id')}"
        return self.show(self.call("GET", path), self._print)

    def _explain_log(self, path):
        """Print the decisions about the request that a log file contains."""
        request_id = self.argument("request_id")
        found = _log_file.find_decisions(path, request_id)
        if not found:
            raise base.ConfigError(
                f"{path}: no line about request {request_id}",
                "Read the logs of the process that received it; a retry has its own id",
            )
        if self.option("json"):
            self.line(json.dumps([dataclasses.asdict(d) for d in found]))
            return _exit_codes.ExitCode.DONE
        rows = [[d.at, d.node, d.step, json.dumps(d.details)] for d in found]
        self.print_table(["at", "node", "step", "details"], rows)
        return _exit_codes.ExitCode.DONE

    def _print(self, document):
        rows = [
            [d["step"], d["config_version"], json.dumps(d["details"])]
            for d in document["decisions"]
        ]
        self.line(f"{document['request_id']} of {document['account']}")
        self.print_table(["step", "config version", "details"], rows)


COMMANDS = (
    DomainOutCommand,
    DomainInCommand,
    EndpointDrainCommand,
    StateCommand,
    ExplainCommand,
)
