"""Decide when a gateway may use a share that another gateway had before."""

from collections import deque
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from ibismount.assignment import Assignment, Share
from ibismount.catalog import BackendServer

__all__ = ('Handover', 'Limits', 'ZERO_LIMITS', 'limits_of_gateway')

# Transitions accumulate while no version is accepted, for example while
# regions are partitioned. Beyond this many the oldest are dropped, and shares
# are gained only once the dropped versions are settled.
MAX_TRANSITIONS = 64


class Limits(NamedTuple):
    """Limits of one gateway's concurrent use of one backend server."""

    slots: int
    connections: int
    cold_slots: int

    def min_with(self, other: 'Limits') -> 'Limits':
        """Return the element-wise minimum."""
        return Limits(*map(min, self, other))

    def max_with(self, other: 'Limits') -> 'Limits':
        """Return the element-wise maximum."""
        return Limits(*map(max, self, other))


ZERO_LIMITS = Limits(0, 0, 0)


def limits_of_gateway(shares: Iterable[Share], gateway: str) -> Limits:
    """Return the limits of a gateway in a backend server's shares."""
    for share in shares:
        if share.gateway == gateway:
            return Limits(share.slots, share.connections, share.cold_slots)
    return ZERO_LIMITS


class _Transition(NamedTuple):
    """Shares by server that the assignment of ``version`` replaced."""

    version: int
    replaced: dict[str, tuple[Share, ...]]


class Handover:
    """Bound what other gateways may still use of a backend server.

    A version is settled ``settle_delay_s`` after this node received its
    acceptance. By then every active node has applied it, and work sent under
    older assignments has ended. A gateway therefore uses no more than its
    largest share since the settled version, or since the version for which
    it sent a release.
    """

    def __init__(self, node_id: str, *, settle_delay_s: float) -> None:
        """Start with an empty assignment; earlier ones are unknown."""
        self.current = Assignment()
        self._node_id = node_id
        self._settle_delay_s = settle_delay_s
        self._transitions: deque[_Transition] = deque()
        # Assignments before this version are unknown.
        self._first_known_version = 0
        self._unsettled_acceptances: deque[tuple[float, int]] = deque()
        self._accepted_version = 0
        self._settled_version = -1
        self._released: dict[tuple[str, str], int] = {}

    def reset(self, assignment: Assignment) -> None:
        """Apply an assignment after a gap in the versions."""
        self._transitions.clear()
        self._first_known_version = assignment.version
        self.current = assignment

    def advance_to(self, assignment: Assignment) -> None:
        """Apply the assignment that follows the current one."""
        replaced = _find_replaced_shares(self.current, assignment)
        if replaced:
            self._transitions.append(_Transition(assignment.version, replaced))
        self.current = assignment
        if len(self._transitions) > MAX_TRANSITIONS:
            self._first_known_version = self._transitions.popleft().version

    def record_accepted(self, now: float, version: int) -> bool:
        """Record an accepted version; return whether it is newer."""
        if version <= self._accepted_version:
            return False
        self._accepted_version = version
        self._unsettled_acceptances.append((now, version))
        return True

    def advance_settled(self, now: float) -> bool:
        """Drop settled transitions; return whether the settled version rose."""
        settled_version = self._settled_version
        while (
            self._unsettled_acceptances
            and self._unsettled_acceptances[0][0] + self._settle_delay_s <= now
        ):
            settled_version = self._unsettled_acceptances.popleft()[1]
        if settled_version == self._settled_version:
            return False
        self._settled_version = settled_version
        while (
            self._transitions
            and self._transitions[0].version <= settled_version
        ):
            self._transitions.popleft()
        self._released = {
            key: version
            for key, version in self._released.items()
            if version > settled_version
        }
        return True

    def record_release(self, sender: str, version: int, servers: Iterable[str]):
        """Record that a gateway uses at most its shares of a version."""
        if version <= self._settled_version:
            return
        for server in servers:
            recorded_version = self._released.get((server, sender), 0)
            self._released[server, sender] = max(recorded_version, version)

    def allowed_limits(self, server: BackendServer) -> Limits:
        """Return the limits that this gateway may use now.

        A gateway that already uses more, up to its share of the current
        assignment, keeps it, because the other gateways count that share as
        used.
        """
        if self._first_known_version > self._settled_version:
            return ZERO_LIMITS
        settled_limits = self._min_own_limits(server.id, self._settled_version)
        accepted_limits = self._min_own_limits(
            server.id, self._accepted_version
        )
        if accepted_limits == settled_limits:
            return settled_limits
        return settled_limits.max_with(
            accepted_limits.min_with(self._unused_by_others(server))
        )

    def _min_own_limits(self, server_id: str, version: int) -> Limits:
        """Return this node's smallest share since a version."""
        min_limits = limits_of_gateway(
            self.current.shares.get(server_id, ()), self._node_id
        )
        for shares in self._replaced_since(server_id, version):
            min_limits = min_limits.min_with(
                limits_of_gateway(shares, self._node_id)
            )
        return min_limits

    def _unused_by_others(self, server: BackendServer) -> Limits:
        """Return the limits that no other gateway may be using."""
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
            # The sender may use a share of a newer, still unknown assignment.
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
        """Yield the replaced shares that were in force since a version."""
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
