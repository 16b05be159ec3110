"""Decide whether and where a shard is sent again."""

import dataclasses
from typing import NamedTuple

from ibismount._dispatch import Attempt
from ibismount.assignment import Assignment
from ibismount.errors import ErrorCode
from ibismount.load_tracker import LoadTracker, Target
from ibismount.messages import ItemReply
from ibismount.planning import Exclusions

__all__ = ('Fault', 'RetryOptions', 'ShardState', 'classify', 'note_fault')

# Refusals that speak for the gateway only; another gateway of the same
# backend server may still take the work.
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
# Refusals that no other target would answer differently.
_FINAL_CODES = frozenset((ErrorCode.QUARANTINED, ErrorCode.BAD_REQUEST))
# The gateway itself is out of use for a while, for all its servers.
_GATEWAY_DOWN = frozenset(
    (
        ErrorCode.UNCONFIRMED,
        ErrorCode.SHUTTING_DOWN,
        ErrorCode.VM_OUT,
        ErrorCode.LINK_LOST,
        ErrorCode.PEER_REFUSED,
    )
)
# The gateway takes no work for this one server for a while.
_PAIR_DOWN = frozenset(
    (ErrorCode.NO_SHARE, ErrorCode.BACKEND_COLD, ErrorCode.BACKEND_EJECTED)
)
# Other gateways of the server are asked only after a pause.
_SERVER_DOWN = frozenset((ErrorCode.NO_SHARE, ErrorCode.BACKEND_EJECTED))


@dataclasses.dataclass(frozen=True, slots=True)
class RetryOptions:
    """Bounds for each shard; times in seconds."""

    # Retries after an end at a backend server.
    server_retries: int = 2
    # A refusal by a gateway costs no backend work, so it is bounded for each
    # round only, and busy targets are asked again after a pause.
    gateway_retries: int = 2
    least_pause_s: float = 0.01
    most_pause_s: float = 0.2


@dataclasses.dataclass(slots=True)
class ShardState:
    """What happened to one shard of a search so far."""

    name: str
    active: list[Attempt] = dataclasses.field(default_factory=list)
    exclusions: Exclusions = dataclasses.field(default_factory=Exclusions)
    # Servers excluded for the moment only; asked again after a pause.
    shedding: set[str] = dataclasses.field(default_factory=set)
    server_retries: int = 0
    gateway_retries: int = 0
    pauses: int = 0
    hedges: int = 0
    waiting: bool = False
    ended: bool = False

    @property
    def open(self) -> bool:
        """Tell whether an answer may still come."""
        return self.waiting or bool(self.active)

    def may_retry(self, fault: 'Fault', options: RetryOptions) -> bool:
        """Count a retry; False when its bound is reached."""
        if fault.final:
            return False
        if fault.at_server:
            self.server_retries += 1
            return self.server_retries <= options.server_retries
        self.gateway_retries += 1
        return True

    def pause(self, options: RetryOptions) -> float | None:
        """Allow busy targets again and return the pause in seconds.

        Returns:
            None when every target is excluded for good.
        """
        if not self.exclusions.pairs and not self.shedding:
            return None
        self.exclusions.pairs.clear()
        self.exclusions.servers -= self.shedding
        self.shedding.clear()
        self.gateway_retries = 0
        pause_s = options.least_pause_s * 2**self.pauses
        self.pauses += 1
        return min(options.most_pause_s, pause_s)


class Fault(NamedTuple):
    """Why an attempt ended without an answer."""

    code: ErrorCode | None
    # The end came from the backend server, not from a gateway or link.
    at_server: bool
    lost: bool
    # No other target would answer differently.
    final: bool


def classify(reply: ItemReply) -> Fault:
    """Tell what a reply without a usable answer means for retries."""
    code = reply.cause.code if reply.cause else None
    return Fault(
        code,
        at_server=code not in GATEWAY_CODES,
        lost=reply.server_lost,
        final=code in _FINAL_CODES,
    )


def note_fault(
    shard: ShardState,
    target: Target,
    fault: Fault,
    *,
    load: LoadTracker,
    assignment: Assignment,
    snapshot_id: str,
    now: float,
) -> None:
    """Exclude a target for its shard and make other requests avoid it."""
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
        shard.shedding.add(server_id)
    if fault.code is ErrorCode.SNAPSHOT_NOT_HELD:
        load.record_missing_snapshot(now, server_id, snapshot_id)
    elif fault.code in _GATEWAY_DOWN:
        load.block(now, '', target.gateway)
    elif fault.code in _PAIR_DOWN:
        load.block(now, server_id, target.gateway)
        # The other gateways of the server are likely to refuse as well.
        load.record_refusal(now, target, whole_server=True)
    if fault.code in _SERVER_DOWN:
        shard.exclusions.servers.add(server_id)
        shard.shedding.add(server_id)
    if fault.code is ErrorCode.BACKEND_COLD:
        # While a server is cold, only its primary takes work.
        secondary = assignment.gateways(server_id)[1:]
        shard.exclusions.pairs.update((server_id, one) for one in secondary)
