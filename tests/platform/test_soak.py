"""The soak test with faults: a short seeded run, and its checks."""

import asyncio
import json
import time

import pytest

from ibispitch.ids import Address
from testbed.flow_callers import Flow
from testbed.flow_callers import Request
from testbed.flow_upstream import FlowUpstream
from testbed.flow_upstream import HeldFlow
from testbed.flow_upstream import Opened
from testbed.former_version import unpack_packages
from testbed.soak import absences
from testbed.soak import EVACUATE_S
from testbed.soak import QUOTE
from testbed.soak import SCAN
from testbed.soak import Soak
from testbed.soak import soak_once

SEED = 5
ABSENCES_SEED = 2000
SECONDS = 6.0
#: The landing before this version.
LAST_LANDING = '4fc3fa4'
#: One seed updates the hosts, the other returns them.
VERSIONS_SEED = 4001


@pytest.mark.process
async def test_short_soak(tmp_path):
    """Guards against promises that break only under overlapping faults."""
    soak = await soak_once(tmp_path, 40, SEED, SECONDS)
    assert soak.broken == []
    assert len(soak.injected) >= 3
    requests = [r for c in soak.deployment.callers for r in c.requests]
    assert len(requests) > 300


@pytest.mark.process
async def test_short_soak_with_absences(tmp_path):
    """Guards against resets of flows whose agent is away for long."""
    soak = await soak_once(
        tmp_path, 42, ABSENCES_SEED, SECONDS, has_absences=True
    )
    assert soak.broken == []
    assert {name for _, name in soak.injected} & absences.keys()


@pytest.mark.process
@pytest.mark.parametrize('seed', [VERSIONS_SEED, VERSIONS_SEED + 1])
async def test_short_soak_with_two_versions(tmp_path, seed):
    """Guards against faults while hosts are updated, or go back."""
    former = tmp_path / 'former'
    former.mkdir()
    unpack_packages(LAST_LANDING, former)
    soak = await soak_once(tmp_path, 43, seed, SECONDS, former=former)
    assert soak.broken == []
    replaced = [name for _, name in soak.injected if 'replace' in name]
    assert len(replaced) == len(soak.deployment.hosts)


async def test_packets_at_other_upstreams_are_noticed(soak):
    """Shows that the check of the paths of packets can fail."""
    host, own = soak.deployment.upstreams[0]
    other = FlowUpstream(
        asyncio.get_running_loop(), lambda raw: None, soak.rng
    )
    soak.deployment.upstreams.append((soak.deployment.agents[1], other))
    caller = Address('127.0.41.130', 1024)
    held = own.held_by_caller[caller] = HeldFlow(100.0)
    other.bounced_by_caller[caller] = [101.0, 101.2, 101.6]
    held.received_at = [100.5, 102.0]
    soak._check_paths()
    assert soak.broken == []
    held.received_at = [100.5, 103.2]
    soak.disturbances = [(host, 90.0, 97.5)]
    soak._check_paths()
    assert soak.broken == []
    balancer = soak.deployment.balancers[0]
    soak.disturbances = [(balancer, 90.0, 97.5)]
    soak.deployment.taken_by_caller[caller] = [(balancer, 100.9)]
    soak._check_paths()
    assert soak.broken == []
    # It was suspended when the packets came, and handled them afterwards.
    soak.deployment.taken_by_caller[caller] = [(balancer, 91.0)]
    soak.disturbances = [(balancer, 90.0, 100.9)]
    soak._check_paths()
    assert soak.broken == []
    soak.disturbances = [(balancer, 90.0, 90.9)]
    soak.deployment.taken_by_caller[caller] = [(balancer, 100.9)]
    soak._check_paths()
    assert len(soak.broken) == 1
    soak.broken.clear()
    soak.disturbances = [(host, 90.0, 96.5), (balancer, 90.0, 96.5)]
    soak._check_paths()
    promises = [broken.promise for broken in soak.broken]
    assert promises == ['packets reach their upstream']


@pytest.fixture
async def soak(tmp_path):
    soak = Soak(tmp_path, 41, SEED, SECONDS)
    deployment = soak.deployment
    host = deployment.agents[0]
    upstream = FlowUpstream(
        asyncio.get_running_loop(), lambda raw: None, deployment.rng
    )
    deployment.upstreams.append((host, upstream))
    soak.callers.append(deployment.add_caller('accra', QUOTE))
    yield soak
    await deployment.stop()


def broken_promises(soak) -> list[str]:
    soak._check()
    return [broken.promise for broken in soak.broken]


async def test_a_request_that_ran_twice_is_noticed(soak):
    """Shows that the check of requests that run twice can fail."""
    request = Request(0.0, 1.0, 1.0)
    soak.callers[0].requests.append(request)
    upstream = soak.deployment.upstreams[0][1]
    upstream.runs.append(request.body)
    assert broken_promises(soak) == []
    upstream.runs.append(request.body)
    assert broken_promises(soak) == ['nothing runs twice']


async def test_a_reset_flow_that_is_held_is_noticed(soak):
    """Shows that the check of open flows can fail."""
    caller = soak.callers[0]
    flow = Flow(caller, 1024)
    flow.end()
    caller.reset_flows.append(flow)
    assert broken_promises(soak) == []
    caller.reset_flows.append(flow)
    upstream = soak.deployment.upstreams[0][1]
    upstream.holds = lambda address: address == flow.address
    assert broken_promises(soak) == ['open flows live on']


async def test_a_flow_at_another_service_is_noticed(soak):
    """Shows that the check of the service can fail."""
    upstream = soak.deployment.upstreams[0][1]
    caller = Address('127.0.41.130', 1024)
    now = time.monotonic()
    upstream.openings.append(Opened(now, caller, QUOTE.destination))
    assert broken_promises(soak) == []
    upstream.openings.append(Opened(now, caller, SCAN.destination))
    assert broken_promises(soak) == ['flows reach their service']


async def test_a_flow_in_a_datacentre_out_is_noticed(soak):
    """Shows that the check of data centres that are out can fail."""
    upstream = soak.deployment.upstreams[0][1]
    caller = Address('127.0.41.130', 1024)
    soak._out_since_by_datacentre['accra'] = 100.0
    early = Opened(100.0 + EVACUATE_S, caller, QUOTE.destination)
    upstream.openings.append(early)
    assert broken_promises(soak) == []
    upstream.openings.append(early._replace(at=100.1 + EVACUATE_S))
    assert broken_promises(soak) == ['nothing new where taken out']


async def test_an_unreadable_message_is_noticed(soak, tmp_path):
    """Shows that the check of the logs can fail."""
    host = soak.deployment.agents[0]
    host.log_path = tmp_path / 'agent.log'
    lines = [{'event': 'fleet.agent'}, {'event': 'process.error'}]
    host.log_path.write_text('\n'.join(map(json.dumps, lines)))
    soak._check_log(host)
    assert [broken.promise for broken in soak.broken] == ['no errors']
    lines += [{'event': 'peer.unreadable'}]
    host.log_path.write_text('\n'.join(map(json.dumps, lines)))
    soak.broken.clear()
    soak._check_log(host)
    assert {broken.promise for broken in soak.broken} == {
        'no errors',
        'messages are read',
    }


async def test_damaged_and_mixed_packets_are_noticed(soak):
    """Shows that the checks of packets can fail."""
    soak.deployment.upstreams[0][1].damaged_packets = 1
    soak.callers[0].bad_answers = 1
    assert broken_promises(soak) == [
        'answers are whole and their own',
        'packets arrive whole',
    ]
