"""Memory, processor time and file descriptors used by the process."""

import dataclasses
import os
import pathlib
import resource

from sequoiagap.base import _events

_STATM = pathlib.Path("/proc/self/statm")
_DESCRIPTORS = pathlib.Path("/proc/self/fd")
_RESIDENT_FIELD = 1


@dataclasses.dataclass(frozen=True)
class Usage:
    """Resource usage of a process.

    :param int resident_bytes: resident memory in bytes.
    :param float cpu_seconds: user and system time since the start, in seconds.
    :param int open_files: open file descriptors, sockets included.
    """

    resident_bytes: int
    cpu_seconds: float
    open_files: int


def read_usage():
    """Return the resource usage of this process.

    :rtype: Usage

    >>> read_usage().resident_bytes > 0
    True
    """
    pages = int(_STATM.read_text().split()[_RESIDENT_FIELD])
    times = resource.getrusage(resource.RUSAGE_SELF)
    return Usage(
        resident_bytes=pages * os.sysconf("SC_PAGE_SIZE"),
        cpu_seconds=times.ru_utime + times.ru_stime,
        open_files=len(os.listdir(_DESCRIPTORS)),
    )


def collect_process_metrics(metrics, config_version, platform_calls):
    """Update the metrics that every process has and return all its metrics.

    :param Metrics metrics: metrics of the process.
    :param int config_version: configuration version in force.
    :param int platform_calls: calls to the platform so far.
    :rtype: dict
    """
    usage = read_usage()
    metrics.set_gauge("process_resident_bytes", usage.resident_bytes)
    metrics.set_gauge("process_open_files", usage.open_files)
    metrics.set_gauge("config_version", config_version)
    metrics.set_counter("process_cpu_seconds_total", usage.cpu_seconds)
    metrics.set_counter("platform_calls_total", platform_calls)
    for event, count in _events.suppressed_lines().items():
        metrics.set_counter("log_lines_suppressed_total", count, event=event)
    return metrics.to_document()
