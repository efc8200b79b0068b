"""The gate towards one caller and one upstream."""

from aiocoap.numbers.codes import Code
from hypothesis import given
from hypothesis import strategies as st

from ibispitch.admission.types import Wait
from tests.requests.fakes import FLOW
from tests.requests.fakes import get_echo
from tests.requests.fakes import make_gate
from tests.requests.fakes import outcome_of
from tests.requests.fakes import request
from tests.requests.fakes import respond
from tests.requests.fakes import to_caller
from tests.requests.fakes import to_upstream

ID = b'request1'


def test_duplicate_during_and_after_the_run():
    """A repeated request must not reach the upstream a second time."""
    gate = make_gate()
    echo = get_echo(gate)
    (sent,) = to_upstream(
        gate.on_caller(FLOW, request(request_id=ID, echo=echo), 1.0)
    )
    again = request(request_id=ID, echo=echo, mid=2, token=b'\2')
    assert not to_upstream(gate.on_caller(FLOW, again, 1.1))
    answers = to_caller(gate.on_upstream(FLOW, respond(sent), 1.2))
    assert [(a.token, a.payload) for a in answers] == [
        (b'\1', b'done'),
        (b'\2', b'done'),
    ]
    third = request(request_id=ID, echo=echo, mid=3, token=b'\3')
    effects = gate.on_caller(FLOW, third, 200.0)
    assert not to_upstream(effects)
    assert to_caller(effects)[0].payload == b'done'


@given(st.binary(max_size=60), st.booleans())
def test_random_datagrams(noise, from_caller):
    """No datagram may raise, and a malformed one gets at most a 4.00."""
    gate = make_gate()
    take = gate.on_caller if from_caller else gate.on_upstream
    take(FLOW, noise, 0.0)


@given(st.data())
def test_corrupted_requests(data):
    """A flipped byte in a well-formed request must not raise."""
    gate = make_gate()
    datagram = bytearray(
        request(
            request_id=ID,
            echo=get_echo(gate),
            deadline_ms=500,
            payload=b'x' * 20,
            block1=(1, True, 2),
        )
    )
    at = data.draw(st.integers(0, len(datagram) - 1))
    datagram[at] = data.draw(st.integers(0, 255))
    for effects in (
        gate.on_caller(FLOW, bytes(datagram), 1.0),
        gate.tick(2.0),
        gate.tick(120.0),
    ):
        for sent in to_upstream(effects):
            gate.on_upstream(FLOW, respond(sent), 2.0)


def test_wait_then_expire():
    """A queued request that expires is not run, and stays so."""
    gate = make_gate()
    echo = get_echo(gate)
    gate.admission.slots = 0
    gate.admission.script = [Wait(until=3.0)]
    datagram = request(request_id=ID, echo=echo)
    (ack,) = to_caller(gate.on_caller(FLOW, datagram, 1.0))
    assert ack.code is Code.EMPTY
    (answer,) = to_caller(gate.tick(3.0))
    assert outcome_of(answer) == 1
    gate.admission.slots = 5
    late = request(request_id=ID, echo=echo, mid=9, token=b'\x09')
    effects = gate.on_caller(FLOW, late, 4.0)
    assert not to_upstream(effects)
    assert outcome_of(to_caller(effects)[0]) == 1
