"""Local search for a better placement of one layer."""

import dataclasses

from sequoiagap.experts import _bound

MAX_EDITS_PER_LAYER = 48


@dataclasses.dataclass(frozen=True)
class Edit:
    """One change of a placement and its effect.

    :param tuple changes: pairs of slot index and the expert to place there.
    :param float longest_time: longest time among the affected ranks afterwards.
    """

    changes: tuple
    longest_time: float


class LayerState:
    """Placement of one layer with the resulting rank times.

    :param tuple row: expert ids of the layer, rank by rank.
    :param list loads: load of each expert.
    :param list speeds: relative speed of each rank.
    :param int slots: slots per rank.

    :ivar list times_: time of each rank.
    """

    def __init__(self, row, loads, speeds, slots):
        self.row = list(row)
        self.loads = loads
        self.speeds = speeds
        self.slots = slots
        self._refresh()

    def find_edit(self):
        """Return the edit that shortens the longest rank time most per move.

        :returns: the edit, or ``None`` if no edit shortens it.
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
        """Apply an edit.

        :param Edit edit: the edit.
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
        """Yield edits that swap a slot's expert for a lighter one of another rank."""
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
        """Yield edits that replace a redundant replica by the slot's expert."""
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
        """Yield edits that replace the slot's redundant replica by a lighter expert."""
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
        """Return the longest time of the affected ranks after a slot changes."""
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
        # The rank of the slot drops the removed expert and adds the new one.
        change_by_rank[rank] += new_share - self._shares[removed] - lost
        return max(
            self.times_[r] + change / self.speeds[r]
            for r, change in change_by_rank.items()
        )


class LayerSearch:
    """Finds the row of one layer with the largest gain net of the cost of moves.

    :param float move_s: minimum gain per move, in seconds.
    :param tuple old_row: row in use.
    :param float initial_time: longest rank time of the row in use.
    :param float seconds_per_unit: seconds saved per unit of rank time.
    :param float min_time: rank time below which a decrease counts as no gain.

    :ivar tuple row_: best row so far.
    :ivar float gain_: time that the best row saves, in seconds.
    :ivar float longest_: longest rank time of the best row.
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
        """Search for better rows, starting from a given one.

        :param tuple row: row to start from.
        :param list loads: load of each expert.
        :param list speeds: relative speed of each rank.
        :param int slots: slots per rank.
        :returns: generator that yields between edits.
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
    """Return how many experts the ranks have to load to change a row.

    :param int slots: slots per rank.
    :param tuple old_row: row in use.
    :param tuple new_row: row to change to.
    :rtype: int

    >>> count_moves(2, (0, 1, 2, 3), (1, 0, 2, 4))
    1
    """
    moves = 0
    for start in range(0, len(new_row), slots):
        end = start + slots
        moves += len(set(new_row[start:end]) - set(old_row[start:end]))
    return moves
