"""Promises that a request was not run and never will be, beside faults of all kinds."""

import pytest

from greengagestage.routing import _router

from .faulty_fleet import PROMISES, FaultyFleet
from .host_harness import running_fleet


# Guards against a caller that is told that its request was not run, although an upstream has begun
# it, and against a second run of a request that may run once.
@pytest.mark.parametrize("seed", range(4))
def test_a_promise_is_kept_beside_faults(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    # Upstreams that have ended get requests again and again.
    monkeypatch.setattr(_router, "MISDIRECTED_EXCLUSION_S", 0.05)
    with running_fleet() as fleet:
        faulty = FaultyFleet(fleet, seed)
        statuses = faulty.play(250)
    promised = [attempt for attempt, status in statuses.items() if status in PROMISES]
    assert promised and faulty.begun
    assert [attempt for attempt in promised if faulty.begun[attempt]] == []
    assert max(faulty.begun.values()) == 1
