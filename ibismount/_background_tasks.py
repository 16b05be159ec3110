"""Background tasks of a node: change log, roster, catalogs, stored state."""

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
CATALOG_POLL_PERIOD_S = 1.0
FALLBACK_CHECK_PERIOD_S = 0.2
WATCH_TIMEOUT_S = 20.0
RETRY_DELAY_S = 0.5
STATE_INTERVAL_VERSIONS = 64

log = part_logger('control')


async def run_tick(node: Node) -> None:
    """Run the control components and send the messages that they return."""
    while True:
        await node.send(node.tick())
        await anyio.sleep(node.options.tick_s)


async def run_change_log_watch(node: Node) -> None:
    """Follow the change log while this node is the coordinator of its zone."""
    while True:
        if not node.confirmer.is_coordinator(node.live_ids()):
            await anyio.sleep(RETRY_DELAY_S)
            continue
        await _run_step(node, _follow_change_log)


async def _follow_change_log(node: Node) -> None:
    # The bound lets a node stop watching once it is no longer coordinator.
    with anyio.move_on_after(WATCH_TIMEOUT_S):
        async with contextlib.aclosing(
            node.changelog.watch(node.state.version)
        ) as changes:
            async for change in changes:
                await node.send(node.make_pushes(node.apply_changes([change])))


async def run_platform_fallback(node: Node) -> None:
    """Read from the platform when no quorum round confirms this node."""
    while True:
        if node.confirmer.needs_platform_read(node.now()):
            await _run_step(node, read_platform)
        await anyio.sleep(FALLBACK_CHECK_PERIOD_S)


async def read_platform(node: Node) -> None:
    """Catch up with the change log and confirm the node by this read."""
    sent_at = node.now()
    if not node.state.version:
        await _load_stored_state(node)
    changes = await node.changelog.changes_after(node.state.version)
    await node.send(node.make_pushes(node.apply_changes(changes)))
    in_roster = node.state.roster.has_incarnation(
        node.member.id, node.member.incarnation
    )
    node.confirmer.record_platform_read(sent_at, node.state.version, in_roster)


async def _load_stored_state(node: Node) -> None:
    """Load the newest stored state and the accepted version.

    After a restart of the whole fleet no peer can report the accepted version,
    and the members of the first rosters may no longer exist.
    """
    accepted = await node.changelog.read_accepted_version(node.member.region)
    node.adopt_state(await node.changelog.load())
    node.confirmer.seed_accepted_version(accepted)


async def run_proposer(node: Node) -> None:
    """Propose roster changes while this node is the first live member."""
    while True:
        await anyio.sleep(PROPOSE_PERIOD_S)
        await _run_step(node, _propose_roster)


async def _propose_roster(node: Node) -> None:
    now = node.now()
    live = node.live_ids()
    roster = node.state.roster
    if node.membership.select_proposer(roster, live) != node.node_id:
        return
    if roster.members and not node.confirmer.is_confirmed(now):
        await read_platform(node)
    joined = [
        member
        for member in node.membership.live_members().values()
        if _has_newer_incarnation(member, roster)
        and node.leaving_incarnations.get(member.id) != member.incarnation
    ]
    removed = {
        node_id
        for node_id, incarnation in node.leaving_incarnations.items()
        if roster.has_incarnation(node_id, incarnation)
    }
    removed.update(node.membership.removal_candidates(now, roster))
    if not joined and not removed:
        return
    await commit_system_change(
        node,
        ChangeKind.ROSTER,
        'roster',
        {
            'joined': [_encode_member(joiner) for joiner in joined],
            'removed': sorted(removed),
        },
    )


def _has_newer_incarnation(member: Member, roster: Roster) -> bool:
    """Return whether an incarnation is newer than the one in the roster.

    A node that has just started has its peers from its settings only, with
    incarnation 0. Proposing those would fence every peer permanently.
    """
    current = roster.members.get(member.id)
    return member.incarnation > (current.incarnation if current else 0)


def _encode_member(member: Member) -> dict[str, object]:
    return {
        'id': member.id,
        'incarnation': member.incarnation,
        'availability_zone': member.availability_zone,
        'region': member.region,
        'link_address': member.link_address,
        'api_address': member.api_address,
    }


async def commit_system_change(
    node: Node, kind: ChangeKind, key: str, body
) -> None:
    """Commit a change that the system itself makes, and push it."""
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


async def run_catalog_import(node: Node) -> None:
    """Import the platform's catalog objects into the change log.

    One node of each availability zone polls, so that the reads do not grow
    with the fleet and a leaving backend server is detected within a second
    even when one of these nodes is partitioned. If several nodes write the
    same change, one write succeeds.
    """
    while True:
        await anyio.sleep(CATALOG_POLL_PERIOD_S)
        if node.confirmer.is_coordinator(node.live_ids()):
            await _run_step(node, _import_catalogs)


async def _import_catalogs(node: Node) -> None:
    for collection, body in await node.changelog.read_catalogs():
        current = node.state.latest.get((ChangeKind.CATALOG, collection))
        if current is not None and dict(current.body) == body:
            continue
        await commit_system_change(node, ChangeKind.CATALOG, collection, body)


async def run_state_store(node: Node) -> None:
    """Store accepted versions and complete states in the platform."""
    while True:
        await anyio.sleep(RETRY_DELAY_S)
        await _run_step(node, _store_state)


async def _store_state(node: Node) -> None:
    accepted_version = node.confirmer.take_accepted_to_store()
    if accepted_version is not None:
        await node.changelog.store_accepted_version(
            node.member.region, accepted_version
        )
    state_version = node.state.version
    if state_version - node.stored_state_version < STATE_INTERVAL_VERSIONS:
        return
    proposer = node.membership.select_proposer(
        node.state.roster, node.live_ids()
    )
    if (
        proposer == node.node_id
        and node.confirmer.accepted_version >= state_version
    ):
        await node.changelog.write_state(node.state)
        node.stored_state_version = state_version


async def _run_step(
    node: Node, step: Callable[[Node], Awaitable[None]]
) -> None:
    try:
        await step(node)
    except IbismountError as exc:
        log.warning(
            'background task %s failed: %s', step.__name__.strip('_'), exc
        )
        await anyio.sleep(RETRY_DELAY_S)


TASKS = (
    run_tick,
    run_change_log_watch,
    run_platform_fallback,
    run_proposer,
    run_catalog_import,
    run_state_store,
)
