"""Frames, messages and streams, valid and forged."""

import asyncio
from contextlib import asynccontextmanager

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from ibispitch.ids import FlowId
from ibispitch.ids import ServiceNumber
from ibispitch.wire import control_message
from ibispitch.wire import decode_frame
from ibispitch.wire import decode_message
from ibispitch.wire import encode_frame
from ibispitch.wire import Frame
from ibispitch.wire import FrameKind
from ibispitch.wire import Keyring
from ibispitch.wire import WireError
from ibispitch.wire.errors import WireFault
from ibispitch.wire.streams import accept_stream
from ibispitch.wire.streams import open_stream

KEY = Keyring([b'a' * 16])
OTHER_KEY = Keyring([b'b' * 16])
FRAME = Frame(
    FrameKind.FORWARD,
    0,
    0,
    ServiceNumber(1),
    FlowId(b'\x7f\0\0\1\0\1'),
    b'\x7f\0\0\2\0\2',
    b'hello',
)
#: Time for the end of a connection on a busy host.
CONNECTION_END_S = 5.0


@control_message('test.note')
class Note(msgspec.Struct, array_like=True, frozen=True):
    text: str


@given(st.binary(max_size=100))
def test_random_datagram_is_rejected(datagram):
    """A forged datagram must be rejected with a :class:`WireError`."""
    with pytest.raises(WireError):
        decode_frame(KEY, datagram)


@given(st.integers(0, 46), st.integers(1, 255))
def test_changed_byte_is_rejected(position, change):
    """A frame with a changed byte must be rejected because of its MAC."""
    datagram = bytearray(encode_frame(KEY, FRAME))
    datagram[position % len(datagram)] ^= change
    with pytest.raises(WireError) as caught:
        decode_frame(KEY, bytes(datagram))
    assert caught.value.fault is WireFault.BAD_MAC


def test_key_rotation():
    """A host must also accept frames that its second key signed."""
    both = Keyring([b'b' * 16, b'a' * 16])
    assert decode_frame(both, encode_frame(KEY, FRAME)) == FRAME
    with pytest.raises(WireError):
        decode_frame(KEY, encode_frame(both, FRAME))


@given(st.binary(max_size=60))
def test_random_message_is_rejected(data):
    """Malformed msgpack must be rejected with a :class:`WireError`."""
    with pytest.raises(WireError):
        decode_message(data)


@asynccontextmanager
async def _echo_server(keyring):
    """Serve one connection that gets its messages back.

    On exit the connection is over: a writer that is collected after its
    loop has closed fails a later test.

    :returns: the port, and a queue of received messages and errors.
    """
    received: asyncio.Queue = asyncio.Queue()
    has_ended = asyncio.Event()

    async def serve(reader, writer):
        try:
            stream = await accept_stream(reader, writer, keyring)
            while (message := await stream.receive()) is not None:
                received.put_nowait(message)
                await stream.send(message)
        except WireError as error:
            received.put_nowait(error)
        finally:
            writer.transport.abort()
            has_ended.set()

    async with await asyncio.start_server(serve, '127.0.0.1', 0) as server:
        yield server.sockets[0].getsockname()[1], received
        async with asyncio.timeout(CONNECTION_END_S):
            await has_ended.wait()


async def test_stream_carries_messages_both_ways():
    """Messages must arrive complete and in order over one stream."""
    async with _echo_server(KEY) as (port, _):
        stream = await open_stream('127.0.0.1', port, KEY)
        for text in ('one', 'two' * 50000):
            await stream.send(Note(text))
            assert await stream.receive() == Note(text)
        stream.close()


async def test_stream_without_the_key_is_refused():
    """A host without a shared key must not get a stream."""
    async with _echo_server(KEY) as (port, received):
        with pytest.raises(WireError):
            await open_stream('127.0.0.1', port, OTHER_KEY)
        assert isinstance(await received.get(), WireError)


async def test_replayed_message_is_refused():
    """A message that is sent a second time must end the stream."""
    async with _echo_server(KEY) as (port, received):
        stream = await open_stream('127.0.0.1', port, KEY)
        sent = []
        write = stream._writer.write
        stream._writer.write = lambda data: (sent.append(data), write(data))
        await stream.send(Note('pay'))
        write(sent[0])
        assert await received.get() == Note('pay')
        assert (await received.get()).fault is WireFault.BAD_MAC
        stream.close()
