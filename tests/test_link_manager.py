"""Links refuse strangers and replays, and replace dead connections.

Most tests run on virtual time over in-memory streams. Each safety property
has a second test that shows the violation with the mechanism off.
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
from ibismount.link_manager import LinkTimes, Peers
from ibismount.messages import BatchReply, Ping
from ibismount.roster import Member


class Wire(anyio.abc.ByteStream):
    """One end of an in-memory connection with faults."""

    def __init__(self, outgoing, incoming):
        self._outgoing = outgoing
        self._incoming = incoming
        self.silent = False
        self.twist = lambda chunks: chunks  # maps each write to writes

    async def send(self, item):
        if self.silent:
            return
        try:
            for chunk in self.twist([item]):
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


class Net:
    """Connect peers by address; keep every wire that was opened."""

    def __init__(self, tasks):
        self._tasks = tasks
        self.peers = {}
        self.wires = []
        self.down = False
        self.on_open = lambda wire: None

    def node(self, name, handler, **options):
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
        self.peers[name] = Peers(member, handler=handler, **options)
        return self.peers[name]

    async def open(self, address):
        if self.down:
            raise OSError('refused')
        pair = [
            anyio.create_memory_object_stream(float('inf')) for _ in range(2)
        ]
        dialler = Wire(pair[0][0], pair[1][1])
        acceptor = Wire(pair[1][0], pair[0][1])
        self.wires.append((dialler, acceptor))
        self.on_open(dialler)
        self._tasks.start_soon(self.peers[address].accept, acceptor)
        return dialler


class Inbox(list):
    """Collect messages; let a test wait for a number of them."""

    def __init__(self):
        super().__init__()
        self._grown = anyio.Event()

    def __call__(self, sender, message):
        self.append((sender, message))
        self._grown.set()

    async def wait_for(self, size):
        while len(self) < size:
            await self._grown.wait()
            self._grown = anyio.Event()


@contextlib.asynccontextmanager
async def two_nodes(**options):
    """Run nodes ``a`` and ``b``; ``a`` knows the address of ``b``."""
    async with anyio.create_task_group() as tasks:
        net = Net(tasks)
        net.inboxes = {'a': Inbox(), 'b': Inbox()}
        a_options = options.pop('a', {})
        b_options = options.pop('b', {})
        net.node('a', net.inboxes['a'], **options, **a_options)
        net.node('b', net.inboxes['b'], **options, **b_options)
        for peers in net.peers.values():
            await tasks.start(peers.serve)
        net.peers['a'].set_addresses({'b': 'b'})
        yield net
        tasks.cancel_scope.cancel()


def run_virtual(body, *args):
    clock = MockClock(autojump_threshold=0)
    return anyio.run(
        body, *args, backend='trio', backend_options={'clock': clock}
    )


async def silence(dead_after_s):
    """Return when the loss of a silent link was noticed, and the inbox."""
    noticed = []

    def lost(node_id):
        noticed.append(anyio.current_time() - started)

    times = LinkTimes(dead_after_s=dead_after_s, idle_after_s=100)
    async with two_nodes(times=times, a={'link_lost': lost}) as net:
        await net.peers['a'].send('b', Ping(1))
        await net.inboxes['b'].wait_for(1)
        await anyio.sleep(7.3)
        for wire in net.wires[0]:
            wire.silent = True
        started = anyio.current_time()
        await anyio.sleep(4)
        await net.peers['a'].send('b', Ping(2))
        await anyio.sleep(1)
        return noticed, [message for _, message in net.inboxes['b']]


def test_silent_link_is_noticed_and_replaced():
    """Guards against a link whose bytes vanish both ways and that stays."""
    noticed, received = run_virtual(silence, 3)
    assert len(noticed) == 1
    assert noticed[0] <= 3
    assert received == [Ping(1), Ping(2)]


def test_silent_link_stays_without_the_watch():
    """Shows the violation when no progress is never taken for death."""
    noticed, received = run_virtual(silence, 1000)
    assert not noticed
    assert received == [Ping(1)]


REFUSALS = {
    'protocol': ({'protocol': 2}, ErrorCode.PROTOCOL_VERSION),
    'cluster': ({'cluster': 'other'}, ErrorCode.WRONG_CLUSTER),
    'secret': ({'secret': b'guess'}, ErrorCode.UNAUTHORIZED),
    'own id': ({}, ErrorCode.PEER_REFUSED),
}


@pytest.mark.parametrize('case', REFUSALS)
def test_strangers_are_refused_with_their_code(case):
    """Guards against a node of another cluster, version or secret."""
    options, code = REFUSALS[case]

    async def body():
        async with two_nodes(a=options) as net:
            if case == 'own id':
                net.peers['a'].set_addresses({'x': 'b'})
                await net.peers['a'].send('x', Ping(1))
            else:
                await net.peers['a'].send('b', Ping(1))
            await anyio.sleep(0.05)
            assert not net.inboxes['b']
            refused_by = 'a' if case == 'own id' else 'b'
            assert set(net.peers[refused_by].refusals) == {code}

    run_virtual(body)


async def restart(second):
    """Connect as one incarnation of ``a``, then as another one."""
    async with two_nodes(a={'incarnation': 5}) as net:
        await net.peers['a'].send('b', Ping(1))
        await net.inboxes['b'].wait_for(1)
        other = net.node('a2', Inbox(), node_id='a', incarnation=second)
        async with anyio.create_task_group() as tasks:
            await tasks.start(other.serve)
            other.set_addresses({'b': 'b'})
            await other.send('b', Ping(2))
            await anyio.sleep(0.04)
            messages = [message for _, message in net.inboxes['b']]
            old_is_open = 'b' in net.peers['a'].connected()
            tasks.cancel_scope.cancel()
        return messages, old_is_open, net.peers['b'].refusals


def test_older_incarnation_is_refused():
    """Guards against a resumed process that speaks for its successor."""
    messages, old_is_open, refusals = run_virtual(restart, 4)
    assert messages == [Ping(1)]
    assert old_is_open
    assert refusals[ErrorCode.PEER_REFUSED]


def test_older_incarnation_gets_in_without_the_check(monkeypatch):
    """Shows the violation when incarnations are not compared."""
    monkeypatch.setattr(
        Authenticator, 'check_incarnation', lambda self, other: None
    )
    messages, _, _ = run_virtual(restart, 4)
    assert messages == [Ping(1), Ping(2)]


def test_newer_incarnation_ends_the_links_of_the_older():
    """Guards against two live incarnations of one node."""
    messages, old_is_open, _ = run_virtual(restart, 6)
    assert messages == [Ping(1), Ping(2)]
    assert not old_is_open


def duplicate(chunks):
    return chunks * 2


def reorder(chunks):
    (raw,) = chunks
    middle = 4 + int.from_bytes(raw[:4], 'big')
    return [raw[middle:], raw[:middle]] if raw[middle:] else chunks


async def twisted(twist):
    """Send two messages over a link whose frames an attacker repeats."""
    async with two_nodes() as net:
        await net.peers['a'].send('b', Ping(1))
        await net.inboxes['b'].wait_for(1)
        net.wires[0][0].twist = twist
        await net.peers['a'].send('b', Ping(2))
        await net.peers['a'].send('b', Ping(3))
        await anyio.sleep(0.04)
        messages = [message for _, message in net.inboxes['b']]
        return messages, net.peers['b'].refusals


@pytest.mark.parametrize('twist', [duplicate, reorder])
def test_replayed_and_reordered_frames_are_refused(twist):
    """Guards against a frame that is delivered twice or out of order."""
    messages, refusals = run_virtual(twisted, twist)
    expected = [Ping(1), Ping(2), Ping(3)]
    assert messages == expected[: len(messages)]
    assert set(refusals) == {ErrorCode.FRAME_REPLAYED}


def test_replayed_frames_are_delivered_without_the_sequence(monkeypatch):
    """Shows the violation when the sequence number is not compared."""

    def open_unchecked(self, sealed):
        return sealed[_session.SEAL_SIZE :]

    monkeypatch.setattr(_session.Session, 'open', open_unchecked)
    messages, _ = run_virtual(twisted, duplicate)
    assert messages.count(Ping(2)) == 2


def test_recorded_connection_cannot_be_replayed():
    """Guards against an attacker who repeats a whole recorded connection."""

    async def body():
        async with two_nodes() as net:
            recorded = []

            def record(chunks):
                recorded.extend(chunks)
                return chunks

            net.on_open = lambda wire: setattr(wire, 'twist', record)
            await net.peers['a'].send('b', Ping(1))
            await net.inboxes['b'].wait_for(1)
            net.on_open = lambda wire: None
            attacker = await net.open('b')
            for chunk in recorded:
                await attacker.send(chunk)
            await anyio.sleep(0.05)
            assert net.inboxes['b'] == [('a', Ping(1))]
            assert net.peers['b'].refusals == {ErrorCode.UNAUTHORIZED: 1}

    run_virtual(body)


def test_changed_frame_is_refused():
    """Guards against a frame that was altered on its way."""

    def alter(chunks):
        (raw,) = chunks
        # Length and sequence number take 12 bytes; the MAC follows.
        return [raw[:12] + bytes([raw[12] ^ 1]) + raw[13:]]

    messages, refusals = run_virtual(twisted, alter)
    assert messages == [Ping(1)]
    assert set(refusals) == {ErrorCode.FRAME_INVALID}


def test_message_that_cannot_be_decoded_is_skipped(monkeypatch):
    """Guards against a newer node whose unknown message ends the link."""

    async def body():
        async with two_nodes() as net:
            monkeypatch.setattr(
                link_manager, 'encode_body', lambda message: b'?' * 8
            )
            await net.peers['a'].send('b', Ping(1))
            monkeypatch.undo()
            await net.peers['a'].send('b', Ping(2))
            await net.inboxes['b'].wait_for(1)
            assert net.inboxes['b'] == [('a', Ping(2))]
            assert net.peers['b'].refusals == {ErrorCode.FRAME_INVALID: 1}

    run_virtual(body)


async def disturbed(seed):
    """Send batches both ways while wires fall silent or break."""
    rng = random.Random(seed)
    taken = {'a': [], 'b': []}
    async with two_nodes(times=LinkTimes(idle_after_s=1)) as net:
        net.peers['b'].set_addresses({'a': 'a'})

        async def talk(sender, receiver):
            for number in range(60):
                await anyio.sleep(rng.expovariate(2))
                batch = BatchReply(str(number), (), final=True)
                try:
                    await net.peers[sender].send(receiver, batch)
                except IbismountError as exc:
                    assert exc.code is ErrorCode.LINK_LOST
                    continue
                taken[sender].append(batch)

        async def disturb():
            while True:
                await anyio.sleep(rng.expovariate(0.3))
                wires = rng.choice(net.wires) if net.wires else ()
                breaks = rng.random() < 0.5
                for wire in wires:
                    if breaks:
                        await wire.aclose()
                    wire.silent = True

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(disturb)
            async with anyio.create_task_group() as talks:
                talks.start_soon(talk, 'a', 'b')
                talks.start_soon(talk, 'b', 'a')
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
    return (taken['a'], received['b']), (taken['b'], received['a'])


@pytest.mark.parametrize('seed', range(6))
def test_broken_links_deliver_once_or_never_and_recover(seed):
    """Guards against a batch that runs twice, and a peer lost for good."""
    for taken, received in run_virtual(disturbed, seed):
        assert len(received) > 20
        numbers = [int(batch.attempt_id) for batch in received]
        assert len(set(numbers)) == len(numbers)
        assert set(received) <= set(taken)


def test_full_queue_drops_control_and_refuses_batches():
    """Guards against unbounded memory for a peer that does not answer."""

    async def body():
        async with two_nodes(queue_messages=3) as net:
            for probe in range(9):
                await net.peers['a'].send('b', Ping(probe))
            with pytest.raises(IbismountError) as caught:
                await net.peers['a'].send('b', BatchReply('x', (), final=True))
            assert caught.value.code is ErrorCode.LINK_LOST
            await anyio.sleep(0.05)
            received = [message for _, message in net.inboxes['b']]
            assert received == [Ping(0), Ping(1), Ping(2)]

    run_virtual(body)


def test_unsent_messages_are_reported_and_dialling_backs_off():
    """Guards against lost batches nobody hears of, and a reconnect storm."""

    async def body():
        reports = []
        unsent = []

        def lost(node_id):
            reports.append(anyio.current_time())

        def undelivered(node_id, messages):
            unsent.extend(messages)

        options = {'link_lost': lost, 'undelivered': undelivered}
        async with two_nodes(a=options) as net:
            net.down = True
            batch = BatchReply('x', (), final=True)
            await net.peers['a'].send('b', batch)
            await anyio.sleep(60)
            await net.peers['a'].send('b', Ping(1))
            await anyio.sleep(0.01)
            assert unsent == [batch, Ping(1)]
            gaps = [late - early for early, late in zip(reports, reports[1:])]
            assert len(reports) == 9
            assert gaps[-2] > 8 * gaps[0]
            # A new address is dialled without delay.
            net.down = False
            net.peers['b2'] = net.peers['b']
            net.peers['a'].set_addresses({'b': 'b2'})
            await net.peers['a'].send('b', batch)
            await net.inboxes['b'].wait_for(1)

    run_virtual(body)


def test_idle_link_is_closed_without_alarm():
    """Guards against probes that leave a link to every node open."""

    async def body():
        reports = []

        def lost(node_id):
            reports.append(node_id)

        async with two_nodes(link_lost=lost) as net:
            await net.peers['a'].send('b', Ping(1))
            await net.inboxes['b'].wait_for(1)
            await anyio.sleep(8)
            assert not net.peers['a'].connected()
            assert not net.peers['b'].connected()
            await net.peers['a'].send('b', Ping(2))
            await net.inboxes['b'].wait_for(2)
        assert not reports

    run_virtual(body)


async def shut_down(flush):
    """Stop a node right after it queued its last replies."""
    async with two_nodes() as net:
        node = net.node('x', Inbox())
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
    assert run_virtual(shut_down, True) == 50


def test_replies_are_cut_off_without_the_flush():
    """Shows the violation when links end right after the last reply."""
    assert run_virtual(shut_down, False) == 0


@pytest.mark.parametrize('backend', ['asyncio', 'trio'])
def test_messages_travel_both_ways_over_sockets(backend):
    """Guards against real sockets that behave unlike in-memory streams."""

    async def body():
        inbox = Inbox()
        options = {'cluster': 'c', 'secret': b's'}

        async def echo(sender, message):
            await server.send(sender, message)

        client = Peers(make_member('a'), handler=inbox, **options)
        server = Peers(
            make_member('b', address='127.0.0.1:0'), handler=echo, **options
        )
        async with anyio.create_task_group() as tasks:
            address = await tasks.start(server.serve)
            await tasks.start(client.serve)
            client.set_addresses({'b': address})
            big = BatchReply('x' * 1_000_000, (), final=True)
            sent = [Ping(1), big, Ping(2)]
            for message in sent:
                await client.send('b', message)
            with anyio.fail_after(10):
                await inbox.wait_for(3)
            assert [message for _, message in inbox] == sent
            tasks.cancel_scope.cancel()

    anyio.run(body, backend=backend)
