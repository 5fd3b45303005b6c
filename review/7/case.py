"""A caller that resumes a stream after a broken connection misses pieces of it."""

import asyncio
import pathlib
import re
import secrets
import sys

from standins_2 import clients, deployment, http, programs

RECORD = pathlib.Path(__file__).resolve().parent / "record.txt"
KEY = "a-key"
SERVERS = 3
CALLERS = 6
EVENTS = 60
EVENT_S = 0.05
FIRST_ID = 1_790_000_000_000_000_131  # servers count on from a time in ns
DEADLINE_S = 8.0
KILL_AFTER_S = 1.0
EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)


def configuration():
    """Return the configuration: one route whose streams may be resumed."""
    return deployment.configuration(
        3,
        [deployment.route("drafts", "/stream/", "stream", "llm", Resumable=True)],
        [deployment.service("llm", Engine={"Slots": 6})],
        [KEY],
    )


async def follow(front, prompt, last_id, deadline_s, record):
    """Read one stream; return its event ids and whether it ended as complete."""
    request_id = secrets.token_hex(8)
    headers = [
        ("Host", clients.HOST),
        ("Request-Id", request_id),
        ("Deadline-Ms", int(deadline_s * 1000)),
        ("Model", "m"),
        ("Token-Counts", "600,60"),
        ("Prompt-Prefix", prompt),
        ("Authorization", f"Token {KEY}"),
    ]
    if last_id is not None:
        headers.append(("Last-Event-Id", last_id))
    reader, writer = await asyncio.open_connection(front, programs.FRONT_PORT)
    writer.write(http.write("POST /stream/1 HTTP/1.1", headers))
    record.write("sent", id=request_id, to=front, last_event_id=last_id)
    data, is_complete, status = b"", False, 0
    try:
        async with asyncio.timeout(deadline_s):
            head = await http.read_head(reader)
            status = head.status if head is not None else 0
            while piece := await http.read_chunk(reader):
                data += piece
            is_complete = status == 200
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        record.write("broken-off", id=request_id, error=repr(error))
    writer.close()
    ids = [int(found) for found in EVENT_ID.findall(data)]
    record.write(
        "answered",
        id=request_id,
        status=status,
        complete=is_complete,
        first=min(ids, default=None),
        last=max(ids, default=None),
        events=len(ids),
    )
    return ids, is_complete


async def read_whole(fronts, record):
    """Read a stream, and resume it elsewhere once if its connection breaks.

    :returns: the ids of all events in the order they came, and whether the last
        answer ended as complete.
    """
    prompt = f"5c1e07a2:400,{secrets.token_hex(4)}:200"
    began = record.now()
    ids, is_complete = await follow(fronts[0], prompt, None, DEADLINE_S, record)
    if is_complete:
        return ids, True
    last_id = ids[-1] if ids else None
    left_s = began + DEADLINE_S - record.now()
    more, is_complete = await follow(fronts[1], prompt, last_id, left_s, record)
    return ids + more, is_complete


async def kill(gateway, record):
    """Kill a gateway while streams run there."""
    await asyncio.sleep(KILL_AFTER_S)
    gateway.kill()
    record.write("killed", gateway=gateway.name)


async def play(setup, record):
    """Play the case; return whether the rule was broken, and what was seen."""
    setup.platform.put("config", "main", configuration())
    for number in range(SERVERS):
        server = setup.add_server(f"i-{number}", "llm", programs.ZONES[number])
        server.first_id = FIRST_ID
        server.events, server.event_s = EVENTS, EVENT_S
        setup.add_agent(server)
    for zone in programs.ZONES[:2]:
        setup.add_gateway(f"front-{zone}", zone)
    await setup.start()
    steps = [read_whole(setup.fronts, record) for _ in range(CALLERS)]
    if deployment.HAS_TROUBLE:
        steps.append(kill(setup.gateways[0], record))
    outcomes = (await asyncio.gather(*steps))[:CALLERS]
    wanted = list(range(FIRST_ID, FIRST_ID + EVENTS))
    broken = 0
    for ids, is_complete in outcomes:
        missing = sorted(set(wanted) - set(ids))
        twice = sorted({found for found in ids if ids.count(found) > 1})
        broken += is_complete and bool(missing or twice)
        record.write(
            "stream", complete=is_complete, missing=len(missing), twice=len(twice)
        )
    complete = sum(is_complete for _, is_complete in outcomes)
    record.write("result", streams=len(outcomes), complete=complete, broken=broken)
    if not complete:
        raise RuntimeError("no stream ended as complete")
    seen = f"{broken} of {complete} complete streams lack pieces or have some twice"
    return broken > 0, seen


if __name__ == "__main__":
    sys.exit(deployment.run_case(play, RECORD))
