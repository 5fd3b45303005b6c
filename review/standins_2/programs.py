"""Starts the project's own programs with the commands of its deploy file.

Every run uses addresses of its own in 127.0.0.0/8, one for each machine, so that all
machines can have the same ports, as they have on the platform.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
STOP_S = 5.0
ZONES = ("pnw-a", "pnw-b", "pnw-c")
BOUNDS = {  # those of the small sites
    "RevokeMs": 5000,
    "GraceS": 8,
    "RetryBudgetRatio": 0.2,
    "RetryBudgetSlack": 88,
    "BudgetWindowS": 10,
    "ColdOvershoot": 1.5,
    "ColdSlack": 5,
}
_METRICS_PORT = re.compile(r'"metrics_port": \d+')
_PLACEHOLDER = re.compile(r"\{\{([A-Za-z0-9_.]+)(\|json)?\}\}")


def _free_port():
    """Return a port that is free at all addresses, for TCP and UDP."""
    while True:
        with (
            socket.socket() as stream,
            socket.socket(type=socket.SOCK_DGRAM) as datagrams,
        ):
            stream.bind(("", 0))
            port = stream.getsockname()[1]
            try:
                datagrams.bind(("", port))
            except OSError:
                continue
            return port


FRONT_PORT = _free_port()
READY_PORT = _free_port()
INTERNAL_PORT = _free_port()
METRICS_PORT = _free_port()
STORE_PORT = _free_port()
SERVER_PORT = _free_port()


class Addresses:
    """Hands out loopback addresses that no other run has."""

    def __init__(self):
        self.prefix = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self._next = 1

    def take(self):
        """Return a new address."""
        self._next += 1
        return f"{self.prefix}.{self._next}"


class Record:
    """Writes what was sent, answered and run to a file, with the time of each line."""

    def __init__(self, path):
        self._descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        self.began = time.monotonic()

    def write(self, kind, **fields):
        """Write one line."""
        at = time.monotonic() - self.began
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        os.write(self._descriptor, f"{at:8.3f} {kind} {text}\n".encode())

    def now(self):
        """Return the seconds since the run began."""
        return time.monotonic() - self.began

    def close(self):
        """Close the file."""
        os.close(self._descriptor)


class Program:
    """One process of a role on one machine.

    :param str role: ``gateway`` or ``ranks``.
    :param dict fields: the platform's fields of its machine.
    :param folder: temporary folder of the run.
    """

    def __init__(self, role, fields, folder):
        self.role = role
        self.fields = fields
        self.name = fields["Node"]
        self.folder = pathlib.Path(folder)
        self.process = None

    async def start(self):
        """Start the process as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"][self.role]
        settings = self.folder / f"{self.name}.yaml"
        settings.write_text(_render((ROOT / role["template"]).read_text(), self.fields))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= role.get("env", {})
        environment["SEQUOIAGAP_CONFIG"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        log = os.open(self.folder / f"{self.name}.log", flags, 0o644)
        self.process = await asyncio.create_subprocess_exec(
            *role["run"].split(),
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        os.close(log)

    def kill(self):
        """End the process at once."""
        self._signal(signal.SIGKILL)

    def terminate(self):
        """Ask the process to stop."""
        self._signal(signal.SIGTERM)

    def log_lines(self, event):
        """Return the decoded log lines of one event."""
        found = []
        path = self.folder / f"{self.name}.log"
        for line in path.read_text(errors="replace").splitlines():
            if f'"{event}"' in line:
                try:
                    found.append(json.loads(line[line.index("{") :]))
                except ValueError:
                    continue
        return found

    async def stop(self):
        """End the process and wait for it."""
        if self.process is None:
            return
        self.kill()
        await asyncio.wait_for(self.process.wait(), STOP_S)

    def _signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


def gateway_fields(name, zone, address, store_address):
    """Return the platform's fields of a front machine."""
    return _fields(name, zone, address, store_address) | {
        "Listen": {
            "Front": f"{address}:{FRONT_PORT}",
            "Ready": f"{address}:{READY_PORT}",
        }
    }


def rank_fields(name, zone, address, store_address, endpoint, service):
    """Return the platform's fields of a machine beside a model server."""
    more = {"app": endpoint, "Service": service, "Limits": {"LinkMbps": 10.0}}
    return _fields(name, zone, address, store_address) | more


def temporary_folder():
    """Return a temporary folder, to be used with ``with``."""
    return tempfile.TemporaryDirectory(prefix="sequoiagap-review-")


def _fields(name, zone, address, store_address):
    return {
        "Node": name,
        "Zone": zone,
        "Region": "pnw",
        "Ip": address,
        "InternalPorts": [INTERNAL_PORT, INTERNAL_PORT + 15],
        "Platform": {"Address": store_address},
        "Bounds": BOUNDS,
    }


def _render(template, fields):
    def fill(match):
        value = fields
        for part in match.group(1).split("."):
            value = value[int(part)] if part.isdigit() else value[part]
        return json.dumps(value) if match.group(2) else str(value)

    text = _PLACEHOLDER.sub(fill, template)
    return _METRICS_PORT.sub(f'"metrics_port": {METRICS_PORT}', text)
