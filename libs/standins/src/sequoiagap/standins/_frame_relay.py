"""Relay that doubles and crosses the frames of the group protocol."""

import asyncio
import collections
import random

from sequoiagap import base, wire
from sequoiagap.standins import _relay

GROUP_NUMBERS = range(400, 500)  # of the messages between ranks


class FrameRelay(_relay.Relay):
    """Passes whole frames on; those between ranks may come late, twice and crossed.

    Each copy of a frame gets a delay of its own, so that frames overtake each other
    on one connection. All other frames pass at once.

    :param int target_port: TCP port of the target; may be changed later.
    :param int random_state: seed of the delays.

    :ivar int copies_: how often each frame between ranks is sent.
    :ivar float spread_s_: longest delay of a copy, in seconds.
    :ivar collections.Counter passed_by_number: copies sent, by message number.
    :ivar int crossed_: copies that were sent after a later frame's.
    """

    def __init__(self, target_port, random_state=0):
        super().__init__(target_port, framed=True)
        self.copies_ = 1
        self.spread_s_ = 0.0
        self.passed_by_number = collections.Counter()
        self.crossed_ = 0
        self._random = random.Random(random_state)
        self._latest_by_writer = {}

    def disturb(self, copies=1, spread_s=0.0):
        """Change what happens to the frames that come from now on.

        :param int copies: how often each is sent.
        :param float spread_s: longest delay of a copy, in seconds.
        """
        self.copies_ = copies
        self.spread_s_ = spread_s

    async def _pump(self, number, source, reader, writer):
        try:
            index = 0
            while (payload := await wire.read_frame(reader)) is not None:
                index += 1
                await self._pass_frame(number, source, payload, writer, index)
        finally:
            self._latest_by_writer.pop(writer, None)

    async def _pass_frame(self, number, source, payload, writer, index):
        frame = len(payload).to_bytes(4, "big") + payload
        kind = _message_number(payload)
        if kind not in GROUP_NUMBERS or (self.copies_ == 1 and not self.spread_s_):
            await self._pass_on(number, source, frame, writer)
            return
        loop = asyncio.get_running_loop()
        for _ in range(self.copies_):
            delay_s = self._random.uniform(0.0, self.spread_s_)
            loop.call_later(delay_s, self._write, writer, frame, kind, index)

    def _write(self, writer, frame, kind, index):
        if writer.transport.is_closing():
            return
        latest = self._latest_by_writer.get(writer, 0)
        self.crossed_ += 1 if index < latest else 0
        self._latest_by_writer[writer] = max(latest, index)
        self.passed_by_number[kind] += 1
        writer.write(frame)


def _message_number(payload):
    try:
        return wire.decode(payload).NUMBER
    except base.WireError:
        return 0
