"""Claims kept in the platform, many in one conditional write."""

import asyncio
import dataclasses
import time

from sequoiagap.outcome import _affinity, _claims, _shard_writer

FLUSH_PACE_S = 0.2


class ClaimStore:
    """Claims keys for one agent.

    Keys fall into shards, one platform object each. While a write of a shard is
    under way further wishes gather and go with the next one; a shard writes at
    most once in ``flush_pace_s``. The conditional write decides between agents.

    :param sequoiagap.platform.PlatformClient client: the platform.
    :param str service: service whose keys are claimed.
    :param float flush_pace_s: least time between two writes of a shard, in seconds.
    :param wall_clock: function that returns seconds since the epoch.

    :ivar int writes_: conditional writes made.
    :ivar int reads_: reads made.
    """

    def __init__(
        self, client, service, flush_pace_s=FLUSH_PACE_S, wall_clock=time.time
    ):
        self.client = client
        self.service = service
        self.flush_pace_s = flush_pace_s
        self.wall_clock = wall_clock
        self.writes_ = 0
        self.reads_ = 0
        self._writer_by_shard = {}

    def with_expiry(self, proposal):
        """Return a wish that expires after the claim window from now.

        :param Claim wish: the claim that is wished for.
        :rtype: Claim
        """
        expires_at = self.wall_clock() + _claims.CLAIM_WINDOW_S
        return dataclasses.replace(proposal, expires_at=expires_at)

    async def claim(self, proposal, timeout_s):
        """Claim a key.

        :param Claim wish: the claim that is wished for.
        :param float timeout_s: longest wait; after it the wish is withdrawn, and
            a write of it that is still under way is undone.
        :rtype: ClaimResult
        """
        writer = self._writer(proposal.identity)
        answer = writer.add(proposal)
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(answer)
        except TimeoutError:
            writer.withdraw(proposal)
            return _shard_writer.ClaimResult(_claims.ClaimDecision.TOO_LATE)
        except asyncio.CancelledError:
            writer.withdraw(proposal)
            raise

    def release(self, claim):
        """Give up a claim whose run has not started and never will.

        :param Claim claim: the claim.
        """
        self._writer(claim.identity).withdraw(claim)

    def mark_done(self, claim):
        """Note that a run has ended; written with the shard's next write.

        :param Claim claim: the claim.
        """
        self._writer(claim.identity).done.append(claim)

    async def close(self):
        """Let writes under way end within a bound, and stop writing."""
        writers = self._writer_by_shard.values()
        await asyncio.gather(*(writer.close() for writer in writers))

    def _writer(self, identity):
        shard = _affinity.shard_of(identity)
        if shard not in self._writer_by_shard:
            name = f"claims-{self.service}-{shard}"
            self._writer_by_shard[shard] = _shard_writer.ShardWriter(self, name)
        return self._writer_by_shard[shard]
