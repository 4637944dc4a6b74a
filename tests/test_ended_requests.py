"""Tests that ended requests are released at once, not when cycles are collected next."""

import gc

import pytest

from greengagestage.gateway.exchange._exchange import RequestExchange

from .host_harness import running_fleet


# Guards against bodies of ended requests that fill the memory until the collector runs.
@pytest.mark.parametrize("path", ["/lookup/a", "/order/a", "/short/a", "/unknown/a"])
def test_an_ended_request_is_released_at_once(path: str) -> None:
    with running_fleet() as fleet:
        fleet.add_upstream("archive-1")
        fleet.add_upstream("engine-1", service="engines")
        fleet.start_host()
        fleet.wait_ready()
        gc.collect()
        gc.disable()
        try:
            for number in range(3):
                fleet.call(path, attempt=f"a{number}", body=b"x" * 1_000)
            fleet.run_for(0.1)
            kept = sum(isinstance(each, RequestExchange) for each in gc.get_objects())
        finally:
            gc.enable()
        assert kept == 0
