"""Gate for protocols whose datagrams are opaque to the agent."""

from collections.abc import Sequence
import random

import msgspec

from ibispitch.admission.types import Admission
from ibispitch.admission.types import Retries
from ibispitch.ids import FlowId
from ibispitch.requests.effects import CloseSocket
from ibispitch.requests.effects import Count
from ibispitch.requests.effects import Effect
from ibispitch.requests.effects import OpenSocket
from ibispitch.requests.effects import SendToCaller
from ibispitch.requests.effects import SendToUpstream
from ibispitch.requests.registry import GateSettings
from ibispitch.requests.registry import register_gate


@register_gate('datagram')
class DatagramGate:
    """Forwards the datagrams of open flows unchanged."""

    def __init__(
        self,
        settings: GateSettings,
        admission: Admission,
        retries: Retries,
        rng: random.Random,
    ):
        self._settings = settings
        self._last_used_by_flow: dict[bytes, float] = {}

    def set_settings(self, settings: GateSettings) -> None:
        """Replace the settings, for example the deadlines and timeouts."""
        self._settings = settings

    @staticmethod
    def opens_flow(datagram: bytes) -> bool:
        """Return whether a datagram can be the first one of a flow."""
        return True

    def on_caller_datagram(
        self, flow: FlowId, datagram: bytes, now: float
    ) -> Sequence[Effect]:
        """Forward a datagram; the first one of a flow opens its socket."""
        opened: list[Effect] = []
        if flow not in self._last_used_by_flow:
            if len(self._last_used_by_flow) >= self._settings.max_flows:
                return [Count('gate_flows_refused')]
            opened.append(OpenSocket(flow))
        self._record_use(flow, now)
        return [*opened, SendToUpstream(flow, datagram)]

    def on_upstream_datagram(
        self, flow: FlowId, datagram: bytes, now: float
    ) -> Sequence[Effect]:
        """Forward a datagram of the upstream to the caller of the flow."""
        if flow not in self._last_used_by_flow:
            return [Count('gate_answers_dropped', (('reason', 'late'),))]
        self._record_use(flow, now)
        return [SendToCaller(flow, datagram)]

    def on_upstream_refused(
        self, flow: FlowId, datagram: bytes, now: float
    ) -> Sequence[Effect]:
        """Count the refused datagram; the requests in it are not known."""
        return [Count('gate_upstream_refused')]

    def close_flow(self, flow: FlowId, now: float) -> Sequence[Effect]:
        """Close the socket of a flow."""
        if self._last_used_by_flow.pop(flow, None) is None:
            return []
        return [CloseSocket(flow)]

    def export_flow(
        self, flow: FlowId, now: float
    ) -> tuple[bytes | None, Sequence[Effect]]:
        """Return the id of a flow, which has no other state, and close it."""
        return bytes(flow), self.close_flow(flow, now)

    def adopt_flow(self, data: bytes, now: float) -> Sequence[Effect]:
        """Adopt a flow that another agent has exported."""
        flow = FlowId(data)
        opened = [] if flow in self._last_used_by_flow else [OpenSocket(flow)]
        self._record_use(flow, now)
        return opened

    def tick(self, now: float) -> Sequence[Effect]:
        """Close idle flows; the least recently used one comes first."""
        closed: list[Effect] = []
        while self._last_used_by_flow:
            flow, seen = next(iter(self._last_used_by_flow.items()))
            if seen + self._settings.idle_timeout_s > now:
                break
            closed += self.close_flow(FlowId(flow), now)
        return closed

    def export(self, now: float) -> bytes:
        """Return the open flows for a successor process on the same host."""
        return msgspec.msgpack.encode(self._last_used_by_flow)

    def restore(self, data: bytes, now: float) -> Sequence[Effect]:
        """Continue with the flows of the predecessor."""
        self._last_used_by_flow = msgspec.msgpack.decode(
            data, type=dict[bytes, float]
        )
        return [OpenSocket(FlowId(flow)) for flow in self._last_used_by_flow]

    def _record_use(self, flow: FlowId, now: float) -> None:
        self._last_used_by_flow.pop(flow, None)
        self._last_used_by_flow[flow] = now
