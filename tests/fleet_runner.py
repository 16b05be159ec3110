"""Run a test against real edge processes and stand-in servers."""

import asyncio

import httpx

from standins.edge_fleet import CRASH_DOWN_S, EdgeFleet


def run_test(tmp_path, main, *, crash_down_s=CRASH_DOWN_S, **options):
    async def run_with_fleet():
        fleet = EdgeFleet(tmp_path, crash_down_s=crash_down_s)
        try:
            await fleet.start(**options)
            async with httpx.AsyncClient() as client:
                await main(fleet, client)
        finally:
            await fleet.stop()

    asyncio.run(asyncio.wait_for(run_with_fleet(), 60))
