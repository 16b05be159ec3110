"""An asyncio event loop whose clock jumps to the next timer."""

import asyncio
import selectors


class _JumpingSelector(selectors.SelectSelector):
    """Advance a virtual clock instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0

    def select(self, timeout=None):
        found = super().select(0)
        if not found and timeout:
            self.now += timeout
        return found


def run_jumping(main):
    """Run a coroutine function; time passes only in sleeps and timers."""
    selector = _JumpingSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now
    try:
        return loop.run_until_complete(asyncio.wait_for(main(), 3600))
    finally:
        loop.close()
