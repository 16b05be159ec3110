"""Base class of the ``ibismountctl`` commands that call a node."""

import json
import os
import pathlib
from collections.abc import Iterable, Mapping
from typing import Any, ClassVar

import httpx
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option
from cleo.io.outputs.output import Type

from ibismount import _cli_render as render
from ibismount._api_client import ApiClient, ApiError
from ibismount._cli_advice import ADVICE
from ibismount.errors import ErrorCode, Finding, IbismountError

__all__ = (
    'EXIT_REFUSED',
    'EXIT_UNKNOWN',
    'ApiCommand',
    'read_text',
)

DEFAULT_NODE = 'http://127.0.0.1:8101'
EXIT_REFUSED = 1
EXIT_PENDING = 2
EXIT_UNKNOWN = 3

_UNKNOWN_OUTCOME_CODES = frozenset(
    (ErrorCode.CHANGE_UNKNOWN, ErrorCode.OUTCOME_UNKNOWN)
)


class ApiCommand(Command):
    """Run one command against a node and report its errors.

    Args:
        transport: HTTP transport that replaces the network in tests.
    """

    options: ClassVar[list[Option]] = [
        option(
            'node', None, 'URL of any node; default: IBISMOUNT_NODE', flag=False
        ),
        option(
            'token-file',
            None,
            'file with the operator token; default: IBISMOUNT_TOKEN',
            flag=False,
        ),
        option('json', None, 'print JSON'),
    ]

    def __init__(self, transport: httpx.BaseTransport | None = None) -> None:
        """Store the transport and define the command."""
        self._transport = transport
        super().__init__()

    def handle(self) -> int:
        """Run the command; print errors without a traceback."""
        client = None
        try:
            client = self._make_client()
            return self.run_on_node(client)
        except IbismountError as exc:
            return self.report_error(exc)
        finally:
            if client is not None:
                client.close()

    def run_on_node(self, client: ApiClient) -> int:
        """Run the command and return the exit status."""
        raise NotImplementedError

    def print_lines(self, lines: Iterable[str]) -> None:
        """Print lines without interpreting style tags."""
        for line in lines:
            self.io.write_line(render.replace_unprintable(line), type=Type.RAW)

    def print_error(self, line: str) -> None:
        """Print a line to standard error."""
        self.io.write_error_line(
            render.replace_unprintable(line), type=Type.RAW
        )

    def print_notes(self, lines: Iterable[str]) -> None:
        """Print notes; with ``--json``, to standard error."""
        if not self.option('json'):
            self.print_lines(lines)
            return
        for line in lines:
            self.print_error(line)

    def print_answer(self, answer: Any, lines: Iterable[str]) -> None:
        """Print an answer as JSON or as lines."""
        if self.option('json'):
            text = json.dumps(answer, ensure_ascii=False, indent=2)
            lines = text.splitlines()
        self.print_lines(lines)

    def report_error(self, exc: IbismountError, **extra: Any) -> int:
        """Print an error, any conflicting change and the suggested next step.

        Returns:
            The exit status.
        """
        status = (
            EXIT_UNKNOWN if exc.code in _UNKNOWN_OUTCOME_CODES else EXIT_REFUSED
        )
        problem = _problem_fields(exc)
        if self.option('json'):
            self.print_answer({**problem, **extra, 'exit': status}, ())
            return status
        findings = problem.get('findings')
        lines = [str(Finding(**finding)) for finding in findings or ()]
        for line in lines or [f'{problem["detail"]} [{exc.code}]']:
            self.print_error(line)
        if problem.get('other'):
            self.print_error(f'other: {render.render_change(problem["other"])}')
        if exc.code in ADVICE:
            self.print_error(f'next: {ADVICE[exc.code]}')
        return status

    def report_change(self, answer: Mapping[str, Any]) -> int:
        """Print the outcome of a change and return the exit status."""
        self.print_answer(answer, (render.render_outcome(answer),))
        return self.exit_status_of_change(answer)

    def exit_status_of_change(self, answer: Mapping[str, Any]) -> int:
        """Return the exit status of a change; print a note if it is pending."""
        if answer.get('outcome') == 'accepted':
            return 0
        self.print_error(
            'committed, but not yet accepted by a quorum of nodes; it will '
            'not be lost. next: see `accepted` in `ibismountctl status`'
        )
        return EXIT_PENDING

    def ask_to_proceed(self, question: str, declined_message: str) -> bool:
        """Ask for confirmation unless ``--yes`` was given.

        Args:
            question: Printed before the prompt.
            declined_message: Printed when the answer is not yes.

        Returns:
            Whether to proceed: true with ``--yes``, else false without a
            terminal.
        """
        if self.option('yes') or self._ask_yes_no(question):
            return True
        self.print_error(
            f'{declined_message}; pass --yes to proceed without confirmation'
        )
        return False

    def _ask_yes_no(self, question: str) -> bool:
        """Ask on standard error; end of input counts as no.

        Cleo's own question repeats forever at the end of input.
        """
        if not self.io.is_interactive():
            return False
        self.io.write_error(
            f'{render.replace_unprintable(question)} (yes/no) [no] '
        )
        return self.io.read_line().strip().lower() in {'y', 'yes'}

    def _make_client(self) -> ApiClient:
        token = os.environ.get('IBISMOUNT_TOKEN', '')
        token_file = self.option('token-file')
        if token_file:
            token = read_text(token_file).strip()
        node = self.option('node') or os.environ.get('IBISMOUNT_NODE')
        return ApiClient(
            node or DEFAULT_NODE, token=token, transport=self._transport
        )


def _problem_fields(exc: IbismountError) -> dict[str, Any]:
    """Return the problem detail, completed from the exception."""
    fields = dict(exc.fields) if isinstance(exc, ApiError) else {}
    findings = [finding._asdict() for finding in getattr(exc, 'findings', ())]
    if findings:
        fields['findings'] = findings
    return {**fields, 'code': str(exc.code), 'detail': str(exc)}


def read_text(path: str) -> str:
    """Read a file; raise ``bad_request`` when it cannot be read."""
    try:
        return pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise IbismountError(
            ErrorCode.BAD_REQUEST, f'cannot read the file ({exc})', place=path
        ) from exc
