"""Fleets of a given size for benchmarks."""

from ibismount.catalog import BackendServer, Catalog, Snapshot
from ibismount.roster import Member, Roster

__all__ = ('COLLECTIONS', 'REPLICAS', 'ZONES', 'catalogs', 'member', 'roster')

ZONES = 5
REPLICAS = 5
COLLECTIONS = 8


def member(index: int) -> Member:
    """Return a node; nodes are spread evenly over five zones."""
    zone = index % ZONES
    return Member(
        f'node-{index:04}',
        1000 + index,
        f'zone-{zone}',
        f'region-{zone // 3}',
        f'10.0.{index // 250}.{index % 250}:7000',
        f'10.0.{index // 250}.{index % 250}:8000',
    )


def roster(nodes: int) -> Roster:
    """Return a roster of this many nodes."""
    members = map(member, range(nodes))
    return Roster(1, {node.id: node for node in members})


def catalogs(
    servers: int, *, collections: int = COLLECTIONS
) -> dict[str, Catalog]:
    """Return collections with this many backend servers in total."""
    shards = servers // REPLICAS // collections
    return {
        f'collection-{number}': _catalog(f'collection-{number}', shards)
        for number in range(collections)
    }


def _catalog(name: str, shards: int) -> Catalog:
    shard_names = tuple(f'shard-{index:04}' for index in range(shards))
    servers = [
        BackendServer(
            f'{name}-{shard}-{replica}',
            f'10.1.{index % 250}.{replica}:9000',
            f'zone-{(index + replica) % ZONES}',
            shard,
            snapshots=('2026-12-01',),
        )
        for index, shard in enumerate(shard_names)
        for replica in range(REPLICAS)
    ]
    return Catalog(
        name,
        (Snapshot('2026-12-01', shard_names),),
        {server.id: server for server in servers},
    )
