"""Choose the snapshot, a replica and a gateway for each shard of a search."""

import collections
import dataclasses
import random
from collections.abc import Sequence

from ibismount.catalog import BackendServer, Catalog, Snapshot
from ibismount.cause import Cause, Origin, system_cause
from ibismount.errors import ErrorCode, IbismountError
from ibismount.load_tracker import LoadTracker, ReplicaIndex, Target
from ibismount.view import NodeView

__all__ = (
    'Exclusions',
    'Planner',
    'SearchPlan',
    'Target',
    'choose_snapshot',
    'group_by_gateway',
    'plan_search',
)


@dataclasses.dataclass(slots=True)
class Exclusions:
    """Where a shard must not be sent again.

    A pair is (server, gateway): a gateway that refused says nothing about
    the other gateways of the same server.
    """

    servers: set[str] = dataclasses.field(default_factory=set)
    pairs: set[tuple[str, str]] = dataclasses.field(default_factory=set)


_NOTHING_EXCLUDED = Exclusions()
# A server of another zone is chosen when it has this many requests fewer:
# traffic between zones costs latency, but a busy server costs more.
_FAR_HANDICAP = 2


@dataclasses.dataclass(frozen=True, slots=True)
class SearchPlan:
    """A snapshot with a target or the cause of its absence for each shard."""

    snapshot: Snapshot
    targets: dict[str, Target]
    missing: dict[str, Cause]

    def by_gateway(self) -> dict[str, list[Target]]:
        """Group the targets into one batch for each gateway."""
        return group_by_gateway(list(self.targets.values()))


class Planner:
    """Plan against one consistent view of configuration and liveness.

    Whether a gateway is usable is looked up once per planner, so build a new
    one for each plan.

    Args:
        view: The node's control tables.
        index: Replicas of the collection's catalog.
        load: Outstanding counts and recent refusals.
        now: Seconds on the clock of the view.
        rng: Source of the random choices.
        follow: Prefer gateways that the plan already uses; off for
            baselines.
    """

    def __init__(
        self,
        view: NodeView,
        index: ReplicaIndex,
        load: LoadTracker,
        *,
        now: float,
        rng: random.Random,
        follow: bool = True,
    ) -> None:
        """Take what the choices depend on."""
        self._view = view
        self._state = view.state
        self._assignment = view.assignment
        self._index = index
        self._load = load
        self._now = now
        self._rng = rng
        self._follow = follow
        self._used: set[str] = set()
        self._gateway_faults: dict[str, Cause | None] = {}

    @property
    def catalog(self) -> Catalog:
        """Return the catalog that the plans are based on."""
        return self._index.catalog

    def plan_shard(
        self,
        snapshot_id: str,
        shard: str,
        exclusions: Exclusions = _NOTHING_EXCLUDED,
    ) -> Target | Cause:
        """Choose a replica and gateway, or say why there is none."""
        causes: list[Cause] = []
        options = []
        for server in self._index.replicas(shard, snapshot_id):
            found = self._usable_gateways(server, snapshot_id, exclusions)
            if isinstance(found, Cause):
                causes.append(found)
            else:
                options.append((server, found))
        if not options:
            return _cause_of_absence(shard, causes)
        return self._choose(shard, options)

    def covered(self, snapshot: Snapshot, shards: Sequence[str] = ()) -> int:
        """Count the shards of a snapshot that have a usable replica.

        Only the given shards count; none given means all.
        """
        return sum(
            any(
                not isinstance(
                    self._usable_gateways(
                        server, snapshot.id, _NOTHING_EXCLUDED
                    ),
                    Cause,
                )
                for server in self._index.replicas(shard, snapshot.id)
            )
            for shard in shards or snapshot.shards
        )

    def _usable_gateways(
        self, server: BackendServer, snapshot_id: str, exclusions: Exclusions
    ) -> list[str] | Cause:
        fault = self._server_fault(server, snapshot_id, exclusions)
        if fault is not None:
            return fault
        usable = []
        for gateway in self._assignment.gateways(server.id):
            found = self._gateway_fault(gateway)
            if found is not None:
                fault = _more_telling(fault, found)
            elif (server.id, gateway) in exclusions.pairs:
                fault = fault or system_cause(
                    ErrorCode.GATEWAY_BUSY, f'{gateway} refused'
                )
            else:
                usable.append(gateway)
        if usable:
            return usable
        return fault or system_cause(
            ErrorCode.NO_SHARE, f'{server.id} has no gateway'
        )

    def _server_fault(
        self, server: BackendServer, snapshot_id: str, exclusions: Exclusions
    ) -> Cause | None:
        zone = self._state.zones.get(server.availability_zone)
        if zone is not None and not zone.in_service:
            return zone.cause(ErrorCode.ZONE_OUT)
        if server.leaving:
            return system_cause(
                ErrorCode.BACKEND_LEAVING, f'{server.id} is leaving'
            )
        if server.id in exclusions.servers:
            return system_cause(ErrorCode.NO_REPLICA, f'{server.id} was tried')
        return None

    def _gateway_fault(self, gateway: str) -> Cause | None:
        if gateway not in self._gateway_faults:
            self._gateway_faults[gateway] = self._find_gateway_fault(gateway)
        return self._gateway_faults[gateway]

    def _find_gateway_fault(self, gateway: str) -> Cause | None:
        vm = self._state.vms.get(gateway)
        if vm is not None and not vm.in_service:
            return vm.cause(ErrorCode.VM_OUT)
        member = self._state.roster.members.get(gateway)
        if member is not None:
            zone = self._state.zones.get(member.availability_zone)
            if zone is not None and not zone.in_service:
                return zone.cause(ErrorCode.ZONE_OUT)
        if not self._view.is_live(gateway):
            return system_cause(ErrorCode.LINK_LOST, f'{gateway} is dead')
        return None

    def _choose(
        self, shard: str, options: list[tuple[BackendServer, list[str]]]
    ) -> Target:
        options = self._unblocked(options) or options
        options = self._in_sound_zones(options) or options
        server, gateways = self._choose_server(options)
        return Target(shard, server, self._choose_gateway(server, gateways))

    def _unblocked(self, options):
        """Leave out gateways that are to be avoided for now."""
        kept = []
        for server, gateways in options:
            free = [
                one
                for one in gateways
                if not self._load.is_blocked(self._now, server.id, one)
            ]
            if free:
                kept.append((server, free))
        return kept

    def _in_sound_zones(self, options):
        """Leave out zones that are losing servers."""
        return [
            option
            for option in options
            if not self._load.is_zone_failing(
                self._now, option[0].availability_zone
            )
        ]

    def _choose_server(self, options):
        """Compare two random servers, one of them in the own zone.

        A near server whose gateways the plan already uses is preferred, so
        that a query to many shards needs few messages.
        """
        if len(options) == 1:
            return options[0]
        zone = self._view.availability_zone
        near = [one for one in options if one[0].availability_zone == zone]
        if not near:
            first, second = self._rng.sample(options, 2)
            return min(first, second, key=self._server_load)
        followed = [one for one in near if self._followed(*one)]
        first = self._rng.choice(followed or near)
        second = self._rng.choice([one for one in options if one is not first])
        handicap = 0
        if second[0].availability_zone != zone or followed:
            handicap = _FAR_HANDICAP
        if self._server_load(second) + handicap < self._server_load(first):
            return second
        return first

    def _followed(
        self, server: BackendServer, gateways: Sequence[str]
    ) -> list[str]:
        """Return gateways that the plan uses and that refused nothing."""
        if not self._follow:
            return []
        return [
            one
            for one in gateways
            if one in self._used
            and not self._load.refused_recently(self._now, server.id, one)
        ]

    def _choose_gateway(
        self, server: BackendServer, gateways: Sequence[str]
    ) -> str:
        if len(gateways) == 1:
            return gateways[0]
        followed = self._followed(server, gateways)
        chosen = min(
            followed or self._rng.sample(gateways, 2),
            key=lambda one: self._load.gateway_load(self._now, server.id, one),
        )
        self._used.add(chosen)
        return chosen

    def _server_load(self, option: tuple[BackendServer, list[str]]) -> int:
        return self._load.server_load(self._now, option[0].id)


def plan_search(
    planner: Planner,
    catalog: Catalog,
    *,
    snapshot_id: str = '',
    shards: Sequence[str] = (),
) -> SearchPlan:
    """Plan a whole search.

    Args:
        planner: Chooses the target of each shard.
        catalog: The collection's snapshots, newest first.
        snapshot_id: The snapshot that a cursor fixes; empty for any.
        shards: The only shards to ask; empty for all.

    Returns:
        A plan with the newest snapshot whose shards are all covered, or else
        the one with the most shards covered.

    Raises:
        IbismountError: ``snapshot_gone`` when a fixed snapshot is gone.
    """
    snapshot = choose_snapshot(planner, catalog, snapshot_id, shards)
    targets: dict[str, Target] = {}
    missing: dict[str, Cause] = {}
    for shard in shards or snapshot.shards:
        found = planner.plan_shard(snapshot.id, shard)
        if isinstance(found, Cause):
            missing[shard] = found
        else:
            targets[shard] = found
    return SearchPlan(snapshot, targets, missing)


def choose_snapshot(
    planner: Planner,
    catalog: Catalog,
    snapshot_id: str = '',
    shards: Sequence[str] = (),
) -> Snapshot:
    """Return the fixed snapshot, or the best one; see `plan_search`."""
    if snapshot_id:
        fixed = catalog.snapshot(snapshot_id)
        if fixed is None:
            raise IbismountError(
                ErrorCode.SNAPSHOT_GONE,
                f'snapshot {snapshot_id} is gone; start at the first page',
            )
        return fixed
    best = catalog.snapshots[0]
    most = -1
    for snapshot in catalog.snapshots:
        covered = planner.covered(snapshot, shards)
        if covered == len(shards or snapshot.shards):
            return snapshot
        if covered > most:
            best, most = snapshot, covered
    return best


def group_by_gateway(targets: Sequence[Target]) -> dict[str, list[Target]]:
    """Group targets into one batch for each gateway."""
    batches: dict[str, list[Target]] = collections.defaultdict(list)
    for target in targets:
        batches[target.gateway].append(target)
    return dict(batches)


def _cause_of_absence(shard: str, causes: Sequence[Cause]) -> Cause:
    """Prefer the operator's change among the reasons of all replicas."""
    chosen: Cause | None = None
    for cause in causes:
        chosen = _more_telling(chosen, cause)
    return chosen or system_cause(
        ErrorCode.NO_REPLICA, f'no replica holds shard {shard}'
    )


def _more_telling(first: Cause | None, second: Cause) -> Cause:
    if first is None or (
        second.origin is Origin.OPERATOR and first.origin is not Origin.OPERATOR
    ):
        return second
    return first
