"""Quarantined requests outlive the nodes that know of them."""

import asyncio
import random

from ibismount.crash_guard import make_quarantine
from ibismount.errors import ErrorCode, IbismountError
from ibismount.loss_report import QuarantineEntry
from ibismount.platform.quarantine_entries import (
    QUARANTINE_KIND,
    PlatformQuarantineStore,
)
from ibismount.platform.store import StoreClient
from ibismount.quarantine import RunMode
from ibismount.quarantine_backup import QuarantineBackup, QuarantineStore
from standins.object_store import ObjectStore, serve_store
from tests.virtual_time import run_on_virtual_time

UNIX_OFFSET_S = 1.7e9
HOLD_S = 600.0


class FakeQuarantineStore(QuarantineStore):
    def __init__(self):
        self.entries = {}
        self.calls = []
        self.failures = 0

    async def list(self):
        self._count('list')
        return list(self.entries.values())

    async def add(self, entry):
        self._count('add')
        self.entries.setdefault(entry.fingerprint, entry)

    async def remove(self, fingerprint):
        self._count('remove')
        self.entries.pop(fingerprint, None)

    def _count(self, call):
        self.calls.append(call)
        if self.failures:
            self.failures -= 1
            raise IbismountError(ErrorCode.PLATFORM_UNAVAILABLE, 'down')


class Node:
    """Quarantine and backup of one node; `follows_store` may be changed."""

    def __init__(self, store):
        loop = asyncio.get_running_loop()
        self.follows_store = True
        self.quarantine = make_quarantine(lambda: self.backup.wake())
        self.backup = QuarantineBackup(
            self.quarantine,
            store,
            follows_store=lambda: self.follows_store,
            now=loop.time,
            rng=random.Random(1),
            unix_now=lambda: loop.time() + UNIX_OFFSET_S,
        )
        self.backup.wake()
        self.task = loop.create_task(self.backup.run())

    def quarantine_request(self, fingerprint='f'):
        now = asyncio.get_running_loop().time()
        self.quarantine.adopt(
            [QuarantineEntry(fingerprint, now + HOLD_S, 'two losses')]
        )

    def run_mode(self, fingerprint='f'):
        now = asyncio.get_running_loop().time()
        return self.quarantine.run_mode(now, fingerprint)


def run_nodes(main):
    run_on_virtual_time(lambda: main(FakeQuarantineStore()))


def test_node_that_starts_reads_what_all_nodes_before_it_quarantined():
    """The request crashed servers again after all nodes had ended."""

    async def main(store):
        node = Node(store)
        node.quarantine_request()
        await asyncio.sleep(1)
        node.task.cancel()
        await asyncio.sleep(100)
        node = Node(store)
        await asyncio.sleep(0.1)
        assert node.run_mode() is RunMode.REFUSED
        await asyncio.sleep(HOLD_S - 102)
        assert node.run_mode() is RunMode.REFUSED
        await asyncio.sleep(2)
        assert node.run_mode() is RunMode.NORMAL

    run_nodes(main)


def test_entry_is_written_once_the_store_answers():
    """A quarantine during an outage of the store was never stored."""

    async def main(store):
        node = Node(store)
        await asyncio.sleep(1)
        store.failures = 5
        node.quarantine_request()
        await asyncio.sleep(20)
        assert store.entries.keys() == {'f'}
        assert store.calls == ['list', *['add'] * 6]

    run_nodes(main)


def test_only_nodes_that_follow_the_store_call_it():
    """Every call to the store costs money."""

    async def main(store):
        node = Node(store)
        node.follows_store = False
        node.quarantine_request()
        await asyncio.sleep(5)
        assert not store.calls
        node.follows_store = True
        node.backup.wake()
        await asyncio.sleep(5)
        assert store.calls == ['list', 'add']

    run_nodes(main)


def test_nothing_is_written_while_nothing_is_quarantined():
    """A quiet day costs one read for each node that follows the store."""

    async def main(store):
        node = Node(store)
        for _ in range(100):
            node.backup.wake()
            await asyncio.sleep(1)
        assert store.calls == ['list']

    run_nodes(main)


def test_expired_entries_are_removed():
    """The store would keep an entry for every request ever quarantined."""

    async def main(store):
        store.entries['old'] = QuarantineEntry('old', UNIX_OFFSET_S, '')
        node = Node(store)
        node.quarantine_request()
        await asyncio.sleep(1)
        assert store.entries.keys() == {'f'}
        await asyncio.sleep(HOLD_S)
        node.backup.wake()
        await asyncio.sleep(1)
        assert not store.entries

    run_nodes(main)


def test_entry_of_another_writer_holds_no_longer_than_a_quarantine():
    """An entry could refuse a request for years."""

    async def main(store):
        far_s = UNIX_OFFSET_S * 2
        store.entries['f'] = QuarantineEntry('f', far_s, '')
        node = Node(store)
        await asyncio.sleep(1)
        assert node.run_mode() is RunMode.REFUSED
        await asyncio.sleep(HOLD_S)
        assert node.run_mode() is RunMode.NORMAL

    run_nodes(main)


def test_entries_are_stored_in_the_platforms_format():
    """Entries of other writers may hold anything; they cost only themselves."""

    async def main():
        objects = ObjectStore()
        port, task = await serve_store(objects, '127.0.0.1', 0)
        store = PlatformQuarantineStore(StoreClient('127.0.0.1', port))
        assert await store.list() == []
        entry = QuarantineEntry('f', 1.5e9, 'two losses')
        await store.add(entry)
        await store.add(QuarantineEntry('f', 1.6e9, 'later'))
        for number, spec in enumerate(
            [None, [], {'expires-at': 'soon'}, {'expires-at': -1}, {}]
        ):
            await objects.put(QUARANTINE_KIND, f'bad{number}', spec)
        assert await store.list() == [entry]
        await store.remove('f')
        await store.remove('f')
        assert await store.list() == []
        task.cancel()

    asyncio.run(main())
