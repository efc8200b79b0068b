"""Tests of changes of the view at a running agent."""

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
from tests.admission.test_core import make_request

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


def _make_view(version, out=(), entry=ENTRY):
    return ServiceView(
        version=version,
        entry=entry,
        agents=[RECORD],
        datacentres_out=list(out),
        balancers=[],
    )


def _warm_cores():
    """Return cores whose ramp is over, and the time."""
    cores = ServiceCores(RECORD, ENTRY, random.Random(1), 0.0)
    cores.on_view(_make_view(1), 'a', 0.0)
    now = 0.0
    while cores.admission.limit.is_ramping:
        now += 0.05
        request = make_request(now)
        if isinstance(cores.limited_admission.decide(request, now), RunHere):
            cores.limited_admission.record_start(RunId(request.run_id), now)
            cores.limited_admission.record_end(
                request.run_id, RunOutcome.COMPLETED, 0.02, now + 0.02
            )
        assert now < 60
    return cores, now


def test_returned_datacentre_starts_a_ramp():
    """Guards against full load on the cold upstreams of a data centre that
    returns.
    """
    cores, now = _warm_cores()
    cores.on_view(_make_view(2, out=['accra']), 'a', now)
    assert cores.admission.limit.value == 5
    cores.on_view(_make_view(3), 'a', now + 1)
    assert cores.admission.limit.value < 1
    assert cores.admission.flows.ramp_share(now + 1) < 0.2


def test_changed_entry_takes_effect_at_once():
    """Guards against edits that take effect only when agents restart."""
    cores, now = _warm_cores()
    limits = msgspec.structs.replace(ENTRY.limits, deadline_max_ms=7000)
    entry = msgspec.structs.replace(ENTRY, ramp_s=9.0, limits=limits)
    cores.on_view(_make_view(2, entry=entry), 'a', now)
    assert cores.admission.limit.ramp_s == 9.0
    assert cores.gate._settings.deadline_max_s == 7.0
