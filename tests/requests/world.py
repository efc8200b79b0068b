"""Callers, gates, upstreams and a lossy network in one process."""

from collections import Counter
from collections import defaultdict
import random

from aiocoap import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type

from ibispitch.admission.types import Refuse
from ibispitch.admission.types import RunAt
from ibispitch.admission.types import RunHere
from ibispitch.admission.types import Wait
from ibispitch.caller.echoes import EchoCache
from ibispitch.ids import flow_id
from ibispitch.requests import coap
from ibispitch.requests import CoapGate
from ibispitch.requests import GateSettings
from ibispitch.requests.effects import RelayToIssuer
from ibispitch.requests.effects import SendRun
from ibispitch.requests.effects import SendRunReply
from ibispitch.requests.effects import ToCaller
from ibispitch.requests.effects import ToUpstream
from ibispitch.requests.messages import RunCancel
from ibispitch.requests.messages import RunRequest
from ibispitch.wire import decode_message
from ibispitch.wire import encode_message
from tests.requests.fakes import Budget
from tests.requests.fakes import ScriptedAdmission

AGENTS = ('a0', 'a1', 'a2')
DEADLINE_MS = 5000
#: Answers to a part that comes at the wrong time; they decide nothing.
ANSWERS_TO_PARTS = (Code.CONFLICT, Code.REQUEST_ENTITY_INCOMPLETE)
UPLOAD_BLOCKS = 3
SIZE_EXPONENT = 0
BLOCK_BYTES = 16


def body_of(request_id):
    return b'answer to ' + request_id


class RandomAdmission(ScriptedAdmission):
    """Decides at random among what the protocol allows."""

    def __init__(self, rng, peers):
        super().__init__()
        self.rng = rng
        self.peers = peers

    def decide(self, request, now):
        choices = [RunHere(), RunHere(), Refuse(1.0)]
        if not request.delegated:
            choices.append(Wait(now + 1.0))
            if not request.pinned:
                choices += [RunAt(p) for p in self.peers]
        self.script = [self.rng.choice(choices)]
        return super().decide(request, now)


class UpstreamModel:
    """Runs a request when it is received and answers it later."""

    def __init__(self, world):
        self.world = world
        self.restart()

    def restart(self):
        self.seen = set()
        self.ready = []
        self.blocks = Counter()

    def receive(self, flow, datagram):
        message = coap.decode(datagram)
        if not message.code.is_request() or (flow, message.mid) in self.seen:
            return
        self.seen.add((flow, message.mid))
        if message.code is Code.DELETE:
            return
        if self.world.rng.random() < 0.2:
            answer = Message(code=Code.SERVICE_UNAVAILABLE)
        else:
            answer = self.answer(flow, message)
        self.ready.append(
            (flow, coap.encode(answer, Type.ACK, message.mid, message.token))
        )

    def answer(self, flow, message):
        """Take a block in, or run the request."""
        request_id = coap.opaque_option(message, coap.REQUEST_ID)
        block = message.opt.block1
        if block is not None:
            if block.block_number not in (0, self.blocks[flow, request_id]):
                return Message(code=Code.REQUEST_ENTITY_INCOMPLETE)
            self.blocks[flow, request_id] = block.block_number + 1
            if block.more:
                return Message(code=Code.CONTINUE, block1=block)
        self.world.ran(request_id)
        return Message(
            code=Code.CHANGED, payload=body_of(request_id), block1=block
        )


class CallerModel:
    """A caller that follows the Echo rule."""

    def __init__(self, world, number):
        self.world = world
        self.flow = flow_id(('127.0.0.9', 20000 + number))
        self.cache = EchoCache()
        self.mid = number * 1000
        self.request_by_token = {}
        self.datagrams = []
        self.answers = {}
        self.echo_by_id = {}
        self.uploads = set()

    def new(self, is_upload=False):
        request_id = b'%02d-%06d' % (self.flow[5] % 100, self.mid)
        self.answers[request_id] = set()
        if is_upload:
            self.uploads.add(request_id)
        self.send(request_id, self.cache.get(self.world.now))

    def send(self, request_id, echo, block=0):
        if echo is not None:
            echo = self.cache.bind(request_id, echo, self.world.now)
            self.echo_by_id[request_id] = echo
        self.mid += 1
        message = Message(code=Code.POST, payload=request_id)
        if request_id in self.uploads:
            more = block + 1 < UPLOAD_BLOCKS
            message.opt.block1 = (block, more, SIZE_EXPONENT)
            message.payload = request_id.ljust(BLOCK_BYTES)
        message.opt.uri_path = ('submit',)
        message.opt.echo = echo
        coap.set_opaque_option(message, coap.REQUEST_ID, request_id)
        coap.set_uint_option(message, coap.DEADLINE_MS, DEADLINE_MS)
        token = self.mid.to_bytes(4, 'big')
        datagram = coap.encode(message, Type.CON, self.mid, token)
        self.request_by_token[token] = request_id
        self.datagrams.append(datagram)
        self.world.send('caller', self.flow, datagram)

    def repeat_request(self, rng):
        if self.echo_by_id:
            self.send(*rng.choice(list(self.echo_by_id.items())))

    def cancel(self, request_id):
        self.mid += 1
        message = Message(code=Code.DELETE)
        message.opt.uri_path = (*coap.REQUESTS_PATH, request_id.hex())
        datagram = coap.encode(message, Type.CON, self.mid, b'cancel')
        self.world.send('caller', self.flow, datagram)

    def receive(self, datagram):
        message = coap.decode(datagram)
        if message.mtype is Type.CON:
            ack = coap.empty(Type.ACK, message.mid)
            self.world.send('caller', self.flow, ack)
        request_id = self.request_by_token.pop(message.token, None)
        if message.code is Code.EMPTY or request_id is None:
            return
        if message.code is Code.UNAUTHORIZED:
            if request_id not in self.echo_by_id:
                self.cache.set(message.opt.echo, self.world.now)
                self.send(request_id, message.opt.echo)
            return
        if message.code is Code.CONTINUE:
            block = message.opt.block1.block_number + 1
            self.send(request_id, self.echo_by_id.get(request_id), block)
            return
        if message.code in ANSWERS_TO_PARTS:
            return
        outcome = coap.uint_option(message, coap.OUTCOME)
        if outcome == 2:
            self.cache.set(message.opt.echo, self.world.now)
        self.answers[request_id].add((outcome, message.payload))


class World:
    """All parts; the caller of its methods chooses what happens when."""

    def __init__(self, seed, make=CoapGate):
        self.rng = random.Random(seed)
        self.make = make
        self.now = 1000.0
        self.packets = []
        self.runs = Counter()
        self.not_run = set()
        self.violations = []
        self.answered = defaultdict(set)
        self.incarnation = 0
        self.upstreams = {a: UpstreamModel(self) for a in AGENTS}
        self.gates = {}
        self.predecessors = {}
        self.incarnations = {}
        for agent in AGENTS:
            self.start(agent)
        self.callers = [CallerModel(self, n) for n in range(2)]
        self.callers_by_flow = {c.flow: c for c in self.callers}

    def start(self, agent):
        self.incarnation += 1
        self.incarnations[agent] = self.incarnation
        peers = [other for other in AGENTS if other != agent]
        self.gates[agent] = self.make(
            GateSettings(
                incarnation=self.incarnation,
                echo_key=self.rng.randbytes(16),
            ),
            RandomAdmission(self.rng, peers),
            Budget(5),
            random.Random(self.incarnation),
        )
        self.spread_view()

    def spread_view(self):
        for agent, gate in self.gates.items():
            others = {a: i for a, i in self.incarnations.items() if a != agent}
            self.do(agent, gate.on_agents(others, self.now))

    def send(self, kind, *fields):
        self.packets.append((kind, *fields))

    def ran(self, request_id):
        self.runs[request_id] += 1
        if self.runs[request_id] > 1:
            self.violations.append(f'{request_id} ran twice')
        if request_id in self.not_run:
            self.violations.append(f'{request_id} ran after "not run"')

    def do(self, agent, effects):
        for effect in effects:
            match effect:
                case ToCaller(flow, datagram):
                    self.check_answer(flow, datagram)
                    self.send('answer', flow, datagram)
                case ToUpstream(flow, datagram):
                    self.upstreams[agent].receive(flow, datagram)
                case SendRun(to, message) | SendRunReply(to, message):
                    self.send('agent', agent, to, encode_message(message))
                case RelayToIssuer(to, flow, datagram):
                    self.send('relay', to, flow, datagram)

    def check_answer(self, flow, datagram):
        message = coap.decode(datagram)
        caller = self.callers_by_flow[flow]
        sent = [d for d in caller.datagrams if d[4:8] == message.token]
        if not sent or message.code is Code.EMPTY:
            return
        request_id = coap.opaque_option(coap.decode(sent[0]), coap.REQUEST_ID)
        outcome = coap.uint_option(message, coap.OUTCOME)
        if outcome == 1:
            self.not_run.add(request_id)
            if self.runs[request_id]:
                self.violations.append(f'{request_id} "not run" but it ran')
        elif message.code is Code.CHANGED:
            if message.payload != body_of(request_id):
                self.violations.append(f'{request_id} got another answer')

    def deliver(self, position, agent):
        """Deliver a packet; a caller's packet reaches any agent."""
        kind, *fields = self.packets.pop(position)
        if kind == 'caller':
            self.do(agent, self.gates[agent].on_caller(*fields, self.now))
            old = self.predecessors.get(agent)
            if old is not None and self.rng.random() < 0.1:
                self.do(agent, old.on_caller(*fields, self.now))
        elif kind == 'relay':
            to, flow, datagram = fields
            effects = self.gates[to].on_caller(flow, datagram, self.now, True)
            self.do(to, effects)
        elif kind == 'answer':
            flow, datagram = fields
            self.callers_by_flow[flow].receive(datagram)
        else:
            self.deliver_message(*fields)

    def deliver_message(self, sender, to, data):
        message, gate = decode_message(data), self.gates[to]
        if isinstance(message, RunRequest):
            take = gate.on_run_request
        elif isinstance(message, RunCancel):
            take = gate.on_run_cancel
        else:
            take = gate.on_run_reply
        self.do(to, take(sender, message, self.now))

    def deliver_any(self, rng):
        if self.packets:
            at = rng.randrange(len(self.packets))
            self.deliver(at, rng.choice(AGENTS))

    def upstream_answers(self, agent):
        ready = self.upstreams[agent].ready
        if ready:
            flow, datagram = ready.pop(self.rng.randrange(len(ready)))
            gate = self.gates[agent]
            self.do(agent, gate.on_upstream(flow, datagram, self.now))

    def advance(self, seconds):
        self.now += seconds
        for agent, gate in self.gates.items():
            self.do(agent, gate.tick(self.now))

    def restart_upstream(self, agent):
        self.upstreams[agent].restart()
        self.do(agent, self.gates[agent].on_upstream_lost(self.now))

    def succeed(self, agent):
        """Replace a gate by a successor process."""
        data = self.gates[agent].export(self.now)
        old = self.gates[agent]
        self.start(agent)
        self.do(agent, self.gates[agent].restore(data, self.now))
        self.predecessors[agent] = old
        self.spread_view()

    def move(self, source, target, flow):
        data, effects = self.gates[source].export_flow(flow, self.now)
        self.do(source, effects)
        if data is not None:
            for _ in range(2):
                adopted = self.gates[target].adopt_flow(data, self.now)
                self.do(target, adopted)

    def step(self, rng):
        """Do one of the things that can happen, mostly in good order."""
        caller = rng.choice(self.callers)
        (event,) = rng.choices(list(WEIGHT_BY_EVENT), WEIGHTS)
        event(self, caller, rng)

    def check(self):
        assert not self.violations, self.violations
        for caller in self.callers:
            for request_id, answers in caller.answers.items():
                kinds = {outcome for outcome, _ in answers}
                assert not {None, 1} <= kinds, (request_id, answers)
                results = {payload for kind, payload in answers if not kind}
                assert results <= {body_of(request_id)}


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
