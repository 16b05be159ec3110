"""Tasks of a node that run beside its tick."""

import contextlib
import uuid
from collections.abc import Awaitable, Callable

import anyio

from ibismount.cause import Origin
from ibismount.changelog import Proposal
from ibismount.config import ChangeKind
from ibismount.errors import IbismountError
from ibismount.logs import part_logger
from ibismount.node import Node
from ibismount.roster import Member, Roster

PROPOSE_PERIOD_S = 1.0
CATALOG_PERIOD_S = 1.0
FALLBACK_CHECK_S = 0.2
WATCH_TIMEOUT_S = 20.0
RETRY_S = 0.5
STATE_EVERY = 64

log = part_logger('control')


async def run_tick(node: Node) -> None:
    """Run the control systems and send what they return."""
    while True:
        await node.send(node.tick())
        await anyio.sleep(node.options.tick_s)


async def run_watch(node: Node) -> None:
    """Follow the change log while this node coordinates its zone."""
    while True:
        if not node.confirmer.is_coordinator(node.live()):
            await anyio.sleep(RETRY_S)
            continue
        await _guard(node, _watch_once)


async def _watch_once(node: Node) -> None:
    # The wait is bounded so that a node that no longer coordinates stops.
    with anyio.move_on_after(WATCH_TIMEOUT_S):
        async with contextlib.aclosing(
            node.changelog.watch(node.state.version)
        ) as changes:
            async for change in changes:
                await node.send(node.spread(node.apply_changes([change])))


async def run_fallback(node: Node) -> None:
    """Read the platform when no round confirms this node."""
    while True:
        if node.confirmer.needs_platform_read(node.now()):
            await _guard(node, read_platform)
        await anyio.sleep(FALLBACK_CHECK_S)


async def read_platform(node: Node) -> None:
    """Catch up with the change log and confirm the node by it."""
    sent_at = node.now()
    if not node.state.version:
        await _load(node)
    changes = await node.changelog.changes_after(node.state.version)
    await node.send(node.spread(node.apply_changes(changes)))
    listed = node.state.roster.has_incarnation(
        node.member.id, node.member.incarnation
    )
    node.confirmer.platform_read(sent_at, node.state.version, listed)


async def _load(node: Node) -> None:
    """Load the newest state, and where to count acceptance from.

    After a restart of the whole fleet no peer knows the accepted version,
    and the members of the first rosters may be long gone.
    """
    accepted = await node.changelog.read_accepted(node.member.region)
    node.adopt_state(await node.changelog.load())
    node.confirmer.seed_accepted(accepted)


async def run_proposer(node: Node) -> None:
    """Propose roster changes while this node is the first live member."""
    while True:
        await anyio.sleep(PROPOSE_PERIOD_S)
        await _guard(node, _propose_roster)


async def _propose_roster(node: Node) -> None:
    now = node.now()
    live = node.live()
    roster = node.state.roster
    if node.membership.select_proposer(roster, live) != node.node_id:
        return
    if roster.members and not node.confirmer.is_confirmed(now):
        await read_platform(node)
    joined = [
        member
        for member in node.membership.live_members().values()
        if _is_newer(member, roster)
        and node.leaving.get(member.id) != member.incarnation
    ]
    removed = {
        node_id
        for node_id, incarnation in node.leaving.items()
        if roster.has_incarnation(node_id, incarnation)
    }
    removed.update(node.membership.removal_candidates(now, roster))
    if not joined and not removed:
        return
    await commit(
        node,
        ChangeKind.ROSTER,
        'roster',
        {
            'joined': [_member_fields(one) for one in joined],
            'removed': sorted(removed),
        },
    )


def _is_newer(member: Member, roster: Roster) -> bool:
    """Tell whether an incarnation may replace what the roster holds.

    A node that has just started knows its peers from its settings only, with
    incarnation 0. Proposing those would fence every peer for good.
    """
    held = roster.members.get(member.id)
    return member.incarnation > (held.incarnation if held else 0)


def _member_fields(member: Member) -> dict[str, object]:
    return {
        'id': member.id,
        'incarnation': member.incarnation,
        'availability_zone': member.availability_zone,
        'region': member.region,
        'link_address': member.link_address,
        'api_address': member.api_address,
    }


async def commit(node: Node, kind: ChangeKind, key: str, body) -> None:
    """Commit a change of the system's own and spread it."""
    await node.commit(
        Proposal(
            change_id=uuid.uuid4().hex,
            kind=kind,
            key=key,
            body=body,
            origin=Origin.SYSTEM,
            who=node.node_id,
            expected_version=node.state.entry_version(kind, key),
        )
    )


async def run_catalogs(node: Node) -> None:
    """Bring the platform's catalog objects into the change log.

    One node of each availability zone polls, so the reads do not grow with
    the fleet, and a leaving backend server is noticed within a second also
    when one of these nodes is cut off. Of several writers one succeeds.
    """
    while True:
        await anyio.sleep(CATALOG_PERIOD_S)
        if node.confirmer.is_coordinator(node.live()):
            await _guard(node, _ingest_catalogs)


async def _ingest_catalogs(node: Node) -> None:
    for collection, body in await node.changelog.read_catalogs():
        held = node.state.latest.get((ChangeKind.CATALOG, collection))
        if held is not None and dict(held.body) == body:
            continue
        await commit(node, ChangeKind.CATALOG, collection, body)


async def run_stores(node: Node) -> None:
    """Store accepted versions and whole states in the platform."""
    while True:
        await anyio.sleep(RETRY_S)
        await _guard(node, _store_once)


async def _store_once(node: Node) -> None:
    version = node.confirmer.take_accepted_to_store()
    if version is not None:
        await node.changelog.store_accepted(node.member.region, version)
    held = node.state.version
    if held - node.state_written < STATE_EVERY:
        return
    leads = node.membership.select_proposer(node.state.roster, node.live())
    if leads == node.node_id and node.confirmer.accepted_version >= held:
        await node.changelog.write_state(node.state)
        node.state_written = held


async def _guard(node: Node, once: Callable[[Node], Awaitable[None]]) -> None:
    try:
        await once(node)
    except IbismountError as exc:
        log.warning('%s failed: %s', once.__name__.strip('_'), exc)
        await anyio.sleep(RETRY_S)


TASKS = (
    run_tick,
    run_watch,
    run_fallback,
    run_proposer,
    run_catalogs,
    run_stores,
)
