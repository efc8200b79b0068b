"""Handover of a running agent to its successor process on the same host.

The successor connects to the control address of its settings. The running
agent sends its whole state and keeps the datagrams that arrive from then on.
The successor binds the same addresses while the running agent still has
them, and confirms. The running agent then closes its sockets and sends the
datagrams that it has kept. So at any time there is a socket that receives
the datagrams of the upstream; if a datagram were refused, the upstream would
end its feeds (observations).

If the stream ends before the confirmation, the running agent continues;
after the confirmation only the successor acts.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import msgspec

from ibispitch.admission.messages import AdmissionState
from ibispitch.ids import Address
from ibispitch.ids import AgentId
from ibispitch.ids import FlowId
from ibispitch.telemetry import log
from ibispitch.telemetry import Severity
from ibispitch.wire import control_message
from ibispitch.wire import Keyring
from ibispitch.wire import WireError
from ibispitch.wire.streams import accept_stream
from ibispitch.wire.streams import MessageStream
from ibispitch.wire.streams import open_stream

#: Sizes of the messages, each of which must be below 1 MB.
CHUNK_BYTES = 256 * 1024
CHUNK_FLOWS = 5000
#: A datagram has at most 1,500 bytes, so a message stays below 1 MB.
CHUNK_DATAGRAMS = 500
#: Limit for one handover. A handover of 2,000 flows takes a fraction of a
#: second, and callers retransmit after 2 s or more.
HANDOVER_TIMEOUT_S = 10.0


@control_message('agent.take_over')
class TakeOver(msgspec.Struct, array_like=True, frozen=True):
    """Asks a running agent for its state."""

    agent_id: AgentId


@control_message('agent.refused')
class HandoverRefused(msgspec.Struct, array_like=True, frozen=True):
    """Refuses a handover.

    :param reason: a text for the log of the successor.
    """

    reason: str


@control_message('agent.gate')
class GateChunk(msgspec.Struct, array_like=True, frozen=True):
    """A part of the exported state of the gate."""

    data: bytes


class FlowSocket(msgspec.Struct, array_like=True, frozen=True):
    """A socket of a flow to the upstream.

    :param port: local port.
    """

    flow: FlowId
    port: int


class FlowPath(msgspec.Struct, array_like=True, frozen=True):
    """Path of the last packet of a flow.

    :param balancer: data address of the balancer, 6 bytes.
    :param destination: address of the service, 6 bytes.
    """

    flow: FlowId
    balancer: bytes
    destination: bytes


@control_message('agent.sockets')
class FlowSockets(msgspec.Struct, array_like=True, frozen=True):
    """Sockets of flows to the upstream."""

    sockets: list[FlowSocket]


@control_message('agent.paths')
class FlowPaths(msgspec.Struct, array_like=True, frozen=True):
    """Return paths of flows."""

    paths: list[FlowPath]


@control_message('agent.end')
class HandoverEnd(msgspec.Struct, array_like=True, frozen=True):
    """Ends the state, which is complete."""


@control_message('agent.confirmed')
class HandoverConfirmed(msgspec.Struct, array_like=True, frozen=True):
    """Confirms that the successor has received the state."""


class LateDatagram(msgspec.Struct, array_like=True, frozen=True):
    """A datagram that arrived at the predecessor after its export.

    :param flow: flow of its socket, empty for the data socket.
    :param sender: source address; only used for the data socket.
    """

    flow: FlowId
    sender: Address
    data: bytes


@control_message('agent.late')
class LateDatagrams(msgspec.Struct, array_like=True, frozen=True):
    """Datagrams that the successor must handle first."""

    datagrams: list[LateDatagram]


@control_message('agent.released')
class HandoverReleased(msgspec.Struct, array_like=True, frozen=True):
    """Confirms that the predecessor has closed all its sockets."""


class AgentSnapshot(msgspec.Struct):
    """The state of an agent.

    :param affinity: messages of the affinity core, with the last view.
    :param gate: exported state of the gate.
    """

    affinity: list[Any]
    gate: bytes
    sockets: list[FlowSocket]
    paths: list[FlowPath]
    admission: AdmissionState

    def to_messages(self) -> Iterator[Any]:
        """Return the messages that carry the state."""
        yield from self.affinity
        for start in range(0, len(self.gate), CHUNK_BYTES):
            yield GateChunk(self.gate[start : start + CHUNK_BYTES])
        for sockets in _batches(self.sockets):
            yield FlowSockets(sockets)
        for paths in _batches(self.paths):
            yield FlowPaths(paths)
        yield self.admission
        yield HandoverEnd()

    @classmethod
    def from_messages(cls, messages: list[Any]) -> 'AgentSnapshot':
        """Return the state that messages carry."""
        own = (GateChunk, FlowSockets, FlowPaths, AdmissionState)
        return cls(
            affinity=[m for m in messages if not isinstance(m, own)],
            gate=b''.join(
                m.data for m in messages if isinstance(m, GateChunk)
            ),
            sockets=[
                socket
                for message in messages
                if isinstance(message, FlowSockets)
                for socket in message.sockets
            ],
            paths=[
                path
                for message in messages
                if isinstance(message, FlowPaths)
                for path in message.paths
            ],
            admission=next(
                message
                for message in messages
                if isinstance(message, AdmissionState)
            ),
        )


def _batches(items: list, size: int = CHUNK_FLOWS) -> Iterator[list]:
    for start in range(0, len(items), size):
        yield items[start : start + size]


class HandoverServer:
    """Sends the state of a running agent to a successor.

    :param agent_id: this agent.
    :param address: control address.
    :param keyring: the shared keys.
    :param export: stops the agent and returns its state, ``None`` if it
        serves no service yet.
    :param resume: lets the agent act again with its exported state.
    :param release: closes all sockets of the agent and returns the
        datagrams that arrived since the export.
    """

    def __init__(
        self,
        agent_id: AgentId,
        address: Address,
        keyring: Keyring,
        export: Callable[[], AgentSnapshot | None],
        resume: Callable[[AgentSnapshot], None],
        release: Callable[[], Awaitable[list[LateDatagram]]],
    ):
        self._agent_id = agent_id
        self._address = address
        self._keyring = keyring
        self._export = export
        self._resume = resume
        self._release = release
        self._server: asyncio.Server | None = None
        self._is_busy = False
        #: Set when a successor has taken over.
        self.done = asyncio.Event()

    async def start(self) -> None:
        """Listen on the control address."""
        self._server = await asyncio.start_server(
            self._on_connection, *self._address
        )

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _on_connection(self, reader, writer) -> None:
        try:
            stream = await accept_stream(reader, writer, self._keyring)
            async with asyncio.timeout(HANDOVER_TIMEOUT_S):
                await self._serve(stream)
            stream.close()
        except (WireError, OSError, TimeoutError):
            writer.transport.abort()

    async def _serve(self, stream: MessageStream) -> None:
        request = await stream.receive()
        if not isinstance(request, TakeOver) or self._is_busy:
            await stream.send(HandoverRefused('a handover is running'))
            return
        if stream.peer_ip != self._address.ip:
            await stream.send(HandoverRefused('not on this host'))
            return
        if request.agent_id != self._agent_id:
            await stream.send(HandoverRefused(f'this is {self._agent_id}'))
            return
        self._is_busy = True
        snapshot = self._export()
        if snapshot is None:
            await self._end_without_state(stream)
            return
        log(Severity.INFO, 'agent.handover', flows=len(snapshot.paths))
        if await self._send_snapshot(stream, snapshot):
            for batch in _batches(await self._release(), CHUNK_DATAGRAMS):
                stream.write(LateDatagrams(batch))
            self.close()
            await stream.send(HandoverReleased())
            self.done.set()
        else:
            log(Severity.WARNING, 'agent.handover_failed')
            self._resume(snapshot)
            self._is_busy = False

    async def _end_without_state(self, stream: MessageStream) -> None:
        """Release the addresses and end; there is no state to hand over."""
        await self._release()
        self.close()
        await stream.send(HandoverRefused('nothing is served'))
        self.done.set()

    @staticmethod
    async def _send_snapshot(stream, snapshot: AgentSnapshot) -> bool:
        try:
            async with asyncio.timeout(HANDOVER_TIMEOUT_S / 2):
                for message in snapshot.to_messages():
                    await stream.send(message)
                answer = await stream.receive()
        except (WireError, OSError, TimeoutError):
            return False
        return isinstance(answer, HandoverConfirmed)


class SuccessorHandover:
    """A handover in the successor process.

    :param stream: stream to the running agent.
    :param snapshot: state of the running agent.
    """

    def __init__(self, stream: MessageStream, snapshot: AgentSnapshot):
        self._stream = stream
        self.snapshot = snapshot

    async def confirm(self) -> list[LateDatagram]:
        """Let the running agent close its sockets and end.

        :returns: datagrams that must be handled first.
        :raises EOFError: if the running agent did not confirm that its
            sockets are closed; this process must not act then.
        :raises TimeoutError: if the confirmation takes longer than
            ``HANDOVER_TIMEOUT_S``; the same applies.
        :raises WireError: if the stream fails; the same applies.
        """
        datagrams: list[LateDatagram] = []
        async with asyncio.timeout(HANDOVER_TIMEOUT_S):
            await self._stream.send(HandoverConfirmed())
            while True:
                message = await self._stream.receive()
                if isinstance(message, HandoverReleased):
                    break
                if not isinstance(message, LateDatagrams):
                    raise EOFError(
                        'handover failed: the running agent did not confirm '
                        'that its sockets are closed'
                    )
                datagrams += message.datagrams
        self._stream.close()
        return datagrams


async def take_over(
    agent_id: AgentId, address: Address, keyring: Keyring
) -> SuccessorHandover | None:
    """Ask a running agent for its state.

    :param agent_id: this agent, the same as the running one.
    :param address: control address of both.
    :param keyring: the shared keys.
    :returns: the handover to confirm, ``None`` if no agent runs at the
        address or it serves no service yet.
    :raises EOFError: if the running agent does not send its state; it may
        continue, so this process must not start.
    :raises TimeoutError: if the state is not complete within
        ``HANDOVER_TIMEOUT_S``; the same applies.
    :raises WireError: if the stream fails; the same applies.
    """
    try:
        stream = await open_stream(*address, keyring, local_ip=address.ip)
    except (OSError, TimeoutError):
        return None
    async with asyncio.timeout(HANDOVER_TIMEOUT_S):
        snapshot = await _receive_state(stream, agent_id)
    if snapshot is None:
        stream.close()
        return None
    return SuccessorHandover(stream, snapshot)


async def _receive_state(
    stream: MessageStream, agent_id: AgentId
) -> AgentSnapshot | None:
    await stream.send(TakeOver(agent_id))
    messages: list[Any] = []
    while not isinstance(message := await stream.receive(), HandoverEnd):
        if isinstance(message, HandoverRefused):
            log(Severity.INFO, 'agent.no_handover', reason=message.reason)
            return None
        if message is None:
            raise EOFError(
                'handover failed: the running agent closed the stream before '
                'its state was complete'
            )
        messages.append(message)
    return AgentSnapshot.from_messages(messages)
