"""Backend servers, index snapshots and shard maps of one collection."""

import dataclasses
from collections.abc import Mapping
from typing import Any

import pydantic

from ibismount.errors import ErrorCode, Finding, FindingsError

__all__ = ('BackendServer', 'Catalog', 'Snapshot', 'parse_catalog')


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """A server that holds a replica of one shard.

    ``slots`` is the maximum number of concurrent requests, ``cold_slots``
    the maximum during a cold start, and ``connections`` the maximum number of
    open connections. ``warm_after`` is the number of answers per step of the
    warm-up ramp.
    """

    id: str
    address: str
    availability_zone: str
    shard: str
    slots: int = 4
    connections: int = 80
    cold_slots: int = 1
    warm_after: int = 8
    leaving: bool = False
    snapshots: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """An index version and its shards."""

    id: str
    shards: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Catalog:
    """Snapshots, newest first, and backend servers of a collection."""

    collection: str
    snapshots: tuple[Snapshot, ...]
    servers: Mapping[str, BackendServer]

    def snapshot(self, snapshot_id: str) -> Snapshot | None:
        """Return the snapshot with this id, or None if there is none."""
        for snapshot in self.snapshots:
            if snapshot.id == snapshot_id:
                return snapshot
        return None

    def replicas(self, shard: str, snapshot_id: str) -> list[BackendServer]:
        """Return the backend servers that hold a shard of a snapshot."""
        return [
            server
            for server in self.servers.values()
            if server.shard == shard and snapshot_id in server.snapshots
        ]


class _ServerModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid')

    id: str = pydantic.Field(min_length=1)
    address: str = pydantic.Field(pattern=r'^[0-9a-fA-F.:\[\]]+:\d+$')
    availability_zone: str = pydantic.Field(min_length=1)
    shard: str = pydantic.Field(min_length=1)
    slots: int = pydantic.Field(default=4, ge=1)
    connections: int = pydantic.Field(default=80, ge=1)
    cold_slots: int = pydantic.Field(default=1, ge=1)
    warm_after: int = pydantic.Field(default=8, ge=1)
    leaving: bool = False
    snapshots: tuple[str, ...] = ()


class _SnapshotModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid')

    id: str = pydantic.Field(min_length=1)
    shards: tuple[str, ...] = pydantic.Field(min_length=1)


class _CatalogModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid')

    collection: str = pydantic.Field(min_length=1)
    snapshots: tuple[_SnapshotModel, ...] = pydantic.Field(min_length=1)
    servers: tuple[_ServerModel, ...]


def parse_catalog(body: Mapping[str, Any], *, place: str = '') -> Catalog:
    """Validate a catalog object and return it as a `Catalog`.

    Args:
        body: The decoded JSON object.
        place: Prefix of the field paths in findings, such as an object key.

    Returns:
        The catalog with its servers by id.

    Raises:
        FindingsError: ``change_invalid``, with one finding per invalid field.
    """
    try:
        model = _CatalogModel.model_validate(body)
    except pydantic.ValidationError as exc:
        raise FindingsError(findings_of(exc, place=place)) from exc
    return Catalog(
        collection=model.collection,
        snapshots=tuple(
            Snapshot(snapshot.id, snapshot.shards)
            for snapshot in model.snapshots
        ),
        servers={
            server.id: BackendServer(**server.model_dump())
            for server in model.servers
        },
    )


def findings_of(
    exc: pydantic.ValidationError,
    *,
    place: str = '',
    code: ErrorCode = ErrorCode.CHANGE_INVALID,
) -> list[Finding]:
    """Convert pydantic's errors to findings with field paths."""
    return [
        Finding(
            code,
            '.'.join(filter(None, (place, *map(str, error['loc'])))),
            error['msg'],
        )
        for error in exc.errors()
    ]
