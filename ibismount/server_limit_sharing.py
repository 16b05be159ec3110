"""Share the limits that backend servers state between nodes."""

import dataclasses

from ibismount.server_limits import ServerLimits, StatedLimit
from ibismount.shared_state import SharedState

__all__ = ('ServerLimitSharing', 'ServerLimitsUpdate')

# Time after which a limit that servers go on stating is told again, in seconds.
REFRESH_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimitsUpdate:
    """Limits that servers stated; ``stated_at`` is an age in seconds."""

    limits: tuple[StatedLimit, ...]


class ServerLimitSharing(SharedState):
    """Pass on the limits that a node reads in answers or hears of.

    A node without a permit for a server gets no answer from it, so others
    must tell it that a limit still holds, changed or ended.

    Args:
        limits: The limits that the node knows.
    """

    message_type = ServerLimitsUpdate

    def __init__(self, limits: ServerLimits) -> None:
        """Start with nothing to pass on."""
        self._limits = limits
        # What was last passed on, by server.
        self._announced: dict[str, StatedLimit] = {}

    def make_snapshot(self, now: float) -> ServerLimitsUpdate | None:
        """Return all limits, and the ends of limits, that are known."""
        return _make_update(now, self._limits.standing())

    def merge(self, now: float, message: ServerLimitsUpdate) -> None:
        """Apply what another node knows."""
        for limit in message.limits:
            self._limits.merge(_convert_time(now, limit))

    def take_outgoing(self, now: float) -> ServerLimitsUpdate | None:
        """Return the limits that changed, or that were not told for long."""
        if self._limits.is_empty:
            self._announced.clear()
            return None
        standing = {limit.server_id: limit for limit in self._limits.standing()}
        self._announced = {
            server_id: limit
            for server_id, limit in self._announced.items()
            if server_id in standing
        }
        due = [limit for limit in standing.values() if self._is_due(limit)]
        self._announced.update((limit.server_id, limit) for limit in due)
        return _make_update(now, due)

    def _is_due(self, limit: StatedLimit) -> bool:
        announced = self._announced.get(limit.server_id)
        if announced is None:
            return limit.rate is not None
        if announced.rate != limit.rate:
            return True
        return (
            limit.rate is not None
            and limit.stated_at - announced.stated_at >= REFRESH_S
        )


def _make_update(
    now: float, limits: list[StatedLimit]
) -> ServerLimitsUpdate | None:
    if not limits:
        return None
    return ServerLimitsUpdate(
        tuple(_convert_time(now, limit) for limit in limits)
    )


def _convert_time(now: float, limit: StatedLimit) -> StatedLimit:
    """Turn the time of a limit into an age, or an age into a time."""
    return dataclasses.replace(limit, stated_at=now - limit.stated_at)
