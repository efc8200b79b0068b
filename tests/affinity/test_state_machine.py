"""Property-based test that each flow has one owner during any changes."""

import os

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from ibispitch.ids import FlowId
from testbed.affinity_network import AffinityNetwork
from testbed.affinity_network import MANY_FAULTS
from testbed.affinity_network import MAX_DATAGRAM_BYTES

FLOWS = [FlowId(number.to_bytes(6, 'big')) for number in range(40)]
DATACENTRES = ['east', 'west', 'north']
MAX_AGENTS = 7
EXAMPLES = int(os.environ.get('IBISPITCH_EXAMPLES', '25'))


class AffinityMachine(RuleBasedStateMachine):
    """Agents and balancers under planned and unplanned changes."""

    @initialize(seed=st.integers(0, 2**32))
    def start(self, seed):
        self.net = AffinityNetwork(seed, MANY_FAULTS)
        self.number = 0
        # The first agent is known to all before the others start.
        for datacentre in ('east', 'west', 'north'):
            self.join(datacentre)
            self.net.run(2 * MANY_FAULTS.view_delay_s)

    def running_agents(self):
        return [
            agent
            for agent, member in self.net.agents.items()
            if member.is_alive
        ]

    def available_agents(self):
        """Return the agents that are in service and take new flows."""
        return [
            agent
            for agent in self.running_agents()
            if agent in self.net.records
            and not self.net.agents[agent].is_paused
            and not self.net.agents[agent].is_drained
            and self.net.records[agent].datacentre
            not in self.net.datacentres_out
        ]

    def chosen(self, agents, choice):
        return agents[choice % len(agents)]

    @rule(datacentre=st.sampled_from(DATACENTRES))
    def join(self, datacentre):
        if len(self.running_agents()) < MAX_AGENTS:
            self.net.join(f'a{self.number}', datacentre)
            self.number += 1

    @precondition(lambda self: len(self.available_agents()) > 2)
    @rule(choice=st.integers(0, 9))
    def drain(self, choice):
        self.net.drain(self.chosen(self.available_agents(), choice))

    @rule(choice=st.integers(0, 9))
    def leave(self, choice):
        drained = [
            agent
            for agent in self.running_agents()
            if self.net.agents[agent].is_drained
            and not self.net.agents[agent].is_paused
        ]
        if drained:
            self.net.leave(self.chosen(drained, choice))

    @precondition(lambda self: len(self.available_agents()) > 2)
    @rule(choice=st.integers(0, 9))
    def crash(self, choice):
        self.net.crash(self.chosen(self.available_agents(), choice))

    @precondition(lambda self: len(self.available_agents()) > 2)
    @rule(choice=st.integers(0, 9))
    def pause(self, choice):
        self.net.pause(self.chosen(self.available_agents(), choice))

    @rule()
    def resume(self):
        for agent in self.running_agents():
            if self.net.agents[agent].is_paused:
                self.net.resume(agent)

    @precondition(lambda self: self.available_agents())
    @rule(choice=st.integers(0, 9))
    def replace(self, choice):
        self.net.replace(self.chosen(self.available_agents(), choice))

    @rule(name=st.sampled_from(DATACENTRES))
    def take_out(self, name):
        others = {
            self.net.records[agent].datacentre
            for agent in self.available_agents()
        } - {name}
        if others:
            self.net.set_datacentre(name, True)

    @rule(name=st.sampled_from(DATACENTRES))
    def bring_back(self, name):
        if name in self.net.datacentres_out:
            self.net.set_datacentre(name, False)

    @precondition(lambda self: len(self.available_agents()) > 2)
    @rule(choice=st.integers(0, 9))
    def cut_off(self, choice):
        self.net.cut_off(self.chosen(self.available_agents(), choice))

    @rule()
    def heal(self):
        self.net.heal()

    @rule(choice=st.integers(0, 999))
    def close_flow(self, choice):
        flows = sorted(self.net.owner_by_flow)
        if flows:
            flow = self.chosen(flows, choice)
            self.net.close_flow(flow, self.net.owner_by_flow[flow])

    @rule(
        choices=st.lists(st.sampled_from(FLOWS), min_size=5, max_size=30),
        gap_ms=st.integers(0, 60),
    )
    def send(self, choices, gap_ms):
        for flow in choices:
            self.net.send_packet(flow)
            self.net.run(gap_ms / 1000)

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 3.0]))
    def wait(self, seconds):
        self.net.run(seconds)

    @invariant()
    def flows_have_one_owner(self):
        if hasattr(self, 'net'):
            assert self.net.check_owners() == []
            assert self.net.largest_message_bytes <= MAX_DATAGRAM_BYTES

    def teardown(self):
        if hasattr(self, 'net') and not self.net.violations:
            assert self.net.check_without_faults(FLOWS) == []


AffinityMachine.TestCase.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=40,
    deadline=None,
    print_blob=True,
)
TestAffinityMachine = AffinityMachine.TestCase
