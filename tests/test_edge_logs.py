"""Log lines never block a node, and stay bounded."""

import json
import logging
import os

import pytest
from pythonjsonlogger.msgspec import MsgspecFormatter

from ibismount.edge_logs import RateLimitedHandler


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def make(writer, **options):
    handler = RateLimitedHandler(writer, **options)
    handler.setFormatter(MsgspecFormatter('{levelname}{message}', style='{'))
    return handler


def record(message='request failed', **extra):
    made = logging.LogRecord('x', logging.INFO, '', 1, message, (), None)
    made.__dict__.update(extra)
    return made


def lines(reader):
    return [json.loads(line) for line in os.read(reader, 65536).splitlines()]


def test_reader_that_stalls_does_not_block_the_node(pipe):
    """A full pipe once stopped a process that wrote its logs to it."""
    reader, writer = pipe
    handler = make(writer, lines_per_s=10**9)
    for number in range(5000):
        handler.emit(record(request_id=f'{number:0100}'))
    assert handler.dropped > 0
    found = []
    os.set_blocking(reader, False)
    while True:
        try:
            found.append(os.read(reader, 65536))
        except BlockingIOError:
            break
    handler.emit(record('later'))
    handler.emit(record('last'))
    found.append(os.read(reader, 65536))
    whole = b''.join(found).splitlines()
    assert [json.loads(line)['message'] for line in whole][-1] == 'last'


def test_lines_of_one_kind_are_bounded_and_counted(pipe):
    """A fault that hits every request must not log every request."""
    reader, writer = pipe
    now = [5.0]
    handler = make(writer, lines_per_s=3, clock=lambda: now[0])
    for _ in range(10):
        handler.emit(record())
    handler.emit(record('other'))
    assert len(lines(reader)) == 4
    now[0] = 6.0
    handler.emit(record())
    assert lines(reader)[0]['left_out'] == 7


def test_fields_are_kept(pipe):
    """An engineer finds a request by its id."""
    reader, writer = pipe
    make(writer).emit(record(request_id='abc', version=7))
    line = lines(reader)[0]
    assert (line['request_id'], line['version']) == ('abc', 7)


def test_reader_that_is_gone_does_not_end_the_node(pipe):
    """Logs are lost when nobody reads them; requests are not."""
    reader, writer = pipe
    handler = make(writer)
    spare, _ = os.pipe()
    os.dup2(spare, reader)
    handler.emit(record())
    assert handler.dropped == 1
