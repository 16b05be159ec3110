"""Decide whether a shard is sent again, and which targets to avoid."""

import dataclasses
from typing import NamedTuple

from ibismount._dispatch import Attempt
from ibismount.assignment import Assignment
from ibismount.errors import ErrorCode
from ibismount.load_tracker import LoadTracker, Target
from ibismount.messages import ItemReply
from ibismount.planning import Exclusions

__all__ = (
    'Fault',
    'RetryOptions',
    'ShardState',
    'classify_reply',
    'record_fault',
)

# Refusals that concern one gateway only; another gateway of the same backend
# server may still accept the work.
GATEWAY_CODES = frozenset(
    (
        ErrorCode.UNCONFIRMED,
        ErrorCode.SHUTTING_DOWN,
        ErrorCode.VM_OUT,
        ErrorCode.NO_SHARE,
        ErrorCode.GATEWAY_BUSY,
        ErrorCode.BACKEND_COLD,
        ErrorCode.BACKEND_EJECTED,
        ErrorCode.DEADLINE_HOPELESS,
        ErrorCode.LINK_LOST,
        ErrorCode.PEER_REFUSED,
    )
)
# Refusals that every other target would repeat.
_FINAL_REFUSALS = frozenset((ErrorCode.QUARANTINED, ErrorCode.BAD_REQUEST))
# The gateway is unavailable for a while, for all its servers.
_GATEWAY_UNAVAILABLE = frozenset(
    (
        ErrorCode.UNCONFIRMED,
        ErrorCode.SHUTTING_DOWN,
        ErrorCode.VM_OUT,
        ErrorCode.LINK_LOST,
        ErrorCode.PEER_REFUSED,
    )
)
# The gateway is unavailable for a while, for this one server.
_PAIR_UNAVAILABLE = frozenset(
    (ErrorCode.NO_SHARE, ErrorCode.BACKEND_COLD, ErrorCode.BACKEND_EJECTED)
)
# Other gateways of the server are tried only after a pause.
_SERVER_UNAVAILABLE = frozenset((ErrorCode.NO_SHARE, ErrorCode.BACKEND_EJECTED))


@dataclasses.dataclass(frozen=True, slots=True)
class RetryOptions:
    """Bounds for each shard; times in seconds."""

    # Retries after a failure at a backend server.
    max_server_retries: int = 2
    # A refusal by a gateway costs no backend work, so these retries are
    # bounded only between two pauses; busy targets are tried again after one.
    max_gateway_retries: int = 2
    min_pause_s: float = 0.01
    max_pause_s: float = 0.2


@dataclasses.dataclass(slots=True)
class ShardState:
    """Attempts, retries and exclusions of one shard of a search."""

    name: str
    active: list[Attempt] = dataclasses.field(default_factory=list)
    exclusions: Exclusions = dataclasses.field(default_factory=Exclusions)
    # Excluded servers that are tried again after a pause.
    paused_servers: set[str] = dataclasses.field(default_factory=set)
    server_retries: int = 0
    gateway_retries: int = 0
    pause_count: int = 0
    hedges: int = 0
    queued: bool = False
    ended: bool = False

    @property
    def open(self) -> bool:
        """Tell whether an answer may still come."""
        return self.queued or bool(self.active)

    def count_retry(self, fault: 'Fault', options: RetryOptions) -> bool:
        """Count a retry; return False when the shard may not be retried."""
        if fault.final:
            return False
        if fault.at_server:
            self.server_retries += 1
            return self.server_retries <= options.max_server_retries
        self.gateway_retries += 1
        return True

    def start_pause(self, options: RetryOptions) -> float | None:
        """Allow busy targets again after a pause.

        Returns:
            The pause in seconds, or None when all exclusions are permanent.
        """
        if not self.exclusions.pairs and not self.paused_servers:
            return None
        self.exclusions.pairs.clear()
        self.exclusions.servers -= self.paused_servers
        self.paused_servers.clear()
        self.gateway_retries = 0
        pause_s = options.min_pause_s * 2**self.pause_count
        self.pause_count += 1
        return min(options.max_pause_s, pause_s)


class Fault(NamedTuple):
    """Why an attempt ended without an answer."""

    code: ErrorCode | None
    # The attempt failed at the backend server, not at a gateway or link.
    at_server: bool
    server_lost: bool
    # Every other target would fail in the same way.
    final: bool


def classify_reply(reply: ItemReply) -> Fault:
    """Classify a reply without a usable answer for retries."""
    code = reply.cause.code if reply.cause else None
    return Fault(
        code,
        at_server=code not in GATEWAY_CODES,
        server_lost=reply.server_lost,
        final=code in _FINAL_REFUSALS,
    )


def record_fault(
    shard: ShardState,
    target: Target,
    fault: Fault,
    *,
    load: LoadTracker,
    assignment: Assignment,
    now: float,
) -> None:
    """Exclude a failed target for its shard; make other requests avoid it."""
    server_id = target.server.id
    if fault.code is ErrorCode.BACKEND_LOST:
        load.record_loss(now, target)
    else:
        load.record_refusal(now, target, whole_server=fault.at_server)
    if fault.at_server:
        shard.exclusions.servers.add(server_id)
    else:
        shard.exclusions.pairs.add((server_id, target.gateway))
    if fault.code is ErrorCode.BACKEND_SHED:
        shard.paused_servers.add(server_id)
    if fault.code in _GATEWAY_UNAVAILABLE:
        load.block(now, '', target.gateway)
    elif fault.code in _PAIR_UNAVAILABLE:
        load.block(now, server_id, target.gateway)
        # The other gateways of the server are likely to refuse as well.
        load.record_refusal(now, target, whole_server=True)
    if fault.code in _SERVER_UNAVAILABLE:
        shard.exclusions.servers.add(server_id)
        shard.paused_servers.add(server_id)
    if fault.code is ErrorCode.BACKEND_COLD:
        # A cold server gets work from its primary gateway only.
        secondary = assignment.gateways(server_id)[1:]
        shard.exclusions.pairs.update(
            (server_id, gateway) for gateway in secondary
        )
