"""What a leader knows of the ranks of its group, and what it asks for.

The load that it answers: a group of many ranks behind a link that is thin for all that
they could say at once. A question that has not been answered yet is not asked again;
answers that come late count with their age; counts of experts are asked of as many
ranks in a turn as fit into a share of the link, in the order of their age.
"""

import asyncio
import dataclasses
import time

CYCLE_TIMEOUT_S = 0.12  # for the answers of a turn; later ones count in the next
MAX_FRESH_AGE_S = 0.35  # an answer no older than this tells what stands now
POLL_BYTES = 150  # a question and its answer without counts, with all headers
COUNT_BYTES = 0.8  # of a count, before any has been received
SILENT_CYCLES = 2  # without an answer of its agent a rank's engine is asked
SILENT_REPEAT_CYCLES = 3  # and again after so many
SIZE_WEIGHT = 0.2  # of a new answer in the mean size


@dataclasses.dataclass(frozen=True)
class PollAnswer:
    """An answer of a rank.

    :param RankState state: the answer.
    :param float requested_at: when the question was sent, monotonic seconds.
    """

    state: object
    requested_at: float


class ReadingBudget:
    """How many ranks may be asked for their counts in a turn.

    :param float bytes_s: bytes a second that a leader may have sent to it; 0 for no
        bound.
    :param int counts_per_rank: counts of one rank.
    """

    def __init__(self, bytes_s, counts_per_rank):
        self.bytes_s = bytes_s
        self._mean_bytes = counts_per_rank * COUNT_BYTES

    def record_size(self, size):
        """Take the size of an answer's counts, in bytes."""
        self._mean_bytes += SIZE_WEIGHT * (size - self._mean_bytes)

    def max_ranks(self, size, interval_s):
        """Return how many ranks to ask for their counts.

        :param int size: ranks of the group.
        :param float interval_s: time since the turn before, in seconds.
        :rtype: int

        >>> ReadingBudget(100_000, 100).ranks(12, 0.2)
        12
        >>> ReadingBudget(100_000, 2000).ranks(60, 0.2)
        6
        """
        if not self.bytes_s:
            return size
        remaining_bytes = self.bytes_s * interval_s - size * POLL_BYTES
        fitting = int(remaining_bytes / self._mean_bytes) if self._mean_bytes else size
        return min(max(fitting, 1), size)


class RankPoller:
    """Asks the ranks of a group and keeps what each has said last.

    :param GroupAccess access: ways to the ranks.
    :param int size: ranks of the group.
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
        """Ask all ranks that have no question left to answer.

        :param set counts_of: ranks to ask for the counts of experts.
        :param set experts_of: ranks to ask for the experts that they hold.
        :returns: the newest answers since the last call, :class:`Heard` by rank.
        :rtype: dict[int, Heard]
        """
        for rank in range(self.size):
            if rank in self._pending_by_rank:
                continue
            task = self._poll_rank(rank, rank in counts_of, rank in experts_of)
            self._pending_by_rank[rank] = asyncio.ensure_future(task)
        await asyncio.wait(self._pending_by_rank.values(), timeout=CYCLE_TIMEOUT_S)
        return self._collect()

    def silent_ranks(self):
        """Return the ranks that left the last question unanswered.

        :rtype: list[int]
        """
        answering = self._answer_by_rank.keys() | self._pending_by_rank.keys()
        return [rank for rank in range(self.size) if rank not in answering]

    def select_silent(self, is_urgent):
        """Return the silent ranks whose engines are to be asked in this turn.

        :param bool is_urgent: whether all of them are.
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
        """Take what a rank's engine said to a question from here.

        :param int rank: the rank.
        :param RankState state: what it said.
        """
        self._answer_by_rank[rank] = PollAnswer(state, time.monotonic())

    def newest(self, since, max_age_s):
        """Return the answers to questions sent after a moment.

        :param float since: monotonic time in seconds.
        :param float max_age_s: oldest question that counts, in seconds.
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
        """Leave the questions that are not answered yet."""
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
