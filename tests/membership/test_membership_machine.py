"""State machine of faults in any order over balancers and agents."""

from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from ibispitch.membership.records import MemberState
from tests.membership.fleet import Fleet

BALANCERS = 4
AGENTS = 3
balancer = st.integers(0, BALANCERS - 1)
agent = st.integers(0, AGENTS - 1)


class Membership(RuleBasedStateMachine):
    """Guards against wrong records, members and views after faults.

    That is, versions that decrease, members that stay LOST or become LOST
    too late, and views that are older than the one before. ``Fleet`` checks
    versions and views at each step.
    """

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        self.fleet = Fleet(BALANCERS, AGENTS, seed)
        self.revision = 0
        self.fleet.network.advance(8)
        self.fleet.check_agreement()

    @rule(seconds=st.sampled_from([0.1, 0.7, 2.0, 3.1, 7.0]))
    def advance(self, seconds):
        self.fleet.network.advance(seconds)

    @rule(loss=st.sampled_from([0.0, 0.1, 0.4]))
    def lose(self, loss):
        self.fleet.network.loss = loss

    @rule(number=balancer)
    def crash_balancer(self, number):
        self.fleet.balancers[number].is_crashed = True

    @rule(number=balancer)
    def restart_balancer(self, number):
        self.fleet.restart_balancer(number)

    @rule(number=agent)
    def crash_agent(self, number):
        self.fleet.agents[number].is_crashed = True

    @rule(number=agent)
    def restart_agent(self, number):
        self.fleet.restart_agent(number)

    @rule(number=st.integers(0, BALANCERS + AGENTS - 1))
    def pause_or_resume(self, number):
        node = (self.fleet.balancers + self.fleet.agents)[number]
        if node.is_paused:
            self.fleet.network.resume(node)
        else:
            node.is_paused = True

    @rule(sides=st.lists(st.integers(0, 1), min_size=7, max_size=7))
    def partition(self, sides):
        nodes = self.fleet.balancers + self.fleet.agents
        self.fleet.network.partition_by_address = {
            node.address: side for node, side in zip(nodes, sides, strict=True)
        }

    @rule(number=balancer, size=st.sampled_from([10, 5000]))
    def edit(self, number, size):
        node = self.fleet.balancers[number]
        if not node.is_running:
            return
        self.revision += 1
        value = b'%d' % self.revision * size
        effects = node.core.publish_document(
            'entries/bench', self.revision, value, self.fleet.network.now
        )
        self.fleet.network.run(node, effects)

    @rule()
    def end_faults_and_check(self):
        self.fleet.end_faults()
        self.fleet.check_agreement()

    def teardown(self):
        if hasattr(self, 'fleet'):
            self.end_faults_and_check()


# Shrinking is left out, since it replays hours of simulated time.
Membership.TestCase.settings = settings(
    max_examples=40,
    stateful_step_count=25,
    deadline=None,
    phases=[Phase.explicit, Phase.reuse, Phase.generate],
)
TestMembership = Membership.TestCase


def test_dead_members_are_lost_in_time():
    """A crashed balancer or agent must be LOST after the stated time."""
    fleet = Fleet(5, 3, 1)
    fleet.network.advance(20)
    observer = fleet.balancers[0].core
    fleet.agents[0].is_crashed = True
    fleet.network.advance(4.5)
    assert observer.agents['a0'].state is MemberState.LOST
    fleet.balancers[3].is_crashed = True
    fleet.network.advance(6.5)
    assert observer.balancers['b3'].state is MemberState.LOST
    fleet.check_agreement()


def test_agent_of_a_lost_parent_is_lost():
    """An agent that crashes together with its parent must become LOST."""
    fleet = Fleet(5, 3, 1)
    fleet.network.advance(20)
    observer = fleet.balancers[0].core
    agent = next(
        node
        for node in fleet.agents
        if observer.agents[node.address].parent != 'b0'
    )
    parent = observer.agents[agent.address].parent
    agent.is_crashed = True
    fleet.balancers[int(parent[1:])].is_crashed = True
    fleet.network.advance(6.5 + 5.5)
    assert observer.agents[agent.address].state is MemberState.LOST


def test_paused_agent_may_not_act_before_its_new_view():
    """An agent that was replaced during its pause must not adopt flows."""
    fleet = Fleet(3, 1, 1)
    fleet.network.advance(10)
    node = fleet.agents[0]
    assert node.core.lease.may_act
    node.is_paused = True
    fleet.network.advance(5)
    now = fleet.network.now
    node.core.lease.check_pause(now)
    assert not node.core.lease.may_act
    fleet.network.resume(node)
    fleet.network.advance(3)
    assert node.core.lease.may_act
    fleet.check_agreement()
