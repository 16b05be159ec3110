"""What an entry knows about the load of backend servers and gateways."""

import collections
from typing import NamedTuple

from ibismount.catalog import BackendServer, Catalog

__all__ = ('ReplicaIndex', 'RouteLoad', 'Target')

# Two seconds are long enough to keep a burst away from a busy server, and
# short enough that one refusal does not take a warm server out of use.
_REFUSAL_MEMORY_S = 2.0
# A zone with this many recently lost servers is probably failing as a whole.
_ZONE_LOSSES = 3
# The catalog follows what servers hold within about this time.
_LACK_MEMORY_S = 5.0
# A gateway that is down or takes no work for a server is asked again after
# this time; membership needs several seconds to call a node dead.
_BLOCK_S = 1.0
# Fewer unanswered sub-requests may just be stragglers.
_SILENT_OUTSTANDING = 2
# A refusal weighs as much as this many outstanding requests.
_REFUSAL_WEIGHT = 4


class Target(NamedTuple):
    """Where one sub-request goes."""

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


class RouteLoad:
    """Count outstanding sub-requests and remember recent refusals."""

    def __init__(self) -> None:
        """Start with nothing outstanding."""
        self._outstanding: dict[str, int] = collections.defaultdict(int)
        self._refused: dict[tuple[str, str], tuple[float, int]] = {}
        self._zone_losses: dict[str, collections.deque[float]] = {}
        self._lacking: dict[tuple[str, str], float] = {}
        self._blocked: dict[tuple[str, str], float] = {}
        self._heard: dict[str, float] = {}

    def started(self, target: Target) -> None:
        """Count a sub-request that was sent."""
        self._outstanding[target.server.id] += 1
        self._outstanding[target.gateway] += 1

    def ended(self, target: Target) -> None:
        """Count a sub-request that was answered, refused or cancelled."""
        for key in (target.server.id, target.gateway):
            left = self._outstanding[key] - 1
            if left > 0:
                self._outstanding[key] = left
            else:
                self._outstanding.pop(key, None)

    def refused(
        self, now: float, target: Target, *, whole_server: bool
    ) -> None:
        """Remember a refusal by the gateway or by the backend server."""
        gateway = '' if whole_server else target.gateway
        key = (target.server.id, gateway)
        self._refused[key] = (now, self._recent(now, key) + 1)

    def server_load(self, now: float, server_id: str) -> int:
        """Return the load of a backend server for comparison."""
        refusals = self._recent(now, (server_id, ''))
        return self._outstanding.get(server_id, 0) + refusals * _REFUSAL_WEIGHT

    def gateway_load(self, now: float, server_id: str, gateway: str) -> int:
        """Return the load of one gateway of a server for comparison."""
        refusals = self._recent(now, (server_id, gateway))
        return self._outstanding.get(gateway, 0) + refusals * _REFUSAL_WEIGHT

    def refused_recently(
        self, now: float, server_id: str, gateway: str = ''
    ) -> bool:
        """Tell whether a server, or its gateway, refused work recently."""
        return bool(self._recent(now, (server_id, gateway)))

    def heard(self, now: float, gateway: str) -> None:
        """Note a message from a gateway."""
        self._heard[gateway] = now

    def late(self, now: float, target: Target, sent_at: float) -> None:
        """Note a late sub-request; block its gateway if that is silent.

        One straggler delays one sub-request. A gateway that is paused or cut
        off delays all, long before its link or membership tells.
        """
        silent = self._heard.get(target.gateway, 0) < sent_at
        waiting = self._outstanding.get(target.gateway, 0)
        if silent and waiting >= _SILENT_OUTSTANDING:
            self.block(now, '', target.gateway)

    def block(self, now: float, server_id: str, gateway: str) -> None:
        """Avoid a gateway for one server, or for all with an empty id."""
        self._blocked[server_id, gateway] = now + _BLOCK_S

    def blocked(self, now: float, server_id: str, gateway: str) -> bool:
        """Tell whether a gateway is to be avoided for a server."""
        if not self._blocked:
            return False
        return (
            self._blocked.get((server_id, gateway), 0) > now
            or self._blocked.get(('', gateway), 0) > now
        )

    def lost(self, now: float, target: Target) -> None:
        """Remember that a backend server was lost."""
        losses = self._zone_losses.setdefault(
            target.server.availability_zone,
            collections.deque(maxlen=_ZONE_LOSSES),
        )
        losses.append(now)
        self.refused(now, target, whole_server=True)

    def zone_failing(self, now: float, zone: str) -> bool:
        """Tell whether many servers of a zone were lost recently."""
        losses = self._zone_losses.get(zone, ())
        return (
            len(losses) == _ZONE_LOSSES and now - losses[0] < _REFUSAL_MEMORY_S
        )

    def lacked(self, now: float, server_id: str, snapshot_id: str) -> None:
        """Remember that a server said it does not hold a snapshot."""
        self._lacking[server_id, snapshot_id] = now

    def lacks(self, now: float, server_id: str, snapshot_id: str) -> bool:
        """Tell whether a server recently denied holding a snapshot."""
        if not self._lacking:
            return False
        denied = self._lacking.get((server_id, snapshot_id))
        if denied is None:
            return False
        if now - denied > _LACK_MEMORY_S:
            self._lacking.pop((server_id, snapshot_id))
            return False
        return True

    def outstanding(self) -> int:
        """Return the number of keys with work outstanding; 0 when idle."""
        return len(self._outstanding)

    def _recent(self, now: float, key: tuple[str, str]) -> int:
        found = self._refused.get(key)
        if found is None:
            return 0
        if now - found[0] > _REFUSAL_MEMORY_S:
            self._refused.pop(key)
            return 0
        return found[1]
