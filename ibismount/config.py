"""The replicated configuration: changes and the state that they produce."""

import dataclasses
import enum
import json
from collections.abc import Mapping
from typing import Any, NamedTuple

from ibismount.catalog import Catalog, parse_catalog
from ibismount.cause import Cause, Origin, operator_cause
from ibismount.errors import ErrorCode, IbismountError
from ibismount.roster import Member, Roster, parse_roster_change
from ibismount.template import (
    Parameters,
    Template,
    parse_parameters,
    parse_template,
)

__all__ = (
    'Change',
    'ChangeKind',
    'ConfigState',
    'RosterUndo',
    'ServiceState',
)

# At 3,100 restarts a day, a region that was partitioned for an hour has missed
# about 130 roster changes. The entries are small, so several times that many
# are kept.
MAX_ROSTER_UNDO = 1024


class ChangeKind(enum.StrEnum):
    """Kind of the entry that a change sets."""

    TEMPLATE = 'template'
    PARAMETERS = 'parameters'
    ZONE = 'zone'
    VM = 'vm'
    CATALOG = 'catalog'
    ROSTER = 'roster'


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One entry of the change log.

    ``key`` names the entry: a template, ``team/template``, an availability
    zone, a VM, a collection, or ``roster``. ``body`` is JSON-like. ``at`` is
    Unix time in seconds.
    """

    version: int
    change_id: str
    kind: ChangeKind
    key: str
    body: Mapping[str, Any]
    origin: Origin
    who: str
    at: float

    def to_json(self) -> bytes:
        """Encode as the value of the object ``changes/<version>``."""
        return json.dumps(
            dataclasses.asdict(self), separators=(',', ':'), sort_keys=True
        ).encode()

    @classmethod
    def from_json(cls, raw: bytes, *, place: str = '') -> 'Change':
        """Decode a change.

        Raises:
            IbismountError: ``change_invalid`` when the value is not a change.
        """
        try:
            fields = json.loads(raw)
            return cls(
                version=int(fields['version']),
                change_id=str(fields['change_id']),
                kind=ChangeKind(fields['kind']),
                key=str(fields['key']),
                body=dict(fields['body']),
                origin=Origin(fields['origin']),
                who=str(fields['who']),
                at=float(fields['at']),
            )
        except (ValueError, KeyError, TypeError) as exc:
            raise IbismountError(
                ErrorCode.CHANGE_INVALID,
                f'the object is not a valid change ({exc!r})',
                place=place,
            ) from exc


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceState:
    """Whether a zone or VM is in service, and the change that set it."""

    in_service: bool
    change: Change

    def cause(self, code: ErrorCode) -> Cause:
        """Build the cause that names the operator's change."""
        return operator_cause(
            code,
            change_id=self.change.change_id,
            who=self.change.who,
            at=self.change.at,
        )


class RosterUndo(NamedTuple):
    """Difference from the roster of ``version`` to the one before it.

    ``members`` maps each changed id to its previous entry, or to None when it
    had none. ``previous`` is the version of the previous roster.
    """

    version: int
    previous: int
    members: Mapping[str, Member | None]


@dataclasses.dataclass(slots=True)
class ConfigState:
    """The configuration at one version of the change log.

    ``latest`` maps (kind, key) of an entry to the change that last set it.
    """

    version: int = 0
    templates: dict[str, Template] = dataclasses.field(default_factory=dict)
    parameters: dict[tuple[str, str], Parameters] = dataclasses.field(
        default_factory=dict
    )
    zones: dict[str, ServiceState] = dataclasses.field(default_factory=dict)
    vms: dict[str, ServiceState] = dataclasses.field(default_factory=dict)
    catalogs: dict[str, Catalog] = dataclasses.field(default_factory=dict)
    roster: Roster = dataclasses.field(default_factory=Roster)
    latest: dict[tuple[ChangeKind, str], Change] = dataclasses.field(
        default_factory=dict
    )
    # Immutable, because copies of the state share their values.
    roster_undo: tuple[RosterUndo, ...] = ()

    def roster_at(self, version: int) -> Roster | None:
        """Return the roster at a version, or None when it is unknown."""
        roster = self.roster
        if roster.version <= version:
            return roster
        members = dict(roster.members)
        for undo in reversed(self.roster_undo):
            for node_id, former in undo.members.items():
                if former is None:
                    members.pop(node_id, None)
                else:
                    members[node_id] = former
            if undo.previous <= version:
                return Roster(undo.previous, members)
        return None

    def next_roster_version(self, after: int) -> int | None:
        """Return the version of the first roster change after a version.

        Returns None when there is none. The result is only exact when
        ``roster_at(after)`` is known.
        """
        if self.roster.version <= after:
            return None
        first_version = self.roster.version
        for undo in reversed(self.roster_undo):
            if undo.version <= after:
                break
            first_version = undo.version
        return first_version

    def entry_version(self, kind: ChangeKind, key: str) -> int:
        """Return the version that last changed an entry, or 0."""
        change = self.latest.get((kind, key))
        return change.version if change else 0

    def zone_in_service(self, zone: str) -> bool:
        """Return whether operators have the availability zone in service."""
        state = self.zones.get(zone)
        return state is None or state.in_service

    def vm_in_service(self, node_id: str) -> bool:
        """Return whether operators have the VM in service."""
        state = self.vms.get(node_id)
        return state is None or state.in_service

    def check(self, change: Change) -> None:
        """Raise FindingsError when the change cannot be applied."""
        _parse(self, change)

    def apply(self, change: Change) -> None:
        """Apply the next change.

        Raises:
            IbismountError: ``version_conflict`` when it is not the next
                change.
            FindingsError: The body is invalid; nothing is applied.
        """
        if change.version != self.version + 1:
            raise IbismountError(
                ErrorCode.VERSION_CONFLICT,
                f'version {change.version} is not the next version after '
                f'{self.version}',
            )
        parsed = _parse(self, change)
        _STORE_BY_KIND[change.kind](self, change, parsed)
        self.latest[change.kind, change.key] = change
        self.version = change.version

    def replace_with(self, other: 'ConfigState') -> None:
        """Replace all tables in place by those of a newer state."""
        for field in dataclasses.fields(self):
            setattr(self, field.name, getattr(other, field.name))

    def skip(self, change: Change) -> None:
        """Skip a committed change whose body is invalid.

        Nodes check a change before they commit it, so an invalid object was
        written by another program. Stopping at it would block all later
        changes.
        """
        self.version = change.version


def _parse(state: ConfigState, change: Change) -> Any:
    place = f'changes/{change.version}'
    if change.kind is ChangeKind.TEMPLATE:
        return parse_template(change.body, place=place)
    if change.kind is ChangeKind.PARAMETERS:
        template = state.templates.get(str(change.body.get('template')))
        return parse_parameters(change.body, template, place=place)
    if change.kind is ChangeKind.CATALOG:
        return parse_catalog(change.body, place=place)
    if change.kind is ChangeKind.ROSTER:
        return _parse_roster(state, change, place)
    if not isinstance(change.body.get('in_service'), bool):
        raise IbismountError(
            ErrorCode.CHANGE_INVALID,
            'in_service must be true or false',
            place=f'{place}.in_service',
        )
    return change.body['in_service']


def _parse_roster(state, change, place):
    joined, removed = parse_roster_change(
        change.body, since=change.version, place=place
    )
    for member in joined:
        current = state.roster.members.get(member.id)
        if current is not None and member.incarnation < current.incarnation:
            raise IbismountError(
                ErrorCode.CHANGE_INVALID,
                f'incarnation {member.incarnation} of {member.id} is older '
                f'than {current.incarnation}',
                place=f'{place}.joined',
            )
    return joined, removed


def _store_template(state, change, template):
    state.templates[template.name] = template


def _store_parameters(state, change, parameters):
    state.parameters[parameters.team, parameters.template] = parameters


def _store_zone(state, change, in_service):
    state.zones[change.key] = ServiceState(in_service, change)


def _store_vm(state, change, in_service):
    state.vms[change.key] = ServiceState(in_service, change)


def _store_catalog(state, change, catalog):
    state.catalogs[catalog.collection] = catalog


def _store_roster(state, change, parsed):
    joined, removed = parsed
    members = dict(state.roster.members)
    changed_ids = {*removed, *(member.id for member in joined)}
    undo = {node_id: members.get(node_id) for node_id in changed_ids}
    latest = RosterUndo(change.version, state.roster.version, undo)
    state.roster_undo = (*state.roster_undo, latest)[-MAX_ROSTER_UNDO:]
    for node_id in removed:
        members.pop(node_id, None)
    members.update((member.id, member) for member in joined)
    state.roster = Roster(change.version, members)


_STORE_BY_KIND = {
    ChangeKind.TEMPLATE: _store_template,
    ChangeKind.PARAMETERS: _store_parameters,
    ChangeKind.ZONE: _store_zone,
    ChangeKind.VM: _store_vm,
    ChangeKind.CATALOG: _store_catalog,
    ChangeKind.ROSTER: _store_roster,
}
