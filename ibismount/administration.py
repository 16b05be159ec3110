"""Operations with which operators read and change a node's configuration."""

import dataclasses
import random
import uuid
from collections.abc import Mapping
from typing import Any

import anyio

from ibismount import _change_impact, journal
from ibismount._http_rendering import render_cause
from ibismount.cause import Origin
from ibismount.changelog import CommitResult, CommitStatus, Proposal
from ibismount.config import Change, ChangeKind
from ibismount.errors import (
    ErrorCode,
    Finding,
    FindingsError,
    IbismountError,
)
from ibismount.node import Node
from ibismount.settings import Settings

__all__ = ('Administration',)

# An accepted change takes effect on every node within 12 s, so a longer wait
# for the quorum would not help the operator.
ACCEPT_WAIT_S = 10.0
ACCEPT_POLL_S = 0.02
# Callers need only a few addresses to choose from, not the whole fleet.
MAX_ADDRESSES = 16
# History covers this many versions; older changes of an entry are omitted.
HISTORY_VERSIONS = 1000
OPERATOR_KINDS = frozenset(
    (
        ChangeKind.TEMPLATE,
        ChangeKind.PARAMETERS,
        ChangeKind.ZONE,
        ChangeKind.VM,
    )
)


class ChangeConflict(IbismountError):
    """Reject a change that conflicts with an earlier one, and include that."""

    def __init__(self, other: Change | None) -> None:
        """Store the fields of the other change for the response."""
        other_fields = change_fields(other) if other else None
        message = (
            'the entry was changed in the meantime; read it again and retry'
        )
        if other is not None:
            message = (
                f'{other.who} changed it in version {other.version}; {message}'
            )
        super().__init__(ErrorCode.CHANGE_CONFLICT, message)
        self.extra = {'other': other_fields}


class Administration:
    """Read and change the configuration through one node.

    Args:
        node: The node whose tables are read.
        cfg: The settings of the node.
        rng: Selects the addresses that a caller receives.
    """

    def __init__(
        self, node: Node, cfg: Settings, *, rng: random.Random | None = None
    ) -> None:
        """Store the node and its settings."""
        self._node = node
        self._cfg = cfg
        self._rng = rng or random.Random()

    def addresses(self) -> dict[str, Any]:
        """Return API addresses for callers and how long they may be cached."""
        state = self._node.state
        usable = [
            member
            for member in self._node.membership.live_members().values()
            if self._node.leaving_incarnations.get(member.id)
            != member.incarnation
            and state.zone_in_service(member.availability_zone)
            and state.vm_in_service(member.id)
            and not (
                member.id == self._node.node_id and self._node.shutting_down
            )
        ]
        # A node that has just started refuses requests until it is confirmed,
        # so members of the roster are preferred. During a platform outage no
        # node can join the roster; without any joined node all are returned.
        joined = [
            member
            for member in usable
            if state.roster.has_incarnation(member.id, member.incarnation)
        ]
        usable = [member.api_address for member in joined or usable]
        # The head of a sorted list would direct every caller of a large fleet
        # to the same few nodes.
        count = min(MAX_ADDRESSES, len(usable))
        return {
            'addresses': self._rng.sample(usable, count),
            'ttl_s': self._cfg.limits.address_ttl_s,
        }

    def list_entries(self, kind: ChangeKind) -> list[dict[str, Any]]:
        """Return all entries of a kind, each as the change that set it."""
        return [
            change_fields(change)
            for (entry_kind, _key), change in sorted(
                self._node.state.latest.items()
            )
            if entry_kind is kind
        ]

    def get_entry(self, kind: ChangeKind, key: str) -> dict[str, Any]:
        """Return one entry; raise ``bad_request`` when it does not exist."""
        change = self._node.state.latest.get((kind, key))
        if change is None:
            raise IbismountError(
                ErrorCode.BAD_REQUEST,
                f'there is no {kind} named {key}',
                place='path',
            )
        return change_fields(change)

    def preview(
        self,
        kind: ChangeKind,
        key: str,
        body: Mapping[str, Any],
        *,
        expected_version: int | None = None,
    ) -> dict[str, Any]:
        """Check a change and return what it would affect, without writing."""
        self._check_change(kind, key, body)
        state = self._node.state
        current = state.latest.get((kind, key))
        version = current.version if current else 0
        if expected_version is not None and expected_version != version:
            raise ChangeConflict(current)
        return {
            'outcome': 'preview',
            'current': version,
            'affected': _change_impact.find_affected(state, kind, key),
            'warnings': _change_impact.find_warnings(state, kind, key, body),
        }

    async def apply(
        self,
        kind: ChangeKind,
        key: str,
        body: Mapping[str, Any],
        *,
        operator: str,
        expected_version: int | None,
    ) -> dict[str, Any]:
        """Commit a change and wait until it is accepted.

        Args:
            kind: Kind of the entry to change.
            key: Key of the entry.
            body: New content of the entry.
            operator: Name of the operator.
            expected_version: Version that the operator read, or None to
                skip the check.

        Returns:
            The fields of the change. ``outcome`` is ``accepted``, or
            ``pending`` when no quorum has the committed change yet.

        Raises:
            IbismountError: ``change_conflict``, ``change_invalid``,
                ``change_unknown`` or ``platform_unavailable``.
        """
        self._check_change(kind, key, body)
        warnings = _change_impact.find_warnings(
            self._node.state, kind, key, body
        )
        return await self._commit(
            kind, key, body, operator, expected_version, warnings
        )

    async def _commit(
        self, kind, key, body, operator, expected_version, warnings
    ) -> dict[str, Any]:
        proposal = Proposal(
            change_id=uuid.uuid4().hex,
            kind=kind,
            key=key,
            body=dict(body),
            origin=Origin.OPERATOR,
            who=operator,
            expected_version=expected_version,
        )
        change = require_committed(await self._node.commit(proposal))
        accepted = await self._wait_accepted(change.version)
        return {
            'outcome': 'accepted' if accepted else 'pending',
            'warnings': warnings,
            **change_fields(change),
        }

    async def remove_vm(self, node_id: str, operator: str) -> dict[str, Any]:
        """Remove a destroyed VM from the roster on an operator's request.

        Raises:
            IbismountError: ``bad_request`` when the VM is not in the roster,
                ``change_invalid`` when it is still alive, and what `apply`
                raises.
        """
        node = self._node
        if node_id not in node.state.roster.members:
            raise IbismountError(
                ErrorCode.BAD_REQUEST,
                f'{node_id} is not in the roster; `status` lists its VMs',
                place='path',
            )
        if node_id in node.live_ids():
            # A running VM would lose its share to other gateways and then
            # join again.
            raise IbismountError(
                ErrorCode.CHANGE_INVALID,
                f'{node_id} is still alive; stop it first, or take it out of '
                'service',
                place='path',
            )
        body = {'joined': [], 'removed': [node_id]}
        return await self._commit(
            ChangeKind.ROSTER, 'roster', body, operator, None, []
        )

    async def history(self, kind: ChangeKind, key: str) -> list[dict[str, Any]]:
        """Return the latest changes of an entry, newest first.

        The newest change is always included, older ones only if they are
        among the last 1000 versions.
        """
        latest = self._node.state.latest.get((kind, key))
        changes_by_version = {latest.version: latest} if latest else {}
        for change in await self._read_recent_changes():
            if (change.kind, change.key) == (kind, key):
                changes_by_version[change.version] = change
        newest_first = sorted(changes_by_version, reverse=True)
        return [
            change_fields(changes_by_version[version])
            for version in newest_first
        ]

    def status(self) -> dict[str, Any]:
        """Return this node's view of itself and the fleet, without secrets."""
        node = self._node
        now = node.now()
        refusal = node.refusal()
        return {
            'node': node.node_id,
            'incarnation': node.member.incarnation,
            'availability_zone': node.availability_zone,
            'confirmed': node.confirmer.is_confirmed(now),
            'version': node.state.version,
            'accepted_version': node.confirmer.accepted_version,
            'refusal': render_cause(refusal),
            'live': sorted(node.live_ids()),
            'roster': sorted(node.state.roster.members),
            'zones': _change_impact.summarize_zones(node.state),
            'gateway_for': len(node.assignment.shares_of_gateway(node.node_id)),
            'quarantined': [
                dataclasses.asdict(entry)
                for entry in node.quarantine.active(now)
            ],
        }

    async def timeline(
        self, since: float, request_id: str
    ) -> list[dict[str, Any]]:
        """Return operators' changes and system events in order of time."""
        changes = await self._read_recent_changes()
        events = await self._node.query_journals(since, request_id)
        recent_changes = [change for change in changes if change.at >= since]
        return [
            dataclasses.asdict(row)
            for row in journal.merge_timeline(recent_changes, events)
        ]

    async def explain(self, request_id: str) -> dict[str, Any]:
        """Return the cause of a request's outcome and the preceding changes."""
        events = await self._node.query_journals(0, request_id)
        matching_events = [
            event for node_events in events.values() for event in node_events
        ]
        if not matching_events:
            raise IbismountError(
                ErrorCode.BAD_REQUEST,
                f'no journal of a live node mentions {request_id}; journals '
                'record refusals and faults, not requests answered in full',
                place='path',
            )
        events_with_cause = [
            event for event in matching_events if event.cause is not None
        ]
        fault_event = (
            events_with_cause[0] if events_with_cause else matching_events[0]
        )
        attribution = journal.attribute_fault(
            fault_event.at,
            await self._read_recent_changes(),
            cause=fault_event.cause,
        )
        return {
            'request_id': request_id,
            'cause': render_cause(fault_event.cause),
            'verdict': dataclasses.asdict(attribution),
            'events': [dataclasses.asdict(event) for event in matching_events],
        }

    async def _wait_accepted(self, version: int) -> bool:
        with anyio.move_on_after(ACCEPT_WAIT_S):
            while self._node.confirmer.accepted_version < version:
                await anyio.sleep(ACCEPT_POLL_S)
        return self._node.confirmer.accepted_version >= version

    async def _read_recent_changes(self) -> list[Change]:
        after = max(0, self._node.state.version - HISTORY_VERSIONS)
        try:
            return list(await self._node.changelog.changes_after(after))
        except IbismountError:
            # During a platform outage the node's own state serves, which has
            # only the latest change of each entry.
            return list(self._node.state.latest.values())

    def _check_change(
        self, kind: ChangeKind, key: str, body: Mapping[str, Any]
    ) -> None:
        """Raise the faults of an operator's change, with places in ``body``."""
        if kind not in OPERATOR_KINDS:
            raise IbismountError(
                ErrorCode.CHANGE_INVALID,
                f'operators cannot change a {kind}; it comes from the platform',
                place='path',
            )
        if kind in {ChangeKind.ZONE, ChangeKind.VM}:
            unknown_fields = sorted(set(body) - {'in_service'})
        else:
            unknown_fields = []
        if unknown_fields:
            raise FindingsError(
                Finding(
                    ErrorCode.CHANGE_INVALID,
                    f'body.{name}',
                    'is an unknown field; the only field is in_service',
                )
                for name in unknown_fields
            )
        version = self._node.state.version + 1
        change = Change(
            version=version,
            change_id='',
            kind=kind,
            key=key,
            body=body,
            origin=Origin.OPERATOR,
            who='',
            at=0,
        )
        try:
            self._node.state.check(change)
        except IbismountError as exc:
            raise _relocate_findings(exc, f'changes/{version}') from exc
        body_key = _key_in_body(kind, body)
        if body_key not in {None, key}:
            raise IbismountError(
                ErrorCode.CHANGE_INVALID,
                f'names {body_key}, but the path names {key}',
                place='body',
            )


def _key_in_body(kind: ChangeKind, body: Mapping[str, Any]) -> str | None:
    if kind is ChangeKind.TEMPLATE:
        return body['name']
    if kind is ChangeKind.PARAMETERS:
        return f'{body["team"]}/{body["template"]}'
    return None


def _relocate_findings(exc: IbismountError, prefix: str) -> FindingsError:
    """Replace places in the planned log entry by places in the body."""
    findings = getattr(exc, 'findings', None) or [
        Finding(exc.code, exc.place, exc.message)
    ]
    return FindingsError(
        finding._replace(place=f'body{finding.place.removeprefix(prefix)}')
        for finding in findings
    )


def require_committed(result: CommitResult) -> Change:
    """Return the committed change, or raise why it was not committed."""
    if result.status is CommitStatus.COMMITTED:
        return result.change
    if result.status is CommitStatus.CONFLICT:
        raise ChangeConflict(result.change)
    if result.status is CommitStatus.INVALID:
        raise result.error
    raise IbismountError(
        ErrorCode.CHANGE_UNKNOWN,
        f'it is unknown whether version {result.version} is this change '
        f'({result.error}); read the entry before you retry',
    )


def change_fields(change: Change) -> dict[str, Any]:
    """Return the fields of a change for a JSON response."""
    return dataclasses.asdict(change)
