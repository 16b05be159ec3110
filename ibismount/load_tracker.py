"""Load and recent failures of backend servers and gateways."""

import collections
from typing import NamedTuple

from ibismount.catalog import BackendServer, Catalog

__all__ = ('LoadTracker', 'ReplicaIndex', 'Target')

# Long enough to keep a burst away from a busy server, short enough that one
# refusal does not take a warm server out of use.
_REFUSAL_MEMORY_S = 2.0
# A zone with this many recently lost servers is probably failing as a whole.
_ZONE_LOSSES = 3
# A gateway that is down or refuses work for a server is tried again after this
# time. Membership needs several seconds to declare a node dead.
_BLOCK_S = 1.0
# Unanswered sub-requests at which a gateway counts as silent; fewer may be
# stragglers.
_MIN_SILENT_OUTSTANDING = 2
# Load of a refusal, in outstanding sub-requests.
_REFUSAL_WEIGHT = 4


class Target(NamedTuple):
    """Shard, backend server and gateway of one sub-request."""

    shard: str
    server: BackendServer
    gateway: str


class ReplicaIndex:
    """Find the replicas of a shard without scanning the whole catalog."""

    def __init__(self, catalog: Catalog) -> None:
        """Group the backend servers by snapshot and shard."""
        self.catalog = catalog
        replicas: dict[tuple[str, str], list[BackendServer]] = (
            collections.defaultdict(list)
        )
        for server in catalog.servers.values():
            for snapshot_id in server.snapshots:
                replicas[snapshot_id, server.shard].append(server)
        self._replicas = dict(replicas)

    def replicas(self, shard: str, snapshot_id: str) -> list[BackendServer]:
        """Return the backend servers that hold a shard of a snapshot."""
        return self._replicas.get((snapshot_id, shard), [])


class LoadTracker:
    """Track outstanding sub-requests and recent failures.

    Backend servers are ranked by load; failures are forgotten after a few
    seconds.
    """

    def __init__(self) -> None:
        """Start with nothing outstanding."""
        self._outstanding: dict[str, int] = collections.defaultdict(int)
        # Time of the last refusal and number of recent ones, by server and
        # gateway; an empty gateway stands for all.
        self._refusals: dict[tuple[str, str], tuple[float, int]] = {}
        self._zone_losses: dict[str, collections.deque[float]] = {}
        self._blocked_until: dict[tuple[str, str], float] = {}
        self._last_message_at: dict[str, float] = {}

    def record_start(self, target: Target) -> None:
        """Count a sub-request that was sent."""
        self._outstanding[target.server.id] += 1
        self._outstanding[target.gateway] += 1

    def record_end(self, target: Target) -> None:
        """Count a sub-request that was answered, refused or cancelled."""
        for key in (target.server.id, target.gateway):
            remaining = self._outstanding[key] - 1
            if remaining > 0:
                self._outstanding[key] = remaining
            else:
                self._outstanding.pop(key, None)

    def record_refusal(
        self, now: float, target: Target, *, whole_server: bool
    ) -> None:
        """Record a refusal by the backend server or by its gateway.

        Args:
            now: Time in seconds.
            target: Where the sub-request went.
            whole_server: The refusal holds for the server at every gateway.
        """
        gateway = '' if whole_server else target.gateway
        key = (target.server.id, gateway)
        self._refusals[key] = (now, self._count_refusals(now, key) + 1)

    def server_load(self, now: float, server_id: str) -> int:
        """Return the load of a backend server for comparison."""
        refusals = self._count_refusals(now, (server_id, ''))
        return self._outstanding.get(server_id, 0) + refusals * _REFUSAL_WEIGHT

    def gateway_load(self, now: float, server_id: str, gateway: str) -> int:
        """Return the load of one gateway of a server for comparison."""
        refusals = self._count_refusals(now, (server_id, gateway))
        return self._outstanding.get(gateway, 0) + refusals * _REFUSAL_WEIGHT

    def refused_recently(
        self, now: float, server_id: str, gateway: str = ''
    ) -> bool:
        """Return whether a server, or its gateway, refused work recently."""
        return bool(self._count_refusals(now, (server_id, gateway)))

    def record_message(self, now: float, gateway: str) -> None:
        """Record the time of the last message from a gateway."""
        self._last_message_at[gateway] = now

    def record_late(self, now: float, target: Target, sent_at: float) -> None:
        """Record a late sub-request; block its gateway if that is silent.

        A straggler delays one sub-request. A paused or partitioned gateway
        delays all of them, long before its link breaks or membership declares
        it dead.
        """
        silent = self._last_message_at.get(target.gateway, 0) < sent_at
        waiting = self._outstanding.get(target.gateway, 0)
        if silent and waiting >= _MIN_SILENT_OUTSTANDING:
            self.block(now, '', target.gateway)

    def block(self, now: float, server_id: str, gateway: str) -> None:
        """Avoid a gateway for one server, or for all if the id is empty."""
        self._blocked_until[server_id, gateway] = now + _BLOCK_S

    def is_blocked(self, now: float, server_id: str, gateway: str) -> bool:
        """Return whether a gateway is to be avoided for a server."""
        if not self._blocked_until:
            return False
        return (
            self._blocked_until.get((server_id, gateway), 0) > now
            or self._blocked_until.get(('', gateway), 0) > now
        )

    def record_loss(self, now: float, target: Target) -> None:
        """Record a lost backend server."""
        losses = self._zone_losses.setdefault(
            target.server.availability_zone,
            collections.deque(maxlen=_ZONE_LOSSES),
        )
        losses.append(now)
        self.record_refusal(now, target, whole_server=True)

    def is_zone_failing(self, now: float, zone: str) -> bool:
        """Return whether several servers of a zone were lost recently."""
        losses = self._zone_losses.get(zone, ())
        return (
            len(losses) == _ZONE_LOSSES and now - losses[0] < _REFUSAL_MEMORY_S
        )

    def _count_refusals(self, now: float, key: tuple[str, str]) -> int:
        last_refusal = self._refusals.get(key)
        if last_refusal is None:
            return 0
        if now - last_refusal[0] > _REFUSAL_MEMORY_S:
            self._refusals.pop(key)
            return 0
        return last_refusal[1]
