"""Impact of configuration changes, such as a zone taken out of service."""

import collections
from collections.abc import Iterator, Mapping
from typing import Any

from ibismount.catalog import Catalog
from ibismount.config import ChangeKind, ConfigState

__all__ = ('find_affected', 'find_warnings', 'summarize_zones')

# A warning lists only this many shards; a zone may have hundreds.
MAX_NAMED_SHARDS = 5


def find_affected(
    state: ConfigState, kind: ChangeKind, key: str
) -> dict[str, Any]:
    """Return the VMs, backend servers or teams that depend on an entry."""
    if kind is ChangeKind.ZONE:
        return {
            'vms': _vms_in_zone(state, key),
            'backend_servers': _count_servers_by_zone(state)[key],
        }
    if kind is ChangeKind.VM:
        member = state.roster.members.get(key)
        return {'availability_zone': member.availability_zone if member else ''}
    if kind is ChangeKind.TEMPLATE:
        teams = [team for team, name in state.parameters if name == key]
        return {'teams': sorted(teams)}
    return {}


def find_warnings(
    state: ConfigState, kind: ChangeKind, key: str, body: Mapping[str, Any]
) -> list[str]:
    """Return warnings for an operator who is about to make a change."""
    if kind not in {ChangeKind.ZONE, ChangeKind.VM}:
        return []
    known_keys = (
        summarize_zones(state)
        if kind is ChangeKind.ZONE
        else state.roster.members
    )
    if key not in known_keys:
        return [f'there is no {kind} named {key}; check the spelling']
    if body.get('in_service', True):
        return []
    return list(_find_losses(state, kind, key))


def summarize_zones(state: ConfigState) -> dict[str, dict[str, Any]]:
    """Return each availability zone's VMs, backend servers and service state."""
    servers = _count_servers_by_zone(state)
    names = {
        member.availability_zone for member in state.roster.members.values()
    }
    return {
        zone: {
            'in_service': state.zone_in_service(zone),
            'vms': _vms_in_zone(state, zone),
            'backend_servers': servers[zone],
        }
        for zone in sorted(names.union(servers))
    }


def _find_losses(
    state: ConfigState, kind: ChangeKind, key: str
) -> Iterator[str]:
    remaining_ids = [
        member.id
        for member in state.roster.members.values()
        if state.vm_in_service(member.id)
        and state.zone_in_service(member.availability_zone)
        and key not in {member.id, member.availability_zone}
    ]
    if not remaining_ids:
        yield 'no VM stays in service; every request would be refused'
    if kind is ChangeKind.ZONE:
        for catalog in state.catalogs.values():
            yield from _find_lost_shards(state, catalog, key)


def _find_lost_shards(
    state: ConfigState, catalog: Catalog, zone: str
) -> Iterator[str]:
    """Warn of the newest snapshot's shards that only this zone serves."""
    snapshot = catalog.snapshots[0]
    zones_by_shard = collections.defaultdict(set)
    for server in catalog.servers.values():
        in_service = state.zone_in_service(server.availability_zone)
        if in_service and snapshot.id in server.snapshots:
            zones_by_shard[server.shard].add(server.availability_zone)
    lost_shards = [
        shard for shard in snapshot.shards if zones_by_shard[shard] == {zone}
    ]
    if lost_shards:
        suffix = ', ...' if len(lost_shards) > MAX_NAMED_SHARDS else ''
        yield (
            f'{len(lost_shards)} of {len(snapshot.shards)} shards of '
            f'{catalog.collection} have no replica in another zone in '
            f'service: {", ".join(lost_shards[:MAX_NAMED_SHARDS])}{suffix}'
        )


def _vms_in_zone(state: ConfigState, zone: str) -> list[str]:
    return sorted(
        member.id
        for member in state.roster.members.values()
        if member.availability_zone == zone
    )


def _count_servers_by_zone(state: ConfigState) -> collections.Counter[str]:
    return collections.Counter(
        server.availability_zone
        for catalog in state.catalogs.values()
        for server in catalog.servers.values()
    )
