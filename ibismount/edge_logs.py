"""Logs of the edge program: JSON on standard output, without blocking.

A line that can't be written at once is dropped and counted, and the lines of
each kind are limited per second. Logging therefore neither stalls a node nor
grows with its load.
"""

import logging
import os
import time
from typing import Final

from pythonjsonlogger.msgspec import MsgspecFormatter

__all__ = ('RateLimitedHandler', 'configure_edge_logs')

# Lines of one kind per second: enough to follow a fault.
LINES_PER_S: Final = 20
# Most kinds that are counted in one second; further ones share one count.
MAX_KINDS: Final = 256
_OTHER_KINDS: Final = ''
STDOUT_FD: Final = 1


class RateLimitedHandler(logging.Handler):
    """Write records to a descriptor without blocking.

    Records with the same message, before its arguments are filled in, are of
    one kind. The first line of a kind after a gap states in ``left_out`` how
    many lines were suppressed.

    Args:
        descriptor: Where lines are written; it is set to non-blocking.
        lines_per_s: Limit for each kind.
        clock: Clock in seconds.
    """

    def __init__(
        self,
        descriptor: int,
        *,
        lines_per_s: int = LINES_PER_S,
        clock=time.monotonic,
    ) -> None:
        """Start with zero counts."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._second = 0
        self._written: dict[str, int] = {}
        self._left_out: dict[str, int] = {}
        # The rest of a line that was written in part.
        self._unsent = b''
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as suppressed."""
        kind = str(record.msg)
        if not self._is_within_limit(kind):
            return
        left_out = self._left_out.pop(kind, 0) + self._left_out.pop(
            _OTHER_KINDS, 0
        )
        if left_out:
            record.left_out = left_out
        try:
            line = self.format(record).encode() + b'\n'
        except Exception:  # noqa: BLE001
            # A record that can't be encoded must not fail the request.
            self.handleError(record)
            return
        if not self._write(line):
            self.dropped += 1
            self._left_out[kind] = left_out + 1

    def _is_within_limit(self, kind: str) -> bool:
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._written.clear()
        if kind not in self._written and len(self._written) >= MAX_KINDS:
            kind = _OTHER_KINDS
        written = self._written.get(kind, 0)
        if written >= self._lines_per_s:
            self._left_out[kind] = self._left_out.get(kind, 0) + 1
            return False
        self._written[kind] = written + 1
        return True

    def _write(self, line: bytes) -> bool:
        """Write a line after the rest of an earlier one.

        Returns:
            False when the line was dropped.
        """
        if self._unsent:
            self._unsent = self._send(self._unsent)
            if self._unsent:
                return False
        unsent = self._send(line)
        if unsent == line:
            return False
        self._unsent = unsent
        return True

    def _send(self, pending: bytes) -> bytes:
        """Write what the descriptor accepts now; return the rest."""
        try:
            return pending[os.write(self._descriptor, pending) :]
        except OSError:
            # The pipe is full or has no reader; requests are still served.
            return pending


def configure_edge_logs(level: str, *, node: str) -> RateLimitedHandler:
    """Write log lines of at least this level to standard output."""
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
