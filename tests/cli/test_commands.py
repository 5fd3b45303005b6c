"""Commands of the CLI against a running entry, and all exit codes."""

import asyncio
import contextlib
import io
import json
import os
import pathlib
import tempfile
import unittest
import unittest.mock

from aiohttp import web

from sequoiagap import cli, standins
from sequoiagap.cli import _exit_codes, _main
from tests import support

EXAMPLE = support.ROOT / "examples/lumbay-wick"
PLAN = standins.FleetPlan(
    domains=("north", "south"), entries=1, services_per_domain=0, configured=False
)
CONFIG = """{ // a first configuration
  "failure_domains": {"north": {}, "south": {}},
  "models": {"desk-model": {}},
  "client_accounts": {"caller": {}},
}"""


def run(*words, key="operator-key", stdin=""):
    """Run a command; return exit code, output and error output."""
    out, err = io.StringIO(), io.StringIO()
    environment = os.environ | {"SEQUOIAGAP_OPERATOR_KEY": key}
    with (
        unittest.mock.patch.dict(os.environ, environment),
        unittest.mock.patch("sys.stdin", io.StringIO(stdin)),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        code = cli.main(list(words))
    return code, out.getvalue(), err.getvalue()


class LocalCommandsTest(unittest.TestCase):
    def test_commands_without_an_entry(self):
        entry = str(EXAMPLE / "entry.json")
        missing = str(EXAMPLE / "missing.json")
        cases = {
            "good file": (["check", entry], 0, "good settings for entry"),
            "bad file": (["check", missing], 2, "missing.json: can't be read"),
            "files": (["check", entry, "--files"], 2, "/etc/sequoiagap/secret"),
            "no file": (["check"], 2, "name a settings file"),
            "schema": (["check", "--schema", "agent"], 0, '"warm_limit"'),
            "no schema": (["check", "--schema", "clerk"], 2, "use one of: agent"),
            "other role": (["agent", entry], 2, "Use 'sequoiagap entry'"),
            "role's files": (["entry", entry], 2, "/etc/sequoiagap/secret"),
            "no command": (["fetch"], 2, "sequoiagap list"),
            "no argument": (["domain", "out"], 2, "domain"),
            "no key": (["state"], 2, "SEQUOIAGAP_OPERATOR_KEY"),
        }
        for name, (words, code, text) in cases.items():
            with self.subTest(name):
                found, out, err = run(*words, key="")
                self.assertEqual(found, code, err)
                self.assertIn(text, out + err)

    def test_key_matches_its_digest(self):
        code, out, _ = run("key", "--json")
        made = json.loads(out)
        self.assertEqual(code, 0)
        keys = {"accounts": {"a": [made["digest"]]}, "operators": {}}
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "keys.json"
            path.write_text(json.dumps(keys))
            self.assertEqual(cli.main(["check", "--keys", str(path)]), 0)

    def test_taken_port_fails(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "entry.json"
            (pathlib.Path(folder) / "secret").write_text("the-deployment-secret")
            document = {
                "role": "entry",
                "node_id": "e",
                "deployment": "d",
                "region": "r",
                "failure_domain": "f",
                # an address that this host does not have
                "address": "192.0.2.1",
                "port": 0,
                "http_port": 0,
                "platform": {"url": "http://127.0.0.1:1"},
                "secret_file": f"{folder}/secret",
                "keys_file": str(EXAMPLE / "keys.json"),
            }
            path.write_text(json.dumps(document))
            code, _, err = run("entry", str(path))
        self.assertEqual(code, 1)
        self.assertIn("Check address and port", err)


class DocsTest(unittest.TestCase):
    def test_page_lists_every_command_option_and_exit_code(self):
        text = (support.ROOT / "docs/OPERATORS.md").read_text()
        for command in _main.COMMANDS:
            options = [option.name for option in command.options]
            with self.subTest(command.name):
                self.assertIn(f"`{command.name}", text)
                for name in options:
                    self.assertIn(f"--{name}", text)
        for item in _exit_codes.ExitCode:
            with self.subTest(item.name):
                self.assertIn(f"| {int(item)} | ", text)


class OperatorCommandsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.fleet = await self.enterAsyncContext(standins.Fleet(PLAN, folder.name))
        (self.folder / "first.json").write_text(CONFIG)

    async def run_command(self, *words, entry=None, **arguments):
        """Run a command against the entry in a separate thread."""
        url = entry or self.fleet.url("entry-0")
        return await asyncio.to_thread(run, *words, "--entry", url, **arguments)

    async def check(self, cases):
        """Run commands and check exit code and output of each.

        :param dict cases: arguments, standard input, exit code and expected text, by
            name of the case.
        """
        for name, (words, stdin, code, text) in cases.items():
            with self.subTest(name):
                found, out, err = await self.run_command(*words, stdin=stdin)
                self.assertEqual(found, code, err)
                self.assertIn(text, out + err)

    async def test_every_command(self):
        await self._check_configuration()
        await self.fleet.wait_until(self._is_connected, support.FEW_SECONDS_S * 2)
        await self._check_orders()
        await self._check_reading()
        await self._check_refusals()

    async def _is_connected(self):
        _, state = await self.fleet.call("entry-0", "GET", "/state")
        usable = [e for e in state["endpoints"].values() if e["connected"]]
        return state["ready"] and len(usable) == len(self.fleet.endpoint_names())

    async def _check_configuration(self):
        first = str(self.folder / "first.json")
        patch = {"client_accounts": {"caller": {"weight": 3}}}
        text = json.dumps(patch)
        (self.folder / "patch.json").write_text("// heavier\n" + text)
        name = str(self.folder / "patch.json")
        sent = ["config", "patch", name, "--against", "1", "--id", "patch-1"]
        await self.check(
            {
                "init": (["config", "init", first], "", 0, "version 1"),
                "init again": (["config", "init", first], "", 3, "stale_version"),
                "get": (["config", "get"], "", 0, '"version": 1'),
                "patch of a file": (sent, "", 0, "version 2"),
                "the same again": (sent, "", 0, "version 2"),
                "patch of input": (
                    ["config", "patch", "-", "--against", "2"],
                    text,
                    0,
                    "version 3",
                ),
                "patch of text": (
                    ["config", "patch", text, "--against", "3"],
                    "",
                    0,
                    "version 4",
                ),
                "stale": (
                    ["config", "patch", text, "--against", "1"],
                    "",
                    3,
                    "current one is 4",
                ),
                "invalid": (
                    ["config", "patch", '{"routng": {}}', "--against", "4"],
                    "",
                    3,
                    "routng",
                ),
                "no version": (["config", "patch", text], "", 2, "--against"),
                "no object": (["config", "patch", "[", "--against", "4"], "", 2, "["),
                "history": (["config", "history"], "", 0, "patch-1"),
            }
        )

    async def _check_orders(self):
        await self.check(
            {
                "domain out": (["domain", "out", "north"], "", 0, "version 5"),
                "domain in": (["domain", "in", "north"], "", 0, "version 6"),
                "drain": (["endpoint", "drain", "north-model-0"], "", 0, "version 7"),
                "undo": (
                    ["endpoint", "drain", "north-model-0", "--undo"],
                    "",
                    0,
                    "version 8",
                ),
            }
        )

    async def _check_reading(self):
        url = f"{self.fleet.url('entry-0')}/v1/chat/completions"
        headers = {"Authorization": "Bearer caller-key"}
        body = {"model": "desk-model", "messages": []}
        async with self.fleet.session_.post(url, json=body, headers=headers) as answer:
            self.assertEqual(answer.status, 200)
            request_id = answer.headers["X-Request-Id"]
        await self.check(
            {
                "state": (["state"], "", 0, "north-model-0"),
                "agent's state": (["state", "north-model-0"], "", 0, '"endpoint"'),
                "no agent": (["state", "nobody"], "", 3, "does not answer"),
                "explain": (["explain", request_id], "", 0, "admitted"),
                "explain unknown": (["explain", "req-0"], "", 3, "not_found"),
            }
        )
        for words in (["state"], ["config", "get"], ["config", "history"]):
            with self.subTest("json", words=words):
                _, out, _ = await self.run_command(*words, "--json")
                self.assertIsInstance(json.loads(out), dict)

    async def _check_refusals(self):
        found, _, err = await self.run_command("state", key="caller-key")
        self.assertEqual((found, "unauthenticated" in err), (3, True))
        found, _, err = await self.run_command("state", entry="http://127.0.0.1:1")
        self.assertEqual((found, "--entry" in err), (4, True))
        found, _, err = await self.run_command(
            "state", entry=self.fleet.url("platform")
        )
        self.assertEqual(found, 4, err)
        await self.fleet.set_faults("platform", silent=True)
        words = ["config", "patch", '{"models": {}}', "--against", "8"]
        found, _, err = await self.run_command(*words)
        self.assertEqual((found, "platform_down" in err), (3, True))


class LostAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def test_lost_answer_to_a_patch_is_unknown(self):
        seen = []

        async def get_config(request):
            return web.json_response({"version": 7, "document": {}})

        async def lose(request):
            seen.append(await request.json())
            request.transport.abort()

        app = web.Application()
        app.router.add_get("/config", get_config)
        app.router.add_post("/config", lose)
        runner = web.AppRunner(app)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        url = f"http://127.0.0.1:{runner.addresses[0][1]}"
        code, _, err = await asyncio.to_thread(
            run, "domain", "out", "north", "--entry", url
        )
        self.assertEqual(code, 5)
        self.assertIn(f"--id {seen[0]['patch_id']} --against 7", err)
