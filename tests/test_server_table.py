"""The table of backend servers under late, lost and repeated entries."""

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
    return sorted(one.id for one in table.of_service(service))


def test_leaving_server_gets_no_new_work():
    """A server that drains must disappear from the choice at once."""
    table = ServerTable()
    table.upsert(0, SERVER)
    assert ids(table) == ['i-1']
    table.upsert(1, dataclasses.replace(SERVER, leaving=True, revision=6))
    assert ids(table) == []
    assert table.get('i-1').leaving


def test_older_entry_does_not_bring_a_server_back():
    """Views of peers arrive in any order; the newest revision wins."""
    table = ServerTable()
    table.upsert(0, SERVER)
    table.upsert(1, dataclasses.replace(SERVER, leaving=True, revision=8))
    assert not table.upsert(2, SERVER)
    table.remove(3, 'i-1', 9)
    assert not table.upsert(4, dataclasses.replace(SERVER, revision=8))
    assert ids(table) == []


def test_restart_under_the_same_id_is_taken():
    """A later start of the same id replaces the former one."""
    table = ServerTable()
    table.upsert(0, SERVER)
    table.remove(1, 'i-1', 9)
    again = dataclasses.replace(SERVER, incarnation=7, revision=11)
    assert table.upsert(2, again)
    late = dataclasses.replace(SERVER, incarnation=6, revision=12)
    assert not table.upsert(3, late)
    assert table.get('i-1').incarnation == 7


def test_doubted_loss_keeps_the_server_until_the_delay_ends():
    """Entries lapse while the store is away, though their servers live."""
    table = ServerTable()
    table.upsert(0, SERVER)
    assert table.remove(1, 'i-1', 9, delay_s=2)
    assert not table.remove(1, 'i-1', 9, delay_s=2)
    assert ids(table) == ['i-1']
    assert table.missing_count() == 1
    assert table.expire(2.9) == []
    assert [one.id for one in table.expire(3)] == ['i-1']
    assert ids(table) == []


def test_entry_that_returns_ends_the_doubt():
    """A server that registers again must not be dropped later."""
    table = ServerTable()
    table.upsert(0, SERVER)
    table.remove(1, 'i-1', 9, delay_s=2)
    table.upsert(2, dataclasses.replace(SERVER, revision=10))
    assert table.expire(60) == []


def test_stale_list_neither_removes_nor_reverts_newer_entries():
    """A list of an older revision comes late from a slow peer."""
    table = ServerTable()
    table.upsert(0, SERVER)
    newer = dataclasses.replace(SERVER, id='i-2', revision=20)
    table.upsert(1, newer)
    assert not table.replace(2, [SERVER], 10)
    assert ids(table) == ['i-1', 'i-2']
    assert table.replace(3, [SERVER], 30)
    assert ids(table) == ['i-1']


def test_server_is_cold_for_as_long_as_it_said():
    """A cold server is told apart until its announced time is over."""
    table = ServerTable()
    table.upsert(10, dataclasses.replace(SERVER, cold_s=3))
    assert table.is_cold('i-1', 12.9)
    assert not table.is_cold('i-1', 13)
