"""Logging never blocks a node, and its rate is limited."""

import json
import logging
import os

import pytest
from pythonjsonlogger.msgspec import MsgspecFormatter

from ibismount.edge_logs import MAX_KINDS, RateLimitedHandler


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def make_handler(writer, **options):
    handler = RateLimitedHandler(writer, **options)
    handler.setFormatter(MsgspecFormatter('{levelname}{message}', style='{'))
    return handler


def make_record(message='request failed', **extra):
    record = logging.LogRecord('x', logging.INFO, '', 1, message, (), None)
    record.__dict__.update(extra)
    return record


def read_lines(reader):
    return [json.loads(line) for line in os.read(reader, 65536).splitlines()]


def test_reader_that_stalls_does_not_block_the_node(pipe):
    """A process blocked on writing its logs to a full pipe."""
    reader, writer = pipe
    handler = make_handler(writer, lines_per_s=10**9)
    for number in range(5000):
        handler.emit(make_record(request_id=f'{number:0100}'))
    assert handler.dropped > 0
    chunks = []
    os.set_blocking(reader, False)
    while True:
        try:
            chunks.append(os.read(reader, 65536))
        except BlockingIOError:
            break
    handler.emit(make_record('later'))
    handler.emit(make_record('last'))
    chunks.append(os.read(reader, 65536))
    written = b''.join(chunks).splitlines()
    assert [json.loads(line)['message'] for line in written][-1] == 'last'


def test_lines_of_one_kind_are_bounded_and_counted(pipe):
    """A fault that affects every request must not log a line for each."""
    reader, writer = pipe
    now = [5.0]
    handler = make_handler(writer, lines_per_s=3, clock=lambda: now[0])
    for _ in range(10):
        handler.emit(make_record())
    handler.emit(make_record('other'))
    assert len(read_lines(reader)) == 4
    now[0] = 6.0
    handler.emit(make_record())
    assert read_lines(reader)[0]['left_out'] == 7


def test_fields_are_written(pipe):
    """An engineer finds a request in the logs by its id."""
    reader, writer = pipe
    make_handler(writer).emit(make_record(request_id='abc', version=7))
    line = read_lines(reader)[0]
    assert (line['request_id'], line['version']) == ('abc', 7)


def test_closed_reader_does_not_stop_the_node(pipe):
    """Without a reader, log lines are lost but requests are served."""
    reader, writer = pipe
    handler = make_handler(writer)
    spare, _ = os.pipe()
    os.dup2(spare, reader)
    handler.emit(make_record())
    assert handler.dropped == 1


def test_lines_are_bounded_with_many_kinds(pipe):
    """Above the bound of kinds in a second, lines were not limited at all."""
    reader, writer = pipe
    handler = make_handler(writer, lines_per_s=3, clock=lambda: 5.0)
    for number in range(MAX_KINDS):
        handler.emit(make_record(f'kind {number}'))
    os.read(reader, 1_000_000)
    for _ in range(10):
        for number in range(5):
            handler.emit(make_record(f'late kind {number}'))
            handler.emit(make_record(f'kind {number}'))
    lines = read_lines(reader)
    # All kinds above the bound share one count.
    assert sum(line['message'].startswith('late') for line in lines) == 3
    assert sum(line['message'].startswith('kind') for line in lines) == 5 * 2
