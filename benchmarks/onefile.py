"""Start time and memory of an agent, by way of packaging the program.

Usage: ``python benchmarks/onefile.py [--runs N] [--memory-folder FOLDER]`` after
``tools/build.py``; FOLDER is on a memory-backed file system, by default the temporary
folder. Prints medians over the runs: size of the shipped file, time from start to the
ready line, resident memory, and memory of unpacked files.
"""

import argparse
import contextlib
import json
import pathlib
import re
import statistics
import subprocess
import sys
import tempfile
import time
import zipfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
ARCHIVE = ROOT / "dist/sequoiagap"
KIB = 1024
ROW = "{:<34}{:>12}{:>12}{:>14}{:>16}"
ISOLATED_PYTHON = [sys.executable, "-I", "-S"]
UNPACKED_PROGRAM = "import sys; sys.path.insert(0, {!r}); from sequoiagap import cli; \
sys.exit(cli.main(sys.argv[1:]))"


def write_settings(folder):
    """Write a settings file of an agent and return its path."""
    (folder / "secret").write_text("the-deployment-secret")
    document = {
        "role": "agent",
        "node_id": "a1",
        "deployment": "d",
        "region": "r",
        "failure_domain": "f",
        "address": "127.0.0.1",
        "port": 0,
        "platform": {"url": "http://127.0.0.1:1"},
        "secret_file": str(folder / "secret"),
        "endpoint": {"kind": "model", "url": "http://127.0.0.1:2", "serves": ["m"]},
    }
    path = folder / "agent.json"
    path.write_text(json.dumps(document))
    return str(path)


def run_once(command):
    """Start an agent; return seconds until ready, resident and memory file bytes."""
    started_at = time.monotonic()
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
    ) as child:
        child.stdout.readline()
        ready_s = time.monotonic() - started_at
        status = pathlib.Path(f"/proc/{child.pid}/status").read_text()
        resident_bytes = int(re.search(r"VmRSS:\s+(\d+)", status)[1]) * KIB
        memory_file_bytes = sum(memory_file_sizes(child.pid))
        child.kill()
    return ready_s, resident_bytes, memory_file_bytes


def memory_file_sizes(pid):
    """Yield the size in bytes of each memory file that a process has open."""
    for link in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(FileNotFoundError):  # closed in the meantime
            if str(link.readlink()).startswith("/memfd:"):
                yield link.stat().st_size


def measure(name, command, shipped_bytes, runs, unpacked_bytes=0):
    """Print the medians of one way of packaging.

    :param str name: name in the printed table.
    :param list command: command that starts the agent.
    :param int shipped_bytes: size of the shipped file.
    :param int runs: number of runs.
    :param int unpacked_bytes: size of files unpacked before the start.
    """
    measurements = [run_once(command) for _ in range(runs)]
    ready_s, resident_bytes, memory_file_bytes = (
        statistics.median(column) for column in zip(*measurements, strict=True)
    )
    sizes = [shipped_bytes, ready_s, resident_bytes, memory_file_bytes + unpacked_bytes]
    texts = [f"{sizes[0] / 1e6:.1f}", f"{ready_s:.2f}"]
    texts += [f"{value / 1e6:.1f}" for value in sizes[2:]]
    print(ROW.format(name, *texts))


def main():
    """Measure each way of packaging and print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--runs", type=int, default=9)
    parser.add_argument("--memory-folder", default=tempfile.gettempdir())
    options = parser.parse_args()
    runs = options.runs
    print(ROW.format("way", "ships MB", "ready s", "resident MB", "unpacked MB"))
    with (
        tempfile.TemporaryDirectory() as name,
        tempfile.TemporaryDirectory(dir=options.memory_folder) as memory,
    ):
        arguments = ["agent", write_settings(pathlib.Path(name))]
        size = ARCHIVE.stat().st_size
        source = [sys.executable, "-m", "sequoiagap.cli", *arguments]
        measure("workspace, not packed", source, 0, runs)
        measure(
            "archive, memory files", [*ISOLATED_PYTHON, ARCHIVE, *arguments], size, runs
        )
        zipfile.ZipFile(ARCHIVE).extractall(memory)
        unpacked_bytes = sum(f.stat().st_size for f in pathlib.Path(memory).rglob("*"))
        code = UNPACKED_PROGRAM.format(memory)
        command = [*ISOLATED_PYTHON, "-c", code, *arguments]
        measure("unpacked whole into memory", command, size, runs, unpacked_bytes)


if __name__ == "__main__":
    main()
