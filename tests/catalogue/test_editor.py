"""Edits with failures of the store, races and invalid values."""

import asyncio
import time
from unittest.mock import AsyncMock

import pytest

from ibispitch.catalogue.checks import parse_entry
from ibispitch.catalogue.documents import Limits
from ibispitch.catalogue.documents import MAX_EDIT_IDS
from ibispitch.catalogue.editor import read_catalogue
from ibispitch.catalogue.errors import EditFault
from ibispitch.store import StoreError
from ibispitch.store import StoreFault
from testbed.store import Faults
from tests.catalogue.conftest import make_entry

KEY = 'ibispitch/test/entries/returns'


def versions(server, key=KEY):
    return [item for item in server.core.history if item.key == key.encode()]


@pytest.mark.parametrize('is_hanging', [False, True])
@pytest.mark.parametrize('fault', ['lose_answers', 'lose_requests'])
async def test_lost_answer_is_accepted_once(
    server, make_editor, fault, is_hanging
):
    """Guards against a lost answer that fails the edit or repeats it."""
    faults = Faults(lose_by_hanging=is_hanging, **{fault: 1})
    server.set_faults(faults)
    accepted = (await make_editor().set(make_entry())).ok
    written = versions(server)
    assert [item.mod_revision for item in written] == [accepted.version]
    assert accepted.edit_id.encode() in written[0].value


async def test_lost_answer_with_a_later_edit(server, make_editor, store):
    """Guards against reporting an edit that was made as a conflict."""
    await make_editor().set(make_entry())
    server.set_faults(Faults(lose_answers=1))
    first = asyncio.create_task(make_editor().edit('returns', {'ramp_s': 20}))
    while server.faults.lose_answers:
        await asyncio.sleep(0)
    bob = make_editor('bob')
    second = (await bob.edit('returns', {'idle_timeout_s': 30})).ok
    accepted = (await first).ok
    assert accepted.superseded or accepted.version < second.version
    entry = (await read_catalogue(store, 'test')).ok.entry('returns')
    assert (entry.ramp_s, entry.idle_timeout_s) == (20, 30)


async def test_unknown_outcome_is_reported(server, make_editor):
    """Guards against a wrong outcome when the id was dropped.

    The document lists only the last edits, so after many edits it does not
    show whether an earlier one was made.
    """
    await make_editor().set(make_entry())
    server.set_faults(Faults(lose_requests=1, lose_by_hanging=True))
    first = asyncio.create_task(make_editor().edit('returns', {'ramp_s': 9}))
    while server.faults.lose_requests:
        await asyncio.sleep(0)
    bob = make_editor('bob')
    for number in range(MAX_EDIT_IDS):
        assert (await bob.edit('returns', {'ramp_s': number + 1})).is_ok()
    assert (await first).error.fault is EditFault.OUTCOME_UNKNOWN


async def test_store_lost_in_the_middle(make_editor, store, monkeypatch):
    """Guards against "not made" for a write that may have been made."""
    lost = StoreError(StoreFault.TIMEOUT, '', may_have_taken_effect=True)
    unavailable = StoreError(StoreFault.UNAVAILABLE, '')
    monkeypatch.setattr(
        store, 'txn', AsyncMock(side_effect=[lost, unavailable, unavailable])
    )
    error = (await make_editor().set(make_entry())).error
    assert error.fault is EditFault.OUTCOME_UNKNOWN
    assert error.edit_id in error.remedy


async def test_store_outage_is_reported_at_once(server, make_editor):
    """Guards against an edit that blocks until the store answers."""
    server.set_faults(Faults(delay_s=3))
    begin = time.monotonic()
    timed_out = (await make_editor().set(make_entry())).error
    await server.stop()
    unavailable = (await make_editor().take_out_of_service('tema')).error
    assert time.monotonic() - begin < 1.5
    for error in (timed_out, unavailable):
        assert error.fault is EditFault.STORE_UNAVAILABLE
        assert 'repeat the edit' in error.remedy
    assert not server.core.history


async def test_racing_operators(server, make_editor):
    """Guards against two concurrent edits that both succeed."""
    await make_editor().set(make_entry())
    server.set_faults(Faults(delay_s=0.05))
    outcomes = await asyncio.gather(
        make_editor('alice').edit('returns', {'ramp_s': 20}),
        make_editor('bob').edit('returns', {'ramp_s': 30}),
    )
    [accepted] = [o.ok for o in outcomes if o.is_ok()]
    [error] = [o.error for o in outcomes if o.is_error()]
    assert error.fault is EditFault.CONFLICT
    assert error.other.edit_id == accepted.edit_id
    assert f'by {error.other.operator} at {error.other.time}' in str(error)
    assert 'repeat the edit' in error.remedy


async def test_edit_of_a_version_that_is_gone(make_editor):
    """Guards against an edit of a version that the operator has not seen."""
    editor = make_editor()
    first = (await editor.set(make_entry(), expected=0)).ok
    again = await editor.set(make_entry(ramp_s=3), expected=0)
    assert again.error.fault is EditFault.CONFLICT
    second = (await editor.remove('returns', first.version)).ok
    late = await editor.edit('returns', {'ramp_s': 4}, first.version)
    assert late.error.fault is EditFault.CONFLICT
    missing = await editor.edit('returns', {'ramp_s': 4})
    assert missing.error.fault is EditFault.NOT_FOUND
    created = (await editor.set(make_entry(), expected=0)).ok
    assert first.version < second.version < created.version


async def test_stale_read_does_not_overwrite(server, make_editor):
    """Guards against an edit based on a read from a lagging replica."""
    editor = make_editor()
    await editor.set(make_entry())
    await editor.edit('returns', {'ramp_s': 20})
    server.set_faults(Faults(stale_by=1))
    error = (await editor.edit('returns', {'ramp_s': 30})).error
    assert error.fault is EditFault.CONFLICT


async def test_stale_check_of_addresses(make_editor, store, monkeypatch):
    """Guards against a duplicate address that a lagging replica hides."""
    editor = make_editor()
    stale_entries = await store.range('ibispitch/test/entries/')
    await editor.set(make_entry('bench', port=1))
    monkeypatch.setattr(store, 'range', AsyncMock(return_value=stale_entries))
    second = await editor.set(make_entry('page-intake', port=1))
    assert second.error.fault is EditFault.STORE_UNAVAILABLE


async def test_repeated_check_keeps_its_base(make_editor, store, monkeypatch):
    """Guards against a second attempt on top of a concurrent edit."""
    await make_editor().set(make_entry())
    bob = make_editor('bob')
    write = store.txn

    async def race(*arguments):
        monkeypatch.undo()
        await bob.set(make_entry('bench', port=1))
        result = await write(*arguments)
        await bob.edit('returns', {'ramp_s': 20})
        return result

    monkeypatch.setattr(store, 'txn', race)
    outcome = await make_editor().set(make_entry(port=2))
    assert outcome.error.fault is EditFault.CONFLICT


async def test_racing_entries_do_not_share_an_address(server, make_editor):
    """Guards against concurrent edits that add the same address."""
    server.set_faults(Faults(delay_s=0.02))
    outcomes = await asyncio.gather(
        *(
            make_editor().set(make_entry(service))
            for service in ('returns', 'bench', 'scan-intake')
        )
    )
    faults = [o.error.fault for o in outcomes if o.is_error()]
    assert faults == [EditFault.ADDRESS_IN_USE] * 2


async def test_service_number_collision(make_editor):
    """Guards against packets of one service reaching another."""
    editor = make_editor(number_of=len)
    assert (await editor.set(make_entry('abc'))).is_ok()
    error = (await editor.set(make_entry('xyz', port=2))).error
    assert error.fault is EditFault.NUMBER_COLLISION
    assert 'abc' in error.message


@pytest.mark.parametrize(
    ('fields', 'word'),
    [
        ({'addresses': []}, 'no address'),
        ({'addresses': ['host:1']}, 'host'),
        ({'addresses': ['0.0.0.0:1']}, 'not the address of a host'),
        ({'addresses': ['10.0.0.1:1', '10.0.0.1:01']}, 'twice'),
        ({'limits': {'requests_per_s': float('inf')}}, 'inf'),
        (
            {'limits': {'requests_per_s': 9, 'class_requests_per_s': 1}},
            'never be reached',
        ),
        ({'limits': {'flows': 0}}, 'flows'),
        ({'ramp_s': -1}, 'ramp_s'),
        ({'protocol': 'quic'}, 'protocol'),
        ({'adresses': []}, 'adresses'),
        ({'service': '..'}, 'URL'),
    ],
)
def test_invalid_entry(fields, word):
    """Guards against an entry that balancers or agents cannot use."""
    document = {
        'service': 'returns',
        'owner': 'omaheke',
        'class': 'interactive',
        'addresses': ['10.0.0.1:1'],
    }
    assert parse_entry(document).is_ok()
    error = parse_entry(document | fields).error
    assert error.fault is EditFault.INVALID
    assert word in error.message


async def test_owner_edits_only_own_entries(server, make_editor):
    """Guards against an owner who changes the entry of another owner."""
    await make_editor().set(make_entry())
    asante = make_editor('asante-token', frozenset({'asante'}))
    own = make_entry('bench', port=2, owner='asante')
    assert (await asante.set(own)).is_ok()
    refused = [
        await asante.edit('returns', {'ramp_s': 1}),
        await asante.set(make_entry(owner='asante')),
        await asante.remove('returns'),
        await asante.edit('bench', {'owner': 'omaheke'}),
        await asante.take_out_of_service('tema'),
    ]
    faults = [outcome.error.fault for outcome in refused]
    assert faults == [EditFault.FORBIDDEN] * 5
    assert len(versions(server)) == 1


async def test_malformed_document_can_be_replaced(make_editor, store):
    """Guards against a malformed value that can never be replaced."""
    await store.put(KEY, b'not json')
    edited = await make_editor().edit('returns', {'ramp_s': 1})
    assert edited.error.fault is EditFault.MALFORMED_DOCUMENT
    owner = make_editor('omaheke-token', frozenset({'omaheke'}))
    refused = await owner.set(make_entry())
    assert refused.error.fault is EditFault.FORBIDDEN
    assert (await make_editor().set(make_entry())).is_ok()


async def test_merge_and_repeat(server, make_editor, store):
    """Guards against edits that lose fields and writes without a change."""
    editor = make_editor()
    limits = Limits(flows=5, requests_per_s=7.0)
    await editor.set(make_entry(limits=limits))
    patch = {'limits': {'flows': None, 'class_requests_per_s': 9}}
    await editor.edit('returns', patch)
    state = (await read_catalogue(store, 'test')).ok
    assert state.entry('returns').limits == Limits(
        requests_per_s=7.0, class_requests_per_s=9.0
    )
    assert (await editor.take_out_of_service('tema')).ok.changed
    assert not (await editor.take_out_of_service('tema')).ok.changed
    assert (await editor.return_to_service('tema')).ok.changed
    assert not (await read_catalogue(store, 'test')).ok.datacentres_out
    assert len(versions(server, 'ibispitch/test/datacentres/tema')) == 2
