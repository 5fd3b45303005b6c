"""What each metric means; ``docs/METRICS.md`` is written from it."""

METRIC_CATALOGUE = {
    "admitted_total": "requests that an entry took, by client `account`",
    "answered_total": "requests whose caller got the whole answer",
    "cut_total": "answers that were cut short after their first byte",
    "refused_total": "refused requests, by `kind`",
    "caller_left_total": "requests whose caller left before the whole answer",
    "request_seconds": "time from admission to the end of a request, by `target`",
    "attempts_total": "attempts that ended at an agent, by `result`",
    "attempt_seconds": "time of an answered attempt at the endpoint",
    "requests_in_flight": "requests that run at an entry now",
    "endpoint_in_flight": "attempts that run at the agent's endpoint now",
    "endpoint_limit": "attempts that the endpoint bears at once now",
    "connections": "open connections to the system's own processes",
    "config_version": "configuration version in force at the process",
    "platform_calls_total": "calls of the platform, waiting watches included",
    "log_lines_suppressed_total": "log lines left out by the rate bound, by `event`",
    "process_resident_bytes": "resident memory of the process",
    "process_cpu_seconds_total": "processor time of the process",
    "process_open_files": "open file descriptors of the process",
}
