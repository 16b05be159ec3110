"""The table of backend servers: late, lost and repeated entries."""

import dataclasses

from ibismount.server_table import Server, ServerTable

SERVER = Server(
    id='i-1',
    service='desk',
    host='10.0.0.1',
    port=80,
    zone='z1',
    slots=4,
    revision=5,
)


def ids(table, service='desk'):
    return sorted(server.id for server in table.of_service(service))


def test_leaving_server_gets_no_new_work():
    """A server that drains must not be chosen any more."""
    table = ServerTable()
    table.upsert(0, SERVER)
    assert ids(table) == ['i-1']
    table.upsert(1, dataclasses.replace(SERVER, leaving=True, revision=6))
    assert ids(table) == []
    assert table.get('i-1').leaving


def test_older_entry_does_not_bring_a_server_back():
    """Peers send entries in any order; the newest revision wins."""
    table = ServerTable()
    table.upsert(0, SERVER)
    table.upsert(1, dataclasses.replace(SERVER, leaving=True, revision=8))
    assert not table.upsert(2, SERVER)
    table.remove(3, 'i-1', 9)
    assert not table.upsert(4, dataclasses.replace(SERVER, revision=8))
    assert ids(table) == []


def test_restart_under_the_same_id_replaces_the_entry():
    """A server may return under its id as a new incarnation."""
    table = ServerTable()
    table.upsert(0, SERVER)
    table.remove(1, 'i-1', 9)
    restarted = dataclasses.replace(SERVER, incarnation=7, revision=11)
    assert table.upsert(2, restarted)
    late = dataclasses.replace(SERVER, incarnation=6, revision=12)
    assert not table.upsert(3, late)
    assert table.get('i-1').incarnation == 7


def test_delayed_removal_keeps_the_server_until_the_delay_ends():
    """Entries expire while the store is away, though their servers run."""
    table = ServerTable()
    table.upsert(0, SERVER)
    assert table.remove(1, 'i-1', 9, delay_s=2)
    assert not table.remove(1, 'i-1', 9, delay_s=2)
    assert ids(table) == ['i-1']
    assert table.missing_count() == 1
    assert table.expire(2.9) == []
    assert [server.id for server in table.expire(3)] == ['i-1']
    assert ids(table) == []


def test_entry_that_returns_cancels_the_delayed_removal():
    """A server that registers again must not be dropped later."""
    table = ServerTable()
    table.upsert(0, SERVER)
    table.remove(1, 'i-1', 9, delay_s=2)
    table.upsert(2, dataclasses.replace(SERVER, revision=10))
    assert table.expire(60) == []


def test_stale_list_neither_removes_nor_reverts_newer_entries():
    """A slow peer may send a list of an older revision."""
    table = ServerTable()
    table.upsert(0, SERVER)
    newer = dataclasses.replace(SERVER, id='i-2', revision=20)
    table.upsert(1, newer)
    assert not table.replace(2, [SERVER], 10)
    assert ids(table) == ['i-1', 'i-2']
    assert table.replace(3, [SERVER], 30)
    assert ids(table) == ['i-1']


def test_server_is_cold_for_the_time_in_its_entry():
    """A server counts as cold until its announced time is over."""
    table = ServerTable()
    table.upsert(10, dataclasses.replace(SERVER, cold_s=3))
    assert table.is_cold('i-1', 12.9)
    assert not table.is_cold('i-1', 13)


def test_entry_does_not_bring_back_a_server_that_said_it_leaves():
    """Its entry still says ready, and may vanish and come back."""
    table = ServerTable()
    table.upsert(0, SERVER)
    assert table.mark_leaving(1, SERVER)
    assert not table.mark_leaving(2, SERVER)
    assert ids(table) == []
    table.upsert(3, dataclasses.replace(SERVER, revision=6))
    assert ids(table) == []
    table.remove(4, 'i-1', 7)
    table.upsert(5, dataclasses.replace(SERVER, revision=8))
    assert ids(table) == []
    table.upsert(6, dataclasses.replace(SERVER, incarnation=1, revision=9))
    assert ids(table) == ['i-1']


def test_late_statement_of_an_earlier_lifetime_keeps_the_server():
    """A server that restarted must not leave with its former self."""
    table = ServerTable()
    table.upsert(0, dataclasses.replace(SERVER, incarnation=2))
    table.mark_leaving(1, dataclasses.replace(SERVER, incarnation=1))
    assert ids(table) == ['i-1']


def test_late_entry_does_not_bring_back_the_lifetime_that_said_it_leaves():
    """The entry of a restarted server came after its first answer."""
    table = ServerTable()
    table.upsert(0, SERVER)
    table.mark_leaving(1, SERVER)
    table.upsert(1.5, dataclasses.replace(SERVER, incarnation=1, revision=9))
    assert ids(table) == []
    table.upsert(9, dataclasses.replace(SERVER, incarnation=2, revision=10))
    assert ids(table) == ['i-1']


def test_server_is_replaced_by_a_later_lifetime_or_at_its_address():
    """A server that ended could be reached again before its entry lapsed."""
    table = ServerTable()
    table.upsert(0, SERVER)
    assert not table.is_replaced(SERVER)
    table.upsert(1, dataclasses.replace(SERVER, incarnation=7, revision=6))
    assert table.is_replaced(SERVER)
    other = dataclasses.replace(SERVER, id='i-2', revision=7)
    table.upsert(2, other)
    assert table.is_replaced(table.get('i-1'))
    assert not table.is_replaced(other)
    table.remove(3, 'i-1', 8)
    assert table.is_replaced(SERVER)


def test_server_that_moved_does_not_hold_its_former_address():
    """The next server there would count as the end of the wrong one."""
    table = ServerTable()
    table.upsert(0, SERVER)
    moved = dataclasses.replace(SERVER, port=81, revision=6)
    table.upsert(1, moved)
    table.upsert(2, dataclasses.replace(SERVER, id='i-2', revision=7))
    assert not table.is_replaced(moved)
    table.remove(3, 'i-2', 8)
    assert not table.is_replaced(SERVER)
