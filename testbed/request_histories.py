"""Random histories of gates under loss, copies, crashes and moves.

Run ``python -m testbed.request_histories --count 100`` to check that no
request runs twice and that no answer is false.
"""

from collections import Counter
from collections.abc import Callable
from collections.abc import Sequence
import random
import sys

from aiocoap.numbers.codes import Code
import click

from ibispitch.ids import AgentId
from ibispitch.ids import FlowId
from ibispitch.requests import coap
from ibispitch.requests import CoapGate
from ibispitch.requests import GateSettings
from ibispitch.requests.effects import Effect
from ibispitch.requests.effects import RelayToIssuer
from ibispitch.requests.effects import SendRun
from ibispitch.requests.effects import SendRunReply
from ibispitch.requests.effects import SendToCaller
from ibispitch.requests.effects import SendToUpstream
from ibispitch.requests.messages import RunCancel
from ibispitch.requests.messages import RunRequest
from ibispitch.requests.outcomes import Outcome
from ibispitch.wire import decode_message
from ibispitch.wire import encode_message
from testbed.request_models import body_of
from testbed.request_models import CallerModel
from testbed.request_models import FixedBudget
from testbed.request_models import RandomAdmission
from testbed.request_models import UpstreamModel

AGENTS = (AgentId('a0'), AgentId('a1'), AgentId('a2'))
CALLERS = 2
#: Retries that each gate may make.
RETRIES = 5
#: Share of the packets that also reach the predecessor of an agent.
PREDECESSOR_SHARE = 0.1


class World:
    """Callers, gates, upstreams and a network that loses and copies.

    The caller of its methods chooses what happens when.

    :param seed: of the random choices of the parts.
    :param make: makes a gate from settings, admission, budget and rng.
    """

    def __init__(self, seed: int, make: Callable = CoapGate):
        self.rng = random.Random(seed)
        self.make = make
        self.now = 1000.0
        self.packets: list[tuple] = []
        self.runs: Counter[bytes] = Counter()
        self.not_run: set[bytes] = set()
        self.violations: list[str] = []
        self.incarnation = 0
        self.upstreams = {a: UpstreamModel(self) for a in AGENTS}
        self.gates = {}
        self.predecessors = {}
        self.incarnations = {}
        for agent in AGENTS:
            self.start(agent)
        self.callers = [CallerModel(self, n) for n in range(CALLERS)]
        self.callers_by_flow = {c.flow: c for c in self.callers}

    def start(self, agent: AgentId) -> None:
        """Start an agent without the state of the one before it."""
        self.incarnation += 1
        self.incarnations[agent] = self.incarnation
        peers = [other for other in AGENTS if other != agent]
        self.gates[agent] = self.make(
            GateSettings(
                incarnation=self.incarnation,
                echo_key=self.rng.randbytes(16),
            ),
            RandomAdmission(self.rng, peers),
            FixedBudget(RETRIES),
            random.Random(self.incarnation),
        )
        self.spread_view()

    def spread_view(self) -> None:
        """Tell every gate of the present agents."""
        for agent, gate in self.gates.items():
            others = {a: i for a, i in self.incarnations.items() if a != agent}
            self.do(agent, gate.on_agents(others, self.now))

    def send(self, kind: str, *fields) -> None:
        """Put a packet into the network."""
        self.packets.append((kind, *fields))

    def ran(self, request_id: bytes) -> None:
        """Note a run at an upstream."""
        self.runs[request_id] += 1
        if self.runs[request_id] > 1:
            self.violations.append(f'{request_id} ran twice')
        if request_id in self.not_run:
            self.violations.append(f'{request_id} ran after "not run"')

    def do(self, agent: AgentId, effects: Sequence[Effect]) -> None:
        """Carry out the effects of a gate."""
        for effect in effects:
            match effect:
                case SendToCaller(flow, datagram):
                    self.check_answer(flow, datagram)
                    self.send('answer', flow, datagram)
                case SendToUpstream(flow, datagram):
                    self.upstreams[agent].receive(flow, datagram)
                case SendRun(to, message) | SendRunReply(to, message):
                    self.send('agent', agent, to, encode_message(message))
                case RelayToIssuer(to, flow, datagram):
                    self.send('relay', to, flow, datagram)

    def check_answer(self, flow: FlowId, datagram: bytes) -> None:
        """Compare an answer with what the upstreams have run."""
        message = coap.decode(datagram)
        caller = self.callers_by_flow[flow]
        sent = [d for d in caller.datagrams if d[4:8] == message.token]
        if not sent or message.code is Code.EMPTY:
            return
        request_id = coap.opaque_option(coap.decode(sent[0]), coap.REQUEST_ID)
        outcome = coap.uint_option(message, coap.OUTCOME)
        if outcome == Outcome.NOT_RUN:
            self.not_run.add(request_id)
            if self.runs[request_id]:
                self.violations.append(f'{request_id} "not run" but it ran')
        elif message.code is Code.CHANGED:
            if message.payload != body_of(request_id):
                self.violations.append(f'{request_id} got another answer')

    def deliver(self, position: int, agent: AgentId) -> None:
        """Deliver a packet; a caller's packet reaches any agent."""
        kind, *fields = self.packets.pop(position)
        if kind == 'caller':
            self.do(
                agent, self.gates[agent].on_caller_datagram(*fields, self.now)
            )
            old = self.predecessors.get(agent)
            if old is not None and self.rng.random() < PREDECESSOR_SHARE:
                self.do(agent, old.on_caller_datagram(*fields, self.now))
        elif kind == 'relay':
            to, flow, datagram = fields
            effects = self.gates[to].on_caller_datagram(
                flow, datagram, self.now, True
            )
            self.do(to, effects)
        elif kind == 'answer':
            flow, datagram = fields
            self.callers_by_flow[flow].receive(datagram)
        else:
            self.deliver_message(*fields)

    def deliver_message(
        self, sender: AgentId, to: AgentId, data: bytes
    ) -> None:
        """Deliver a message between agents."""
        message, gate = decode_message(data), self.gates[to]
        if isinstance(message, RunRequest):
            take = gate.on_run_request
        elif isinstance(message, RunCancel):
            take = gate.on_run_cancel
        else:
            take = gate.on_run_reply
        self.do(to, take(sender, message, self.now))

    def deliver_any(self, rng: random.Random) -> None:
        """Deliver any packet to any agent."""
        if self.packets:
            at = rng.randrange(len(self.packets))
            self.deliver(at, rng.choice(AGENTS))

    def upstream_answers(self, agent: AgentId) -> None:
        """Let an upstream answer one of its requests."""
        ready = self.upstreams[agent].ready
        if ready:
            flow, datagram = ready.pop(self.rng.randrange(len(ready)))
            gate = self.gates[agent]
            self.do(agent, gate.on_upstream_datagram(flow, datagram, self.now))

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.now += seconds
        for agent, gate in self.gates.items():
            self.do(agent, gate.tick(self.now))

    def restart_upstream(self, agent: AgentId) -> None:
        """Replace an upstream process by a new one."""
        self.upstreams[agent].restart()
        self.do(agent, self.gates[agent].on_upstream_lost(self.now))

    def succeed(self, agent: AgentId) -> None:
        """Replace a gate by a successor process."""
        data = self.gates[agent].export(self.now)
        old = self.gates[agent]
        self.start(agent)
        self.do(agent, self.gates[agent].restore(data, self.now))
        self.predecessors[agent] = old
        self.spread_view()

    def move(self, source: AgentId, target: AgentId, flow: FlowId) -> None:
        """Move a flow; the export arrives twice."""
        data, effects = self.gates[source].export_flow(flow, self.now)
        self.do(source, effects)
        if data is not None:
            for _ in range(2):
                adopted = self.gates[target].adopt_flow(data, self.now)
                self.do(target, adopted)

    def step(self, rng: random.Random) -> None:
        """Do one of the things that can happen, mostly in good order."""
        caller = rng.choice(self.callers)
        (event,) = rng.choices(list(WEIGHT_BY_EVENT), WEIGHTS)
        event(self, caller, rng)

    def check(self) -> list[str]:
        """Return what went wrong so far."""
        found = list(self.violations)
        for caller in self.callers:
            for request_id, answers in caller.answers.items():
                kinds = {outcome for outcome, _ in answers}
                if {None, Outcome.NOT_RUN} <= kinds:
                    found.append(f'{request_id} got a result and "not run"')
                results = {payload for kind, payload in answers if not kind}
                if results - {body_of(request_id)}:
                    found.append(f'{request_id} got a wrong body')
        return found


def _deliver_in_order(world, caller, rng):
    for _ in range(min(rng.randint(1, 8), len(world.packets))):
        usual = AGENTS[caller.flow[5] % len(AGENTS)]
        agent = rng.choice(AGENTS) if rng.random() < 0.2 else usual
        world.deliver(0, agent)
        for name in AGENTS:
            if rng.random() < 0.7:
                world.upstream_answers(name)


def _repeat_datagram(world, caller, rng):
    if caller.datagrams:
        datagram = rng.choice(caller.datagrams)
        world.send('caller', caller.flow, datagram)
        world.deliver(len(world.packets) - 1, rng.choice(AGENTS))


WEIGHT_BY_EVENT = {
    _deliver_in_order: 38,
    _repeat_datagram: 5,
    lambda w, c, r: w.deliver_any(r): 8,
    lambda w, c, r: w.packets and w.packets.remove(r.choice(w.packets)): 4,
    lambda w, c, r: w.packets and w.packets.append(r.choice(w.packets)): 5,
    lambda w, c, r: c.repeat_request(r): 5,
    lambda w, c, r: c.answers and c.cancel(r.choice(list(c.answers))): 3,
    lambda w, c, r: w.move(*r.sample(AGENTS, 2), c.flow): 2,
    lambda w, c, r: c.new(is_upload=r.random() < 0.3): 12,
    lambda w, c, r: w.upstream_answers(r.choice(AGENTS)): 8,
    lambda w, c, r: w.advance(r.choice([0.1, 0.6, 0.6, 2.0, 6.0])): 7,
    lambda w, c, r: w.advance(r.choice([70.0, 100.0, 301.0])): 0.5,
    lambda w, c, r: w.start(r.choice(AGENTS)): 1,
    lambda w, c, r: w.succeed(r.choice(AGENTS)): 1,
    lambda w, c, r: w.restart_upstream(r.choice(AGENTS)): 1,
}
WEIGHTS = list(WEIGHT_BY_EVENT.values())


def walk(seed: int, steps: int, make: Callable = CoapGate) -> World:
    """Return the world after a history, or at its first violation."""
    world, rng = World(seed, make), random.Random(seed)
    for _ in range(steps):
        world.step(rng)
        if world.check():
            break
    return world


@click.command()
@click.option('--first', default=0, show_default=True, help='First seed.')
@click.option('--count', default=100, show_default=True, help='Seeds.')
@click.option('--steps', default=400, show_default=True, help='Events each.')
def main(first, count, steps):
    """Check random histories and print what was seen."""
    seen: Counter[str] = Counter()
    for seed in range(first, first + count):
        world = walk(seed, steps)
        for violation in world.check():
            print(f'seed {seed}: {violation}', flush=True)
            seen['violations'] += 1
        seen['runs'] += sum(world.runs.values())
        seen['requests answered "not run"'] += len(world.not_run)
        for caller in world.callers:
            seen['requests'] += len(caller.answers)
    for name, number in seen.items():
        print(f'{name}: {number}')
    sys.exit(1 if seen['violations'] else 0)


if __name__ == '__main__':
    main()
