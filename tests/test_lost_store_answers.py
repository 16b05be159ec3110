"""Tests that lost answers of the store never leave a view behind for long."""

import asyncio
import random

import pytest

from ibismount.change_feed import (
    ChangeBatch,
    ChangeFeed,
    HistoryLost,
    ResourceKind,
    StoreReader,
)
from ibismount.errors import ErrorCode, IbismountError
from ibismount.fleet_state import (
    FleetState,
    ServerChanged,
    ServersListed,
    ZoneChanged,
    ZonesListed,
)
from ibismount.routes import RouteTable
from ibismount.server_table import Server
from tests.virtual_time import run_on_virtual_time

# Once the store has answered all calls for this time, a node is up to date.
CONTACT_S = 4.0
LIST_TIMEOUT_S = 1.0
WATCH_MARGIN_S = 1.5


class LossyStore(StoreReader):
    """In-memory store of all kinds that loses the answers to chosen calls."""

    def __init__(self):
        self.revision = 1
        self.version = 1
        self.servers = {}
        self.zones = set()
        # Returns whether the answer to a call is lost, from its name and kind.
        self.loses = lambda name, kind: False
        self.calls = []
        self._history = []
        self._oldest_revision = 0
        self._changed = asyncio.Event()

    def change(self, kind):
        """Change one object of a kind."""
        self.revision += 1
        if kind is ResourceKind.ROUTES:
            self.version += 1
            change = RouteTable(self.version)
        elif kind is ResourceKind.SERVERS:
            name = f'i-{self.revision % 5}'
            server = Server(
                name, 'desk', 'h', 1, 'z', 4, revision=self.revision
            )
            self.servers[name] = server
            change = ServerChanged(server)
        else:
            zone = f'z{self.revision % 3}'
            self.zones ^= {zone}
            change = ZoneChanged(zone, zone in self.zones, self.revision)
        self._history.append((self.revision, kind, change))
        self._changed.set()

    def drop_history(self):
        """Drop the history, so that later calls must list."""
        self._history.clear()
        self._oldest_revision = self.revision

    async def list(self, kind):
        changes = {
            ResourceKind.ROUTES: RouteTable(self.version),
            ResourceKind.SERVERS: ServersListed(
                tuple(self.servers.values()), self.revision
            ),
            ResourceKind.ZONES: ZonesListed(tuple(self.zones), self.revision),
        }
        batch = ChangeBatch([changes[kind]], self.revision)
        return await self._answer('list', kind, batch, LIST_TIMEOUT_S)

    async def watch(self, kind, revision, wait_s):
        loop = asyncio.get_running_loop()
        end_at = loop.time() + wait_s
        try:
            async with asyncio.timeout_at(end_at):
                while not self._changes_since(kind, revision).changes:
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            pass
        batch = self._changes_since(kind, revision)
        return await self._answer(
            'watch', kind, batch, end_at - loop.time() + WATCH_MARGIN_S
        )

    async def check(self, kind, revision, timeout_s):
        batch = self._changes_since(kind, revision)
        return await self._answer('check', kind, batch, timeout_s)

    async def probe(self, timeout_s):
        return await self._answer('probe', None, self.revision, timeout_s)

    def _changes_since(self, kind, revision):
        if revision < self._oldest_revision:
            raise HistoryLost('gone')
        changes = [
            change
            for changed_at, changed_kind, change in self._history
            if changed_at > revision and changed_kind is kind
        ]
        return ChangeBatch(changes, self.revision)

    async def _answer(self, name, kind, answer, timeout_s):
        self.calls.append((name, kind))
        if self.loses(name, kind):
            await asyncio.sleep(timeout_s)
            raise IbismountError(ErrorCode.PLATFORM_UNAVAILABLE, 'lost')
        return answer


def start_feed(store, seed=1):
    loop = asyncio.get_running_loop()
    fleet = FleetState(loop.time)
    feed = ChangeFeed(
        store, fleet.apply, now=loop.time, rng=random.Random(seed)
    )
    feed.start()
    return fleet, feed


def view_of(fleet):
    revisions = {
        server.id: server.revision for server in fleet.servers.all_servers()
    }
    return fleet.route_table.version, revisions, set(fleet.zones_out)


def content_of(store):
    revisions = {
        server.id: server.revision for server in store.servers.values()
    }
    return store.version, revisions, store.zones


async def assert_complete_once_calm(store, fleet):
    store.loses = lambda name, kind: False
    await asyncio.sleep(CONTACT_S)
    assert view_of(fleet) == content_of(store)


@pytest.mark.parametrize('next_kind', ResourceKind)
@pytest.mark.parametrize('lost_kind', ResourceKind)
def test_lost_answer_is_noticed_whatever_changes_next(lost_kind, next_kind):
    """A change of another kind hid a lost answer, so a change took 18 s.

    The answer to that change's watch had a later revision than the lost one.
    """

    async def main():
        store = LossyStore()
        fleet, feed = start_feed(store)
        await asyncio.sleep(5)
        store.loses = lambda name, kind: name == 'watch' and kind is lost_kind
        store.change(lost_kind)
        await asyncio.sleep(0.3)
        store.change(next_kind)
        await asyncio.sleep(0.7)
        await assert_complete_once_calm(store, fleet)
        feed.stop()

    run_on_virtual_time(main)


@pytest.mark.parametrize('loss_s', [2.0, 4.5, 6.0, 9.0, 14.0])
def test_answers_that_are_lost_again_delay_no_change_for_long(loss_s):
    """Watches were sent again after ever longer times, the third time 32 s."""

    async def main():
        store = LossyStore()
        fleet, feed = start_feed(store)
        await asyncio.sleep(5)
        store.loses = lambda name, kind: (
            name in {'watch', 'check'} and kind is ResourceKind.ROUTES
        )
        store.change(ResourceKind.ROUTES)
        await asyncio.sleep(loss_s)
        await assert_complete_once_calm(store, fleet)
        feed.stop()

    run_on_virtual_time(main)


# In the last three, the pause after lost probes was too long.
@pytest.mark.parametrize('seed', [*range(60), 1465, 2534, 2771])
def test_view_is_complete_soon_after_the_last_lost_answer(seed):
    """Each kind of call can lose its answer, in any order, again and again."""

    async def main():
        rng = random.Random(seed)
        store = LossyStore()
        fleet, feed = start_feed(store, seed)
        await asyncio.sleep(rng.uniform(1, 20))
        loss_share = rng.choice((0.35, 0.7, 0.95))
        store.loses = lambda name, kind: rng.random() < loss_share
        for _ in range(rng.randrange(1, 12)):
            store.change(rng.choice(list(ResourceKind)))
            if rng.random() < 0.1:
                store.drop_history()
            await asyncio.sleep(rng.choice((0, 0.1, 0.4, 1.5)))
        await assert_complete_once_calm(store, fleet)
        feed.stop()

    run_on_virtual_time(main)


@pytest.mark.parametrize('seed', range(8))
@pytest.mark.parametrize('lost_count', [1, 3, 5])
def test_lost_probes_delay_no_change_for_long(lost_count, seed):
    """The backoff after lost probes came on top of the usual interval."""

    async def main():
        store = LossyStore()
        fleet, feed = start_feed(store, seed)
        await asyncio.sleep(5)
        store.loses = lambda name, kind: True
        store.change(ResourceKind.ROUTES)
        store.calls.clear()
        # The loss ends right after the last of the lost probes was sent.
        while store.calls.count(('probe', None)) < lost_count:
            await asyncio.sleep(0.01)
        await assert_complete_once_calm(store, fleet)
        feed.stop()

    run_on_virtual_time(main)


def test_node_is_not_up_to_date_while_a_check_has_no_answer():
    """Other nodes rely on what a node that calls itself current has."""

    async def main():
        store = LossyStore()
        _, feed = start_feed(store)
        await asyncio.sleep(5)
        assert feed.current
        store.loses = lambda name, kind: (
            name in {'watch', 'check'} and kind is ResourceKind.ZONES
        )
        store.change(ResourceKind.ZONES)
        await asyncio.sleep(3)
        for _ in range(20):
            assert not feed.current
            await asyncio.sleep(0.1)
        store.loses = lambda name, kind: False
        await asyncio.sleep(CONTACT_S)
        assert feed.current
        feed.stop()

    run_on_virtual_time(main)


def test_history_that_is_gone_at_a_check_causes_a_new_list():
    """The changes behind a lost answer can't be fetched any more then."""

    async def main():
        store = LossyStore()
        fleet, feed = start_feed(store)
        await asyncio.sleep(5)
        store.loses = lambda name, kind: name == 'watch'
        store.change(ResourceKind.ZONES)
        store.drop_history()
        await asyncio.sleep(0.5)
        await assert_complete_once_calm(store, fleet)
        feed.stop()

    run_on_virtual_time(main)


def test_change_costs_at_most_one_check_of_each_other_kind():
    """Every call to the store costs money."""

    async def main():
        store = LossyStore()
        _, feed = start_feed(store)
        await asyncio.sleep(1)
        store.calls.clear()
        store.change(ResourceKind.SERVERS)
        await asyncio.sleep(10)
        feed.stop()
        calls = [call for call in store.calls if call[0] != 'probe']
        # The answered watch, and one check of each of the two other kinds.
        assert len(calls) <= 3
        assert ('check', ResourceKind.SERVERS) not in calls

    run_on_virtual_time(main)


def test_steady_changes_cost_few_checks():
    """Servers that register one after the other must not cost many calls."""

    async def main():
        store = LossyStore()
        _, feed = start_feed(store)
        await asyncio.sleep(1)
        store.calls.clear()
        for _ in range(100):
            store.change(ResourceKind.SERVERS)
            await asyncio.sleep(0.1)
        feed.stop()
        checks = [call for call in store.calls if call[0] == 'check']
        assert len(checks) <= 2 * 10

    run_on_virtual_time(main)
