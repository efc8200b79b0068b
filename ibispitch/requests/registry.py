"""Registry of gates, by the protocol of the catalogue entry."""

from collections.abc import Sequence
import random
from typing import Protocol
from typing import TypeVar

import msgspec

from ibispitch.admission.types import Admission
from ibispitch.admission.types import Retries
from ibispitch.ids import FlowId
from ibispitch.requests.effects import Effect

T = TypeVar('T', bound=type)


class GateSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a gate.

    :param incarnation: incarnation of the agent, as in its record.
    :param echo_key: random bytes of this process, 16 to 32.
    :param deadline_default_s: deadline of requests without one.
    :param deadline_max_s: upper bound of the deadlines of requests.
    :param idle_timeout_s: time without packets after which a flow is closed.
    :param max_flows: maximum number of flows with a socket towards the
        upstream.
    :param max_runs: maximum number of requests that wait or run.
    """

    incarnation: int
    echo_key: bytes
    deadline_default_s: float = 30.0
    deadline_max_s: float = 60.0
    idle_timeout_s: float = 600.0
    max_flows: int = 500_000
    max_runs: int = 50_000


class Gate(Protocol):
    """Methods that every gate provides to the agent."""

    @staticmethod
    def opens_flow(datagram: bytes) -> bool:
        """Return whether a datagram can be the first one of a flow."""

    def on_caller_datagram(
        self, flow: FlowId, datagram: bytes, now: float
    ) -> Sequence[Effect]:
        """Handle a datagram of a caller."""

    def on_upstream_datagram(
        self, flow: FlowId, datagram: bytes, now: float
    ) -> Sequence[Effect]:
        """Handle a datagram that the upstream sent to the socket of a flow."""

    def on_upstream_refused(
        self, flow: FlowId, datagram: bytes, now: float
    ) -> Sequence[Effect]:
        """Handle a datagram that no socket of the upstream has accepted."""

    def close_flow(self, flow: FlowId, now: float) -> Sequence[Effect]:
        """End a flow that another agent owns from now on."""

    def export_flow(
        self, flow: FlowId, now: float
    ) -> tuple[bytes | None, Sequence[Effect]]:
        """Export a flow, or return ``None`` while its requests wait or run."""

    def adopt_flow(self, data: bytes, now: float) -> Sequence[Effect]:
        """Adopt a flow that another agent has exported."""

    def set_settings(self, settings: GateSettings) -> None:
        """Replace the settings, for example the deadlines and timeouts."""

    def tick(self, now: float) -> Sequence[Effect]:
        """Handle timers that are due; call it at least every 50 ms."""

    def export(self, now: float) -> bytes:
        """Return the state for a successor process on the same host."""

    def restore(self, data: bytes, now: float) -> Sequence[Effect]:
        """Continue from the state of a predecessor; call it on a new gate."""


gate_type_by_protocol: dict[str, type] = {}


def register_gate(protocol: str):
    """Register a gate type for a protocol.

    :param protocol: value of ``protocol`` in catalogue entries.
    :returns: a class decorator.
    :raises ValueError: if the protocol has a gate already.
    """

    def register(gate_type: T) -> T:
        if protocol in gate_type_by_protocol:
            raise ValueError(f'protocol {protocol!r} already has a gate')
        gate_type_by_protocol[protocol] = gate_type
        return gate_type

    return register


def make_gate(
    protocol: str,
    settings: GateSettings,
    admission: Admission,
    retries: Retries,
    rng: random.Random,
) -> Gate:
    """Return a new gate.

    :param protocol: protocol of the catalogue entry.
    :raises KeyError: if the protocol has no gate; the message lists those
        that have one.
    """
    if protocol not in gate_type_by_protocol:
        protocols = ', '.join(sorted(gate_type_by_protocol))
        raise KeyError(f'no gate for protocol {protocol!r}; use {protocols}')
    return gate_type_by_protocol[protocol](settings, admission, retries, rng)
