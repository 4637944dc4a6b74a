"""What the soak records of the faults that it injects."""

from types import SimpleNamespace
from typing import Any
from unittest.mock import MagicMock

import pytest

from soak._disturbances import Disturbances
from soak._faults import Fault, ScheduledFault
from soak._injection import Injector


# Guards against blaming a host for answers on connections that the soak has reset: of links that
# were shut and reset, only the shutting was recorded, which spares what has passed.
@pytest.mark.parametrize("seed", range(4))
def test_links_that_are_shut_and_reset_are_recorded_as_reset(seed: int) -> None:
    link = MagicMock()
    upstream: Any = SimpleNamespace(identity=SimpleNamespace(instance="i-1"))
    disturbances = Disturbances()
    injector = Injector(
        reactor=MagicMock(seconds=lambda: 5.0),
        disturbances=disturbances,
        hosts=MagicMock(hosts=["host-1"]),
        upstreams=MagicMock(list_alive=lambda: [SimpleNamespace(upstream=upstream, link=link)]),
        operator=MagicMock(),
        store=MagicMock(),
    )
    injector.inject(ScheduledFault(at_s=5.0, fault=Fault.UPSTREAM_LINKS, seed=seed))
    kinds = ["shut link", *["reset link"] * link.reset.called]
    assert [fault.kind for _, fault in disturbances.list_all()] == kinds
    assert link.shut.called
