"""What each metric means; ``docs/METRICS.md`` is written from it."""

METRIC_CATALOGUE = {
    "answered_total": "requests whose caller got the whole answer",
    "cut_total": "answers that were cut short after their first byte",
    "queue_seconds": "time that admitted requests waited for a slot",
    "requests_waiting": "requests that wait for a slot at an entry now",
    "shed_total": "requests refused for lack of capacity, at once or after a wait",
    "attempts_total": "first attempts that the entry has sent",
    "retries_total": "further attempts that the retry budget has granted",
    "refused_total": "refused requests, by `kind`",
    "caller_left_total": "requests whose caller left before the whole answer",
    "request_seconds": "time from admission to the end of a request",
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
