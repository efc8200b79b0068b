"""Choice of the balancers that read the store."""

from hypothesis import given
from hypothesis import strategies as st

from ibispitch.routes.reader_choice import choose_readers
from ibispitch.routes.reader_choice import MAX_READERS
from ibispitch.routes.reader_choice import ReaderCandidate


def fleet(
    per_datacentre: dict[str, int], link_mbps=100.0
) -> list[ReaderCandidate]:
    return [
        ReaderCandidate(f'10.{number}.0.{index}', name, link_mbps)
        for number, (name, count) in enumerate(per_datacentre.items())
        for index in range(count)
    ]


def test_all_balancers_of_a_small_fleet_read():
    """Guards against a balancer that depends on another one needlessly."""
    assert len(choose_readers(fleet({'a': 2, 'b': 2, 'c': 1}))) == 5


def test_readers_do_not_grow_with_the_fleet():
    """Guards against store calls that grow with the number of balancers."""
    chosen = choose_readers(fleet({name: 93 for name in 'abcdefghijklmno'}))
    assert len(chosen) == MAX_READERS
    assert len({one.datacentre for one in chosen}) == MAX_READERS


def test_readers_have_strong_links():
    """Guards against a fleet that fetches its routes over a 10 Mbit/s link."""
    weak = fleet({'a': 6, 'b': 6}, 10.0)
    strong = [ReaderCandidate('10.9.0.1', 'c', 200.0)]
    assert strong[0] in choose_readers(weak + strong)


@given(st.lists(st.integers(0, 8), min_size=1, max_size=6))
def test_there_are_always_readers(counts):
    """Guards against a fleet in which no balancer reads the store."""
    candidates = fleet({f'd{n}': count for n, count in enumerate(counts)})
    chosen = choose_readers(candidates)
    assert len(chosen) >= min(MAX_READERS, len(candidates))
