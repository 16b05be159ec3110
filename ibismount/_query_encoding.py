"""Encode queries as bytes and as hashes."""

import json
from collections.abc import Mapping
from typing import Any

import xxhash

__all__ = ('canonical_query', 'fingerprint_of', 'query_hash', 'search_body')


def canonical_query(query: Mapping[str, Any]) -> bytes:
    """Encode a query so that equal queries give equal bytes."""
    return json.dumps(query, separators=(',', ':'), sort_keys=True).encode()


def query_hash(template: str, query: Mapping[str, Any]) -> str:
    """Return the hash that binds a cursor to a query of a template."""
    digest = xxhash.xxh3_128(template.encode())
    digest.update(b'\0')
    digest.update(canonical_query(query))
    return digest.hexdigest()


def fingerprint_of(team: str, template: str, query: Mapping[str, Any]) -> str:
    """Return the hash that identifies a request in the quarantine."""
    digest = xxhash.xxh3_64(f'{team}\0{template}\0'.encode())
    digest.update(canonical_query(query))
    return digest.hexdigest()


def search_body(query: Mapping[str, Any], limit: int) -> bytes:
    """Encode a query and its result limit for a backend server."""
    # The limit includes one result beyond the page, which shows whether
    # another page follows.
    return json.dumps({**query, 'limit': limit}).encode()
