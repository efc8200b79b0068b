"""Authenticated msgpack streams over TCP.

Both ends send a nonce of 16 bytes and prove that they have a shared key by a
MAC over both nonces. After that, each message is a msgpack array ``[MAC,
body]``. The MAC covers the session, the direction, a counter and the body,
so that a message cannot be replayed, reordered or sent back to its sender.
"""

import asyncio
from hashlib import blake2s
import os
from typing import Any

import msgpack

from ibispitch.wire.errors import WireError
from ibispitch.wire.errors import WireFault
from ibispitch.wire.frames import Keyring
from ibispitch.wire.messages import decode_message
from ibispitch.wire.messages import encode_message
from ibispitch.wire.messages import MAX_MESSAGE_BYTES

NONCE_BYTES = 16
SESSION_BYTES = 16
HANDSHAKE_TIMEOUT_S = 3.0
READ_CHUNK_BYTES = 65536
PREAMBLE = b'ibispitch/1'


class MessageStream:
    """One end of an authenticated stream.

    Use :func:`open_stream` or :func:`accept_stream` to create one.

    :param reader: the connection's reader.
    :param writer: the connection's writer.
    :param keyring: the shared keys.
    :param session: session id that both ends derive from the nonces.
    :param is_client: whether this end opened the connection.
    """

    def __init__(self, reader, writer, keyring, session, is_client):
        self._reader = reader
        self._writer = writer
        self._keyring = keyring
        self._send_prefix = session + (b'c' if is_client else b's')
        self._receive_prefix = session + (b's' if is_client else b'c')
        self._sent_count = 0
        self._received_count = 0
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=MAX_MESSAGE_BYTES + 1024
        )
        self.bytes_sent = 0
        self.bytes_received = 0

    @property
    def peer_ip(self) -> str:
        """IP address of the other end."""
        return self._writer.get_extra_info('peername')[0]

    def write(self, message: Any) -> None:
        """Queue a registered message to be sent."""
        body = encode_message(message)
        mac = self._keyring.mac(
            self._send_prefix + self._sent_count.to_bytes(8, 'big') + body
        )
        self._sent_count += 1
        data = msgpack.packb([mac, body])
        self.bytes_sent += len(data)
        self._writer.write(data)

    async def send(self, message: Any) -> None:
        """Queue a registered message and wait until the buffer has room."""
        self.write(message)
        await self._writer.drain()

    async def receive(self) -> Any | None:
        """Return the next message, or ``None`` at the end of the stream.

        :raises WireError: if a message is not authentic or not valid. The
            stream cannot be used afterwards.
        """
        while True:
            try:
                envelope = next(self._unpacker, None)
            except (ValueError, msgpack.UnpackException) as error:
                raise WireError(WireFault.BAD_MESSAGE, str(error)) from error
            if envelope is not None:
                return self._open_envelope(envelope)
            data = await self._reader.read(READ_CHUNK_BYTES)
            if not data:
                return None
            self.bytes_received += len(data)
            try:
                self._unpacker.feed(data)
            except msgpack.BufferFull as error:
                raise WireError(
                    WireFault.OVERSIZED,
                    f'message of more than {MAX_MESSAGE_BYTES} bytes',
                ) from error

    def _open_envelope(self, envelope) -> Any:
        try:
            mac, body = envelope
        except (TypeError, ValueError) as error:
            raise WireError(
                WireFault.BAD_MESSAGE, 'message is not [MAC, body]'
            ) from error
        if not isinstance(mac, bytes) or not isinstance(body, bytes):
            raise WireError(
                WireFault.BAD_MESSAGE, 'message is not [MAC, body]'
            )
        signed = (
            self._receive_prefix
            + self._received_count.to_bytes(8, 'big')
            + body
        )
        if not self._keyring.accepts(signed, mac):
            raise WireError(
                WireFault.BAD_MAC, 'the MAC of the message is wrong'
            )
        self._received_count += 1
        return decode_message(body)

    def close(self) -> None:
        """Close the connection after queued data has been sent."""
        self._writer.close()

    def abort(self) -> None:
        """Close the connection immediately and discard queued data."""
        self._writer.transport.abort()


def _derive_session(first: bytes, second: bytes) -> bytes:
    return blake2s(
        PREAMBLE + first + second, digest_size=SESSION_BYTES
    ).digest()


async def _authenticate(reader, writer, keyring, is_client) -> bytes:
    own_nonce = os.urandom(NONCE_BYTES)
    writer.write(PREAMBLE + own_nonce)
    peer_preamble = await reader.readexactly(len(PREAMBLE) + NONCE_BYTES)
    if not peer_preamble.startswith(PREAMBLE):
        raise WireError(
            WireFault.BAD_VERSION,
            f'the peer does not use protocol {PREAMBLE!r}',
        )
    peer_nonce = peer_preamble[len(PREAMBLE) :]
    session = _derive_session(
        *((own_nonce, peer_nonce) if is_client else (peer_nonce, own_nonce))
    )
    role, peer_role = (b'c', b's') if is_client else (b's', b'c')
    proof = keyring.mac(session + role + b'proof')
    writer.write(proof)
    peer_proof = await reader.readexactly(len(proof))
    if not keyring.accepts(session + peer_role + b'proof', peer_proof):
        raise WireError(
            WireFault.BAD_MAC, 'the peer has none of the keys in shared_keys'
        )
    return session


async def _handshake(reader, writer, keyring, is_client) -> MessageStream:
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            session = await _authenticate(reader, writer, keyring, is_client)
    except (WireError, OSError, EOFError, TimeoutError) as error:
        writer.transport.abort()
        if isinstance(error, WireError):
            raise
        raise WireError(
            WireFault.TRUNCATED, f'handshake failed: {error!r}'
        ) from error
    return MessageStream(reader, writer, keyring, session, is_client)


async def open_stream(
    ip: str, port: int, keyring: Keyring, local_ip: str | None = None
) -> MessageStream:
    """Connect and authenticate.

    :param ip: IP address to connect to.
    :param port: TCP port.
    :param keyring: the shared keys.
    :param local_ip: own IP address to connect from.
    :returns: the stream.
    :raises OSError: if the connection fails.
    :raises WireError: if the handshake fails.
    """
    local = (local_ip, 0) if local_ip else None
    async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(
            ip, port, local_addr=local
        )
    return await _handshake(reader, writer, keyring, True)


async def accept_stream(reader, writer, keyring: Keyring) -> MessageStream:
    """Authenticate an accepted connection.

    :raises WireError: if the handshake fails; the connection is closed.
    """
    return await _handshake(reader, writer, keyring, False)
