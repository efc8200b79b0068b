"""Values that must not change the documents in force."""

from hypothesis import given
from hypothesis import strategies as st
import msgspec

from ibispitch.catalogue.core import CatalogueState
from ibispitch.catalogue.documents import Datacentre
from ibispitch.catalogue.documents import DatacentreDocument
from ibispitch.catalogue.documents import DatacentreState
from ibispitch.catalogue.documents import Edit
from ibispitch.catalogue.documents import EntryDocument
from tests.catalogue.conftest import make_entry

KEY = 'entries/returns'
EDIT = Edit('id', 'alice', '2026-01-01T00:00:00+00:00')


def entry_value(entry):
    return msgspec.json.encode(EntryDocument(EDIT, ['id'], entry))


def datacentre_value(name, state):
    document = DatacentreDocument(EDIT, ['id'], Datacentre(name, state))
    return msgspec.json.encode(document)


@given(st.permutations([*range(1, 7)] * 2))
def test_late_values_never_revert(order):
    """Guards against accepting an older value that arrives late."""
    state = CatalogueState()
    for revision in order:
        entry = make_entry(port=5000 + revision) if revision != 3 else None
        before = state.version(KEY)
        changed = state.apply(KEY, revision, entry_value(entry))
        assert changed is (revision > before)
        assert state.version(KEY) == max(revision, before)
    assert state.entry('returns').addresses == ['127.0.0.1:5006']


def test_malformed_value_leaves_the_last_valid_one():
    """Guards against a malformed value that removes a service."""
    state = CatalogueState()
    assert state.apply(KEY, 5, entry_value(make_entry()))
    bad = [
        b'',
        b'\xff',
        b'[' * 100_000,
        b'{"edit": {}}',
        entry_value(make_entry('other')),
        entry_value(make_entry(port=70000)),
    ]
    for revision, value in enumerate(bad, start=6):
        assert not state.apply(KEY, revision, value)
    assert state.entry('returns') == make_entry()
    assert state.version(KEY) == 5
    assert state.malformed[KEY] == len(bad)
    assert state.apply(KEY, 6, entry_value(make_entry(port=1)))


def test_removal_stays_removed():
    """Guards against a late value that restores a removed entry."""
    state = CatalogueState()
    assert state.apply(KEY, 7, entry_value(None))
    assert not state.apply(KEY, 6, entry_value(make_entry()))
    assert state.entry('returns') is None
    assert not state.entries()
    assert state.versions() == {KEY: 7}


def test_datacentres_out():
    """Guards against a data centre that stays out after its return.

    Values under the key of another document must be ignored.
    """
    state = CatalogueState()
    out = datacentre_value('tema', DatacentreState.OUT)
    full_key = 'ibispitch/test/datacentres/tema'
    assert state.apply(full_key, 3, out)
    assert state.datacentres_out == {'tema'}
    back = datacentre_value('tema', DatacentreState.IN)
    assert state.apply('datacentres/tema', 4, back)
    assert not state.datacentres_out
    assert not state.apply('datacentres/accra', 5, back)
    assert not state.apply('members/tema', 6, b'{}')
    assert state.malformed == {'datacentres/accra': 1}
