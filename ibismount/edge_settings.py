"""Settings of the edge program; a check reports all findings at once."""

import pathlib
from typing import Any, TypeVar

import msgspec

from ibismount.errors import ErrorCode, Finding, FindingsError

__all__ = (
    'BoundSettings',
    'EdgeSettings',
    'ListenSettings',
    'NodeSettings',
    'StoreSettings',
    'changed_fields',
    'check_settings',
    'load_settings',
)

Section = TypeVar('Section')


class NodeSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Identity and capacity of this node, and where its peers are."""

    name: str
    ip: str
    zone: str
    area: str
    # First and last of the ports for traffic between nodes.
    peer_ports: tuple[int, int]
    # Addresses of nodes to contact first; they may be stale.
    seeds: list[str] = []
    # Share of the processor that this node may use, and the processor's speed
    # as a multiple of one core.
    cpu_share: float = 1
    cpu_cores: float = 1
    # Whether the whole fleet starts for the first time: no caller waits yet.
    first_start: bool = False

    @property
    def capacity(self) -> float:
        """Return the processor cores that this node may use."""
        return self.cpu_share * self.cpu_cores


class ListenSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Addresses to listen on, as IP:PORT."""

    callers: str
    readiness: str
    directory: str
    # Where metrics are served; empty: not served.
    metrics: str = ''


class BoundSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Bounds of the whole fleet; times in seconds."""

    retry_ratio: float = 0.2
    retry_slack: float = 100
    cold_overage: float = 1.5
    cold_slack: float = 5
    grace_s: float = 6
    address_keep_most_s: float = 5


class StoreSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Address of the platform's store."""

    address: str


class EdgeSettings(msgspec.Struct, forbid_unknown_fields=True):
    """All settings of one edge process."""

    node: NodeSettings
    listen: ListenSettings
    store: StoreSettings
    bounds: BoundSettings


_SECTIONS = {
    'node': NodeSettings,
    'listen': ListenSettings,
    'store': StoreSettings,
    'bounds': BoundSettings,
}


def load_settings(path: str) -> EdgeSettings:
    """Read and check a settings file.

    The template of the file is YAML, but the platform fills it in as JSON,
    which is also valid YAML. The program therefore needs no YAML parser.

    Raises:
        FindingsError: All findings, each with its place.
    """
    try:
        document = msgspec.json.decode(pathlib.Path(path).read_bytes())
    except (OSError, msgspec.DecodeError) as exc:
        raise _findings_error([_settings_finding(path, str(exc))]) from exc
    return check_settings(document, place=path)


def check_settings(document: Any, *, place: str = 'settings') -> EdgeSettings:
    """Check a settings document.

    Args:
        document: The decoded document.
        place: Where it came from, for findings.

    Raises:
        FindingsError: All findings, each with its place.
    """
    if not isinstance(document, dict):
        raise _findings_error(
            [
                _settings_finding(
                    place, 'expected a mapping of section names to sections'
                )
            ]
        )
    findings = [
        _settings_finding(
            f'{place}: {name}',
            'unknown section; expected node, listen, store and bounds',
        )
        for name in document
        if name not in _SECTIONS
    ]
    sections = {
        name: _check_section(
            document.get(name), struct_type, f'{place}: {name}', findings
        )
        for name, struct_type in _SECTIONS.items()
    }
    if findings:
        raise _findings_error(findings)
    return EdgeSettings(**sections)


def changed_fields(old: EdgeSettings, new: EdgeSettings) -> list[str]:
    """Return the fields that differ, as ``section.field``."""
    return [
        f'{section}.{field.name}'
        for section, struct_type in _SECTIONS.items()
        for field in msgspec.structs.fields(struct_type)
        if getattr(getattr(old, section), field.name)
        != getattr(getattr(new, section), field.name)
    ]


def _check_section(
    settings: Any,
    struct_type: type[Section],
    place: str,
    findings: list[Finding],
) -> Section | None:
    if not isinstance(settings, dict):
        findings.append(
            _settings_finding(
                place, 'expected a mapping of field names to values'
            )
        )
        return None
    before = len(findings)
    fields = {
        field_info.name: field_info
        for field_info in msgspec.structs.fields(struct_type)
    }
    for name in settings:
        if name not in fields:
            findings.append(
                _settings_finding(f'{place}.{name}', 'unknown field')
            )
    checked = {}
    for name, field in fields.items():
        if name not in settings:
            if field.required:
                findings.append(
                    _settings_finding(
                        f'{place}.{name}', 'required field is missing'
                    )
                )
            continue
        try:
            checked[name] = msgspec.convert(settings[name], field.type)
        except msgspec.ValidationError as exc:
            findings.append(_settings_finding(f'{place}.{name}', str(exc)))
    return struct_type(**checked) if len(findings) == before else None


def _findings_error(findings: list[Finding]) -> FindingsError:
    return FindingsError(findings)


def _settings_finding(place: str, message: str) -> Finding:
    return Finding(ErrorCode.SETTINGS_INVALID, place, message)
