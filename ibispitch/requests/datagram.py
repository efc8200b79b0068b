"""Gate for opaque datagrams, without request semantics."""

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
from ibispitch.requests.registry import gate
from ibispitch.requests.registry import GateSettings


@gate('datagram')
class DatagramGate:
    """Passes datagrams of open flows on as they are."""

    def __init__(
        self,
        settings: GateSettings,
        admission: Admission,
        retries: Retries,
        rng: random.Random,
    ):
        self._settings = settings
        self._last_seen: dict[bytes, float] = {}

    def set_settings(self, settings: GateSettings) -> None:
        """Use other deadlines and timeouts from now on."""
        self._settings = settings

    @staticmethod
    def opens_flow(datagram: bytes) -> bool:
        """Tell whether a datagram can be the first one of a flow."""
        return True

    def on_caller_datagram(
        self, flow: FlowId, datagram: bytes, now: float
    ) -> Sequence[Effect]:
        """Pass a datagram on; the first one of a flow opens its socket."""
        opened: list[Effect] = []
        if flow not in self._last_seen:
            if len(self._last_seen) >= self._settings.max_flows:
                return [Count('gate_flows_refused')]
            opened.append(OpenSocket(flow))
        self._touch(flow, now)
        return [*opened, SendToUpstream(flow, datagram)]

    def on_upstream_datagram(
        self, flow: FlowId, datagram: bytes, now: float
    ) -> Sequence[Effect]:
        """Pass an answer on to the caller of the flow."""
        if flow not in self._last_seen:
            return [Count('gate_answers_dropped', (('reason', 'late'),))]
        self._touch(flow, now)
        return [SendToCaller(flow, datagram)]

    def on_upstream_refused(
        self, flow: FlowId, datagram: bytes, now: float
    ) -> Sequence[Effect]:
        """Count it; nothing is known about opaque requests."""
        return [Count('gate_upstream_refused')]

    def close_flow(self, flow: FlowId, now: float) -> Sequence[Effect]:
        """Forget a flow."""
        if self._last_seen.pop(flow, None) is None:
            return []
        return [CloseSocket(flow)]

    def export_flow(
        self, flow: FlowId, now: float
    ) -> tuple[bytes | None, Sequence[Effect]]:
        """Return the flow, which has no state but its name."""
        return bytes(flow), self.close_flow(flow, now)

    def adopt_flow(self, data: bytes, now: float) -> Sequence[Effect]:
        """Open a flow that another agent exported."""
        flow = FlowId(data)
        opened = [] if flow in self._last_seen else [OpenSocket(flow)]
        self._touch(flow, now)
        return opened

    def tick(self, now: float) -> Sequence[Effect]:
        """Close idle flows; the flow seen longest ago comes first."""
        closed: list[Effect] = []
        while self._last_seen:
            flow, seen = next(iter(self._last_seen.items()))
            if seen + self._settings.idle_timeout_s > now:
                break
            closed += self.close_flow(FlowId(flow), now)
        return closed

    def export(self, now: float) -> bytes:
        """Return the open flows for a successor process."""
        return msgspec.msgpack.encode(self._last_seen)

    def restore(self, data: bytes, now: float) -> Sequence[Effect]:
        """Take over the flows of the predecessor."""
        self._last_seen = msgspec.msgpack.decode(data, type=dict[bytes, float])
        return [OpenSocket(FlowId(flow)) for flow in self._last_seen]

    def _touch(self, flow: FlowId, now: float) -> None:
        self._last_seen.pop(flow, None)
        self._last_seen[flow] = now
