"""Short and random orders of events around a release; a longer run is started by hand.

``python -m tests.timeline_exploration --help``
"""

import pytest

from .timeline_exploration import explore, walk

WALKS = 40
EVENTS = 12


# Guards against text of two versions in one stream, whatever two events come in whatever order.
def test_no_short_order_of_events_joins_streams() -> None:
    outcomes = list(explore(depth=2))
    assert len(outcomes) > 150
    assert not [str(outcome) for outcome in outcomes if outcome.fault]


# Guards against the same in longer orders, of which few can be played here.
@pytest.mark.parametrize("seed", range(WALKS))
def test_no_drawn_order_of_events_joins_streams(seed: int) -> None:
    outcome = walk(seed, EVENTS)
    assert outcome.fault is None, str(outcome)
