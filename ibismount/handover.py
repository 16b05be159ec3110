"""Decide when a gateway may use a share that another one had before."""

from collections import deque
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from ibismount.assignment import Assignment, Share
from ibismount.catalog import BackendServer

__all__ = ('Handover', 'Limits', 'ZERO_LIMITS', 'limits_of_gateway')

# Without acceptance, for example while regions are cut off from each other,
# maps pile up. Beyond this many the oldest are forgotten; gains then wait
# until the forgotten maps are settled.
MAX_TRANSITIONS = 64


class Limits(NamedTuple):
    """What one gateway may use of one backend server at once."""

    slots: int
    connections: int
    cold_slots: int

    def min_with(self, other: 'Limits') -> 'Limits':
        """Return the smaller value of each limit."""
        return Limits(*map(min, self, other))

    def max_with(self, other: 'Limits') -> 'Limits':
        """Return the greater value of each limit."""
        return Limits(*map(max, self, other))


ZERO_LIMITS = Limits(0, 0, 0)


def limits_of_gateway(shares: Iterable[Share], gateway: str) -> Limits:
    """Return a gateway's part of a backend server's shares."""
    for share in shares:
        if share.gateway == gateway:
            return Limits(share.slots, share.connections, share.cold_slots)
    return ZERO_LIMITS


class _Transition(NamedTuple):
    """What the map of ``version`` replaced."""

    version: int
    replaced: dict[str, tuple[Share, ...]]


class Handover:
    """Bound what other gateways may still use of a backend server.

    A version is settled when ``lapse_s`` passed since this node learned that
    it is accepted. By then every node that acts holds it, and work sent
    under older maps has ended. A gateway therefore uses no more than the
    greatest share that it has in the maps since the settled one, or since
    the one that it sent a release for.
    """

    def __init__(self, node_id: str, *, settle_delay_s: float) -> None:
        """Start without a map; all earlier maps are unknown."""
        self.current = Assignment()
        self._node_id = node_id
        self._settle_delay_s = settle_delay_s
        self._transitions: deque[_Transition] = deque()
        # Maps before this version are unknown.
        self._first_known_version = 0
        self._unsettled_acceptances: deque[tuple[float, int]] = deque()
        self._accepted_version = 0
        self._settled_version = -1
        self._released: dict[tuple[str, str], int] = {}

    def reset(self, assignment: Assignment) -> None:
        """Take a map whose predecessors this node has not seen."""
        self._transitions.clear()
        self._first_known_version = assignment.version
        self.current = assignment

    def advance_to(self, assignment: Assignment) -> None:
        """Take the map that follows the current one."""
        replaced = _find_replaced_shares(self.current, assignment)
        if replaced:
            self._transitions.append(_Transition(assignment.version, replaced))
        self.current = assignment
        if len(self._transitions) > MAX_TRANSITIONS:
            self._first_known_version = self._transitions.popleft().version

    def record_accepted(self, now: float, version: int) -> bool:
        """Note an accepted version; tell whether it is a newer one."""
        if version <= self._accepted_version:
            return False
        self._accepted_version = version
        self._unsettled_acceptances.append((now, version))
        return True

    def advance_settled(self, now: float) -> bool:
        """Forget settled maps; tell whether gains may follow."""
        settled = self._settled_version
        while (
            self._unsettled_acceptances
            and self._unsettled_acceptances[0][0] + self._settle_delay_s <= now
        ):
            settled = self._unsettled_acceptances.popleft()[1]
        if settled == self._settled_version:
            return False
        self._settled_version = settled
        while self._transitions and self._transitions[0].version <= settled:
            self._transitions.popleft()
        self._released = {
            key: version
            for key, version in self._released.items()
            if version > settled
        }
        return True

    def record_release(self, sender: str, version: int, servers: Iterable[str]):
        """Note that a gateway uses no more than its shares of a version."""
        if version <= self._settled_version:
            return
        for server in servers:
            recorded_version = self._released.get((server, sender), 0)
            self._released[server, sender] = max(recorded_version, version)

    def allowed_limits(self, server: BackendServer) -> Limits:
        """Return the limits that this gateway may use now.

        A gateway that already uses more, up to its share of the current
        map, keeps it: the bounds of the other gateways count that share.
        """
        if self._first_known_version > self._settled_version:
            return ZERO_LIMITS
        settled = self._min_own_limits(server.id, self._settled_version)
        accepted = self._min_own_limits(server.id, self._accepted_version)
        if accepted == settled:
            return settled
        return settled.max_with(
            accepted.min_with(self._unused_by_others(server))
        )

    def _min_own_limits(self, server_id: str, version: int) -> Limits:
        """Return the node's least share in the maps since a version."""
        least = limits_of_gateway(
            self.current.shares.get(server_id, ()), self._node_id
        )
        for shares in self._replaced_since(server_id, version):
            least = least.min_with(limits_of_gateway(shares, self._node_id))
        return least

    def _unused_by_others(self, server: BackendServer) -> Limits:
        """Return what no other gateway of a server may be using."""
        others = {
            share.gateway
            for share in self._shares_since(server.id, self._settled_version)
        }
        others.discard(self._node_id)
        others_limits = [
            self._max_limits_of(server.id, gateway) for gateway in others
        ]
        server_limits = Limits(
            server.slots, server.connections, server.cold_slots
        )
        return Limits(
            *(
                max(0, limit - sum(used[index] for used in others_limits))
                for index, limit in enumerate(server_limits)
            )
        )

    def _max_limits_of(self, server_id: str, gateway: str) -> Limits:
        since_version = self._released.get((server_id, gateway), 0)
        if since_version > self.current.version:
            # The sender may use its share of a map that this node lacks.
            since_version = 0
        since_version = max(since_version, self._settled_version)
        max_limits = ZERO_LIMITS
        for share in self._shares_since(server_id, since_version):
            if share.gateway == gateway:
                max_limits = max_limits.max_with(
                    Limits(share.slots, share.connections, share.cold_slots)
                )
        return max_limits

    def _shares_since(self, server_id: str, version: int) -> Iterator[Share]:
        yield from self.current.shares.get(server_id, ())
        for shares in self._replaced_since(server_id, version):
            yield from shares

    def _replaced_since(
        self, server_id: str, version: int
    ) -> Iterator[tuple[Share, ...]]:
        """Yield replaced shares that were in force at a version or later."""
        for transition in self._transitions:
            if (
                transition.version > version
                and server_id in transition.replaced
            ):
                yield transition.replaced[server_id]


def _find_replaced_shares(
    old: Assignment, new: Assignment
) -> dict[str, tuple[Share, ...]]:
    replaced = {
        server_id: shares
        for server_id, shares in old.shares.items()
        if new.shares.get(server_id, ()) != shares
    }
    added = new.shares.keys() - old.shares.keys()
    replaced.update((server_id, ()) for server_id in added)
    return replaced
