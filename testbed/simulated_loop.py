"""An event loop with simulated time.

Time advances to the next timer when no callback is ready. Programs that use
asyncio run in it unchanged and in the same order each time; thousands of
simulated seconds take some seconds.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import selectors


class _Selector(selectors.DefaultSelector):
    """Selector that advances the time of its loop instead of waiting."""

    loop: 'SimulatedLoop'

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError('all tasks wait and no timer is set')
        if timeout > 0:
            self.loop.now += timeout
        return super().select(0)


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Event loop with simulated time, in seconds from 0."""

    def __init__(self):
        self.now = 0.0
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """Return the simulated time."""
        return self.now


def simulate(work: Callable[[SimulatedLoop], Awaitable]) -> object:
    """Run a coroutine function in a new simulated loop.

    >>> async def work(loop):
    ...     await asyncio.sleep(3600)
    ...     return loop.now
    >>> simulate(work) >= 3600
    True
    """
    loop = SimulatedLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(work(loop))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
        asyncio.set_event_loop(None)
