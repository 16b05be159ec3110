"""Decide when a gateway may use a share that another one had before."""

from collections import deque
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from ibismount.assignment import Assignment, Share
from ibismount.catalog import BackendServer

__all__ = ('Handover', 'Limits', 'NOTHING', 'limits_of')

# Without acceptance, for example while regions are cut off from each other,
# maps pile up. Beyond this many the oldest are forgotten; gains then wait
# until the forgotten maps are settled.
MAX_STEPS = 64


class Limits(NamedTuple):
    """What one gateway may use of one backend server at once."""

    slots: int
    connections: int
    cold_slots: int

    def capped(self, other: 'Limits') -> 'Limits':
        """Return the smaller value of each limit."""
        return Limits(*map(min, self, other))

    def raised(self, other: 'Limits') -> 'Limits':
        """Return the greater value of each limit."""
        return Limits(*map(max, self, other))


NOTHING = Limits(0, 0, 0)


def limits_of(shares: Iterable[Share], gateway: str) -> Limits:
    """Return a gateway's part of a backend server's shares."""
    for share in shares:
        if share.gateway == gateway:
            return Limits(share.slots, share.connections, share.cold_slots)
    return NOTHING


class _Step(NamedTuple):
    """What the map of ``version`` replaced."""

    version: int
    before: dict[str, tuple[Share, ...]]


class Handover:
    """Bound what other gateways may still use of a backend server.

    A version is settled when ``lapse_s`` passed since this node learned that
    it is accepted. By then every node that acts holds it, and work sent
    under older maps has ended. A gateway therefore uses no more than the
    greatest share that it has in the maps since the settled one, or since
    the one that it sent a release for.
    """

    def __init__(self, node_id: str, *, lapse_s: float) -> None:
        """Start without a map; all earlier maps are unknown."""
        self.current = Assignment()
        self._node_id = node_id
        self._lapse_s = lapse_s
        self._steps: deque[_Step] = deque()
        # Maps before this version are unknown.
        self._known_from = 0
        self._accepted: deque[tuple[float, int]] = deque()
        self._accepted_version = 0
        self._settled = -1
        self._released: dict[tuple[str, str], int] = {}

    def restart(self, assignment: Assignment) -> None:
        """Take a map whose predecessors this node has not seen."""
        self._steps.clear()
        self._known_from = assignment.version
        self.current = assignment

    def advance(self, assignment: Assignment) -> None:
        """Take the map that follows the current one."""
        before = _replaced(self.current, assignment)
        if before:
            self._steps.append(_Step(assignment.version, before))
        self.current = assignment
        if len(self._steps) > MAX_STEPS:
            self._known_from = self._steps.popleft().version

    def accept(self, now: float, version: int) -> bool:
        """Note an accepted version; tell whether it is a newer one."""
        if version <= self._accepted_version:
            return False
        self._accepted_version = version
        self._accepted.append((now, version))
        return True

    def settle(self, now: float) -> bool:
        """Forget settled maps; tell whether gains may follow."""
        settled = self._settled
        while self._accepted and self._accepted[0][0] + self._lapse_s <= now:
            settled = self._accepted.popleft()[1]
        if settled == self._settled:
            return False
        self._settled = settled
        while self._steps and self._steps[0].version <= settled:
            self._steps.popleft()
        self._released = {
            key: version
            for key, version in self._released.items()
            if version > settled
        }
        return True

    def release(self, sender: str, version: int, servers: Iterable[str]):
        """Note that a gateway uses no more than its shares of a version."""
        if version <= self._settled:
            return
        for server in servers:
            known = self._released.get((server, sender), 0)
            self._released[server, sender] = max(known, version)

    def allowed(self, server: BackendServer) -> Limits:
        """Return the limits that this gateway may use now.

        A gateway that already uses more, up to its share of the current
        map, keeps it: the bounds of the other gateways count that share.
        """
        if self._known_from > self._settled:
            return NOTHING
        settled = self._least(server.id, self._settled)
        accepted = self._least(server.id, self._accepted_version)
        if accepted == settled:
            return settled
        return settled.raised(accepted.capped(self._unused(server)))

    def _least(self, server_id: str, version: int) -> Limits:
        """Return the node's least share in the maps since a version."""
        least = limits_of(self.current.shares.get(server_id, ()), self._node_id)
        for shares in self._since(server_id, version):
            least = least.capped(limits_of(shares, self._node_id))
        return least

    def _unused(self, server: BackendServer) -> Limits:
        """Return what no other gateway of a server may be using."""
        others = {one.gateway for one in self._shares(server.id, self._settled)}
        others.discard(self._node_id)
        bounds = [self._bound(server.id, gateway) for gateway in others]
        left = Limits(server.slots, server.connections, server.cold_slots)
        return Limits(
            *(
                max(0, limit - sum(bound[index] for bound in bounds))
                for index, limit in enumerate(left)
            )
        )

    def _bound(self, server_id: str, gateway: str) -> Limits:
        floor = self._released.get((server_id, gateway), 0)
        if floor > self.current.version:
            # The sender may use its share of a map that this node lacks.
            floor = 0
        floor = max(floor, self._settled)
        bound = NOTHING
        for share in self._shares(server_id, floor):
            if share.gateway == gateway:
                bound = bound.raised(
                    Limits(share.slots, share.connections, share.cold_slots)
                )
        return bound

    def _shares(self, server_id: str, version: int) -> Iterator[Share]:
        yield from self.current.shares.get(server_id, ())
        for shares in self._since(server_id, version):
            yield from shares

    def _since(
        self, server_id: str, version: int
    ) -> Iterator[tuple[Share, ...]]:
        """Yield replaced shares that were in force at a version or later."""
        for step in self._steps:
            if step.version > version and server_id in step.before:
                yield step.before[server_id]


def _replaced(old: Assignment, new: Assignment) -> dict[str, tuple[Share, ...]]:
    before = {
        server_id: shares
        for server_id, shares in old.shares.items()
        if new.shares.get(server_id, ()) != shares
    }
    added = new.shares.keys() - old.shares.keys()
    before.update((server_id, ()) for server_id in added)
    return before
