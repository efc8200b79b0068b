"""When the list of balancers in the store is written."""

from hypothesis import given
from hypothesis import strategies as st

from ibispitch.fleet.directory import choose_agents
from ibispitch.fleet.directory import choose_listed
from ibispitch.fleet.directory import decode_agents
from ibispitch.fleet.directory import decode_directory
from ibispitch.fleet.directory import DirectoryWriter
from ibispitch.fleet.directory import encode_agents
from ibispitch.fleet.directory import encode_directory
from ibispitch.fleet.directory import ENDED_SETTLE_S
from ibispitch.fleet.directory import KnownBalancer
from ibispitch.fleet.directory import MAX_LISTED_AGENTS
from ibispitch.fleet.directory import MAX_PER_DATACENTRE
from ibispitch.fleet.directory import SETTLE_S
from ibispitch.ids import DatacentreName

LISTED = ('10.1.0.1', '10.2.0.1')
ERA = 3


def test_the_list_of_a_settled_fleet_is_written_once():
    """Guards against a call to the store for each check."""
    writer = DirectoryWriter()
    assert not writer.is_due(LISTED, ERA, 100.0)
    assert writer.is_due(LISTED, ERA, 100.0 + SETTLE_S)
    writer.record_stored(LISTED, ERA)
    assert not writer.is_due(LISTED, ERA, 200.0)


def test_a_restart_does_not_change_the_list():
    """Guards against calls for each balancer of a rolling restart."""
    writer = DirectoryWriter()
    writer.record_stored(LISTED, ERA)
    assert not writer.is_due(LISTED[:1], ERA, 100.0)
    assert not writer.is_due(LISTED, ERA, 100.0 + SETTLE_S - 1.0)
    assert not writer.is_due(LISTED[:1], ERA, 100.0 + SETTLE_S)


def test_the_list_is_written_again_after_the_store_came_back_from_a_copy():
    """Guards against a list that a restored store has lost."""
    writer = DirectoryWriter()
    writer.record_stored(LISTED, ERA)
    assert not writer.is_due(LISTED, ERA + 1, 100.0)
    assert writer.is_due(LISTED, ERA + 1, 100.0 + SETTLE_S)


def test_a_failed_write_is_repeated_after_a_while():
    """Guards against a list that stays outdated, and against a call storm."""
    writer = DirectoryWriter()
    writer.is_due(LISTED, ERA, 100.0)
    due = [
        second
        for second in range(101, 141)
        if writer.is_due(LISTED, ERA, float(second))
    ]
    assert len(due) == 40 // SETTLE_S


def test_an_ended_agent_leaves_the_list_soon():
    """Guards against lost flows that are kept for an agent that is gone.

    All power was lost 5 s after hosts had been given back as planned, and
    the list still had them.
    """
    writer = DirectoryWriter()
    writer.record_stored(LISTED, ERA)
    assert writer.stored == LISTED
    assert not writer.is_due(LISTED[:1], ERA, 100.0, ENDED_SETTLE_S)
    assert writer.is_due(
        LISTED[:1], ERA, 100.0 + ENDED_SETTLE_S, ENDED_SETTLE_S
    )


def test_listed_agents_of_a_large_fleet_are_of_all_datacentres():
    """Guards against a list that shows one data centre only."""
    agents = {
        f'10.{datacentre}.{n // 250}.{n % 250}': n + 1
        for datacentre in range(3)
        for n in range(2000)
    }
    listed = choose_agents(agents)
    assert len(listed) == MAX_LISTED_AGENTS
    assert decode_agents(encode_agents(listed)).items() <= agents.items()
    assert {ip.split('.')[1] for ip, _ in listed} == {'0', '1', '2'}
    del agents[listed[0][0]]
    assert {*listed[1:]} < {*choose_agents(agents)}


@given(
    st.lists(
        st.builds(
            KnownBalancer,
            st.sampled_from('abc').map(DatacentreName),
            st.integers(0, 200).map('10.0.0.{}'.format),
        )
    )
)
def test_each_datacentre_is_listed(balancers):
    """Guards against a data centre that can't be found, or a huge list."""
    listed = choose_listed(set(balancers))
    assert decode_directory(encode_directory(listed)) == listed
    for name in {balancer.datacentre for balancer in balancers}:
        ips = {b.ip for b in balancers if b.datacentre == name}
        assert ips & set(listed)
    names = {balancer.datacentre for balancer in balancers}
    assert len(listed) <= MAX_PER_DATACENTRE * len(names)
