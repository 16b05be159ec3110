"""Assign backend servers to gateways and divide their limits into shares."""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import xxhash

from ibismount.catalog import BackendServer, Catalog
from ibismount.roster import Member, Roster

__all__ = ('Assigner', 'Assignment', 'AssignmentOptions', 'Share', 'assign')


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """The part of one backend server's limits that one gateway may use.

    ``rank`` 0 is the primary; only it has ``cold_slots``.
    """

    server: str
    gateway: str
    rank: int
    slots: int
    connections: int
    cold_slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """Shares by backend server, ordered by rank, at one config version."""

    version: int = 0
    shares: Mapping[str, tuple[Share, ...]] = dataclasses.field(
        default_factory=dict
    )
    # Index built at the first lookup by gateway. Most assignments are only
    # looked up by server, and scanning 44,000 shares per lookup is too slow.
    _by_gateway: dict[str, list[Share]] = dataclasses.field(
        default_factory=dict, init=False, repr=False, compare=False
    )

    def gateways(self, server: str) -> tuple[str, ...]:
        """Return the node ids of a backend server's gateways by rank."""
        return tuple([share.gateway for share in self.shares.get(server, ())])

    def shares_of_gateway(self, node_id: str) -> list[Share]:
        """Return all shares of one gateway."""
        if not self._by_gateway:
            for shares in self.shares.values():
                for share in shares:
                    self._by_gateway.setdefault(share.gateway, []).append(share)
        return list(self._by_gateway.get(node_id, ()))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AssignmentOptions:
    """Bounds of the assignment.

    Attributes:
        max_gateways: Maximum number of gateways per backend server.
        max_cell_size: Maximum number of servers in a cell.
        load_factor: A node gets no further cell once its load, counted in
            servers, is at least this many times the mean.
        min_cells: Cells are made smaller until a zone has about this many.
        cells_per_node: Cells are also made smaller until a zone has this
            many gateway positions per node, which spreads work over the
            nodes. Small cells add no messages in a small fleet, because an
            entry sends at most one message per gateway.
        connections_per_slot: Maximum connections per slot of a share, with
            one more for a probe. The rest of the server's limit covers idle
            connections of a paused gateway, which no other node can close.
    """

    max_gateways: int = 4
    max_cell_size: int = 16
    load_factor: float = 1.25
    min_cells: int = 16
    cells_per_node: float = 1.25
    connections_per_slot: int = 2


class _Cell(NamedTuple):
    key: str
    servers: tuple[BackendServer, ...]
    max_gateways: int  # largest number that any of its servers needs


class _ZoneInputs(NamedTuple):
    """All inputs that determine the shares of one availability zone."""

    servers: dict[str, list[tuple[int, BackendServer]]]
    local_nodes: tuple[str, ...]
    remote_nodes: tuple[str, ...]


class Assigner:
    """Compute assignments and cache the shares of unchanged zones.

    The result depends only on the arguments of `assign`, not on earlier
    calls. The shares of an availability zone are a function of its servers
    and nodes, so they are recomputed only when one of these changes.
    """

    def __init__(self, options: AssignmentOptions | None = None) -> None:
        """Start with an empty cache."""
        self._options = options or AssignmentOptions()
        self._zone_cache: dict[str, tuple[_ZoneInputs, dict]] = {}

    def assign(
        self, roster: Roster, catalogs: Mapping[str, Catalog], *, version: int
    ) -> Assignment:
        """Assign gateways and their shares to each backend server.

        Args:
            roster: The nodes that may serve as gateways.
            catalogs: The backend servers, by collection.
            version: The configuration version of both.

        Returns:
            The assignment; the same on every node for equal arguments.
        """
        zone_cache = {}
        shares: dict[str, tuple[Share, ...]] = {}
        servers = _servers_by_zone(catalogs)
        for name in sorted(servers):
            zone = _collect_zone_inputs(
                name, servers[name], roster, self._options
            )
            cached = self._zone_cache.get(name)
            if cached is None or cached[0] != zone:
                new_shares = _compute_zone_shares(name, zone, self._options)
                cached = (zone, _reuse_equal_shares(cached, new_shares))
            zone_cache[name] = cached
            shares.update(cached[1])
        self._zone_cache = zone_cache
        return Assignment(version, shares)


def assign(
    roster: Roster,
    catalogs: Mapping[str, Catalog],
    *,
    version: int,
    options: AssignmentOptions | None = None,
) -> Assignment:
    """Compute an assignment without a cache; see `Assigner.assign`."""
    return Assigner(options).assign(roster, catalogs, version=version)


def _reuse_equal_shares(cached, new_shares):
    """Reuse equal share objects, so that two assignments take less memory."""
    reused = cached[1] if cached else {}
    return {
        server_id: reused[server_id]
        if reused.get(server_id) == shares
        else shares
        for server_id, shares in new_shares.items()
    }


def _servers_by_zone(catalogs):
    zones: dict[str, dict[str, list[tuple[int, BackendServer]]]] = {}
    for collection in sorted(catalogs):
        catalog = catalogs[collection]
        index_by_shard = _index_shards(catalog)
        for server_id in sorted(catalog.servers):
            server = catalog.servers[server_id]
            zone = zones.setdefault(server.availability_zone, {})
            indexed_servers = zone.setdefault(collection, [])
            indexed_servers.append((index_by_shard[server.shard], server))
    return zones


def _index_shards(catalog: Catalog) -> dict[str, int]:
    newest_shards = catalog.snapshots[0].shards if catalog.snapshots else ()
    index_by_shard = {shard: index for index, shard in enumerate(newest_shards)}
    unlisted = {
        server.shard for server in catalog.servers.values()
    } - index_by_shard.keys()
    for shard in sorted(unlisted):
        index_by_shard[shard] = len(index_by_shard)
    return index_by_shard


def _collect_zone_inputs(name, servers, roster, options) -> _ZoneInputs:
    members = roster.members
    local = sorted(
        member.id
        for member in members.values()
        if member.availability_zone == name
    )
    remote: list[str] = []
    if len(local) < options.max_gateways:
        remote = sorted(
            member.id
            for member in _region_members_in_other_zones(name, members.values())
        )
    return _ZoneInputs(servers, tuple(local), tuple(remote))


def _region_members_in_other_zones(
    zone: str, members: Iterable[Member]
) -> list[Member]:
    """Return the members in other zones of the zone's region.

    The region of a zone is known only from its members. If it has none,
    nodes of all regions qualify, so that its backend servers stay reachable.
    """
    members = list(members)
    regions = {
        member.region for member in members if member.availability_zone == zone
    }
    return [
        member
        for member in members
        if member.availability_zone != zone
        and (not regions or member.region in regions)
    ]


def _compute_zone_shares(
    name, zone: _ZoneInputs, options
) -> dict[str, tuple[Share, ...]]:
    cells = _build_cells(name, zone, options)
    local_placer = _CellPlacer(zone.local_nodes, cells, options)
    remote_placer = _CellPlacer(zone.remote_nodes, cells, options)
    shares = {}
    for cell in cells:
        chosen = local_placer.choose_nodes(cell, cell.max_gateways)
        chosen += remote_placer.choose_nodes(
            cell, cell.max_gateways - len(chosen)
        )
        for server in cell.servers:
            shares[server.id] = _divide_limits(server, chosen, options)
    return shares


def _build_cells(name, zone: _ZoneInputs, options) -> list[_Cell]:
    """Group the servers of a zone into cells of consecutive shards.

    A cell covers a fixed range of shards with one replica of each, so adding
    or removing a server does not change the other cells.
    """
    size = _cell_size(zone, options)
    cells: dict[tuple[str, int, int], list[BackendServer]] = {}
    for collection, indexed_servers in zone.servers.items():
        replicas: dict[int, int] = {}
        for index, server in sorted(indexed_servers, key=_shard_sort_key):
            replica_number = replicas.get(index, 0)
            replicas[index] = replica_number + 1
            # The cell key contains the start of its range. Sizes are powers
            # of two, so every second cell keeps its key when the size halves.
            range_start = index // size * size
            cells.setdefault(
                (collection, replica_number, range_start), []
            ).append(server)
    return [
        _Cell(
            f'{name}/{collection}/{replica_number}/{range_start}',
            tuple(servers),
            max(_max_gateways_of(replica, options) for replica in servers),
        )
        for (collection, replica_number, range_start), servers in sorted(
            cells.items()
        )
    ]


def _shard_sort_key(
    indexed_server: tuple[int, BackendServer],
) -> tuple[int, str]:
    return indexed_server[0], indexed_server[1].id


def _cell_size(zone: _ZoneInputs, options) -> int:
    nodes = len(zone.local_nodes) or len(zone.remote_nodes) or 1
    gateways_per_cell = min(options.max_gateways, nodes)
    cell_count = max(
        options.min_cells, options.cells_per_node * nodes / gateways_per_cell
    )
    server_count = sum(
        len(indexed_servers) for indexed_servers in zone.servers.values()
    )
    wanted_size = max(1, int(server_count / cell_count))
    return min(options.max_cell_size, 1 << (wanted_size.bit_length() - 1))


def _max_gateways_of(server: BackendServer, options) -> int:
    return min(options.max_gateways, server.slots, server.connections)


class _CellPlacer:
    """Place cells on nodes by rendezvous hashing with bounded loads."""

    def __init__(self, nodes: tuple[str, ...], cells: list[_Cell], options):
        self._nodes = [(node_id.encode(), node_id) for node_id in nodes]
        self._load = dict.fromkeys(nodes, 0)
        gateways_per_cell = min(options.max_gateways, len(nodes))
        total = sum(
            len(cell.servers) * min(cell.max_gateways, gateways_per_cell)
            for cell in cells
        )
        self._max_load = options.load_factor * total / max(1, len(nodes))

    def choose_nodes(self, cell: _Cell, count: int) -> list[str]:
        """Return up to ``count`` nodes for a cell, ordered by rank."""
        if count <= 0 or not self._nodes:
            return []
        seed = xxhash.xxh3_64_intdigest(cell.key.encode())
        digest = xxhash.xxh3_64_intdigest
        nodes_by_hash = sorted(
            [(digest(raw, seed), node_id) for raw, node_id in self._nodes],
            reverse=True,
        )
        chosen = [
            node_id
            for _, node_id in nodes_by_hash
            if self._load[node_id] < self._max_load
        ][:count]
        if len(chosen) < count:
            # Too few nodes are below the maximum load, so add the least loaded.
            least_loaded = sorted(
                (self._load[node_id], node_id)
                for node_id in self._load.keys() - set(chosen)
            )
            chosen += [
                node_id for _, node_id in least_loaded[: count - len(chosen)]
            ]
        for node_id in chosen:
            self._load[node_id] += len(cell.servers)
        return chosen


def _divide_limits(
    server: BackendServer, chosen: list[str], options
) -> tuple[Share, ...]:
    """Divide a server's limits among the chosen gateways by rank."""
    count = min(len(chosen), _max_gateways_of(server, options))
    if not count:
        return ()
    return tuple(
        [
            _make_share(server, gateway, rank, count, options)
            for rank, gateway in enumerate(chosen[:count])
        ]
    )


def _make_share(server, gateway, rank, count, options) -> Share:
    slots = _divide_evenly(server.slots, rank, count)
    return Share(
        server=server.id,
        gateway=gateway,
        rank=rank,
        slots=slots,
        connections=min(
            _divide_evenly(server.connections, rank, count),
            slots * options.connections_per_slot + 1,
        ),
        cold_slots=0 if rank else server.cold_slots,
    )


def _divide_evenly(limit: int, rank: int, count: int) -> int:
    # The remainder goes to the gateways with the lowest rank numbers.
    quotient, remainder = divmod(limit, count)
    return quotient + (rank < remainder)
