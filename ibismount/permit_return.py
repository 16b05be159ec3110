"""Return permits once a backend server has stopped the work."""

from collections.abc import Callable

import anyio

from ibismount.backend import BackendClient
from ibismount.capacity import CapacityTable, Permit
from ibismount.catalog import BackendServer
from ibismount.cause import system_cause
from ibismount.errors import ErrorCode, IbismountError
from ibismount.node_view import NodeView
from ibismount.template import MAX_DEADLINE_S

__all__ = ('PermitReturner',)

# A probe opens a connection and closes the idle ones, so the rate is limited
# for a server with many stragglers.
_MIN_PROBE_INTERVAL_S = 1.0


class PermitReturner:
    """Return permits of ended calls, after a probe where work may go on.

    Closing the connection stops the work on a live server. A server that
    does not answer a probe may still be working, so the permit is kept until
    a probe is answered, or for the longest deadline, after which no work can
    still be running.

    Args:
        view: Source of the current time.
        capacity: The table of permits.
        client: Sends probes on new connections.
        journal: Called with the part, a text and ``cause=``.
        probe_timeout_s: Timeout of a probe, in seconds.
    """

    def __init__(
        self,
        view: NodeView,
        capacity: CapacityTable,
        client: BackendClient,
        journal: Callable[..., None],
        *,
        probe_timeout_s: float,
    ) -> None:
        """Start without probes."""
        self._view = view
        self._capacity = capacity
        self._client = client
        self._journal = journal
        self._timeout_s = probe_timeout_s
        self._probes: dict[str, _Probe] = {}
        self._last_answered_at: dict[str, float] = {}

    async def return_permit(
        self, server: BackendServer, permit: Permit, *, probe: bool
    ) -> None:
        """Return a permit, after probing the server if required.

        Args:
            server: The backend server that received the request.
            permit: A permit from `CapacityTable.acquire`.
            probe: Whether the connection may be silent, so that the server
                must answer a probe first.
        """
        lost = False
        give_up_at = self._view.now() + MAX_DEADLINE_S
        pause_s = self._timeout_s
        while probe and not await self._answers_probe(server):
            lost = True
            if self._view.now() >= give_up_at:
                break
            await anyio.sleep(pause_s)
            pause_s *= 2
        self._capacity.record_failure(self._view.now(), permit, lost=lost)

    async def _answers_probe(self, server: BackendServer) -> bool:
        """Probe a server; concurrent calls share one probe."""
        probe = self._probes.get(server.id)
        if probe is None:
            last_answered_at = self._last_answered_at.get(server.id)
            if (
                last_answered_at is not None
                and self._view.now() - last_answered_at < _MIN_PROBE_INTERVAL_S
            ):
                return True
        else:
            await probe.done.wait()
            return probe.answered
        probe = _Probe()
        self._probes[server.id] = probe
        try:
            await self._probe(server, probe)
        finally:
            self._probes.pop(server.id)
            probe.done.set()
        return probe.answered

    async def _probe(self, server: BackendServer, probe: '_Probe') -> None:
        try:
            probe.answered = await self._client.probe(
                server, timeout_s=self._timeout_s
            )
        except IbismountError:
            probe.answered = False
        if probe.answered:
            self._last_answered_at[server.id] = self._view.now()
            await self._client.close_idle(server)
            return
        self._capacity.eject(self._view.now(), server.id)
        text = f'{server.id} did not answer a probe'
        self._journal(
            'gateway',
            text,
            cause=system_cause(ErrorCode.BACKEND_EJECTED, text),
        )


class _Probe:
    """A probe in progress that several calls may wait for."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.answered = False
