"""A minimal gateway process for `bench.transport`: no admission, no limits."""

import functools

import anyio

from ibismount.backend import BackendCall, make_backend_client
from ibismount.catalog import BackendServer
from ibismount.link_manager import LinkManager
from ibismount.messages import BatchReply, ItemReply, ItemStatus
from ibismount.roster import Member

__all__ = ('run_gateway',)

# Production gateways send finished replies at this interval.
FLUSH_S = 0.002


class Batch:
    """Call the server of each batch item and stream the replies."""

    def __init__(self, client, request, send):
        self._client = client
        self._request = request
        self._send = send
        self._unsent_replies = []
        self._items_left = len(request.items)

    async def run(self):
        async with anyio.create_task_group() as tasks:
            for item in self._request.items:
                tasks.start_soon(self._run_item, item)
            while self._items_left:
                await anyio.sleep(FLUSH_S)
                await self._flush()

    async def _run_item(self, item):
        request = self._request
        server = BackendServer(item.server, item.server, 'z', item.shard)
        call = BackendCall(
            '/search', request.request_id, request.attempt_id, item.shard,
            request.snapshot, request.remaining_ms / 1000,
            request.trace_parent, request.body,
        )  # fmt: skip
        reply = await self._client.call(server, call, connections=70)
        self._unsent_replies.append(
            ItemReply(
                item.index, ItemStatus.ANSWERED, reply.snapshot, reply.body
            )
        )
        self._items_left -= 1
        if not self._items_left:
            await self._flush()

    async def _flush(self):
        if self._unsent_replies:
            replies, self._unsent_replies = tuple(self._unsent_replies), []
            final = not self._items_left
            await self._send(
                BatchReply(self._request.attempt_id, replies, final)
            )


async def run_gateway(node_id, host):
    """Serve batches until the process is terminated."""
    client = make_backend_client()

    def receive(sender, message):
        batch = Batch(client, message, functools.partial(peers.send, sender))
        tasks.start_soon(batch.run)

    peers = LinkManager(
        Member(node_id, 1, 'z', 'r', f'{host}:0', ''),
        cluster='bench',
        secret=b'bench',
        handler=receive,
    )
    async with anyio.create_task_group() as tasks:
        print(await tasks.start(peers.serve), flush=True)
        await anyio.sleep_forever()
