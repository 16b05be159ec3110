"""Checks of what backend servers saw in a run of the soak."""

import dataclasses
import itertools
from collections.abc import Iterable, Mapping

from standins.shard_server import ShardServer, StatementKind

__all__ = ('NodeHistory', 'SentAttempt', 'check_crashes', 'check_statements')

# Bounds of the users' platform. Nodes are up to date again after this time, in
# seconds, without a fault of the store.
CONTACT_S = 4.0
DRAIN_TIMEOUT_S = 3.0
# Time in which a node may not yet act on what it was told.
REACTION_S = 0.5
MAX_REQUESTS_IN_PAUSE = 2
# Once a request has ended three servers, and after `CONTACT_S` more, at most this
# many further tries of it may reach servers.
MAX_CRASH_RETRIES = 3
# From `CONTACT_S` after a server first stated a limit, it may get this many times
# what the limit allows, and this many requests more, in any window in seconds.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5


@dataclasses.dataclass(frozen=True, slots=True)
class SentAttempt:
    """An attempt of a caller; ``sent_at`` is in seconds of the loop's clock."""

    node: str
    sent_at: float


class NodeHistory:
    """Which caller attempts went to which node, and when nodes were disturbed.

    A restart or a pause of a node excuses it for what it was told before.
    """

    def __init__(self) -> None:
        """Start without attempts."""
        self.attempts: dict[str, SentAttempt] = {}
        self._disturbances: list[tuple[str, float]] = []

    def disturb(self, node: str, at: float) -> None:
        """Note that a node was stopped, started, paused or continued."""
        self._disturbances.append((node, at))

    def was_disturbed(self, node: str, start: float, end: float) -> bool:
        """Return whether a node was disturbed in a period."""
        return any(
            node == disturbed and start <= at <= end
            for disturbed, at in self._disturbances
        )

    def node_of(self, request_id: str) -> str:
        """Return the node to which a caller sent an attempt."""
        return self.attempts[request_id].node


def check_statements(server: ShardServer, history: NodeHistory) -> list[str]:
    """Return findings on a server that stated something in its answers."""
    findings = []
    for statement in server.statements:
        if statement.kind is StatementKind.PAUSE:
            findings.extend(_check_pause(server, history, statement))
        elif statement.kind is StatementKind.LEAVING:
            findings.extend(_check_leaving(server, history, statement))
    findings.extend(_check_limits(server, history))
    return findings


def _arrivals_from(
    server: ShardServer, history: NodeHistory, node: str
) -> list[tuple[float, str]]:
    return [
        (at, request_id)
        for at, request_id in server.arrivals()
        if history.node_of(request_id) == node
    ]


def _check_pause(server, history, statement) -> Iterable[str]:
    """Check that the node sent at most two requests in a pause."""
    node = history.node_of(statement.request_id)
    start, end = statement.at + REACTION_S, statement.at + statement.number
    if history.was_disturbed(node, statement.at, end):
        return
    count = sum(
        start <= at < end for at, _ in _arrivals_from(server, history, node)
    )
    if count > MAX_REQUESTS_IN_PAUSE:
        yield f'{server.id}: {count} requests of {node} in a pause'


def _check_leaving(server, history, statement) -> Iterable[str]:
    """Check that the node sent no request that came after the drain timeout."""
    node = history.node_of(statement.request_id)
    late_from = statement.at + DRAIN_TIMEOUT_S
    for at, request_id in _arrivals_from(server, history, node):
        sent_at = history.attempts[request_id].sent_at
        if (
            sent_at > late_from
            and at < server.left_until(statement.at)
            and not history.was_disturbed(node, statement.at, at)
        ):
            yield (
                f'{server.id}: {request_id} of {node} arrived '
                f'{at - statement.at:.2f} s after it said it leaves'
            )


def _check_limits(server, history) -> Iterable[str]:
    """Check the requests of all nodes that were told of a limit."""
    limits = [
        item
        for item in server.statements
        if item.kind in {StatementKind.LIMIT, StatementKind.LIMIT_ENDED}
    ]
    for first, last, rate in _limit_periods(limits):
        told: dict[str, float] = {}
        for item in limits:
            if first <= item.at < last:
                told.setdefault(history.node_of(item.request_id), item.at)
        counted = [
            at
            for at, request_id in server.arrivals()
            if first <= at <= last
            and _is_told(history, told, history.node_of(request_id), at)
        ]
        allowed = LIMIT_FACTOR * rate * LIMIT_WINDOW_S + LIMIT_SLACK
        for end in counted:
            in_window = [
                at for at in counted if end - LIMIT_WINDOW_S < at <= end
            ]
            if end >= first + CONTACT_S and len(in_window) > allowed:
                yield f'{server.id}: {len(in_window)} requests over its limit'
                break


def _is_told(
    history: NodeHistory, told: Mapping[str, float], node: str, at: float
) -> bool:
    told_at = told.get(node)
    return (
        told_at is not None
        and told_at + REACTION_S <= at
        and not history.was_disturbed(node, told_at, at)
    )


def _limit_periods(limits) -> Iterable[tuple[float, float, float]]:
    """Yield the periods in which a server stated one limit, and the limit."""
    start = None
    for item, following in itertools.pairwise(limits):
        if item.kind is StatementKind.LIMIT_ENDED:
            continue
        start = start or item
        if (following.kind, following.number) != (item.kind, item.number):
            yield start.at, following.at, item.number
            start = None
    if start is not None:
        yield start.at, limits[-1].at, start.number


def check_crashes(
    crashes: Iterable[tuple[str, float]],
    reached: Mapping[str, float],
    history: NodeHistory,
) -> list[str]:
    """Return a finding if a request that crashes servers went on reaching them.

    Args:
        crashes: Attempts of the request that crashed a server, and when.
        reached: Attempts of the request that reached servers, and when first.
        history: The nodes.
    """
    times = sorted(at for _, at in crashes)
    if len(times) < MAX_CRASH_RETRIES:
        return []
    late_from = times[MAX_CRASH_RETRIES - 1] + CONTACT_S
    late = [
        request_id
        for request_id, at in reached.items()
        if at > late_from
        and not history.was_disturbed(
            history.node_of(request_id), at - CONTACT_S, at
        )
    ]
    if len(late) <= MAX_CRASH_RETRIES:
        return []
    return [f'{len(late)} late tries of a request that crashes servers']
