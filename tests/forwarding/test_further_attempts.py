"""Tests of a balancer that recognises callers' further attempts."""

import random

import msgspec
import pytest

from ibispitch.decisionlog import DecisionLog
from ibispitch.fleet.core import Fleet
from ibispitch.forwarding.balancer import BalancerCore
from ibispitch.histograms import LatencyHistograms
from ibispitch.routes.model import RouteIndex
from ibispitch.settings.overload import Mode
from ibispitch.settings.overload import OverloadSettings
from ibispitch.settings.overload import RetrySettings
from ibispitch.waiting.core import ATTEMPT_TIMEOUT_S
from tests.forwarding.test_agent_core import CALLER
from tests.forwarding.test_agent_core import CODEC
from tests.forwarding.test_agent_core import opening
from tests.forwarding.test_agent_core import TABLE
from tests.forwarding.test_balancer_core import Outbox


def start(timeout_s=10.0) -> BalancerCore:
    """Return a balancer without upstreams, at which all openings wait."""
    core = BalancerCore(
        'accra', Fleet('10.1.0.1'), CODEC, Outbox(),
        DecisionLog('test', lambda: 0.0, len), LatencyHistograms(),
        random.Random(1), 0.0,
        OverloadSettings(retries=RetrySettings(Mode.ON)),
    )  # fmt: skip
    route = msgspec.structs.replace(TABLE.routes[0], timeout_s=timeout_s)
    table = msgspec.structs.replace(TABLE, routes=(route,))
    core.set_routes(RouteIndex(table))
    return core


def ask(core, port, now):
    """Send an opening of the caller; return what waits then."""
    packet = CODEC.from_caller(opening(CALLER._replace(port=port)))
    core.receive(packet, now)
    return core._queue.get(packet.flow)


def test_attempt_after_a_timeout_is_recognised():
    """Guards against attempts that make the request look new."""
    core = start()
    assert ask(core, 3000, 0.0).number == 1
    core.tick(ATTEMPT_TIMEOUT_S + 0.01)
    second = ask(core, 3001, ATTEMPT_TIMEOUT_S + 0.02)
    assert (second.asked_at, second.number) == (0.0, 2)


def test_attempt_at_another_balancer_is_recognised():
    """Guards against attempts that look new because of the fabric.

    The fabric hashes the port too, so that the next attempt may reach any
    balancer of the data centre.
    """
    core, other = start(), start()
    ask(core, 3000, 0.0)
    core.tick(ATTEMPT_TIMEOUT_S + 0.01)
    for ended in core._outbox.to_other_balancers:
        other.receive_ended_attempt(ended, ATTEMPT_TIMEOUT_S + 0.011)
    second = ask(other, 3001, ATTEMPT_TIMEOUT_S + 0.02)
    assert second.number == 2
    assert second.asked_at == pytest.approx(0.0, abs=0.02)


def test_request_after_the_last_attempt_is_new():
    """Guards against a new request that inherits an age.

    A caller makes three attempts; then another request may follow at once.
    """
    core = start()
    now = 0.0
    numbers = []
    for port in range(3000, 3004):
        waiting = ask(core, port, now)
        numbers.append(waiting.number)
        now = waiting.sent_at + ATTEMPT_TIMEOUT_S + 0.01
        core.tick(now)
    assert numbers == [1, 2, 3, 1]


@pytest.mark.parametrize('now', [1.05, 1.4, 1.45])
def test_request_after_the_timeout_is_new(now):
    """Guards against a new request that is refused for an earlier one.

    A caller that has reached the timeout makes no further attempt. Its next
    request inherited the age, so that no time was left for it.
    """
    core = start(timeout_s=1.0)
    ask(core, 3000, 0.0)
    core.tick(1.01)
    assert ask(core, 3001, now).number == 1
