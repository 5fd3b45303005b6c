"""Event loop with a virtual clock that advances to the next timer, for simulations."""

import asyncio
import selectors


class _VirtualSelector(selectors.SelectSelector):
    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("deadlock: every task waits and no timer is set")
        self.now += max(timeout, 0.0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Advances virtual time without waiting; its tasks must not do I/O."""

    def __init__(self):
        self._selector = _VirtualSelector()
        super().__init__(self._selector)

    def time(self):
        """Return the virtual time in seconds."""
        return self._selector.now


def run(coroutine):
    """Run a coroutine on a virtual clock and return its result.

    :raises RuntimeError: if every task waits and no timer is set.
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
