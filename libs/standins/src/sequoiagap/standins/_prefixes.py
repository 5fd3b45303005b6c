"""Prompt-prefix cache of the engine stand-in, with least-recently-used eviction."""

import collections

BLOCK_CHARACTERS = 512


class PrefixCache:
    """Caches prompt prefixes in blocks of :data:`BLOCK_CHARACTERS`.

    :param int capacity: maximum number of cached blocks.

    :ivar int hits_: prompts whose first block was cached.
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
        """Add a prompt to the cache and return how many characters were not cached.

        :param str prompt: the prompt.
        :rtype: int
        """
        cached = self._count_cached(prompt)
        self._store(prompt)
        if cached:
            self.hits_ += 1
        else:
            self.misses_ += 1
        return len(prompt) - cached

    def _count_cached(self, prompt):
        cached = 0
        for end in self._block_ends(prompt):
            if hash(prompt[:end]) not in self._blocks:
                break
            cached = end
        return cached

    def _store(self, prompt):
        for end in self._block_ends(prompt):
            key = hash(prompt[:end])
            self._blocks[key] = True
            self._blocks.move_to_end(key)
        while len(self._blocks) > self.capacity:
            self._blocks.popitem(last=False)

    def _block_ends(self, prompt):
        return range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS)
