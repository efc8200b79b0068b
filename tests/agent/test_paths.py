"""The choice of the balancer for an answer."""

from ibispitch.agent.paths import FRESH_S
from ibispitch.agent.paths import ReturnPaths
from ibispitch.ids import Address
from ibispitch.ids import flow_id

FLOW = flow_id(('127.0.0.1', 1))
BALANCERS = [Address(f'127.0.2.{index}', 7000) for index in range(3)]
DESTINATION = flow_id(('127.0.9.1', 5683))


def _paths():
    paths = ReturnPaths()
    paths.set_balancers(BALANCERS)
    paths.heard(FLOW, flow_id(BALANCERS[0]), DESTINATION, 10.0)
    return paths


def test_fresh_path_goes_back_the_same_way():
    """An answer must not take a way that the caller's packet did not."""
    paths = _paths()
    assert paths.choose(FLOW, 10.0 + FRESH_S) == (BALANCERS[0], DESTINATION)


def test_silent_or_retransmitted_takes_turns():
    """A lost balancer must not swallow all answers and notifications."""
    paths = _paths()
    later = 10.0 + 2 * FRESH_S
    assert {paths.choose(FLOW, later)[0] for _ in range(3)} == set(BALANCERS)
    assert {paths.choose(FLOW, 10.1, tries=1)[0] for _ in range(3)} == set(
        BALANCERS
    )


def test_unknown_flow_has_no_path():
    """An answer to a flow without packets must not be sent anywhere."""
    assert _paths().choose(flow_id(('127.0.0.1', 2)), 10.0) is None
