"""Keep quarantined requests in the store, for when all nodes end at once."""

import abc
import asyncio
import dataclasses
import random
import time
from collections.abc import Callable, Iterable

from ibismount.backoff import backoff_s
from ibismount.errors import IbismountError
from ibismount.logs import part_logger
from ibismount.loss_report import QuarantineEntry
from ibismount.quarantine import Quarantine

__all__ = ('QuarantineBackup', 'QuarantineStore')

log = part_logger('quarantine')

# Pause after the first failed call, and the longest one, in seconds.
_INITIAL_BACKOFF_S = 0.2
_MAX_BACKOFF_S = 2.0


class QuarantineStore(abc.ABC):
    """Interface to the stored entries; their times are Unix times."""

    @abc.abstractmethod
    async def list(self) -> list[QuarantineEntry]:
        """Return all entries that can be read.

        Raises:
            IbismountError: The store did not answer.
        """

    @abc.abstractmethod
    async def add(self, entry: QuarantineEntry) -> None:
        """Store an entry; do nothing if its request has one.

        Raises:
            IbismountError: The store did not answer.
        """

    @abc.abstractmethod
    async def remove(self, fingerprint: str) -> None:
        """Remove the entry of a request if there is one.

        Raises:
            IbismountError: The store did not answer.
        """


class QuarantineBackup:
    """Copy the quarantine of a node that follows the store there and back.

    Entries are read once, when the node first follows the store: later ones
    come over the links. Each node that follows the store writes the entries
    that it did not read, and removes those that have expired.

    Args:
        quarantine: The node's quarantine.
        store: The stored entries.
        follows_store: Returns whether this node follows the store.
        now: Clock of the quarantine in seconds.
        rng: Adds jitter to the backoff.
        unix_now: Unix time in seconds.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        store: QuarantineStore,
        *,
        follows_store: Callable[[], bool],
        now: Callable[[], float],
        rng: random.Random,
        unix_now: Callable[[], float] = time.time,
    ) -> None:
        """Start with nothing read or written."""
        self._quarantine = quarantine
        self._store = store
        self._follows_store = follows_store
        self._now = now
        self._rng = rng
        self._unix_now = unix_now
        self._is_read = False
        # Fingerprints that have an entry in the store.
        self._stored: set[str] = set()
        self._wakeup = asyncio.Event()

    def wake(self) -> None:
        """Compare the quarantine with the store soon.

        To be called when the node begins to follow the store, and when its
        quarantine changes.
        """
        self._wakeup.set()

    async def run(self) -> None:
        """Read and write entries until canceled."""
        failures = 0
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            if not self._follows_store():
                continue
            try:
                await self._synchronize()
            except IbismountError as exc:
                failures += 1
                log.warning(
                    'quarantine not compared with the store',
                    extra={'reason': str(exc)},
                )
                pause_s = backoff_s(
                    failures,
                    initial_s=_INITIAL_BACKOFF_S,
                    max_s=_MAX_BACKOFF_S,
                    rng=self._rng,
                )
                await asyncio.sleep(pause_s)
                self._wakeup.set()
            else:
                failures = 0

    async def _synchronize(self) -> None:
        if not self._is_read:
            self._restore(await self._store.list())
            self._is_read = True
        active = {
            entry.fingerprint: entry
            for entry in self._quarantine.active(self._now())
        }
        for fingerprint, entry in active.items():
            if fingerprint not in self._stored:
                await self._store.add(self._to_unix_time(entry))
                self._stored.add(fingerprint)
        for fingerprint in self._stored - active.keys():
            await self._store.remove(fingerprint)
            self._stored.discard(fingerprint)

    def _restore(self, entries: Iterable[QuarantineEntry]) -> None:
        stored = list(entries)
        self._stored.update(entry.fingerprint for entry in stored)
        now, unix_now = self._now(), self._unix_now()
        # Entries that other writers made may claim any time.
        max_s = self._quarantine.hold_s
        in_force = [
            dataclasses.replace(
                entry,
                expires_at=now + min(entry.expires_at - unix_now, max_s),
            )
            for entry in stored
            if entry.expires_at > unix_now
        ]
        if in_force:
            log.info(
                'quarantined requests read from the store',
                extra={'count': len(in_force)},
            )
        self._quarantine.adopt(in_force)

    def _to_unix_time(self, entry: QuarantineEntry) -> QuarantineEntry:
        left_s = entry.expires_at - self._now()
        return dataclasses.replace(entry, expires_at=self._unix_now() + left_s)
