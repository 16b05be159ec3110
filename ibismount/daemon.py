"""The daemon `ibismountd`: reads its settings and runs one node."""

import argparse
import random
import signal
import sys
import time

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

from ibismount.administration import Administration
from ibismount.api import make_app
from ibismount.backend import make_backend_client
from ibismount.errors import FindingsError, IbismountError
from ibismount.link import Peers
from ibismount.logs import configure_logs, part_logger
from ibismount.object_store import make_platform
from ibismount.parts import make_parts
from ibismount.roster import Member
from ibismount.settings import Settings, load_settings
from ibismount.telemetry import configure_telemetry

__all__ = ('Daemon', 'main', 'make_member', 'make_seeds')

log = part_logger('daemon')
EXIT_SETTINGS = 2
API_CLOSE_S = 5.0


class Daemon:
    """Run one node with its sockets until a signal.

    Args:
        cfg: Checked settings.
    """

    def __init__(self, cfg: Settings) -> None:
        """Build all parts without any I/O."""
        self.cfg = cfg
        rng = random.Random()
        self.parts = make_parts(
            make_member(cfg),
            platform=make_platform(
                str(cfg.platform.url),
                token=cfg.platform.token.get_secret_value(),
                timeout_s=cfg.platform.timeout_ms / 1000,
            ),
            client=make_backend_client(),
            rng=rng,
            in_flight=cfg.limits.in_flight,
        )
        self.node = self.parts.node
        self.peers = Peers(
            self.node.member,
            cluster=cfg.cluster.name,
            secret=cfg.cluster.secret.get_secret_value().encode(),
            handler=self.parts.ports.receive,
            link_lost=self.parts.ports.link_lost,
            undelivered=self.parts.ports.undelivered,
            rng=rng,
        )
        self.node.peers = self.peers
        self.node.membership.add_seeds(make_seeds(cfg))

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        stopped = anyio.Event()
        async with anyio.create_task_group() as tasks:
            await tasks.start(self.peers.serve)
            tasks.start_soon(self._keep_addresses)
            await self.parts.start(tasks)
            ended = anyio.Event()
            tasks.start_soon(self._serve_api, stopped, ended)
            log.info('node started on %s', self.cfg.node.api_address)
            await _wait_for_signal()
            await self.parts.leave()
            stopped.set()
            # The server must end by itself: cancelling it loses answers
            # that are still being written.
            with anyio.move_on_after(API_CLOSE_S):
                await ended.wait()
                await self.peers.flush()
            tasks.cancel_scope.cancel()
        log.info('node stopped')

    async def _serve_api(
        self, stopped: anyio.Event, ended: anyio.Event
    ) -> None:
        config = Config()
        config.bind = [self.cfg.node.api_address]
        config.errorlog = None
        config.accesslog = None
        admin = Administration(self.node, self.cfg)
        app = make_app(self.parts.entry, admin, cfg=self.cfg)
        await serve(app, config, shutdown_trigger=stopped.wait)
        ended.set()

    async def _keep_addresses(self) -> None:
        """Tell the links where every known node listens.

        Dead nodes stay dialled as long as the roster or the seeds name
        them; otherwise two sides of a healed partition would not meet.
        """
        seeds = make_seeds(self.cfg)
        while True:
            known = {one.id: one for one in seeds}
            known.update(self.node.state.roster.members)
            known.update(self.node.membership.live_members())
            self.peers.set_addresses(
                {one.id: one.link_address for one in known.values()}
            )
            await anyio.sleep(self.node.options.tick_s)


def make_member(cfg: Settings) -> Member:
    """Build this start's member.

    Milliseconds since 1970 increase from one start to the next; peers rely
    on that to tell a newer incarnation from an older one.
    """
    return Member(
        id=cfg.node.id,
        incarnation=time.time_ns() // 1_000_000,
        availability_zone=cfg.node.availability_zone,
        region=cfg.node.region,
        link_address=cfg.node.link_address,
        api_address=cfg.node.api_address,
    )


def make_seeds(cfg: Settings) -> list[Member]:
    """Return the seeds of the settings, without this node."""
    return [
        Member(
            id=seed.id,
            incarnation=0,
            availability_zone=seed.availability_zone,
            region=seed.region,
            link_address=seed.link_address,
            api_address=seed.api_address,
        )
        for seed in cfg.cluster.seeds
        if seed.id != cfg.node.id
    ]


async def _wait_for_signal() -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        await anext(aiter(signals))


def main() -> None:
    """Run the command line of `ibismountd`."""
    parser = argparse.ArgumentParser(prog='ibismountd', description=__doc__)
    parser.add_argument('settings', help='path of the YAML settings file')
    parser.add_argument(
        '--check', action='store_true', help='check the settings and exit'
    )
    args = parser.parse_args()
    try:
        cfg = load_settings(args.settings)
    except FindingsError as exc:
        for finding in exc.findings:
            print(finding, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if args.check:
        print(f'{args.settings}: the settings are valid')
        return
    configure_logs(cfg.telemetry.log_level, node_id=cfg.node.id)
    configure_telemetry(cfg.telemetry.exporter, node_id=cfg.node.id)
    try:
        anyio.run(Daemon(cfg).run)
    except* (IbismountError, OSError) as group:
        # Such as an address that another process still uses.
        for exc in group.exceptions:
            log.error('node failed: %s', exc)
        sys.exit(1)


if __name__ == '__main__':
    main()
