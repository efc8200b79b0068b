from pathlib import Path

import pytest

from ibispitch.store import StoreClient
from testbed.store import StoreServer

KNOWN_RED = Path(__file__).parent.parent / 'KNOWN-RED.txt'
RED_KEY = 'test: '
LEFT_OUT = pytest.StashKey[list[str]]()


def pytest_addoption(parser):
    parser.addoption(
        '--pass-over-known-red',
        action='store_true',
        help='Leave out and print the tests that KNOWN-RED.txt lists.',
    )


def pytest_collection_modifyitems(config, items):
    if not config.getoption('--pass-over-known-red'):
        return
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else ()
    red = {line[len(RED_KEY) :] for line in lines if line.startswith(RED_KEY)}
    left_out = [item for item in items if item.nodeid in red]
    items[:] = [item for item in items if item.nodeid not in red]
    config.stash[LEFT_OUT] = [item.nodeid for item in left_out]
    config.hook.pytest_deselected(items=left_out)


def pytest_terminal_summary(terminalreporter, config):
    for node_id in config.stash.get(LEFT_OUT, ()):
        terminalreporter.write_line(f'known red, left out: {node_id}')


@pytest.fixture
async def server():
    """A store server for tests."""
    async with StoreServer() as server:
        yield server


@pytest.fixture
async def store(server):
    """A client of the store server for tests."""
    async with StoreClient([server.address], timeout_s=0.4) as store:
        yield store
