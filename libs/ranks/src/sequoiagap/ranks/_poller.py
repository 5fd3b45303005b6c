"""Polling of the ranks of a group by their leader, within a share of its link.

Guards against a group whose ranks could send more at once than a slow link carries. A
rank with a pending poll is not polled again; late answers count with their age; in each
cycle, expert counts are requested from as many ranks as fit into a share of the link,
oldest counts first.
"""

import asyncio
import dataclasses
import time

CYCLE_TIMEOUT_S = 0.12  # later answers count in the next cycle
MAX_FRESH_AGE_S = 0.35  # maximum age of an answer that shows the current state
POLL_BYTES = 150  # a poll and its answer without counts, with all headers
COUNT_BYTES = 0.8  # initial estimate per count
SILENT_CYCLES = 2  # unanswered by the agent before the engine is polled
SILENT_REPEAT_CYCLES = 3  # cycles between further polls of the engine
SIZE_WEIGHT = 0.2  # weight of a new answer in the mean size


@dataclasses.dataclass(frozen=True)
class PollAnswer:
    """Answer of a rank to a poll.

    :param RankState state: the answer.
    :param float requested_at: when the poll was sent, in monotonic seconds.
    """

    state: object
    requested_at: float


class ReadingBudget:
    """Limits how many ranks are polled for their expert counts per cycle.

    :param float bytes_s: maximum rate of data sent to the leader, in bytes per second;
        0 for no limit.
    :param int counts_per_rank: number of counts of one rank.
    """

    def __init__(self, bytes_s, counts_per_rank):
        self.bytes_s = bytes_s
        self._mean_bytes = counts_per_rank * COUNT_BYTES

    def record_size(self, size):
        """Record the size of an answer's counts, in bytes."""
        self._mean_bytes += SIZE_WEIGHT * (size - self._mean_bytes)

    def max_ranks(self, size, interval_s):
        """Return how many ranks to poll for their counts.

        :param int size: number of ranks in the group.
        :param float interval_s: time since the previous cycle, in seconds.
        :rtype: int

        >>> ReadingBudget(100_000, 100).max_ranks(12, 0.2)
        12
        >>> ReadingBudget(100_000, 2000).max_ranks(60, 0.2)
        6
        """
        if not self.bytes_s:
            return size
        remaining_bytes = self.bytes_s * interval_s - size * POLL_BYTES
        fitting = int(remaining_bytes / self._mean_bytes) if self._mean_bytes else size
        return min(max(fitting, 1), size)


class RankPoller:
    """Polls the ranks of a group and keeps the newest answer of each.

    :param GroupAccess access: access to the ranks.
    :param int size: number of ranks in the group.
    :param int own_rank: rank of the leader.
    """

    def __init__(self, access, size, own_rank):
        self.access = access
        self.size = size
        self.own_rank = own_rank
        self._answer_by_rank = {}
        self._pending_by_rank = {}
        self._silent_cycles_by_rank = {}

    async def poll(self, counts_of, experts_of):
        """Poll all ranks that have no pending poll.

        :param set counts_of: ranks to poll for expert counts.
        :param set experts_of: ranks to poll for the experts that they hold.
        :returns: the answers received since the last call, :class:`PollAnswer` by rank.
        :rtype: dict[int, PollAnswer]
        """
        for rank in range(self.size):
            if rank in self._pending_by_rank:
                continue
            task = self._poll_rank(rank, rank in counts_of, rank in experts_of)
            self._pending_by_rank[rank] = asyncio.ensure_future(task)
        await asyncio.wait(self._pending_by_rank.values(), timeout=CYCLE_TIMEOUT_S)
        return self._collect()

    def silent_ranks(self):
        """Return the ranks that left the last poll unanswered.

        :rtype: list[int]
        """
        answering = self._answer_by_rank.keys() | self._pending_by_rank.keys()
        return [rank for rank in range(self.size) if rank not in answering]

    def select_silent(self, is_urgent):
        """Return the silent ranks whose engines are to be polled in this cycle.

        :param bool is_urgent: whether to select all of them.
        :rtype: list[int]
        """
        cycles_by_rank = self._silent_cycles_by_rank
        self._silent_cycles_by_rank = {
            rank: cycles_by_rank.get(rank, 0) + 1 for rank in self.silent_ranks()
        }
        return [
            rank
            for rank, cycles in self._silent_cycles_by_rank.items()
            if is_urgent
            or cycles == SILENT_CYCLES
            or cycles % SILENT_REPEAT_CYCLES == 0
        ]

    def record_direct(self, rank, state):
        """Record a state that was read directly from a rank's engine.

        :param int rank: the rank.
        :param RankState state: the state.
        """
        self._answer_by_rank[rank] = PollAnswer(state, time.monotonic())

    def newest(self, since, max_age_s):
        """Return the newest answers to polls sent after a given time.

        :param float since: monotonic time in seconds.
        :param float max_age_s: maximum age of a poll that counts, in seconds.
        :rtype: dict[int, RankState]
        """
        oldest = max(since, time.monotonic() - max_age_s)
        answers = self._answer_by_rank.items()
        return {
            rank: answer.state
            for rank, answer in answers
            if answer.requested_at >= oldest
        }

    def close(self):
        """Cancel the pending polls."""
        for task in self._pending_by_rank.values():
            task.cancel()
        self._pending_by_rank = {}

    async def _poll_rank(self, rank, wants_counts, wants_experts):
        requested_at = time.monotonic()
        may_be_recent = True
        state = await self.access.poll(rank, wants_counts, wants_experts, may_be_recent)
        return None if state is None else PollAnswer(state, requested_at)

    def _collect(self):
        found = {}
        for rank, task in list(self._pending_by_rank.items()):
            if not task.done():
                continue
            del self._pending_by_rank[rank]
            answer = task.result()
            if answer is None:
                self._answer_by_rank.pop(rank, None)
                continue
            self._answer_by_rank[rank] = found[rank] = answer
        return found
