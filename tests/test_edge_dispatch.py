"""Requests on one node, from receipt to outcome, on virtual time."""

import asyncio
import collections
import dataclasses
import random

import pytest

from ibismount.errors import ErrorCode
from ibismount.fleet_state import ServerChanged, ServerRemoved, ZoneChanged
from ibismount.http_client import RawResponse
from ibismount.node_share import NodeShare
from ibismount.routes import RouteTable
from ibismount.server_table import Server
from ibismount.wire_format import OutcomeKind
from tests.edge_fakes import (
    BOOKING,
    LOOKUP,
    SEARCH,
    SHARDS,
    DispatchHarness,
    request_id,
)
from tests.virtual_time import run_on_virtual_time


def test_search_asks_every_shard_once():
    """Without faults, a search must not load the servers twice."""

    async def main():
        harness = DispatchHarness()
        req_id, _, fut = harness.submit()
        outcome = await fut
        assert outcome.kind is OutcomeKind.MERGED
        assert outcome.missing == 0
        assert len(set(outcome.signatures)) == len(SHARDS)
        assert len(harness.runs_by_server(req_id)) == len(SHARDS)
        assert all(sign.endswith(req_id) for sign in outcome.signatures)

    run_on_virtual_time(main)


def test_paused_server_is_hedged_within_the_target():
    """A server that pauses for 200 ms must not make the search late."""

    async def main():
        harness = DispatchHarness()
        for _ in range(60):
            await harness.submit_and_wait()
        now = asyncio.get_running_loop().time()
        harness.servers['s3-z0'].paused_until = now + 0.2
        outcome, elapsed_s = await harness.submit_and_wait()
        assert outcome.missing == 0
        assert elapsed_s < 0.06

    run_on_virtual_time(main)


def test_partial_answer_is_given_just_before_the_target():
    """One silent shard must not make a search late."""

    async def main():
        harness = DispatchHarness()
        for server in harness.servers_of('s3'):
            server.choose_reply = lambda exchange: 'nothing'
        outcome, elapsed_s = await harness.submit_and_wait()
        assert outcome.kind is OutcomeKind.MERGED
        assert outcome.missing == 1
        assert 0.16 < elapsed_s < SEARCH.target_s

    run_on_virtual_time(main)


def test_search_below_its_least_share_fails_early():
    """Two lost shards of ten are below the least share of this route."""

    async def main():
        harness = DispatchHarness()
        for server in [*harness.servers_of('s3'), *harness.servers_of('s4')]:
            harness.pool.refusing_connections.add(server.server.id)
        outcome, elapsed_s = await harness.submit_and_wait()
        assert outcome.kind is OutcomeKind.UNKNOWN
        assert elapsed_s < 0.1

    run_on_virtual_time(main)


def test_shards_without_servers_are_refused_before_anything_is_sent():
    """An outcome of not run is given only if no shard got the request."""

    async def main():
        harness = DispatchHarness()
        for shard in ('s3', 's4'):
            for server in harness.servers_of(shard):
                harness.fleet.apply(ServerRemoved(server.server.id, 2000))
        req_id, _, fut = harness.submit()
        outcome = await fut
        assert outcome.kind is OutcomeKind.NOT_RUN
        assert outcome.retry_after_s > 0
        await asyncio.sleep(1)
        assert harness.runs_by_server(req_id) == {}

    run_on_virtual_time(main)


def test_idempotent_request_is_retried_after_a_lost_answer():
    """A reset connection must not lose a lookup."""

    async def main():
        harness = DispatchHarness()
        harness.servers_of('lookup')[0].choose_reply = lambda exchange: 'reset'
        outcome, _ = await harness.submit_and_wait(
            b'/lookup/x', deadline_ms=4000
        )
        assert outcome.kind is OutcomeKind.RELAYED
        assert outcome.relayed.raw.status == 200

    run_on_virtual_time(main)


def test_booking_is_never_retried_after_a_lost_answer():
    """A booking is not idempotent: a second run would book twice."""

    async def main():
        harness = DispatchHarness()
        for server in harness.servers_of('lookup'):
            server.choose_reply = lambda exchange: 'reset'
        req_id, _, fut = harness.submit(
            b'/booking/x', deadline_ms=4000, method=b'POST'
        )
        outcome = await fut
        assert outcome.kind is OutcomeKind.UNKNOWN
        await asyncio.sleep(5)
        assert sum(harness.runs_by_server(req_id).values()) == 1

    run_on_virtual_time(main)


def test_rejected_booking_goes_to_another_server():
    """A booking that a server rejected unrun may run at another one."""

    async def main():
        harness = DispatchHarness()
        for server in harness.servers_of('lookup')[:2]:
            server.slots = 0
            server.max_queued = 0
        req_id, _, fut = harness.submit(
            b'/booking/x', deadline_ms=4000, method=b'POST'
        )
        outcome = await fut
        assert outcome.kind is OutcomeKind.RELAYED
        assert sum(harness.runs_by_server(req_id).values()) == 1

    run_on_virtual_time(main)


def test_failure_of_the_server_is_relayed_unchanged():
    """A failed booking must have the status that its server gave."""

    async def main():
        harness = DispatchHarness()
        for server in harness.servers_of('lookup'):
            server.choose_reply = lambda exchange: 'fail'
        outcome, _ = await harness.submit_and_wait(
            b'/booking/x', deadline_ms=4000, method=b'POST'
        )
        assert outcome.kind is OutcomeKind.RELAYED
        assert outcome.relayed.raw.status == 500

    run_on_virtual_time(main)


def test_disconnected_caller_cancels_all_attempts():
    """Servers must not work for a caller that disconnected."""

    async def main():
        harness = DispatchHarness()
        for server in harness.servers.values():
            server.work_s = 1
        _, job, _ = harness.submit()
        await asyncio.sleep(0.05)
        job.caller_left()
        assert not +harness.pool.open
        assert not harness.dispatch.jobs
        arrivals = sum(server.arrivals for server in harness.servers.values())
        await asyncio.sleep(2)
        later = sum(server.arrivals for server in harness.servers.values())
        assert later == arrivals

    run_on_virtual_time(main)


def test_every_request_ends_by_its_deadline():
    """Silent servers must not keep a caller waiting beyond its deadline."""

    async def main():
        harness = DispatchHarness()
        for server in harness.servers.values():
            server.choose_reply = lambda exchange: 'nothing'
        outcome, elapsed_s = await harness.submit_and_wait(deadline_ms=300)
        assert outcome.kind is OutcomeKind.UNKNOWN
        assert outcome.code is ErrorCode.DEADLINE_EXCEEDED
        assert elapsed_s < 0.3

    run_on_virtual_time(main)


def test_zone_out_of_service_gets_no_request():
    """A zone that operators took out of service gets no new work."""

    async def main():
        harness = DispatchHarness()
        harness.fleet.apply(ZoneChanged('z0', out=True, revision=5))
        req_id, _, fut = harness.submit()
        outcome = await fut
        assert outcome.missing == 0
        assert not any(
            server_id.endswith('z0')
            for server_id in harness.runs_by_server(req_id)
        )

    run_on_virtual_time(main)


def test_leaving_server_gets_no_request():
    """A draining server gets no new work."""

    async def main():
        harness = DispatchHarness()
        old = harness.servers['s3-z0'].server
        leaving = Server(
            old.id,
            old.service,
            old.host,
            old.port,
            old.zone,
            4,
            leaving=True,
            revision=3000,
        )
        harness.fleet.apply(ServerChanged(leaving))
        req_id, _, fut = harness.submit()
        await fut
        assert 's3-z0' not in harness.runs_by_server(req_id)

    run_on_virtual_time(main)


def test_parts_come_from_the_shards_of_one_version():
    """A new route version must not change the shards of a running search."""

    async def main():
        harness = DispatchHarness()
        req_id, _, fut = harness.submit()
        routes = [
            SEARCH.__class__(
                **{
                    **{
                        field: getattr(SEARCH, field)
                        for field in SEARCH.__slots__
                    },
                    'shards': SHARDS[:3],
                }
            )
        ]
        harness.fleet.apply(
            RouteTable(2, tuple(routes), harness.fleet.route_table.services)
        )
        outcome = await fut
        assert len(outcome.signatures) == len(SHARDS)
        later_outcome, _ = await harness.submit_and_wait()
        assert len(later_outcome.signatures) == 3

    run_on_virtual_time(main)


def test_unknown_route_and_unready_node_have_different_codes():
    """A node without routes must not answer that a route is unknown."""

    async def main():
        harness = DispatchHarness()
        outcome, _ = await harness.submit_and_wait(b'/nothing/')
        assert outcome.code is ErrorCode.UNKNOWN_ROUTE
        harness.fleet.route_table = RouteTable(0)
        outcome, _ = await harness.submit_and_wait()
        assert outcome.code is ErrorCode.NOT_READY
        assert outcome.retry_after_s > 0

    run_on_virtual_time(main)


def test_busy_connections_delay_a_request_but_do_not_fail_it():
    """A request waits for a server whose connections are all in use."""

    async def main():
        harness = DispatchHarness(nodes=50)
        futs = [harness.submit(b'/lookup/x', deadline_ms=4000)[2]]
        futs += [
            harness.submit(b'/lookup/x', deadline_ms=4000)[2] for _ in range(9)
        ]
        outcomes = await asyncio.gather(*futs)
        assert {outcome.kind for outcome in outcomes} == {OutcomeKind.RELAYED}

    run_on_virtual_time(main)


@pytest.mark.parametrize('seed', range(4))
def test_mixed_faults_keep_runs_and_budget_within_bounds(seed):
    """Resets, rejections and silence together must not multiply requests."""

    async def main():
        rng = random.Random(seed)
        harness = DispatchHarness(slack=60)
        kinds = ['answer'] * 6 + ['fail', 'reset', 'nothing', 'answer']
        for server in harness.servers.values():
            server.choose_reply = lambda exchange: rng.choice(kinds)
            server.max_queued = rng.choice([0, 24])
            server.slots = rng.choice([1, 4])
        submitted = []
        for _ in range(200):
            path = rng.choice([b'/search/x', b'/lookup/x', b'/booking/x'])
            submitted.append((path, *harness.submit(path, deadline_ms=700)))
            await asyncio.sleep(0.01)
        await asyncio.sleep(3)
        for path, req_id, _, fut in submitted:
            assert fut.done()
            runs = harness.runs_by_server(req_id)
            max_runs = BOOKING.max_runs if path != b'/booking/x' else 1
            for service in (*SHARDS, 'lookup'):
                run_counts = [
                    count
                    for server_id, count in runs.items()
                    if server_id.startswith(f'{service}-')
                ]
                assert sum(run_counts) <= max_runs
            if fut.result().kind is OutcomeKind.NOT_RUN:
                assert not runs
        searches = sum(path == b'/search/x' for path, *_ in submitted)
        for shard in SHARDS:
            arrivals = sum(
                server.arrivals for server in harness.servers_of(shard)
            )
            assert arrivals <= searches * 1.2 + 60
        assert not +harness.pool.open

    run_on_virtual_time(main)


def test_lookup_is_hedged_after_its_usual_latency():
    """A slow server must not determine the latency of a lookup."""

    async def main():
        harness = DispatchHarness()
        for server in harness.servers_of('lookup'):
            server.work_s = 0.1
        for _ in range(60):
            await harness.submit_and_wait(b'/lookup/x', deadline_ms=4000)
        for server in harness.servers_of('lookup')[:1]:
            server.work_s = 3
        outcome, elapsed_s = await harness.submit_and_wait(
            b'/lookup/x', deadline_ms=4000
        )
        assert outcome.kind is OutcomeKind.RELAYED
        assert elapsed_s < LOOKUP.target_s

    run_on_virtual_time(main)


def test_many_slow_servers_do_not_delay_the_hedges():
    """Guards against hedge delays that grow with a latency quantile.

    With many slow servers, the quantile is the latency of a slow server.
    """

    async def main():
        harness = DispatchHarness()
        latency = harness.dispatch.latency
        now = asyncio.get_running_loop().time()
        for latency_s in [0.012] * 80 + [0.09] * 20:
            latency.record(now, SEARCH, latency_s)
        assert latency.hedge_delay_s(now, SEARCH) < 0.035

    run_on_virtual_time(main)


def test_exhausted_retry_budget_delays_a_search_instead_of_failing_it():
    """Guards against searches that fail early on an exhausted retry budget.

    A search failed after 3 ms, although the budget was refilled long before
    the search's target.
    """

    async def main():
        harness = DispatchHarness(slack=0)
        req_id, _, fut = harness.submit()
        for server in [*harness.servers_of('s3'), *harness.servers_of('s4')]:
            server.choose_reply = lambda exchange: (
                'reset' if request_id(exchange.raw) == req_id else 'answer'
            )
        await asyncio.sleep(0.02)
        assert harness.budget.denied
        for server in harness.servers.values():
            server.choose_reply = None
        others = [harness.submit()[2] for _ in range(8)]
        outcome = await fut
        assert outcome.kind is OutcomeKind.MERGED
        assert outcome.missing == 0
        await asyncio.gather(*others)

    run_on_virtual_time(main)


@pytest.mark.parametrize('slower', [4, 10])
def test_slow_shard_gets_no_backlog_of_late_requests(slower):
    """Guards against a slow shard whose queue fills until all answers are late.

    The load is three times that of the node on which this occurred.
    """

    async def main():
        harness = DispatchHarness(nodes=12)
        for server in harness.servers_of('s3'):
            server.work_s = 0.03 * slower
        futs = []
        max_requests = 0
        for _ in range(60):
            futs.append(harness.submit()[2])
            await asyncio.sleep(0.04)
            for server in harness.servers_of('s3'):
                max_requests = max(
                    max_requests, server.running + len(server.waiting)
                )
        outcomes = await asyncio.gather(*futs)
        assert max_requests <= 1
        assert {outcome.kind for outcome in outcomes} == {OutcomeKind.MERGED}

    run_on_virtual_time(main)


def test_state_of_removed_servers_and_routes_is_dropped():
    """Guards against a memory leak: kept health, budgets and estimates."""

    async def main():
        harness = DispatchHarness()
        await harness.submit_and_wait()
        await harness.submit_and_wait(b'/lookup/x', deadline_ms=4000)
        placement = harness.dispatch.placement
        assert len(placement) == len(harness.servers)
        for server in harness.servers_of('lookup'):
            harness.fleet.apply(ServerRemoved(server.server.id, 2000))
        services = dict(harness.fleet.route_table.services)
        services.pop('lookup')
        harness.fleet.apply(RouteTable(2, (SEARCH,), services))
        harness.dispatch.prune_removed()
        assert len(placement) == len(harness.servers) - 3
        assert len(harness.budget) == len(SHARDS)
        assert len(harness.dispatch.latency) == 1

    run_on_virtual_time(main)


def test_restart_of_a_server_keeps_its_in_flight_count_correct():
    """Guards against attempts that end in the count of a later incarnation."""

    async def main():
        harness = DispatchHarness()
        server = harness.servers_of('lookup')[0]
        server.choose_reply = lambda exchange: 'nothing'
        _, job, _ = harness.submit(b'/lookup/x', deadline_ms=4000)
        await asyncio.sleep(0.05)
        restarted = dataclasses.replace(
            server.server, incarnation=1, revision=5000
        )
        harness.fleet.apply(ServerChanged(restarted))
        assert harness.dispatch.placement.health(restarted).in_flight == 0
        job.caller_left()
        assert harness.dispatch.placement.health(restarted).in_flight == 0

    run_on_virtual_time(main)


def test_nodes_of_a_zone_use_its_servers_beyond_an_equal_share():
    """Guards against traffic to other zones while the own zone has free slots.

    Six nodes with an equal share of one request per server each sent 40 % of
    the requests to other zones.
    """

    async def main():
        harness = DispatchHarness(nodes=6)
        harness.dispatch.node_share = lambda: NodeShare(6, 2, 1 / 6)
        for _ in range(20):
            await asyncio.gather(
                harness.submit_and_wait(), harness.submit_and_wait()
            )
        arrivals = collections.Counter()
        for server in harness.servers.values():
            arrivals[server.server.zone] += server.arrivals
        assert arrivals['z0'] >= 0.9 * arrivals.total()

    run_on_virtual_time(main)


def test_denied_hedge_is_sent_when_the_budget_has_room_again():
    """A lookup at a hanging server waited out its five seconds.

    Its only hedge was due while the budget was spent, and was not tried again.
    """

    async def main():
        harness = DispatchHarness(slack=0)
        (hanging, *_) = harness.servers_of('lookup')
        hanging.choose_reply = lambda exchange: 'nothing'
        req_id, _, fut = harness.submit(b'/lookup/x', deadline_ms=4000)
        assert list(harness.runs_by_server(req_id)) == [], 'nothing has arrived'
        await asyncio.sleep(0.5)
        assert len(harness.runs_by_server(req_id)) == 1
        # First requests of others fill the budget.
        for _ in range(8):
            await harness.submit_and_wait(b'/lookup/y')
        outcome = await asyncio.wait_for(fut, 1)
        assert outcome.kind is OutcomeKind.RELAYED
        assert len(harness.runs_by_server(req_id)) == 2

    run_on_virtual_time(main)


def test_denied_hedges_do_not_exceed_the_budget():
    """Asking again must not spend more than the ratio of first requests."""

    async def main():
        harness = DispatchHarness(slack=0)
        for server in harness.servers_of('lookup'):
            server.choose_reply = lambda exchange: 'nothing'
        futs = [harness.submit(b'/lookup/x')[2] for _ in range(8)]
        await asyncio.gather(*futs)
        arrivals = sum(
            server.arrivals for server in harness.servers_of('lookup')
        )
        assert arrivals <= 8 * 1.2

    run_on_virtual_time(main)


def test_request_that_was_never_sent_raises_the_budget_once():
    """Each new connection attempt raised the budget of extra requests.

    With a silent server in each shard the fleet exceeded its bound by 16 of
    548 extra requests.
    """

    async def main():
        harness = DispatchHarness(slack=0)
        unreachable = [server.server.id for server in harness.servers_of('s0')]
        harness.pool.refusing_connections.update(unreachable[:2])
        for _ in range(100):
            await harness.submit_and_wait()
        usage = harness.budget._usage('s0')
        assert usage.first == 100

    run_on_virtual_time(main)


@pytest.mark.parametrize('delay_s', [0, 0.3])
def test_running_request_survives_the_loss_of_its_servers_entry(delay_s):
    """A server that is silent in the store for a while still runs its work.

    The request must neither be given up nor run again elsewhere.
    """

    async def main():
        harness = DispatchHarness()
        for server in harness.servers_of('lookup'):
            server.work_s = 0.5
        req_id, _, fut = harness.submit(b'/booking/x', method=b'POST')
        await asyncio.sleep(0.1)
        (server_id,) = harness.runs_by_server(req_id)
        harness.fleet.apply(ServerRemoved(server_id, 2000, delay_s))
        await asyncio.sleep(0.35)
        harness.fleet.expire()
        harness.dispatch.prune_removed()
        assert harness.fleet.servers.get(server_id) is None
        outcome = await fut
        assert outcome.kind is OutcomeKind.RELAYED
        assert harness.runs_by_server(req_id) == {server_id: 1}
        assert not harness.dispatch._in_flight

    run_on_virtual_time(main)


def test_second_copy_without_an_id_is_not_an_answer():
    """A late copy of an earlier answer reached the next caller.

    The server states the id of a request in its other answers.
    """

    async def main():
        harness = DispatchHarness()
        await harness.submit_and_wait(b'/lookup/x')
        for server in harness.servers_of('lookup'):
            server.choose_reply = lambda exchange: 'hang'
        _, job, fut = harness.submit(b'/lookup/x')
        call = next(iter(job._open_calls))
        stamp = (b'ibismount-server-stamp', b'copy')
        named = RawResponse(200, [stamp, (b'ibismount-request-id', b'q1')], b'')
        unnamed = RawResponse(200, [stamp], b'')
        assert not call.on_response(named)
        assert not call.on_response(unnamed)
        assert not fut.done()
        # A failure would also be passed on to the caller.
        assert not call.on_response(RawResponse(500, [stamp], b''))
        assert not fut.done()

    run_on_virtual_time(main)


@pytest.mark.parametrize(
    'copy',
    [
        RawResponse(200, [(b'ibismount-server-stamp', b'copy')], b''),
        RawResponse(503, [(b'ibismount-not-executed', b'1')], b''),
    ],
)
def test_copy_without_an_id_is_recognized_after_the_entry_lapsed(copy):
    """A copy became the next caller's answer, or made a booking run twice.

    What was known of the server was dropped with its entry, while the connection
    to it stayed open.
    """

    async def main():
        harness = DispatchHarness()
        harness.pool.keeps_connections = True
        servers = [fake.server for fake in harness.servers_of('lookup')]
        for fake in harness.servers_of('lookup'):
            fake.choose_reply = lambda exchange: 'hang'
        _, job, _ = harness.submit(b'/lookup/x')
        first_call = next(iter(job._open_calls))
        stamp = (b'ibismount-server-stamp', b'first')
        name = (b'ibismount-request-id', job.req.request_id.encode())
        assert first_call.on_response(RawResponse(200, [stamp, name], b''))
        for server in servers:
            harness.fleet.apply(ServerRemoved(server.id, 2000))
        harness.dispatch.prune_removed()
        server = dataclasses.replace(first_call.server, revision=2001)
        harness.fleet.apply(ServerChanged(server))
        request_id, job, fut = harness.submit(b'/booking/x', method=b'POST')
        await asyncio.sleep(0.1)
        call = next(iter(job._open_calls))
        assert call.server.id == first_call.server.id
        assert not call.on_response(copy)
        assert not fut.done()
        assert harness.runs_by_server(request_id) == {server.id: 1}

    run_on_virtual_time(main)


def test_server_that_never_states_ids_is_used():
    """Answers without an id are normal for a server that has no ids."""

    async def main():
        harness = DispatchHarness()
        for _ in range(3):
            outcome, _ = await harness.submit_and_wait(b'/lookup/x')
            assert outcome.kind is OutcomeKind.RELAYED

    run_on_virtual_time(main)


def test_request_that_never_left_the_node_is_not_called_unknown():
    """Callers can't repeat a booking after an unknown outcome.

    The connection to the only server that is left hangs until the deadline.
    """

    async def main():
        harness = DispatchHarness()
        silent = {fake.server.id for fake in harness.servers_of('lookup')}
        harness.pool.silent_hosts = silent
        outcome, _ = await harness.submit_and_wait(
            b'/booking/x', deadline_ms=300, method=b'POST'
        )
        assert outcome.kind is OutcomeKind.NOT_RUN
        harness.pool.silent_hosts = set()
        await asyncio.sleep(2)
        assert not any(fake.ran for fake in harness.servers.values())

    run_on_virtual_time(main)


def test_stop_ends_each_request_with_its_true_outcome():
    """Requests under way at the end of a stop got no answer at all."""

    async def main():
        harness = DispatchHarness()
        for fake in harness.servers_of('lookup'):
            fake.choose_reply = lambda exchange: 'hang'
        _, _, running = harness.submit(b'/lookup/x')
        hanging = harness.servers_of(SHARDS[0])
        for fake in hanging:
            fake.choose_reply = lambda exchange: 'hang'
        _, _, search = harness.submit()
        await asyncio.sleep(0.05)
        harness.dispatch.refuse_new()
        _, _, refused = harness.submit(b'/lookup/x')
        assert refused.result().code is ErrorCode.SHUTTING_DOWN
        assert refused.result().kind is OutcomeKind.NOT_RUN
        assert not search.done()
        harness.dispatch.end_all()
        assert search.result().kind is OutcomeKind.MERGED
        assert search.result().missing == 1
        assert running.result().kind is OutcomeKind.UNKNOWN
        assert running.result().code is ErrorCode.SHUTTING_DOWN
        assert not harness.dispatch.jobs

    run_on_virtual_time(main)
