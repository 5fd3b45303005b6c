"""Case: a gateway is stopped as planned while callers receive large answers.

Usage: ``planned_stop.py RECORD``. Exit code 1 if the rule was broken, 0 if it held, 2
if the case could not run.
"""

import asyncio
import dataclasses
import json
import signal
import socket

import fleet
import revoked_key
import web

ANSWER_BYTES = 10_000_000
READING_BYTES_S = 1_400_000
PIECE_BYTES = 30_000
SEGMENT_BYTES = 1460  # of a network with ordinary frames
WINDOW_BYTES = 65536  # the links have small windows
TIMEOUT_MS = 8000
GRACE_S = 8.0
CALLERS = 4
CALM_S = 4.0  # without any disruption before the requests: StableWindowMs is 3,000
READING_BEFORE_S = 0.5  # a request is answered for this long when the signal comes


@dataclasses.dataclass
class Answer:
    """What a caller has received.

    :ivar float sent_at: when the request was sent, in seconds.
    :ivar float ended_at: when the answer ended, in seconds.
    """

    request_id: str
    status: object = None
    length: int = 0
    received: int = 0
    sent_at: float = 0.0
    ended_at: float = 0.0

    @property
    def is_whole(self):
        """Whether all bytes that were announced have arrived."""
        return self.status == 200 and self.received == self.length


class LargeDesk(revoked_key.Desk):
    """Deployment whose servers give large answers at once."""

    def config(self, version, keys):
        """Return a configuration whose route allows some seconds."""
        config = super().config(version, keys)
        config["Routes"][0]["TimeoutMs"] = TIMEOUT_MS
        return config

    def _handler(self, server_id):
        run = super()._handler(server_id)

        async def handle(request, writer):
            status, headers, body = await run(request, writer)
            return status, headers, body if status != 200 else b"x" * ANSWER_BYTES

        return handle

    async def read_slowly(self, number, gateway):
        """Send a request and read its answer at a steady rate."""
        answer = Answer(f"large{number:03d}")
        headers = {
            "Host": revoked_key.HOST,
            "Request-Id": answer.request_id,
            "Deadline-Ms": TIMEOUT_MS,
            "Authorization": f"Token {revoked_key.KEPT_KEY}",
        }
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        connection.setblocking(False)
        address = (revoked_key.GATEWAYS[gateway], self.ports[1])
        await asyncio.get_running_loop().sock_connect(connection, address)
        reader, writer = await asyncio.open_connection(
            sock=connection, limit=WINDOW_BYTES
        )
        answer.sent_at = self.record.now()
        self.record.add(f"sent {answer.request_id}")
        writer.write(web.make_request("GET", revoked_key.PATH, headers))
        try:
            answer.status, received = await web.read_head(reader)
            answer.length = int(received.get("content-length", 0))
            await self._read_body(reader, answer)
        except (OSError, asyncio.IncompleteReadError) as error:
            self.record.add(f"{answer.request_id}: {error!r}"[:120])
        finally:
            writer.close()
        self.record.add(
            f"answered {answer.request_id}: {answer.status},"
            f" {answer.received} of {answer.length} bytes"
        )
        answer.ended_at = self.record.now()
        return answer

    async def _read_body(self, reader, answer):
        loop = asyncio.get_running_loop()
        began = loop.time()
        while answer.received < answer.length:
            data = await reader.read(PIECE_BYTES)
            if not data:
                return
            answer.received += len(data)
            due_at = began + answer.received / READING_BYTES_S
            await asyncio.sleep(max(due_at - loop.time(), 0.0))


async def play(record, folder):
    """Play the case; return the exit code."""
    desk = LargeDesk(record, folder)
    gateway = "front-a-1"
    try:
        await desk.start()
        await asyncio.sleep(CALM_S)
        reading = [
            asyncio.create_task(desk.read_slowly(number, gateway))
            for number in range(CALLERS)
        ]
        await asyncio.sleep(READING_BEFORE_S)
        signalled_at = record.now()
        if fleet.has_trouble():
            desk.machines[gateway].send(signal.SIGTERM)
            record.add(f"SIGTERM to {gateway}")
            reading.append(asyncio.create_task(watch_end(desk, gateway)))
        answers = (await asyncio.gather(*reading))[:CALLERS]
    finally:
        desk.stop()
    return judge(record, answers, signalled_at)


async def watch_end(desk, name):
    """Record when the stopped process has ended."""
    has_ended = await asyncio.to_thread(desk.machines[name].wait_end, GRACE_S)
    desk.record.add(f"the process of {name} has ended: {has_ended}")


def judge(record, answers, signalled_at):
    """Return the exit code by what callers have received."""
    cut = [
        answer
        for answer in answers
        if not answer.is_whole
        and answer.ended_at - signalled_at <= GRACE_S + 1.0
        and answer.ended_at - answer.sent_at < TIMEOUT_MS / 1000
    ]
    for answer in cut:
        after_s = answer.ended_at - signalled_at
        record.add(f"broken: {answer.request_id} was cut {after_s:.1f} s after SIGTERM")
    whole = sum(answer.is_whole for answer in answers)
    summary = {"answers": len(answers), "whole": whole, "cut": len(cut)}
    record.add(json.dumps(summary))
    print(json.dumps(summary))
    if not all(answer.status == 200 for answer in answers):
        return 2
    return 1 if cut else 0


if __name__ == "__main__":
    fleet.run_case(play)
