"""Sizes and processor time of data that grows with the fleet, at the design size.

Usage: ``python -m benchmarks.sizes``.
"""

import json
import random
import time
import tracemalloc

from sequoiagap import admission, config, wire

ACCOUNTS = 2500
MODELS = 17
DOMAINS = 12
HOSTS = 10_870
ENTRY_IN_FLIGHT = 745
REPEATS = 50
MS_PER_S = 1000


def make_document():
    """Return a configuration of the design size.

    :rtype: dict
    """
    return {
        "failure_domains": {f"domain-{i}": {"state": "in"} for i in range(DOMAINS)},
        "models": {f"model-{i}": {"repeatable": True} for i in range(MODELS)},
        "client_accounts": {
            _account_name(i): {"weight": 1 + i % 5, "max_in_flight": 256}
            for i in range(ACCOUNTS)
        },
    }


def measure_cpu_ms(call):
    """Return the mean processor time of a call, in milliseconds.

    :param call: function without arguments.
    :rtype: float
    """
    started_s = time.process_time()
    for _ in range(REPEATS):
        call()
    return (time.process_time() - started_s) / REPEATS * MS_PER_S


def measure_held_bytes(text):
    """Return the memory of a configuration in force, in bytes.

    :param str text: configuration document as JSON.
    :rtype: int
    """
    tracemalloc.start()
    holder = config.ConfigHolder()
    holder.adopt(config.ConfigVersion.from_json(1, text), "platform")
    patch = {"client_accounts": {_account_name(1): {"weight": 9}}}
    step = config.Step(2, patch)
    holder.adopt(holder.current_.apply([patch]), "peer", [step])
    digest = holder.current_.digest
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held_bytes if digest else 0


def make_queue():
    """Return a fair queue with one waiting request per account in flight at an entry.

    :rtype: sequoiagap.admission.FairQueue
    """
    queue = admission.FairQueue(1.0, random.Random(0))
    for i in range(ENTRY_IN_FLIGHT):
        queue.offer(_account_name(i), i, 1.0, ENTRY_IN_FLIGHT)
    return queue


def _account_name(number):
    return f"client-account-{number:04d}"


def main():
    """Measure and print all sizes and times."""
    version = config.ConfigVersion.from_json(1, json.dumps(make_document()))
    text = version.to_json()
    used_s = {_account_name(i): 1.0 for i in range(30)}
    in_flight = {_account_name(i): 1 for i in range(ENTRY_IN_FLIGHT)}
    usage = admission.AccountUsage("entry-000", "inc-0", used_s, in_flight)
    host = {
        "host_id": "region-0-domain-00-model-0000",
        "role": "agent",
        "address": "10.0.0.1",
        "port": 40000,
        "failure_domain": "region-0-domain-00",
        "state": "live",
        "serves": ["model-1"],
    }
    queue = make_queue()
    print(f"configuration document: {len(text)} bytes")
    parse_ms = measure_cpu_ms(lambda: config.ConfigVersion.from_json(1, text))
    print(f"configuration parsed: {parse_ms:.2f} ms")
    print(f"configuration held: {measure_held_bytes(text)} bytes")
    print(f"host list: {len(json.dumps(host)) * HOSTS} bytes")
    print(f"report of usage: {len(wire.encode(usage))} bytes")
    print(f"turn in the fair queue: {measure_cpu_ms(queue.pop):.3f} ms")


if __name__ == "__main__":
    main()
