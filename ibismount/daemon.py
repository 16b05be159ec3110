"""The daemon `ibismountd`: reads its settings and runs one node."""

import argparse
import random
import signal
import sys
import time

import anyio

from ibismount.administration import Administration
from ibismount.api import make_app, make_shutdown_refusal
from ibismount.api_server import open_api_server
from ibismount.backend import make_backend_client
from ibismount.errors import FindingsError, IbismountError
from ibismount.link_manager import LinkManager
from ibismount.logs import configure_logs, part_logger
from ibismount.object_store import make_platform
from ibismount.node_components import make_node_components
from ibismount.roster import Member
from ibismount.settings import Settings, load_settings
from ibismount.telemetry import configure_telemetry

__all__ = ('Daemon', 'main', 'make_member', 'make_seeds')

log = part_logger('daemon')
EXIT_INVALID_SETTINGS = 2
API_CLOSE_TIMEOUT_S = 5.0


class Daemon:
    """Run one node with its sockets until a termination signal.

    Args:
        cfg: Validated settings.
    """

    def __init__(self, cfg: Settings) -> None:
        """Build all components without any I/O."""
        self.cfg = cfg
        rng = random.Random()
        self.components = make_node_components(
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
        self.node = self.components.node
        self.link_manager = LinkManager(
            self.node.member,
            cluster=cfg.cluster.name,
            secret=cfg.cluster.secret.get_secret_value().encode(),
            handler=self.components.batch_transport.receive,
            link_lost=self.components.batch_transport.handle_link_lost,
            undelivered=self.components.batch_transport.mark_undelivered,
            rng=rng,
        )
        self.node.link_manager = self.link_manager
        self.node.membership.add_seeds(make_seeds(cfg))

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        admin = Administration(self.node, self.cfg)
        api_server = open_api_server(
            self.cfg.node.api_address,
            make_app(self.components.entry, admin, cfg=self.cfg),
            lambda: make_shutdown_refusal(admin),
        )
        async with anyio.create_task_group() as tasks:
            await tasks.start(self.link_manager.serve)
            tasks.start_soon(self._update_peer_addresses)
            await self.components.start(tasks)
            tasks.start_soon(api_server.run)
            log.info(
                'node started; the HTTP API listens on %s',
                self.cfg.node.api_address,
            )
            await _wait_for_signal()
            api_server.begin_leaving()
            await self.components.leave()
            # The API server must finish by itself, because cancelling it
            # would lose responses that are still being written.
            with anyio.move_on_after(API_CLOSE_TIMEOUT_S):
                await api_server.stop()
                await self.link_manager.flush()
            tasks.cancel_scope.cancel()
        log.info('node stopped')

    async def _update_peer_addresses(self) -> None:
        """Keep the link addresses of all known nodes up to date.

        Dead nodes are still dialled while the roster or the seeds contain
        them; otherwise two sides of a healed partition would not reconnect.
        """
        seeds = make_seeds(self.cfg)
        while True:
            members_by_id = {seed.id: seed for seed in seeds}
            members_by_id.update(self.node.state.roster.members)
            members_by_id.update(self.node.membership.live_members())
            self.link_manager.set_addresses(
                {
                    member.id: member.link_address
                    for member in members_by_id.values()
                }
            )
            await anyio.sleep(self.node.options.tick_s)


def make_member(cfg: Settings) -> Member:
    """Build the member record of this process.

    The incarnation is the Unix time in milliseconds, which increases from one
    start to the next; peers compare incarnations to find the newer one.
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
    """Return the seed nodes in the settings, without this node."""
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
        sys.exit(EXIT_INVALID_SETTINGS)
    if args.check:
        print(f'{args.settings}: the settings are valid')
        return
    configure_logs(cfg.telemetry.log_level, node_id=cfg.node.id)
    configure_telemetry(cfg.telemetry.exporter, node_id=cfg.node.id)
    try:
        anyio.run(Daemon(cfg).run)
    except* (IbismountError, OSError) as group:
        # For example, another process still uses an address.
        for exc in group.exceptions:
            log.error('node failed: %s', exc)
        sys.exit(1)


if __name__ == '__main__':
    main()
