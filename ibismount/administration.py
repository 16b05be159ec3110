"""What operators may read and change."""

import dataclasses
import random
import uuid
from collections.abc import Mapping
from typing import Any

import anyio

from ibismount import _impact, journal
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

# An accepted change is in force everywhere within 12 s, so waiting longer
# for the quorum would not help the operator.
ACCEPT_WAIT_S = 10.0
POLL_S = 0.02
# Callers need a few addresses to choose from, not the whole fleet.
MAX_ADDRESSES = 16
# The log is read back this far; older changes of an entry are left out.
HISTORY_DEPTH = 1000
OPERATOR_KINDS = frozenset(
    (
        ChangeKind.TEMPLATE,
        ChangeKind.PARAMETERS,
        ChangeKind.ZONE,
        ChangeKind.VM,
    )
)


class ChangeConflict(IbismountError):
    """Refuse a change because another one came first, and show that one."""

    def __init__(self, other: Change | None) -> None:
        """Keep the other change for the answer."""
        shown = change_fields(other) if other else None
        text = 'the entry changed meanwhile; read it again and retry'
        if other is not None:
            text = f'{other.who} changed it in version {other.version}; {text}'
        super().__init__(ErrorCode.CHANGE_CONFLICT, text)
        self.extra = {'other': shown}


class Administration:
    """Read and change the configuration through one node.

    Args:
        node: The node whose tables are read.
        cfg: Its settings.
        rng: Chooses the addresses that a caller gets.
    """

    def __init__(
        self, node: Node, cfg: Settings, *, rng: random.Random | None = None
    ) -> None:
        """Store the node."""
        self._node = node
        self._cfg = cfg
        self._rng = rng or random.Random()

    def addresses(self) -> dict[str, Any]:
        """Return the API addresses that callers may use, and for how long."""
        state = self._node.state
        usable = [
            member
            for member in self._node.membership.live_members().values()
            if self._node.leaving.get(member.id) != member.incarnation
            and state.zone_in_service(member.availability_zone)
            and state.vm_in_service(member.id)
            and not (
                member.id == self._node.node_id and self._node.shutting_down
            )
        ]
        # A node that has just started refuses requests until it is
        # confirmed. During a platform outage nobody joins the roster, so the
        # others are named when there is no joined one.
        joined = [
            member
            for member in usable
            if state.roster.has_incarnation(member.id, member.incarnation)
        ]
        usable = [member.api_address for member in joined or usable]
        # The first of a sorted list would be the same few nodes for every
        # caller of a large fleet.
        count = min(MAX_ADDRESSES, len(usable))
        return {
            'addresses': self._rng.sample(usable, count),
            'ttl_s': self._cfg.limits.address_ttl_s,
        }

    def entries(self, kind: ChangeKind) -> list[dict[str, Any]]:
        """Return all entries of a kind with the changes that set them."""
        return [
            change_fields(change)
            for (one, _key), change in sorted(self._node.state.latest.items())
            if one is kind
        ]

    def entry(self, kind: ChangeKind, key: str) -> dict[str, Any]:
        """Return one entry; raise ``bad_request`` when there is none."""
        change = self._node.state.latest.get((kind, key))
        if change is None:
            raise IbismountError(
                ErrorCode.BAD_REQUEST, f'no {kind} is named {key}', place='path'
            )
        return change_fields(change)

    def preview(
        self,
        kind: ChangeKind,
        key: str,
        body: Mapping[str, Any],
        *,
        expected: int | None = None,
    ) -> dict[str, Any]:
        """Check a change and tell what it would affect, without a write."""
        self._check(kind, key, body)
        state = self._node.state
        current = state.latest.get((kind, key))
        version = current.version if current else 0
        if expected is not None and expected != version:
            raise ChangeConflict(current)
        return {
            'outcome': 'preview',
            'current': version,
            'affected': _impact.affected(state, kind, key),
            'warnings': _impact.warnings(state, kind, key, body),
        }

    async def apply(
        self,
        kind: ChangeKind,
        key: str,
        body: Mapping[str, Any],
        *,
        who: str,
        expected: int | None,
    ) -> dict[str, Any]:
        """Commit a change and wait until it is accepted.

        Args:
            kind: What the change touches.
            key: The entry.
            body: Its new content.
            who: The operator.
            expected: Entry version that the operator saw, or None.

        Returns:
            ``outcome`` is ``accepted``, or ``pending`` when the change is
            committed but no quorum holds it yet.

        Raises:
            IbismountError: ``change_conflict``, ``change_invalid``,
                ``change_unknown`` or ``platform_unavailable``.
        """
        self._check(kind, key, body)
        warnings = _impact.warnings(self._node.state, kind, key, body)
        return await self._commit(kind, key, body, who, expected, warnings)

    async def _commit(
        self, kind, key, body, who, expected, warnings
    ) -> dict[str, Any]:
        proposal = Proposal(
            change_id=uuid.uuid4().hex,
            kind=kind,
            key=key,
            body=dict(body),
            origin=Origin.OPERATOR,
            who=who,
            expected_version=expected,
        )
        change = committed(await self._node.commit(proposal))
        accepted = await self._wait_accepted(change.version)
        return {
            'outcome': 'accepted' if accepted else 'pending',
            'warnings': warnings,
            **change_fields(change),
        }

    async def forget(self, node_id: str, who: str) -> dict[str, Any]:
        """Take a destroyed VM out of the roster on an operator's word.

        Raises:
            IbismountError: ``bad_request`` when the roster does not name
                the VM, ``change_invalid`` when the VM still answers, and
                what `apply` raises.
        """
        node = self._node
        if node_id not in node.state.roster.members:
            raise IbismountError(
                ErrorCode.BAD_REQUEST,
                f'{node_id} is not in the roster; `status` lists its VMs',
                place='path',
            )
        if node_id in node.live():
            # A VM that still runs would lose its share to other gateways
            # only to join again.
            raise IbismountError(
                ErrorCode.CHANGE_INVALID,
                f'{node_id} still answers; stop it first, or take it out of '
                'service',
                place='path',
            )
        body = {'joined': [], 'removed': [node_id]}
        return await self._commit(
            ChangeKind.ROSTER, 'roster', body, who, None, []
        )

    async def history(self, kind: ChangeKind, key: str) -> list[dict[str, Any]]:
        """Return the latest changes of an entry, newest first.

        The newest one is always there; older ones only while they are among
        the last 1000 versions.
        """
        latest = self._node.state.latest.get((kind, key))
        found = {latest.version: latest} if latest else {}
        for change in await self._recent_changes():
            if (change.kind, change.key) == (kind, key):
                found[change.version] = change
        newest_first = sorted(found, reverse=True)
        return [change_fields(found[one]) for one in newest_first]

    def status(self) -> dict[str, Any]:
        """Return what this node knows; secrets are not part of it."""
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
            'live': sorted(node.live()),
            'roster': sorted(node.state.roster.members),
            'zones': _impact.zones(node.state),
            'gateway_for': len(node.assignment.of_gateway(node.node_id)),
            'quarantined': [
                dataclasses.asdict(one) for one in node.quarantine.active(now)
            ],
        }

    async def timeline(
        self, since: float, request_id: str
    ) -> list[dict[str, Any]]:
        """Merge operators' changes and the system's acts in one order."""
        changes = await self._recent_changes()
        events = await self._node.query_journals(since, request_id)
        recent = [change for change in changes if change.at >= since]
        return [
            dataclasses.asdict(row)
            for row in journal.merge_timeline(recent, events)
        ]

    async def explain(self, request_id: str) -> dict[str, Any]:
        """Name the cause of a request's outcome and the changes before it."""
        events = await self._node.query_journals(0, request_id)
        found = [event for rows in events.values() for event in rows]
        if not found:
            raise IbismountError(
                ErrorCode.BAD_REQUEST,
                f'no journal of a live node mentions {request_id}; journals '
                'keep refusals and faults, not complete answers',
                place='path',
            )
        caused = [event for event in found if event.cause is not None]
        fault = caused[0] if caused else found[0]
        verdict = journal.changes_before(
            fault.at, await self._recent_changes(), cause=fault.cause
        )
        return {
            'request_id': request_id,
            'cause': render_cause(fault.cause),
            'verdict': dataclasses.asdict(verdict),
            'events': [dataclasses.asdict(event) for event in found],
        }

    async def _wait_accepted(self, version: int) -> bool:
        with anyio.move_on_after(ACCEPT_WAIT_S):
            while self._node.confirmer.accepted_version < version:
                await anyio.sleep(POLL_S)
        return self._node.confirmer.accepted_version >= version

    async def _recent_changes(self) -> list[Change]:
        after = max(0, self._node.state.version - HISTORY_DEPTH)
        try:
            return list(await self._node.changelog.changes_after(after))
        except IbismountError:
            # The node's own copy serves while the platform is down; it has
            # the latest change of each entry.
            return list(self._node.state.latest.values())

    def _check(
        self, kind: ChangeKind, key: str, body: Mapping[str, Any]
    ) -> None:
        """Raise what is wrong with an operator's change, at ``body``."""
        if kind not in OPERATOR_KINDS:
            raise IbismountError(
                ErrorCode.CHANGE_INVALID,
                f'operators cannot change a {kind}; it follows the platform',
                place='path',
            )
        if kind in {ChangeKind.ZONE, ChangeKind.VM}:
            unknown = sorted(set(body) - {'in_service'})
        else:
            unknown = []
        if unknown:
            raise FindingsError(
                Finding(
                    ErrorCode.CHANGE_INVALID,
                    f'body.{name}',
                    'is unknown; only in_service may be given',
                )
                for name in unknown
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
            raise _placed_in_body(exc, f'changes/{version}') from exc
        named = _named_key(kind, body)
        if named not in {None, key}:
            raise IbismountError(
                ErrorCode.CHANGE_INVALID,
                f'names {named}, but the path names {key}',
                place='body',
            )


def _named_key(kind: ChangeKind, body: Mapping[str, Any]) -> str | None:
    if kind is ChangeKind.TEMPLATE:
        return body['name']
    if kind is ChangeKind.PARAMETERS:
        return f'{body["team"]}/{body["template"]}'
    return None


def _placed_in_body(exc: IbismountError, prefix: str) -> FindingsError:
    """Name places in the operator's body instead of the future log entry."""
    findings = getattr(exc, 'findings', None) or [
        Finding(exc.code, exc.place, exc.message)
    ]
    return FindingsError(
        one._replace(place=f'body{one.place.removeprefix(prefix)}')
        for one in findings
    )


def committed(result: CommitResult) -> Change:
    """Return the committed change or raise what the operator must know."""
    if result.status is CommitStatus.COMMITTED:
        return result.change
    if result.status is CommitStatus.CONFLICT:
        raise ChangeConflict(result.change)
    if result.status is CommitStatus.INVALID:
        raise result.error
    raise IbismountError(
        ErrorCode.CHANGE_UNKNOWN,
        f'version {result.version} may or may not hold this change '
        f'({result.error}); read the entry before trying again',
    )


def change_fields(change: Change) -> dict[str, Any]:
    """Return a change as JSON fields."""
    return dataclasses.asdict(change)
