"""Tests of the split of engines between sensitive and tolerant requests, under different demand."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagestage.routing import EngineSplit, GroupDemand

SLOTS = 48


def build_group(work: float, **fields: float) -> GroupDemand:
    """Return demand of prompts of 30 ms with a heavy tail; ``work`` in engine seconds a second."""
    defaults = {
        "requests_per_s": work / 0.03,
        "residual_s": 0.1,
        "target_s": 0.25,
        "stream_s": 0.5,
    }
    return GroupDemand(work=work, **{**defaults, **fields})


def split_once(engines: int, sensitive: GroupDemand, tolerant: GroupDemand) -> int:
    return EngineSplit().update_split(engines, SLOTS, sensitive, tolerant)


def test_equal_demand_gets_equal_engines() -> None:
    assert split_once(10, build_group(4.0), build_group(4.0)) == 5


def test_the_group_with_more_work_gets_more_engines() -> None:
    assert split_once(10, build_group(1.0), build_group(5.0)) <= 3
    assert split_once(10, build_group(5.0), build_group(1.0)) >= 7


def test_the_group_with_the_shorter_target_gets_more_engines() -> None:
    """Reviews may start after 1.5 s, answers on the phone after 0.25 s."""
    assert split_once(10, build_group(2.5), build_group(2.5, target_s=1.5)) >= 6


def test_the_group_with_the_longer_prompts_gets_more_engines() -> None:
    """Drafts of 12 ms beside reviews of 65 ms with a heavy tail, whose target is hardly longer.

    The drafts' engines must not stand idle in a burst of reviews.
    """
    drafts = build_group(0.5, residual_s=0.016, requests_per_s=22.0, stream_s=1.6)
    reviews = build_group(4.0, residual_s=0.13, requests_per_s=50.0, target_s=0.4)
    assert split_once(9, drafts, reviews) == 1


def test_streams_that_occupy_the_slots_get_engines_for_them() -> None:
    """Long answers with short prompts need slots, not prefill."""
    drafts = build_group(1.7, residual_s=0.016, requests_per_s=70.0, stream_s=1.8)
    reviews = build_group(20.0, residual_s=0.13, requests_per_s=286.0, target_s=0.5)
    split = EngineSplit().update_split(70, 12, drafts, reviews)
    assert split * 12 >= 70.0 * 1.8


def test_the_split_ignores_small_changes_of_demand() -> None:
    """An engine that moves to the other group has to prefill its shared prefixes again."""
    split = EngineSplit()
    before = split.update_split(56, SLOTS, build_group(20.0), build_group(20.0))
    assert split.update_split(56, SLOTS, build_group(20.4), build_group(19.6)) == before
    assert split.update_split(56, SLOTS, build_group(28.0), build_group(12.0)) > before


def test_the_split_stays_while_both_groups_have_spare_capacity() -> None:
    split = EngineSplit()
    assert split.update_split(5, SLOTS, build_group(0.05), build_group(0.3)) == 2
    assert split.update_split(5, SLOTS, build_group(0.05), build_group(3.0)) == 1


def test_a_group_without_routes_leaves_all_engines_to_the_other() -> None:
    assert EngineSplit().update_split(9, SLOTS, build_group(1.0), None) == 9
    assert EngineSplit().update_split(9, SLOTS, None, build_group(1.0)) == 0


@given(
    engines=st.integers(2, 400),
    sensitive=st.floats(0, 500),
    tolerant=st.floats(0, 500),
    slots=st.integers(1, 128),
)
def test_both_groups_keep_an_engine(
    engines: int, sensitive: float, tolerant: float, slots: int
) -> None:
    split = EngineSplit().update_split(
        engines, slots, build_group(sensitive), build_group(tolerant)
    )
    assert 1 <= split <= engines - 1


@pytest.mark.parametrize("engines", [2, 9, 70, 371])
def test_more_engines_never_make_more_requests_late(engines: int) -> None:
    group = build_group(engines / 2)
    late = [group.forecast_late(count, SLOTS) for count in range(1, engines + 1)]
    assert late == sorted(late, reverse=True)
