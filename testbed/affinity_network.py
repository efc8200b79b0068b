"""Simulated agents and balancers on an unreliable in-memory network.

Only the deterministic cores run. Each host receives views and records
independently, late and with some versions skipped, as it would from a
parent or through gossip.
"""

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from heapq import heappop
from heapq import heappush
from itertools import count
import random
from typing import Any
from typing import NamedTuple

import msgspec

from ibispitch.affinity import AffinityCore
from ibispitch.affinity import CloseFlow
from ibispitch.affinity import Deliver
from ibispitch.affinity import Drop
from ibispitch.affinity import Packet
from ibispitch.affinity import PeerInfo
from ibispitch.affinity import Relay
from ibispitch.affinity import SendMessage
from ibispitch.catalogue.documents import Entry
from ibispitch.ids import Address
from ibispitch.ids import AgentId
from ibispitch.ids import BalancerId
from ibispitch.ids import DatacentreName
from ibispitch.ids import FlowId
from ibispitch.ids import service_number
from ibispitch.ids import ServiceName
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import MemberState
from ibispitch.membership.records import ServiceView
from ibispitch.routing import RoutingCore
from ibispitch.wire import decode_message
from ibispitch.wire import encode_message
from ibispitch.wire.frames import FRAME_OVERHEAD_BYTES

SERVICE = ServiceName('returns')
NUMBER = service_number(SERVICE)
NO_BALANCER = bytes(6)
MAX_DATAGRAM_BYTES = 1200

TICK_S = 0.1
LEASE_S = 3.0

#: Time in which agents that adopted the same flow agree on one owner.
CLAIM_SETTLEMENT_S = 8.0

#: Greatest number of messages lost in a row between two agents that can
#: reach each other.
MAX_CONSECUTIVE_LOSSES = 2


class Conditions(NamedTuple):
    """Faults and delays of datagrams and views.

    :param loss: probability that a datagram between agents is lost.
    :param duplication: probability that a datagram arrives twice.
    :param delay_s: mean delay of a datagram without a long delay.
    :param long_delay: probability that a datagram takes up to
        ``max_long_delay_s``, so that later datagrams overtake it.
    :param max_long_delay_s: see ``long_delay``.
    :param view_delay_s: greatest delay of views and records.
    :param view_skip: probability that a view is skipped because a newer
        one follows.
    :param view_stale: probability that an agent receives a state up to
        ``view_delay_s`` old, as from a new parent.
    """

    loss: float = 0.0
    duplication: float = 0.0
    delay_s: float = 0.001
    long_delay: float = 0.0
    max_long_delay_s: float = 0.0
    view_delay_s: float = 1.0
    view_skip: float = 0.0
    view_stale: float = 0.0


NO_FAULTS = Conditions(view_delay_s=0.05)
MANY_FAULTS = Conditions(0.1, 0.1, 0.003, 0.1, 0.6, 2.0, 0.2, 0.2)


class RandomPlacement:
    """Places new flows at random, so that many are not owned by their home."""

    def __init__(self, rng: random.Random, local_share: float = 0.5):
        self._rng = rng
        self._local_share = local_share

    def choose_owner(
        self, self_id: AgentId, candidates: Sequence[AgentId], now: float
    ) -> AgentId | None:
        """Return this agent for ``local_share`` of flows, else any one."""
        if self_id in candidates and self._rng.random() < self._local_share:
            return self_id
        return self._rng.choice(candidates)


class SimulatedAgent:
    """The core of an agent and the state of its simulated process."""

    def __init__(self, core: AffinityCore, record: AgentRecord):
        self.core = core
        self.record = record
        self.is_alive = True
        self.is_paused = False
        self.paused_at = 0.0
        self.is_drained = False
        self.inbox: list[Callable[[], None]] = []
        self.newest_view = 0
        self.control_bytes = 0


class Violation(NamedTuple):
    """A violated invariant."""

    time: float
    kind: str
    flow: str
    detail: str


class AffinityNetwork:
    """Agents of one service and balancers, with their actual state.

    :param seed: seed of all random choices.
    :param conditions: see :class:`Conditions`.
    :param balancers: number of balancers.
    :param make_placement: returns the placement policy of an agent.
    :param make_core: returns the core of an agent, or a baseline core.
    """

    def __init__(
        self,
        seed: int,
        conditions: Conditions = NO_FAULTS,
        balancers: int = 3,
        make_placement: Callable | None = None,
        make_core: Callable = AffinityCore,
    ):
        self.rng = random.Random(seed)
        self.conditions = conditions
        self.now = 1000.0
        self.agents: dict[AgentId, SimulatedAgent] = {}
        self.balancers = [self._new_balancer() for _ in range(balancers)]
        self.records: dict[AgentId, AgentRecord] = {}
        self.datacentres_out: set[DatacentreName] = set()
        #: Owner of each established flow: the agent that received its latest
        #: packet.
        self.owner_by_flow: dict[FlowId, AgentId] = {}
        #: Flows that may have two owners because of an unplanned change.
        self.disputed_flows: set[FlowId] = set()
        self.violations: list[Violation] = []
        self.deliveries_by_flow: Counter[FlowId] = Counter()
        self.last_receiver_by_flow: dict[FlowId, AgentId] = {}
        self.drops: Counter = Counter()
        self.largest_message_bytes = 0
        self.cut_pairs: set[frozenset] = set()
        #: Indices of balancers that receive no views.
        self.stale_balancers: set[int] = set()
        self._make_placement = make_placement or (
            lambda agent: RandomPlacement(self.rng)
        )
        self._make_core = make_core
        self._agent_by_address: dict[Address, AgentId] = {}
        self._versions = count(1)
        self._incarnations = count(1)
        self._events: list[tuple] = []
        self._sequence = count()
        self._losses_in_a_row: Counter[frozenset] = Counter()
        self._next_tick = self.now
        self._views: list[tuple[float, ServiceView]] = []
        self._claims_settled_at = 0.0
        self._return_known_at: dict[DatacentreName, float] = {}

    def _new_balancer(self) -> RoutingCore:
        core = RoutingCore()
        core.set_entry(SERVICE, True)
        return core

    def _schedule(self, time: float, action: Callable, *args) -> None:
        heappush(self._events, (time, next(self._sequence), action, args))

    # Changes of the actual state.

    def join(self, agent: str, datacentre: str = 'east') -> AgentId:
        """Start an agent."""
        agent_id = AgentId(agent)
        number = next(self._incarnations)
        address = Address('127.0.0.1', 1000 + number)
        record = AgentRecord(
            agent_id=agent_id,
            service=SERVICE,
            datacentre=DatacentreName(datacentre),
            address=address,
            incarnation=number,
            sequence=1,
            state=MemberState.ACTIVE,
            slots=5,
            connections=2000,
            parent=BalancerId('b1'),
        )
        own = PeerInfo(agent_id, address, record.datacentre, number)
        core = self._make_core(own, NUMBER, self._make_placement(agent_id))
        self.agents[agent_id] = SimulatedAgent(core, record)
        self._agent_by_address[address] = agent_id
        self.records[agent_id] = record
        self.publish()
        return agent_id

    def _set_state(self, agent: AgentId, state: MemberState) -> None:
        record = self.records[agent]
        self.records[agent] = msgspec.structs.replace(
            record, state=state, sequence=record.sequence + 1
        )
        self.publish()

    def drain(self, agent: AgentId) -> None:
        """Drain an agent, which is informed at once."""
        self.agents[agent].core.set_draining()
        self.agents[agent].is_drained = True
        self._set_state(agent, MemberState.DRAINING)

    def leave(self, agent: AgentId) -> None:
        """Close the flows of a drained agent and stop it."""
        core = self.agents[agent].core
        for flow in core.flows():
            self.close_flow(flow, agent)
        self.agents[agent].is_alive = False
        self._remove_record(agent)

    def replace(self, agent: AgentId) -> None:
        """Replace a process by its successor, which takes over its state.

        A baseline core is kept unchanged, which is the best result that a
        hand-over of its state could have.
        """
        former = self.agents[agent]
        record = msgspec.structs.replace(
            former.record,
            incarnation=next(self._incarnations),
            state=self.records[agent].state,
        )
        former.record = record
        self.records[agent] = record
        if isinstance(former.core, AffinityCore):
            self._hand_over(agent, former)
        self.publish()

    def _hand_over(self, agent: AgentId, member: SimulatedAgent) -> None:
        record, former = member.record, member.core
        messages = [
            decode_message(encode_message(message))
            for message in former.export(self.now)
        ]
        own = PeerInfo(
            agent, record.address, record.datacentre, record.incarnation
        )
        member.core = AffinityCore(own, NUMBER, self._make_placement(agent))
        self._apply(agent, member.core.restore(messages, self.now))
        for packet in former.take_held_packets():
            self._deliver(agent, packet)

    def crash(self, agent: AgentId) -> None:
        """Kill an agent; its lease lapses after ``LEASE_S``."""
        self.agents[agent].is_alive = False
        for flow, owner in list(self.owner_by_flow.items()):
            if owner == agent:
                del self.owner_by_flow[flow]
        record = self.records.get(agent)
        self._schedule(self.now + LEASE_S, self._lapse_lease, agent, record)

    def _lapse_lease(self, agent: AgentId, record: AgentRecord) -> None:
        current = self.records.get(agent)
        if (
            current is not None
            and record is not None
            and current.incarnation == record.incarnation
        ):
            self._remove_record(agent)

    def _remove_record(self, agent: AgentId) -> None:
        self.records.pop(agent, None)
        self.publish()

    def pause(self, agent: AgentId) -> None:
        """Suspend an agent; its lease lapses after ``LEASE_S``."""
        paused = self.agents[agent]
        paused.is_paused = True
        paused.paused_at = self.now
        self._schedule(
            self.now + LEASE_S, self._lapse_lease_of_paused, agent, self.now
        )

    def _lapse_lease_of_paused(self, agent: AgentId, since: float) -> None:
        paused = self.agents[agent]
        if paused.is_paused and paused.paused_at == since:
            self.disputed_flows.update(paused.core.flows())
            self._remove_record(agent)

    def resume(self, agent: AgentId) -> None:
        """Resume a paused agent, which renews its lease if that lapsed."""
        resumed = self.agents[agent]
        resumed.is_paused = False
        if self.now - resumed.paused_at >= LEASE_S:
            self.disputed_flows.update(resumed.core.flows())
            resumed.core.on_paused(self.now)
            self.records[agent] = resumed.record
            self.publish()
        inbox, resumed.inbox = resumed.inbox, []
        for action in inbox:
            action()

    def set_datacentre(self, name: str, is_out: bool) -> None:
        """Take a data centre out of service, or back in."""
        datacentre = DatacentreName(name)
        if is_out:
            self.datacentres_out.add(datacentre)
            members = {
                agent
                for agent, member in self.agents.items()
                if member.record.datacentre == datacentre
            }
            self.disputed_flows.update(
                flow
                for flow, owner in self.owner_by_flow.items()
                if owner in members
            )
            for agent in members:
                self.disputed_flows.update(self.agents[agent].core.flows())
        else:
            self.datacentres_out.discard(datacentre)
            self._return_known_at[datacentre] = (
                self.now + 3 * self.conditions.view_delay_s
            )
        self.publish()

    def cut_off(self, agent: AgentId) -> None:
        """Disconnect an agent from all other agents but not from balancers."""
        self.cut_pairs.update(
            frozenset((agent, other))
            for other in self.agents
            if other != agent
        )

    def heal(self) -> None:
        """Connect all agents to each other again."""
        if self.cut_pairs:
            self.cut_pairs.clear()
            self._claims_settled_at = self.now + CLAIM_SETTLEMENT_S

    # Distribution of views.

    def view(self) -> ServiceView:
        """Return a view of the actual state now."""
        return ServiceView(
            version=next(self._versions),
            entry=Entry(
                service=SERVICE, owner='o', class_name='c', addresses=[]
            ),
            agents=list(self.records.values()),
            datacentres_out=sorted(self.datacentres_out),
            balancers=[],
        )

    def publish(self) -> None:
        """Send the actual state to all hosts, each with its own delay.

        A host for which a view is skipped, or which receives a stale one,
        is sent a newer view after the greatest delay.
        """
        view = self.view()
        self._views.append((self.now, view))
        oldest = self.now - self.conditions.view_delay_s
        self._views = [item for item in self._views if item[0] >= oldest]
        hosts = [*self.agents, *range(len(self.balancers))]
        for host in hosts:
            choice = self.rng.random() - self.conditions.view_skip
            if choice >= self.conditions.view_stale:
                self._send_view(host, view)
                continue
            if choice >= 0 and not isinstance(host, int):
                _, former = self.rng.choice(self._views)
                self._deliver_view(
                    host, msgspec.structs.replace(former, version=view.version)
                )
            self._schedule(
                self.now + self.conditions.view_delay_s,
                lambda host: self._send_view(host, self.view()),
                host,
            )

    def _send_view(self, host: AgentId | int, view: ServiceView) -> None:
        delay = self.rng.random() * self.conditions.view_delay_s
        action = (
            self._deliver_view_to_balancer
            if isinstance(host, int)
            else self._deliver_view
        )
        self._schedule(self.now + delay, action, host, view)

    def _deliver_view(self, agent: AgentId, view: ServiceView) -> None:
        # A view that arrives during a pause is older than the renewal of
        # the lease, and the agent program accepts no view before that.
        if not self.agents[agent].is_paused:
            self._run_step(agent, lambda a: a.core.on_view(view, self.now))

    def restart_balancer(self, index: int, view: ServiceView) -> None:
        """Replace a balancer by a new one that knows only an old view."""
        self.balancers[index] = self._new_balancer()
        self._deliver_view_to_balancer(index, view)

    def _deliver_view_to_balancer(self, index: int, view: ServiceView) -> None:
        if index in self.stale_balancers:
            return
        balancer = self.balancers[index]
        former = getattr(balancer, 'newest_view', None)
        if former is not None and former.version >= view.version:
            return
        present = {record.agent_id for record in view.agents}
        for record in former.agents if former else ():
            if record.agent_id not in present:
                balancer.set_agent(
                    msgspec.structs.replace(record, state=MemberState.LOST)
                )
        for name in {*(former.datacentres_out if former else ())}.union(
            view.datacentres_out
        ):
            balancer.set_datacentre(name, name in view.datacentres_out)
        for record in view.agents:
            balancer.set_agent(record)
        balancer.newest_view = view

    def publish_now(self) -> None:
        """Deliver a view of the actual state to every host at once."""
        view = self.view()
        for agent, member in self.agents.items():
            if member.is_alive and not member.is_paused:
                self._deliver_view(agent, view)
        for index in range(len(self.balancers)):
            self._deliver_view_to_balancer(index, view)

    # Traffic.

    def send_packet(self, flow: FlowId, balancer: int | None = None) -> None:
        """Send a packet of a flow through a given or random balancer."""
        if balancer is None:
            balancer = self.rng.randrange(len(self.balancers))
        address = self.balancers[balancer].route(NUMBER, flow)
        if address is None:
            self.drops['no_route'] += 1
            return
        packet = Packet(flow, 0, False, None, NO_BALANCER, None)
        agent = self._agent_by_address[address]
        self._schedule(self.now + self._delay(), self._deliver, agent, packet)

    def close_flow(self, flow: FlowId, agent: AgentId) -> None:
        """Close a flow at its owner unless that is paused."""
        if self.agents[agent].is_paused:
            return
        if self.owner_by_flow.get(flow) == agent:
            del self.owner_by_flow[flow]
        self._run_step(agent, lambda a: a.core.close_flow(flow, self.now))

    def _delay(self) -> float:
        conditions = self.conditions
        if conditions.long_delay and self.rng.random() < conditions.long_delay:
            return self.rng.random() * conditions.max_long_delay_s
        return conditions.delay_s * (0.5 + self.rng.random())

    def _transmit(
        self, sender: AgentId, to: AgentId, action: Callable, *args
    ) -> None:
        pair = frozenset((sender, to))
        if pair in self.cut_pairs:
            return
        if (
            self.rng.random() < self.conditions.loss
            and self._losses_in_a_row[pair] < MAX_CONSECUTIVE_LOSSES
        ):
            self._losses_in_a_row[pair] += 1
            return
        self._losses_in_a_row[pair] = 0
        copies = 1 + (self.rng.random() < self.conditions.duplication)
        for _ in range(copies):
            self._schedule(self.now + self._delay(), action, to, *args)

    def _deliver(self, agent: AgentId, packet: Packet) -> None:
        self._run_step(agent, lambda a: a.core.on_packet(packet, self.now))

    def _deliver_message(
        self, agent: AgentId, sender: AgentId, data: bytes
    ) -> None:
        message = decode_message(data)
        self._run_step(
            agent,
            lambda a: a.core.on_message(
                a.core.agent_at(self.agents[sender].record.address),
                message,
                self.now,
            ),
        )

    def _run_step(self, agent: AgentId, step: Callable) -> None:
        member = self.agents.get(agent)
        if member is None or not member.is_alive:
            return
        if member.is_paused:
            member.inbox.append(lambda: self._run_step(agent, step))
            return
        self._apply(agent, step(member))

    def _apply(self, agent: AgentId, effects: Iterable[Any]) -> None:
        member = self.agents[agent]
        for effect in effects:
            if isinstance(effect, Deliver):
                self._record_delivery(agent, effect)
            elif isinstance(effect, Relay):
                self._relay(agent, effect)
            elif isinstance(effect, SendMessage):
                data = encode_message(effect.message)
                size = len(data) + FRAME_OVERHEAD_BYTES
                self.largest_message_bytes = max(
                    self.largest_message_bytes, size
                )
                member.control_bytes += size
                target = self._addressed_agent(member, effect.to)
                if target is not None:
                    self._transmit(
                        agent, target, self._deliver_message, agent, data
                    )
            elif isinstance(effect, CloseFlow):
                if self.owner_by_flow.get(effect.flow) == agent:
                    del self.owner_by_flow[effect.flow]
            elif isinstance(effect, Drop):
                self.drops[effect.reason.value] += 1

    def _addressed_agent(
        self, member: SimulatedAgent, to: AgentId
    ) -> AgentId | None:
        """Return the agent if the sender has its current address."""
        address = member.core.address_of(to)
        target = self.agents.get(to)
        if target is None or target.record.address != address:
            return None
        return to

    def _relay(self, agent: AgentId, effect: Relay) -> None:
        target = self._addressed_agent(self.agents[agent], effect.to)
        if target is None:
            self.drops['no_address'] += 1
            return
        sender = self.agents[target].core.agent_at(
            self.agents[agent].record.address
        )
        packet = effect.packet._replace(sender=sender)
        assert packet.with_flags(packet.flags) == packet
        self._transmit(agent, target, self._deliver, packet)

    def _record_delivery(self, agent: AgentId, effect: Deliver) -> None:
        flow = effect.packet.flow
        self.deliveries_by_flow[flow] += 1
        self.last_receiver_by_flow[flow] = agent
        owner = self.owner_by_flow.get(flow)
        if self._may_have_two_owners(self.agents[agent].record.datacentre):
            self.disputed_flows.add(flow)
        if effect.is_new and self.agents[agent].is_drained:
            self._record_violation('adopted while draining', flow, agent)
        if owner is None:
            self.owner_by_flow[flow] = agent
        elif owner != agent:
            if flow not in self.disputed_flows:
                self._record_violation(
                    'second owner', flow, f'{agent} beside {owner}'
                )
            self.owner_by_flow[flow] = agent

    def _may_have_two_owners(self, datacentre: DatacentreName) -> bool:
        """Tell whether a flow in this data centre may have two owners.

        That is so while agents are disconnected or the data centre is out
        of service, and for some time afterwards.
        """
        return (
            bool(self.cut_pairs)
            or self.now < self._claims_settled_at
            or datacentre in self.datacentres_out
            or self.now < self._return_known_at.get(datacentre, 0.0)
        )

    def _record_violation(self, kind: str, flow: FlowId, detail: str) -> None:
        self.violations.append(Violation(self.now, kind, flow.hex(), detail))

    # Time and checks.

    def run(self, seconds: float) -> None:
        """Advance the simulated time."""
        end = self.now + seconds
        while True:
            if self._events and self._events[0][0] <= min(
                end, self._next_tick
            ):
                time, _, action, args = heappop(self._events)
                self.now = max(self.now, time)
                action(*args)
            elif self._next_tick <= end:
                self.now = self._next_tick
                self._next_tick += TICK_S
                for agent in list(self.agents):
                    member = self.agents[agent]
                    if member.is_alive and not member.is_paused:
                        self._run_step(agent, lambda a: a.core.tick(self.now))
            else:
                break
        self.now = end

    def check_without_faults(self, flows: Sequence[FlowId]) -> list[Violation]:
        """End all faults and check each flow through each balancer.

        Each flow must have one owner, which receives each packet exactly
        once, and no control messages may be sent without traffic.

        :param flows: flows to send packets of.
        :returns: violations found, now and before.
        """
        for member_id, member in self.agents.items():
            if member.is_alive and member.is_paused:
                self.resume(member_id)
        self.heal()
        self.conditions = NO_FAULTS
        for seconds in (CLAIM_SETTLEMENT_S, CLAIM_SETTLEMENT_S):
            self.publish_now()
            self.run(seconds)
        for flow in flows:
            self.send_packet(flow)
        self.run(2.0)
        before = self.control_bytes()
        self.run(2.0)
        if self.control_bytes() != before:
            self._record_violation(
                'control messages without traffic', FlowId(b''), ''
            )
        for flow in flows:
            self._check_flow(flow)
        return self.violations

    def _check_flow(self, flow: FlowId) -> None:
        owners = self.living_owners(flow)
        if len(owners) != 1:
            self._record_violation(
                'not one owner without faults', flow, str(owners)
            )
            return
        for index in range(len(self.balancers)):
            before = self.deliveries_by_flow[flow]
            self.send_packet(flow, index)
            self.run(0.05)
            if (
                self.deliveries_by_flow[flow] != before + 1
                or self.last_receiver_by_flow[flow] != owners[0]
            ):
                self._record_violation(
                    'not delivered without faults', flow, owners[0]
                )

    def control_bytes(self) -> int:
        """Return the bytes of all control frames that agents have sent."""
        return sum(member.control_bytes for member in self.agents.values())

    def check_owners(self) -> list[Violation]:
        """Check that only disputed flows have two owners.

        :returns: violations found, now and before.
        """
        holders: Counter[FlowId] = Counter()
        for member in self.agents.values():
            if member.is_alive and not member.is_paused:
                holders.update(member.core.flows())
        for flow, number in holders.items():
            if number > 1 and flow not in self.disputed_flows:
                self._record_violation(
                    'two owners', flow, str(self.living_owners(flow))
                )
        return self.violations

    def living_owners(self, flow: FlowId) -> list[AgentId]:
        """Return the living agents that own a flow."""
        return [
            agent
            for agent, member in self.agents.items()
            if member.is_alive and member.core.owns(flow)
        ]
