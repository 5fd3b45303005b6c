"""Claims of idempotency keys, stored in the platform in batched writes."""

import asyncio
import dataclasses
import time

from sequoiagap.outcome import _affinity, _claims, _shard_writer

MIN_FLUSH_INTERVAL_S = 0.2


class ClaimStore:
    """Claims idempotency keys for one agent.

    Keys are divided into shards, one platform object each. Proposals that arrive
    during a write of their shard are batched into its next write; a shard is
    written at most once in ``min_flush_interval_s``. Conditional writes resolve races
    between agents.

    :param sequoiagap.platform.PlatformClient client: client of the platform.
    :param str service: service whose keys are claimed.
    :param float min_flush_interval_s: minimum interval between writes of a shard, in
        seconds.
    :param wall_clock: function that returns the time in seconds since the epoch.

    :ivar int writes_: number of conditional writes.
    :ivar int reads_: number of reads.
    """

    def __init__(
        self,
        client,
        service,
        min_flush_interval_s=MIN_FLUSH_INTERVAL_S,
        wall_clock=time.time,
    ):
        self.client = client
        self.service = service
        self.min_flush_interval_s = min_flush_interval_s
        self.wall_clock = wall_clock
        self.writes_ = 0
        self.reads_ = 0
        self._writer_by_shard = {}

    def with_expiry(self, proposal):
        """Return a copy of a proposal that expires ``CLAIM_WINDOW_S`` from now.

        :param Claim proposal: proposed claim.
        :rtype: Claim
        """
        expires_at = self.wall_clock() + _claims.CLAIM_WINDOW_S
        return dataclasses.replace(proposal, expires_at=expires_at)

    async def claim(self, proposal, timeout_s):
        """Claim a key.

        :param Claim proposal: proposed claim.
        :param float timeout_s: time limit in seconds; after it the proposal is
            withdrawn, and undone if a write of it is still in progress.
        :rtype: ClaimResult
        """
        writer = self._writer(proposal.identity)
        result = writer.add(proposal)
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(result)
        except TimeoutError:
            writer.withdraw(proposal)
            return _shard_writer.ClaimResult(_claims.ClaimDecision.TOO_LATE)
        except asyncio.CancelledError:
            writer.withdraw(proposal)
            raise

    def release(self, claim):
        """Release a claim whose run has not started and never will.

        :param Claim claim: claim to release.
        """
        self._writer(claim.identity).withdraw(claim)

    def mark_done(self, claim):
        """Record the end of a run; stored with the next write of the shard.

        :param Claim claim: claim of the run.
        """
        self._writer(claim.identity).done.append(claim)

    async def close(self):
        """Wait for writes in progress for a limited time, and stop writing."""
        writers = self._writer_by_shard.values()
        await asyncio.gather(*(writer.close() for writer in writers))

    def _writer(self, identity):
        shard = _affinity.shard_of(identity)
        if shard not in self._writer_by_shard:
            name = f"claims-{self.service}-{shard}"
            self._writer_by_shard[shard] = _shard_writer.ShardWriter(self, name)
        return self._writer_by_shard[shard]
