"""Commands that read the log lines of nodes from files."""

import pathlib
import sys
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from ibismount._cli_command import EXIT_REFUSED
from ibismount.log_reader import (
    LogLine,
    explain_request,
    merge_lines,
    parse_lines,
)

__all__ = ('LogsExplainCommand', 'LogsTimelineCommand')

_FILES_ARGUMENT = argument(
    'files', 'files of log lines; standard input if none', True, True
)


class LogsCommand(Command):
    """Read lines from files or standard input."""

    def read_log_lines(self) -> list[LogLine]:
        """Return the lines of all files.

        Raises:
            OSError: A file can't be read.
        """
        lines: list[LogLine] = []
        for name in self.argument('files'):
            text = pathlib.Path(name).read_text(encoding='utf-8')
            lines.extend(parse_lines(text.splitlines()))
        if not self.argument('files'):
            lines.extend(parse_lines(sys.stdin))
        return lines


class LogsExplainCommand(LogsCommand):
    """Show what log lines say of one request."""

    name = 'logs explain'
    description = 'Show what log lines of nodes say of one request'
    arguments: ClassVar[list[Argument]] = [
        argument('request_id', "the caller's request id"),
        _FILES_ARGUMENT,
    ]

    def handle(self) -> int:
        """Print the request's lines and what its node believed then."""
        request_id = self.argument('request_id')
        rows = explain_request(self.read_log_lines(), request_id)
        if not rows:
            self.line_error(
                f'No line names {request_id}. Lines of ordinary successes are '
                'not written; else give the files of all nodes.'
            )
            return EXIT_REFUSED
        for row in rows:
            self.line(row)
        return 0


class LogsTimelineCommand(LogsCommand):
    """Show the log lines of many nodes in one order."""

    name = 'logs timeline'
    description = 'Show the log lines of many nodes in one order'
    arguments: ClassVar[list[Argument]] = [_FILES_ARGUMENT]

    def handle(self) -> int:
        """Print all lines on a common clock."""
        for row in merge_lines(self.read_log_lines()):
            self.line(row)
        return 0
