"""Main loop of a process: start, readiness line and signal handling."""

import asyncio
import json
import signal

from sequoiagap.base import _errors, _events

_log = _events.get_logger("program")


async def run_program(process, describe_ready):
    """Run a process until SIGTERM or SIGINT.

    SIGHUP reloads keys and certificates; SIGUSR1 writes the state dump to the log.
    When the process is ready, one line of JSON is printed to standard output.

    :param process: object with the coroutines ``start()`` and ``stop()``, and with
        ``reload()`` and ``dump_state()``.
    :param describe_ready: function that returns the content of the line as a dict.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, process)
    loop.add_signal_handler(signal.SIGUSR1, _dump, process)
    await process.start()
    print(json.dumps(describe_ready()), flush=True)
    await stopped.wait()
    await process.stop()


def _reload(process):
    """Reload keys and certificates; keep those in use if the new ones are invalid."""
    try:
        process.reload()
    except _errors.ConfigError as error:
        _log.emit(_events.Event.RELOAD_FAILED, error=str(error))
        return
    _log.emit(_events.Event.PROCESS_RELOADED)


def _dump(process):
    _log.emit(_events.Event.STATE_DUMPED, state=process.dump_state())
