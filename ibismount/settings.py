"""Settings of one node, read from a YAML file and checked as a whole."""

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
_ADDRESS = re.compile(r'(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}')


def _check_address(address: str) -> str:
    if not _ADDRESS.fullmatch(address):
        raise ValueError('use IP:port, such as 127.0.0.1:8101')
    return address


_Address = Annotated[str, pydantic.AfterValidator(_check_address)]


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class NodeSettings(_StrictModel):
    """Who the node is and where it runs."""

    id: _Name = pydantic.Field(
        description='Name of the VM; one live process per name.'
    )
    availability_zone: _Name = pydantic.Field(
        description='Availability zone that the VM is in.'
    )
    region: _Name = pydantic.Field(description='Region of the zone.')
    api_address: _Address = pydantic.Field(
        description='IP address and port for callers and operators (HTTP).'
    )
    link_address: _Address = pydantic.Field(
        description='IP address and port for other nodes (TCP).'
    )


class SeedSettings(_StrictModel):
    """A node to contact first; it need not be alive."""

    id: _Name = pydantic.Field(description='Node id of the seed.')
    availability_zone: _Name = pydantic.Field(description='Its zone.')
    region: _Name = pydantic.Field(description='Its region.')
    link_address: _Address = pydantic.Field(description='Its link address.')
    api_address: _Address = pydantic.Field(description='Its API address.')


class ClusterSettings(_StrictModel):
    """What all nodes of one deployment share."""

    name: _Name = pydantic.Field(description='Name of the deployment.')
    secret: pydantic.SecretStr = pydantic.Field(
        min_length=16, description='Shared secret of the nodes.'
    )
    seeds: tuple[SeedSettings, ...] = pydantic.Field(
        default=(), description='Nodes to contact first.'
    )


class PlatformSettings(_StrictModel):
    """How to reach the platform's object API."""

    url: pydantic.AnyHttpUrl = pydantic.Field(description='Base URL.')
    token: pydantic.SecretStr = pydantic.Field(
        default=pydantic.SecretStr(''), description='Bearer token.'
    )
    timeout_ms: int = pydantic.Field(
        default=2000, ge=10, le=60000, description='Limit of one call, in ms.'
    )


class OperatorSettings(_StrictModel):
    """One operator who may use the administration API."""

    name: str = pydantic.Field(min_length=1, description='Shown in changes.')
    token: pydantic.SecretStr = pydantic.Field(
        min_length=16, description='Bearer token of this operator.'
    )


class LimitSettings(_StrictModel):
    """Bounds of the node itself."""

    in_flight: int = pydantic.Field(
        default=256, ge=1, description='Requests that an entry runs at once.'
    )
    body_bytes: int = pydantic.Field(
        default=262144, ge=1024, description='Largest HTTP body, in bytes.'
    )
    address_ttl_s: int = pydantic.Field(
        default=30, ge=1, description='How long callers keep addresses, in s.'
    )


class TelemetrySettings(_StrictModel):
    """What the node reports about itself."""

    log_level: Literal['debug', 'info', 'warning', 'error'] = pydantic.Field(
        default='info', description='Least severity that is logged.'
    )
    exporter: Literal['none', 'console'] = pydantic.Field(
        default='none', description='Where spans and metrics go.'
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
    """Check the text of a settings file.

    Args:
        text: YAML.
        place: Name of the file, for findings.

    Returns:
        The settings.

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
        raise _settings_error(f'{place}{line}', f'not YAML: {problem}') from exc
    if repeated:
        raise FindingsError(repeated)
    if not isinstance(fields, dict):
        raise _settings_error(place, 'the top level must be a mapping')
    return fields


def _repeated_keys(
    node: yaml.Node | None, place: str, path: str = ''
) -> list[Finding]:
    """Find keys that stand twice in a mapping; YAML takes the last one."""
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
            message = f'stands twice; first in line {lines[key.value]}'
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
    """Read and check a settings file; raise as `parse_settings` does."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise _settings_error(path, f'cannot be read: {exc}') from exc
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
