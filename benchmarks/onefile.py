"""Ways to ship the program, measured on an agent that starts.

Usage: ``python benchmarks/onefile.py [--runs N] [--memory-folder FOLDER]`` after
``tools/build.py``; FOLDER is memory-backed, the temporary folder by default.
Prints medians over the runs: size of what ships, time from start to the ready
line, resident memory, and memory held by unpacked files.
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
SHIPPED = ROOT / "dist/sequoiagap"
KIB = 1024
ROW = "{:<34}{:>12}{:>12}{:>14}{:>16}"
BARE = [sys.executable, "-I", "-S"]
RUN_UNPACKED = "import sys; sys.path.insert(0, {!r}); from sequoiagap import cli; \
sys.exit(cli.main(sys.argv[1:]))"


def settings(folder):
    """Write the settings of an agent and return their path."""
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
    """Start an agent; return seconds to ready, resident and memory-file bytes."""
    began = time.monotonic()
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
    ) as child:
        child.stdout.readline()
        ready = time.monotonic() - began
        status = pathlib.Path(f"/proc/{child.pid}/status").read_text()
        resident = int(re.search(r"VmRSS:\s+(\d+)", status)[1]) * KIB
        held = sum(memory_files(child.pid))
        child.kill()
    return ready, resident, held


def memory_files(pid):
    """Yield the size of each memory file that a process holds open."""
    for link in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(FileNotFoundError):  # closed in the meantime
            if str(link.readlink()).startswith("/memfd:"):
                yield link.stat().st_size


def measure(name, command, shipped, runs, unpacked=0):
    """Print the medians of one way."""
    found = [run_once(command) for _ in range(runs)]
    ready, resident, held = (
        statistics.median(column) for column in zip(*found, strict=True)
    )
    sizes = [shipped, ready, resident, held + unpacked]
    texts = [f"{sizes[0] / 1e6:.1f}", f"{ready:.2f}"]
    texts += [f"{value / 1e6:.1f}" for value in sizes[2:]]
    print(ROW.format(name, *texts))


def main():
    """Measure each way and print the table."""
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
        words = ["agent", settings(pathlib.Path(name))]
        size = SHIPPED.stat().st_size
        source = [sys.executable, "-m", "sequoiagap.cli", *words]
        measure("workspace, not packed", source, 0, runs)
        measure("archive, memory files", [*BARE, SHIPPED, *words], size, runs)
        zipfile.ZipFile(SHIPPED).extractall(memory)
        unpacked = sum(f.stat().st_size for f in pathlib.Path(memory).rglob("*"))
        code = RUN_UNPACKED.format(memory)
        command = [*BARE, "-c", code, *words]
        measure("unpacked whole into memory", command, size, runs, unpacked)


if __name__ == "__main__":
    main()
