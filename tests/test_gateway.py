"""Tests that a gateway reports what ran and returns every permit."""

import anyio
import pytest

from ibismount.cause import system_cause
from ibismount.errors import ErrorCode, IbismountError
from ibismount.gateway import GatewayOptions
from ibismount.messages import BatchRequest, Cancel, Item, ItemStatus
from tests.data_fakes import COLLECTION, Cluster, shard_names, run_virtual

GATEWAY = 'gw-a'


def batch(cluster, *, attempt_id='a1', items=None, **fields):
    values = {
        'attempt_id': attempt_id,
        'request_id': 'r1',
        'trace_parent': '',
        'team': 'ann',
        'weight': 1,
        'priority': 1,
        'collection': COLLECTION,
        'snapshot': 's1',
        'fingerprint': 'f1',
        'remaining_ms': 200,
        'config_version': 1,
        'idempotent': True,
        'body': b'{}',
        'items': items
        or tuple(
            Item(index, shard, f'{shard}@a')
            for index, shard in enumerate(shard_names(2))
        ),
    }
    return BatchRequest(**{**values, **fields})


class Inbox:
    """Collect the messages that a gateway sends."""

    def __init__(self, *, broken=False):
        self.messages = []
        self.times = []
        self.broken = broken

    async def send(self, message):
        if self.broken:
            raise IbismountError(ErrorCode.LINK_LOST, 'gone')
        self.times.append(anyio.current_time())
        self.messages.append(message)

    def replies(self):
        found = [
            reply for message in self.messages for reply in message.replies
        ]
        return {reply.index: reply for reply in found}


def run_batches(cluster, *requests, during=None, inbox=None):
    """Run batches at once on one gateway; return their inboxes."""
    gateway = cluster.gateways[GATEWAY]
    inboxes = [inbox or Inbox() for _ in requests]

    async def scenario():
        async with anyio.create_task_group() as group:
            for request, batch_inbox in zip(requests, inboxes, strict=True):
                group.start_soon(gateway.run, request, batch_inbox.send)
            if during is not None:
                await during(gateway, group)

    run_virtual(scenario)
    assert cluster.permits_in_use() == 0
    return inboxes


def test_done_items_do_not_wait_for_a_straggler():
    """Guards against a batch that is as slow as its slowest server."""
    cluster = Cluster()
    cluster.fleet.behaviour['sh1@a'] = 'slow20'
    (inbox,) = run_batches(cluster, batch(cluster))
    assert [message.final for message in inbox.messages] == [False, True]
    assert inbox.times[0] <= 0.005 + 0.002 + 1e-9
    assert [reply.status for reply in inbox.replies().values()] == [
        ItemStatus.ANSWERED,
        ItemStatus.ANSWERED,
    ]


@pytest.mark.parametrize(
    ('behaviour', 'status', 'lost'),
    [
        ('shed', ItemStatus.NOT_RUN, False),
        ('lost', ItemStatus.UNKNOWN, True),
        ('slow100', ItemStatus.UNKNOWN, False),
    ],
)
def test_outcome_is_unknown_if_the_work_may_have_run(behaviour, status, lost):
    """Guards against "not run" for work that may have run."""
    cluster = Cluster()
    cluster.fleet.behaviour['sh0@a'] = behaviour
    (inbox,) = run_batches(cluster, batch(cluster))
    reply = inbox.replies()[0]
    assert (reply.status, reply.server_lost) == (status, lost)
    assert bool(cluster.quarantine.lost_servers('f1')) is lost


def pause_while_queued(options):
    """Revoke the node's confirmation while three items wait."""
    cluster = Cluster(slots=1, gateway_options=options)
    view = cluster.views[GATEWAY]
    items = tuple(Item(index, 'sh0', 'sh0@a') for index in range(3))

    async def during(gateway, group):
        await anyio.sleep(0.003)
        view.refusal_cause = system_cause(ErrorCode.UNCONFIRMED)

    (inbox,) = run_batches(cluster, batch(cluster, items=items), during=during)
    return cluster, inbox


def test_no_dispatch_after_the_confirmation_lapsed():
    """Guards against dispatches by a node that was paused in the queue."""
    cluster, inbox = pause_while_queued(GatewayOptions())
    assert len(cluster.fleet.runs) == 1
    statuses = [reply.status for reply in inbox.replies().values()]
    assert statuses.count(ItemStatus.NOT_RUN) == 2
    assert statuses.count(ItemStatus.ANSWERED) == 1


def test_dispatch_after_lapse_without_the_check():
    """Shows that the check before dispatch prevents the dispatch."""
    options = GatewayOptions(check_before_dispatch=False)
    cluster, _ = pause_while_queued(options)
    assert len(cluster.fleet.runs) == 3


def repeat_booking(options):
    """Send a booking under two attempt ids, one of them twice."""
    cluster = Cluster(slots=4, gateway_options=options)
    item = (Item(0, 'sh0', 'sh0@a'),)
    fields = {'items': item, 'idempotent': False}
    requests = [
        batch(cluster, attempt_id=attempt_id, **fields)
        for attempt_id in ('a', 'b', 'b')
    ]
    inboxes = run_batches(cluster, *requests)
    return cluster, [
        reply.status
        for batch_inbox in inboxes
        for reply in batch_inbox.replies().values()
    ]


def test_booking_is_sent_once():
    """Guards against a duplicated message that books twice."""
    cluster, statuses = repeat_booking(GatewayOptions())
    assert len(cluster.fleet.runs) == 1
    assert statuses.count(ItemStatus.ANSWERED) == 1
    assert ItemStatus.NOT_RUN not in statuses


def test_booking_is_sent_twice_without_the_record():
    """Shows that the record of sent requests prevents the duplicate."""
    cluster, _ = repeat_booking(GatewayOptions(reject_duplicates=False))
    assert len(cluster.fleet.runs) > 1


def test_refused_booking_may_be_sent_again():
    """Guards against a refused booking that rejects all its retries."""
    cluster = Cluster()
    cluster.fleet.behaviour['sh0@a'] = 'shed'
    item = (Item(0, 'sh0', 'sh0@a'),)
    first = batch(cluster, items=item, idempotent=False)
    run_batches(cluster, first)
    cluster.fleet.behaviour.clear()
    again = batch(cluster, attempt_id='a2', items=item, idempotent=False)
    run_batches(cluster, first)
    assert not cluster.fleet.runs
    run_batches(cluster, again)
    assert len(cluster.fleet.runs) == 1


def test_cancel_stops_queued_and_running_items():
    """Guards against work that continues after its cancellation."""
    cluster = Cluster(slots=1, service_s=0.1)
    items = tuple(Item(index, 'sh0', 'sh0@a') for index in range(3))

    async def during(gateway, group):
        await anyio.sleep(0.01)
        gateway.cancel(Cancel('a1', (0, 1, 2)))

    (inbox,) = run_batches(cluster, batch(cluster, items=items), during=during)
    statuses = [reply.status for reply in inbox.replies().values()]
    assert statuses.count(ItemStatus.UNKNOWN) == 1
    assert statuses.count(ItemStatus.NOT_RUN) == 2
    assert inbox.times[-1] < 0.02


def test_lost_link_stops_searches():
    """Guards against work for an entry that is gone."""
    cluster = Cluster()
    cluster.fleet.behaviour['sh1@a'] = 'slow20'
    run_batches(cluster, batch(cluster), inbox=Inbox(broken=True))
    ended = {run.shard: run.ended for run in cluster.fleet.runs}
    assert ended == {'sh0': 'answered', 'sh1': 'running'}
    assert not +cluster.fleet.running


def test_stopped_gateway_returns_permits():
    """Guards against permits that leak when the node stops."""
    cluster = Cluster(service_s=0.1)

    async def during(gateway, group):
        await anyio.sleep(0.01)
        group.cancel_scope.cancel()

    run_batches(cluster, batch(cluster), during=during)
    assert not +cluster.fleet.running


def test_dead_server_keeps_its_permit_until_work_must_have_ended():
    """Guards against a permit reused while the old work still runs."""
    cluster = Cluster()
    cluster.fleet.behaviour['sh0@a'] = 'dead'
    permit_counts = []

    async def during(gateway, group):
        capacity = cluster.capacities[GATEWAY]
        await anyio.sleep(0.8)
        assert 'sh0@a' in capacity.ejected
        permit_counts.append(capacity.in_use['sh0@a'])
        await anyio.sleep(4)
        permit_counts.append(capacity.in_use['sh0@a'])

    (inbox,) = run_batches(cluster, batch(cluster), during=during)
    assert permit_counts == [1, 1]
    assert inbox.times[-1] < 0.21
    assert inbox.replies()[0].status is ItemStatus.UNKNOWN
