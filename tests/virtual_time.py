"""Run asyncio code on a virtual clock that jumps to the next timer."""

import asyncio
import selectors


class _VirtualClockSelector(selectors.SelectSelector):
    """Advance the virtual clock by the timeout instead of waiting for it."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0

    def select(self, timeout=None):
        found = super().select(0)
        if not found and timeout:
            self.now += timeout
        return found


def run_on_virtual_time(main):
    """Run a coroutine function on virtual time.

    Only sleeps and timers advance the clock; computation takes no time.
    """
    selector = _VirtualClockSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now
    try:
        return loop.run_until_complete(asyncio.wait_for(main(), 3600))
    finally:
        loop.close()
