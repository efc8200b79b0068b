import pytest

from ibispitch.store import StoreClient
from testbed.store import StoreServer


@pytest.fixture
async def server():
    """A stand-in store."""
    async with StoreServer() as server:
        yield server


@pytest.fixture
async def store(server):
    """A client of the stand-in store."""
    async with StoreClient([server.address], timeout_s=0.4) as store:
        yield store
