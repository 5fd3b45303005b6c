"""Batched conditional writes of one claim shard, safe against lost answers."""

import asyncio
import collections
import dataclasses

from sequoiagap import base, platform
from sequoiagap.outcome import _claims, _segments

RETRY_DELAY_S = 0.5
CLOSE_TIMEOUT_S = 1.0
MAX_FLUSH_ATTEMPTS = 4
_CONFLICTING_DECISIONS = frozenset(
    {_claims.ClaimDecision.TAKEN, _claims.ClaimDecision.MISMATCH}
)

_log = base.get_logger("claims")


@dataclasses.dataclass(frozen=True)
class ClaimResult:
    """Result of a proposal.

    :param ClaimDecision decision: decision on the proposal.
    :param Claim claim: claim that the shard holds for the key, or ``None``.
    """

    decision: _claims.ClaimDecision
    claim: _claims.Claim | None = None


class ShardWriter:
    """Writes the proposals and releases of one shard, one write at a time.

    :param ClaimStore store: store that counts reads and writes.
    :param str name: object name of the shard.

    :ivar collections.deque done: claims of ended runs, stored with the next write.
    """

    def __init__(self, store, name):
        self.store = store
        self.name = name
        self.done = collections.deque(maxlen=_claims.MAX_CLAIMS_PER_SHARD)
        self._shard = None
        self._version = 0
        self._uncertain = False
        self._sent_nonces = set()
        self._segments = _segments.Segments(store, name, self._read)
        self._proposal_by_nonce = {}
        self._result_by_nonce = {}
        self._withdrawn_by_nonce = {}
        self._work_event = asyncio.Event()
        self._closing = False
        self._task = None

    def add(self, proposal):
        """Queue a proposal and return the future of its :class:`ClaimResult`.

        :param Claim proposal: proposed claim.
        :rtype: asyncio.Future
        """
        result = asyncio.get_running_loop().create_future()
        self._proposal_by_nonce[proposal.nonce] = proposal
        self._result_by_nonce[proposal.nonce] = result
        self._wake()
        return result

    def withdraw(self, proposal):
        """Remove a proposal from the queue, or release it if it may have been written.

        :param Claim proposal: proposal or claim to withdraw.
        """
        queued = self._proposal_by_nonce.pop(proposal.nonce, None)
        self._result_by_nonce.pop(proposal.nonce, None)
        if queued is not None and proposal.nonce not in self._sent_nonces:
            return
        self._sent_nonces.discard(proposal.nonce)
        self._withdrawn_by_nonce[proposal.nonce] = proposal
        self._wake()

    async def close(self):
        """Wait for writes in progress for a limited time, and stop writing.

        Ends of runs that wait for a next write are written now, because the answers
        are lost with this process: other agents then report "already ran" and not
        "may have run".
        """
        self._closing = True
        if self.done:
            self._wake()
        if self._task is None:
            return
        await asyncio.wait([self._task], timeout=CLOSE_TIMEOUT_S)
        await base.cancel_and_wait(self._task)

    def _wake(self):
        self._work_event.set()
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run(), name=f"claims-{self.name}")

    async def _run(self):
        while self._has_work():
            started_at = asyncio.get_running_loop().time()
            try:
                await self._flush()
            except base.PlatformError as error:
                _log.emit(base.Event.CLAIM_WRITE_FAILED, error=error.message)
                self._resolve_all(_claims.ClaimDecision.PLATFORM_DOWN)
                await asyncio.sleep(RETRY_DELAY_S)
            elapsed_s = asyncio.get_running_loop().time() - started_at
            await asyncio.sleep(max(self.store.min_flush_interval_s - elapsed_s, 0.0))

    def _has_work(self):
        is_last = self._closing and self.done
        return bool(self._proposal_by_nonce or self._withdrawn_by_nonce or is_last)

    async def _flush(self):
        """Write all queued proposals and withdrawals, or raise.

        :raises sequoiagap.base.PlatformError: if the platform does not answer.
        """
        for _ in range(MAX_FLUSH_ATTEMPTS):
            was_read = await self._read_shard()
            if self._shard.is_head_full:
                await self._seal_head()
            batch = dict(self._proposal_by_nonce)
            withdrawn = dict(self._withdrawn_by_nonce)
            shard = self._shard.copy()
            changed = self._apply(shard, batch, withdrawn)
            if not was_read and self._is_any_conflicting(shard, batch):
                self._shard = None
                continue
            if not changed and self._closing:
                self.done.clear()  # no claim is left to be marked as done
            if not changed or await self._write(shard):
                self._forget_withdrawn(withdrawn)
                self._resolve_batch(batch)
                await self._segments.delete_expired(self._shard.segments)
                return

    async def _read_shard(self):
        """Read the shard if its content is unknown, and fence an uncertain write.

        After a write whose answer was lost, the object is read again. If it doesn't
        contain the write, the write may still arrive later. The next write then
        uses up the object version that the late write expects, so that the late
        write fails.

        :returns: whether the shard was read by this call.
        :rtype: bool
        """
        if self._shard is not None and not self._uncertain:
            return False
        stored = await self._read(self.name)
        version = 0 if stored is None else stored.version
        if version != self._version:
            self._uncertain = False
        self._version = version
        shard = _claims.ClaimShard()
        if stored is not None:
            shard = _claims.ClaimShard.from_value(stored.value)
        shard.sealed = await self._segments.load(shard.segments)
        self._shard = shard
        return True

    async def _read(self, name):
        """Read an object; retry once, because a pooled connection may be dead."""
        self.store.reads_ += 1
        try:
            return await self.store.client.get(name)
        except base.PlatformError:
            self.store.reads_ += 1
            return await self.store.client.get(name)

    async def _seal_head(self):
        """Seal the full head as a segment; the next write adds the reference to it."""
        await self._segments.write(self._version, self._shard)
        self._shard = self._shard.with_sealed_head(
            self._version, self._segments.sealed_
        )

    def _is_any_conflicting(self, shard, batch):
        now = self.store.wall_clock()
        decisions = {shard.decide(proposal, now) for proposal in batch.values()}
        return bool(decisions & _CONFLICTING_DECISIONS)

    def _apply(self, shard, batch, withdrawn):
        """Apply proposals, withdrawals and ends of runs to the shard.

        :returns: whether the shard has to be written.
        :rtype: bool
        """
        now = self.store.wall_clock()
        changed = self._uncertain
        for proposal in withdrawn.values():
            changed |= shard.release(proposal.identity, proposal.nonce)
        shard.prune(now, self._segments.deleted_)
        for proposal in batch.values():
            if shard.decide(proposal, now) != _claims.ClaimDecision.HELD:
                continue
            existing = shard.find(proposal.identity)
            if existing is None or existing.nonce != proposal.nonce:
                shard.add(proposal)
                self._sent_nonces.add(proposal.nonce)
                changed = True
        for claim in self.done:
            is_marked = shard.mark_done(claim.identity, claim.nonce, self._closing)
            changed |= is_marked and self._closing
        return changed

    async def _write(self, shard):
        """Write the shard.

        :returns: whether the write took effect; false as well if that is unknown.
        :rtype: bool
        """
        done = len(self.done)
        was_uncertain = self._uncertain
        self.store.writes_ += 1
        self._uncertain = True
        try:
            stored = await self.store.client.put(
                self.name, shard.to_value(), self._version
            )
        except platform.ObjectConflict:
            self._shard = None
            self._uncertain = False
            return False
        except base.PlatformError as error:
            if not error.effect_unknown:
                self._uncertain = was_uncertain
                raise
            return False
        self._shard, self._version = shard, stored.version
        self._segments.sealed_ = shard.sealed
        self._uncertain = False
        for _ in range(done):
            self.done.popleft()
        return True

    def _forget_withdrawn(self, withdrawn):
        for nonce in withdrawn:
            self._withdrawn_by_nonce.pop(nonce, None)

    def _resolve_batch(self, batch):
        now = self.store.wall_clock()
        for proposal in batch.values():
            decision = self._shard.decide(proposal, now)
            claim = self._shard.find(proposal.identity)
            self._resolve_one(proposal.nonce, ClaimResult(decision, claim))

    def _resolve_all(self, decision):
        for nonce, proposal in list(self._proposal_by_nonce.items()):
            if nonce in self._sent_nonces:
                self._withdrawn_by_nonce[nonce] = proposal
            self._resolve_one(nonce, ClaimResult(decision))

    def _resolve_one(self, nonce, result):
        self._proposal_by_nonce.pop(nonce, None)
        self._sent_nonces.discard(nonce)
        future = self._result_by_nonce.pop(nonce, None)
        if future is not None and not future.done():
            future.set_result(result)
