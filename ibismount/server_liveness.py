"""Tell a backend server that ended from one that lost a single connection."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Protocol

from ibismount.logs import part_logger
from ibismount.server_table import Server

__all__ = ('LivenessOptions', 'ReachabilityProbe', 'ServerLiveness')

log = part_logger('dispatch')


@dataclasses.dataclass(frozen=True, slots=True)
class LivenessOptions:
    """Times in seconds."""

    # All connections to a server that ended are lost within this time after
    # the first one. Most requests that it had are answered elsewhere by then.
    check_delay_s: float = 0.2


_DEFAULTS = LivenessOptions()


class ReachabilityProbe(Protocol):
    """Checks whether a server can be reached."""

    async def is_reachable(self, address: tuple[str, int]) -> bool:
        """Return whether a connection is open or can be opened."""


@dataclasses.dataclass(slots=True)
class _Check:
    """A check under way, and what ran on the server at the loss."""

    server: Server
    lost_at: float
    # Times at which the requests were sent, by fingerprint.
    running: dict[str, float]
    task: asyncio.Task | None = None


class ServerLiveness:
    """Find out which servers ended, and which requests ran on them.

    A lost connection alone is no evidence that its server ended: servers and
    networks also reset single connections. A server has ended if all of its
    connections are lost and a new one can't be opened.

    Args:
        probe: Checks whether a server can be reached.
        on_ended: Called with a server that ended, the times at which the
            requests that ran on it were sent, by fingerprint, and the time of
            the loss. Requests that were answered since are left out.
        options: Times.
    """

    def __init__(
        self,
        probe: ReachabilityProbe,
        on_ended: Callable[[Server, dict[str, float], float], None],
        options: LivenessOptions = _DEFAULTS,
    ) -> None:
        """Start without checks."""
        self._probe = probe
        self._on_ended = on_ended
        self._options = options
        self._checks: dict[str, _Check] = {}

    @property
    def is_checking(self) -> bool:
        """Return whether a check is under way."""
        return bool(self._checks)

    def has_check_for(self, fingerprint: str) -> bool:
        """Return whether a server that had a request is being checked."""
        return any(
            fingerprint in check.running for check in self._checks.values()
        )

    def record_loss(
        self, server: Server, fingerprint: str, sent_at: float
    ) -> None:
        """Check a server that broke the connection of a request it had.

        Args:
            server: The server.
            fingerprint: Fingerprint of the request.
            sent_at: When it was sent, in seconds.
        """
        check = self._checks.get(server.id)
        if check is not None:
            check.running[fingerprint] = sent_at
            return
        loop = asyncio.get_running_loop()
        check = _Check(server, loop.time(), {fingerprint: sent_at})
        self._checks[server.id] = check
        loop.call_later(self._options.check_delay_s, self._start, check)

    def record_answer(self, server: Server, fingerprint: str) -> None:
        """Note that another server of the service answered a request."""
        for check in self._checks.values():
            if check.server.service == server.service:
                check.running.pop(fingerprint, None)

    def _start(self, check: _Check) -> None:
        check.task = asyncio.get_running_loop().create_task(self._run(check))

    async def _run(self, check: _Check) -> None:
        server = check.server
        try:
            reachable = await self._probe.is_reachable(
                (server.host, server.port)
            )
        finally:
            self._checks.pop(server.id)
        if not reachable:
            self._on_ended(server, check.running, check.lost_at)
            return
        log.info(
            'backend server that broke a connection can be reached',
            extra={
                'server': server.id,
                'service': server.service,
                'incarnation': server.incarnation,
                'fingerprints': sorted(check.running),
            },
        )
