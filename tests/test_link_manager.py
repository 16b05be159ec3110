"""Links refuse foreign nodes and replays, and replace dead connections.

Most tests run on virtual time over in-memory streams. Each safety property
has a second test that shows the violation with the mechanism disabled.
"""

import contextlib
import random

import anyio
import anyio.abc
import pytest
from trio.testing import MockClock

from ibismount import _session, link_manager
from ibismount._authentication import Authenticator
from ibismount.errors import ErrorCode, IbismountError
from ibismount.link_manager import LinkManager, LinkTimings
from ibismount.messages import BatchReply, Ping
from ibismount.roster import Member


class FaultyStream(anyio.abc.ByteStream):
    """One end of an in-memory connection that can inject faults."""

    def __init__(self, outgoing, incoming):
        self._outgoing = outgoing
        self._incoming = incoming
        self.silent = False
        self.transform = lambda chunks: chunks  # maps one write to several

    async def send(self, item):
        if self.silent:
            return
        try:
            for chunk in self.transform([item]):
                await self._outgoing.send(chunk)
        except anyio.ClosedResourceError as exc:
            raise anyio.BrokenResourceError from exc

    async def receive(self, max_bytes=65536):
        return await self._incoming.receive()

    async def send_eof(self):
        await self.aclose()

    async def aclose(self):
        if not self.silent:
            await self._outgoing.aclose()


def make_member(node_id, incarnation=1, address=''):
    return Member(node_id, incarnation, 'z1', 'r1', address, '')


class FakeNetwork:
    """Connect peers by address and record all opened connections."""

    def __init__(self, tasks):
        self._tasks = tasks
        self.peers = {}
        self.connections = []
        self.unreachable = False
        self.on_open = lambda stream: None

    def add_node(self, name, handler, **options):
        member = make_member(
            options.pop('node_id', name), options.pop('incarnation', 1)
        )
        options = {
            'cluster': 'c',
            'secret': b'secret',
            'rng': random.Random(1),
            'open_stream': self.open,
            **options,
        }
        self.peers[name] = LinkManager(member, handler=handler, **options)
        return self.peers[name]

    async def open(self, address):
        if self.unreachable:
            raise OSError('refused')
        channels = [
            anyio.create_memory_object_stream(float('inf')) for _ in range(2)
        ]
        dialler = FaultyStream(channels[0][0], channels[1][1])
        acceptor = FaultyStream(channels[1][0], channels[0][1])
        self.connections.append((dialler, acceptor))
        self.on_open(dialler)
        self._tasks.start_soon(self.peers[address].accept, acceptor)
        return dialler


class Inbox(list):
    """Collect messages; let a test wait for a number of them."""

    def __init__(self):
        super().__init__()
        self._message_added = anyio.Event()

    def __call__(self, sender, message):
        self.append((sender, message))
        self._message_added.set()

    async def wait_for(self, size):
        while len(self) < size:
            await self._message_added.wait()
            self._message_added = anyio.Event()


@contextlib.asynccontextmanager
async def run_two_nodes(**options):
    """Run nodes ``a`` and ``b``; ``a`` knows the address of ``b``."""
    async with anyio.create_task_group() as tasks:
        net = FakeNetwork(tasks)
        net.inboxes = {'a': Inbox(), 'b': Inbox()}
        a_options = options.pop('a', {})
        b_options = options.pop('b', {})
        net.add_node('a', net.inboxes['a'], **options, **a_options)
        net.add_node('b', net.inboxes['b'], **options, **b_options)
        for peers in net.peers.values():
            await tasks.start(peers.serve)
        net.peers['a'].set_addresses({'b': 'b'})
        yield net
        tasks.cancel_scope.cancel()


def run_on_virtual_time(body, *args):
    clock = MockClock(autojump_threshold=0)
    return anyio.run(
        body, *args, backend='trio', backend_options={'clock': clock}
    )


async def lose_bytes_silently(dead_after_s):
    """Drop all bytes of a link; return the detection delays and the inbox."""
    loss_delays_s = []

    def on_link_lost(node_id):
        loss_delays_s.append(anyio.current_time() - started)

    times = LinkTimings(dead_after_s=dead_after_s, idle_after_s=100)
    async with run_two_nodes(times=times, a={'link_lost': on_link_lost}) as net:
        await net.peers['a'].send('b', Ping(1))
        await net.inboxes['b'].wait_for(1)
        await anyio.sleep(7.3)
        for stream in net.connections[0]:
            stream.silent = True
        started = anyio.current_time()
        await anyio.sleep(4)
        await net.peers['a'].send('b', Ping(2))
        await anyio.sleep(1)
        return loss_delays_s, [message for _, message in net.inboxes['b']]


def test_silent_link_is_detected_and_replaced():
    """Guards against a link that stays open while all bytes are lost."""
    loss_delays_s, received = run_on_virtual_time(lose_bytes_silently, 3)
    assert len(loss_delays_s) == 1
    assert loss_delays_s[0] <= 3
    assert received == [Ping(1), Ping(2)]


def test_silent_link_stays_without_the_timeout():
    """Shows the violation when a link without progress never times out."""
    loss_delays_s, received = run_on_virtual_time(lose_bytes_silently, 1000)
    assert not loss_delays_s
    assert received == [Ping(1)]


REFUSALS = {
    'protocol': ({'protocol': 2}, ErrorCode.PROTOCOL_VERSION),
    'cluster': ({'cluster': 'other'}, ErrorCode.WRONG_CLUSTER),
    'secret': ({'secret': b'guess'}, ErrorCode.UNAUTHORIZED),
    'own id': ({}, ErrorCode.PEER_REFUSED),
}


@pytest.mark.parametrize('case', REFUSALS)
def test_foreign_nodes_are_refused_with_error_code(case):
    """Guards against a node of another cluster, version or secret."""
    options, code = REFUSALS[case]

    async def body():
        async with run_two_nodes(a=options) as net:
            if case == 'own id':
                net.peers['a'].set_addresses({'x': 'b'})
                await net.peers['a'].send('x', Ping(1))
            else:
                await net.peers['a'].send('b', Ping(1))
            await anyio.sleep(0.05)
            assert not net.inboxes['b']
            refused_by = 'a' if case == 'own id' else 'b'
            assert set(net.peers[refused_by].refusals) == {code}

    run_on_virtual_time(body)


async def connect_two_incarnations(second_incarnation):
    """Connect as one incarnation of ``a``, then as another one."""
    async with run_two_nodes(a={'incarnation': 5}) as net:
        await net.peers['a'].send('b', Ping(1))
        await net.inboxes['b'].wait_for(1)
        second_node = net.add_node(
            'a2', Inbox(), node_id='a', incarnation=second_incarnation
        )
        async with anyio.create_task_group() as tasks:
            await tasks.start(second_node.serve)
            second_node.set_addresses({'b': 'b'})
            await second_node.send('b', Ping(2))
            await anyio.sleep(0.04)
            messages = [message for _, message in net.inboxes['b']]
            first_is_connected = 'b' in net.peers['a'].connected()
            tasks.cancel_scope.cancel()
        return messages, first_is_connected, net.peers['b'].refusals


def test_older_incarnation_is_refused():
    """Guards against a resumed process that acts for its successor."""
    messages, first_is_connected, refusals = run_on_virtual_time(
        connect_two_incarnations, 4
    )
    assert messages == [Ping(1)]
    assert first_is_connected
    assert refusals[ErrorCode.PEER_REFUSED]


def test_older_incarnation_is_accepted_without_the_check(monkeypatch):
    """Shows the violation when incarnations are not compared."""
    monkeypatch.setattr(
        Authenticator, 'check_incarnation', lambda self, second_node: None
    )
    messages, _, _ = run_on_virtual_time(connect_two_incarnations, 4)
    assert messages == [Ping(1), Ping(2)]


def test_newer_incarnation_ends_links_of_the_older_one():
    """Guards against two live incarnations of one node."""
    messages, first_is_connected, _ = run_on_virtual_time(
        connect_two_incarnations, 6
    )
    assert messages == [Ping(1), Ping(2)]
    assert not first_is_connected


def duplicate(chunks):
    return chunks * 2


def reorder(chunks):
    (frame_bytes,) = chunks
    frame_end = 4 + int.from_bytes(frame_bytes[:4], 'big')
    return (
        [frame_bytes[frame_end:], frame_bytes[:frame_end]]
        if frame_bytes[frame_end:]
        else chunks
    )


async def send_tampered(transform):
    """Send two messages over a link whose frames an attacker modifies."""
    async with run_two_nodes() as net:
        await net.peers['a'].send('b', Ping(1))
        await net.inboxes['b'].wait_for(1)
        net.connections[0][0].transform = transform
        await net.peers['a'].send('b', Ping(2))
        await net.peers['a'].send('b', Ping(3))
        await anyio.sleep(0.04)
        messages = [message for _, message in net.inboxes['b']]
        return messages, net.peers['b'].refusals


@pytest.mark.parametrize('transform', [duplicate, reorder])
def test_replayed_and_reordered_frames_are_refused(transform):
    """Guards against a frame that is delivered twice or out of order."""
    messages, refusals = run_on_virtual_time(send_tampered, transform)
    expected = [Ping(1), Ping(2), Ping(3)]
    assert messages == expected[: len(messages)]
    assert set(refusals) == {ErrorCode.FRAME_REPLAYED}


def test_replayed_frames_are_delivered_without_the_sequence(monkeypatch):
    """Shows the violation when the sequence number is not compared."""

    def open_unchecked(self, sealed):
        return sealed[_session.SEAL_BYTES :]

    monkeypatch.setattr(_session.Session, 'open', open_unchecked)
    messages, _ = run_on_virtual_time(send_tampered, duplicate)
    assert messages.count(Ping(2)) == 2


def test_recorded_connection_cannot_be_replayed():
    """Guards against an attacker who repeats a whole recorded connection."""

    async def body():
        async with run_two_nodes() as net:
            recorded = []

            def record(chunks):
                recorded.extend(chunks)
                return chunks

            net.on_open = lambda stream: setattr(stream, 'transform', record)
            await net.peers['a'].send('b', Ping(1))
            await net.inboxes['b'].wait_for(1)
            net.on_open = lambda stream: None
            attacker = await net.open('b')
            for chunk in recorded:
                await attacker.send(chunk)
            await anyio.sleep(0.05)
            assert net.inboxes['b'] == [('a', Ping(1))]
            assert net.peers['b'].refusals == {ErrorCode.UNAUTHORIZED: 1}

    run_on_virtual_time(body)


def test_changed_frame_is_refused():
    """Guards against a frame that was modified in transit."""

    def alter(chunks):
        (frame_bytes,) = chunks
        # Length and sequence number take 12 bytes; the MAC follows.
        return [
            frame_bytes[:12] + bytes([frame_bytes[12] ^ 1]) + frame_bytes[13:]
        ]

    messages, refusals = run_on_virtual_time(send_tampered, alter)
    assert messages == [Ping(1)]
    assert set(refusals) == {ErrorCode.FRAME_INVALID}


def test_message_that_cannot_be_decoded_is_skipped(monkeypatch):
    """Guards against a newer node whose unknown message ends the link."""

    async def body():
        async with run_two_nodes() as net:
            monkeypatch.setattr(
                link_manager, 'encode_body', lambda message: b'?' * 8
            )
            await net.peers['a'].send('b', Ping(1))
            monkeypatch.undo()
            await net.peers['a'].send('b', Ping(2))
            await net.inboxes['b'].wait_for(1)
            assert net.inboxes['b'] == [('a', Ping(2))]
            assert net.peers['b'].refusals == {ErrorCode.FRAME_INVALID: 1}

    run_on_virtual_time(body)


async def exchange_with_faults(seed):
    """Send batches both ways while connections lose bytes or close."""
    rng = random.Random(seed)
    queued = {'a': [], 'b': []}
    async with run_two_nodes(times=LinkTimings(idle_after_s=1)) as net:
        net.peers['b'].set_addresses({'a': 'a'})

        async def send_batches(sender, receiver):
            for number in range(60):
                await anyio.sleep(rng.expovariate(2))
                batch = BatchReply(str(number), (), final=True)
                try:
                    await net.peers[sender].send(receiver, batch)
                except IbismountError as exc:
                    assert exc.code is ErrorCode.LINK_LOST
                    continue
                queued[sender].append(batch)

        async def inject_faults():
            while True:
                await anyio.sleep(rng.expovariate(0.3))
                connections = (
                    rng.choice(net.connections) if net.connections else ()
                )
                close_first = rng.random() < 0.5
                for stream in connections:
                    if close_first:
                        await stream.aclose()
                    stream.silent = True

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(inject_faults)
            async with anyio.create_task_group() as senders:
                senders.start_soon(send_batches, 'a', 'b')
                senders.start_soon(send_batches, 'b', 'a')
            tasks.cancel_scope.cancel()
        await anyio.sleep(10)
        last = BatchReply('last', (), final=True)
        await net.peers['a'].send('b', last)
        await anyio.sleep(0.1)
        received = {
            name: [message for _, message in inbox]
            for name, inbox in net.inboxes.items()
        }
    assert received['b'].pop() == last
    return (queued['a'], received['b']), (queued['b'], received['a'])


@pytest.mark.parametrize('seed', range(6))
def test_broken_links_deliver_once_or_never_and_recover(seed):
    """Guards against a batch that runs twice and a peer that stays lost."""
    for queued, received in run_on_virtual_time(exchange_with_faults, seed):
        assert len(received) > 20
        numbers = [int(batch.attempt_id) for batch in received]
        assert len(set(numbers)) == len(numbers)
        assert set(received) <= set(queued)


def test_full_queue_drops_control_and_refuses_batches():
    """Guards against unbounded memory for a peer that does not answer."""

    async def body():
        async with run_two_nodes(queue_messages=3) as net:
            for probe in range(9):
                await net.peers['a'].send('b', Ping(probe))
            with pytest.raises(IbismountError) as caught:
                await net.peers['a'].send('b', BatchReply('x', (), final=True))
            assert caught.value.code is ErrorCode.LINK_LOST
            await anyio.sleep(0.05)
            received = [message for _, message in net.inboxes['b']]
            assert received == [Ping(0), Ping(1), Ping(2)]

    run_on_virtual_time(body)


def test_unsent_messages_are_reported_and_dialling_backs_off():
    """Guards against lost batches without a report and a reconnect storm."""

    async def body():
        lost_at = []
        undelivered_messages = []

        def on_link_lost(node_id):
            lost_at.append(anyio.current_time())

        def undelivered(node_id, messages):
            undelivered_messages.extend(messages)

        options = {'link_lost': on_link_lost, 'undelivered': undelivered}
        async with run_two_nodes(a=options) as net:
            net.unreachable = True
            batch = BatchReply('x', (), final=True)
            await net.peers['a'].send('b', batch)
            await anyio.sleep(60)
            await net.peers['a'].send('b', Ping(1))
            await anyio.sleep(0.01)
            assert undelivered_messages == [batch, Ping(1)]
            gaps_s = [
                later - earlier for earlier, later in zip(lost_at, lost_at[1:])
            ]
            assert len(lost_at) == 9
            assert gaps_s[-2] > 8 * gaps_s[0]
            # A new address is dialled without delay.
            net.unreachable = False
            net.peers['b2'] = net.peers['b']
            net.peers['a'].set_addresses({'b': 'b2'})
            await net.peers['a'].send('b', batch)
            await net.inboxes['b'].wait_for(1)

    run_on_virtual_time(body)


def test_idle_link_is_closed_without_a_loss_report():
    """Guards against probes that leave links to all nodes open."""

    async def body():
        reports = []

        def on_link_lost(node_id):
            reports.append(node_id)

        async with run_two_nodes(link_lost=on_link_lost) as net:
            await net.peers['a'].send('b', Ping(1))
            await net.inboxes['b'].wait_for(1)
            await anyio.sleep(8)
            assert not net.peers['a'].connected()
            assert not net.peers['b'].connected()
            await net.peers['a'].send('b', Ping(2))
            await net.inboxes['b'].wait_for(2)
        assert not reports

    run_on_virtual_time(body)


async def stop_after_sending(flush):
    """Stop a node right after it has queued its last replies."""
    async with run_two_nodes() as net:
        node = net.add_node('x', Inbox())
        async with anyio.create_task_group() as tasks:
            await tasks.start(node.serve)
            node.set_addresses({'b': 'b'})
            for number in range(50):
                batch = BatchReply(str(number), (), final=True)
                await node.send('b', batch)
            if flush:
                await node.flush()
            tasks.cancel_scope.cancel()
        await anyio.sleep(0.1)
        return len(net.inboxes['b'])


def test_flush_sends_what_is_queued_at_shutdown():
    """Guards against answers that a graceful shutdown cuts off."""
    assert run_on_virtual_time(stop_after_sending, True) == 50


def test_replies_are_lost_without_the_flush():
    """Shows the violation when links end right after the last reply."""
    assert run_on_virtual_time(stop_after_sending, False) == 0


@pytest.mark.parametrize('backend', ['asyncio', 'trio'])
def test_messages_travel_both_ways_over_sockets(backend):
    """Guards against real sockets that behave unlike in-memory streams."""

    async def body():
        inbox = Inbox()
        options = {'cluster': 'c', 'secret': b's'}

        async def echo(sender, message):
            await server.send(sender, message)

        client = LinkManager(make_member('a'), handler=inbox, **options)
        server = LinkManager(
            make_member('b', address='127.0.0.1:0'), handler=echo, **options
        )
        async with anyio.create_task_group() as tasks:
            address = await tasks.start(server.serve)
            await tasks.start(client.serve)
            client.set_addresses({'b': address})
            large = BatchReply('x' * 1_000_000, (), final=True)
            sent = [Ping(1), large, Ping(2)]
            for message in sent:
                await client.send('b', message)
            with anyio.fail_after(10):
                await inbox.wait_for(3)
            assert [message for _, message in inbox] == sent
            tasks.cancel_scope.cancel()

    anyio.run(body, backend=backend)
