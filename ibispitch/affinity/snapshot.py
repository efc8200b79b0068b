"""Handover of flows, promises and the directory to a successor process.

The messages are sent over an authenticated stream; each is well below its
limit of 1 MB.
"""

from collections import defaultdict
from collections.abc import Iterator
from typing import Any

import msgspec

from ibispitch.affinity.flows import OwnedFlows
from ibispitch.affinity.flows import Releases
from ibispitch.affinity.messages import batches
from ibispitch.affinity.messages import pack_flows
from ibispitch.affinity.messages import pack_slots
from ibispitch.affinity.messages import PeerInfo
from ibispitch.affinity.messages import unpack_flows
from ibispitch.affinity.messages import unpack_slots
from ibispitch.affinity.slots import SlotState
from ibispitch.affinity.transfer import SlotTransfer
from ibispitch.ids import AgentId
from ibispitch.ids import FlowId
from ibispitch.ids import ServiceNumber
from ibispitch.routing import slot_of
from ibispitch.wire import control_message

#: Flows in one message; with versions and times they take about 100 kB.
CHUNK_FLOWS = 4096


@control_message('affinity.state.flows')
class FlowState(msgspec.Struct, array_like=True, frozen=True):
    """Owned flows.

    :param versions: version of the view at the adoption of each flow.
    :param idle_s: time since the last activity of each flow, in seconds.
    """

    flows: bytes
    versions: list[int]
    idle_s: list[float]


@control_message('affinity.state.refused')
class RefusedState(msgspec.Struct, array_like=True, frozen=True):
    """Flows that ended or were refused recently."""

    flows: bytes


@control_message('affinity.state.releases')
class ReleaseState(msgspec.Struct, array_like=True, frozen=True):
    """Ended flows whose end an agent has not confirmed."""

    to: AgentId
    flows: bytes


@control_message('affinity.state.directory')
class DirectoryState(msgspec.Struct, array_like=True, frozen=True):
    """Flows of another owner in slots of this agent."""

    owner: AgentId
    flows: bytes


@control_message('affinity.state.peers')
class PeerState(msgspec.Struct, array_like=True, frozen=True):
    """Known peers, and whether the view lists each of them."""

    peers: list[tuple[PeerInfo, bool]]


@control_message('affinity.state.slots')
class SlotsState(msgspec.Struct, array_like=True, frozen=True):
    """Promises and slots of this agent.

    :param unsettled: slots of this agent that the successor must pull again.
    """

    clock: int
    terms: list[int]
    holders: list[AgentId | None]
    authoritative: bytes
    unsettled: bytes


def export_state(
    flows: OwnedFlows,
    releases: Releases,
    transfer: SlotTransfer,
    now: float,
) -> Iterator[Any]:
    """Return the state as messages for :func:`restore_state`."""
    yield PeerState(
        [
            (peer.info, peer.is_in_view)
            for peer in transfer.peers.by_id.values()
        ]
    )
    yield _export_slots(transfer)
    for batch in batches(list(flows.last_activity_by_flow), CHUNK_FLOWS):
        yield FlowState(
            pack_flows(batch),
            [flows.view_version_by_flow[flow] for flow in batch],
            [now - flows.last_activity_by_flow[flow] for flow in batch],
        )
    for batch in batches(flows.refused_flows(now), CHUNK_FLOWS):
        yield RefusedState(pack_flows(batch))
    for to, flow_list in releases.unconfirmed():
        for batch in batches(flow_list, CHUNK_FLOWS):
            yield ReleaseState(to, pack_flows(batch))
    by_owner: dict[AgentId, list[FlowId]] = defaultdict(list)
    for _, flow, owner in transfer.directory:
        by_owner[owner].append(flow)
    for owner, flow_list in by_owner.items():
        for batch in batches(flow_list, CHUNK_FLOWS):
            yield DirectoryState(owner, pack_flows(batch))


def _export_slots(transfer: SlotTransfer) -> SlotsState:
    slots = transfer.slots
    # Conflicts are not handed over; the successor finds them by a new pull.
    unsettled = {
        conflict.slot for conflict in transfer.conflicts.by_flow.values()
    }
    authoritative = []
    for slot in slots.claimed_slots():
        if slots.state[slot] is SlotState.PENDING:
            unsettled.add(slot)
        if slot not in unsettled:
            authoritative.append(slot)
    return SlotsState(
        slots.clock,
        slots.term,
        slots.holder,
        pack_slots(authoritative),
        pack_slots(unsettled),
    )


def restore_state(
    messages: list[Any],
    number: ServiceNumber,
    flows: OwnedFlows,
    releases: Releases,
    transfer: SlotTransfer,
    now: float,
) -> list[int]:
    """Restore the state of a predecessor.

    :param messages: those of :func:`export_state`; others are ignored.
    :param number: number of the service.
    :returns: slots that must be pulled again.
    """
    unsettled: list[int] = []
    for message in messages:
        match message:
            case PeerState():
                transfer.peers.restore(message.peers, now)
            case SlotsState():
                unsettled = _restore_slots(message, transfer)
            case FlowState():
                for flow, version, idle_s in zip(
                    unpack_flows(message.flows),
                    message.versions,
                    message.idle_s,
                    strict=True,
                ):
                    slot = slot_of(number, flow)
                    flows.add(flow, slot, version, now - idle_s)
            case RefusedState():
                for flow in unpack_flows(message.flows):
                    flows.refuse(flow, now)
            case ReleaseState():
                for flow in unpack_flows(message.flows):
                    releases.add(message.to, flow)
            case DirectoryState():
                for flow in unpack_flows(message.flows):
                    slot = slot_of(number, flow)
                    transfer.directory.set(slot, flow, message.owner)
    return unsettled


def _restore_slots(message: SlotsState, transfer: SlotTransfer) -> list[int]:
    slots = transfer.slots
    slots.clock = message.clock
    slots.term[:] = message.terms
    slots.holder[:] = message.holders
    for slot in unpack_slots(message.authoritative):
        slots.state[slot] = SlotState.AUTHORITATIVE
    return unpack_slots(message.unsettled)
