"""Two complaints of users: what the answer states, and which lines explain it."""

import logging

from ibismount.wire_format import OutcomeKind
from tests.edge_fakes import DispatchHarness
from tests.virtual_time import run_on_virtual_time


def lines_of(caplog, req_id):
    return [
        (record.message, record.__dict__)
        for record in caplog.records
        if record.__dict__.get('request_id') == req_id
    ]


def test_failing_replica_of_the_own_zone_costs_no_records(caplog):
    """A lookup got an empty answer while another zone had the warning.

    The replica of the caller's zone looked healthy and kept answering, with
    failures. The part must come from another zone, and the log must name the
    replica that failed.
    """
    caplog.set_level(logging.INFO, 'ibismount')

    async def main():
        harness = DispatchHarness()
        harness.servers['s3-z0'].choose_reply = lambda exchange: 'fail'
        req_id, _, fut = harness.submit()
        outcome = await fut
        assert outcome.missing == 0
        assert any(sign.startswith('s3-z') for sign in outcome.signatures)
        ((message, fields),) = lines_of(caplog, req_id)
        assert message == 'dispatch: attempt failed at backend server'
        assert (fields['server'], fields['end']) == ('s3-z0', 'failure')

    run_on_virtual_time(main)


def test_hanging_shard_is_stated_as_missing_and_named(caplog):
    """A search hung and came back with part of the records, unexplained.

    The answer must come before the target and state how many shards it lacks;
    the log must name them with the servers that were tried.
    """
    caplog.set_level(logging.INFO, 'ibismount')

    async def main():
        harness = DispatchHarness()
        for server in harness.servers_of('s3'):
            server.choose_reply = lambda exchange: 'nothing'
        req_id, _, fut = harness.submit()
        outcome = await fut
        assert outcome.kind is OutcomeKind.MERGED
        assert outcome.missing == 1
        assert len(outcome.signatures) == 9
        message, fields = lines_of(caplog, req_id)[-1]
        assert message == 'dispatch: request answered without some parts'
        assert list(fields['missing']) == ['s3']
        tried = fields['missing']['s3'].split()
        assert len(tried) == 2
        assert all(server_id.startswith('s3-z') for server_id in tried)

    run_on_virtual_time(main)


def test_search_that_lacks_too_much_is_a_failure_not_an_empty_answer(caplog):
    """Below its least share a search must not look complete or empty."""
    caplog.set_level(logging.INFO, 'ibismount')

    async def main():
        harness = DispatchHarness()
        for shard in ('s3', 's4'):
            for server in harness.servers_of(shard):
                server.choose_reply = lambda exchange: 'fail'
        req_id, _, fut = harness.submit()
        outcome = await fut
        assert outcome.kind is OutcomeKind.UNKNOWN
        assert outcome.records == b''
        message, fields = lines_of(caplog, req_id)[-1]
        assert message == 'dispatch: request failed'
        assert set(fields['missing']) == {'s3', 's4'}
        assert (fields['in'], fields['of']) == (8, 10)

    run_on_virtual_time(main)
