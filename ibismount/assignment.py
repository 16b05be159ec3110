"""Which gateways serve which backend server, and with which shares."""

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
    """Shares by backend server, ordered by rank, at one version."""

    version: int = 0
    shares: Mapping[str, tuple[Share, ...]] = dataclasses.field(
        default_factory=dict
    )
    # Filled at the first lookup by gateway: most maps are only looked up by
    # server, and a scan of 44,000 shares per lookup is too slow.
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

    ``gateways`` is the greatest number of gateways of a backend server and
    ``cell_size`` the greatest number of servers in a cell. A node takes no
    further cell once its load, counted in servers, is ``load_factor`` times
    the mean or more. Cells are made smaller until a zone has about
    ``least_cells``, and ``cells_per_node`` times as many places of gateways
    as it has nodes, so that work is spread over the nodes. Small cells cost
    a small fleet nothing: an entry sends one message per gateway, and so at
    most one per node. A share has at most ``connections_per_slot``
    connections per slot, and one more for a probe. What is left over covers
    idle connections of a paused gateway, which nobody else can close.
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
    max_gateways: int  # gateways needed


class _ZoneInputs(NamedTuple):
    """Everything that the shares of one availability zone depend on."""

    servers: dict[str, list[tuple[int, BackendServer]]]
    local_nodes: tuple[str, ...]
    remote_nodes: tuple[str, ...]


class Assigner:
    """Compute assignments and reuse what did not change since the last one.

    The result depends only on the arguments of `assign`, not on earlier
    calls: the shares of an availability zone are a function of its servers
    and nodes, and are kept until one of them changes.
    """

    def __init__(self, options: AssignmentOptions | None = None) -> None:
        """Start without earlier results."""
        self._options = options or AssignmentOptions()
        self._zone_cache: dict[str, tuple[_ZoneInputs, dict]] = {}

    def assign(
        self, roster: Roster, catalogs: Mapping[str, Catalog], *, version: int
    ) -> Assignment:
        """Give each backend server its gateways and their shares.

        Args:
            roster: The nodes that may serve as gateways.
            catalogs: The backend servers, by collection.
            version: The configuration version that both belong to.

        Returns:
            The assignment; equal for equal arguments on every node.
        """
        zone_cache = {}
        shares: dict[str, tuple[Share, ...]] = {}
        servers = _servers_by_zone(catalogs)
        for name in sorted(servers):
            zone = _collect_zone_inputs(
                name, servers[name], roster, self._options
            )
            earlier = self._zone_cache.get(name)
            if earlier is None or earlier[0] != zone:
                fresh = _compute_zone_shares(name, zone, self._options)
                earlier = (zone, _reuse_equal_shares(earlier, fresh))
            zone_cache[name] = earlier
            shares.update(earlier[1])
        self._zone_cache = zone_cache
        return Assignment(version, shares)


def assign(
    roster: Roster,
    catalogs: Mapping[str, Catalog],
    *,
    version: int,
    options: AssignmentOptions | None = None,
) -> Assignment:
    """Give each backend server its gateways; see `Assigner.assign`."""
    return Assigner(options).assign(roster, catalogs, version=version)


def _reuse_equal_shares(earlier, fresh):
    """Keep equal shares as the same objects: two maps take less memory."""
    reused = earlier[1] if earlier else {}
    return {
        server_id: reused[server_id]
        if reused.get(server_id) == shares
        else shares
        for server_id, shares in fresh.items()
    }


def _servers_by_zone(catalogs):
    zones: dict[str, dict[str, list[tuple[int, BackendServer]]]] = {}
    for collection in sorted(catalogs):
        catalog = catalogs[collection]
        order = _shard_order(catalog)
        for server_id in sorted(catalog.servers):
            server = catalog.servers[server_id]
            zone = zones.setdefault(server.availability_zone, {})
            indexed_servers = zone.setdefault(collection, [])
            indexed_servers.append((order[server.shard], server))
    return zones


def _shard_order(catalog: Catalog) -> dict[str, int]:
    newest = catalog.snapshots[0].shards if catalog.snapshots else ()
    order = {shard: index for index, shard in enumerate(newest)}
    unlisted = {
        server.shard for server in catalog.servers.values()
    } - order.keys()
    for shard in sorted(unlisted):
        order[shard] = len(order)
    return order


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
    """Return the members of the zone's region that are in other zones.

    The region of a zone is known only from its members. Without any, nodes
    of all regions count, so that its backend servers stay reachable.
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
    """Cut the servers of a zone into cells of consecutive shards.

    A cell is a fixed range of shards with one replica of each, so that a
    server that comes or goes leaves other cells as they are.
    """
    size = _cell_size(zone, options)
    cells: dict[tuple[str, int, int], list[BackendServer]] = {}
    for collection, indexed_servers in zone.servers.items():
        replicas: dict[int, int] = {}
        for index, server in sorted(indexed_servers, key=_shard_sort_key):
            layer = replicas.get(index, 0)
            replicas[index] = layer + 1
            # The start of the range names the cell. Sizes are powers of two,
            # so every other cell keeps its name when the size is halved.
            start = index // size * size
            cells.setdefault((collection, layer, start), []).append(server)
    return [
        _Cell(
            f'{name}/{collection}/{layer}/{start}',
            tuple(servers),
            max(_max_gateways_of(server, options) for server in servers),
        )
        for (collection, layer, start), servers in sorted(cells.items())
    ]


def _shard_sort_key(
    indexed_server: tuple[int, BackendServer],
) -> tuple[int, str]:
    return indexed_server[0], indexed_server[1].id


def _cell_size(zone: _ZoneInputs, options) -> int:
    nodes = len(zone.local_nodes) or len(zone.remote_nodes) or 1
    places = min(options.max_gateways, nodes)
    cells = max(options.min_cells, options.cells_per_node * nodes / places)
    count = sum(
        len(indexed_servers) for indexed_servers in zone.servers.values()
    )
    wanted = max(1, int(count / cells))
    return min(options.max_cell_size, 1 << (wanted.bit_length() - 1))


def _max_gateways_of(server: BackendServer, options) -> int:
    return min(options.max_gateways, server.slots, server.connections)


class _CellPlacer:
    """Place cells on nodes by rendezvous hashing with bounded load."""

    def __init__(self, nodes: tuple[str, ...], cells: list[_Cell], options):
        self._nodes = [(node_id.encode(), node_id) for node_id in nodes]
        self._load = dict.fromkeys(nodes, 0)
        places = min(options.max_gateways, len(nodes))
        total = sum(
            len(cell.servers) * min(cell.max_gateways, places) for cell in cells
        )
        self._max_load = options.load_factor * total / max(1, len(nodes))

    def choose_nodes(self, cell: _Cell, count: int) -> list[str]:
        """Return up to ``count`` nodes by rank."""
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
            # Fewer than count nodes have room: the least loaded take it.
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
    """Divide a server's limits; lower ranks take what does not divide."""
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
    quotient, remainder = divmod(limit, count)
    return quotient + (rank < remainder)
