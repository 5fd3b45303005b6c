"""An event loop whose clock jumps to the next timer, for seeded simulations."""

import asyncio
import selectors


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("every task waits and no timer is set")
        self.now += max(timeout, 0.0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs in no real time; what it runs may do no I/O."""

    def __init__(self):
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self):
        """Return the virtual time in seconds."""
        return self._jumping.now


def run(coroutine):
    """Run a coroutine on a virtual clock and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
