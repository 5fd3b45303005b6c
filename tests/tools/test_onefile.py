"""The single-file distribution serves requests in one process and writes no files."""

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
AUDIT_RUNNER = support.ROOT / "tests/tools/run_audited.py"
DENIED_EXIT_CODE = 99
WRITE_FLAGS = os.O_WRONLY | os.O_RDWR
COMMAND_TIMEOUT_S = 30.0
MEMORY_FILE = "/memfd:"
KIB = 1024
MAX_AGENT_BYTES = 64_000_000


def audited_command(program, *arguments):
    """Return the command that runs a program under the audit hook.

    The program sees no installed packages.
    """
    return (sys.executable, "-I", "-S", str(AUDIT_RUNNER), str(program), *arguments)


def child_pids(pid):
    """Return the ids of the direct child processes of a process."""
    found = []
    for path in pathlib.Path("/proc").glob("[0-9]*/stat"):
        try:
            text = path.read_text()
        except OSError:
            continue
        if int(text.rpartition(")")[2].split()[1]) == pid:
            found.append(int(path.parent.name))
    return found


def writable_files(pid):
    """Return the paths of the regular files that a process has open for writing."""
    found = []
    for link in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        try:
            target = os.readlink(link)
            info = pathlib.Path(f"/proc/{pid}/fdinfo/{link.name}").read_text()
        except OSError:
            continue
        flags = int(info.partition("flags:")[2].split()[0], 8)
        if flags & WRITE_FLAGS and target.startswith("/") and os.path.isfile(link):
            found.append(target)
    return found


def memory_bytes(pid):
    """Return the resident private memory of a process plus its memory files."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    kib_by_name = dict(re.findall(r"(VmRSS|RssShmem):\s+(\d+)", status))
    private_kib = int(kib_by_name["VmRSS"]) - int(kib_by_name["RssShmem"])
    memory_file_bytes = 0
    for link in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(FileNotFoundError):  # closed in the meantime
            if os.readlink(link).startswith(MEMORY_FILE):
                memory_file_bytes += link.stat().st_size
    return private_kib * KIB + memory_file_bytes


class OneFileTest(unittest.IsolatedAsyncioTestCase):
    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.folder = pathlib.Path(folder.name)
        cls.archive = cls.folder / "sequoiagap"
        cls.build(cls.archive)

    @classmethod
    def build(cls, output):
        """Build the single-file distribution."""
        command = [sys.executable, str(BUILD), "--output", str(output)]
        subprocess.run(command, check=True, capture_output=True)

    def setUp(self):
        """Set working, home and temporary folder to one that must stay empty."""
        self.empty = self.folder / "empty"
        self.empty.mkdir(exist_ok=True)
        self.addCleanup(os.chdir, os.getcwd())
        os.chdir(self.empty)
        for name in ("HOME", "TMPDIR"):
            self.addCleanup(os.environ.__setitem__, name, os.environ.get(name, "/"))
            os.environ[name] = str(self.empty)

    async def test_thin_path(self):
        plan = standins.FleetPlan(
            domains=("north",), entries=1, program=audited_command(self.archive)
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
            self.assertLess(memory_bytes(pid), MAX_AGENT_BYTES)
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
        arguments = ["domain", "out", "north", "--entry", fleet.url("entry-0")]
        patch = {"failure_domains": {"spare": {"state": "in"}}}
        await fleet.patch_config(patch)
        environment = os.environ | {"SEQUOIAGAP_OPERATOR_KEY": "operator-key"}
        completed = await asyncio.to_thread(
            subprocess.run,
            audited_command(self.archive, *arguments),
            capture_output=True,
            text=True,
            env=environment,
            timeout=COMMAND_TIMEOUT_S,
        )
        # Exit code 3: the entry rejects the change as harmful.
        self.assertIn(completed.returncode, (0, 3), completed.stderr)
        self.assertNotIn("denied", completed.stderr)

    def _check_process(self, pid, folder):
        self.assertEqual(child_pids(pid), [])
        outside = [
            path
            for path in writable_files(pid)
            if not path.startswith((MEMORY_FILE, str(folder)))
        ]
        self.assertEqual(outside, [])
        maps = pathlib.Path(f"/proc/{pid}/maps").read_text()
        self.assertIn(MEMORY_FILE, maps)
        self.assertNotIn("site-packages", maps)

    def test_same_inputs_give_the_same_bytes(self):
        second_build = self.folder / "again"
        self.build(second_build)
        self.assertEqual(second_build.read_bytes(), self.archive.read_bytes())


class AuditTest(unittest.TestCase):
    """The audit hook and the process checks detect what they are meant to detect."""

    def run_audited(self, text):
        """Run a script under the audit hook in a new folder; return its exit code."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "script.py"
            path.write_text(text)
            command = audited_command(path)
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
                self.assertEqual(self.run_audited(text), code)

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
            self.assertEqual(child_pids(child.pid), [grandchild])
            self.assertEqual(writable_files(child.pid), [f"/dev/shm/{name}"])
            child.stdin.close()
