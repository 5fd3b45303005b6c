"""Runs a program under an audit hook that denies child processes and file writes.

Usage: ``python -I -S run_audited.py PROGRAM [ARGUMENT ...]``. PROGRAM is an archive
or a script; it is ended with exit code 99 at the first denied operation.
"""

import os
import runpy
import sys

DENIED_EXIT_CODE = 99
WRITE_FLAGS = os.O_WRONLY | os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND
DENIED_PREFIXES = (
    "os.exec",
    "os.fork",
    "os.link",
    "os.mkdir",
    "os.posix_spawn",
    "os.remove",
    "os.rename",
    "os.rmdir",
    "os.spawn",
    "os.symlink",
    "os.system",
    "os.truncate",
    "pty.",
    "shutil.",
    "subprocess.",
    "tempfile.",
)


def deny_event(event, arguments):
    """Print a denied audit event and end the process."""
    writes = event == "open" and (arguments[2] or 0) & WRITE_FLAGS
    if writes or event.startswith(DENIED_PREFIXES):
        os.write(2, f"denied: {event} {arguments}\n".encode())
        os._exit(DENIED_EXIT_CODE)


sys.argv = sys.argv[1:]
sys.addaudithook(deny_event)
runpy.run_path(sys.argv[0], run_name="__main__")
