"""Count requests and background tasks in flight for a graceful shutdown."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio

__all__ = ('InFlightCounter',)

BackgroundTask = Callable[[], Awaitable[Any]]


class InFlightCounter:
    """Count the requests and background tasks that are running.

    Args:
        spawn: Starts a task that outlives its request; with None, the request
            waits for the task.
    """

    def __init__(self, spawn: Callable[[BackgroundTask], None] | None) -> None:
        """Start with nothing in flight."""
        self._spawn = spawn
        self._idle = anyio.Event()
        self.count = 0

    def enter(self) -> None:
        """Count the start of a request or task."""
        self.count += 1

    def leave(self) -> None:
        """Count the end of a request or task."""
        self.count -= 1
        if not self.count:
            self._idle.set()
            self._idle = anyio.Event()

    async def wait_idle(self) -> None:
        """Wait until nothing is in flight."""
        while self.count:
            await self._idle.wait()

    async def run_in_background(self, task: BackgroundTask) -> None:
        """Start a counted task without delaying the request."""
        if self._spawn is None:
            await task()
            return
        self.enter()
        self._spawn(lambda: self._run(task))

    async def _run(self, task: BackgroundTask) -> None:
        try:
            await task()
        finally:
            self.leave()
