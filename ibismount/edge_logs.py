"""Log lines of the edge program: JSON on standard output, never blocking.

A line that the reader does not take at once is dropped and counted, and each
kind of line has a bound for each second, so that logging neither stalls a
node nor grows with its load.
"""

import logging
import os
import time
from typing import Final

from pythonjsonlogger.msgspec import MsgspecFormatter

__all__ = ('RateLimitedHandler', 'configure_edge_logs')

# Lines of one kind in each second: enough to follow a fault, and bounded.
LINES_PER_S: Final = 20
# Kinds that are counted apart; more share their bounds with the first ones.
KINDS_MOST: Final = 256
STDOUT_FD: Final = 1


class RateLimitedHandler(logging.Handler):
    """Write records to a descriptor without waiting for its reader.

    A kind is a message of one logger. The first line of a kind after a gap
    tells in ``left_out`` how many were left out.

    Args:
        descriptor: Where lines go; it is set to non-blocking.
        lines_per_s: Bound for each kind.
        clock: Seconds.
    """

    def __init__(
        self,
        descriptor: int,
        *,
        lines_per_s: int = LINES_PER_S,
        clock=time.monotonic,
    ) -> None:
        """Start with nothing counted."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._second = 0
        self._written: dict[str, int] = {}
        self._left_out: dict[str, int] = {}
        # The rest of a line that was written in part.
        self._rest = b''
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as left out."""
        kind = str(record.msg)
        if not self._admit(kind):
            return
        left_out = self._left_out.pop(kind, 0)
        if left_out:
            record.left_out = left_out
        try:
            line = self.format(record).encode() + b'\n'
        except Exception:  # noqa: BLE001
            # A record that can't be encoded must not end the request.
            self.handleError(record)
            return
        if not self._write(line):
            self.dropped += 1
            self._left_out[kind] = left_out + 1

    def _admit(self, kind: str) -> bool:
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._written.clear()
        written = self._written.get(kind, 0)
        if written >= self._lines_per_s:
            self._left_out[kind] = self._left_out.get(kind, 0) + 1
            return False
        if len(self._written) < KINDS_MOST:
            self._written[kind] = written + 1
        return True

    def _write(self, line: bytes) -> bool:
        """Write a line after the rest of an earlier one, or drop it."""
        if self._rest:
            self._rest = self._send(self._rest)
            if self._rest:
                return False
        unsent = self._send(line)
        if unsent == line:
            return False
        self._rest = unsent
        return True

    def _send(self, pending: bytes) -> bytes:
        """Write what the reader takes now and return the rest."""
        try:
            return pending[os.write(self._descriptor, pending) :]
        except OSError:
            # The pipe is full or has no reader; serving goes on.
            return pending


def configure_edge_logs(level: str, *, node: str) -> RateLimitedHandler:
    """Send lines of at least this level to standard output."""
    handler = RateLimitedHandler(STDOUT_FD)
    handler.setFormatter(
        MsgspecFormatter(
            '{asctime}{levelname}{message}',
            style='{',
            static_fields={'node': node},
        )
    )
    logger = logging.getLogger('ibismount')
    logger.handlers = [handler]
    logger.propagate = False
    logger.setLevel(level.upper())
    return handler
