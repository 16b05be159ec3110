"""Requests that end backend servers are stopped; others are not."""

import asyncio
import math

import pytest

from ibismount.crash_guard import make_quarantine
from ibismount.errors import ErrorCode
from ibismount.loss_report import QuarantineEntry
from ibismount.quarantine import RunMode
from ibismount.quarantine_sharing import QuarantineSharing
from ibismount.wire_format import OutcomeKind
from standins.soak_checks import CONTACT_S, MAX_CRASH_RETRIES
from tests.edge_fakes import SEARCH, SHARDS, DispatchHarness
from tests.virtual_time import run_on_virtual_time

DOWN_S = 1.5


def crash_on(harness, *paths, down_s=DOWN_S):
    """Let requests with these paths crash every server that runs them."""
    ended = []

    def choose_reply(exchange):
        server_id = exchange.server.server.id
        path = exchange.raw.split(b' ', 2)[1]
        if path not in paths:
            return 'answer'
        ended.append(server_id)
        harness.pool.crash(server_id, down_s)
        return 'broken'

    for server in harness.servers.values():
        server.choose_reply = choose_reply
    return ended


def test_suspect_search_is_sent_to_one_shard_until_it_is_answered():
    """A search that ended servers ended one more of each shard next time."""

    async def main():
        harness = DispatchHarness()
        ended = crash_on(harness, b'/search/x')
        await harness.submit_and_wait(b'/search/x')
        await asyncio.sleep(2)
        ended.clear()
        await harness.submit_and_wait(b'/search/x')
        await asyncio.sleep(2)
        assert len(ended) == 1
        outcome, elapsed_s = await harness.submit_and_wait(b'/search/x')
        assert outcome.kind is OutcomeKind.NOT_RUN
        assert outcome.code is ErrorCode.QUARANTINED
        assert outcome.retry_after_s > 500
        assert not elapsed_s

    run_on_virtual_time(main)


def test_first_try_ends_few_servers_beyond_one_of_each_shard():
    """Its retries ended a second server of each shard within milliseconds."""

    async def main():
        harness = DispatchHarness()
        ended = crash_on(harness, b'/search/x')
        outcome, elapsed_s = await harness.submit_and_wait(b'/search/x')
        assert outcome.kind is OutcomeKind.UNKNOWN
        assert elapsed_s < 0.4
        await asyncio.sleep(2)
        assert len(ended) <= len(SHARDS) + 2

    run_on_virtual_time(main)


def test_search_whose_servers_only_lost_connections_is_served():
    """Servers that reset connections are there: the retries go on."""

    async def main():
        harness = DispatchHarness()
        started_at = asyncio.get_running_loop().time()

        def choose_reply(exchange):
            now = asyncio.get_running_loop().time()
            return 'reset' if now < started_at + 0.015 else 'answer'

        for server in harness.servers.values():
            server.choose_reply = choose_reply
        outcome, elapsed_s = await harness.submit_and_wait()
        assert outcome.kind is OutcomeKind.MERGED
        assert elapsed_s < 0.4

    run_on_virtual_time(main)


def test_search_that_lost_some_servers_is_retried_at_once():
    """Most shards answer, so the losses have another cause."""

    async def main():
        harness = DispatchHarness()

        def choose_reply(exchange):
            harness.pool.refusing_connections.add(exchange.server.server.id)
            return 'reset'

        for shard in SHARDS[:6]:
            harness.servers[f'{shard}-z0'].choose_reply = choose_reply
        outcome, elapsed_s = await harness.submit_and_wait()
        assert outcome.missing == 0
        assert elapsed_s < 0.1

    run_on_virtual_time(main)


def test_other_requests_are_served_beside_a_quarantined_one():
    """The quarantine must stop one request, not its route or service."""

    async def main():
        harness = DispatchHarness()
        crash_on(harness, b'/lookup/x')
        for _ in range(3):
            await harness.submit_and_wait(b'/lookup/x', deadline_ms=4000)
            await asyncio.sleep(2)
        for path, kind in (
            (b'/lookup/x', OutcomeKind.NOT_RUN),
            (b'/lookup/y', OutcomeKind.RELAYED),
            (b'/search/x', OutcomeKind.MERGED),
        ):
            outcome, _ = await harness.submit_and_wait(path, deadline_ms=4000)
            assert outcome.kind is kind

    run_on_virtual_time(main)


def test_requests_that_end_servers_at_the_same_time_do_not_hide_each_other():
    """Each is only one of several causes of the losses around it."""

    async def main():
        harness = DispatchHarness()
        paths = [b'/search/%d' % number for number in range(5)]
        ended = crash_on(harness, *paths)
        for _ in range(8):
            await asyncio.gather(*map(harness.submit_and_wait, paths))
            await asyncio.sleep(2)
        ended.clear()
        for path in paths:
            outcome, _ = await harness.submit_and_wait(path)
            assert outcome.code is ErrorCode.QUARANTINED
        assert not ended

    run_on_virtual_time(main)


def test_suspect_search_that_is_answered_is_complete_and_cleared():
    """A good request under which a server had ended must not be refused."""

    async def main():
        harness = DispatchHarness()
        guard = harness.dispatch.crash_guard
        for path in (b'/search/x', b'/search/y'):
            fingerprint = make_suspect(harness, path, 's3/a')
            assert guard.run_mode(fingerprint) is RunMode.CANARY
            arrivals = {
                name: fake.arrivals for name, fake in harness.servers.items()
            }
            _, _, fut = harness.submit(path)
            await asyncio.sleep(0.005)
            asked = [
                name
                for name, fake in harness.servers.items()
                if fake.arrivals > arrivals[name]
            ]
            assert len(asked) == 1
            assert asked[0].startswith('s3-')
            outcome = await fut
            assert outcome.missing == 0
            assert guard.run_mode(fingerprint) is RunMode.NORMAL
            await asyncio.sleep(2)

    run_on_virtual_time(main)


def test_herd_of_a_request_that_began_to_end_servers_reaches_few():
    """Tries that could prove nothing new ended a server each."""

    async def main():
        harness = DispatchHarness()
        loop = asyncio.get_running_loop()
        for _ in range(5):
            await harness.submit_and_wait()
        ended = crash_on(harness, b'/search/x', down_s=3)
        end_at = loop.time() + 20
        late_from = math.inf
        late_tries = []

        async def call(number):
            nonlocal late_from
            await asyncio.sleep(0.04 * number)
            while loop.time() < end_at:
                sent_at = loop.time()
                req_id, _, fut = harness.submit()
                await fut
                if len(ended) >= 3:
                    late_from = min(late_from, loop.time() + CONTACT_S)
                if sent_at >= late_from and harness.runs_by_server(req_id):
                    late_tries.append(req_id)
                await asyncio.sleep(0.4)

        await asyncio.gather(*map(call, range(9)))
        assert len(late_tries) <= MAX_CRASH_RETRIES

    run_on_virtual_time(main)


def test_part_that_waited_is_not_sent_after_the_quarantine():
    """It was sent to the first server that had a free slot again."""

    async def main():
        harness = DispatchHarness()
        for fake in harness.servers_of('lookup'):
            fake.choose_reply = lambda exchange: 'nothing'
        blocking_jobs = []
        while not harness.dispatch.wait_queues:
            _, job, _ = harness.submit(b'/lookup/y', deadline_ms=4000)
            blocking_jobs.append(job)
        req_id, job, fut = harness.submit(b'/lookup/x', deadline_ms=4000)
        await asyncio.sleep(0.01)
        now = asyncio.get_running_loop().time()
        harness.dispatch.crash_guard._quarantine.adopt(
            [QuarantineEntry(job.req.fingerprint, now + 600, '')]
        )
        for blocking_job in blocking_jobs:
            blocking_job.caller_left()
        outcome = await fut
        assert outcome.kind is OutcomeKind.NOT_RUN
        assert outcome.code is ErrorCode.QUARANTINED
        assert outcome.retry_after_s > 500
        assert not harness.runs_by_server(req_id)

    run_on_virtual_time(main)


def test_suspect_requests_are_sent_one_after_the_other():
    """All that waited for a server to come back ended one each."""

    async def main():
        harness = DispatchHarness()
        ended = crash_on(harness, b'/lookup/x')
        make_suspect(harness, b'/lookup/x', 'lookup/z')
        await asyncio.sleep(2)
        outcomes = await asyncio.gather(
            *(
                harness.submit_and_wait(b'/lookup/x', deadline_ms=4000)
                for _ in range(6)
            )
        )
        assert len(ended) == 1
        assert all(
            outcome.code is not ErrorCode.DEADLINE_EXCEEDED
            for outcome, _ in outcomes
        )

    run_on_virtual_time(main)


def test_failures_of_servers_do_not_clear_a_request_that_ends_others():
    """A status 500 does not prove that the server ran the request."""

    async def main():
        harness = DispatchHarness()
        ended = crash_on(harness, b'/lookup/x')
        harness.servers['lookup-z2'].choose_reply = lambda exchange: 'fail'
        late_from = math.inf
        late_tries = 0
        for _ in range(12):
            sent_at = asyncio.get_running_loop().time()
            ended_before = len(ended)
            await harness.submit_and_wait(b'/lookup/x', deadline_ms=4000)
            if sent_at >= late_from:
                late_tries += len(ended) > ended_before
            elif len(ended) >= 3:
                late_from = min(late_from, sent_at + CONTACT_S)
            await asyncio.sleep(2)
        assert late_tries <= MAX_CRASH_RETRIES

    run_on_virtual_time(main)


def test_failure_of_one_shard_does_not_send_a_suspect_search_to_all():
    """A status 500 of the first shard let the search end one of each other."""

    async def main():
        harness = DispatchHarness()
        ended = crash_on(harness, b'/search/x')
        make_suspect(harness, b'/search/x', 's3/a')
        for fake in harness.servers_of('s3'):
            fake.choose_reply = lambda exchange: 'fail'
        await harness.submit_and_wait()
        assert len(ended) <= 1

    run_on_virtual_time(main)


def test_log_tells_why_a_loss_does_not_count(caplog):
    """Losses that an answer or a check voided left no trace in the logs."""
    caplog.set_level('INFO', 'ibismount.dispatch')

    async def main():
        harness = DispatchHarness()
        make_suspect(harness, b'/search/x', 's3/a')
        await harness.submit_and_wait()
        harness.servers['lookup-z0'].choose_reply = lambda exchange: 'reset'
        harness.servers['lookup-z1'].choose_reply = lambda exchange: 'nothing'
        await harness.submit_and_wait(b'/lookup/x', deadline_ms=4000)
        await asyncio.sleep(10)

    run_on_virtual_time(main)
    records = {record.message: record for record in caplog.records}
    cleared = records['dispatch: suspect request cleared by an answer']
    assert cleared.service == 's3'
    reachable = records[
        'dispatch: backend server that broke a connection is still there'
    ]
    assert reachable.server == 'lookup-z0'


def test_silent_servers_are_no_evidence_against_their_requests():
    """A node cut off from servers quarantined what its callers repeated."""

    async def main():
        harness = DispatchHarness()
        for fake in harness.servers_of('lookup'):
            harness.pool.refusing_connections.add(fake.server.id)
        for _ in range(3):
            for fake in harness.servers_of('lookup'):
                fake.choose_reply = lambda exchange: 'timeout'
                harness.pool.refusing_connections.discard(fake.server.id)
            await harness.submit_and_wait(b'/lookup/x', deadline_ms=4000)
            for fake in harness.servers_of('lookup'):
                harness.pool.refusing_connections.add(fake.server.id)
            await asyncio.sleep(2)
        assert harness.dispatch.crash_guard.is_idle

    run_on_virtual_time(main)


def make_suspect(harness, path, server):
    """Let a request seem to have ended a server; return its fingerprint."""
    _, job, _ = harness.submit(path)
    fingerprint = job.req.fingerprint
    job.caller_left()
    now = asyncio.get_running_loop().time()
    harness.dispatch.crash_guard._quarantine.record_loss(
        now, server, {fingerprint: now}
    )
    return fingerprint


def test_suspect_search_is_answered_without_a_shard_that_is_down():
    """All parts waited for the one shard that could not answer."""

    async def main():
        harness = DispatchHarness()
        for fake in harness.servers_of('s3'):
            harness.pool.refusing_connections.add(fake.server.id)
        make_suspect(harness, b'/search/x', 's3/a')
        outcome, elapsed_s = await harness.submit_and_wait()
        assert outcome.kind is OutcomeKind.MERGED
        assert outcome.missing == 1
        assert elapsed_s < SEARCH.target_s

    run_on_virtual_time(main)


def test_suspect_search_is_answered_despite_a_server_that_hangs():
    """The part that is sent first must be hedged like any other."""

    async def main():
        harness = DispatchHarness()
        for _ in range(60):
            await harness.submit_and_wait()
        harness.servers['s3-z0'].choose_reply = lambda exchange: 'nothing'
        make_suspect(harness, b'/search/x', 's3/a')
        outcome, elapsed_s = await harness.submit_and_wait()
        assert outcome.missing == 0
        assert elapsed_s < SEARCH.target_s

    run_on_virtual_time(main)


def test_popular_request_is_not_quarantined_when_a_zone_is_lost():
    """It runs on most servers that end, one after the other, in three seconds."""

    async def main():
        harness = DispatchHarness()
        loop = asyncio.get_running_loop()
        lost = set()

        def choose_reply(exchange):
            return 'reset' if exchange.server.server.id in lost else 'answer'

        for server in harness.servers.values():
            server.choose_reply = choose_reply

        def lose(server_id):
            lost.add(server_id)
            loop.call_later(
                0.02, harness.pool.refusing_connections.add, server_id
            )

        for number, shard in enumerate(SHARDS):
            loop.call_later(0.3 * number, lose, f'{shard}-z0')
        outcomes = []
        for _ in range(200):
            outcomes.append((await harness.submit_and_wait())[0])
            await asyncio.sleep(0.02)
        assert harness.dispatch.crash_guard.ended_servers >= len(SHARDS) // 2
        assert all(outcome.kind is OutcomeKind.MERGED for outcome in outcomes)

    run_on_virtual_time(main)


def test_popular_request_is_not_quarantined_beside_one_that_ends_servers():
    """It ran on most servers that the other ended, and nothing answered it."""

    async def main():
        harness = DispatchHarness()
        loop = asyncio.get_running_loop()
        crash_on(harness, b'/search/crash')
        for _ in range(5):
            await harness.submit_and_wait(b'/search/x')
        end_at = loop.time() + 10
        outcomes = []

        async def repeat(path, pause_s):
            while loop.time() < end_at:
                outcome, _ = await harness.submit_and_wait(path)
                outcomes.append((path, outcome.code))
                await asyncio.sleep(pause_s)

        await asyncio.gather(
            repeat(b'/search/crash', 0.3),
            *(repeat(b'/search/x', 0.003) for _ in range(6)),
        )
        assert (b'/search/crash', ErrorCode.QUARANTINED) in outcomes
        assert (b'/search/x', ErrorCode.QUARANTINED) not in outcomes

    run_on_virtual_time(main)


def test_popular_request_is_not_quarantined_while_whole_shards_end():
    """Nothing answered it between two ends of the servers that it ran on."""

    async def main():
        harness = DispatchHarness()
        for _ in range(5):
            await harness.submit_and_wait()
        for _ in range(2):
            _, _, fut = harness.submit()
            await asyncio.sleep(0.005)
            # Another node's request ends the servers of two shards.
            for fake in [*harness.servers_of('s3'), *harness.servers_of('s4')]:
                harness.pool.crash(fake.server.id, DOWN_S)
            await fut
            await asyncio.sleep(DOWN_S + 0.5)
        assert harness.dispatch.crash_guard.ended_servers > 2
        outcome, _ = await harness.submit_and_wait()
        assert outcome.kind is OutcomeKind.MERGED

    run_on_virtual_time(main)


def lose_server(quarantine, now, *fingerprints):
    quarantine.record_loss(
        now, f's0/{now}', dict.fromkeys(fingerprints, now - 0.01)
    )


def test_request_that_was_answered_before_needs_more_losses():
    """A popular request runs on most servers that another one ends."""
    quarantine = make_quarantine()
    quarantine.record_served(1, 'popular')
    for now in (10, 12):
        lose_server(quarantine, now, 'popular', 'crashing')
    assert quarantine.run_mode(13, 'crashing') is RunMode.REFUSED
    assert quarantine.run_mode(13, 'popular') is RunMode.NORMAL
    lose_server(quarantine, 14, 'popular')
    assert quarantine.run_mode(15, 'popular') is RunMode.CANARY
    lose_server(quarantine, 16, 'popular')
    assert quarantine.run_mode(17, 'popular') is RunMode.REFUSED


@pytest.mark.parametrize('late_start', [False, True])
def test_every_node_knows_which_requests_were_answered_before(late_start):
    """A node that had just started quarantined a popular request for all."""
    quarantines = [make_quarantine() for _ in range(2)]
    sharings = [QuarantineSharing(quarantine) for quarantine in quarantines]
    old, new = quarantines
    old.record_served(1, 'popular')
    lose_server(old, 10, 'popular', 'crashing')
    if late_start:
        sharings[0].take_outgoing(10.1)
        message = sharings[0].make_snapshot(10.5)
    else:
        message = sharings[0].take_outgoing(10.5)
    sharings[1].merge(10.6, message)
    lose_server(new, 12, 'popular', 'crashing')
    sharings[0].merge(12.2, sharings[1].take_outgoing(12.1))
    for quarantine in quarantines:
        assert quarantine.run_mode(13, 'crashing') is RunMode.REFUSED
        assert quarantine.run_mode(13, 'popular') is RunMode.NORMAL


def test_node_that_answered_a_request_tells_one_that_lost_servers():
    """Its answers were before the loss, so they do not clear the request."""
    old, new = make_quarantine(), make_quarantine()
    sharings = QuarantineSharing(old), QuarantineSharing(new)
    old.record_served(1, 'popular')
    lose_server(new, 10, 'popular')
    sharings[0].merge(10.2, sharings[1].take_outgoing(10.1))
    sharings[1].merge(10.4, sharings[0].take_outgoing(10.3))
    lose_server(new, 12, 'popular')
    assert new.run_mode(13, 'popular') is RunMode.NORMAL
