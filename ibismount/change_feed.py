"""Follow the changes of routes, backend servers and zones in the store."""

import abc
import asyncio
import dataclasses
import enum
import random
from collections.abc import Callable

from ibismount.errors import IbismountError
from ibismount.fleet_state import FleetChange, ServerRemoved, ServersListed
from ibismount.logs import part_logger

__all__ = (
    'Batch',
    'ChangeFeed',
    'Feed',
    'FeedKind',
    'FeedOptions',
    'HistoryLost',
)

log = part_logger('feed')


class FeedKind(enum.Enum):
    """What is followed, each by itself."""

    ROUTES = 'routes'
    SERVERS = 'servers'
    ZONES = 'zones'


class HistoryLost(Exception):
    """The changes since a revision can't be had; list again."""


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Changes up to a revision of the store."""

    changes: list[FleetChange]
    revision: int


class Feed(abc.ABC):
    """Read the store in the product's terms."""

    @abc.abstractmethod
    async def list(self, kind: FeedKind) -> Batch:
        """Return the whole state of a kind.

        Raises:
            IbismountError: The store did not answer.
        """

    @abc.abstractmethod
    async def watch(
        self, kind: FeedKind, revision: int, wait_s: float
    ) -> Batch:
        """Return the changes after a revision, or none after a wait.

        Raises:
            HistoryLost: The store no longer has these changes.
            IbismountError: The store did not answer.
        """

    @abc.abstractmethod
    async def probe(self, timeout_s: float) -> int:
        """Return the store's revision by a cheap read, which may be stale.

        Raises:
            IbismountError: It does not.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class FeedOptions:
    """Times in seconds.

    Every call to the store is paid for, so changes are gathered for a moment
    before the next watch and an idle watch waits long.
    """

    # Shorter than the history that the store keeps.
    wait_s: float = 17.0
    gather_s: float = 0.25
    # Probes notice that the store is out of reach while watches are silent.
    probe_s: float = 0.8
    probe_timeout_s: float = 0.6
    # Time for which the store may be ahead of the watches before they are
    # sent again: longer than changes are gathered.
    behind_s: float = 0.5
    # Pauses after failures: the first, and the longest.
    pause_s: float = 0.3
    pause_most_s: float = 2.0
    # Entries that vanish this soon after a failure may come back: servers
    # register again within about two seconds of the store's return.
    disturbed_s: float = 3.0
    removal_delay_s: float = 2.3


_DEFAULTS = FeedOptions()


class ChangeFeed:
    """Keep a view up to date from the store.

    Args:
        feed: The store in the product's terms.
        apply: Takes each change.
        now: Clock in seconds.
        rng: Spreads the pauses.
        options: Times.
    """

    def __init__(
        self,
        feed: Feed,
        apply: Callable[[FleetChange], object],
        *,
        now: Callable[[], float],
        rng: random.Random,
        options: FeedOptions = _DEFAULTS,
    ) -> None:
        """Start without contact to the store."""
        self._feed = feed
        self._apply = apply
        self._now = now
        self._rng = rng
        self._options = options
        self._tasks: list[asyncio.Task] = []
        self._failed_at = -options.disturbed_s
        self._contact_at = -options.disturbed_s
        # Revision up to which each kind is known.
        self._revisions: dict[FeedKind, int] = {}
        # Revision up to which the watches are known to have heard all.
        self._heard = 0
        self._behind_at: float | None = None
        self._reachable = False

    @property
    def running(self) -> bool:
        """Tell whether the store is being followed."""
        return bool(self._tasks)

    @property
    def current(self) -> bool:
        """Tell whether the view follows the store right now."""
        return self._reachable and len(self._revisions) == len(FeedKind)

    @property
    def contact_at(self) -> float:
        """Return when the store last answered."""
        return self._contact_at

    def start(self) -> None:
        """Follow every kind."""
        loop = asyncio.get_running_loop()
        self._revisions.clear()
        self._watch_all()
        self._prober = loop.create_task(self._probe())

    def stop(self) -> None:
        """Stop following; the view stays as it is."""
        if self._tasks:
            self._prober.cancel()
        self._stop_watches()
        self._revisions.clear()
        self._reachable = False

    def _watch_all(self) -> None:
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._follow(one)) for one in FeedKind]

    def _stop_watches(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._tasks = []

    async def _follow(self, kind: FeedKind) -> None:
        failures = 0
        while True:
            try:
                batch = await self._next(kind)
            except HistoryLost:
                log.info('history lost', extra={'kind': kind.value})
                self._revisions.pop(kind, None)
                continue
            except IbismountError as exc:
                failures += 1
                self._failed(exc, kind)
                await asyncio.sleep(self._pause_s(failures))
                continue
            failures = 0
            self._answered()
            for change in batch.changes:
                self._apply(self._with_delay(change))
            self._revisions[kind] = batch.revision
            self._heard = max(self._heard, batch.revision)
            if batch.changes:
                await asyncio.sleep(self._options.gather_s)

    async def _next(self, kind: FeedKind) -> Batch:
        revision = self._revisions.get(kind)
        if revision is None:
            return await self._feed.list(kind)
        return await self._feed.watch(kind, revision, self._options.wait_s)

    async def _probe(self) -> None:
        failures = 0
        while True:
            await asyncio.sleep(self._options.probe_s)
            try:
                revision = await self._feed.probe(self._options.probe_timeout_s)
            except IbismountError as exc:
                failures += 1
                self._failed(exc, None)
                await asyncio.sleep(self._pause_s(failures))
            else:
                failures = 0
                self._answered()
                self._compare(revision)

    def _compare(self, revision: int) -> None:
        """Send the watches again when the store is ahead of them.

        The answer of a watch can be lost without a sign on its connection.
        """
        if revision <= self._heard or len(self._revisions) < len(FeedKind):
            self._behind_at = None
            return
        if self._behind_at is None:
            self._behind_at = self._now()
            return
        if self._now() - self._behind_at < self._options.behind_s:
            return
        log.info(
            'watches sent again',
            extra={'heard': self._heard, 'revision': revision},
        )
        self._behind_at = None
        # Objects of other kinds raise the revision as well.
        self._heard = revision
        self._stop_watches()
        self._watch_all()

    def _with_delay(self, change: FleetChange) -> FleetChange:
        disturbed = self._now() - self._failed_at < self._options.disturbed_s
        if disturbed and isinstance(change, ServerRemoved | ServersListed):
            delay_s = self._options.removal_delay_s
            return dataclasses.replace(change, delay_s=delay_s)
        return change

    def _pause_s(self, failures: int) -> float:
        pause_s = self._options.pause_s * 2 ** min(failures - 1, 10)
        pause_s = min(pause_s, self._options.pause_most_s)
        return pause_s * (0.75 + 0.5 * self._rng.random())

    def _answered(self) -> None:
        self._contact_at = self._now()
        if not self._reachable:
            self._reachable = True
            log.info('store reached')

    def _failed(self, exc: IbismountError, kind: FeedKind | None) -> None:
        self._failed_at = self._now()
        if self._reachable:
            self._reachable = False
            log.warning(
                'store lost',
                extra={
                    'kind': kind.value if kind else 'probe',
                    'reason': str(exc),
                },
            )
