"""Case: callers send orders with an encoded body.

Usage: ``encoded_body.py RECORD``. Exit code 1 if the rule was broken, 0 if it held,
2 if the case could not run.
"""

import asyncio
import gzip
import hashlib
import json

import fleet
import revoked_key
import web

PATH = "/registry/orders"
ORDERS = 20
INTERVAL_S = 0.1


def make_order(number):
    """Return the body of an order, as a caller writes it."""
    order = {"order": number, "stone": "basalt", "pieces": 2, "note": "mortar " * 20}
    return json.dumps(order).encode()


def digest(body):
    """Return a short digest of a body."""
    return f"{len(body)} bytes, {hashlib.sha256(body).hexdigest()[:12]}"


class OrderDesk(revoked_key.Desk):
    """Deployment whose servers keep the body of each request that they run.

    :ivar dict body_by_id: body that a server received, by request id.
    """

    def __init__(self, record, folder):
        super().__init__(record, folder)
        self.body_by_id = {}

    def _handler(self, server_id):
        run = super()._handler(server_id)

        async def handle(request, writer):
            answer = await run(request, writer)
            if answer[0] == 200:
                request_id = request.headers["request-id"]
                self.body_by_id[request_id] = request.body
                encoding = request.headers.get("content-encoding", "none")
                self.record.add(
                    f"run {request_id}: {digest(request.body)}, encoding {encoding}"
                )
            return answer

        return handle

    async def send_order(self, number):
        """Send an order; return its request id, the body sent and the status."""
        request_id = f"order{number:04d}"
        headers = {
            "Host": revoked_key.HOST,
            "Request-Id": request_id,
            "Deadline-Ms": 1000,
            "Authorization": f"Token {revoked_key.KEPT_KEY}",
            "Content-Type": "application/json",
        }
        body = make_order(number)
        if fleet.has_trouble():
            headers["Content-Encoding"] = "gzip"
            body = gzip.compress(body)
        self.record.add(f"sent {request_id}: {digest(body)}")
        gateways = list(revoked_key.GATEWAYS.values())
        address = gateways[number % len(gateways)]
        status, _, _ = await web.call(
            address, self.ports[1], "POST", PATH, headers, body
        )
        self.record.add(f"answered {request_id}: {status}")
        return request_id, body, status


async def play(record, folder):
    """Play the case; return the exit code."""
    desk = OrderDesk(record, folder)
    sent = []
    try:
        await desk.start()
        for number in range(ORDERS):
            sent.append(await desk.send_order(number))
            await asyncio.sleep(INTERVAL_S)
    finally:
        desk.stop()
    return judge(desk, record, sent)


def judge(desk, record, sent):
    """Return the exit code by what clients and servers have seen."""
    changed = [
        request_id
        for request_id, body, _ in sent
        if desk.body_by_id.get(request_id, body) != body
    ]
    summary = {
        "sent": len(sent),
        "answered_200": sum(status == 200 for _, _, status in sent),
        "run": len(desk.body_by_id),
        "run_with_another_body": len(changed),
    }
    record.add(json.dumps(summary))
    print(json.dumps(summary))
    if not desk.body_by_id:
        return 2
    return 1 if changed else 0


if __name__ == "__main__":
    fleet.run_case(play)
