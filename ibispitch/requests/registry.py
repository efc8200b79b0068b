"""Registry of gates by the protocol of the catalogue entry."""

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

    :param incarnation: incarnation of the agent as in its record.
    :param echo_key: random bytes of this process, 16 to 32.
    :param deadline_default_s: deadline of requests that carry none.
    :param deadline_max_s: longest deadline that a request may carry.
    :param idle_timeout_s: time without packets after which a flow ends.
    :param max_flows: most flows with a socket towards the upstream.
    :param max_runs: most requests that wait or run.
    """

    incarnation: int
    echo_key: bytes
    deadline_default_s: float = 30.0
    deadline_max_s: float = 60.0
    idle_timeout_s: float = 600.0
    max_flows: int = 500_000
    max_runs: int = 50_000


class Gate(Protocol):
    """What the agent asks of every gate."""

    @staticmethod
    def opens_flow(datagram: bytes) -> bool:
        """Tell whether a datagram can be the first one of a flow."""

    def on_caller_datagram(
        self, flow: FlowId, datagram: bytes, now: float
    ) -> Sequence[Effect]:
        """Handle a datagram of a caller."""

    def on_upstream_datagram(
        self, flow: FlowId, datagram: bytes, now: float
    ) -> Sequence[Effect]:
        """Handle a datagram that the upstream sent to a flow's socket."""

    def on_upstream_refused(
        self, flow: FlowId, datagram: bytes, now: float
    ) -> Sequence[Effect]:
        """Handle that no socket of the upstream took this datagram."""

    def close_flow(self, flow: FlowId, now: float) -> Sequence[Effect]:
        """End a flow whose owner is now another agent."""

    def export_flow(
        self, flow: FlowId, now: float
    ) -> tuple[bytes | None, Sequence[Effect]]:
        """Give a flow up; ``None`` while requests of it run."""

    def adopt_flow(self, data: bytes, now: float) -> Sequence[Effect]:
        """Take over a flow that another agent exported."""

    def set_settings(self, settings: GateSettings) -> None:
        """Use other deadlines and timeouts from now on."""

    def tick(self, now: float) -> Sequence[Effect]:
        """Do what is due; call it at least every 50 ms."""

    def export(self, now: float) -> bytes:
        """Return the whole state for a successor process on this host."""

    def restore(self, data: bytes, now: float) -> Sequence[Effect]:
        """Take over the state of the predecessor."""


gate_type_by_protocol: dict[str, type] = {}


def gate(protocol: str):
    """Register a gate type under the protocol of a catalogue entry.

    :param protocol: value of ``protocol`` in the entry, unique.
    :returns: a class decorator.
    :raises ValueError: if the protocol is taken.
    """

    def register(gate_type: T) -> T:
        if protocol in gate_type_by_protocol:
            raise ValueError(f'protocol {protocol!r} is taken')
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
    :raises KeyError: if no gate has that protocol; the message lists them.
    """
    if protocol not in gate_type_by_protocol:
        known = ', '.join(sorted(gate_type_by_protocol))
        raise KeyError(f'no gate for protocol {protocol!r}; use {known}')
    return gate_type_by_protocol[protocol](settings, admission, retries, rng)
