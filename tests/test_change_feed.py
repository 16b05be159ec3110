"""Following the store through outages, lost history and lapsed entries."""

import asyncio
import random

from ibismount.change_feed import (
    Batch,
    ChangeFeed,
    Feed,
    FeedKind,
    FeedOptions,
    HistoryLost,
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
from tests.virtual_time import run_jumping

OPTIONS = FeedOptions()


def server(number, revision):
    return Server(f'i-{number}', 'desk', 'h', 1, 'z', 4, revision=revision)


class Store(Feed):
    """A store of servers that can be away and forget its history."""

    def __init__(self):
        self.revision = 1
        self.servers = {}
        self.log = []
        self.away = False
        self.silent = False
        # Answers to the watches under way are lost.
        self.deaf_until = 0
        self.oldest = 0
        self.calls = []
        self.changed = asyncio.Event()

    def put(self, number):
        self.revision += 1
        self.servers[number] = server(number, self.revision)
        self._note(ServerChanged(self.servers[number]))

    def drop(self, number):
        self.revision += 1
        self.servers.pop(number)
        self._note(ServerRemoved(f'i-{number}', self.revision))

    def forget_history(self):
        self.oldest = self.revision
        self.log.clear()
        self.changed.set()

    def _note(self, change):
        self.log.append((self.revision, change))
        self.changed.set()

    async def _call(self, name, kind=None):
        self.calls.append((name, kind))
        if self.silent:
            await asyncio.sleep(60)
        if self.away:
            raise IbismountError(ErrorCode.PLATFORM_UNAVAILABLE, 'away')

    async def list(self, kind):
        await self._call('list', kind)
        if kind is FeedKind.ROUTES:
            return Batch([RouteTable(1)], self.revision)
        if kind is FeedKind.ZONES:
            return Batch([], self.revision)
        listed = ServersListed(tuple(self.servers.values()), self.revision)
        return Batch([listed], self.revision)

    async def watch(self, kind, revision, wait_s):
        await self._call('watch', kind)
        end = asyncio.get_running_loop().time() + wait_s
        while True:
            if asyncio.get_running_loop().time() < self.deaf_until:
                await asyncio.sleep(wait_s + 1.5)
                raise IbismountError(ErrorCode.PLATFORM_UNAVAILABLE, 'lost')
            if revision < self.oldest:
                raise HistoryLost('gone')
            found = [
                change
                for at, change in self.log
                if at > revision and kind is FeedKind.SERVERS
            ]
            left = end - asyncio.get_running_loop().time()
            if found or left <= 0:
                return Batch(found, self.revision)
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue
            if self.away:
                raise IbismountError(ErrorCode.PLATFORM_UNAVAILABLE, 'away')

    async def probe(self, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                await self._call('probe')
                return self.revision
        except TimeoutError as exc:
            raise IbismountError(
                ErrorCode.PLATFORM_UNAVAILABLE, 'silent'
            ) from exc


def make(store):
    loop = asyncio.get_running_loop()
    fleet = FleetState(loop.time)
    feed = ChangeFeed(store, fleet.apply, now=loop.time, rng=random.Random(1))
    feed.start()
    return fleet, feed


def ids(fleet):
    return sorted(one.id for one in fleet.servers.of_service('desk'))


def test_view_follows_changes_soon():
    """A drain must reach the view well within three seconds."""

    async def main():
        store = Store()
        store.put(1)
        store.put(2)
        fleet, feed = make(store)
        await asyncio.sleep(1)
        assert feed.current
        assert ids(fleet) == ['i-1', 'i-2']
        store.drop(1)
        await asyncio.sleep(0.3)
        assert ids(fleet) == ['i-2']
        feed.stop()

    run_jumping(main)


def test_quiet_store_costs_few_calls():
    """Every call is paid for; a calm minute needs a handful of watches."""

    async def main():
        store = Store()
        _, feed = make(store)
        await asyncio.sleep(60)
        feed.stop()
        calls = [name for name, _ in store.calls if name != 'probe']
        assert len(calls) <= 3 + 3 * 4

    run_jumping(main)


def test_burst_of_changes_is_gathered():
    """A watch that returns for every entry costs a call each."""

    async def main():
        store = Store()
        _, feed = make(store)
        await asyncio.sleep(1)
        store.calls.clear()
        for number in range(100):
            store.put(number)
            await asyncio.sleep(0.01)
        await asyncio.sleep(1)
        feed.stop()
        watches = [one for one in store.calls if one[0] == 'watch']
        assert len(watches) <= 10

    run_jumping(main)


def test_lost_history_leads_to_a_new_list():
    """A removal in a gap of the history must not be missed."""

    async def main():
        store = Store()
        store.put(1)
        store.put(2)
        fleet, feed = make(store)
        await asyncio.sleep(1)
        store.servers.pop(1)
        store.revision += 1
        store.forget_history()
        await asyncio.sleep(1)
        assert ids(fleet) == ['i-2']
        feed.stop()

    run_jumping(main)


def test_view_stays_while_the_store_is_away():
    """An outage of the store must not empty the view."""

    async def main():
        store = Store()
        store.put(1)
        fleet, feed = make(store)
        await asyncio.sleep(1)
        store.away = True
        store.changed.set()
        await asyncio.sleep(30)
        assert not feed.current
        assert ids(fleet) == ['i-1']
        store.away = False
        await asyncio.sleep(OPTIONS.pause_most_s * 1.5)
        assert feed.current
        feed.stop()

    run_jumping(main)


def test_entries_that_lapsed_during_an_outage_are_doubted_then_gone():
    """Lapsed servers are kept for two seconds, then taken as gone."""

    async def main():
        store = Store()
        store.put(1)
        store.put(2)
        fleet, feed = make(store)
        await asyncio.sleep(1)
        store.away = True
        store.changed.set()
        await asyncio.sleep(5)
        store.drop(1)
        store.drop(2)
        store.away = False
        await asyncio.sleep(2.2)
        loop = asyncio.get_running_loop()
        fleet.servers.expire(loop.time())
        assert ids(fleet) == ['i-1', 'i-2']
        store.put(2)
        await asyncio.sleep(OPTIONS.removal_delay_s + 1)
        fleet.servers.expire(loop.time())
        assert ids(fleet) == ['i-2']
        feed.stop()

    run_jumping(main)


def test_silent_store_is_noticed_by_the_probe():
    """A watch on a silent connection looks the same as a quiet store."""

    async def main():
        store = Store()
        _, feed = make(store)
        await asyncio.sleep(1)
        assert feed.current
        store.silent = True
        await asyncio.sleep(2)
        assert not feed.current
        feed.stop()

    run_jumping(main)


def test_store_that_is_away_is_not_called_all_the_time():
    """Refused calls are paid for as well."""

    async def main():
        store = Store()
        _, feed = make(store)
        await asyncio.sleep(1)
        store.away = True
        store.changed.set()
        store.calls.clear()
        await asyncio.sleep(20)
        assert len(store.calls) <= 20 * 4 / OPTIONS.pause_most_s * 1.5
        feed.stop()

    run_jumping(main)


def test_watch_whose_answer_was_lost_is_noticed():
    """A drain was missed for 18 s: the answer of the watch never came."""

    async def main():
        store = Store()
        store.put(1)
        store.put(2)
        loop = asyncio.get_running_loop()
        store.deaf_until = loop.time() + 0.5
        fleet, feed = make(store)
        await asyncio.sleep(5)
        store.drop(1)
        await asyncio.sleep(2.3)
        assert ids(fleet) == ['i-2']
        feed.stop()

    run_jumping(main)


def test_changes_of_other_kinds_do_not_restart_watches_for_ever():
    """The revision also grows by objects that are not followed."""

    async def main():
        store = Store()
        _, feed = make(store)
        await asyncio.sleep(1)
        store.calls.clear()
        store.revision += 1
        await asyncio.sleep(10)
        feed.stop()
        watches = [one for one in store.calls if one[0] == 'watch']
        assert len(watches) <= 6

    run_jumping(main)
