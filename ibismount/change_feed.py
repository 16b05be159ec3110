"""Watch routes, backend servers and availability zones in the store."""

import abc
import asyncio
import dataclasses
import enum
import random
from collections.abc import Callable

from ibismount.backoff import backoff_s
from ibismount.errors import IbismountError
from ibismount.fleet_state import FleetChange, ServerRemoved, ServersListed
from ibismount.logs import part_logger

__all__ = (
    'ChangeBatch',
    'ChangeFeed',
    'ChangeFeedOptions',
    'HistoryLost',
    'ResourceKind',
    'StoreReader',
)

log = part_logger('feed')


class ResourceKind(enum.Enum):
    """Kinds of objects in the store; each has its own watch."""

    ROUTES = 'routes'
    SERVERS = 'servers'
    ZONES = 'zones'


class HistoryLost(Exception):
    """Raised when the changes since a revision are gone; list again."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeBatch:
    """Changes up to and including a store revision."""

    changes: list[FleetChange]
    revision: int


class StoreReader(abc.ABC):
    """Interface to the store, independent of the platform."""

    @abc.abstractmethod
    async def list(self, kind: ResourceKind) -> ChangeBatch:
        """Return all objects of a kind as changes.

        Raises:
            IbismountError: The store did not answer.
        """

    @abc.abstractmethod
    async def watch(
        self, kind: ResourceKind, revision: int, wait_s: float
    ) -> ChangeBatch:
        """Return the changes after a revision; empty if none within a wait.

        Raises:
            HistoryLost: The store no longer keeps these changes.
            IbismountError: The store did not answer.
        """

    @abc.abstractmethod
    async def check(
        self, kind: ResourceKind, revision: int, timeout_s: float
    ) -> ChangeBatch:
        """Return the changes after a revision at once, also if there are none.

        Raises:
            HistoryLost: The store no longer keeps these changes.
            IbismountError: The store did not answer within ``timeout_s``.
        """

    @abc.abstractmethod
    async def probe(self, timeout_s: float) -> int:
        """Return the store's revision, possibly stale, by a cheap read.

        Raises:
            IbismountError: The store did not answer.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeFeedOptions:
    """Times in seconds.

    Every call to the store costs money. A pause before the next watch
    therefore batches changes, and an idle watch waits long.
    """

    # Must be shorter than the time for which the store keeps its history.
    watch_wait_s: float = 17.0
    batch_window_s: float = 0.25
    # An idle watch looks the same as an unreachable store, so a probe checks.
    probe_interval_s: float = 0.8
    probe_timeout_s: float = 0.6
    # A kind whose watch has not answered this long after a probe saw a new
    # revision is checked. Must exceed ``batch_window_s``, during which no watch
    # runs.
    max_watch_lag_s: float = 0.5
    check_timeout_s: float = 0.6
    initial_backoff_s: float = 0.3
    max_backoff_s: float = 2.0
    # Removals this soon after a failed call are delayed: entries that expired
    # during an outage come back, since servers register again within about
    # two seconds of the store's return.
    removal_delay_window_s: float = 3.0
    removal_delay_s: float = 2.3


_DEFAULT_OPTIONS = ChangeFeedOptions()


class ChangeFeed:
    """Keep a node's view up to date from the store.

    Args:
        reader: Reads the store.
        apply: Applies a change to the view.
        now: Clock in seconds.
        rng: Adds jitter to the backoff.
        options: Times.
        on_current: Called each time that ``current`` becomes true.
        on_start: Called each time that the feed is started.
    """

    def __init__(
        self,
        reader: StoreReader,
        apply: Callable[[FleetChange], object],
        *,
        now: Callable[[], float],
        rng: random.Random,
        options: ChangeFeedOptions = _DEFAULT_OPTIONS,
        on_current: Callable[[], None] | None = None,
        on_start: Callable[[], None] | None = None,
    ) -> None:
        """Start without contact to the store."""
        self._reader = reader
        self._apply = apply
        self._now = now
        self._rng = rng
        self._options = options
        self._on_current = on_current
        self._on_start = on_start
        self._was_current = False
        self._watch_tasks: dict[ResourceKind, asyncio.Task] = {}
        self._last_failure_at = -options.removal_delay_window_s
        self._last_contact_at = -options.removal_delay_window_s
        # Revision from which each kind is watched.
        self._revisions: dict[ResourceKind, int] = {}
        # Revision up to which all changes of each kind are known: that of the
        # newest list, watch or check. The store has one revision for all kinds,
        # so a newer one does not tell which kind has changed.
        self._known_revisions: dict[ResourceKind, int] = {}
        # Highest revision that a probe returned.
        self._probed_revision = 0
        # Kinds whose last check was not answered.
        self._unchecked: set[ResourceKind] = set()
        self._reachable = False

    @property
    def running(self) -> bool:
        """Return whether the store is being watched."""
        return bool(self._watch_tasks)

    @property
    def current(self) -> bool:
        """Return whether the store is reachable and every kind up to date.

        A kind is up to date once it was listed, unless its last check was not
        answered.
        """
        listed = len(self._revisions) == len(ResourceKind)
        return self._reachable and listed and not self._unchecked

    @property
    def last_contact_at(self) -> float:
        """Return the time of the store's last answer, in seconds of ``now``."""
        return self._last_contact_at

    def gauges(self) -> dict[str, float]:
        """Return the revisions of the last probe and of each kind by name.

        Those of kinds that are not watched are 0.
        """
        revisions = {
            f'store_revision_{kind.value}': self._known_revisions.get(kind, 0)
            for kind in ResourceKind
        }
        return {'store_revision_probed': self._probed_revision, **revisions}

    def start(self) -> None:
        """Watch every kind of object."""
        for kind in ResourceKind:
            self._start_watch(kind)
        loop = asyncio.get_running_loop()
        self._probe_task = loop.create_task(self._probe_store())
        if self._on_start is not None:
            self._on_start()

    def stop(self) -> None:
        """Stop watching; the view stays as it is."""
        if self._watch_tasks:
            self._probe_task.cancel()
        for task in self._watch_tasks.values():
            task.cancel()
        self._watch_tasks.clear()
        self._revisions.clear()
        self._known_revisions.clear()
        self._unchecked.clear()
        self._probed_revision = 0
        self._reachable = False
        self._was_current = False

    def _start_watch(self, kind: ResourceKind) -> None:
        loop = asyncio.get_running_loop()
        self._watch_tasks[kind] = loop.create_task(self._watch_kind(kind))

    def _restart_watch(self, kind: ResourceKind) -> None:
        self._watch_tasks[kind].cancel()
        self._start_watch(kind)

    async def _watch_kind(self, kind: ResourceKind) -> None:
        failures = 0
        while True:
            try:
                batch = await self._fetch_changes(kind)
            except HistoryLost:
                self._relist(kind)
                continue
            except IbismountError as exc:
                failures += 1
                self._record_failure(exc, kind)
                await asyncio.sleep(self._backoff_s(failures))
                continue
            failures = 0
            self._accept(kind, batch)
            self._revisions[kind] = batch.revision
            self._report_current()
            if batch.changes:
                await asyncio.sleep(self._options.batch_window_s)

    async def _fetch_changes(self, kind: ResourceKind) -> ChangeBatch:
        revision = self._revisions.get(kind)
        if revision is None:
            return await self._reader.list(kind)
        return await self._reader.watch(
            kind, revision, self._options.watch_wait_s
        )

    async def _probe_store(self) -> None:
        failures = 0
        pause_s = self._options.probe_interval_s
        while True:
            await asyncio.sleep(pause_s)
            pause_s = self._options.probe_interval_s
            try:
                revision = await self._reader.probe(
                    self._options.probe_timeout_s
                )
            except IbismountError as exc:
                failures += 1
                self._record_failure(exc, None)
                pause_s = max(pause_s, self._backoff_s(failures))
            else:
                failures = 0
                self._probed_revision = max(self._probed_revision, revision)
                self._record_contact()
                self._report_current()
                await self._check_lagging_kinds()

    def _accept(self, kind: ResourceKind, batch: ChangeBatch) -> None:
        self._record_contact()
        for change in batch.changes:
            self._apply(self._delay_removal(change))
        self._known_revisions[kind] = max(
            self._known_revisions.get(kind, 0), batch.revision
        )
        self._unchecked.discard(kind)

    async def _check_lagging_kinds(self) -> None:
        """Fetch the changes of the kinds that the store is ahead of.

        The answer to a watch can be lost without an error on its connection.
        """
        if not self._lagging_kinds():
            return
        # Most watches answer by then.
        await asyncio.sleep(self._options.max_watch_lag_s)
        await asyncio.gather(*map(self._check_kind, self._lagging_kinds()))

    def _lagging_kinds(self) -> list[ResourceKind]:
        """Return the listed kinds with an older revision than the store."""
        return [
            kind
            for kind in self._revisions
            if self._known_revisions[kind] < self._probed_revision
        ]

    async def _check_kind(self, kind: ResourceKind) -> None:
        known = self._known_revisions[kind]
        try:
            batch = await self._reader.check(
                kind, known, self._options.check_timeout_s
            )
        except HistoryLost:
            self._relist(kind)
            self._restart_watch(kind)
            return
        except IbismountError as exc:
            self._record_unchecked(kind, exc)
            return
        answered = self._known_revisions[kind] > known
        self._accept(kind, batch)
        if batch.changes and not answered:
            log.info(
                'watches sent again',
                extra={
                    'kind': kind.value,
                    'heard': known,
                    'revision': batch.revision,
                },
            )
            self._revisions[kind] = batch.revision
            self._restart_watch(kind)
        self._report_current()

    def _relist(self, kind: ResourceKind) -> None:
        log.info('history lost', extra={'kind': kind.value})
        self._revisions.pop(kind, None)

    def _delay_removal(self, change: FleetChange) -> FleetChange:
        recently_failed = (
            self._now() - self._last_failure_at
            < self._options.removal_delay_window_s
        )
        if recently_failed and isinstance(
            change, ServerRemoved | ServersListed
        ):
            delay_s = self._options.removal_delay_s
            return dataclasses.replace(change, delay_s=delay_s)
        return change

    def _backoff_s(self, failures: int) -> float:
        return backoff_s(
            failures,
            initial_s=self._options.initial_backoff_s,
            max_s=self._options.max_backoff_s,
            rng=self._rng,
        )

    def _record_contact(self) -> None:
        self._last_contact_at = self._now()
        if not self._reachable:
            self._reachable = True
            log.info('store reached')

    def _report_current(self) -> None:
        was_current, self._was_current = self._was_current, self.current
        if (
            self._was_current
            and not was_current
            and self._on_current is not None
        ):
            self._on_current()

    def _record_unchecked(
        self, kind: ResourceKind, exc: IbismountError
    ) -> None:
        self._unchecked.add(kind)
        self._was_current = False
        log.warning(
            'check not answered',
            extra={'kind': kind.value, 'reason': str(exc)},
        )

    def _record_failure(
        self, exc: IbismountError, kind: ResourceKind | None
    ) -> None:
        self._last_failure_at = self._now()
        self._was_current = False
        if self._reachable:
            self._reachable = False
            log.warning(
                'store lost',
                extra={
                    'kind': kind.value if kind else 'probe',
                    'reason': str(exc),
                },
            )
