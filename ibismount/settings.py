"""Settings of a node, read from a YAML file and validated as a whole."""

import pathlib
import re
from typing import Annotated, Any, Literal

import pydantic
import yaml

from ibismount.catalog import findings_of
from ibismount.errors import ErrorCode, Finding, FindingsError

__all__ = (
    'Settings',
    'load_settings',
    'parse_settings',
    'render_settings_reference',
)

_Name = Annotated[str, pydantic.Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]
_ADDRESS_PATTERN = re.compile(r'(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}')


def _check_address(address: str) -> str:
    if not _ADDRESS_PATTERN.fullmatch(address):
        raise ValueError('must be IP:port, such as 127.0.0.1:8101')
    return address


_Address = Annotated[str, pydantic.AfterValidator(_check_address)]


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class NodeSettings(_StrictModel):
    """Identity and location of the node."""

    id: _Name = pydantic.Field(
        description='Name of the VM; only one process may use it at a time.'
    )
    availability_zone: _Name = pydantic.Field(
        description='Availability zone of the VM.'
    )
    region: _Name = pydantic.Field(
        description='Region of the availability zone.'
    )
    api_address: _Address = pydantic.Field(
        description='IP address and port for callers and operators (HTTP).'
    )
    link_address: _Address = pydantic.Field(
        description='IP address and port for other nodes (TCP).'
    )


class SeedSettings(_StrictModel):
    """A node to contact first; it may be down."""

    id: _Name = pydantic.Field(description='Node id of the seed.')
    availability_zone: _Name = pydantic.Field(
        description='Availability zone of the seed.'
    )
    region: _Name = pydantic.Field(description='Region of the seed.')
    link_address: _Address = pydantic.Field(
        description='Link address of the seed.'
    )
    api_address: _Address = pydantic.Field(
        description='API address of the seed.'
    )


class ClusterSettings(_StrictModel):
    """Settings that all nodes of a deployment share."""

    name: _Name = pydantic.Field(description='Name of the deployment.')
    secret: pydantic.SecretStr = pydantic.Field(
        min_length=16, description='Secret that all nodes share.'
    )
    seeds: tuple[SeedSettings, ...] = pydantic.Field(
        default=(), description='Nodes to contact first.'
    )


class PlatformSettings(_StrictModel):
    """Connection to the object API of the platform."""

    url: pydantic.AnyHttpUrl = pydantic.Field(
        description='Base URL of the object API.'
    )
    token: pydantic.SecretStr = pydantic.Field(
        default=pydantic.SecretStr(''),
        description='Bearer token for the object API.',
    )
    timeout_ms: int = pydantic.Field(
        default=2000, ge=10, le=60000, description='Timeout of one call, in ms.'
    )


class OperatorSettings(_StrictModel):
    """One operator who may use the administration API."""

    name: str = pydantic.Field(
        min_length=1, description='Operator name that is recorded with changes.'
    )
    token: pydantic.SecretStr = pydantic.Field(
        min_length=16, description='Bearer token of this operator.'
    )


class LimitSettings(_StrictModel):
    """Limits of the node."""

    in_flight: int = pydantic.Field(
        default=256,
        ge=1,
        description='Maximum number of requests in flight at the entry.',
    )
    body_bytes: int = pydantic.Field(
        default=262144,
        ge=1024,
        description='Maximum size of an HTTP body, in bytes.',
    )
    address_ttl_s: int = pydantic.Field(
        default=30,
        ge=1,
        description='How long callers may cache node addresses, in s.',
    )


class TelemetrySettings(_StrictModel):
    """Logs, spans and metrics of the node."""

    log_level: Literal['debug', 'info', 'warning', 'error'] = pydantic.Field(
        default='info', description='Lowest severity that is logged.'
    )
    exporter: Literal['none', 'console'] = pydantic.Field(
        default='none', description='Exporter of spans and metrics.'
    )


class Settings(_StrictModel):
    """All settings of a node."""

    node: NodeSettings
    cluster: ClusterSettings
    platform: PlatformSettings
    operators: tuple[OperatorSettings, ...] = ()
    limits: LimitSettings = LimitSettings()
    telemetry: TelemetrySettings = TelemetrySettings()


def parse_settings(text: str, *, place: str) -> Settings:
    """Parse and validate the text of a settings file.

    Args:
        text: Settings as YAML.
        place: File name, used in findings.

    Returns:
        The validated settings.

    Raises:
        FindingsError: ``settings_invalid``, all findings together.
    """
    fields = _parse_yaml(text, place)
    try:
        return Settings.model_validate(fields)
    except pydantic.ValidationError as exc:
        raise FindingsError(
            findings_of(exc, place=place, code=ErrorCode.SETTINGS_INVALID)
        ) from exc


def _parse_yaml(text: str, place: str) -> Any:
    try:
        repeated = _repeated_keys(yaml.compose(text, yaml.SafeLoader), place)
        fields = yaml.safe_load(text)
    except yaml.YAMLError as exc:
        mark = getattr(exc, 'problem_mark', None)
        line = f':{mark.line + 1}' if mark else ''
        problem = getattr(exc, 'problem', None) or 'not readable'
        raise _settings_error(
            f'{place}{line}', f'invalid YAML: {problem}'
        ) from exc
    if repeated:
        raise FindingsError(repeated)
    if not isinstance(fields, dict):
        raise _settings_error(place, 'the top level must be a mapping')
    return fields


def _repeated_keys(
    node: yaml.Node | None, place: str, path: str = ''
) -> list[Finding]:
    """Find repeated keys of a mapping; YAML silently keeps the last one."""
    findings: list[Finding] = []
    if isinstance(node, yaml.SequenceNode):
        for index, child in enumerate(node.value):
            findings.extend(_repeated_keys(child, place, f'{path}.{index}'))
    if not isinstance(node, yaml.MappingNode):
        return findings
    lines: dict[str, int] = {}
    for key, child in node.value:
        line = key.start_mark.line + 1
        key_path = f'{path}.{key.value}'
        if key.value in lines:
            message = f'repeated key; first in line {lines[key.value]}'
            findings.append(
                Finding(
                    ErrorCode.SETTINGS_INVALID,
                    f'{place}:{line}{key_path}',
                    message,
                )
            )
        else:
            lines[key.value] = line
        findings.extend(_repeated_keys(child, place, key_path))
    return findings


def load_settings(path: str) -> Settings:
    """Read and validate a settings file.

    Raises:
        FindingsError: As `parse_settings`, or the file cannot be read.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise _settings_error(path, f'cannot read the file: {exc}') from exc
    return parse_settings(text, place=path)


def _settings_error(place: str, message: str) -> FindingsError:
    return FindingsError([Finding(ErrorCode.SETTINGS_INVALID, place, message)])


def render_settings_reference() -> str:
    """Render the reference page docs/SETTINGS.md from the models."""
    lines = [
        '# Settings',
        '',
        'Generated by `python -m ibismount.settings`; do not edit.',
        'Times and sizes carry their unit in the name.',
    ]
    for section, field in Settings.model_fields.items():
        lines.extend(_render_section(section, field.annotation))
    return '\n'.join(lines) + '\n'


def _render_section(name: str, annotation: Any) -> list[str]:
    model = annotation
    title = f'## {name}'
    if getattr(annotation, '__args__', None):
        model = annotation.__args__[0]
        title = f'## {name}[]'
    lines = ['', title, '', model.__doc__.strip(), '']
    lines.extend(('| field | default | meaning |', '|---|---|---|'))
    lines.extend(
        f'| `{key}` | {_render_default(field)} | {field.description} |'
        for key, field in model.model_fields.items()
    )
    nested = model.model_fields.get('seeds')
    if nested is not None:
        lines.extend(_render_section(f'{name}.seeds', nested.annotation))
    return lines


def _render_default(field: Any) -> str:
    if field.is_required():
        return 'required'
    return f'`{field.default}`' if str(field.default) else 'empty'


if __name__ == '__main__':
    print(render_settings_reference(), end='')
