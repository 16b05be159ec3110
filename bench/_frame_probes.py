"""Cost of encoding and decoding messages between nodes."""

from bench._probe import Probe, cpu_us
from ibismount import frame
from ibismount.messages import (
    BatchReply,
    BatchRequest,
    Item,
    ItemReply,
    ItemStatus,
)

ITEM_SIZES = (4, 16, 64)
ANSWER = (
    b'{"hits":[' + b','.join([b'{"id":"job-12345","score":1.5}'] * 20) + b']}'
)


def batch_request(items: int) -> BatchRequest:
    """Return a batch of search sub-requests."""
    return BatchRequest(
        attempt_id='a' * 32,
        request_id='1765000000000-' + 'r' * 16,
        trace_parent='00-' + 't' * 32 + '-' + 's' * 16 + '-01',
        team='team-1',
        weight=1,
        priority=1,
        collection='collection-1',
        snapshot='2026-12-01',
        fingerprint='f' * 16,
        remaining_ms=200,
        config_version=123456,
        idempotent=True,
        body=b'{"text":"loose boards on the north stairs"}',
        items=tuple(
            Item(index, f'shard-{index:04}', f'collection-1-shard-{index:04}-1')
            for index in range(items)
        ),
    )


def batch_reply(items: int) -> BatchReply:
    """Return a batch reply with 20 hits per item."""
    replies = tuple(
        ItemReply(index, ItemStatus.ANSWERED, '2026-12-01', ANSWER)
        for index in range(items)
    )
    return BatchReply('a' * 32, replies, final=True)


def encode_cpu(make):
    """Return a function that measures encoding a message of a given size."""

    def run(items: int) -> list[float]:
        message = make(items)
        return cpu_us(lambda _: frame.encode(message))

    return run


def decode_cpu(make):
    """Return a function that measures decoding a message of a given size."""

    def run(items: int) -> list[float]:
        raw = frame.encode(make(items))
        return cpu_us(lambda _: frame.decode(raw))

    return run


PROBES = tuple(
    Probe(f'frame {verb} {what} cpu', 'item', 'us', ITEM_SIZES, cost(make))
    for what, make in (('request', batch_request), ('reply', batch_reply))
    for verb, cost in (('encode', encode_cpu), ('decode', decode_cpu))
)
