"""JSON logging with a prefix for each part of the program."""

import logging
import sys
from collections.abc import MutableMapping
from typing import Any

__all__ = ('PartLogger', 'configure_logs', 'part_logger')


class PartLogger(logging.LoggerAdapter):
    """Prefix each message with the name of the part."""

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
    """Log JSON lines of at least this level to standard error."""
    # The edge program imports this module but uses another formatter.
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
