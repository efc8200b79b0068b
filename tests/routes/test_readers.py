"""Few balancers read the store, and never none."""

from hypothesis import given
from hypothesis import strategies as st

from ibispitch.routes.reader_choice import is_reader
from ibispitch.routes.reader_choice import ReaderCandidate
from ibispitch.routes.reader_choice import READERS


def readers(candidates: list[ReaderCandidate]) -> list[ReaderCandidate]:
    return [
        one
        for one in candidates
        if is_reader(one, [c for c in candidates if c != one])
    ]


def fleet(
    per_datacentre: dict[str, int], link_mbps=100.0
) -> list[ReaderCandidate]:
    return [
        ReaderCandidate(f'10.{number}.0.{index}', name, link_mbps)
        for number, (name, count) in enumerate(per_datacentre.items())
        for index in range(count)
    ]


def test_small_fleets_read_for_themselves():
    """Guards against a balancer that waits for another one needlessly."""
    assert len(readers(fleet({'a': 2, 'b': 2, 'c': 1}))) == 5


def test_readers_do_not_grow_with_the_fleet():
    """Guards against calls to the store that grow with the balancers."""
    chosen = readers(fleet({name: 93 for name in 'abcdefghijklmno'}))
    assert len(chosen) == READERS
    assert len({one.datacentre for one in chosen}) == READERS


def test_readers_have_strong_links():
    """Guards against a fleet that fetches its routes over 10 Mbit/s."""
    weak = fleet({'a': 6, 'b': 6}, 10.0)
    strong = [ReaderCandidate('10.9.0.1', 'c', 200.0)]
    assert strong[0] in readers(weak + strong)


@given(st.lists(st.integers(0, 8), min_size=1, max_size=6))
def test_there_are_always_readers(counts):
    """Guards against a fleet in which everyone relies on someone else."""
    candidates = fleet({f'd{n}': count for n, count in enumerate(counts)})
    chosen = readers(candidates)
    assert len(chosen) >= min(READERS, len(candidates))
