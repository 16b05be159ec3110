"""Count the bytes that this node exchanges, by cause and availability zone.

Traffic between zones is billed. The counts tell operators which work of the
nodes causes it.
"""

import collections
import enum

__all__ = ('TrafficKind', 'ZoneTraffic')


class TrafficKind(enum.Enum):
    """What bytes are exchanged for."""

    # First attempts at backend servers, and their answers.
    FIRST_ATTEMPT = 'first_attempt'
    # Hedges and retries, and their answers.
    EXTRA_ATTEMPT = 'extra_attempt'
    # Changes, snapshots and heartbeats that are sent to other nodes.
    VIEW = 'view'
    # Probes that are sent to other nodes.
    PROBE = 'probe'


class ZoneTraffic:
    """Count bytes of application data, without headers of TCP, UDP and IP.

    Args:
        zone: The node's own availability zone.

    Example::

        traffic = ZoneTraffic('zone-a')
        traffic.add(TrafficKind.VIEW, 'zone-b', 300)
        traffic.bytes_by_cause()  # {('view', 'other'): 300}
    """

    def __init__(self, zone: str) -> None:
        """Start at zero."""
        self._zone = zone
        self._bytes: collections.Counter[tuple[TrafficKind, str]] = (
            collections.Counter()
        )

    def add(self, kind: TrafficKind, zone: str, size: int) -> None:
        """Count bytes.

        Args:
            kind: What they are exchanged for.
            zone: Availability zone of the other side; empty if unknown.
            size: Number of bytes.
        """
        self._bytes[kind, zone] += size

    def bytes_by_cause(self) -> dict[tuple[str, str], int]:
        """Return the bytes by cause and by ``own``, ``other`` or ``unknown``."""
        totals: collections.Counter[tuple[str, str]] = collections.Counter()
        for (kind, zone), size in self._bytes.items():
            totals[kind.value, self._relation(zone)] += size
        return dict(totals)

    def _relation(self, zone: str) -> str:
        if not zone:
            return 'unknown'
        return 'own' if zone == self._zone else 'other'
