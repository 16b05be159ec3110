"""Measure the CPU time and memory of an action."""

import dataclasses
import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

__all__ = ('Probe', 'cpu_us', 'memory_bytes')

MIN_BATCH_CPU_S = 0.05
BATCHES = 3
# Preparing can take a thousand times as long as the action itself.
MAX_PREPARED_RUNS = 30


@dataclasses.dataclass(frozen=True)
class Probe:
    """A cost measured at several sizes.

    ``run`` takes a size and returns values in ``unit``. ``per`` names the
    item that the size counts, ``fixed`` the conditions common to all sizes.
    """

    name: str
    per: str
    unit: str
    sizes: tuple[int, ...]
    run: Callable[[int], list[float]]
    fixed: str = ''


def cpu_us(
    action: Callable[[Any], object],
    *,
    prepare: Callable[[], Any] | None = None,
) -> list[float]:
    """Return the mean CPU microseconds of an action, once per batch.

    Args:
        action: Called with the result of ``prepare``.
        prepare: Called before each run; its CPU time is excluded.
    """
    return [_measure_batch(action, prepare) for _ in range(BATCHES)]


def _measure_batch(action, prepare) -> float:
    cpu_times_s = []
    action(prepare() if prepare else None)
    gc.collect()
    gc.disable()
    try:
        while sum(cpu_times_s) < MIN_BATCH_CPU_S:
            if prepare and len(cpu_times_s) == MAX_PREPARED_RUNS:
                break
            prepared = prepare() if prepare else None
            started_s = time.process_time()
            action(prepared)
            cpu_times_s.append(time.process_time() - started_s)
    finally:
        gc.enable()
    return statistics.fmean(cpu_times_s) * 1_000_000


def memory_bytes(
    build: Callable[[Any], Any], *, prepare: Callable[[], Any] = dict
) -> list[float]:
    """Return the allocated bytes of the object that ``build`` returns.

    Args:
        build: Called with the result of ``prepare``.
        prepare: Its allocations are excluded.
    """
    build(prepare())
    prepared = prepare()
    gc.collect()
    tracemalloc.start()
    try:
        before_bytes, _ = tracemalloc.get_traced_memory()
        result = build(prepared)
        gc.collect()
        after_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del result
    return [float(after_bytes - before_bytes)]
