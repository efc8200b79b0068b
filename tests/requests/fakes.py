"""In-memory relatives of admission, the retry budget and the upstream."""

import random

from aiocoap import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type

from ibispitch.admission.types import Load
from ibispitch.admission.types import Refuse
from ibispitch.admission.types import RunHere
from ibispitch.admission.types import Wait
from ibispitch.ids import flow_id
from ibispitch.requests import coap
from ibispitch.requests import CoapGate
from ibispitch.requests import GateSettings
from ibispitch.requests.effects import SendToCaller
from ibispitch.requests.effects import SendToUpstream

FLOW = flow_id(('127.0.0.9', 40000))
OTHER_FLOW = flow_id(('127.0.0.9', 40001))


class ScriptedAdmission:
    """Returns scripted decisions, then RunHere while slots are free."""

    def __init__(self, slots=1000):
        self.slots = slots
        self.script = []
        self.running = set()
        self.waiting = []
        self.finishes = []
        self.asked = []

    def decide(self, request, now):
        self.asked.append(request)
        if self.script:
            decision = self.script.pop(0)
        elif len(self.running) < self.slots:
            decision = RunHere()
        else:
            decision = Refuse(2.0)
        if isinstance(decision, RunHere):
            self.running.add(request.run_id)
        elif isinstance(decision, Wait):
            self.waiting.append(request.run_id)
        return decision

    def record_start(self, run_id, now):
        self.running.add(run_id)

    def record_end(self, run_id, outcome, latency_s, now):
        assert run_id in self.running or run_id in self.waiting
        self.finishes.append(outcome)
        self.running.discard(run_id)
        if run_id in self.waiting:
            self.waiting.remove(run_id)

    def load(self):
        return Load(0, len(self.running), self.slots, len(self.waiting))

    def tick(self, now):
        ready = []
        while self.waiting and len(self.running) < self.slots:
            ready.append(self.waiting.pop(0))
            self.running.add(ready[-1])
        return ready


class Budget:
    """A retry budget of a fixed size."""

    def __init__(self, tokens=0):
        self.tokens = tokens

    def deposit(self, now):
        self.tokens += 0.1

    def try_spend(self, now):
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def make_gate(incarnation=1, slots=1000, budget=0, **settings):
    admission = ScriptedAdmission(slots)
    made = CoapGate(
        GateSettings(
            incarnation=incarnation,
            echo_key=incarnation.to_bytes(16, 'big'),
            **settings,
        ),
        admission,
        Budget(budget),
        random.Random(incarnation),
    )
    made.admission = admission
    return made


def request(
    code=Code.POST,
    path=('submit',),
    mid=1,
    token=b'\1',
    request_id=None,
    echo=None,
    deadline_ms=None,
    payload=b'',
    mtype=Type.CON,
    **options,
):
    """Return a request datagram."""
    message = Message(code=code, payload=payload, **options)
    message.opt.uri_path = path
    message.opt.echo = echo
    if request_id is not None:
        coap.set_opaque_option(message, coap.REQUEST_ID, request_id)
    if deadline_ms is not None:
        coap.set_uint_option(message, coap.DEADLINE_MS, deadline_ms)
    return coap.encode(message, mtype, mid, token)


def respond(sent, code=Code.CHANGED, payload=b'done', mtype=Type.ACK, **opts):
    """Return the upstream's answer to a request datagram."""
    asked = coap.decode(sent)
    message = Message(code=code, payload=payload, **opts)
    mid = asked.mid if mtype is Type.ACK else asked.mid ^ 0x8000
    return coap.encode(message, mtype, mid, asked.token)


def to_upstream(effects):
    return [e.datagram for e in effects if isinstance(e, SendToUpstream)]


def to_caller(effects):
    """Return the decoded messages to the caller."""
    return [
        coap.decode(e.datagram) for e in effects if isinstance(e, SendToCaller)
    ]


def get_echo(gate, now=0.0, flow=FLOW, mid=60000):
    """Return an Echo value by the challenge of the gate."""
    effects = gate.on_caller_datagram(
        flow, request(mid=mid, token=b'echo'), now
    )
    (answer,) = to_caller(effects)
    assert answer.code is Code.UNAUTHORIZED
    return answer.opt.echo


def outcome_of(message):
    return coap.uint_option(message, coap.OUTCOME)
