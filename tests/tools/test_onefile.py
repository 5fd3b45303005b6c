"""The shipped file serves the thin path in one process and writes nothing."""

import asyncio
import contextlib
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import unittest

from sequoiagap import standins
from tests import support

BUILD = support.ROOT / "tools/build.py"
WATCHED = support.ROOT / "tests/tools/watched.py"
DENIED_EXIT_CODE = 99
WRITABLE = os.O_WRONLY | os.O_RDWR
COMMAND_TIMEOUT_S = 30.0
MEMORY_FILE = "/memfd:"
KIB = 1024
MAX_AGENT_BYTES = 64_000_000


def watched(program, *words):
    """Return the command that runs a program of no installed package, watched."""
    return (sys.executable, "-I", "-S", str(WATCHED), str(program), *words)


def children(pid):
    """Return the ids of the child processes of a process."""
    found = []
    for path in pathlib.Path("/proc").glob("[0-9]*/stat"):
        try:
            text = path.read_text()
        except OSError:
            continue
        if int(text.rpartition(")")[2].split()[1]) == pid:
            found.append(int(path.parent.name))
    return found


def written_files(pid):
    """Return the paths of the regular files that a process holds open to write."""
    found = []
    for link in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        try:
            target = os.readlink(link)
            info = pathlib.Path(f"/proc/{pid}/fdinfo/{link.name}").read_text()
        except OSError:
            continue
        flags = int(info.partition("flags:")[2].split()[0], 8)
        if flags & WRITABLE and target.startswith("/") and os.path.isfile(link):
            found.append(target)
    return found


def held_bytes(pid):
    """Return the memory of a process with all of its memory files."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    kib_by_name = dict(re.findall(r"(VmRSS|RssShmem):\s+(\d+)", status))
    own = int(kib_by_name["VmRSS"]) - int(kib_by_name["RssShmem"])
    files = 0
    for link in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(FileNotFoundError):  # closed in the meantime
            if os.readlink(link).startswith(MEMORY_FILE):
                files += link.stat().st_size
    return own * KIB + files


class OneFileTest(unittest.IsolatedAsyncioTestCase):
    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.folder = pathlib.Path(folder.name)
        cls.shipped = cls.folder / "sequoiagap"
        cls.build(cls.shipped)

    @classmethod
    def build(cls, output):
        """Build the shipped file."""
        command = [sys.executable, str(BUILD), "--output", str(output)]
        subprocess.run(command, check=True, capture_output=True)

    def setUp(self):
        """Let the working, home and temporary folder be one that stays empty."""
        self.empty = self.folder / "empty"
        self.empty.mkdir(exist_ok=True)
        self.addCleanup(os.chdir, os.getcwd())
        os.chdir(self.empty)
        for name in ("HOME", "TMPDIR"):
            self.addCleanup(os.environ.__setitem__, name, os.environ.get(name, "/"))
            os.environ[name] = str(self.empty)

    async def test_thin_path(self):
        plan = standins.FleetPlan(
            domains=("north",), entries=1, program=watched(self.shipped)
        )
        folder = self.folder / "fleet"
        folder.mkdir()
        fleet = await self.enterAsyncContext(standins.Fleet(plan, folder))
        await self._check_answers(fleet)
        await self._check_command(fleet)
        roles = ["entry-0", *fleet.endpoint_names()]
        for name in roles:
            with self.subTest(name):
                self._check_process(fleet.process_by_name[name].child_.pid, folder)
        for name in fleet.endpoint_names():
            pid = fleet.process_by_name[name].child_.pid
            self.assertLess(held_bytes(pid), MAX_AGENT_BYTES)
        self.assertEqual(list(self.empty.iterdir()), [])

    async def _check_answers(self, fleet):
        cases = {
            "/v1/chat/completions": {"model": "desk-model", "messages": []},
            "/services/orders/file": {"n": 1},
        }
        for path, body in cases.items():
            with self.subTest(path):
                status, document = await fleet.call(
                    "entry-0", "POST", path, body, key="caller-key"
                )
                self.assertEqual(status, 200, document)

    async def _check_command(self, fleet):
        words = ["domain", "out", "north", "--entry", fleet.url("entry-0")]
        patch = {"failure_domains": {"spare": {"state": "in"}}}
        await fleet.patch_config(patch)
        environment = os.environ | {"SEQUOIAGAP_OPERATOR_KEY": "operator-key"}
        done = await asyncio.to_thread(
            subprocess.run,
            watched(self.shipped, *words),
            capture_output=True,
            text=True,
            env=environment,
            timeout=COMMAND_TIMEOUT_S,
        )
        # 3 is the answer of an entry that finds the change harmful.
        self.assertIn(done.returncode, (0, 3), done.stderr)
        self.assertNotIn("denied", done.stderr)

    def _check_process(self, pid, folder):
        self.assertEqual(children(pid), [])
        outside = [
            path
            for path in written_files(pid)
            if not path.startswith((MEMORY_FILE, str(folder)))
        ]
        self.assertEqual(outside, [])
        maps = pathlib.Path(f"/proc/{pid}/maps").read_text()
        self.assertIn(MEMORY_FILE, maps)
        self.assertNotIn("site-packages", maps)

    def test_same_inputs_give_the_same_bytes(self):
        again = self.folder / "again"
        self.build(again)
        self.assertEqual(again.read_bytes(), self.shipped.read_bytes())


class WatchTest(unittest.TestCase):
    """The checks above find what they are for."""

    def run_watched(self, text):
        """Run a script watched in a fresh folder; return its exit code."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "script.py"
            path.write_text(text)
            command = watched(path)
            return subprocess.run(command, cwd=folder, capture_output=True).returncode

    def test_forbidden_acts_are_denied(self):
        cases = {
            "nothing": ("", 0),
            "reading": ("open(__file__).read()", 0),
            "writing": ("open('x', 'w')", DENIED_EXIT_CODE),
            "appending": ("import os; os.open('x', os.O_CREAT)", DENIED_EXIT_CODE),
            "folder": ("import os; os.mkdir('x')", DENIED_EXIT_CODE),
            "temporary": ("import tempfile; tempfile.mkdtemp()", DENIED_EXIT_CODE),
            "fork": ("import os; os.fork()", DENIED_EXIT_CODE),
            "system": ("import os; os.system('true')", DENIED_EXIT_CODE),
            "child": ("import subprocess; subprocess.run('ls')", DENIED_EXIT_CODE),
        }
        for name, (text, code) in cases.items():
            with self.subTest(name):
                self.assertEqual(self.run_watched(text), code)

    def test_open_processes_and_files_are_found(self):
        script = (
            "import subprocess, sys; f = open('/dev/shm/' + sys.argv[1], 'w');"
            "p = subprocess.Popen(['sleep', '60']); print(p.pid, flush=True);"
            "sys.stdin.read(); p.kill(); p.wait()"
        )
        name = f"sequoiagap-test-{os.getpid()}"
        self.addCleanup(os.unlink, f"/dev/shm/{name}")
        with subprocess.Popen(
            [sys.executable, "-c", script, name],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        ) as child:
            grandchild = int(child.stdout.readline())
            self.assertEqual(children(child.pid), [grandchild])
            self.assertEqual(written_files(child.pid), [f"/dev/shm/{name}"])
            child.stdin.close()
