"""Settings, keys and initial configuration of a test fleet."""

import hashlib
import json
import os

OPERATOR_KEY = "operator-key"


def write_shared_files(folder, accounts):
    """Write the keys file and the secret of the deployment.

    :param pathlib.Path folder: folder to write them to.
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
    """Return the document of configuration version 1.

    :param FleetPlan plan: composition of the fleet.
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
    """Return the settings that entries and agents have in common.

    :param FleetPlan plan: composition of the fleet.
    :param pathlib.Path folder: folder of the secret file.
    :param str name: name of the process.
    :param str domain: its failure domain.
    :param str url: URL of the platform for this process.
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
