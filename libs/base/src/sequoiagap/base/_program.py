"""Running of a role's process under signals."""

import asyncio
import json
import signal

from sequoiagap.base import _errors, _events

_log = _events.get_logger("program")


async def run_program(process, describe_ready):
    """Run a process until SIGTERM or SIGINT.

    SIGHUP makes it read its keys and certificates again; SIGUSR1 writes its state
    dump to the log. When it is ready, one line of JSON goes to standard output.

    :param process: object with coroutines ``start()`` and ``stop()``, and with
        ``reload()`` and ``dump_state()``.
    :param describe_ready: function that returns the line's content, a dict.
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
    """Read keys and certificates again; keep the old ones where they are bad."""
    try:
        process.reload()
    except _errors.ConfigError as error:
        _log.emit(_events.Event.RELOAD_FAILED, error=str(error))
        return
    _log.emit(_events.Event.PROCESS_RELOADED)


def _dump(process):
    _log.emit(_events.Event.STATE_DUMPED, state=process.dump_state())
