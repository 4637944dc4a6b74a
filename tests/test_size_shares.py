"""Requests of one kind are served whatever their size, also while there is too little room."""

import pytest

from greengagestage.routing import Placement, UpstreamLoad

from .catalog_builders import LONG, build_job, build_prompt, build_router
from .engine_fleet import BRIEF, BRIEF_KINDS, EngineFleet, Request

CROWD_S = (0.5, 7.5)
SHORT_SHARE = 0.5
"""The least share of the large requests that is served, relative to all of their kind."""


def compute_served_share(requests: list[Request]) -> float:
    return sum(each.completed_s is not None for each in requests) / len(requests)


# Guards against large prompts that find no room while smaller ones of their kind are served.
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("crowd_factor", [1.9, 2.9])
def test_large_prompts_are_served_in_a_crowd_of_their_kind(crowd_factor: float, seed: int) -> None:
    """Eight engines of 16 slots meet a crowd of long prompts beside the usual urgent ones."""
    fleet = EngineFleet(
        engines=8,
        hosts=4,
        kinds=BRIEF_KINDS,
        crowds=[CROWD_S],
        crowd_factor=crowd_factor,
        crowd_kinds=[BRIEF],
        seed=seed,
    )
    fleet.run(CROWD_S[1])
    sent = sorted(fleet.list_sent(BRIEF, *CROWD_S), key=lambda each: each.size)
    tenth = len(sent) // 10
    served = compute_served_share(sent)
    assert compute_served_share(sent[-tenth:]) >= SHORT_SHARE * served
    assert compute_served_share(sent[-3 * tenth : -tenth]) >= SHORT_SHARE * served
    assert compute_served_share(sent[: len(sent) // 2]) >= SHORT_SHARE * served


# Guards against limits of waiting that only small prompts can keep.
@pytest.mark.parametrize("tokens", [5_100, 12_000, 30_000, 60_000])
@pytest.mark.parametrize("waited_s", [0.0, 1.0, 4.0])
def test_prompts_of_any_size_are_sent_to_an_engine_that_can_begin_them_soon(
    tokens: int, waited_s: float
) -> None:
    router = build_router(engines=6)
    load = UpstreamLoad(prefill_s=0.2, tolerant_requests=4, tokens=50_000)
    router.update_peer_loads(dict.fromkeys(router.upstreams, load), {})
    job = build_job(1, route=LONG, prompt=build_prompt(tokens=tokens))
    assert isinstance(router.place(job, waited_s), Placement)
