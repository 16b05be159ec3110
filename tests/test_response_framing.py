"""Where a response ends: interim responses, HEAD, and statuses without body."""

import pytest

from ibismount.http_client import ExchangeFailure
from tests.test_response_bounds import Owner, start_exchange

OK = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'


def statuses(owner):
    return [getattr(outcome, 'status', outcome) for outcome in owner.outcomes]


@pytest.mark.parametrize(
    'interim',
    [
        b'HTTP/1.1 100 Continue\r\n\r\n',
        b'HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n',
        b'HTTP/1.1 103 Early Hints\r\ncontent-length: 0\r\n\r\n',
    ],
)
def test_interim_response_is_not_the_response(interim):
    """The real response then counted as an extra one, or was lost."""
    conn, owner, transport = start_exchange()
    conn.data_received(interim)
    assert owner.outcomes == []
    conn.data_received(OK)
    assert statuses(owner) == [200]
    assert not transport.aborted


def test_connection_that_ends_after_an_interim_response_is_broken():
    """An interim response must not count as complete at the end."""
    conn, owner, _ = start_exchange()
    conn.data_received(b'HTTP/1.1 100 Continue\r\n\r\n')
    conn.eof_received()
    conn.connection_lost(None)
    assert owner.outcomes == [ExchangeFailure.BROKEN]


def test_response_to_head_has_no_body():
    """Its length is that of a body that never comes; the caller waited."""
    conn, owner, transport = start_exchange(b'HEAD')
    conn.data_received(b'HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\n')
    assert statuses(owner) == [200]
    # The parser takes what follows for a body, so the connection ends.
    assert transport.aborted


def test_bytes_after_a_response_to_head_reach_nobody():
    """A server may send the body all the same."""
    conn, owner, transport = start_exchange(b'HEAD')
    conn.data_received(b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n' + OK)
    conn.data_received(OK)
    assert statuses(owner) == [200]
    assert owner.outcomes[0].body == b''
    assert transport.aborted


@pytest.mark.parametrize('status', [204, 304])
@pytest.mark.parametrize('length', [b'', b'content-length: 900\r\n'])
def test_status_without_body_ends_with_its_head(status, length):
    """A stated length must not make the next response part of this one."""
    conn, owner, transport = start_exchange()
    conn.data_received(b'HTTP/1.1 %d X\r\n' % status + length + b'\r\n')
    assert statuses(owner) == [status]
    if not transport.aborted:
        following = Owner()
        conn.send(following, b'GET / HTTP/1.1\r\n\r\n')
        conn.data_received(OK)
        assert statuses(following) == [200]


def test_second_copy_after_a_status_without_body_closes_the_connection():
    """The next caller must not get a late copy."""
    conn, owner, transport = start_exchange()
    conn.data_received(b'HTTP/1.1 204 X\r\n\r\n' + OK)
    assert statuses(owner) == [204]
    assert transport.aborted
