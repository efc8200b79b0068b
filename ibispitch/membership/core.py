"""Membership state of one balancer, without input or output."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import random
from typing import Any
from typing import NamedTuple

import msgspec

from ibispitch.ids import Address
from ibispitch.ids import AgentId
from ibispitch.ids import BalancerId
from ibispitch.membership.detector import FailureDetector
from ibispitch.membership.keys import AGENT_PREFIX
from ibispitch.membership.keys import balancer_key
from ibispitch.membership.keys import decode_record
from ibispitch.membership.keys import encode_record
from ibispitch.membership.keys import MemberRecord
from ibispitch.membership.leases import LeaseTable
from ibispitch.membership.messages import Ack
from ibispitch.membership.messages import Announce
from ibispitch.membership.messages import Join
from ibispitch.membership.messages import LeaseGranted
from ibispitch.membership.messages import LeaseRefused
from ibispitch.membership.messages import Leave
from ibispitch.membership.messages import Ping
from ibispitch.membership.messages import PingRequest
from ibispitch.membership.messages import Renew
from ibispitch.membership.messages import Suspicion
from ibispitch.membership.messages import SWIM_MESSAGES
from ibispitch.membership.orphans import OrphanTable
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import BalancerRecord
from ibispitch.membership.records import MemberState
from ibispitch.spread import Item
from ibispitch.spread import ItemChanged
from ibispitch.spread import ItemDropped
from ibispitch.spread import SendDatagram
from ibispitch.spread import SendStream
from ibispitch.spread import SPREAD_MESSAGES
from ibispitch.spread import SpreadCore
from ibispitch.spread.messages import SpreadItems

#: Interval of joins to lost balancers and seeds, by which the two sides of a
#: partition find each other again.
REJOIN_INTERVAL_S = 5.0
#: Interval of joins to seeds while no other balancer is known.
JOIN_INTERVAL_S = 1.0
SEEDS_PER_JOIN = 3
#: Records of other balancers in the answer to a join. They fit into one
#: datagram.
PEERS_PER_JOIN_ANSWER = 3
#: Probes and suspicions are discarded after a pause of this length, since
#: answers could not be received during the pause.
PROBE_RESET_PAUSE_S = 1.0
#: Shortest pause after which others may have declared this process LOST.
RESUME_PAUSE_S = 3.0


class BalancerChanged(NamedTuple):
    """A new record of a balancer was accepted."""

    record: BalancerRecord


class AgentChanged(NamedTuple):
    """A new record of an agent was accepted, or its parent was lost.

    :param record: the record with its effective state, see
        :class:`ibispitch.membership.orphans.OrphanTable`.
    """

    record: AgentRecord


class CatalogueChanged(NamedTuple):
    """A new version of a catalogue document was accepted.

    :param item: its version is ``(mod_revision,)``. An empty value means
        that the document was removed.
    """

    item: Item


class LeaseLapsed(NamedTuple):
    """An agent did not renew its lease at this balancer."""

    record: AgentRecord


class Resumed(NamedTuple):
    """The process runs again after a pause of ``pause_s`` seconds."""

    pause_s: float


Effect = (
    SendDatagram
    | SendStream
    | BalancerChanged
    | AgentChanged
    | CatalogueChanged
    | LeaseLapsed
    | Resumed
)


class MembershipCore:
    """Records of all members and documents of the catalogue at one balancer.

    Peers are identified by their control address.

    :param record: own record, with the incarnation of this process.
    :param seeds: control addresses of other balancers.
    :param rng: source of all random choices.
    """

    MESSAGES = SWIM_MESSAGES + SPREAD_MESSAGES

    def __init__(
        self,
        record: BalancerRecord,
        seeds: Sequence[Address],
        rng: random.Random,
    ):
        self.record = record
        self.spread = SpreadCore(record.control_address, rng)
        self.balancers: dict[BalancerId, BalancerRecord] = {}
        self.catalogue: dict[str, Item] = {}
        self.leases = LeaseTable(record.balancer_id)
        #: Whether a later process with the same identifier has published a
        #: record.
        self.is_superseded = False
        self._rng = rng
        self._seeds: set[Address] = set(seeds)
        self._id_by_address: dict[Address, BalancerId] = {}
        self._detector = FailureDetector(record.balancer_id, rng)
        self._orphans = OrphanTable()
        self._last_run_at: float | None = None
        self._join_due = 0.0
        self._are_peers_outdated = True
        self._handlers: dict[type, Callable] = {
            Ping: self._on_ping,
            Ack: self._on_ack,
            PingRequest: self._on_ping_request,
            Suspicion: self._on_suspicion,
            Join: self._on_join,
        }

    @property
    def agents(self) -> dict[AgentId, AgentRecord]:
        """Records of agents by id, with their effective states."""
        return self._orphans.effective_by_id

    @property
    def self_id(self) -> BalancerId:
        """Identifier of this balancer."""
        return self.record.balancer_id

    def present_balancers(self) -> list[BalancerRecord]:
        """Return the present balancers, this one included."""
        return [
            record
            for record in self.balancers.values()
            if record.state.is_present
        ]

    def knows(self, address: Address) -> bool:
        """Return whether an address is that of a member or a seed."""
        return address in self._id_by_address or address in self._seeds

    def add_seeds(self, addresses: Iterable[Address]) -> None:
        """Add control addresses, for example from a snapshot."""
        self._seeds |= set(addresses) - {self.record.control_address}

    def start(self, now: float) -> list[Effect]:
        """Publish the own record and send joins to seeds."""
        self._last_run_at = now
        return self._publish(self.record, now) + self._send_joins(now)

    def tick(self, now: float) -> list[Effect]:
        """Run what is due; to be called about every 0.2 s.

        :param now: monotonic time in seconds.
        :returns: effects to carry out.
        """
        effects = self._check_pause(now)
        if self._are_peers_outdated:
            self._refresh_peers()
        sends, lost = self._detector.tick(now)
        effects += sends
        for balancer_id in lost:
            effects += self._declare_lost(balancer_id, now)
        if now >= self._join_due:
            effects += self._send_joins(now)
        effects += self._apply(self.spread.tick(now), now)
        for record in self.leases.tick(now):
            effects.append(LeaseLapsed(record))
            effects += self._publish(record, now)
        for record in self._orphans.records_to_retire(now):
            effects += self._publish(record, now, rumour=False)
        return effects + self._apply_orphan_changes(now)

    def on_message(
        self, sender: Address, message: Any, now: float
    ) -> list[Effect]:
        """Handle a message from another balancer.

        :param sender: its control address.
        :param message: one of ``MESSAGES``.
        :param now: monotonic time in seconds.
        :returns: effects to carry out.
        """
        effects = self._check_pause(now)
        handler = self._handlers.get(type(message))
        if handler is not None:
            return effects + handler(sender, message, now)
        spread_effects = self.spread.on_message(sender, message, now)
        return effects + self._apply(spread_effects, now, sender)

    def set_state(self, state: MemberState, now: float) -> list[Effect]:
        """Change the state of this balancer, for example to LEAVING."""
        return self._renew_own_record(self.record.sequence, now, state)

    def set_reaches_store(
        self, reaches_store: bool, now: float
    ) -> list[Effect]:
        """Publish whether this balancer reaches the store."""
        if reaches_store == self.record.reaches_store:
            return []
        self.record = msgspec.structs.replace(
            self.record, reaches_store=reaches_store
        )
        return self._renew_own_record(self.record.sequence, now)

    def on_agent_message(
        self, message: Announce | Renew | Leave, now: float
    ) -> tuple[LeaseGranted | LeaseRefused | None, list[Effect]]:
        """Handle a lease request from an agent.

        :param message: the request.
        :param now: monotonic time in seconds.
        :returns: the answer, which is ``None`` for :class:`Leave`, and the
            effects to carry out.
        """
        effects = self._check_pause(now)
        if isinstance(message, Renew):
            return self.leases.renew(message, now).message, effects
        known = self.agents.get(message.record.agent_id)
        if isinstance(message, Announce):
            answer, record = self.leases.announce(message.record, known, now)
        else:
            answer, record = None, self.leases.leave(message.record, known)
        if record is not None:
            effects += self._publish(record, now)
        return answer, effects

    def publish_document(
        self, key: str, mod_revision: int, value: bytes, now: float
    ) -> list[Effect]:
        """Publish a document of the catalogue.

        :param key: key in the store without the cluster prefix.
        :param mod_revision: store revision of the last change of the key.
        :param value: the document, empty if it was removed.
        :param now: monotonic time in seconds.
        """
        effects = self.spread.publish(key, (mod_revision,), value)
        return self._apply(effects, now)

    def _publish(
        self, record: MemberRecord, now: float, rumour: bool = True
    ) -> list[Effect]:
        item = encode_record(record)
        effects = self.spread.publish(
            item.key,
            item.version,
            item.value,
            retired=item.retired,
            rumour=rumour,
        )
        return self._apply(effects, now)

    def _check_pause(self, now: float) -> list[Effect]:
        pause = 0.0 if self._last_run_at is None else now - self._last_run_at
        self._last_run_at = now
        if pause < PROBE_RESET_PAUSE_S:
            return []
        self._detector.reset()
        if pause < RESUME_PAUSE_S:
            return []
        effects: list[Effect] = [Resumed(pause)]
        if self.record.state.is_present:
            effects += self._renew_own_record(self.record.sequence, now)
        peers = self._peer_addresses()
        for peer in self._rng.sample(peers, min(3, len(peers))):
            effects += self.spread.start_exchange(peer)
        return effects

    def _renew_own_record(
        self, sequence: int, now: float, state: MemberState | None = None
    ) -> list[Effect]:
        """Publish the own record with the sequence after ``sequence``."""
        self.record = msgspec.structs.replace(
            self.record,
            sequence=sequence + 1,
            state=state or self.record.state,
        )
        return self._publish(self.record, now)

    def _declare_lost(
        self, balancer_id: BalancerId, now: float
    ) -> list[Effect]:
        record = msgspec.structs.replace(
            self.balancers[balancer_id], state=MemberState.LOST
        )
        return self._publish(record, now)

    def _refresh_peers(self) -> None:
        """Update the peers of the detector and of spread.

        Runs once per tick, however many balancers have changed.
        """
        self._are_peers_outdated = False
        self._detector.set_peers(
            record
            for record in self.present_balancers()
            if record.balancer_id != self.self_id
        )
        self.spread.set_peers(self._peer_addresses())

    def _peer_addresses(self) -> list[Address]:
        return [
            record.control_address
            for record in self.present_balancers()
            if record.balancer_id != self.self_id
        ]

    def _send_joins(self, now: float) -> list[Effect]:
        peers = set(self._peer_addresses())
        absent = {
            record.control_address
            for record in self.balancers.values()
            if not record.state.is_present
        }
        addresses = sorted(
            (absent | self._seeds) - peers - {self.record.control_address}
        )
        count = 1 if peers else SEEDS_PER_JOIN
        self._join_due = now + (
            REJOIN_INTERVAL_S if peers else JOIN_INTERVAL_S
        )
        return [
            SendDatagram(address, Join(self.record))
            for address in self._rng.sample(
                addresses, min(count, len(addresses))
            )
        ]

    def _apply(
        self, effects: Sequence, now: float, sender: Address | None = None
    ) -> list[Effect]:
        """Turn effects of spread into effects of membership."""
        result: list[Effect] = []
        has_agents = False
        for effect in effects:
            if isinstance(effect, ItemChanged):
                result += self._on_item_changed(effect.item, now, sender)
                has_agents |= effect.item.key.startswith(AGENT_PREFIX)
            elif isinstance(effect, ItemDropped):
                self._remove_member(effect.item)
            else:
                result.append(effect)
        # Runs once for all items. Agents whose parents are unknown stay
        # pending, so a check after each record of a bulk transfer would take
        # quadratic time.
        return (
            result + self._apply_orphan_changes(now) if has_agents else result
        )

    def _on_item_changed(
        self, item: Item, now: float, sender: Address | None
    ) -> list[Effect]:
        record = decode_record(item)
        if isinstance(record, BalancerRecord):
            return self._on_balancer(record, now, sender)
        if isinstance(record, AgentRecord):
            self._orphans.on_record(record, now)
            return []
        if item.key.startswith((AGENT_PREFIX, balancer_key(''))):
            return []
        self.catalogue[item.key] = item
        return [CatalogueChanged(item)]

    def _remove_member(self, item: Item) -> None:
        record = decode_record(item)
        if isinstance(record, AgentRecord):
            self._orphans.forget(record.agent_id)
        elif isinstance(record, BalancerRecord):
            self.balancers.pop(record.balancer_id, None)
            self._id_by_address.pop(record.control_address, None)

    def _apply_orphan_changes(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for record in self._orphans.changed_records(now):
            renewed = self.leases.on_record(record, now)
            if renewed is None:
                effects.append(AgentChanged(record))
            else:
                # The lease proves that the agent is alive, so the loss that
                # another balancer published is replaced, not reported.
                effects += self._publish(renewed, now)
        return effects

    def _on_balancer(
        self, record: BalancerRecord, now: float, sender: Address | None
    ) -> list[Effect]:
        balancer_id = record.balancer_id
        previous = self.balancers.get(balancer_id)
        if previous is not None:
            self._id_by_address.pop(previous.control_address, None)
        self.balancers[balancer_id] = record
        self._id_by_address[record.control_address] = balancer_id
        self._detector.end_suspicion(balancer_id)
        self._are_peers_outdated = True
        self._orphans.on_balancer(record, now)
        if balancer_id == self.self_id and record != self.record:
            return self._refute(record, now, sender)
        return [BalancerChanged(record)]

    def _refute(
        self, record: BalancerRecord, now: float, sender: Address | None
    ) -> list[Effect]:
        """Replace a record of this balancer that another one published."""
        if record.incarnation > self.record.incarnation:
            self.is_superseded = True
            return []
        effects = self._renew_own_record(record.sequence, now)
        if sender is not None:
            item = encode_record(self.record)
            effects.append(SendDatagram(sender, SpreadItems([item])))
        return effects

    def _on_ping(self, sender: Address, message: Ping, now: float) -> list:
        effects: list[Effect] = [SendDatagram(sender, Ack(message.nonce))]
        record = self.balancers.get(self._id_by_address.get(sender))
        if record is not None and not record.state.is_present:
            effects += self._send_records(sender, [record])
        return effects

    def _on_ack(self, sender: Address, message: Ack, now: float) -> list:
        return self._detector.on_ack(message.nonce)

    def _on_ping_request(
        self, sender: Address, message: PingRequest, now: float
    ) -> list[Effect]:
        return list(self._detector.on_ping_request(sender, message, now))

    def _on_suspicion(
        self, sender: Address, message: Suspicion, now: float
    ) -> list[Effect]:
        suspicion = (message.incarnation, message.sequence)
        if message.balancer_id == self.self_id:
            own = (self.record.incarnation, self.record.sequence)
            if suspicion < own:
                return self._send_records(sender, [self.record])
            effects = self._renew_own_record(message.sequence, now)
            return effects + self._send_records(sender, [self.record])
        record = self.balancers.get(message.balancer_id)
        if record is None or message.relayed:
            return []
        if suspicion < (record.incarnation, record.sequence):
            return self._send_records(sender, [record])
        relayed = msgspec.structs.replace(message, relayed=True)
        return [SendDatagram(record.control_address, relayed)]

    def _on_join(
        self, sender: Address, message: Join, now: float
    ) -> list[Effect]:
        joiner = message.record
        before = self.balancers.get(joiner.balancer_id)
        effects = self._publish(joiner, now)
        others = [
            record
            for record in self.present_balancers()
            if record.balancer_id not in (self.self_id, joiner.balancer_id)
        ]
        records = [
            self.record,
            *self._rng.sample(others, min(PEERS_PER_JOIN_ANSWER, len(others))),
        ]
        if before is None or before.state.is_present:
            # The joining balancer requests all items from one of these, so
            # that seeds need not send them to every process when a whole
            # fleet starts.
            return effects + self._send_records(sender, records)
        if before.version > joiner.version:
            records = [self.record, before]
        return (
            effects
            + self._send_records(sender, records)
            + self.spread.start_exchange(sender)
        )

    @staticmethod
    def _send_records(
        to: Address, records: Iterable[MemberRecord]
    ) -> list[Effect]:
        items = [encode_record(record) for record in records]
        return [SendDatagram(to, SpreadItems(items))]
