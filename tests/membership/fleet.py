"""Simulated balancers and agents in the in-memory network."""

import random

from ibispitch.ids import Address
from ibispitch.membership.core import AgentChanged
from ibispitch.membership.core import BalancerChanged
from ibispitch.membership.core import LeaseLapsed
from ibispitch.membership.leases import LeaseHolder
from ibispitch.membership.messages import LeaseGranted
from ibispitch.membership.messages import LeaseRefused
from ibispitch.membership.parents import ParentChooser
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import MemberState
from ibispitch.membership.sessions import AgentSession
from ibispitch.membership.view import build_view
from testbed.gossip import balancer_record
from testbed.gossip import Network
from testbed.gossip import start_balancer

STREAM_DELAY_S = 0.01


class Stream:
    """One direction of a connection; breaks if the target is unreachable."""

    def __init__(self, network, source, target, receive):
        self.network, self.source, self.target = network, source, target
        self.receive = receive
        self.is_open = True

    def write(self, message):
        self.network.schedule_delivery(
            STREAM_DELAY_S, self.target, self._deliver, message
        )

    def _deliver(self, message):
        self.is_open &= self.network.is_reachable(self.source, self.target)
        if self.is_open:
            self.receive(message)


class Agent:
    """Replacement of ``MembershipClient`` without sockets."""

    def __init__(self, fleet, name, seeds, incarnation):
        record = AgentRecord(
            agent_id=name,
            service='bench',
            datacentre='accra',
            address=Address('10.9.0.1', 5000),
            incarnation=incarnation,
            sequence=0,
            state=MemberState.ACTIVE,
            slots=1,
            connections=2000,
            parent='',
        )
        self.fleet = fleet
        self.lease = LeaseHolder(record)
        rng = random.Random(fleet.network.rng.getrandbits(32))
        self.chooser = ParentChooser(record, seeds, rng)
        self.stream = self.parent = None
        self.renew_due = self.answered_at = self.connect_at = 0.0
        self.node = None

    def tick(self, now):
        if self.lease.check_pause(now) and self.stream:
            self.answered_at = now
            self.stream.write(self.lease.announce(now))
        if self.stream and now - self.answered_at >= 2.0:
            self._drop(now)
        if not self.stream and now >= self.connect_at:
            self._connect(now)
        elif self.stream and now >= self.renew_due:
            self.renew_due = now + 1.0
            self.stream.write(self.lease.renew(now))
        return []

    def _drop(self, now):
        self.stream.is_open = False
        self.stream = None
        self.connect_at = now + self.chooser.on_parent_lost(self.parent)

    def _connect(self, now):
        address, delay = self.chooser.next_candidate()
        self.connect_at = now + delay
        balancer = self.fleet.network.node_by_address.get(address)
        if balancer is None or not balancer.is_running:
            return
        if not self.fleet.network.is_reachable(self.node, balancer):
            return
        self.parent = address
        self.stream = self.fleet.connect(self, balancer)
        self.lease.on_connected()
        self.answered_at = now
        self.stream.write(self.lease.announce(now))

    def receive(self, stream, message):
        now = self.fleet.network.now
        if stream is not self.stream:
            return
        self.tick(now)
        if stream is not self.stream:
            return
        self.answered_at = now
        if isinstance(message, LeaseGranted):
            self.lease.on_granted(message)
            self.chooser.on_granted()
        elif isinstance(message, LeaseRefused):
            self.lease.on_refused(message)
            self.stream.write(self.lease.announce(now))
        else:
            assert self.lease.on_view(message, now), 'an older view'
            self.chooser.on_view(message)
            if self.chooser.should_move(self.parent):
                self._drop(now)


class Fleet:
    """All nodes, with the invariants that are checked at each step."""

    def __init__(self, balancers, agents, seed):
        self.network = Network(seed, duplication=0.1)
        self.network.on_effect = self._on_effect
        self.network.after_step = self._check_versions
        self.seen_versions = {}
        self.incarnation = 1
        # Replaces the snapshots in the store, which list all balancers.
        self.seeds = [
            balancer_record(number).control_address
            for number in range(balancers)
        ]
        self.balancers = [self._balancer(n) for n in range(balancers)]
        self.agents = [self._agent(n) for n in range(agents)]

    def _balancer(self, number):
        self.incarnation += 1
        address = balancer_record(number).control_address
        self.seen_versions.pop(address, None)
        self.network.node_by_address.pop(address, None)
        node = start_balancer(
            self.network, number, self.seeds, self.incarnation
        )
        node.sessions = {}
        return node

    def _agent(self, number):
        self.incarnation += 1
        agent = Agent(self, f'a{number}', self.seeds, self.incarnation)
        agent.node = self.network.add(f'a{number}', agent)
        return agent.node

    def restart_balancer(self, number):
        self.balancers[number].is_crashed = True
        self.balancers[number] = self._balancer(number)

    def restart_agent(self, number):
        self.agents[number].is_crashed = True
        self.agents[number] = self._agent(number)

    def connect(self, agent, balancer):
        network = self.network
        to_agent = Stream(network, balancer, agent.node, None)
        session = AgentSession(to_agent, balancer.core)

        def receive(message):
            effects = session.on_message(message, network.now)
            if session.is_view_due:
                session.is_view_due = False
                balancer.sessions[session.agent_id] = session
                self._send_view(balancer, session, True)
            network.run(balancer, effects)

        to_balancer = Stream(network, agent.node, balancer, receive)
        to_agent.receive = lambda message: agent.receive(to_balancer, message)
        return to_balancer

    def _send_view(self, balancer, session, force=False):
        core = balancer.core
        content = build_view(
            session.record,
            core.agents.values(),
            core.balancers.values(),
            None,
            [],
        )
        # The clocks of the parents differ by up to a minute.
        skew_ms = int(balancer.address.ip.rpartition('.')[2]) * 20_000
        wall_ms = int(self.network.now * 1000) + skew_ms
        view = session.views.next_view(content, wall_ms, force)
        if view is not None:
            session.stream.write(view)

    def _on_effect(self, node, effect):
        if isinstance(effect, LeaseLapsed):
            node.sessions.pop(effect.record.agent_id, None)
        elif isinstance(effect, BalancerChanged | AgentChanged):
            for session in getattr(node, 'sessions', {}).values():
                self._send_view(node, session)

    def _check_versions(self, node):
        """Check that no version at a node has decreased."""
        if isinstance(node.core, Agent):
            return
        seen = self.seen_versions.setdefault(node.address, {})
        for key, item in node.core.spread.items.items():
            assert item.version >= seen.get(key, ()), item
            seen[key] = item.version

    def end_faults(self, seconds=40.0):
        """End all faults except crashes, and wait."""
        self.network.partition_by_address.clear()
        self.network.loss = 0.0
        for node in self.balancers + self.agents:
            if node.is_paused:
                self.network.resume(node)
        self.network.advance(seconds)

    def check_agreement(self):
        """Check that running balancers know exactly the running members."""
        live = [node for node in self.balancers if node.is_running]
        balancers = {node.core.self_id for node in live}
        agents = {
            node.core.lease.record.agent_id
            for node in self.agents
            if node.is_running
        }
        for node in live:
            core = node.core
            present = {r.balancer_id for r in core.present_balancers()}
            assert present == balancers, (core.self_id, present)
            active = {
                record.agent_id
                for record in core.agents.values()
                if record.state is MemberState.ACTIVE
            }
            assert active == agents, (core.self_id, active)
        assert len({node.core.spread.root for node in live}) <= 1
        documents = [node.core.catalogue for node in live]
        assert all(known == documents[0] for known in documents)
        for node in self.agents:
            if node.is_running and live:
                assert node.core.lease.may_act
                view = node.core.lease.view
                assert {a.agent_id for a in view.agents} == agents
