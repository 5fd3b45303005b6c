"""Relay that delays, duplicates and reorders frames of the group protocol."""

import asyncio
import collections
import random

from sequoiagap import base, wire
from sequoiagap.standins import _relay

GROUP_MESSAGE_NUMBERS = range(400, 500)  # numbers of the messages between ranks


class FrameRelay(_relay.Relay):
    """Forwards whole frames; those between ranks can be late, duplicated and reordered.

    Each copy of a frame has its own random delay, so that frames are reordered within
    one connection. All other frames are forwarded at once.

    :param int target_port: TCP port of the target; may be changed later.
    :param int random_state: seed of the delays.

    :ivar int copies_: number of copies of each frame between ranks.
    :ivar float spread_s_: maximum delay of a copy, in seconds.
    :ivar collections.Counter sent_by_number: copies sent, by message number.
    :ivar int reordered_: copies sent after a copy of a later frame.
    """

    def __init__(self, target_port, random_state=0):
        super().__init__(target_port, framed=True)
        self.copies_ = 1
        self.spread_s_ = 0.0
        self.sent_by_number = collections.Counter()
        self.reordered_ = 0
        self._random = random.Random(random_state)
        self._latest_by_writer = {}

    def disturb(self, copies=1, spread_s=0.0):
        """Set how later frames between ranks are disturbed.

        :param int copies: number of copies of each frame.
        :param float spread_s: maximum delay of a copy, in seconds.
        """
        self.copies_ = copies
        self.spread_s_ = spread_s

    async def _forward_all(self, number, source, reader, writer):
        try:
            index = 0
            while (payload := await wire.read_frame(reader)) is not None:
                index += 1
                await self._forward_frame(number, source, payload, writer, index)
        finally:
            self._latest_by_writer.pop(writer, None)

    async def _forward_frame(self, number, source, payload, writer, index):
        frame = len(payload).to_bytes(4, "big") + payload
        kind = _message_number(payload)
        if kind not in GROUP_MESSAGE_NUMBERS or (
            self.copies_ == 1 and not self.spread_s_
        ):
            await self._forward(number, source, frame, writer)
            return
        loop = asyncio.get_running_loop()
        for _ in range(self.copies_):
            delay_s = self._random.uniform(0.0, self.spread_s_)
            loop.call_later(delay_s, self._write, writer, frame, kind, index)

    def _write(self, writer, frame, kind, index):
        if writer.transport.is_closing():
            return
        latest = self._latest_by_writer.get(writer, 0)
        self.reordered_ += 1 if index < latest else 0
        self._latest_by_writer[writer] = max(latest, index)
        self.sent_by_number[kind] += 1
        writer.write(frame)


def _message_number(payload):
    try:
        return wire.decode(payload).NUMBER
    except base.WireError:
        return 0
