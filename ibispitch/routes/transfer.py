"""Transfer of route tables between processes.

Each transfer has its own TCP connection: the length of the compressed table
in four bytes, then the table.
"""

import asyncio
from collections.abc import Callable

from ibispitch.ids import Address
from ibispitch.routes.model import decode_table
from ibispitch.routes.model import encode_table
from ibispitch.routes.model import MAX_TABLE_BYTES
from ibispitch.routes.model import RouteTable

#: Time-out of a transfer. Connections between hosts can stop without an
#: error.
TRANSFER_TIMEOUT_S = 1.0
_LENGTH_BYTES = 4


async def serve_table(
    address: Address,
    read: Callable[[], RouteTable | None],
    on_error: Callable[[Exception], None],
) -> asyncio.Server:
    """Send the current table to each process that connects.

    :param read: returns the table, ``None`` if there is none yet.
    :param on_error: called with the reason if a transfer fails. The other
        process tries again, here or elsewhere.
    :raises OSError: if the address cannot be bound.
    """
    encoded: tuple[RouteTable | None, bytes] = (None, b'')

    async def send(_reader, writer):
        nonlocal encoded
        try:
            table = read()
            if table is not None:
                if encoded[0] is not table:
                    encoded = (table, encode_table(table))
                size = len(encoded[1]).to_bytes(_LENGTH_BYTES, 'big')
                writer.write(size + encoded[1])
                async with asyncio.timeout(TRANSFER_TIMEOUT_S):
                    await writer.drain()
        except (OSError, TimeoutError) as error:
            on_error(error)
        finally:
            writer.close()

    return await asyncio.start_server(send, *address, backlog=256)


async def fetch_table(address: Address) -> RouteTable:
    """Fetch the table of another process.

    :raises OSError: if the connection failed or the process has no table.
    :raises TimeoutError: if the transfer took too long.
    :raises ValueError: if the answer is not a table.
    """
    async with asyncio.timeout(TRANSFER_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(*address)
        try:
            head = await reader.readexactly(_LENGTH_BYTES)
            size = int.from_bytes(head, 'big')
            if size > MAX_TABLE_BYTES:
                raise ValueError(
                    f'table of {size} bytes exceeds {MAX_TABLE_BYTES} bytes'
                )
            return decode_table(await reader.readexactly(size))
        except asyncio.IncompleteReadError as error:
            raise ConnectionResetError(
                'connection closed before the end of the route table'
            ) from error
        finally:
            writer.close()
