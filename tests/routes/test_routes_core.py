"""Routes never return to an older version, whatever their source."""

from hypothesis import given
from hypothesis import strategies as st
import msgspec

from ibispitch.routes.core import RoutesCore
from ibispitch.routes.model import decode_table
from ibispitch.routes.model import encode_table
from ibispitch.routes.model import RouteTable
from ibispitch.routes.position import TablePosition
from ibispitch.routes.source import DatacentreChange
from ibispitch.routes.source import RoutesChange

EMPTY = RouteTable(1, 1, (), (), 15.0, frozenset())


def table(revision, version, out=()) -> RouteTable:
    return msgspec.structs.replace(
        EMPTY, revision=revision, version=version, out=frozenset(out)
    )


def test_tables_survive_the_wire():
    """Guards against data centres or routes lost between processes."""
    one = table(7, 3, ['accra'])
    assert decode_table(encode_table(one)) == one
    for data in (b'', b'x' * 40):
        try:
            decode_table(data)
        except ValueError:
            continue
        raise AssertionError(f'{data} was decoded')


def test_older_tables_are_ignored():
    """Guards against stale tables from the store and from peers."""
    core = RoutesCore()
    assert core.merge(table(10, 2, ['accra']), 0.0)
    assert not core.merge(table(9, 2), 0.0)
    assert not core.merge(table(9, 1, ['tema']), 0.0)
    assert core.position == (0, 10)
    assert core.index.table.version == 2
    assert core.index.all_out == {'accra'}


def test_versions_never_fall():
    """Guards against an accepted edit that is reverted.

    A process may carry a version over a return of the store from a copy, so
    that an earlier position can have the later version.
    """
    core = RoutesCore()
    assert core.merge(table(10, 2, ['accra']), 0.0)
    assert not core.merge(table(11, 1, ['accra']), 0.0)
    assert core.position == (0, 11)
    assert core.version == 2
    assert core.merge(table(9, 3), 0.0)
    assert core.position == (0, 11)
    assert core.version == 3
    assert core.index.all_out == {'accra'}


def test_same_content_with_a_later_revision():
    """Guards against endless transfers of equal tables."""
    core = RoutesCore()
    core.merge(table(10, 2), 0.0)
    assert not core.merge(table(12, 2), 0.0)
    assert core.position == (0, 12)


def test_changes_that_are_included_already():
    """Guards against old changes from a watch that lags behind a peer."""
    core = RoutesCore()
    core.merge(table(10, 2), 0.0)
    assert not core.apply((DatacentreChange(9, 'accra', True),))
    assert core.apply((DatacentreChange(11, 'accra', True),))
    assert core.index.table.out == {'accra'}


def test_confirmation_of_another_revision():
    """Guards against routes that count as confirmed by another revision."""
    core = RoutesCore()
    core.merge(table(10, 2), 0.0)
    core.record_confirmation(TablePosition(0, 9), 5.0)
    core.record_confirmation(TablePosition(0, 11), 5.0)
    core.record_confirmation(TablePosition(1, 10), 5.0)
    assert core.age_s(5.0) == float('inf')
    core.record_confirmation(TablePosition(0, 10), 4.0)
    assert core.age_s(5.0) == 1.0


@given(st.data())
def test_versions_and_data_centres_never_revert(data):
    """Guards against an order of tables and changes that restores old ones."""
    history = [table(1, 1)]
    changes = []
    for revision in range(2, data.draw(st.integers(3, 12))):
        last = history[-1]
        if data.draw(st.booleans()):
            version = last.version + data.draw(st.integers(1, 3))
            changes.append(RoutesChange(revision, table(0, version)))
            history.append(table(revision, version, last.out))
        else:
            is_out = 'accra' not in last.out
            changes.append(DatacentreChange(revision, 'accra', is_out))
            out = {'accra'} if is_out else set()
            history.append(table(revision, last.version, out))
    core = RoutesCore()
    position = 0
    core.merge(history[0], 0.0)
    for _ in range(20):
        before = core.index.table
        if data.draw(st.booleans()):
            core.merge(data.draw(st.sampled_from(history)), 0.0)
        else:
            end = data.draw(st.integers(position, len(changes)))
            core.apply(tuple(changes[position:end]))
            position = end
        now = core.index.table
        assert now.version >= before.version
        assert now == history[now.revision - 1]
