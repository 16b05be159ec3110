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

    # The first check follows this long after a loss. Other nodes must know of an
    # end before a caller repeats its request there.
    first_check_delay_s: float = 0.003
    # All connections to a server that ended are lost within this time after
    # the first one, so a server that can be reached is checked again then.
    check_delay_s: float = 0.2
    # A server that started again by then is told only by its next entry, which
    # is awaited for this long.
    entry_wait_s: float = 4.0
    entry_poll_s: float = 0.1


_DEFAULTS = LivenessOptions()


class ReachabilityProbe(Protocol):
    """Checks whether a server can be reached."""

    async def is_reachable(self, address: tuple[str, int]) -> bool:
        """Return whether a connection is open or can be opened."""


@dataclasses.dataclass(slots=True, eq=False)
class _Check:
    """A check under way, and what ran on the server at the loss."""

    server: Server
    lost_at: float
    # Times at which the requests were sent, by fingerprint.
    running: dict[str, float]
    ended: bool = False
    task: asyncio.Task | None = None


class ServerLiveness:
    """Find out which servers ended, and which requests ran on them.

    A lost connection alone is no evidence that its server ended: servers and
    networks also reset single connections. A server has ended if all of its
    connections are lost and a new one can't be opened, or if an entry in the
    store names a later lifetime, or another server at its address, soon after.

    Args:
        probe: Checks whether a server can be reached.
        on_ended: Called with a server that ended, the times at which the
            requests that ran on it were sent, by fingerprint, and the time of
            the loss. Requests that were answered since are left out. Called
            again with each request whose connection is lost after the check.
        is_replaced: Returns whether an entry shows that a server has ended.
        options: Times.
    """

    def __init__(
        self,
        probe: ReachabilityProbe,
        on_ended: Callable[[Server, dict[str, float], float], None],
        *,
        is_replaced: Callable[[Server], bool],
        options: LivenessOptions = _DEFAULTS,
    ) -> None:
        """Start without checks."""
        self._probe = probe
        self._on_ended = on_ended
        self._is_replaced = is_replaced
        self._options = options
        # The check of each server, until the server was found to be reachable.
        self._checks: dict[str, _Check] = {}
        # Checks of reachable servers whose next entry is awaited.
        self._awaiting_entry: set[_Check] = set()
        self.ended_count = 0

    @property
    def expects_answers(self) -> bool:
        """Return whether answers may void a loss."""
        return bool(self._checks) or bool(self._awaiting_entry)

    def has_check_for(self, fingerprint: str) -> bool:
        """Return whether a server that had a request is being checked."""
        return any(
            fingerprint in check.running and not check.ended
            for check in self._checks.values()
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
        if check is None:
            loop = asyncio.get_running_loop()
            check = _Check(server, loop.time(), {fingerprint: sent_at})
            self._checks[server.id] = check
            loop.call_later(
                self._options.first_check_delay_s, self._start, check
            )
        elif check.ended:
            self._on_ended(server, {fingerprint: sent_at}, check.lost_at)
        else:
            check.running[fingerprint] = sent_at

    def record_answer(self, server: Server, fingerprint: str) -> None:
        """Note that another server of the service answered a request."""
        for check in (*self._checks.values(), *self._awaiting_entry):
            if check.server.service == server.service:
                check.running.pop(fingerprint, None)

    def _start(self, check: _Check) -> None:
        check.task = asyncio.get_running_loop().create_task(self._run(check))

    async def _run(self, check: _Check) -> None:
        options = self._options
        try:
            await self._probe_server(check)
            await asyncio.sleep(
                options.check_delay_s - options.first_check_delay_s
            )
            if not check.ended:
                await self._probe_server(check)
        finally:
            self._checks.pop(check.server.id)
        if not check.ended:
            await self._await_entry(check)

    async def _probe_server(self, check: _Check) -> None:
        address = (check.server.host, check.server.port)
        if not await self._probe.is_reachable(address):
            self._record_end(check)

    async def _await_entry(self, check: _Check) -> None:
        """Wait for an entry that shows that a reachable server has ended."""
        end_at = asyncio.get_running_loop().time() + self._options.entry_wait_s
        self._awaiting_entry.add(check)
        try:
            while check.running and asyncio.get_running_loop().time() < end_at:
                if self._is_replaced(check.server):
                    self._record_end(check)
                    return
                await asyncio.sleep(self._options.entry_poll_s)
        finally:
            self._awaiting_entry.discard(check)
        log.info(
            'backend server that broke a connection is still there',
            extra={
                'server': check.server.id,
                'service': check.server.service,
                'incarnation': check.server.incarnation,
                'fingerprints': sorted(check.running),
            },
        )

    def _record_end(self, check: _Check) -> None:
        check.ended = True
        self.ended_count += 1
        self._on_ended(check.server, check.running, check.lost_at)
