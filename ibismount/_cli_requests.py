"""Commands for status, timeline, explanations, searches and bookings."""

import json
import re
import secrets
import time
from collections.abc import Mapping
from typing import Any, ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from ibismount import _cli_render as render
from ibismount._api_client import ApiClient
from ibismount._cli_command import EXIT_REFUSED, EXIT_UNKNOWN, ApiCommand
from ibismount.errors import ErrorCode, IbismountError

__all__ = (
    'BookCommand',
    'ExplainCommand',
    'SearchCommand',
    'StatusCommand',
    'TimelineCommand',
)

_SECONDS_BY_UNIT = {'s': 1, 'm': 60, 'h': 3600, 'd': 86400}
_AGE_PATTERN = re.compile(r'(\d+)([smhd])', re.ASCII)


class StatusCommand(ApiCommand):
    """Print the state of a node."""

    name = 'status'
    description = 'Show the state of the node and its view of the fleet'

    def run_on_node(self, client: ApiClient) -> int:
        """Print the status."""
        status = client.get('status')
        self.print_answer(status, render.render_status(status))
        return 0


class TimelineCommand(ApiCommand):
    """Print changes by operators and events of the system in order of time."""

    name = 'timeline'
    description = (
        'Show changes by operators and events of the system in order of time'
    )
    options: ClassVar[list[Option]] = [
        *ApiCommand.options,
        option(
            'since', None, 'maximum age, such as 15m or 2h', False, default='1h'
        ),
        option(
            'request-id', None, 'only events of this request', False, default=''
        ),
        option(
            'rows', None, 'number of latest rows to print', False, default='100'
        ),
    ]

    def run_on_node(self, client: ApiClient) -> int:
        """Print the rows, oldest first."""
        rows = client.get(
            'timeline',
            since=_parse_since(self.option('since'), time.time()),
            request_id=self.option('request-id'),
        )
        rows = rows[-_parse_row_count(self.option('rows')) :]
        self.print_answer(rows, render.render_timeline(rows))
        return 0


class ExplainCommand(ApiCommand):
    """Print the cause of a request's outcome."""

    name = 'explain'
    description = (
        "Show the cause of a request's outcome and the changes before it"
    )
    arguments: ClassVar[list[Argument]] = [
        argument('request-id', 'request id from the answer')
    ]

    def run_on_node(self, client: ApiClient) -> int:
        """Print the cause, the preceding changes and the events."""
        answer = client.get('explain', self.argument('request-id'))
        self.print_answer(answer, render.render_explanation(answer))
        return 0


class SearchCommand(ApiCommand):
    """Run a search."""

    name = 'search'
    description = 'Run a search'
    arguments: ClassVar[list[Argument]] = [
        argument('team'),
        argument('template'),
        argument('query', 'JSON object'),
    ]
    options: ClassVar[list[Option]] = [
        *ApiCommand.options,
        option(
            'cursor',
            None,
            'cursor printed with the previous page',
            False,
            default='',
        ),
    ]

    def run_on_node(self, client: ApiClient) -> int:
        """Print the results and the coverage."""
        answer = client.post(
            '/v1/search',
            {
                'team': self.argument('team'),
                'template': self.argument('template'),
                'query': _parse_json_object(self.argument('query'), 'query'),
                'cursor': self.option('cursor'),
            },
        )
        return self._report_answer(answer)

    def _report_answer(self, answer: Mapping[str, Any]) -> int:
        lines = render.render_results(answer.get('results') or ())
        if answer.get('cursor'):
            lines.append(f'next page: --cursor {answer["cursor"]}')
        lines.extend(render.render_coverage(answer.get('coverage')))
        self.print_answer(answer, (*lines, *_outcome_lines(answer)))
        return _exit_status(answer)


class BookCommand(ApiCommand):
    """Run a booking at most once."""

    name = 'book'
    description = 'Run a booking at most once'
    arguments: ClassVar[list[Argument]] = [
        argument('team'),
        argument('template'),
        argument('shard'),
        argument('booking', 'JSON object'),
    ]
    options: ClassVar[list[Option]] = [
        *ApiCommand.options,
        option(
            'request-id',
            None,
            'request id of an earlier attempt at this booking',
            False,
        ),
    ]

    def run_on_node(self, client: ApiClient) -> int:
        """Print the request id, send the booking, then print the outcome."""
        request_id = self.option('request-id') or _new_request_id()
        self.print_error(f'request id: {request_id}')
        answer = client.post(
            '/v1/bookings',
            {
                'team': self.argument('team'),
                'template': self.argument('template'),
                'shard': self.argument('shard'),
                'booking': _parse_json_object(
                    self.argument('booking'), 'booking'
                ),
                'request_id': request_id,
            },
        )
        result = answer.get('result')
        lines = [] if result is None else [_format_json(result)]
        self.print_answer(answer, (*lines, *_outcome_lines(answer)))
        status = _exit_status(answer)
        if status:
            # Under a new request id, a retry could book twice.
            self.print_error(f'to retry, pass --request-id {request_id}')
        return status


def _parse_json_object(text: str, place: str) -> dict[str, Any]:
    try:
        parsed = json.loads(text)
    except (ValueError, RecursionError):
        parsed = None
    if isinstance(parsed, dict):
        return parsed
    raise IbismountError(
        ErrorCode.BAD_REQUEST, 'must be a JSON object', place=place
    )


def _parse_since(text: str, now_s: float) -> float:
    match = _AGE_PATTERN.fullmatch(text)
    if match is None:
        raise IbismountError(
            ErrorCode.BAD_REQUEST,
            'must be a whole number followed by s, m, h or d, such as 15m',
            place='--since',
        )
    return now_s - int(match.group(1)) * _SECONDS_BY_UNIT[match.group(2)]


def _parse_row_count(text: str) -> int:
    if text.isascii() and text.isdigit() and int(text):
        return int(text)
    raise IbismountError(
        ErrorCode.BAD_REQUEST,
        'must be a whole number of at least 1',
        place='--rows',
    )


def _new_request_id() -> str:
    return f'{time.time_ns() // 1_000_000}-{secrets.token_hex(8)}'


def _format_json(value: Any) -> str:
    return json.dumps(value, ensure_ascii=False)


def _outcome_lines(answer: Mapping[str, Any]) -> list[str]:
    line = f'{answer.get("status")}: request {answer["request_id"]}'
    if answer.get('snapshot'):
        line = f'{line}, snapshot {answer["snapshot"]}'
    cause = answer.get('cause')
    return [line, f'cause: {render.render_cause(cause)}'] if cause else [line]


def _exit_status(answer: Mapping[str, Any]) -> int:
    outcomes = {'answered': 0, 'unknown': EXIT_UNKNOWN}
    return outcomes.get(str(answer.get('status')), EXIT_REFUSED)
