"""Decode objects of the platform's store into the product's types.

Entries may be written by clients that get the layout wrong, so each entry is
validated as a whole. An invalid entry raises `DocumentError` and is not used.
"""

from typing import Annotated, Any, Literal

import msgspec

from ibismount.routes import (
    CallerLimits,
    Route,
    RouteTable,
    Service,
    WeightedService,
)
from ibismount.server_table import Server

__all__ = (
    'CONFIG_KIND',
    'CONFIG_NAME',
    'EVACUATION_KIND',
    'SERVER_KIND',
    'DocumentError',
    'decode_route_table',
    'decode_server',
)

CONFIG_KIND = 'config'
CONFIG_NAME = 'main'
SERVER_KIND = 'servers'
EVACUATION_KIND = 'evacuations'

_SECONDS_PER_MS = 0.001
# Larger numbers can't be sent to other nodes.
_MAX_INT = 2**63 - 1
_MAX_PORT = 65535


class DocumentError(ValueError):
    """Raised when an object is invalid; names the object and the reason."""


class _ServerDoc(msgspec.Struct, rename='kebab'):
    # The service's name; the server's id is the name of the object.
    backend: str
    address: str
    zone: str
    version: str
    max_concurrency: Annotated[int, msgspec.Meta(le=_MAX_INT)]
    state: Literal['ready', 'draining']
    cold_remaining_ms: float
    sequence: int
    # Start time of the server, in Unix milliseconds.
    born: Annotated[int, msgspec.Meta(ge=0, le=_MAX_INT)] = 0


class _TrafficSplitDoc(msgspec.Struct, rename='kebab'):
    backend: str
    weight: float


class _RouteDoc(msgspec.Struct, rename='kebab'):
    name: str
    hostname: str
    path_prefix: str
    # Whether requests may be sent again after a failure.
    type: Literal['idempotent', 'non_idempotent']
    timeout_ms: float
    target_latency_ms: float
    priority: int = 0
    # Most backend servers that may run a caller's request, per shard.
    attempts: int = 1
    backend: str | None = None
    traffic_split: list[_TrafficSplitDoc] = []
    fanout_services: list[str] = []
    top_k: int = 0
    min_shard_ratio: float = 1


class _ServiceDoc(msgspec.Struct, rename='kebab'):
    name: str
    health_check_path: str = ''
    max_connections: int = 1
    cold_start_s: float = 0
    cold_per_s: float = 0


class _LimitsDoc(msgspec.Struct, rename='kebab'):
    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _ConfigDoc(msgspec.Struct, rename='kebab'):
    version: int
    routes: list[_RouteDoc]
    backends: list[_ServiceDoc]
    limits: _LimitsDoc = msgspec.field(default_factory=_LimitsDoc)


def decode_server(name: str, revision: int, spec: Any) -> Server:
    """Decode the entry of a backend server.

    Args:
        name: Name of the object, which is the server's id.
        revision: Store revision of the object.
        spec: Content of the object.

    Raises:
        DocumentError: The entry is invalid.
    """
    try:
        doc = msgspec.convert(spec, _ServerDoc)
        host, _, port = doc.address.rpartition(':')
        if not 1 <= int(port) <= _MAX_PORT:
            raise ValueError(f'port out of range: {port}')
        return Server(
            id=name,
            service=doc.backend,
            host=host,
            port=int(port),
            zone=doc.zone,
            slots=max(1, doc.max_concurrency),
            leaving=doc.state == 'draining',
            cold_s=max(0, doc.cold_remaining_ms) * _SECONDS_PER_MS,
            incarnation=doc.born,
            revision=revision,
        )
    except (msgspec.ValidationError, ValueError) as exc:
        raise DocumentError(f'{SERVER_KIND}/{name}: {exc}') from exc


def decode_route_table(spec: Any) -> RouteTable:
    """Decode a version of the routing configuration.

    Raises:
        DocumentError: The configuration is invalid.
    """
    try:
        doc = msgspec.convert(spec, _ConfigDoc)
        return RouteTable(
            version=doc.version,
            routes=tuple(_convert_route(item) for item in doc.routes),
            services={
                item.name: _convert_service(item) for item in doc.backends
            },
            limits=_convert_limits(doc.limits),
        )
    except (msgspec.ValidationError, ValueError) as exc:
        raise DocumentError(f'{CONFIG_KIND}/{CONFIG_NAME}: {exc}') from exc


def _convert_route(doc: _RouteDoc) -> Route:
    services = tuple(
        WeightedService(split.backend, split.weight)
        for split in doc.traffic_split
    )
    if doc.backend and not services:
        services = (WeightedService(doc.backend),)
    return Route(
        name=doc.name,
        host=doc.hostname,
        prefix=doc.path_prefix,
        idempotent=doc.type == 'idempotent',
        timeout_s=doc.timeout_ms * _SECONDS_PER_MS,
        target_s=doc.target_latency_ms * _SECONDS_PER_MS,
        priority=doc.priority,
        max_runs=max(1, doc.attempts),
        services=services,
        shards=tuple(doc.fanout_services),
        top_k=doc.top_k,
        least_share=doc.min_shard_ratio,
    )


def _convert_service(doc: _ServiceDoc) -> Service:
    return Service(
        name=doc.name,
        probe_path=doc.health_check_path,
        max_connections=doc.max_connections,
        cold_s=doc.cold_start_s,
        cold_rate=doc.cold_per_s,
    )


def _convert_limits(doc: _LimitsDoc) -> CallerLimits:
    return CallerLimits(
        header_bytes=doc.max_header_bytes,
        body_bytes=doc.max_body_bytes,
        header_s=doc.header_timeout_ms * _SECONDS_PER_MS,
        idle_s=doc.idle_timeout_ms * _SECONDS_PER_MS,
    )
