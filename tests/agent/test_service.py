"""Changes of the view at a running agent."""

import random

import msgspec

from ibispitch.admission.types import RunHere
from ibispitch.admission.types import RunId
from ibispitch.admission.types import RunOutcome
from ibispitch.agent.service import ServiceCores
from ibispitch.catalogue.documents import Entry
from ibispitch.ids import Address
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import MemberState
from ibispitch.membership.records import ServiceView
from tests.admission.test_core import info

RECORD = AgentRecord(
    agent_id='a',
    service='bench',
    datacentre='accra',
    address=Address('127.0.0.1', 1),
    incarnation=1,
    sequence=1,
    state=MemberState.ACTIVE,
    slots=5,
    connections=2000,
    parent='b',
)
ENTRY = Entry('bench', 'o', 'c', ['127.0.0.1:5683'], ramp_s=2.0)


def _view(version, out=(), entry=ENTRY):
    return ServiceView(
        version=version,
        entry=entry,
        agents=[RECORD],
        datacentres_out=list(out),
        balancers=[],
    )


def _warm_cores():
    """Return cores whose upstream has come through its ramp."""
    cores = ServiceCores(RECORD, ENTRY, random.Random(1), 0.0)
    cores.on_view(_view(1), 'a', 0.0)
    now = 0.0
    while cores.admission.limit.is_ramping:
        now += 0.05
        request = info(now)
        if isinstance(cores.limited.decide(request, now), RunHere):
            cores.limited.record_start(RunId(request.run_id), now)
            cores.limited.record_end(
                request.run_id, RunOutcome.COMPLETED, 0.02, now + 0.02
            )
        assert now < 60
    return cores, now


def test_returned_datacentre_ramps():
    """Upstreams that return all at once are cold and must not be filled."""
    cores, now = _warm_cores()
    cores.on_view(_view(2, out=['accra']), 'a', now)
    assert cores.admission.limit.value == 5
    cores.on_view(_view(3), 'a', now + 1)
    assert cores.admission.limit.value < 1
    assert cores.admission.flows.ramp_share(now + 1) < 0.2


def test_changed_entry_is_in_force_at_once():
    """An accepted edit must not wait for a restart of the agents."""
    cores, now = _warm_cores()
    limits = msgspec.structs.replace(ENTRY.limits, deadline_max_ms=7000)
    entry = msgspec.structs.replace(ENTRY, ramp_s=9.0, limits=limits)
    cores.on_view(_view(2, entry=entry), 'a', now)
    assert cores.admission.limit.ramp_s == 9.0
    assert cores.gate._settings.deadline_max_s == 7.0
