"""Settings of the edge program, checked as a whole."""

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
    """Who this node is and where its peers are."""

    name: str
    ip: str
    zone: str
    area: str
    # Ports that are free for traffic between nodes: the first and the last.
    peer_ports: tuple[int, int]
    # Addresses of some nodes, which may be stale.
    seeds: list[str] = []
    # Share of the processor that this node may use, and how many times as
    # fast as one core it is.
    cpu_share: float = 1
    cpu_cores: float = 1

    @property
    def capacity(self) -> float:
        """Return the processor cores that this node may use."""
        return self.cpu_share * self.cpu_cores


class ListenSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Addresses to listen on, as IP:PORT."""

    callers: str
    readiness: str
    directory: str
    # Where metrics are served; empty: nowhere.
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
    """Where the platform's store is."""

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

    The file is YAML; the platform fills it in as JSON, which is YAML too, so
    that the running program needs no YAML parser.

    Raises:
        FindingsError: All findings, each with its place.
    """
    try:
        document = msgspec.json.decode(pathlib.Path(path).read_bytes())
    except (OSError, msgspec.DecodeError) as exc:
        raise _failure([_finding(path, str(exc))]) from exc
    return check_settings(document, place=path)


def check_settings(document: Any, *, place: str = 'settings') -> EdgeSettings:
    """Check settings that were read.

    Raises:
        FindingsError: All findings, each with its place.
    """
    if not isinstance(document, dict):
        raise _failure([_finding(place, 'expected a mapping of sections')])
    findings = [
        _finding(f'{place}: {name}', 'unknown section')
        for name in document
        if name not in _SECTIONS
    ]
    sections = {
        name: _section(document.get(name), shape, f'{place}: {name}', findings)
        for name, shape in _SECTIONS.items()
    }
    if findings:
        raise _failure(findings)
    return EdgeSettings(**sections)


def changed_fields(old: EdgeSettings, new: EdgeSettings) -> list[str]:
    """Return the fields that differ, as ``section.field``."""
    return [
        f'{section}.{field.name}'
        for section, shape in _SECTIONS.items()
        for field in msgspec.structs.fields(shape)
        if getattr(getattr(old, section), field.name)
        != getattr(getattr(new, section), field.name)
    ]


def _section(
    found: Any, shape: type[Section], place: str, findings: list[Finding]
) -> Section | None:
    if not isinstance(found, dict):
        findings.append(_finding(place, 'expected a mapping'))
        return None
    before = len(findings)
    fields = {one.name: one for one in msgspec.structs.fields(shape)}
    for name in found:
        if name not in fields:
            findings.append(_finding(f'{place}.{name}', 'unknown field'))
    checked = {}
    for name, field in fields.items():
        if name not in found:
            if field.required:
                findings.append(_finding(f'{place}.{name}', 'is missing'))
            continue
        try:
            checked[name] = msgspec.convert(found[name], field.type)
        except msgspec.ValidationError as exc:
            findings.append(_finding(f'{place}.{name}', str(exc)))
    return shape(**checked) if len(findings) == before else None


def _failure(findings: list[Finding]) -> FindingsError:
    return FindingsError(findings)


def _finding(place: str, message: str) -> Finding:
    return Finding(ErrorCode.SETTINGS_INVALID, place, message)
