"""Deterministic search records, generated from shard and snapshot."""

import functools
from typing import Any, Final

import xxhash

__all__ = ('RECORDS_PER_SHARD', 'search')

RECORDS_PER_SHARD: Final = 40
_WORDS: Final = (
    'roof', 'wall', 'asbestos', 'scaffold', 'gutter', 'boiler', 'linen',
    'napkin', 'table', 'damask', 'round', 'ivory', 'crew', 'ladder', 'wiring',
    'hazard',
)  # fmt: skip
_WORDS_PER_RECORD: Final = 4
_SCORE_STEPS: Final = 10_000


@functools.lru_cache(maxsize=4096)
def records(shard: str, snapshot: str) -> tuple[dict[str, str], ...]:
    """Return the records of one shard in one snapshot."""
    return tuple(
        {
            'id': f'{shard}/{number}',
            'text': _build_text(shard, snapshot, number),
        }
        for number in range(RECORDS_PER_SHARD)
    )


def search(
    shard: str, snapshot: str, text: str, limit: int
) -> list[dict[str, Any]]:
    """Return the best records that contain any word of the text.

    An empty text matches all records. The order is by score, then id.
    """
    words = set(text.split())
    matches = [
        {**record, 'score': _compute_score(text, record['id'])}
        for record in records(shard, snapshot)
        if not words or words.intersection(record['text'].split())
    ]
    matches.sort(key=lambda record: (-record['score'], record['id']))
    return matches[:limit]


def _build_text(shard: str, snapshot: str, number: int) -> str:
    digest = xxhash.xxh64_intdigest(f'{shard}|{snapshot}|{number}'.encode())
    words = []
    for _ in range(_WORDS_PER_RECORD):
        digest, word_index = divmod(digest, len(_WORDS))
        words.append(_WORDS[word_index])
    return ' '.join((*words, snapshot))


def _compute_score(text: str, record_id: str) -> float:
    digest = xxhash.xxh64_intdigest(f'{text}|{record_id}'.encode())
    return digest % _SCORE_STEPS / _SCORE_STEPS
