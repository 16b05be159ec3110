"""Commands that read log lines of nodes from files or standard input."""

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
    'files', 'log files of nodes; default: standard input', True, True
)


class LogsCommand(Command):
    """Base class of the commands that read log lines."""

    def read_log_lines(self) -> list[LogLine]:
        """Return the log lines of all files, or of standard input.

        Raises:
            OSError: A file cannot be read.
        """
        lines: list[LogLine] = []
        for name in self.argument('files'):
            text = pathlib.Path(name).read_text(encoding='utf-8')
            lines.extend(parse_lines(text.splitlines()))
        if not self.argument('files'):
            lines.extend(parse_lines(sys.stdin))
        return lines


class LogsExplainCommand(LogsCommand):
    """Print the log lines of one request and the state of its nodes."""

    name = 'logs explain'
    description = 'Show the log lines of one request and the state of its nodes'
    arguments: ClassVar[list[Argument]] = [
        argument('request_id', "the caller's request id"),
        _FILES_ARGUMENT,
    ]

    def handle(self) -> int:
        """Print the lines of the request and the context lines of its nodes."""
        request_id = self.argument('request_id')
        rows = explain_request(self.read_log_lines(), request_id)
        if not rows:
            self.line_error(
                f'No line names request {request_id}. Ordinary successes are not '
                'logged; if the request failed, pass the files of all nodes.'
            )
            return EXIT_REFUSED
        for row in rows:
            self.line(row)
        return 0


class LogsTimelineCommand(LogsCommand):
    """Print the log lines of several nodes in order of time."""

    name = 'logs timeline'
    description = 'Show the log lines of several nodes in order of time'
    arguments: ClassVar[list[Argument]] = [_FILES_ARGUMENT]

    def handle(self) -> int:
        """Print all lines with their times on a common clock."""
        for row in merge_lines(self.read_log_lines()):
            self.line(row)
        return 0
