"""In-memory agents and balancers, joined by an unreliable network.

Only the cores are run. Views and records reach each host on their own,
late and with versions left out, as they do through parents and gossip.
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

#: Claims of flows that were adopted twice are settled after this time.
SETTLE_S = 8.0

#: A pair of agents that reach each other loses no more in a row.
MAX_CONSECUTIVE_LOSSES = 2


class Conditions(NamedTuple):
    """How the network treats datagrams and views.

    :param loss: probability that a datagram between agents is lost.
    :param duplication: probability that it comes twice.
    :param delay_s: usual delay of a datagram.
    :param late: probability that a datagram takes up to ``late_s``, so that
        others overtake it.
    :param late_s: see ``late``.
    :param view_delay_s: greatest delay of views and records.
    :param view_skip: probability that a view is left out, as a newer one
        follows.
    :param view_stale: probability that a new parent gives an agent the
        truth of up to ``view_delay_s`` ago.
    """

    loss: float = 0.0
    duplication: float = 0.0
    delay_s: float = 0.001
    late: float = 0.0
    late_s: float = 0.0
    view_delay_s: float = 1.0
    view_skip: float = 0.0
    view_stale: float = 0.0


CALM = Conditions(view_delay_s=0.05)
ROUGH = Conditions(0.1, 0.1, 0.003, 0.1, 0.6, 2.0, 0.2, 0.2)


class RandomPlacement:
    """Spreads new flows at random, so that many are exceptions."""

    def __init__(self, rng: random.Random, local_share: float = 0.5):
        self._rng = rng
        self._local_share = local_share

    def choose_owner(
        self, self_id: AgentId, candidates: Sequence[AgentId], now: float
    ) -> AgentId | None:
        """Return this agent with the local share, else any candidate."""
        if self_id in candidates and self._rng.random() < self._local_share:
            return self_id
        return self._rng.choice(candidates)


class SimulatedAgent:
    """An agent's core and what happened to its process."""

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
    """An invariant that did not hold."""

    time: float
    kind: str
    flow: str
    detail: str


class AffinityNetwork:
    """Agents of one service, balancers, and the truth about them.

    :param seed: seed of all random choices.
    :param conditions: see :class:`Conditions`.
    :param balancers: number of balancers.
    :param make_placement: returns the placement of an agent.
    :param make_core: makes the core of an agent, or a baseline.
    """

    def __init__(
        self,
        seed: int,
        conditions: Conditions = CALM,
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
        #: Agent that holds each established flow, as first delivered.
        self.owner_by_flow: dict[FlowId, AgentId] = {}
        #: Flows that may have two owners, after an unplanned change.
        self.disputed: set[FlowId] = set()
        self.violations: list[Violation] = []
        self.delivered: Counter[FlowId] = Counter()
        self.delivered_last: dict[FlowId, AgentId] = {}
        self.drops: Counter = Counter()
        self.largest_message = 0
        self.cut_pairs: set[frozenset] = set()
        #: Balancers that get no news.
        self.stale_balancers: set[int] = set()
        self._make_placement = make_placement or (
            lambda agent: RandomPlacement(self.rng)
        )
        self._make_core = make_core
        self._agent_by_address: dict[Address, AgentId] = {}
        self._versions = count(1)
        self._numbers = count(1)
        self._queue: list[tuple] = []
        self._sequence = count()
        self._losses: Counter[frozenset] = Counter()
        self._next_tick = self.now
        self._views: list[tuple[float, ServiceView]] = []
        self._healed_everywhere = 0.0
        self._back_everywhere: dict[DatacentreName, float] = {}

    def _new_balancer(self) -> RoutingCore:
        core = RoutingCore()
        core.set_entry(SERVICE, True)
        return core

    def _at(self, time: float, action: Callable, *args) -> None:
        heappush(self._queue, (time, next(self._sequence), action, args))

    # Changes of the truth.

    def join(self, agent: str, datacentre: str = 'east') -> AgentId:
        """Start an agent."""
        agent_id = AgentId(agent)
        number = next(self._numbers)
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
        """Let an agent drain; it knows at once."""
        self.agents[agent].core.set_draining()
        self.agents[agent].is_drained = True
        self._set_state(agent, MemberState.DRAINING)

    def leave(self, agent: AgentId) -> None:
        """End a drained agent: its flows are closed before."""
        core = self.agents[agent].core
        for flow in core.flows():
            self.close_flow(flow, agent)
        self.agents[agent].is_alive = False
        self._lose(agent)

    def replace(self, agent: AgentId) -> None:
        """Replace a process by its successor, which takes its state.

        The core of a baseline goes on as it is, which is the best that its
        hand-over could do.
        """
        former = self.agents[agent]
        record = msgspec.structs.replace(
            former.record,
            incarnation=next(self._numbers),
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
        """Kill an agent; its lease lapses later."""
        self.agents[agent].is_alive = False
        for flow, owner in list(self.owner_by_flow.items()):
            if owner == agent:
                del self.owner_by_flow[flow]
        record = self.records.get(agent)
        self._at(self.now + LEASE_S, self._lapse, agent, record)

    def _lapse(self, agent: AgentId, record: AgentRecord) -> None:
        current = self.records.get(agent)
        if (
            current is not None
            and record is not None
            and current.incarnation == record.incarnation
        ):
            self._lose(agent)

    def _lose(self, agent: AgentId) -> None:
        self.records.pop(agent, None)
        self.publish()

    def pause(self, agent: AgentId) -> None:
        """Stop an agent without ending it; its lease lapses."""
        paused = self.agents[agent]
        paused.is_paused = True
        paused.paused_at = self.now
        self._at(self.now + LEASE_S, self._lapse_paused, agent, self.now)

    def _lapse_paused(self, agent: AgentId, since: float) -> None:
        paused = self.agents[agent]
        if paused.is_paused and paused.paused_at == since:
            self.disputed.update(paused.core.flows())
            self._lose(agent)

    def resume(self, agent: AgentId) -> None:
        """Let a paused agent go on and renew its lease."""
        resumed = self.agents[agent]
        resumed.is_paused = False
        if self.now - resumed.paused_at >= LEASE_S:
            self.disputed.update(resumed.core.flows())
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
            self.disputed.update(
                flow
                for flow, owner in self.owner_by_flow.items()
                if owner in members
            )
            for agent in members:
                self.disputed.update(self.agents[agent].core.flows())
        else:
            self.datacentres_out.discard(datacentre)
            self._back_everywhere[datacentre] = (
                self.now + 3 * self.conditions.view_delay_s
            )
        self.publish()

    def cut_off(self, agent: AgentId) -> None:
        """Cut an agent off from all other agents, not from balancers."""
        self.cut_pairs.update(
            frozenset((agent, other))
            for other in self.agents
            if other != agent
        )

    def heal(self) -> None:
        """Let all agents reach each other again."""
        if self.cut_pairs:
            self.cut_pairs.clear()
            self._healed_everywhere = self.now + SETTLE_S

    # Spread of the truth.

    def view(self) -> ServiceView:
        """Return a view of the present truth."""
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
        """Send the truth to all hosts, each with its own delay.

        A host that misses a view gets a newer one after the greatest delay.
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
            self._at(
                self.now + self.conditions.view_delay_s,
                lambda host: self._send_view(host, self.view()),
                host,
            )

    def _send_view(self, host: AgentId | int, view: ServiceView) -> None:
        delay = self.rng.random() * self.conditions.view_delay_s
        action = (
            self._set_table if isinstance(host, int) else self._deliver_view
        )
        self._at(self.now + delay, action, host, view)

    def _deliver_view(self, agent: AgentId, view: ServiceView) -> None:
        # A view that waits during a pause is older than the renewal of the
        # lease, before which the program takes no view.
        if not self.agents[agent].is_paused:
            self._run(agent, lambda a: a.core.on_view(view, self.now))

    def restart_balancer(self, index: int, view: ServiceView) -> None:
        """Replace a balancer by a new one that knows only an old view."""
        self.balancers[index] = self._new_balancer()
        self._set_table(index, view)

    def _set_table(self, index: int, view: ServiceView) -> None:
        if index in self.stale_balancers:
            return
        balancer = self.balancers[index]
        former = getattr(balancer, 'newest_view', None)
        if former is not None and former.version >= view.version:
            return
        listed = {record.agent_id for record in view.agents}
        for record in former.agents if former else ():
            if record.agent_id not in listed:
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

    def settle(self) -> None:
        """Give every host the truth now."""
        view = self.view()
        for agent, member in self.agents.items():
            if member.is_alive and not member.is_paused:
                self._deliver_view(agent, view)
        for index in range(len(self.balancers)):
            self._set_table(index, view)

    # Traffic.

    def send_packet(self, flow: FlowId, balancer: int | None = None) -> None:
        """Send a packet of a flow through a balancer, any by default."""
        if balancer is None:
            balancer = self.rng.randrange(len(self.balancers))
        address = self.balancers[balancer].route(NUMBER, flow)
        if address is None:
            self.drops['no_route'] += 1
            return
        packet = Packet(flow, 0, False, None, NO_BALANCER, None)
        agent = self._agent_by_address[address]
        self._at(self.now + self._delay(), self._deliver, agent, packet)

    def close_flow(self, flow: FlowId, agent: AgentId) -> None:
        """End a flow at its owner, if that is running."""
        if self.agents[agent].is_paused:
            return
        if self.owner_by_flow.get(flow) == agent:
            del self.owner_by_flow[flow]
        self._run(agent, lambda a: a.core.close_flow(flow, self.now))

    def _delay(self) -> float:
        conditions = self.conditions
        if conditions.late and self.rng.random() < conditions.late:
            return self.rng.random() * conditions.late_s
        return conditions.delay_s * (0.5 + self.rng.random())

    def _transmit(
        self, sender: AgentId, to: AgentId, action: Callable, *args
    ) -> None:
        pair = frozenset((sender, to))
        if pair in self.cut_pairs:
            return
        if (
            self.rng.random() < self.conditions.loss
            and self._losses[pair] < MAX_CONSECUTIVE_LOSSES
        ):
            self._losses[pair] += 1
            return
        self._losses[pair] = 0
        copies = 1 + (self.rng.random() < self.conditions.duplication)
        for _ in range(copies):
            self._at(self.now + self._delay(), action, to, *args)

    def _deliver(self, agent: AgentId, packet: Packet) -> None:
        self._run(agent, lambda a: a.core.on_packet(packet, self.now))

    def _deliver_message(
        self, agent: AgentId, sender: AgentId, data: bytes
    ) -> None:
        message = decode_message(data)
        self._run(
            agent,
            lambda a: a.core.on_message(
                a.core.agent_at(self.agents[sender].record.address),
                message,
                self.now,
            ),
        )

    def _run(self, agent: AgentId, step: Callable) -> None:
        member = self.agents.get(agent)
        if member is None or not member.is_alive:
            return
        if member.is_paused:
            member.inbox.append(lambda: self._run(agent, step))
            return
        self._apply(agent, step(member))

    def _apply(self, agent: AgentId, effects: Iterable[Any]) -> None:
        member = self.agents[agent]
        for effect in effects:
            if isinstance(effect, Deliver):
                self._note_delivery(agent, effect)
            elif isinstance(effect, Relay):
                self._relay(agent, effect)
            elif isinstance(effect, SendMessage):
                data = encode_message(effect.message)
                size = len(data) + FRAME_OVERHEAD_BYTES
                self.largest_message = max(self.largest_message, size)
                member.control_bytes += size
                target = self._target(member, effect.to)
                if target is not None:
                    self._transmit(
                        agent, target, self._deliver_message, agent, data
                    )
            elif isinstance(effect, CloseFlow):
                if self.owner_by_flow.get(effect.flow) == agent:
                    del self.owner_by_flow[effect.flow]
            elif isinstance(effect, Drop):
                self.drops[effect.reason.value] += 1

    def _target(self, member: SimulatedAgent, to: AgentId) -> AgentId | None:
        """Return the agent at the address that the sender knows."""
        address = member.core.address_of(to)
        target = self.agents.get(to)
        if target is None or target.record.address != address:
            return None
        return to

    def _relay(self, agent: AgentId, effect: Relay) -> None:
        target = self._target(self.agents[agent], effect.to)
        if target is None:
            self.drops['no_address'] += 1
            return
        sender = self.agents[target].core.agent_at(
            self.agents[agent].record.address
        )
        packet = effect.packet._replace(sender=sender)
        assert packet.with_flags(packet.flags) == packet
        self._transmit(agent, target, self._deliver, packet)

    def _note_delivery(self, agent: AgentId, effect: Deliver) -> None:
        flow = effect.packet.flow
        self.delivered[flow] += 1
        self.delivered_last[flow] = agent
        owner = self.owner_by_flow.get(flow)
        if self._is_in_doubt(self.agents[agent].record.datacentre):
            self.disputed.add(flow)
        if effect.is_new and self.agents[agent].is_drained:
            self._violation('adopted while draining', flow, agent)
        if owner is None:
            self.owner_by_flow[flow] = agent
        elif owner != agent:
            if flow not in self.disputed:
                self._violation(
                    'second owner', flow, f'{agent} beside {owner}'
                )
            self.owner_by_flow[flow] = agent

    def _is_in_doubt(self, datacentre: DatacentreName) -> bool:
        """Tell whether agents may be cut off, or the data centre out."""
        return (
            bool(self.cut_pairs)
            or self.now < self._healed_everywhere
            or datacentre in self.datacentres_out
            or self.now < self._back_everywhere.get(datacentre, 0.0)
        )

    def _violation(self, kind: str, flow: FlowId, detail: str) -> None:
        self.violations.append(Violation(self.now, kind, flow.hex(), detail))

    # Time and checks.

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while True:
            if self._queue and self._queue[0][0] <= min(end, self._next_tick):
                time, _, action, args = heappop(self._queue)
                self.now = max(self.now, time)
                action(*args)
            elif self._next_tick <= end:
                self.now = self._next_tick
                self._next_tick += TICK_S
                for agent in list(self.agents):
                    member = self.agents[agent]
                    if member.is_alive and not member.is_paused:
                        self._run(agent, lambda a: a.core.tick(self.now))
            else:
                break
        self.now = end

    def check_quiet(self, flows: Sequence[FlowId]) -> list[Violation]:
        """Let the network calm down, and check each flow at each balancer.

        :param flows: flows to send packets of.
        :returns: what did not hold: one owner of each flow, which gets each
            packet exactly once.
        """
        for member_id, member in self.agents.items():
            if member.is_alive and member.is_paused:
                self.resume(member_id)
        self.heal()
        self.conditions = CALM
        for seconds in (SETTLE_S, SETTLE_S):
            self.settle()
            self.run(seconds)
        for flow in flows:
            self.send_packet(flow)
        self.run(2.0)
        before = self.control_bytes()
        self.run(2.0)
        if self.control_bytes() != before:
            self._violation('messages when quiet', FlowId(b''), '')
        for flow in flows:
            self._check_flow(flow)
        return self.violations

    def _check_flow(self, flow: FlowId) -> None:
        owners = self.owners(flow)
        if len(owners) != 1:
            self._violation('owners when quiet', flow, str(owners))
            return
        for index in range(len(self.balancers)):
            before = self.delivered[flow]
            self.send_packet(flow, index)
            self.run(0.05)
            if (
                self.delivered[flow] != before + 1
                or self.delivered_last[flow] != owners[0]
            ):
                self._violation('not delivered when quiet', flow, owners[0])

    def control_bytes(self) -> int:
        """Return the bytes of all control frames sent by living agents."""
        return sum(member.control_bytes for member in self.agents.values())

    def check_owners(self) -> list[Violation]:
        """Check that no undisputed flow has two owners now."""
        holders: Counter[FlowId] = Counter()
        for member in self.agents.values():
            if member.is_alive and not member.is_paused:
                holders.update(member.core.flows())
        for flow, number in holders.items():
            if number > 1 and flow not in self.disputed:
                self._violation('two owners', flow, str(self.owners(flow)))
        return self.violations

    def owners(self, flow: FlowId) -> list[AgentId]:
        """Return the living agents that own a flow."""
        return [
            agent
            for agent, member in self.agents.items()
            if member.is_alive and member.core.owns(flow)
        ]
