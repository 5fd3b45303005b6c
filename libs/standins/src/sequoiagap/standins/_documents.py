"""Files and documents that the processes of a fleet start from."""

import hashlib
import json
import os

OPERATOR_KEY = "operator-key"


def write_shared_files(folder, accounts):
    """Write the keys file and the deployment's secret.

    :param pathlib.Path folder: where to write them.
    :param accounts: client accounts; the key of each is ``NAME-key``.
    :type accounts: collections.abc.Iterable[str]
    """
    keys = {
        "accounts": {name: [_digest(f"{name}-key")] for name in accounts},
        "operators": {"operator": [_digest(OPERATOR_KEY)]},
    }
    (folder / "keys.json").write_text(json.dumps(keys))
    (folder / "secret").write_text(os.urandom(16).hex())


def first_config(plan):
    """Return the document of version 1 of the configuration.

    :param FleetPlan plan: what the fleet consists of.
    :rtype: dict
    """
    return {
        "failure_domains": {domain: {"state": "in"} for domain in plan.domains},
        "models": {"desk-model": {"repeatable": True}},
        "services": {"orders": {"repeatable": False}},
        "client_accounts": {name: {"weight": 1} for name in plan.accounts},
        **plan.config,
    }


def node_settings(plan, folder, name, domain, url):
    """Return the settings that every role has.

    :param FleetPlan plan: what the fleet consists of.
    :param pathlib.Path folder: where the secret is.
    :param str name: name of the process.
    :param str domain: its failure domain.
    :param str url: where it finds the platform.
    :rtype: dict
    """
    return {
        "node_id": name,
        "deployment": "quickstart",
        "region": "local",
        "failure_domain": domain,
        "address": "127.0.0.1",
        "port": 0,
        "platform": {"url": url, "timeout_s": 0.5},
        "secret_file": str(folder / "secret"),
        **plan.node,
    }


def _digest(key):
    return hashlib.sha256(key.encode()).hexdigest()
