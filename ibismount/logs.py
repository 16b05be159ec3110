"""JSON logs; each part of the program has a fixed prefix."""

import logging
import sys
from collections.abc import MutableMapping
from typing import Any

__all__ = ('PartLogger', 'configure_logs', 'part_logger')


class PartLogger(logging.LoggerAdapter):
    """Put the part's name before each message."""

    def process(
        self, msg: Any, kwargs: MutableMapping[str, Any]
    ) -> tuple[Any, MutableMapping[str, Any]]:
        """Add the prefix; keep the caller's extra fields."""
        return f'{self.extra["part"]}: {msg}', kwargs


def part_logger(part: str) -> PartLogger:
    """Return the logger of a part, such as ``entry`` or ``gateway``.

    Example::

        log = part_logger('entry')
        log.info('request refused', extra={'request_id': request_id})
    """
    return PartLogger(logging.getLogger(f'ibismount.{part}'), {'part': part})


def configure_logs(level: str, *, node_id: str) -> None:
    """Send JSON lines of at least this level to standard error."""
    # The lean edge program has a formatter of its own.
    from pythonjsonlogger.json import JsonFormatter  # noqa: WPS433

    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            '{asctime}{levelname}{message}',
            style='{',
            static_fields={'node': node_id},
        )
    )
    logger = logging.getLogger('ibismount')
    logger.handlers = [handler]
    logger.propagate = False
    logger.setLevel(level.upper())
