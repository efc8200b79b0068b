"""Tests of the rotation in data centres with unequal links."""

from hypothesis import given
from hypothesis import strategies as st

from ibispitch.rotation.core import BalancerLink
from ibispitch.rotation.core import is_standby


def rotation(*links: float) -> list[float]:
    """Return the links of the balancers in the rotation."""
    members = [
        BalancerLink(f'10.0.0.{n}', link) for n, link in enumerate(links)
    ]
    return [
        member.link_mbps
        for member in members
        if not is_standby(member, [m for m in members if m != member])
    ]


def test_strong_links_carry_the_traffic():
    """Uploads must not lose packets on weak links while others are idle.

    The weak links had 12 Mbit/s, the idle ones 200 Mbit/s.
    """
    assert rotation(200, 200, 12, 12) == [200, 200]


def test_weak_links_share_what_strong_ones_cannot_take_over():
    """A few weak links must not have to carry the load of many."""
    links = [12, 200, 12, 200, 12]
    assert rotation(*links) == links


def test_balancers_with_equal_links_are_all_in_rotation():
    """Balancers with similar links must all be in the rotation."""
    assert rotation(1000, 1000, 1000) == [1000] * 3
    assert rotation(100, 60) == [100, 60]


@given(st.lists(st.sampled_from([5.0, 12.0, 100.0, 200.0]), min_size=1))
def test_at_least_half_of_the_balancers_are_in_rotation(links):
    """With fewer than half of the balancers, routers ignore the rotation."""
    chosen = rotation(*links)
    assert 2 * len(chosen) >= len(links)
    assert max(links) in chosen
