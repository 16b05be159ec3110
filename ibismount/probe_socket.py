"""Probes between the edge nodes: their times, and the socket that carries them."""

import asyncio
from collections.abc import Callable

from ibismount.logs import part_logger
from ibismount.membership import MembershipOptions
from ibismount.peer_frames import FrameError, decode_probe
from ibismount.probe_messages import ProbeMessage

__all__ = ('PROBE_OPTIONS', 'ProbeSocket', 'probe_period_s')

log = part_logger('peers')

# Short timeouts: a suspected node is merely withheld from callers, so a false
# suspicion costs little.
PROBE_OPTIONS = MembershipOptions(
    period_s=0.4,
    probe_timeout_s=0.12,
    suspicion_timeout_s=1.2,
    pause_threshold_s=0.6,
    periods_per_dead_probe=3,
    forget_after_s=600,
)

# Above this number of nodes the probe period grows with the fleet, up to the
# maximum: more nodes then probe each node, and the traffic of all probes costs
# money.
BASE_PERIOD_NODES = 30
MAX_PROBE_PERIOD_S = 1.2


def probe_period_s(nodes: int) -> float:
    """Return the time between two probes that a node sends, in seconds.

    Args:
        nodes: Number of live nodes.
    """
    period_s = PROBE_OPTIONS.period_s * max(1, nodes / BASE_PERIOD_NODES)
    return round(min(MAX_PROBE_PERIOD_S, period_s), 1)


class ProbeSocket(asyncio.DatagramProtocol):
    """UDP socket that sends and receives probes.

    Args:
        on_probe: Gets the id of the sender and the message of each valid probe.
    """

    def __init__(self, on_probe: Callable[[str, ProbeMessage], None]) -> None:
        """Start without a transport."""
        self._on_probe = on_probe
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a probe; ignore invalid datagrams, which anyone can send."""
        try:
            sender, message = decode_probe(data)
        except FrameError as exc:
            log.warning(
                'datagram ignored: not a valid probe',
                extra={'peer': addr[0], 'reason': str(exc)},
            )
            return
        self._on_probe(sender, message)

    def error_received(self, exc: OSError) -> None:
        """Log a refused datagram; the probe then times out."""
        log.debug('probe refused by the peer host', extra={'reason': str(exc)})

    def send(self, host: str, port: int, raw: bytes) -> None:
        """Send one datagram."""
        self._transport.sendto(raw, (host, port))
