"""Probes of a server whose connection may be silent."""

import types

import anyio

from ibismount.permit_return import PermitReturner


class FakeClient:
    """Answers every probe and counts them."""

    def __init__(self):
        self.probes = 0

    async def probe(self, server, *, timeout_s):
        self.probes += 1
        return True

    async def close_idle(self, server):
        return None


def test_probe_that_was_answered_at_time_zero_counts():
    """Time 0 was taken for no answer, so the next call probed again."""
    client = FakeClient()
    permit_returner = PermitReturner(
        types.SimpleNamespace(now=lambda: 0),
        types.SimpleNamespace(record_failure=lambda *args, **options: None),
        client,
        lambda *args, **options: None,
        probe_timeout_s=1,
    )
    server = types.SimpleNamespace(id='i-1')

    async def main():
        for _ in range(2):
            await permit_returner.return_permit(server, None, probe=True)

    anyio.run(main)
    assert client.probes == 1
