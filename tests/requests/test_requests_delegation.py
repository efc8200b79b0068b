"""Delegated runs, and flows that move between owners."""

from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type

from ibispitch.admission.types import Refuse
from ibispitch.admission.types import RunAt
from ibispitch.requests import coap
from ibispitch.requests.effects import SendRun
from ibispitch.requests.effects import SendRunReply
from ibispitch.requests.messages import ReplyOutcome
from ibispitch.wire import decode_message
from ibispitch.wire import encode_message
from tests.requests.fakes import FLOW
from tests.requests.fakes import get_echo
from tests.requests.fakes import make_gate
from tests.requests.fakes import outcome_of
from tests.requests.fakes import request
from tests.requests.fakes import respond
from tests.requests.fakes import to_caller
from tests.requests.fakes import to_upstream

ID = b'request1'


def sent_to_agents(effects):
    """Return the messages to other agents, encoded and decoded."""
    return [
        decode_message(encode_message(e.message))
        for e in effects
        if isinstance(e, SendRun | SendRunReply)
    ]


def make_pair(**owner_settings):
    owner, delegate = make_gate(1, **owner_settings), make_gate(2)
    owner.on_agents({'delegate': 2}, 0.0)
    return owner, delegate


def delegate_post(owner, now=1.0):
    owner.admission.script = [RunAt('delegate')]
    post = request(request_id=ID, echo=get_echo(owner))
    (run,) = sent_to_agents(owner.on_caller_datagram(FLOW, post, now))
    return run


def test_run_request_is_repeated_after_a_lost_reply():
    """The delegate must repeat its reply, and must not run it again."""
    owner, delegate = make_pair()
    run = delegate_post(owner)
    (sent,) = to_upstream(delegate.on_run_request('owner', run, 1.1))
    (running,) = sent_to_agents(delegate.on_run_request('owner', run, 1.2))
    assert running.outcome is ReplyOutcome.RUNNING
    delegate.on_upstream_datagram(FLOW, respond(sent), 1.3)
    (again,) = sent_to_agents(owner.tick(1.6))
    assert again.run_id == run.run_id
    effects = delegate.on_run_request('owner', again, 1.7)
    assert not to_upstream(effects)
    (reply,) = sent_to_agents(effects)
    assert reply.load is not None
    (answer,) = to_caller(owner.on_run_reply('delegate', reply, 1.8))
    assert answer.payload == b'done'
    assert not to_caller(owner.on_run_reply('delegate', reply, 1.9))


def test_run_refused_by_a_delegate_never_runs():
    """A copy of a refused run must not run later when a slot is free."""
    owner, delegate = make_pair()
    run = delegate_post(owner)
    delegate.admission.script = [Refuse(2.0)]
    (reply,) = sent_to_agents(delegate.on_run_request('owner', run, 1.1))
    assert reply.outcome is ReplyOutcome.NOT_RUN
    effects = delegate.on_run_request('owner', run, 1.2)
    assert not to_upstream(effects)
    assert to_upstream(owner.on_run_reply('delegate', reply, 1.3))


def test_lost_delegate():
    """If the delegate is lost, a POST is unknown and a GET is retried."""
    owner, _ = make_pair(budget=1)
    delegate_post(owner)
    (answer,) = [
        a for a in to_caller(owner.on_agents({}, 2.0)) if outcome_of(a)
    ]
    assert outcome_of(answer) == 2
    owner.on_agents({'delegate': 2}, 2.0)
    owner.admission.script = [RunAt('delegate')]
    owner.on_caller_datagram(FLOW, request(Code.GET, ('status',), mid=5), 3.0)
    for at in range(1, 6):
        assert not to_upstream(owner.tick(3.0 + at / 2))
    assert to_upstream(owner.tick(6.1))


def test_restarted_delegate_does_not_run_an_old_copy():
    """A restarted delegate has lost its records of what it has run."""
    owner, _ = make_pair()
    run = delegate_post(owner)
    restarted = make_gate(3)
    effects = restarted.on_run_request('owner', run, 2.0)
    assert not to_upstream(effects)
    (reply,) = sent_to_agents(effects)
    assert reply.outcome is ReplyOutcome.UNKNOWN


def test_exchange_stays_at_the_delegate():
    """Later blocks must come from the upstream that gave the first one."""
    owner, delegate = make_pair()
    owner.admission.script = [RunAt('delegate')]
    first = request(Code.GET, ('large',), deadline_ms=9000)
    (run,) = sent_to_agents(owner.on_caller_datagram(FLOW, first, 1.0))
    (sent,) = to_upstream(delegate.on_run_request('owner', run, 1.0))
    answer = respond(sent, Code.CONTENT, b'x' * 16, block2=(0, True, 0))
    (reply,) = sent_to_agents(delegate.on_upstream_datagram(FLOW, answer, 1.1))
    owner.on_run_reply('delegate', reply, 1.2)
    second = request(
        Code.GET, ('large',), mid=2, deadline_ms=9000, block2=(1, False, 0)
    )
    (run,) = sent_to_agents(owner.on_caller_datagram(FLOW, second, 1.5))
    (again,) = to_upstream(delegate.on_run_request('owner', run, 1.5))
    before, after = coap.decode(sent), coap.decode(again)
    assert coap.uint_option(before, coap.DEADLINE_MS) == coap.uint_option(
        after, coap.DEADLINE_MS
    )


def register(gate, now=1.0):
    get = request(Code.GET, ('feed',), token=b'feed', observe=0)
    (sent,) = to_upstream(gate.on_caller_datagram(FLOW, get, now))
    effects = gate.on_upstream_datagram(
        FLOW, respond(sent, Code.CONTENT, observe=7), now
    )
    (answer,) = to_caller(effects)
    return sent, answer


def notify(gate, sent, number, now):
    datagram = respond(
        sent, Code.CONTENT, b'%d' % number, Type.CON, observe=number
    )
    return to_caller(gate.on_upstream_datagram(FLOW, datagram, now))


def test_moved_feed_keeps_its_numbers_increasing():
    """A caller ignores notifications whose number is not newer."""
    old, new = make_gate(1), make_gate(2)
    sent, first = register(old)
    (second,) = notify(old, sent, 9, 2.0)
    assert not notify(old, sent, 8, 2.1)
    data, effects = old.export_flow(FLOW, 3.0)
    (end,) = to_upstream(effects)
    assert coap.decode(end).opt.observe == 1
    assert not notify(old, sent, 10, 3.1)
    (replay,) = to_upstream(new.adopt_flow(data, 50.0))
    assert not new.adopt_flow(data, 50.1)
    assert coap.decode(replay).opt.observe == 0
    (third,) = to_caller(
        new.on_upstream_datagram(
            FLOW, respond(replay, Code.CONTENT, observe=0), 50.2
        )
    )
    (fourth,) = notify(new, replay, 1, 50.3)
    numbers = [m.opt.observe for m in (first, second, third, fourth)]
    assert numbers == sorted(set(numbers))
    assert {m.token for m in (first, second, third, fourth)} == {b'feed'}


def test_replay_is_repeated_when_refused():
    """If the new upstream refuses a moved feed, the feed must not end."""
    old, new = make_gate(1), make_gate(2)
    register(old)
    data, _ = old.export_flow(FLOW, 3.0)
    new.admission.script = [Refuse(1.0)]
    assert not to_caller(new.adopt_flow(data, 4.0))
    (replay,) = to_upstream(new.tick(5.1))
    assert to_caller(
        new.on_upstream_datagram(
            FLOW, respond(replay, Code.CONTENT, observe=0), 5.2
        )
    )


def test_feed_of_a_lost_caller_ends():
    """Unacknowledged notifications must end the observation."""
    gate = make_gate()
    sent, _ = register(gate)
    for at in range(1, 80):
        notify(gate, sent, 7 + at, float(at))
        ended = to_upstream(gate.tick(at + 0.5))
        if any(coap.decode(d).opt.observe == 1 for d in ended):
            return
    raise AssertionError('the observation is still open')


def test_reset_of_a_notification_ends_the_feed():
    """A caller that has dropped a feed must get no more notifications."""
    gate = make_gate()
    sent, _ = register(gate)
    (message,) = notify(gate, sent, 8, 2.0)
    reset = coap.empty_message(Type.RST, message.mid)
    (end,) = to_upstream(gate.on_caller_datagram(FLOW, reset, 2.1))
    assert coap.decode(end).opt.observe == 1
    assert not notify(gate, sent, 9, 2.2)


def test_successor_finishes_runs_and_feeds():
    """A planned replacement must not interrupt requests or feeds."""
    old = make_gate(1)
    sent, first = register(old)
    echo = get_echo(old)
    post = request(request_id=ID, echo=echo, mid=3, token=b'post')
    (run,) = to_upstream(old.on_caller_datagram(FLOW, post, 2.0))
    new = make_gate(9)
    new.restore(old.export(2.1), 2.2)
    assert not old.on_caller_datagram(FLOW, post, 2.3)
    (answer,) = to_caller(new.on_upstream_datagram(FLOW, respond(run), 2.4))
    assert answer.token == b'post'
    (second,) = notify(new, sent, 8, 2.5)
    assert second.opt.observe > first.opt.observe
    again = request(request_id=b'request2', echo=echo, mid=4)
    assert to_upstream(new.on_caller_datagram(FLOW, again, 3.0))
