"""Random events at the agent of an upstream, checked against the rule FLOW.

The agent's core, its gate and its saved flows are the real ones; the upstream
is a model that knows which flows it holds. The agent must never deny or end a
flow that the live upstream holds, whatever comes late or again. Flows that are
idle for longer than the idle time-out don't count, as in the rule.
"""

from collections import deque

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from ibispitch.decisionlog import DecisionLog
from ibispitch.forwarding import frames
from ibispitch.forwarding.agent import AgentCore
from ibispitch.forwarding.frames import Purpose
from ibispitch.forwarding.frames import Reason
from ibispitch.forwarding.frames import Verdict
from ibispitch.gate.core import ColdLimits
from ibispitch.gate.core import Gate
from ibispitch.gate.core import Heartbeat
from ibispitch.gate.core import UpstreamState
from ibispitch.histograms import LatencyHistograms
from ibispitch.routes.position import NO_POSITION
from testbed import flow_packets
from testbed.flow_packets import ACK
from testbed.flow_packets import SYN
from tests.forwarding.test_agent_core import BALANCER
from tests.forwarding.test_agent_core import CALLER
from tests.forwarding.test_agent_core import CODEC
from tests.forwarding.test_agent_core import DESTINATION
from tests.forwarding.test_agent_core import routes_with_cold_time
from tests.forwarding.test_agent_core import TABLE

HEARTBEAT_S = 1.2
COLD_S = 2.0
CALLERS = [CALLER._replace(port=3000 + number) for number in range(6)]
DENIALS = (Reason.NOT_OWNED, Reason.ENDED, Reason.OTHER_UPSTREAM)
PAUSES = st.sampled_from([0.05, 0.4, 1.3, 5.0])


class Upstream:
    """A model of one incarnation of an upstream."""

    def __init__(self, born, now):
        self.born = born
        self.sequence = 0
        self.cold_until = now + COLD_S
        #: Next sequence numbers of the caller and the upstream.
        self.numbers_by_caller = {}
        #: Time of the last packet of each flow.
        self.used_at_by_caller = {}

    def heartbeat(self, now) -> Heartbeat:
        self.sequence += 1
        return Heartbeat(
            'i-1', self.born, 'counter', 5, UpstreamState.READY,
            self.sequence, max(0.0, self.cold_until - now),
        )  # fmt: skip


class AgentMachine(RuleBasedStateMachine):
    """Events of an agent and its upstream."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.packets = deque()
        self.denied = []
        self.heartbeats = []
        self.lists = []
        self.upstream = None

    @initialize()
    def start(self):
        """Start the first upstream and the first agent."""
        self.upstream = Upstream(50_000, self.now - 60.0)
        self.core = self.make_core(knows_all_flows=True)

    def make_core(self, knows_all_flows) -> AgentCore:
        gate = Gate('counter', 'accra', HEARTBEAT_S, ColdLimits(1.5, 50.0))
        core = AgentCore(
            gate, CODEC, self, DecisionLog('test', lambda: 0.0, len),
            LatencyHistograms(), knows_all_flows, 3.0, self.now,
        )  # fmt: skip
        core.set_routes(routes_with_cold_time(), self.now)
        return core

    # Outbox of the agent.

    def to_balancer(self, ip, data):
        frame = frames.decode_frame(data)
        if isinstance(frame, frames.Return):
            packet = CODEC.from_caller(frame.raw)
            if not packet.is_opening and frame.reason in DENIALS:
                self.denied.append(packet.flow)
        else:
            self.denied += [
                answer.flow
                for answer in frame.answers
                if answer.verdict is Verdict.NOT_OWNED
            ]

    def to_upstream(self, raw):
        self.packets.append(raw)

    def to_caller(self, flow, raw):
        pass

    def deliver(self):
        """Let the upstream handle its packets, and check the denials."""
        while self.packets:
            raw = self.packets.popleft()
            caller = flow_packets.parse(raw).source
            numbers = self.upstream.numbers_by_caller.get(caller)
            self.upstream.used_at_by_caller[caller] = self.now
            if CODEC.from_caller(raw).is_opening:
                self.upstream.numbers_by_caller[caller] = [101, 501]
                self.send(caller, SYN | ACK, 500)
            elif numbers is None:
                back = flow_packets.bounced(raw)
                self.core.receive_upstream(CODEC.from_upstream(back), self.now)
            else:
                self.send(caller, ACK, numbers[1], b'answer')
                numbers[1] += len(b'answer')
        oldest = self.now - TABLE.idle_timeout_s
        held = {
            self.flow_of(caller)
            for caller in self.upstream.numbers_by_caller
            if self.upstream.used_at_by_caller[caller] >= oldest
        }
        assert not held & set(self.denied)
        self.denied.clear()

    def send(self, caller, flags, sequence, body=b''):
        raw = flow_packets.build(
            DESTINATION, caller, flags, sequence, 101, body
        )
        self.core.receive_upstream(CODEC.from_upstream(raw), self.now)

    @staticmethod
    def flow_of(caller):
        raw = flow_packets.build(caller, DESTINATION, SYN, 100, 0)
        return CODEC.from_caller(raw).flow

    def forward(self, raw, purpose, incarnation):
        forward = frames.Forward(purpose, NO_POSITION, incarnation, (), raw)
        self.core.receive(BALANCER, forward, self.now)
        self.deliver()

    # Events.

    @rule(pause_s=PAUSES)
    def wait(self, pause_s):
        """Let time pass, with the timers of the agent."""
        self.now += pause_s
        self.core.sweep(self.now)
        self.core.check_cold_openings(self.now)
        self.deliver()

    @rule()
    def send_heartbeat(self):
        """The live upstream sends a heartbeat."""
        heartbeat = self.upstream.heartbeat(self.now)
        self.heartbeats.append(heartbeat)
        self.core.receive_heartbeat(heartbeat, self.now)
        self.deliver()

    @precondition(lambda self: self.heartbeats)
    @rule(back=st.integers(1, 6))
    def repeat_heartbeat(self, back):
        """An earlier heartbeat arrives late or again."""
        heartbeat = self.heartbeats[-min(back, len(self.heartbeats))]
        self.core.receive_heartbeat(heartbeat, self.now)
        self.deliver()

    @rule(caller=st.sampled_from(CALLERS))
    def open(self, caller):
        """A caller opens a flow, if the gate lets it."""
        if caller not in self.upstream.numbers_by_caller:
            raw = flow_packets.build(caller, DESTINATION, SYN, 100, 0)
            self.forward(raw, Purpose.OPENING, self.core.gate.incarnation)

    @rule(
        caller=st.sampled_from(CALLERS),
        purpose=st.sampled_from([Purpose.OWNED, Purpose.TRIAL]),
        incarnation=st.sampled_from([0, 50_000, 51_000]),
    )
    def send_request(self, caller, purpose, incarnation):
        """A caller sends a request, which any incarnation may be meant for."""
        numbers = self.upstream.numbers_by_caller.get(caller)
        sequence, acknowledged = numbers or (101, 501)
        body = b'request'
        raw = flow_packets.build(
            caller, DESTINATION, ACK, sequence, acknowledged, body
        )
        if numbers:
            numbers[0] += len(body)
        self.forward(raw, purpose, incarnation)

    @rule(caller=st.sampled_from(CALLERS))
    def ask(self, caller):
        """A balancer asks whether the agent owns a flow."""
        numbers = self.upstream.numbers_by_caller.get(caller, (101, 501))
        question = frames.Question(self.flow_of(caller), numbers[1])
        self.core.answer_questions(
            BALANCER, frames.OwnershipQuestions((question,)), self.now
        )
        self.deliver()

    @rule()
    def turn_cold(self):
        """The upstream turns cold without a restart."""
        self.upstream.cold_until = self.now + COLD_S

    @rule(step_ms=st.sampled_from([1000, 1000, -500]))
    def replace_upstream(self, step_ms):
        """Another upstream starts; its clock may be behind."""
        self.packets.clear()
        self.upstream = Upstream(self.upstream.born + step_ms, self.now)

    @rule(down_s=PAUSES)
    def kill(self, down_s):
        """The agent is killed and starts again."""
        self.now += down_s
        self.core = self.make_core(knows_all_flows=False)

    @rule(down_s=PAUSES)
    def stop(self, down_s):
        """The agent stops as planned and starts again."""
        parts = self.core.stop(int(self.now), self.now)
        self.deliver()
        flows = [flow for part in parts for flow in part.flows]
        if parts:
            self.lists.append((parts[0].incarnation, flows))
        self.kill(down_s)

    @precondition(lambda self: self.lists)
    @rule(back=st.integers(1, 3))
    def restore(self, back):
        """A balancer sends saved flows, perhaps of an earlier process."""
        saved = self.lists[-min(back, len(self.lists))]
        self.core.restore(*saved, self.now)
        self.deliver()


AgentMachine.TestCase.settings = settings(
    max_examples=500, stateful_step_count=40, deadline=None, derandomize=True
)
TestAgentMachine = AgentMachine.TestCase
