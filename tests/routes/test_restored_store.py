"""Tables while the store comes back from copies.

A model of the store, its operator and some processes: tables reach processes
late, in any order or not at all, and the store returns to earlier states.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import msgspec

from ibispitch.routes.core import HELD_OUT_S
from ibispitch.routes.core import RoutesCore
from ibispitch.routes.model import RouteTable
from ibispitch.routes.position import TablePosition
from ibispitch.routes.source import DatacentreChange
from ibispitch.routes.source import RoutesChange

DATACENTRES = ('accra', 'tema')
PROCESSES = 3


def make_table(era, revision, version, out=()) -> RouteTable:
    return RouteTable(revision, version, (), (), 15.0, frozenset(out), era)


def test_version_that_the_copy_lacks():
    """Guards against an accepted edit that the copy of the store reverts.

    With the order of revisions alone, the first change after the return was
    ignored until the store had counted past the former revision.
    """
    core = RoutesCore()
    core.merge(make_table(1, 400, 7), 0.0)
    assert core.merge(make_table(2, 100, 6), 1.0)
    assert core.version == 7
    assert core.position == (2, 100)
    assert core.apply((RoutesChange(101, make_table(0, 0, 8)),))
    assert core.version == 8


def test_data_centre_that_the_copy_returns():
    """Guards against new flows in a data centre that is out of service.

    The copy may lack the entry of it until the operator writes it again.
    """
    core = RoutesCore()
    core.merge(make_table(1, 400, 7, ['accra']), 0.0)
    core.merge(make_table(2, 100, 7), 1.0)
    assert core.index.all_out == {'accra'}
    core.apply((DatacentreChange(101, 'accra', True),))
    core.record_confirmation(TablePosition(2, 101), 2.0 + HELD_OUT_S)
    assert core.index.all_out == {'accra'}
    core.apply((DatacentreChange(102, 'accra', False),))
    assert core.index.all_out == set()


def test_data_centre_that_is_back_for_good():
    """Guards against a data centre that stays out without an entry."""
    core = RoutesCore()
    core.merge(make_table(1, 400, 7, ['accra']), 0.0)
    core.merge(make_table(2, 100, 7), 1.0)
    position = TablePosition(2, 100)
    assert not core.record_confirmation(position, 0.9 + HELD_OUT_S)
    assert core.index.all_out == {'accra'}
    assert core.record_confirmation(position, 1.0 + HELD_OUT_S)
    assert core.index.all_out == set()
    # A peer that confirms later still holds it out.
    late = msgspec.structs.replace(
        make_table(2, 103, 7), held_out=frozenset(['accra'])
    )
    core.merge(late, 2.0 + HELD_OUT_S)
    assert core.index.all_out == set()


def test_peer_that_knows_nothing_of_a_held_data_centre():
    """Guards against a process started later that ends the hold of others."""
    core = RoutesCore()
    core.merge(make_table(1, 400, 7, ['accra']), 0.0)
    core.merge(make_table(2, 100, 7), 1.0)
    core.merge(make_table(2, 120, 7), 2.0)
    assert core.index.all_out == {'accra'}


class _Store:
    """The operator's entries; ``history`` has the table at each revision."""

    def __init__(self):
        self.era = 1
        self.history = [make_table(1, 1, 1)]
        #: What the operator wants, which the store may lack after a return.
        self.version = 1
        self.out = frozenset()

    @property
    def table(self) -> RouteTable:
        return self.history[-1]

    def write(self) -> None:
        """Write what the operator wants, if the store differs."""
        wanted = (self.version, self.out)
        if (self.table.version, self.table.out) != wanted:
            revision = self.table.revision + 1
            self.history.append(
                make_table(self.era, revision, self.version, self.out)
            )

    def restore(self, back: int) -> None:
        self.era += 1
        kept = self.history[: max(1, len(self.history) - back)]
        self.history = [
            msgspec.structs.replace(table, era=self.era) for table in kept
        ]


class RestoredStoreMachine(RuleBasedStateMachine):
    """Processes that read the store and each other while it goes back."""

    @initialize()
    def start(self):
        self.now = 0.0
        self.store = _Store()
        self.cores = [RoutesCore() for _ in range(PROCESSES)]
        #: Tables on their way, which may arrive late, twice or never.
        self.sent = [self.store.table]
        self.used_versions = [0] * PROCESSES

    processes = st.integers(0, PROCESSES - 1)

    @rule()
    def edit(self):
        self.store.version += 1
        self.store.write()

    @rule(name=st.sampled_from(DATACENTRES))
    def take_out_or_return(self, name):
        self.store.out ^= {name}
        self.store.write()

    @rule(back=st.integers(0, 5))
    def restore(self, back):
        self.store.restore(back)

    @rule()
    def write_again(self):
        self.store.write()

    @rule()
    def read(self):
        self.sent.append(self.store.table)

    @rule(process=processes)
    def send_to_peers(self, process):
        index = self.cores[process].index
        if index is not None:
            self.sent.append(index.table)

    @rule(process=processes, data=st.data())
    def receive(self, process, data):
        table = data.draw(st.sampled_from(self.sent))
        self.cores[process].merge(table, self.now)

    @rule(process=processes)
    def receive_newest(self, process):
        core = self.cores[process]
        core.merge(self.store.table, self.now)
        core.record_confirmation(self.store.table.position, self.now)

    @rule(seconds=st.sampled_from([0.1, 3.0, HELD_OUT_S]))
    def wait(self, seconds):
        # The operator writes again within the time that processes allow.
        if seconds >= 3.0:
            self.store.write()
        self.now += seconds

    @invariant()
    def versions_never_fall(self):
        """No process returns to an older version than one it has used."""
        versions = [core.version for core in self.cores]
        assert all(
            version >= former
            for version, former in zip(
                versions, self.used_versions, strict=True
            )
        )
        self.used_versions = versions

    @invariant()
    def nothing_is_invented(self):
        """Versions come from the operator."""
        assert all(core.version <= self.store.version for core in self.cores)

    def teardown(self):
        """All processes reach the operator's state after quiet time."""
        self.store.write()
        for _ in range(2):
            self.now += HELD_OUT_S
            for core in self.cores:
                core.merge(self.store.table, self.now)
                core.record_confirmation(self.store.table.position, self.now)
        for core in self.cores:
            assert core.version == self.store.version
            assert core.index.all_out == self.store.out


TestRestoredStore = RestoredStoreMachine.TestCase
TestRestoredStore.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None
)


class HeldOutMachine(RestoredStoreMachine):
    """As above, with one operator who takes data centres out for good.

    Then no process that has seen a data centre out may ever use it again.
    """

    @rule(name=st.sampled_from(DATACENTRES))
    def take_out_or_return(self, name):
        self.store.out |= {name}
        self.store.write()

    @invariant()
    def out_stays_out(self):
        out = [
            core.index.all_out if core.index else frozenset()
            for core in self.cores
        ]
        former = getattr(self, 'former_out', [frozenset()] * PROCESSES)
        assert all(
            now >= before for now, before in zip(out, former, strict=True)
        )
        self.former_out = out


TestHeldOut = HeldOutMachine.TestCase
TestHeldOut.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
