"""Commands that read and change templates, parameters, zones and VMs."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any, ClassVar

import httpx
import yaml
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from ibismount import _cli_render as render
from ibismount._api_client import ApiClient, ApiError
from ibismount._cli_command import EXIT_REFUSED, ApiCommand, read_text
from ibismount.errors import ErrorCode, Finding, FindingsError, IbismountError

__all__ = (
    'ApplyCommand',
    'DiffCommand',
    'ForgetCommand',
    'GetCommand',
    'HistoryCommand',
    'InCommand',
    'OutCommand',
    'ServiceStatusCommand',
)


class EntryCommand(ApiCommand):
    """Base class of the commands for the entries of one kind."""

    def __init__(
        self,
        noun: str,
        kind: str,
        transport: httpx.BaseTransport | None = None,
    ) -> None:
        """Name the command after the noun, such as ``template get``."""
        self.name = f'{noun} {self.verb}'
        self.description = self.description_format.format(noun=noun)
        self.kind = kind
        super().__init__(transport)

    verb: ClassVar[str]
    description_format: ClassVar[str]


class GetCommand(EntryCommand):
    """Print configuration entries."""

    verb = 'get'
    description_format = 'Print one {noun} entry, or all of them'
    arguments: ClassVar[list[Argument]] = [
        argument('key', 'name, or team/template', optional=True)
    ]

    def run_on_node(self, client: ApiClient) -> int:
        """Print the entry named by the key, or all entries."""
        entries = client.entries(self.kind)
        key = self.argument('key')
        if key:
            entries = {key: _find_entry(entries, key)}
        lines = []
        for name, entry in sorted(entries.items()):
            lines.append(
                f'{name}  version {entry["version"]} by {entry["who"]}'
            )
            lines.extend(_indent(render.render_fields(entry['body'])))
        self.print_answer(entries, lines)
        return 0


class HistoryCommand(EntryCommand):
    """Print the changes of an entry."""

    verb = 'history'
    description_format = 'Print the changes of a {noun} entry, newest first'
    arguments: ClassVar[list[Argument]] = [
        argument('key', 'name, or team/template')
    ]

    def run_on_node(self, client: ApiClient) -> int:
        """Print the changes, newest first."""
        key = self.argument('key')
        changes = client.get('history', self.kind, key)
        lines = list(render.render_history(changes))
        self.print_answer(changes, lines or [f'no recorded changes of {key}'])
        return 0


class DiffCommand(EntryCommand):
    """Compare a file with the configuration in force."""

    verb = 'diff'
    description_format = (
        'Compare a file of {noun} entries with the entries in force'
    )
    arguments: ClassVar[list[Argument]] = [argument('file', 'YAML file')]

    def run_on_node(self, client: ApiClient) -> int:
        """Print the differing fields of each entry."""
        wanted = _read_entries(self.argument('file'), self.kind)
        current = client.entries(self.kind)
        lines = []
        differences = []
        for key, differing in _changed_entries(current, wanted):
            lines.extend((key, *_indent(differing)))
            body = current[key]['body'] if key in current else None
            differences.append(
                {'key': key, 'current': body, 'wanted': wanted[key]}
            )
        self.print_answer(differences, lines or ['nothing differs'])
        return 0


class ApplyCommand(EntryCommand):
    """Apply a file: check all entries first, then change them in order."""

    verb = 'apply'
    description_format = 'Apply a file of {noun} entries'
    arguments: ClassVar[list[Argument]] = [argument('file', 'YAML file')]
    options: ClassVar[list[Option]] = [
        *ApiCommand.options,
        option(
            'dry-run', None, 'check and print the changes without applying them'
        ),
    ]

    def run_on_node(self, client: ApiClient) -> int:
        """Apply the entries that differ from those in force."""
        wanted = _read_entries(self.argument('file'), self.kind)
        current = client.entries(self.kind)
        differing = dict(_changed_entries(current, wanted))
        if not differing:
            self.print_answer([], ('nothing differs',))
            return 0
        status = self._preview_entries(client, current, wanted, differing)
        if status or self.option('dry-run'):
            return status
        return self._apply_entries(client, current, wanted, list(differing))

    def _apply_entries(self, client, current, wanted, keys) -> int:
        """Change the entries one by one; stop at the first refusal."""
        answers = []
        status = 0
        for key in keys:
            try:
                answer = client.put(
                    self.kind,
                    key,
                    wanted[key],
                    expected_version=_expected_version(current, key),
                )
            except IbismountError as exc:
                unapplied = ', '.join(keys[len(answers) :])
                applied = ', '.join(keys[: len(answers)]) or 'none'
                self.print_error(
                    f'in force: {applied}; not applied: {unapplied}'
                )
                return self.report_error(exc, applied=answers)
            answers.append(answer)
            self.print_notes((render.render_outcome(answer),))
            status = max(status, self.exit_status_of_change(answer))
        self.print_answer(answers, ())
        return status

    def _preview_entries(self, client, current, wanted, differing) -> int:
        """Let the node check every entry; report all findings together."""
        findings = []
        for key, lines in differing.items():
            self.print_notes((key, *_indent(lines)))
            try:
                answer = client.put(
                    self.kind,
                    key,
                    wanted[key],
                    expected_version=_expected_version(current, key),
                    preview=True,
                )
            except ApiError as exc:
                findings.extend(_entry_findings(key, exc))
                continue
            self.print_notes(
                f'  warning: {warning}'
                for warning in answer.get('warnings', ())
            )
        if not findings:
            return 0
        status = self.report_error(FindingsError(findings))
        self.print_error('nothing was applied')
        return status


class ServiceCommand(EntryCommand):
    """Base class of the commands that change whether a zone or VM serves."""

    description_format = 'Change whether a {noun} is in service'
    in_service: ClassVar[bool]
    arguments: ClassVar[list[Argument]] = [argument('name', 'zone or VM')]
    options: ClassVar[list[Option]] = [
        *ApiCommand.options,
        option('yes', 'y', 'proceed despite warnings without asking'),
        option('preview', None, 'show what would be affected, change nothing'),
    ]

    def run_on_node(self, client: ApiClient) -> int:
        """Print the effects, confirm any warnings, then make the change."""
        name = self.argument('name')
        expected_version = _expected_version(client.entries(self.kind), name)
        body = {'in_service': self.in_service}
        preview = client.put(
            self.kind,
            name,
            body,
            expected_version=expected_version,
            preview=True,
        )
        for line in render.render_fields(preview.get('affected') or {}):
            self.print_error(f'affected {line}')
        warnings = preview.get('warnings') or ()
        for warning in warnings:
            self.print_error(f'warning: {warning}')
        if self.option('preview'):
            self.print_answer(preview, ('preview only; nothing was changed',))
            return 0
        if warnings and not self.ask_to_proceed(
            'Proceed despite the warnings?', 'nothing was changed'
        ):
            return EXIT_REFUSED
        return self.report_change(
            client.put(self.kind, name, body, expected_version=expected_version)
        )


class OutCommand(ServiceCommand):
    """Take a zone or VM out of service."""

    verb = 'out'
    description_format = 'Take a {noun} out of service'
    in_service = False


class InCommand(ServiceCommand):
    """Put a zone or VM back into service."""

    verb = 'in'
    description_format = 'Put a {noun} back into service'
    in_service = True


class ServiceStatusCommand(EntryCommand):
    """Print each zone, what runs there, and who last changed its service."""

    verb = 'status'
    description_format = (
        'Show each {noun}, what runs there and whether it is in service'
    )

    def run_on_node(self, client: ApiClient) -> int:
        """Print one row for each zone."""
        entries = client.entries(self.kind)
        running_by_zone = client.get('status')['zones']
        zones = {
            name: {**running_by_zone.get(name, {}), 'change': entries.get(name)}
            for name in sorted({*running_by_zone, *entries})
        }
        self.print_answer(zones, render.render_zones(zones))
        return 0


class ForgetCommand(EntryCommand):
    """Declare a VM destroyed and remove it from the roster."""

    verb = 'forget'
    description_format = (
        'Declare a {noun} destroyed and remove it from the roster'
    )
    arguments: ClassVar[list[Argument]] = [argument('name', 'VM')]
    options: ClassVar[list[Option]] = [
        *ApiCommand.options,
        option('yes', 'y', 'do not ask'),
    ]

    def run_on_node(self, client: ApiClient) -> int:
        """Ask for confirmation, then remove the VM from the roster."""
        name = self.argument('name')
        question = f'{name} is destroyed and will never run again?'
        if not self.ask_to_proceed(question, 'nothing was changed'):
            return EXIT_REFUSED
        return self.report_change(client.delete(self.kind, name))


def _indent(lines: Iterable[str]) -> Iterator[str]:
    return (f'  {line}' for line in lines)


def _find_entry(entries: Mapping[str, Any], key: str) -> Any:
    if key in entries:
        return entries[key]
    raise IbismountError(
        ErrorCode.BAD_REQUEST,
        f'no entry is named {key}; existing entries: '
        f'{", ".join(sorted(entries)) or "none yet"}',
    )


def _entry_findings(key: str, exc: ApiError) -> list[Finding]:
    """Return the findings of a refusal, their places prefixed by the key."""
    problem_findings = exc.fields.get('findings') or ()
    if not problem_findings:
        return [Finding(exc.code, key, exc.message)]
    return [
        Finding(**{**finding, 'place': f'{key} {finding["place"]}'})
        for finding in problem_findings
    ]


def _expected_version(entries: Mapping[str, Any], key: str) -> int:
    """Return the version of the entry as read before the change, or 0.

    The node refuses the change if the entry has another version by then.
    """
    return int(entries[key]['version']) if key in entries else 0


def _changed_entries(
    current: Mapping[str, Any], wanted: Mapping[str, Any]
) -> Iterable[tuple[str, list[str]]]:
    for key, body in wanted.items():
        old = current[key]['body'] if key in current else None
        lines = render.render_diff(old, body)
        if lines:
            yield key, lines


def _read_entries(path: str, kind: str) -> dict[str, dict[str, Any]]:
    """Read a YAML file with one entry or a list of entries.

    Raises:
        FindingsError: Entries lack a key or repeat one; names all of them.
    """
    try:
        document = yaml.safe_load(read_text(path))
    except yaml.YAMLError as exc:
        raise IbismountError(
            ErrorCode.BAD_REQUEST, f'invalid YAML: {exc}', place=path
        ) from exc
    key_fields = ('team', 'template') if kind == 'parameters' else ('name',)
    entries: dict[str, dict[str, Any]] = {}
    findings = []
    for index, body in enumerate(
        document if isinstance(document, list) else [document]
    ):
        place = f'{path}[{index}]'
        if not isinstance(body, dict) or not set(key_fields) <= set(body):
            message = f'must be a mapping with {" and ".join(key_fields)}'
            findings.append(Finding(ErrorCode.BAD_REQUEST, place, message))
            continue
        key = '/'.join(str(body[name]) for name in key_fields)
        if key in entries:
            message = f'{key} appears in the file more than once'
            findings.append(Finding(ErrorCode.BAD_REQUEST, place, message))
        entries[key] = body
    if findings:
        raise FindingsError(findings)
    return entries
