"""Example files of each deployment: they load and are consistent."""

import unittest

from sequoiagap import config, settings
from tests import support

EXAMPLES = support.ROOT / "examples"
DEPLOYMENTS = ("heritage-office", "lumbay-wick")


def role_files(deployment):
    """Return the paths of the entry and agent settings of a deployment."""
    folder = EXAMPLES / deployment
    return sorted([folder / "entry.json", *folder.glob("agent-*.json")])


class ExamplesTest(unittest.TestCase):
    def test_settings_match_the_configuration(self):
        for deployment in DEPLOYMENTS:
            path = EXAMPLES / deployment / "config.json"
            document = settings.read_document(path)
            document = config.ConfigDocument.model_validate(document)
            targets = document.models.keys() | document.services.keys()
            loaded = [settings.load(str(path)) for path in role_files(deployment)]
            self.assertEqual(len(loaded), 3)
            for item in loaded:
                with self.subTest(item.node_id):
                    self.assertEqual(item.deployment, deployment)
                    self.assertIn(item.failure_domain, document.failure_domains)
                    if item.role == "agent":
                        self.assertLessEqual(set(item.endpoint.serves), targets)

    def test_each_account_has_a_key(self):
        for deployment in DEPLOYMENTS:
            with self.subTest(deployment):
                folder = EXAMPLES / deployment
                accounts, operators = settings.load_keys(str(folder / "keys.json"))
                document = settings.read_document(folder / "config.json")
                named = set(document["client_accounts"])
                self.assertEqual(set(accounts.values()), named)
                self.assertTrue(operators)
