"""The writer of one shard of claims: batches and lost answers."""

import asyncio
import collections
import dataclasses

from sequoiagap import base, platform
from sequoiagap.outcome import _claims, _segments

RETRY_DELAY_S = 0.5
CLOSE_BOUND_S = 1.0
MAX_TRIES = 4
_STALE_VERDICTS = frozenset(
    {_claims.ClaimDecision.TAKEN, _claims.ClaimDecision.MISMATCH}
)

_log = base.get_logger("claims")


@dataclasses.dataclass(frozen=True)
class ClaimResult:
    """What became of a wish.

    :param ClaimDecision verdict: the verdict.
    :param Claim claim: the claim that stands, if one does.
    """

    decision: _claims.ClaimDecision
    claim: _claims.Claim | None = None


class ShardWriter:
    """Writes one shard, one write at a time.

    :param ClaimStore store: owner, which counts the calls.
    :param str name: name of the platform's object.
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
        self._wish_by_nonce = {}
        self._answer_by_nonce = {}
        self._withdrawn_by_nonce = {}
        self._work = asyncio.Event()
        self._closing = False
        self._task = None

    def add(self, proposal):
        """Queue a wish and return the future of its answer.

        :param Claim wish: the wish.
        :rtype: asyncio.Future
        """
        answer = asyncio.get_running_loop().create_future()
        self._wish_by_nonce[proposal.nonce] = proposal
        self._answer_by_nonce[proposal.nonce] = answer
        self._wake()
        return answer

    def withdraw(self, proposal):
        """See to it that a wish is not and never will be in force.

        :param Claim wish: the wish or claim.
        """
        queued = self._wish_by_nonce.pop(proposal.nonce, None)
        self._answer_by_nonce.pop(proposal.nonce, None)
        if queued is not None and proposal.nonce not in self._sent_nonces:
            return
        self._sent_nonces.discard(proposal.nonce)
        self._withdrawn_by_nonce[proposal.nonce] = proposal
        self._wake()

    async def close(self):
        """Let writes under way end within a bound, and stop writing.

        Ends of runs that wait for a next write are written now, as their answers
        go with this process: others then say "already ran" and not "may have run".
        """
        self._closing = True
        if self.done:
            self._wake()
        if self._task is None:
            return
        await asyncio.wait([self._task], timeout=CLOSE_BOUND_S)
        await base.cancel_and_wait(self._task)

    def _wake(self):
        self._work.set()
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run(), name=f"claims-{self.name}")

    async def _run(self):
        while self._has_work():
            began = asyncio.get_running_loop().time()
            try:
                await self._flush()
            except base.PlatformError as error:
                _log.emit(base.Event.CLAIM_WRITE_FAILED, error=error.message)
                self._answer_all(_claims.ClaimDecision.PLATFORM_DOWN)
                await asyncio.sleep(RETRY_DELAY_S)
            spent = asyncio.get_running_loop().time() - began
            await asyncio.sleep(max(self.store.flush_pace_s - spent, 0.0))

    def _has_work(self):
        is_last = self._closing and self.done
        return bool(self._wish_by_nonce or self._withdrawn_by_nonce or is_last)

    async def _flush(self):
        """Bring every wish and withdrawal of now to an end, or raise."""
        for _ in range(MAX_TRIES):
            is_fresh = await self._settle_version()
            if self._shard.is_head_full:
                await self._seal()
            batch = dict(self._wish_by_nonce)
            withdrawn = dict(self._withdrawn_by_nonce)
            shard = self._shard.copy()
            changed = self._apply(shard, batch, withdrawn)
            if not is_fresh and self._is_any_taken(shard, batch):
                self._shard = None
                continue
            if not changed and self._closing:
                self.done.clear()  # nothing of them is left to be marked
            if not changed or await self._write(shard):
                self._forget_withdrawn(withdrawn)
                self._answer(batch)
                await self._segments.delete_expired(self._shard.segments)
                return

    async def _settle_version(self):
        """Read the shard unless it is known; fence a write of unknown effect.

        After a write whose answer was lost the object is read back. If it does
        not show the write, the write may still land later; the next write of
        ours takes the version that it needs, so it can only fail then.

        :returns: whether the shard was read now.
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
        """Read an object; a second time, as a kept connection may be dead."""
        self.store.reads_ += 1
        try:
            return await self.store.client.get(name)
        except base.PlatformError:
            self.store.reads_ += 1
            return await self.store.client.get(name)

    async def _seal(self):
        """Set the full head aside as a segment, which the next write names."""
        await self._segments.set_aside(self._version, self._shard)
        self._shard = self._shard.set_aside(self._version, self._segments.sealed_)

    def _is_any_taken(self, shard, batch):
        now = self.store.wall_clock()
        verdicts = {shard.decide(proposal, now) for proposal in batch.values()}
        return bool(verdicts & _STALE_VERDICTS)

    def _apply(self, shard, batch, withdrawn):
        """Change the shard as wished; tell whether it has to be written."""
        now = self.store.wall_clock()
        changed = self._uncertain
        for proposal in withdrawn.values():
            changed |= shard.release(proposal.identity, proposal.nonce)
        shard.prune(now, self._segments.deleted_)
        for proposal in batch.values():
            if shard.decide(proposal, now) != _claims.ClaimDecision.HELD:
                continue
            known = shard.find(proposal.identity)
            if known is None or known.nonce != proposal.nonce:
                shard.add(proposal)
                self._sent_nonces.add(proposal.nonce)
                changed = True
        for claim in self.done:
            is_marked = shard.mark_done(claim.identity, claim.nonce, self._closing)
            changed |= is_marked and self._closing
        return changed

    async def _write(self, shard):
        """Write the shard; tell whether that took effect."""
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

    def _answer(self, batch):
        now = self.store.wall_clock()
        for proposal in batch.values():
            decision = self._shard.decide(proposal, now)
            standing = self._shard.find(proposal.identity)
            self._answer_one(proposal.nonce, ClaimResult(decision, standing))

    def _answer_all(self, decision):
        for nonce, proposal in list(self._wish_by_nonce.items()):
            if nonce in self._sent_nonces:
                self._withdrawn_by_nonce[nonce] = proposal
            self._answer_one(nonce, ClaimResult(decision))

    def _answer_one(self, nonce, answer):
        self._wish_by_nonce.pop(nonce, None)
        self._sent_nonces.discard(nonce)
        future = self._answer_by_nonce.pop(nonce, None)
        if future is not None and not future.done():
            future.set_result(answer)
