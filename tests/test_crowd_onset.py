"""The first urgent requests of a crowd find the room that less urgent ones had before it."""

import pytest

from .engine_fleet import OFFICE_KINDS, EngineFleet

CHAT, SUMMARY, REVIEW = OFFICE_KINDS
CROWDS_S = [(4.0, 13.0), (16.0, 25.0)]
WINDOW_S = (13.0, 18.0)
"""Three calm seconds after the first crowd, and the first two of the second one."""

END_S = 21.0


# Guards against reviews that begin in calm seconds and leave the summaries of the next crowd no
# room, while engines leave: over a twelfth of the summaries got nothing.
@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize(
    "leaving", [(4.4,) * 4 + (16.45,) * 2, (4.4,) * 4 + (14.0,) * 2], ids=["at_onset", "before"]
)
def test_urgent_requests_of_a_crowd_are_served_after_larger_ones_began(
    leaving: tuple[float, ...], seed: int
) -> None:
    fleet = EngineFleet(
        engines=9,
        slots=48,
        hosts=9,
        kinds=OFFICE_KINDS,
        crowds=CROWDS_S,
        leaving=leaving,
        seed=seed,
    )
    fleet.run(END_S)
    assert fleet.count_begun(REVIEW, *WINDOW_S) > 0
    for kind in (CHAT, SUMMARY):
        sent, unanswered = fleet.count_without_answer(kind, *WINDOW_S)
        assert unanswered < max(sent / 12, 10)
