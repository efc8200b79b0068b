"""The gate towards one caller and one upstream."""

from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type
from hypothesis import given
from hypothesis import strategies as st
import pytest

from ibispitch.admission.types import Refuse
from ibispitch.admission.types import RunOutcome
from ibispitch.admission.types import Wait
from ibispitch.requests import coap
from ibispitch.requests.effects import CloseSocket
from ibispitch.requests.effects import Count
from ibispitch.requests.effects import OpenSocket
from ibispitch.requests.effects import RelayToIssuer
from ibispitch.requests.effects import SendToCaller
from ibispitch.requests.effects import SendToUpstream
from ibispitch.requests.records import Record
from ibispitch.requests.records import RecordTable
from ibispitch.requests.registry import GateSettings
from ibispitch.requests.registry import make_gate as make_registered
from tests.requests.fakes import FLOW
from tests.requests.fakes import get_echo
from tests.requests.fakes import make_gate
from tests.requests.fakes import OTHER_FLOW
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
        gate.on_caller_datagram(FLOW, request(request_id=ID, echo=echo), 1.0)
    )
    again = request(request_id=ID, echo=echo, mid=2, token=b'\2')
    assert not to_upstream(gate.on_caller_datagram(FLOW, again, 1.1))
    answers = to_caller(gate.on_upstream_datagram(FLOW, respond(sent), 1.2))
    assert [(a.token, a.payload) for a in answers] == [
        (b'\1', b'done'),
        (b'\2', b'done'),
    ]
    third = request(request_id=ID, echo=echo, mid=3, token=b'\3')
    effects = gate.on_caller_datagram(FLOW, third, 200.0)
    assert not to_upstream(effects)
    assert to_caller(effects)[0].payload == b'done'


@given(st.binary(max_size=60), st.booleans())
def test_random_datagrams(noise, from_caller):
    """No datagram may raise, and a malformed one gets at most a 4.00."""
    gate = make_gate()
    take = (
        gate.on_caller_datagram if from_caller else gate.on_upstream_datagram
    )
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
        gate.on_caller_datagram(FLOW, bytes(datagram), 1.0),
        gate.tick(2.0),
        gate.tick(120.0),
    ):
        for sent in to_upstream(effects):
            gate.on_upstream_datagram(FLOW, respond(sent), 2.0)


def test_wait_then_expire():
    """A queued request that expires is not run, and stays so."""
    gate = make_gate()
    echo = get_echo(gate)
    gate.admission.slots = 0
    gate.admission.script = [Wait(until=3.0)]
    datagram = request(request_id=ID, echo=echo)
    (ack,) = to_caller(gate.on_caller_datagram(FLOW, datagram, 1.0))
    assert ack.code is Code.EMPTY
    (answer,) = to_caller(gate.tick(3.0))
    assert outcome_of(answer) == 1
    gate.admission.slots = 5
    late = request(request_id=ID, echo=echo, mid=9, token=b'\x09')
    effects = gate.on_caller_datagram(FLOW, late, 4.0)
    assert not to_upstream(effects)
    assert outcome_of(to_caller(effects)[0]) == 1


def counted(effects, name):
    return [dict(e.labels) for e in effects if getattr(e, 'name', '') == name]


def only_answer(effects):
    """Return the only answer, when the upstream was sent nothing."""
    assert not to_upstream(effects)
    (answer,) = to_caller(effects)
    return answer


def test_echo_of_another_flow_or_age_is_unknown():
    """An Echo that admits nothing must not give "not run" or a run."""
    gate = make_gate()
    other = get_echo(gate, flow=OTHER_FLOW)
    stale = get_echo(gate, now=0.0, mid=60001)
    forged = bytes(24)
    for mid, echo in enumerate((other, stale, forged, b'short')):
        datagram = request(
            request_id=ID, echo=echo, mid=mid, token=b'%d' % mid
        )
        answer = only_answer(gate.on_caller_datagram(FLOW, datagram, 301.0))
        assert outcome_of(answer) == 2
        assert len(answer.opt.echo) == 24


def test_echo_of_a_present_agent_is_relayed_once():
    """A relayed request must not go back and forth between two agents."""
    first, second = make_gate(1), make_gate(2)
    second.on_agents({'first': 1}, 0.0)
    datagram = request(request_id=ID, echo=get_echo(first))
    (effect,) = second.on_caller_datagram(FLOW, datagram, 1.0)
    assert effect == RelayToIssuer('first', FLOW, datagram)
    (again,) = second.on_caller_datagram(FLOW, datagram, 1.0)
    assert again == effect
    answer = only_answer(
        second.on_caller_datagram(FLOW, datagram, 1.1, relayed=True)
    )
    assert outcome_of(answer) == 2


def test_challenge_is_repeated_with_the_same_value():
    """Two values in copies of one challenge would admit two runs."""
    gate = make_gate()
    datagram = request(request_id=ID)
    (first,) = to_caller(gate.on_caller_datagram(FLOW, datagram, 0.0))
    (second,) = to_caller(gate.on_caller_datagram(FLOW, datagram, 3.0))
    assert first.opt.echo == second.opt.echo


def test_changed_body_under_a_used_id():
    """Another request under a used id must not get a foreign answer."""
    gate = make_gate()
    echo = get_echo(gate)
    (sent,) = to_upstream(
        gate.on_caller_datagram(FLOW, request(request_id=ID, echo=echo), 1.0)
    )
    gate.on_upstream_datagram(FLOW, respond(sent), 1.1)
    changed = request(request_id=ID, echo=echo, payload=b'x', mid=2)
    answer = only_answer(gate.on_caller_datagram(FLOW, changed, 1.2))
    assert answer.code is Code.CONFLICT


def test_refusal_comes_at_once_and_expired_too():
    """A request that is given up must not be held."""
    gate = make_gate()
    echo = get_echo(gate)
    gate.admission.script = [Refuse(3.0)]
    datagram = request(request_id=ID, echo=echo)
    answer = only_answer(gate.on_caller_datagram(FLOW, datagram, 1.0))
    assert (outcome_of(answer), answer.opt.max_age) == (1, 3)
    expired = request(request_id=b'expired!', echo=echo, deadline_ms=0, mid=2)
    answer = only_answer(gate.on_caller_datagram(FLOW, expired, 1.0))
    assert outcome_of(answer) == 1


def test_deadline_is_rewritten_and_ends_a_run():
    """A run past its deadline is unknown, even when its result comes."""
    gate = make_gate()
    datagram = request(request_id=ID, echo=get_echo(gate), deadline_ms=4000)
    gate.admission.slots = 0
    gate.admission.script = [Wait(until=9.0)]
    gate.on_caller_datagram(FLOW, datagram, 1.0)
    gate.admission.slots = 1
    (sent,) = to_upstream(gate.tick(2.0))
    message = coap.decode(sent)
    assert coap.uint_option(message, coap.DEADLINE_MS) == 3000
    assert message.opt.echo is None
    effects = gate.tick(5.0)
    (cancel,) = to_upstream(effects)
    assert coap.decode(cancel).code is Code.DELETE
    assert outcome_of(to_caller(effects)[0]) == 2
    late = gate.on_upstream_datagram(FLOW, respond(sent), 5.1)
    assert not to_caller(late)
    assert counted(late, 'gate_answers_dropped') == [{'reason': 'late'}]


def test_answers_are_matched_by_flow_and_token():
    """A crossed or copied answer must reach no caller."""
    gate = make_gate()
    get = request(Code.GET, ('status',))
    (sent,) = to_upstream(gate.on_caller_datagram(FLOW, get, 0.0))
    gate.on_caller_datagram(OTHER_FLOW, get, 0.0)
    crossed = gate.on_upstream_datagram(OTHER_FLOW, respond(sent), 0.1)
    assert not to_caller(crossed)
    assert counted(crossed, 'gate_answers_dropped') == [{'reason': 'crossed'}]
    assert to_caller(gate.on_upstream_datagram(FLOW, respond(sent), 0.2))
    copy = gate.on_upstream_datagram(FLOW, respond(sent), 0.3)
    assert not to_caller(copy)
    assert counted(copy, 'gate_answers_dropped') == [{'reason': 'duplicated'}]


def test_reused_message_id():
    """A restarted caller must not get the answer to its old request."""
    gate = make_gate()
    old = request(Code.GET, ('status',), token=b'old')
    new = request(Code.GET, ('status',), token=b'new')
    (first,) = to_upstream(gate.on_caller_datagram(FLOW, old, 0.0))
    (second,) = to_upstream(gate.on_caller_datagram(FLOW, new, 0.1))
    (answer,) = to_caller(
        gate.on_upstream_datagram(FLOW, respond(second), 0.2)
    )
    assert answer.token == b'new'
    (answer,) = to_caller(gate.on_upstream_datagram(FLOW, respond(first), 0.3))
    assert answer.token == b'old'


def test_early_acknowledgement_and_separate_answer():
    """A caller must not repeat a request that waits or runs."""
    gate = make_gate()
    get = request(Code.GET, ('status',))
    (sent,) = to_upstream(gate.on_caller_datagram(FLOW, get, 0.0))
    assert not to_caller(gate.tick(0.1))
    (ack,) = to_caller(gate.tick(0.25))
    assert (ack.code, ack.mtype, ack.mid) == (Code.EMPTY, Type.ACK, 1)
    (again,) = to_caller(gate.on_caller_datagram(FLOW, get, 0.4))
    assert again.mtype is Type.ACK
    (answer,) = to_caller(gate.on_upstream_datagram(FLOW, respond(sent), 0.5))
    assert (answer.mtype, answer.token) == (Type.CON, b'\1')
    (effect,) = gate.tick(2.6)
    assert coap.decode(effect.datagram).mid == answer.mid
    assert effect.tries == 1
    gate.on_caller_datagram(
        FLOW, coap.empty_message(Type.ACK, answer.mid), 2.7
    )
    assert not to_caller(gate.tick(60.0))


def test_retry_of_idempotent_requests_only_under_the_budget():
    """A lost run is repeated only if it may run twice, and not for free."""
    gate = make_gate(budget=1)
    get = request(Code.GET, ('status',))
    (sent,) = to_upstream(gate.on_caller_datagram(FLOW, get, 0.0))
    reset = coap.empty_message(Type.RST, coap.decode(sent).mid)
    (again,) = to_upstream(gate.on_upstream_datagram(FLOW, reset, 0.1))
    reset = coap.empty_message(Type.RST, coap.decode(again).mid)
    answer = only_answer(gate.on_upstream_datagram(FLOW, reset, 0.2))
    assert outcome_of(answer) == 2
    assert gate.admission.finishes == [RunOutcome.UNREACHABLE] * 2
    guarded = make_gate(budget=5)
    post = request(request_id=ID, echo=get_echo(guarded))
    (sent,) = to_upstream(guarded.on_caller_datagram(FLOW, post, 1.0))
    reset = coap.empty_message(Type.RST, coap.decode(sent).mid)
    answer = only_answer(guarded.on_upstream_datagram(FLOW, reset, 1.1))
    assert outcome_of(answer) == 2


def test_refused_datagram_proves_that_nothing_ran():
    """Without a socket at the upstream a POST may be tried again."""
    gate = make_gate()
    post = request(request_id=ID, echo=get_echo(gate))
    (sent,) = to_upstream(gate.on_caller_datagram(FLOW, post, 1.0))
    answer = only_answer(gate.on_upstream_refused(FLOW, sent, 1.0))
    assert outcome_of(answer) == 1
    assert not gate.on_upstream_refused(FLOW, sent, 1.1)


def test_refused_datagram_ends_what_the_upstream_was_running():
    """Runs and feeds of a dead upstream must not wait for a deadline."""
    gate = make_gate()
    feed = request(Code.GET, ('feed',), mid=5, token=b'feed', observe=0)
    (sent,) = to_upstream(gate.on_caller_datagram(FLOW, feed, 0.5))
    gate.on_upstream_datagram(
        FLOW, respond(sent, Code.CONTENT, observe=1), 0.6
    )
    post = request(request_id=ID, echo=get_echo(gate))
    assert to_upstream(gate.on_caller_datagram(FLOW, post, 1.0))
    get = request(Code.GET, ('status',))
    (sent,) = to_upstream(gate.on_caller_datagram(OTHER_FLOW, get, 1.1))
    effects = gate.on_upstream_refused(OTHER_FLOW, sent, 1.1)
    unknown, ended, refused = to_caller(effects)
    assert (unknown.token, outcome_of(unknown)) == (b'\1', 2)
    assert (ended.token, ended.opt.observe) == (b'feed', None)
    assert outcome_of(refused) == 1


def test_upload_that_fails_before_its_last_block_was_not_run():
    """Only the last block makes the upstream run an upload."""
    gate = make_gate()
    echo = get_echo(gate)
    blocks = [
        request(
            request_id=ID,
            echo=echo,
            mid=n + 1,
            token=b'%d' % n,
            payload=b'x' * 16,
            block1=(n, n < 2, 0),
        )
        for n in range(3)
    ]
    (sent,) = to_upstream(gate.on_caller_datagram(FLOW, blocks[0], 1.0))
    gate.on_upstream_datagram(
        FLOW, respond(sent, Code.CONTINUE, b'', block1=(0, True, 0)), 1.1
    )
    (second,) = to_upstream(gate.on_caller_datagram(FLOW, blocks[1], 1.2))
    for option in (coap.REQUEST_ID, coap.DEADLINE_MS):
        assert coap.opaque_option(coap.decode(sent), option) == (
            coap.opaque_option(coap.decode(second), option)
        )
    effects = gate.on_upstream_lost(1.3)
    assert outcome_of(to_caller(effects)[0]) == 1
    answer = only_answer(gate.on_caller_datagram(FLOW, blocks[2], 1.4))
    assert outcome_of(answer) == 1


def test_cancellation_of_waiting_and_running_requests():
    """A cancelled request ends soon, and is "not run" only if it waited."""
    gate = make_gate()
    echo = get_echo(gate)
    path = (*coap.REQUESTS_PATH, ID.hex())
    delete = request(Code.DELETE, path, mid=7, token=b'd')
    assert only_answer(
        gate.on_caller_datagram(FLOW, delete, 0.5)
    ).code.is_response()
    gate.admission.slots = 0
    gate.admission.script = [Wait(until=3.0)]
    gate.on_caller_datagram(FLOW, request(request_id=ID, echo=echo), 1.0)
    answers = to_caller(
        gate.on_caller_datagram(
            FLOW, request(Code.DELETE, path, mid=8, token=b'e'), 1.1
        )
    )
    assert [(a.token, outcome_of(a)) for a in answers] == [
        (b'\1', 1),
        (b'e', None),
    ]
    gate.admission.slots = 1
    running = request(request_id=b'running!', echo=echo, mid=3)
    gate.on_caller_datagram(FLOW, running, 2.0)
    path = (*coap.REQUESTS_PATH, b'running!'.hex())
    effects = gate.on_caller_datagram(
        FLOW, request(Code.DELETE, path, mid=9, token=b'f'), 2.1
    )
    assert coap.decode(to_upstream(effects)[0]).opt.uri_path == path
    assert outcome_of(to_caller(gate.tick(2.7))[-1]) == 2


def test_malformed_request_gets_bad_request():
    """A confirmable request that cannot be decoded is answered once."""
    gate = make_gate()
    (answer,) = to_caller(
        gate.on_caller_datagram(FLOW, b'\x41\2\0\7t\xd1', 0.0)
    )
    assert (answer.code, answer.token) == (Code.BAD_REQUEST, b't')


def test_records_are_bounded():
    """More requests than records must not run without a record."""
    table = RecordTable(max_records=1, max_answer_bytes=10)
    assert table.add(b'a', Record(10.0, 5.0, {}))
    assert not table.add(b'b', Record(10.0, 5.0, {}))
    table.expire(12.0)
    assert not table.state.by_request


def test_idle_flow_is_closed():
    """Sockets of flows that ended must not add up."""
    gate = make_gate(idle_timeout_s=100.0)
    get = request(Code.GET, ('status',))
    effects = gate.on_caller_datagram(FLOW, get, 0.0)
    assert OpenSocket(FLOW) in effects
    (sent,) = to_upstream(effects)
    gate.on_upstream_datagram(FLOW, respond(sent), 50.0)
    assert CloseSocket(FLOW) not in gate.tick(120.0)
    assert CloseSocket(FLOW) in gate.tick(151.0)


def test_datagram_gate_and_registry():
    """Opaque datagrams pass; an unknown protocol names the known ones."""
    settings = GateSettings(incarnation=1, echo_key=bytes(16), max_flows=1)
    gate = make_registered('datagram', settings, None, None, None)
    assert gate.on_caller_datagram(FLOW, b'?', 0.0) == [
        OpenSocket(FLOW),
        SendToUpstream(FLOW, b'?'),
    ]
    assert gate.on_caller_datagram(OTHER_FLOW, b'?', 0.0) == [
        Count('gate_flows_refused')
    ]
    assert gate.on_upstream_datagram(FLOW, b'!', 1.0) == [
        SendToCaller(FLOW, b'!')
    ]
    other = make_registered('datagram', settings, None, None, None)
    assert other.restore(gate.export(1.0), 1.0) == [OpenSocket(FLOW)]
    assert other.tick(700.0) == [CloseSocket(FLOW)]
    with pytest.raises(KeyError, match='coap, datagram'):
        make_registered('tcp', settings, None, None, None)
