"""Mark the tests listed in KNOWN-RED.txt as expected failures; list them."""

import os
import pathlib

import pytest
import trio._core._run

# The longest tests start first: started last, one of them would keep a single
# worker busy after the others have finished.
LONG_MODULES = ('test_scenarios', 'test_scenarios_off', 'test_entry')
KNOWN_RED_FILE = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'


@pytest.fixture(autouse=True)
def task_order():
    """Repeat the order in which trio runs the tasks that are ready.

    ``TASK_ORDER_SEED`` draws another one.
    """
    seed = int(os.environ.get('TASK_ORDER_SEED', '0'))
    trio._core._run._r.seed(seed)


def known_red_test_ids() -> list[str]:
    lines = KNOWN_RED_FILE.read_text(encoding='utf-8').splitlines()
    return [line.split()[0] for line in lines if line.startswith('tests/')]


def pytest_collection_modifyitems(items):
    items.sort(key=lambda item: item.path.stem not in LONG_MODULES)
    expected_to_fail = set(known_red_test_ids())
    for item in items:
        if item.nodeid in expected_to_fail:
            item.add_marker(pytest.mark.xfail(reason='KNOWN-RED.txt'))


def pytest_terminal_summary(terminalreporter):
    for node_id in known_red_test_ids():
        terminalreporter.write_line(f'known red: {node_id}')
