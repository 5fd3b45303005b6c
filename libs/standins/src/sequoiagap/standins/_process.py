"""Child processes of a fleet."""

import asyncio
import json
import signal

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0


class Process:
    """A child process that printed its ports.

    :param str name: its name in the fleet.
    :param list command: program and arguments.
    :param pathlib.Path log_path: where its standard error goes.

    :ivar dict ready_: the JSON line that it printed when it was ready.
    """

    def __init__(self, name, command, log_path):
        self.name = name
        self.command = command
        self.log_path = log_path
        self.ready_ = {}
        self.child_ = None

    async def start(self):
        """Start the process and wait until it is ready."""
        with self.log_path.open("ab") as log:
            self.child_ = await asyncio.create_subprocess_exec(
                *self.command, stdout=asyncio.subprocess.PIPE, stderr=log
            )
        async with asyncio.timeout(READY_TIMEOUT_S):
            line = await self.child_.stdout.readline()
        if not line:
            raise RuntimeError(f"{self.name} failed: {self.log_path.read_text()}")
        self.ready_ = json.loads(line)

    def send_signal(self, number):
        """Send a signal while the process runs.

        :param int number: the signal.
        """
        if self.child_ is not None and self.child_.returncode is None:
            self.child_.send_signal(number)

    async def wait(self, timeout_s=STOP_TIMEOUT_S):
        """Wait for the end of the process and return its exit code.

        :param float timeout_s: longest wait, in seconds.
        :rtype: int
        """
        async with asyncio.timeout(timeout_s):
            return await self.child_.wait()

    async def kill(self):
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGKILL)
        await self.wait()
