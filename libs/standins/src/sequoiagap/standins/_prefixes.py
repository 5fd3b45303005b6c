"""Prompt-prefix cache of the engine stand-in: bounded, least recently used out."""

import collections

BLOCK_CHARACTERS = 512


class PrefixCache:
    """Remembers which prompt prefixes were read, in blocks.

    :param int capacity: blocks to remember.

    :ivar int hits_: prompts whose first block was remembered.
    :ivar int misses_: other prompts.

    >>> cache = PrefixCache(capacity=4)
    >>> cache.read("a" * 1024), cache.read("a" * 1024)
    (1024, 0)
    """

    def __init__(self, capacity):
        self.capacity = capacity
        self.hits_ = 0
        self.misses_ = 0
        self._blocks = collections.OrderedDict()

    def read(self, prompt):
        """Remember a prompt and return how many characters had to be read.

        :param str prompt: the prompt.
        :rtype: int
        """
        known = self._known_characters(prompt)
        self._remember(prompt)
        if known:
            self.hits_ += 1
        else:
            self.misses_ += 1
        return len(prompt) - known

    def _known_characters(self, prompt):
        known = 0
        for end in self._ends(prompt):
            if hash(prompt[:end]) not in self._blocks:
                break
            known = end
        return known

    def _remember(self, prompt):
        for end in self._ends(prompt):
            key = hash(prompt[:end])
            self._blocks[key] = True
            self._blocks.move_to_end(key)
        while len(self._blocks) > self.capacity:
            self._blocks.popitem(last=False)

    def _ends(self, prompt):
        return range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS)
