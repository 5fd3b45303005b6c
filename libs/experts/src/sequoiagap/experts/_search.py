"""Local search for better placements of one layer."""

import dataclasses

from sequoiagap.experts import _bound

MAX_EDITS_PER_LAYER = 48


@dataclasses.dataclass(frozen=True)
class Edit:
    """One change of a placement and what it comes to.

    :param tuple changes: pairs of slot index and the expert to put there.
    :param float longest_time: longest time among the ranks that it touches.
    """

    changes: tuple
    longest_time: float


class LayerState:
    """A layer's placement with the times that follow from it.

    :param tuple row: expert ids of the layer, rank after rank.
    :param list loads: load of each expert.
    :param list speeds: speed of each rank.
    :param int slots: slots of a rank.

    :ivar list times_: time of each rank.
    """

    def __init__(self, row, loads, speeds, slots):
        self.row = list(row)
        self.loads = loads
        self.speeds = speeds
        self.slots = slots
        self._refresh()

    def find_edit(self):
        """Return the edit that relieves the slowest rank most for each move.

        :returns: the edit, or ``None`` if none relieves it.
        :rtype: Edit | None
        """
        longest = max(self.times_)
        rank = self.times_.index(longest)
        best = None
        best_value = longest * 1e-6
        for edit in self._edits(rank):
            value = (longest - edit.longest_time) / len(edit.changes)
            if value > best_value:
                best, best_value = edit, value
        return best

    def apply(self, edit):
        """Carry out an edit.

        :param Edit edit: what to change.
        """
        for slot, expert in edit.changes:
            self.row[slot] = expert
        self._refresh()

    def _refresh(self):
        self.times_ = _bound.rank_times(self.row, self.loads, self.speeds, self.slots)
        self._holders = [[] for _ in self.loads]
        for slot, expert in enumerate(self.row):
            self._holders[expert].append(slot // self.slots)
        self._shares = [
            load / len(held)
            for load, held in zip(self.loads, self._holders, strict=True)
        ]

    def _edits(self, rank):
        first = rank * self.slots
        for slot in range(first, first + self.slots):
            yield from self._swaps(rank, slot)
            yield from self._copies(rank, slot)
            yield from self._drops(rank, slot)

    def _swaps(self, rank, slot):
        """Exchange the expert of a slot with a lighter one elsewhere."""
        expert = self.row[slot]
        share = self._shares[expert]
        longest = self.times_[rank]
        own = self.row[rank * self.slots : (rank + 1) * self.slots]
        for other_slot, other in enumerate(self.row):
            lighter = share - self._shares[other]
            if lighter <= 0:
                continue
            other_rank = other_slot // self.slots
            there = self.times_[other_rank] + lighter / self.speeds[other_rank]
            if there >= longest or other in own:
                continue
            if other_rank in self._holders[expert]:
                continue
            here = longest - lighter / self.speeds[rank]
            changes = ((slot, other), (other_slot, expert))
            yield Edit(changes, max(here, there))

    def _copies(self, rank, slot):
        """Put one more replica of the slot's expert in place of a spare one."""
        expert = self.row[slot]
        holders = self._holders[expert]
        new_share = self.loads[expert] / (len(holders) + 1)
        longest = self.times_[rank]
        for other_slot, other in enumerate(self.row):
            if len(self._holders[other]) < 2 or other == expert:
                continue
            other_rank = other_slot // self.slots
            more = new_share - self._shares[other]
            if self.times_[other_rank] + more / self.speeds[other_rank] >= longest:
                continue
            if other_rank in holders:
                continue
            longest_time = self._longest_time_after(rank, other_slot, expert)
            yield Edit(((other_slot, expert),), longest_time)

    def _drops(self, rank, slot):
        """Put a lighter expert in place of a spare replica on the slow rank."""
        expert = self.row[slot]
        if len(self._holders[expert]) < 2:
            return
        own = self.row[rank * self.slots : (rank + 1) * self.slots]
        share = self._shares[expert]
        for other, load in enumerate(self.loads):
            if other in own or load / (len(self._holders[other]) + 1) >= share:
                continue
            yield Edit(((slot, other),), self._longest_time_after(rank, slot, other))

    def _longest_time_after(self, slow_rank, slot, expert):
        """Return the longest time of the touched ranks once a slot changes."""
        rank = slot // self.slots
        removed = self.row[slot]
        new_share = self.loads[expert] / (len(self._holders[expert]) + 1)
        gained = new_share - self._shares[expert]
        remaining_copies = len(self._holders[removed]) - 1
        lost = self.loads[removed] / remaining_copies - self._shares[removed]
        change_by_rank = {slow_rank: 0.0}
        for holder in self._holders[expert]:
            change_by_rank[holder] = change_by_rank.get(holder, 0.0) + gained
        for holder in self._holders[removed]:
            change_by_rank[holder] = change_by_rank.get(holder, 0.0) + lost
        # The changed rank itself holds no longer the one but the other.
        change_by_rank[rank] += new_share - self._shares[removed] - lost
        return max(
            self.times_[r] + change / self.speeds[r]
            for r, change in change_by_rank.items()
        )


class LayerSearch:
    """Keeps the row of one layer that is worth most after its moves.

    :param float move_s: what a move must bring, in seconds.
    :param tuple old_row: the row in use.
    :param float initial_time: longest rank time of the row in use.
    :param float seconds_per_unit: seconds that a unit of rank time is worth.
    :param float min_time: rank time below which nothing is gained.

    :ivar tuple row_: the best row so far.
    :ivar float gain_: what it saves, in seconds.
    :ivar float longest_: its longest rank time.
    """

    def __init__(self, move_s, old_row, initial_time, seconds_per_unit, min_time=0.0):
        self.move_s = move_s
        self.old_row = old_row
        self.initial_time = initial_time
        self.seconds_per_unit = seconds_per_unit
        self.min_time = min_time
        self.row_ = old_row
        self.gain_ = 0.0
        self.longest_ = initial_time
        self._value = 0.0

    def run(self, row, loads, speeds, slots):
        """Search from a row.

        :param tuple row: where to start.
        :param list loads: load of each expert.
        :param list speeds: speed of each rank.
        :param int slots: slots of a rank.
        :returns: a generator that yields between edits.
        :rtype: collections.abc.Generator
        """
        state = LayerState(row, loads, speeds, slots)
        for _ in range(MAX_EDITS_PER_LAYER):
            self._record_if_better(state, slots)
            if max(state.times_) <= self.min_time:
                return
            edit = state.find_edit()
            if edit is None:
                return
            state.apply(edit)
            yield
        self._record_if_better(state, slots)

    def _record_if_better(self, state, slots):
        longest = max(*state.times_, self.min_time)
        gain = (self.initial_time - longest) * self.seconds_per_unit
        moves = count_moves(slots, self.old_row, state.row)
        value = gain - moves * self.move_s
        if value > self._value:
            self.row_, self.gain_ = tuple(state.row), gain
            self.longest_, self._value = longest, value


def count_moves(slots, old_row, new_row):
    """Return how many experts ranks have to load to change a row.

    :param int slots: slots of a rank.
    :param tuple old_row: the row in use.
    :param tuple new_row: the row wanted.
    :rtype: int

    >>> count_moves(2, (0, 1, 2, 3), (1, 0, 2, 4))
    1
    """
    moves = 0
    for start in range(0, len(new_row), slots):
        end = start + slots
        moves += len(set(new_row[start:end]) - set(old_row[start:end]))
    return moves
