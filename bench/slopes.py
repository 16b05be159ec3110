"""Measure how costs grow with size.

Run ``python -m bench.slopes [NAME_PART ...]``. Each probe runs at three or
more sizes; the slope of a fitted line is printed with its standard error.
With arguments, only probes whose names contain one of them run, and the
results file is not written. To add probes, write a module with a tuple
``PROBES`` and add it to ``MODULES``.
"""

import json
import pathlib
import sys
from collections.abc import Iterable

from bench import _capacity_probes, _config_probes, _frame_probes
from bench._fit import fit_line
from bench._probe import Probe

MODULES = (_capacity_probes, _config_probes, _frame_probes)
RESULTS = pathlib.Path(__file__).parent / 'results' / 'slopes.json'


def measure(probe: Probe) -> dict[str, object]:
    """Run a probe at all its sizes and fit a line."""
    points = [
        (size, value) for size in probe.sizes for value in probe.run(size)
    ]
    line = fit_line(*zip(*points, strict=True))
    return {
        'name': probe.name,
        'per': probe.per,
        'unit': probe.unit,
        'fixed': probe.fixed,
        'slope': line.slope,
        'slope_error': line.slope_error,
        'intercept': line.intercept,
        'at_largest': line.at(probe.sizes[-1]),
        'points': points,
    }


def describe(result: dict[str, object]) -> str:
    """Render a result as one line of the table."""
    return (
        '{name:<34} {slope:>11.4g} ± {slope_error:<9.2g} {unit} per {per}'
        '; {at_largest:.4g} {unit} at {largest} ({fixed})'
    ).format(largest=result['points'][-1][0], **result)


def main(name_parts: Iterable[str]) -> None:
    """Run the selected probes and print the table."""
    name_parts = tuple(name_parts)
    results = []
    for module in MODULES:
        for probe in module.PROBES:
            if name_parts and not any(
                name_part in probe.name for name_part in name_parts
            ):
                continue
            results.append(measure(probe))
            print(describe(results[-1]), flush=True)
    if not name_parts:
        RESULTS.parent.mkdir(exist_ok=True)
        RESULTS.write_text(json.dumps(results, indent=1) + '\n')


if __name__ == '__main__':
    main(sys.argv[1:])
