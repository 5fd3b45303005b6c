"""Child processes of a test fleet."""

import asyncio
import json
import signal

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0


class Process:
    """Runs a child process that reports its ports on standard output.

    :param str name: name of the process in the fleet.
    :param list command: program and arguments.
    :param pathlib.Path log_path: file that receives its standard error.

    :ivar dict ready_: decoded JSON line that it printed when it was ready.
    """

    def __init__(self, name, command, log_path):
        self.name = name
        self.command = command
        self.log_path = log_path
        self.ready_ = {}
        self.child_ = None

    async def start(self):
        """Start the process and wait until it is ready.

        :raises RuntimeError: if the process ends before it is ready.
        :raises TimeoutError: if it is not ready in time.
        """
        with self.log_path.open("ab") as log:
            self.child_ = await asyncio.create_subprocess_exec(
                *self.command, stdout=asyncio.subprocess.PIPE, stderr=log
            )
        async with asyncio.timeout(READY_TIMEOUT_S):
            line = await self.child_.stdout.readline()
        if not line:
            raise RuntimeError(
                f"{self.name} ended before it was ready: {self.log_path.read_text()}"
            )
        self.ready_ = json.loads(line)

    def send_signal(self, number):
        """Send a signal if the process is running.

        :param int number: signal number.
        """
        if self.child_ is not None and self.child_.returncode is None:
            self.child_.send_signal(number)

    async def wait(self, timeout_s=STOP_TIMEOUT_S):
        """Wait until the process has ended and return its exit code.

        :param float timeout_s: maximum wait, in seconds.
        :rtype: int
        """
        async with asyncio.timeout(timeout_s):
            return await self.child_.wait()

    async def kill(self):
        """Kill the process and wait until it has ended."""
        self.send_signal(signal.SIGKILL)
        await self.wait()
