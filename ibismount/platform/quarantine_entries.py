"""Quarantined requests as objects of the platform's store."""

from typing import Annotated, Any

import msgspec

from ibismount.logs import part_logger
from ibismount.loss_report import QuarantineEntry
from ibismount.platform.store import StoreClient
from ibismount.quarantine_backup import QuarantineStore

__all__ = ('QUARANTINE_KIND', 'PlatformQuarantineStore')

log = part_logger('platform')

QUARANTINE_KIND = 'ibismount-quarantine'
_MS_PER_S = 1000
_TIMEOUT_S = 1.0
_MAX_UNIX_MS = 2**53


class _QuarantineDoc(msgspec.Struct, rename='kebab'):
    # Unix time in milliseconds.
    expires_at: Annotated[int, msgspec.Meta(ge=0, le=_MAX_UNIX_MS)]
    evidence: Annotated[str, msgspec.Meta(max_length=1000)] = ''


class PlatformQuarantineStore(QuarantineStore):
    """Read and write the objects; each is named by its fingerprint."""

    def __init__(self, store: StoreClient) -> None:
        """Use a store client."""
        self._store = store

    async def list(self) -> list[QuarantineEntry]:
        """Return all entries that can be read."""
        listing = await self._store.list(QUARANTINE_KIND, timeout_s=_TIMEOUT_S)
        entries = (
            _decode_entry(stored.name, stored.spec)
            for stored in listing.entries
        )
        return [entry for entry in entries if entry is not None]

    async def add(self, entry: QuarantineEntry) -> None:
        """Store an entry; do nothing if its request has one."""
        doc = _QuarantineDoc(
            round(entry.expires_at * _MS_PER_S), entry.evidence
        )
        await self._store.create(
            QUARANTINE_KIND,
            entry.fingerprint,
            msgspec.to_builtins(doc),
            timeout_s=_TIMEOUT_S,
        )

    async def remove(self, fingerprint: str) -> None:
        """Remove the entry of a request if there is one."""
        await self._store.delete(
            QUARANTINE_KIND, fingerprint, timeout_s=_TIMEOUT_S
        )


def _decode_entry(name: str, spec: Any) -> QuarantineEntry | None:
    try:
        doc = msgspec.convert(spec, _QuarantineDoc)
    except msgspec.ValidationError as exc:
        log.warning(
            'store entry ignored: invalid content',
            extra={'entry': name, 'reason': str(exc)},
        )
        return None
    return QuarantineEntry(name, doc.expires_at / _MS_PER_S, doc.evidence)
