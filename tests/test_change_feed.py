"""Tests of watching the store: outages, lost history, expired entries."""

import asyncio
import random

from ibismount.change_feed import (
    ChangeBatch,
    ChangeFeed,
    ChangeFeedOptions,
    HistoryLost,
    ResourceKind,
    StoreReader,
)
from ibismount.errors import ErrorCode, IbismountError
from ibismount.fleet_state import (
    FleetState,
    ServerChanged,
    ServerRemoved,
    ServersListed,
)
from ibismount.routes import RouteTable
from ibismount.server_table import Server
from tests.virtual_time import run_on_virtual_time

OPTIONS = ChangeFeedOptions()


def server(number, revision):
    return Server(f'i-{number}', 'desk', 'h', 1, 'z', 4, revision=revision)


class FakeStore(StoreReader):
    """In-memory store of servers with outages and lost history."""

    def __init__(self):
        self.revision = 1
        self.servers = {}
        self.history = []
        self.unavailable = False
        self.silent = False
        # Until this time, answers to pending watches are lost.
        self.answers_lost_until = 0
        self.oldest_revision = 0
        self.calls = []
        self.changed = asyncio.Event()

    def put(self, number):
        self.revision += 1
        self.servers[number] = server(number, self.revision)
        self._append_change(ServerChanged(self.servers[number]))

    def remove(self, number):
        self.revision += 1
        self.servers.pop(number)
        self._append_change(ServerRemoved(f'i-{number}', self.revision))

    def forget_history(self):
        self.oldest_revision = self.revision
        self.history.clear()
        self.changed.set()

    def _append_change(self, change):
        self.history.append((self.revision, change))
        self.changed.set()

    async def _record_call(self, name, kind=None):
        self.calls.append((name, kind))
        if self.silent:
            await asyncio.sleep(60)
        if self.unavailable:
            raise IbismountError(ErrorCode.PLATFORM_UNAVAILABLE, 'away')

    async def list(self, kind):
        await self._record_call('list', kind)
        if kind is ResourceKind.ROUTES:
            return ChangeBatch([RouteTable(1)], self.revision)
        if kind is ResourceKind.ZONES:
            return ChangeBatch([], self.revision)
        listed = ServersListed(tuple(self.servers.values()), self.revision)
        return ChangeBatch([listed], self.revision)

    async def watch(self, kind, revision, wait_s):
        await self._record_call('watch', kind)
        deadline = asyncio.get_running_loop().time() + wait_s
        while True:
            if asyncio.get_running_loop().time() < self.answers_lost_until:
                await asyncio.sleep(wait_s + 1.5)
                raise IbismountError(ErrorCode.PLATFORM_UNAVAILABLE, 'lost')
            if revision < self.oldest_revision:
                raise HistoryLost('gone')
            changes = [
                change
                for changed_at_revision, change in self.history
                if changed_at_revision > revision
                and kind is ResourceKind.SERVERS
            ]
            remaining_s = deadline - asyncio.get_running_loop().time()
            if changes or remaining_s <= 0:
                return ChangeBatch(changes, self.revision)
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), remaining_s)
            except TimeoutError:
                continue
            if self.unavailable:
                raise IbismountError(ErrorCode.PLATFORM_UNAVAILABLE, 'away')

    async def check(self, kind, revision, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                return await self.watch(kind, revision, 0)
        except TimeoutError as exc:
            raise IbismountError(
                ErrorCode.PLATFORM_UNAVAILABLE, 'silent'
            ) from exc

    async def probe(self, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                await self._record_call('probe')
                return self.revision
        except TimeoutError as exc:
            raise IbismountError(
                ErrorCode.PLATFORM_UNAVAILABLE, 'silent'
            ) from exc


def start_feed(store):
    loop = asyncio.get_running_loop()
    fleet = FleetState(loop.time)
    feed = ChangeFeed(store, fleet.apply, now=loop.time, rng=random.Random(1))
    feed.start()
    return fleet, feed


def server_ids(fleet):
    return sorted(entry.id for entry in fleet.servers.of_service('desk'))


def test_view_follows_changes_within_seconds():
    """A drain must reach the view well within 3 s."""

    async def main():
        store = FakeStore()
        store.put(1)
        store.put(2)
        fleet, feed = start_feed(store)
        await asyncio.sleep(1)
        assert feed.current
        assert server_ids(fleet) == ['i-1', 'i-2']
        store.remove(1)
        await asyncio.sleep(0.3)
        assert server_ids(fleet) == ['i-2']
        feed.stop()

    run_on_virtual_time(main)


def test_idle_store_gets_few_calls():
    """Every call costs money; an idle minute needs only a few watches."""

    async def main():
        store = FakeStore()
        _, feed = start_feed(store)
        await asyncio.sleep(60)
        feed.stop()
        calls = [name for name, _ in store.calls if name != 'probe']
        assert len(calls) <= 3 + 3 * 4

    run_on_virtual_time(main)


def test_burst_of_changes_is_batched():
    """Without a pause between watches, each changed entry costs a call."""

    async def main():
        store = FakeStore()
        _, feed = start_feed(store)
        await asyncio.sleep(1)
        store.calls.clear()
        for number in range(100):
            store.put(number)
            await asyncio.sleep(0.01)
        await asyncio.sleep(1)
        feed.stop()
        watches = [call for call in store.calls if call[0] == 'watch']
        assert len(watches) <= 10

    run_on_virtual_time(main)


def test_lost_history_causes_a_new_list():
    """A removal in the lost part of the history must not be missed."""

    async def main():
        store = FakeStore()
        store.put(1)
        store.put(2)
        fleet, feed = start_feed(store)
        await asyncio.sleep(1)
        store.servers.pop(1)
        store.revision += 1
        store.forget_history()
        await asyncio.sleep(1)
        assert server_ids(fleet) == ['i-2']
        feed.stop()

    run_on_virtual_time(main)


def test_view_is_kept_while_the_store_is_unavailable():
    """An outage of the store must not empty the view."""

    async def main():
        store = FakeStore()
        store.put(1)
        fleet, feed = start_feed(store)
        await asyncio.sleep(1)
        store.unavailable = True
        store.changed.set()
        await asyncio.sleep(30)
        assert not feed.current
        assert server_ids(fleet) == ['i-1']
        store.unavailable = False
        await asyncio.sleep(OPTIONS.max_backoff_s * 1.5)
        assert feed.current
        feed.stop()

    run_on_virtual_time(main)


def test_entries_that_expired_during_an_outage_are_removed_after_a_delay():
    """Servers that expired are kept for some 2 s, then removed."""

    async def main():
        store = FakeStore()
        store.put(1)
        store.put(2)
        fleet, feed = start_feed(store)
        await asyncio.sleep(1)
        store.unavailable = True
        store.changed.set()
        await asyncio.sleep(5)
        store.remove(1)
        store.remove(2)
        store.unavailable = False
        await asyncio.sleep(2.2)
        loop = asyncio.get_running_loop()
        fleet.servers.expire(loop.time())
        assert server_ids(fleet) == ['i-1', 'i-2']
        store.put(2)
        await asyncio.sleep(OPTIONS.removal_delay_s + 1)
        fleet.servers.expire(loop.time())
        assert server_ids(fleet) == ['i-2']
        feed.stop()

    run_on_virtual_time(main)


def test_silent_store_is_detected_by_the_probe():
    """A watch on a silent connection looks the same as an idle store."""

    async def main():
        store = FakeStore()
        _, feed = start_feed(store)
        await asyncio.sleep(1)
        assert feed.current
        store.silent = True
        await asyncio.sleep(2)
        assert not feed.current
        feed.stop()

    run_on_virtual_time(main)


def test_unavailable_store_is_called_with_backoff():
    """Failed calls cost money too."""

    async def main():
        store = FakeStore()
        _, feed = start_feed(store)
        await asyncio.sleep(1)
        store.unavailable = True
        store.changed.set()
        store.calls.clear()
        await asyncio.sleep(20)
        assert len(store.calls) <= 20 * 4 / OPTIONS.max_backoff_s * 1.5
        feed.stop()

    run_on_virtual_time(main)


def test_watch_with_a_lost_answer_is_sent_again():
    """The answer to a watch was lost, so a drain was missed for 18 s."""

    async def main():
        store = FakeStore()
        store.put(1)
        store.put(2)
        loop = asyncio.get_running_loop()
        store.answers_lost_until = loop.time() + 0.5
        fleet, feed = start_feed(store)
        await asyncio.sleep(5)
        store.remove(1)
        await asyncio.sleep(2.3)
        assert server_ids(fleet) == ['i-2']
        feed.stop()

    run_on_virtual_time(main)


def test_changes_of_other_kinds_do_not_restart_watches_repeatedly():
    """Objects that are not watched raise the store's revision too."""

    async def main():
        store = FakeStore()
        _, feed = start_feed(store)
        await asyncio.sleep(1)
        store.calls.clear()
        store.revision += 1
        await asyncio.sleep(10)
        feed.stop()
        watches = [call for call in store.calls if call[0] == 'watch']
        assert len(watches) <= 6

    run_on_virtual_time(main)


def test_second_lost_answer_is_noticed_too():
    """Watches that were sent again counted as current at once.

    When the second answer was lost too, the change was missed for 18 s.
    """

    async def main():
        store = FakeStore()
        store.put(1)
        store.put(2)
        loop = asyncio.get_running_loop()
        store.answers_lost_until = loop.time() + 0.5
        fleet, feed = start_feed(store)
        await asyncio.sleep(5)
        # Lasts until the watches have been sent again.
        store.answers_lost_until = loop.time() + 2.2
        store.remove(1)
        await asyncio.sleep(2.3)
        assert server_ids(fleet) == ['i-1', 'i-2']
        await asyncio.sleep(4.5)
        assert server_ids(fleet) == ['i-2']
        feed.stop()

    run_on_virtual_time(main)


def test_lag_of_an_earlier_run_is_forgotten():
    """A feed that was stopped while it lagged sent its new watches twice."""

    async def main():
        store = FakeStore()
        _, feed = start_feed(store)
        await asyncio.sleep(1)
        store.revision += 1
        await asyncio.sleep(OPTIONS.probe_interval_s)
        feed.stop()
        await asyncio.sleep(5)
        store.calls.clear()
        feed.start()
        await asyncio.sleep(0.1)
        store.revision += 1
        await asyncio.sleep(OPTIONS.probe_interval_s)
        feed.stop()
        watches = [call for call in store.calls if call[0] == 'watch']
        assert len(watches) == 3

    run_on_virtual_time(main)


def test_contact_is_reported_once_it_is_complete_and_again_after_a_loss():
    """Nodes that start wait for a source that has listed every kind."""

    async def main():
        loop = asyncio.get_running_loop()
        store = FakeStore()
        reported = []
        feed = ChangeFeed(
            store,
            FleetState(loop.time).apply,
            now=loop.time,
            rng=random.Random(1),
            on_current=lambda: reported.append(set(feed._revisions)),
        )
        feed.start()
        await asyncio.sleep(3)
        assert reported == [set(ResourceKind)]
        store.unavailable = True
        await asyncio.sleep(3)
        store.unavailable = False
        await asyncio.sleep(5)
        assert len(reported) == 2
        feed.stop()

    run_on_virtual_time(main)
