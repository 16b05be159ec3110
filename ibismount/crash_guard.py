"""Keep requests that end backend servers from reaching more of them."""

from collections.abc import Callable

from ibismount.logs import part_logger
from ibismount.quarantine import Quarantine, QuarantineOptions, RunMode
from ibismount.server_liveness import ReachabilityProbe, ServerLiveness
from ibismount.server_table import Server

__all__ = ('CrashGuard', 'make_quarantine')

log = part_logger('dispatch')

# Each answer clears its request here, so losses that have another cause need no
# comparison with those of other requests: several requests that end servers
# at the same time would hide each other.
_QUARANTINE_OPTIONS = QuarantineOptions(
    max_unrelated_share=1, min_waves_answered=4
)


class CrashGuard:
    """Decide how requests may run, from the servers that ended under them.

    A request is suspect once a server ended while it had it. Its next attempt
    then runs on one server alone: an answer clears the request, and the end of
    this server quarantines it at all nodes.

    Args:
        quarantine: Holds the losses and the quarantined requests; nodes share
            them.
        probe: Checks whether a server can be reached.
        is_replaced: Returns whether an entry shows that a server has ended.
        now: Clock in seconds.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        probe: ReachabilityProbe,
        *,
        is_replaced: Callable[[Server], bool],
        now: Callable[[], float],
    ) -> None:
        """Start without losses."""
        self._quarantine = quarantine
        self._now = now
        # Requests whose first part is under way, by fingerprint.
        self._canary_owners: dict[str, object] = {}
        self._liveness = ServerLiveness(
            probe, self._record_end, is_replaced=is_replaced
        )

    @property
    def is_idle(self) -> bool:
        """Return whether every request may run normally."""
        return self._quarantine.is_empty

    @property
    def expects_answers(self) -> bool:
        """Return whether answers may clear a request."""
        return self._liveness.expects_answers or not self.is_idle

    @property
    def ended_servers(self) -> int:
        """Return the number of servers that ended while they had requests."""
        return self._liveness.ended_count

    @property
    def quarantined_count(self) -> int:
        """Return the number of quarantined requests."""
        return len(self._quarantine.active(self._now()))

    def is_checking(self, fingerprint: str) -> bool:
        """Return whether it is not known yet if servers ended under a request."""
        return self._liveness.has_check_for(fingerprint)

    def run_mode(self, fingerprint: str) -> RunMode:
        """Return how a request may run now."""
        return self._quarantine.run_mode(self._now(), fingerprint)

    def time_left_s(self, fingerprint: str) -> float:
        """Return how long a request is refused, in seconds."""
        return self._quarantine.time_left_s(self._now(), fingerprint)

    def suspect_services(self, fingerprint: str) -> set[str]:
        """Return the services whose servers ended under a suspect request."""
        return {
            _service_of(name)
            for name in self._quarantine.lost_servers(fingerprint)
        }

    def claim_canary(self, fingerprint: str, owner: object) -> bool:
        """Return whether a suspect request may send its first part.

        Others of its fingerprint wait until the part is answered, or until it
        is known whether it ended its server.

        Args:
            fingerprint: Fingerprint of the request.
            owner: The request; it keeps the claim until `release_canary`.
        """
        holder = self._canary_owners.get(fingerprint)
        if holder is None and not self.is_checking(fingerprint):
            self._canary_owners[fingerprint] = owner
        return self._canary_owners.get(fingerprint) is owner

    def release_canary(self, fingerprint: str, owner: object) -> None:
        """Let the next suspect request of a fingerprint send its first part."""
        if self._canary_owners.get(fingerprint) is owner:
            self._canary_owners.pop(fingerprint)

    def record_loss(
        self, server: Server, fingerprint: str, sent_at: float
    ) -> None:
        """Note that a server broke the connection of a request it had.

        Args:
            server: The server.
            fingerprint: Fingerprint of the request.
            sent_at: When it was sent, in seconds.
        """
        self._liveness.record_loss(server, fingerprint, sent_at)

    def record_answer(self, server: Server, fingerprint: str) -> None:
        """Note that a server ran a request and answered it."""
        self._liveness.record_answer(server, fingerprint)
        if not self.is_idle and server.service in self.suspect_services(
            fingerprint
        ):
            self._quarantine.record_answer(self._now(), fingerprint)
            log.info(
                'suspect request cleared by an answer',
                extra={
                    'server': server.id,
                    'service': server.service,
                    'fingerprint': fingerprint,
                },
            )

    def record_served(self, fingerprint: str) -> None:
        """Note that servers ran all parts of a request and answered them."""
        self._quarantine.record_served(self._now(), fingerprint)

    def expire(self) -> None:
        """Drop what is too old to count."""
        self._quarantine.expire(self._now())

    def _record_end(
        self, server: Server, running: dict[str, float], lost_at: float
    ) -> None:
        log.warning(
            'backend server ended while it had requests',
            extra={
                'server': server.id,
                'service': server.service,
                'incarnation': server.incarnation,
                'fingerprints': sorted(running),
                'lost_s_ago': round(self._now() - lost_at, 3),
            },
        )
        if running:
            name = f'{server.service}/{server.id}'
            self._quarantine.record_loss(lost_at, name, running)


def _service_of(name: str) -> str:
    return name.partition('/')[0]


def make_quarantine(
    on_news: Callable[[], object] | None = None,
) -> Quarantine:
    """Return the quarantine of a node that has lost no server.

    Args:
        on_news: Called when there is something to tell other nodes.
    """
    return Quarantine(options=_QUARANTINE_OPTIONS, on_news=on_news)
