"""Issue permits for backend servers within this gateway's shares."""

import dataclasses
from collections.abc import Mapping
from typing import NamedTuple

from ibismount._backend_row import BackendRow
from ibismount.assignment import Assignment
from ibismount.catalog import BackendServer
from ibismount.cause import Cause, system_cause
from ibismount.errors import ErrorCode
from ibismount.handover import ZERO_LIMITS, Handover, limits_of_gateway
from ibismount.messages import Envelope, ShareRelease, WarmNotice
from ibismount.template import MAX_DEADLINE_S

__all__ = ('CapacityOptions', 'CapacityTable', 'Permit')

MICROSECONDS = 1_000_000


class Permit(NamedTuple):
    """The right to run one request on a backend server.

    ``number`` increases with each permit of a table. ``cold`` is True if the
    permit counts towards the cold limit.
    """

    server: str
    number: int
    cold: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CapacityOptions:
    """Times of handover and back-off, in seconds.

    Attributes:
        confirm_ttl_s: How long a node that misses an accepted version may
            remain active; 1 % is added for clocks that run at different
            rates.
        max_deadline_s: Longest deadline of a request.
        eject_s: Duration of a first ejection.
        max_eject_s: Longest duration of an ejection.
        shed_hold_s: How long the concurrency stays halved after a warm
            server shed a request.
        query_interval_s: Minimum time between two queries to the primary.
    """

    confirm_ttl_s: float = 3
    max_deadline_s: float = MAX_DEADLINE_S
    eject_s: float = 1
    max_eject_s: float = 30
    shed_hold_s: float = 1
    query_interval_s: float = 1

    @property
    def settle_delay_s(self) -> float:
        """Return the time after which work under older versions has ended."""
        return self.confirm_ttl_s * 1.01 + self.max_deadline_s


class CapacityTable:
    """Keep each backend server within its limits across all gateways.

    The table decides from the assignments, acceptances and messages passed
    to it. It does not check the node's confirmation. The caller must acquire
    permits only while the node is confirmed and its own incarnation is in
    the roster, and must send the request immediately. Assignments must be
    applied in order of version; ``skipped`` reports a gap.
    """

    def __init__(
        self, node_id: str, *, options: CapacityOptions | None = None
    ) -> None:
        """Start without shares and with every backend server cold."""
        self._node_id = node_id
        self._options = options or CapacityOptions()
        self._handover = Handover(
            node_id, settle_delay_s=self._options.settle_delay_s
        )
        self._rows: dict[str, BackendRow] = {}
        self._first_applied_at: float | None = None
        self._last_number = 0
        self._last_sequence = 0
        # Servers whose share is not fully in force yet, and servers for which
        # other gateways still wait for a release.
        self._awaiting_gain: set[str] = set()
        self._awaiting_release: set[str] = set()
        self._outbox: list[Envelope] = []

    def apply_assignment(
        self,
        now: float,
        assignment: Assignment,
        servers: Mapping[str, BackendServer],
        *,
        skipped: bool = False,
    ) -> None:
        """Apply the next assignment: losses take effect at once, gains later.

        Args:
            now: Time in seconds.
            assignment: The assignment; ignored unless its version is newer.
            servers: At least all backend servers of this node's shares.
            skipped: Whether versions before this one were not applied. All
                limits are then reset to zero and gained again.
        """
        is_first = self._first_applied_at is None
        if is_first:
            self._first_applied_at = now
        elif assignment.version <= self._handover.current.version:
            return
        if is_first or skipped:
            self._handover.reset(assignment)
            for row in self._rows.values():
                row.limits = ZERO_LIMITS
        else:
            self._handover.advance_to(assignment)
        own_server_ids = {
            share.server
            for share in assignment.shares_of_gateway(self._node_id)
        }
        for server_id in own_server_ids - self._rows.keys():
            self._rows[server_id] = BackendRow(servers[server_id])
        for server_id in list(self._rows):
            server = servers.get(server_id)
            self._update_row(now, server_id, server, skipped=skipped)
        self._raise_limits()

    def record_accepted_version(self, now: float, version: int) -> None:
        """Record that a version is accepted."""
        if self._handover.record_accepted(now, version):
            self._raise_limits()

    def receive_release(
        self, now: float, sender: str, release: ShareRelease
    ) -> None:
        """Apply another gateway's release of shares."""
        self._handover.record_release(sender, release.version, release.servers)
        self._raise_limits()

    def receive_warm_notice(
        self, now: float, sender: str, notice: WarmNotice
    ) -> None:
        """Apply the primary's warm notice, or another gateway's query."""
        row = self._rows.get(notice.server)
        if row is None:
            return
        if notice.warm:
            row.warmth.apply_notice(
                notice.generation,
                notice.sequence,
                self._last_number,
            )
            return
        if row.rank == 0:
            # A repeated query needs no newer verification. Invalidating again
            # would void every answer slower than the query interval.
            if row.warmth.pending_queries.get(sender) == notice.sequence:
                return
            row.warmth.pending_queries[sender] = notice.sequence
        self._invalidate_and_query(now, row)

    def tick(self, now: float) -> list[Envelope]:
        """Advance handovers and return the messages to send."""
        if self._handover.advance_settled(now):
            self._raise_limits()
        self._send_releases(now)
        envelopes = self._outbox
        self._outbox = []
        return envelopes

    def acquire(self, now: float, server_id: str) -> Permit | Cause:
        """Return a permit for one request, or the cause of a refusal."""
        row = self._rows.get(server_id)
        if row is None or not row.limits.slots:
            return system_cause(ErrorCode.NO_SHARE, server_id)
        if row.server.leaving:
            return system_cause(ErrorCode.BACKEND_LEAVING, server_id)
        if now < row.ejected_until:
            return system_cause(ErrorCode.BACKEND_EJECTED, server_id)
        if row.running >= row.request_limit(now):
            return self._refusal_cause(now, row)
        self._last_number += 1
        cold = row.rank == 0 and not (row.warmth.warm and row.warmth.verified)
        row.running += 1
        row.cold_running += cold
        return Permit(server_id, self._last_number, cold)

    def is_valid(self, permit: Permit) -> bool:
        """Return whether a request may still be sent on a new connection.

        A permit is void if the state of the backend server was invalidated
        after it was issued. Check this after replacing a connection.
        """
        row = self._rows.get(permit.server)
        return (
            row is not None and permit.number > row.warmth.invalidated_at_number
        )

    def record_answer(
        self, now: float, permit: Permit, *, generation: str, latency_s: float
    ) -> None:
        """Return a permit after an answer and record the generation."""
        row = self._return_permit(permit)
        if row is None:
            return
        row.record_latency(latency_s)
        self._record_generation(now, row, permit, generation)

    def record_failure(
        self,
        now: float,
        permit: Permit,
        *,
        generation: str = '',
        lost: bool = False,
        refused: bool = False,
    ) -> None:
        """Return a permit of a request that was not answered.

        A slot is free only once the backend server has stopped the work, so
        return the permit of an abandoned request after the server had time
        to notice the closed connection.

        Args:
            now: Time in seconds.
            permit: The permit.
            generation: The generation in a refusal, if any.
            lost: Whether the connection was reset.
            refused: Whether the backend server shed the request.
        """
        row = self._return_permit(permit)
        if row is None:
            return
        if lost:
            self.record_connection_reset(now, permit.server)
        if generation and generation != row.warmth.generation:
            self._record_generation(now, row, permit, generation)
        if refused:
            row.record_shed(now + self._options.shed_hold_s)

    def record_connection_reset(self, now: float, server_id: str) -> None:
        """Treat a backend server as cold after it closed a connection.

        This includes idle connections: one that is found stale just before
        use may be the only sign of a restart, and the request must not be
        sent on a new connection.
        """
        row = self._rows.get(server_id)
        if row is not None:
            self._invalidate(now, row, cold=True)
            self._broadcast_cold(now, row)

    def record_disconnect(self, now: float, server_id: str) -> None:
        """Record that this node closed its last connection to a server.

        Without a connection a restart goes undetected, so the warm state
        must be verified again. A connection closed by the server counts as a
        reset; see `record_connection_reset`.
        """
        row = self._rows.get(server_id)
        if row is not None:
            self._invalidate_and_query(now, row)

    def eject(self, now: float, server_id: str) -> None:
        """Eject a server; each consecutive ejection doubles the time."""
        row = self._rows.get(server_id)
        if row is None or now < row.ejected_until:
            return
        options = self._options
        row.eject(now, min_s=options.eject_s, max_s=options.max_eject_s)
        self.record_disconnect(now, server_id)

    def servers_with_surplus(self) -> list[str]:
        """Return servers whose idle connections must be closed."""
        return sorted(
            server_id
            for server_id in self._awaiting_release
            if self._rows[server_id].surplus
        )

    def record_idle_closed(self, now: float, server_id: str) -> None:
        """Record that the idle connections to a server were closed.

        The remaining ones are within the share. There may be none, so the
        warm state must be verified again.
        """
        row = self._rows.get(server_id)
        if row is not None:
            row.surplus = False
            self._invalidate_and_query(now, row)

    def connection_limit(self, server_id: str) -> int:
        """Return the maximum number of open connections."""
        row = self._rows.get(server_id)
        return row.limits.connections if row else 0

    def is_usable(self, now: float, server_id: str) -> bool:
        """Return whether requests are allowed, ignoring how many run."""
        row = self._rows.get(server_id)
        return row is not None and row.is_usable(now)

    def running_count(self, server_id: str) -> int:
        """Return the number of running requests."""
        row = self._rows.get(server_id)
        return row.running if row else 0

    def service_time_s(self, server_id: str) -> float:
        """Return the mean time to an answer in seconds, 0 if unknown."""
        row = self._rows.get(server_id)
        return row.latency_s if row else 0

    def _update_row(self, now, server_id, server, *, skipped):
        row = self._rows[server_id]
        shares = self._handover.current.shares.get(server_id, ())
        share = limits_of_gateway(shares, self._node_id)
        if server is not None:
            address_changed = server.address != row.server.address
            row.server = server
            if address_changed:
                self._invalidate(now, row, cold=True)
        if skipped or share.min_with(row.share) != row.share:
            self._awaiting_release.add(server_id)
            fewer = share.connections < row.share.connections
            row.surplus = row.surplus or skipped or fewer
        row.share = share
        row.limits = row.limits.min_with(share)
        if row.limits != share:
            self._awaiting_gain.add(server_id)
        self._update_rank(
            now, row, tuple([gateway_share.gateway for gateway_share in shares])
        )

    def _update_rank(self, now, row, gateways):
        rank = 0
        if self._node_id in gateways:
            rank = gateways.index(self._node_id)
        same_primary = (rank, gateways[:1]) == (row.rank, row.gateways[:1])
        row.rank = rank
        row.gateways = gateways
        if rank and not same_primary:
            row.warmth.pending_queries.clear()
            # A former primary that is warm but unverified must not be taken
            # for a secondary that received a warm notice.
            if not (row.warmth.warm and row.warmth.verified):
                self._invalidate_and_query(now, row)

    def _raise_limits(self):
        for server_id in list(self._awaiting_gain):
            row = self._rows[server_id]
            allowed = self._handover.allowed_limits(row.server).min_with(
                row.share
            )
            row.limits = row.limits.max_with(allowed)
            if row.limits == row.share:
                self._awaiting_gain.discard(server_id)

    def _send_releases(self, now):
        if self._first_applied_at is None:
            return
        # Until then, requests of this node's previous incarnation may run.
        if now < self._first_applied_at + self._options.max_deadline_s:
            return
        targets: dict[str, list[str]] = {}
        for server_id in sorted(self._awaiting_release):
            row = self._rows[server_id]
            if not row.is_within_share:
                continue
            self._awaiting_release.discard(server_id)
            for gateway in row.gateways:
                if gateway != self._node_id:
                    targets.setdefault(gateway, []).append(server_id)
            if row.share == ZERO_LIMITS:
                self._awaiting_gain.discard(server_id)
                self._rows.pop(server_id)
        version = self._handover.current.version
        for gateway, released in targets.items():
            message = ShareRelease(version, tuple(released))
            self._outbox.append(Envelope(gateway, message))

    def _refusal_cause(self, now, row) -> Cause:
        server_id = row.server.id
        busy = row.running >= row.limits.slots or row.warmth.warm
        if busy and row.request_limit(now):
            return system_cause(ErrorCode.GATEWAY_BUSY, server_id)
        if row.rank and now >= row.asked_at + self._options.query_interval_s:
            self._query_primary(now, row)
        detail = f'{server_id}: the primary is {row.gateways[0]}'
        return system_cause(ErrorCode.BACKEND_COLD, detail)

    def _return_permit(self, permit: Permit) -> BackendRow | None:
        row = self._rows.get(permit.server)
        if row is not None:
            row.running -= 1
            row.cold_running -= permit.cold
        return row

    def _record_generation(self, now, row, permit, generation):
        notices = row.warmth.record_answer(
            permit.number,
            generation,
            latest_number=self._last_number,
            sequence=self._next_sequence(now),
            share_slots=row.share.slots,
            server=row.server,
            rank=row.rank,
        )
        if notices.broadcast_cold:
            self._broadcast_cold(now, row)
        for gateway, sequence in notices.warm_replies:
            notice = WarmNotice(
                row.server.id, row.warmth.generation, True, sequence
            )
            self._outbox.append(Envelope(gateway, notice))

    def _invalidate(self, now, row, *, cold):
        row.warmth.invalidate(
            self._last_number, self._next_sequence(now), cold=cold
        )

    def _invalidate_and_query(self, now, row):
        self._invalidate(now, row, cold=row.rank > 0)
        if row.rank:
            self._query_primary(now, row)

    def _query_primary(self, now, row):
        row.asked_at = now
        self._outbox.append(Envelope(row.gateways[0], self._warmth_query(row)))

    def _broadcast_cold(self, now, row):
        row.asked_at = now
        query = self._warmth_query(row)
        self._outbox.extend(
            Envelope(gateway, query)
            for gateway in row.gateways
            if gateway != self._node_id
        )

    def _warmth_query(self, row) -> WarmNotice:
        warmth = row.warmth
        return WarmNotice(
            row.server.id, warmth.generation, False, warmth.query_sequence
        )

    def _next_sequence(self, now) -> int:
        # Based on the clock, so that a notice for a previous incarnation of
        # this node does not match.
        sequence = int(now * MICROSECONDS)
        self._last_sequence = max(self._last_sequence + 1, sequence)
        return self._last_sequence
