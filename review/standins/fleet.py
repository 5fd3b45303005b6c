"""Machines of a small deployment: the project's roles as separate processes."""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

import web

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
RUN = ["python3", "platform/run.py"]  # of both roles in the deploy file
EXIT_COULD_NOT_RUN = 2
LOGGED_CHARACTERS = 1500  # of each process, if the case could not run


def free_ports(addresses, count):
    """Return ports that are free, for TCP, at each of the addresses."""
    found = []
    while len(found) < count:
        port = random.randrange(20_000, 32_000)
        if port in found:
            continue
        try:
            for address in addresses:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((address, port))
        except OSError:
            continue
        found.append(port)
    return found


class Machine:
    """A machine that runs one role; the platform starts it again after it ended.

    :param str name: its node id.
    :param dict settings: settings of its role.
    :param pathlib.Path folder: folder for settings and logs.
    """

    def __init__(self, name, settings, folder):
        self.name = name
        self.settings = settings
        self.folder = pathlib.Path(folder)
        self._process = None

    def start(self):
        """Start the process with the command of the deploy file."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        kept = ("PATH", "HOME", "LANG")
        environment = {key: os.environ[key] for key in kept if key in os.environ}
        environment |= {
            "SEQUOIAGAP_CONFIG": str(path),
            "PYTHONPATH": "target/deps",
            "SSL_CERT_FILE": "/dev/null",
            "SSL_CERT_DIR": "/dev/null",
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                RUN, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def kill(self):
        """Kill the process and wait for its end."""
        if self._process is not None:
            self._process.send_signal(signal.SIGKILL)
            self._process.wait()
            self._process = None

    def send(self, number):
        """Send a signal to the process."""
        self._process.send_signal(number)

    def wait_end(self, timeout_s):
        """Wait until the process has ended by itself; return whether it has."""
        try:
            self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return False
        return True


def gateway_settings(name, address, zone, ports, store):
    """Return the settings of a gateway, as the template of its role gives them."""
    internal, front, ready, metrics = ports
    return {
        "role": "gateway",
        "node_id": name,
        "deployment": "sequoiagap",
        "region": "local",
        "failure_domain": zone,
        "address": address,
        "port": internal,
        "store": {"url": f"http://{store}"},
        "metrics_port": metrics,
        "front_address": f"{address}:{front}",
        "ready_address": f"{address}:{ready}",
        "key_proof_ms": 5000,
        "grace_s": 8,
        "retry_ratio": 0.2,
        "retry_slack": 88,
        "retry_window_s": 10,
        "cold_overshoot": 1.5,
        "cold_slack": 5,
    }


def ranks_settings(name, address, zone, ports, store, endpoint, service):
    """Return the settings of an agent, as the template of its role gives them."""
    internal, metrics = ports
    return {
        "role": "ranks",
        "node_id": name,
        "deployment": "sequoiagap",
        "region": "local",
        "failure_domain": zone,
        "address": address,
        "port": internal,
        "store": {"url": f"http://{store}"},
        "metrics_port": metrics,
        "link_mbit_s": 10.0,
        "endpoint": endpoint,
        "service": service,
    }


async def wait_ready(address, port, timeout_s=15.0):
    """Wait until a gateway says that it is ready; return whether it did."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            status, _, _ = await web.call(address, port, "GET", "/api/readiness", {})
        except (OSError, TimeoutError):
            status = 0
        if status == 200:
            return True
        await asyncio.sleep(0.1)
    return False


class Record:
    """Writes what was sent, answered and run, with the time since the start.

    :param pathlib.Path path: the file.
    """

    def __init__(self, path):
        self._file = pathlib.Path(path).open("w")  # noqa: SIM115
        self._began = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def add(self, text):
        """Write a line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


def has_trouble():
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(play):
    """Run a case and end this process with its exit code.

    If it is told to stop, it ends all processes that it started first.

    :param play: coroutine function that takes the record and a folder for settings and
        logs, and returns the exit code.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_COULD_NOT_RUN))
    record = Record(sys.argv[1])
    with tempfile.TemporaryDirectory() as folder:
        try:
            code = asyncio.run(play(record, folder))
        except Exception as error:
            print(f"could not run: {error!r}")
            code = EXIT_COULD_NOT_RUN
        if code == EXIT_COULD_NOT_RUN:
            for log in sorted(pathlib.Path(folder).glob("*.log")):
                print(log.name, log.read_text(errors="replace")[-LOGGED_CHARACTERS:])
    record.close()
    sys.exit(code)
