"""Choose the snapshot, a replica and a gateway for each shard of a search."""

import collections
import dataclasses
import random
from collections.abc import Sequence

from ibismount.catalog import BackendServer, Catalog, Snapshot
from ibismount.cause import Cause, Origin, system_cause
from ibismount.errors import ErrorCode, IbismountError
from ibismount.load_tracker import LoadTracker, ReplicaIndex, Target
from ibismount.node_view import NodeView

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
    """Targets to which a shard must not be sent again.

    ``pairs`` holds (server, gateway): a refusal by one gateway does not
    exclude the other gateways of the same server.
    """

    servers: set[str] = dataclasses.field(default_factory=set)
    pairs: set[tuple[str, str]] = dataclasses.field(default_factory=set)


_NO_EXCLUSIONS = Exclusions()
# A server of another zone is preferred when it has more than this many requests
# fewer: traffic between zones costs latency, but a busy server costs more.
_REMOTE_ZONE_PENALTY_REQUESTS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class SearchPlan:
    """A snapshot and, for each shard, a target or why there is none."""

    snapshot: Snapshot
    targets: dict[str, Target]
    missing: dict[str, Cause]

    def by_gateway(self) -> dict[str, list[Target]]:
        """Group the targets into one batch for each gateway."""
        return group_by_gateway(list(self.targets.values()))


class Planner:
    """Plan against one consistent view of configuration and liveness.

    Whether a gateway is usable is cached for the life of the planner, so
    build a new planner for each plan.

    Args:
        view: The node's control tables.
        index: Replicas of the collection's catalog.
        load: Outstanding counts and recent refusals.
        now: Seconds on the clock of the view.
        rng: Source of the random choices.
        prefer_used_gateways: Prefer gateways that the plan already uses;
            off for baselines.
    """

    def __init__(
        self,
        view: NodeView,
        index: ReplicaIndex,
        load: LoadTracker,
        *,
        now: float,
        rng: random.Random,
        prefer_used_gateways: bool = True,
    ) -> None:
        """Store the dependencies; nothing is planned yet."""
        self._view = view
        self._state = view.state
        self._assignment = view.assignment
        self._index = index
        self._load = load
        self._now = now
        self._rng = rng
        self._prefer_used_gateways = prefer_used_gateways
        self._used_gateways: set[str] = set()
        self._gateway_faults: dict[str, Cause | None] = {}

    @property
    def catalog(self) -> Catalog:
        """Return the catalog that the plans are based on."""
        return self._index.catalog

    def plan_shard(
        self,
        snapshot_id: str,
        shard: str,
        exclusions: Exclusions = _NO_EXCLUSIONS,
    ) -> Target | Cause:
        """Return a replica and gateway for a shard, or why there is none."""
        causes: list[Cause] = []
        options = []
        for server in self._index.replicas(shard, snapshot_id):
            gateways = self._usable_gateways(server, exclusions)
            if isinstance(gateways, Cause):
                causes.append(gateways)
            else:
                options.append((server, gateways))
        if not options:
            return _missing_cause(shard, causes)
        return self._choose(shard, options)

    def count_covered(
        self, snapshot: Snapshot, shards: Sequence[str] = ()
    ) -> int:
        """Count the shards of a snapshot that have a usable replica.

        Only the given shards count; none given means all.
        """
        return sum(
            any(
                not isinstance(
                    self._usable_gateways(server, _NO_EXCLUSIONS),
                    Cause,
                )
                for server in self._index.replicas(shard, snapshot.id)
            )
            for shard in shards or snapshot.shards
        )

    def _usable_gateways(
        self, server: BackendServer, exclusions: Exclusions
    ) -> list[str] | Cause:
        fault = self._server_fault(server, exclusions)
        if fault is not None:
            return fault
        usable = []
        for gateway in self._assignment.gateways(server.id):
            gateway_fault = self._gateway_fault(gateway)
            if gateway_fault is not None:
                fault = _prefer_operator_cause(fault, gateway_fault)
            elif (server.id, gateway) in exclusions.pairs:
                fault = fault or system_cause(
                    ErrorCode.GATEWAY_BUSY, f'gateway {gateway} refused'
                )
            else:
                usable.append(gateway)
        if usable:
            return usable
        return fault or system_cause(
            ErrorCode.NO_SHARE,
            f'no gateway has a share of backend server {server.id}',
        )

    def _server_fault(
        self, server: BackendServer, exclusions: Exclusions
    ) -> Cause | None:
        zone = self._state.zones.get(server.availability_zone)
        if zone is not None and not zone.in_service:
            return zone.cause(ErrorCode.ZONE_OUT)
        if server.leaving:
            return system_cause(
                ErrorCode.BACKEND_LEAVING,
                f'backend server {server.id} is leaving',
            )
        if server.id in exclusions.servers:
            return system_cause(
                ErrorCode.NO_REPLICA,
                f'backend server {server.id} was already tried',
            )
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
            return system_cause(
                ErrorCode.LINK_LOST,
                f'gateway {gateway} is down according to membership',
            )
        return None

    def _choose(
        self, shard: str, options: list[tuple[BackendServer, list[str]]]
    ) -> Target:
        options = self._without_blocked_gateways(options) or options
        options = self._without_failing_zones(options) or options
        server, gateways = self._choose_server(options)
        return Target(shard, server, self._choose_gateway(server, gateways))

    def _without_blocked_gateways(self, options):
        """Drop gateways that are blocked, and servers without any other."""
        unblocked_options = []
        for server, gateways in options:
            unblocked = [
                gateway
                for gateway in gateways
                if not self._load.is_blocked(self._now, server.id, gateway)
            ]
            if unblocked:
                unblocked_options.append((server, unblocked))
        return unblocked_options

    def _without_failing_zones(self, options):
        """Drop servers in zones that are losing servers."""
        return [
            option
            for option in options
            if not self._load.is_zone_failing(
                self._now, option[0].availability_zone
            )
        ]

    def _choose_server(self, options):
        """Choose the less loaded of two random servers.

        One of them is in the own zone if possible. A server of the own zone
        with a gateway that the plan already uses is preferred, so that a
        query to many shards needs few messages.
        """
        if len(options) == 1:
            return options[0]
        zone = self._view.availability_zone
        local_options = [
            option for option in options if option[0].availability_zone == zone
        ]
        if not local_options:
            first, second = self._rng.sample(options, 2)
            return min(first, second, key=self._server_load)
        preferred = [
            option
            for option in local_options
            if self._preferred_gateways(*option)
        ]
        first = self._rng.choice(preferred or local_options)
        second = self._rng.choice(
            [option for option in options if option is not first]
        )
        penalty_requests = 0
        if second[0].availability_zone != zone or preferred:
            penalty_requests = _REMOTE_ZONE_PENALTY_REQUESTS
        if self._server_load(second) + penalty_requests < self._server_load(
            first
        ):
            return second
        return first

    def _preferred_gateways(
        self, server: BackendServer, gateways: Sequence[str]
    ) -> list[str]:
        """Return gateways that the plan uses and that did not just refuse."""
        if not self._prefer_used_gateways:
            return []
        return [
            gateway
            for gateway in gateways
            if gateway in self._used_gateways
            and not self._load.refused_recently(self._now, server.id, gateway)
        ]

    def _choose_gateway(
        self, server: BackendServer, gateways: Sequence[str]
    ) -> str:
        if len(gateways) == 1:
            return gateways[0]
        preferred = self._preferred_gateways(server, gateways)
        chosen = min(
            preferred or self._rng.sample(gateways, 2),
            key=lambda gateway: self._load.gateway_load(
                self._now, server.id, gateway
            ),
        )
        self._used_gateways.add(chosen)
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
        target = planner.plan_shard(snapshot.id, shard)
        if isinstance(target, Cause):
            missing[shard] = target
        else:
            targets[shard] = target
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
    best_count = -1
    for snapshot in catalog.snapshots:
        covered = planner.count_covered(snapshot, shards)
        if covered == len(shards or snapshot.shards):
            return snapshot
        if covered > best_count:
            best, best_count = snapshot, covered
    return best


def group_by_gateway(targets: Sequence[Target]) -> dict[str, list[Target]]:
    """Group targets into one batch for each gateway."""
    targets_by_gateway: dict[str, list[Target]] = collections.defaultdict(list)
    for target in targets:
        targets_by_gateway[target.gateway].append(target)
    return dict(targets_by_gateway)


def _missing_cause(shard: str, causes: Sequence[Cause]) -> Cause:
    """Return why a shard has no target, preferring an operator's change."""
    chosen: Cause | None = None
    for cause in causes:
        chosen = _prefer_operator_cause(chosen, cause)
    return chosen or system_cause(
        ErrorCode.NO_REPLICA,
        f'no backend server holds shard {shard} of the snapshot',
    )


def _prefer_operator_cause(first: Cause | None, second: Cause) -> Cause:
    if first is None or (
        second.origin is Origin.OPERATOR and first.origin is not Origin.OPERATOR
    ):
        return second
    return first
