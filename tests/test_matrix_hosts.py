"""Fault matrix, hosts: a rolling replacement of every host under load."""

import itertools
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins._fleet import Fleet
from standins._output import compute_output

from .fleet_calls import (
    PendingCall,
    Stream,
    book,
    build_slow_shape,
    call,
    count_runs,
    send_booking,
)

pytestmark = pytest.mark.process

STREAMS_PER_ROUND = 4


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    with Fleet(shape=build_slow_shape(), directory=tmp_path) as fleet:
        fleet.start()
        yield fleet


class Callers:
    """Callers that, like a load balancer, use the hosts whose readiness check passes."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._numbers = itertools.count()
        self._streams: list[tuple[str, Stream]] = []
        self._bookings: list[tuple[str, PendingCall]] = []

    def send_round(self) -> None:
        """Start streams and a booking at every ready host, without reading them to the end."""
        ready = [u for u in self._fleet.entry_urls() if call(u, "GET", "/readyz").status == 200]
        assert ready, "no host is ready"
        for url in ready:
            for _ in range(STREAMS_PER_ROUND):
                prompt = f"profile {next(self._numbers)} OUTPUT-TOKENS-30"
                headers = {"X-Service-Class": "review"}
                self._streams.append((prompt, Stream(url=url, prompt=prompt, headers=headers)))
            key = f"order-{next(self._numbers)}"
            self._bookings.append((key, send_booking(url, key)))

    def check(self) -> None:
        """Check that every caller got its own complete answer and every booking ran once."""
        for prompt, stream in self._streams:
            answer = stream.read_rest()
            assert (answer.error, answer.is_complete) == ({}, True)
            assert answer.text == compute_output(prompt)
        for key, booking in self._bookings:
            assert booking.read().is_complete
            assert count_runs(self._fleet, key) == 1


@pytest.mark.parametrize("order", [("entry", "agent"), ("agent", "entry")], ids=lambda o: o[0])
def test_every_host_is_replaced_in_turn_without_a_failed_request(
    fleet: Fleet, order: tuple[str, str]
) -> None:
    callers = Callers(fleet)
    for host in fleet.shape.hosts:
        names = [f"{kind}-{host.name}" for kind in order]
        for name in names:
            callers.send_round()
            assert fleet.terminate(name) == 0
        callers.send_round()
        for name in reversed(names):
            fleet.restart(name)
        for name in names:
            fleet.wait_ready(name)
    callers.send_round()
    callers.check()


def test_answers_of_a_replaced_host_are_replayed(fleet: Fleet) -> None:
    first, second = fleet.entry_urls()
    answer = book(first, "order-1")
    assert answer.is_complete
    for name in ("entry-host-1", "agent-host-1"):
        fleet.kill(name)
    assert book(second, "order-1").body == answer.body
    for name in ("agent-host-1", "entry-host-1"):
        fleet.restart(name)
        fleet.wait_ready(name)
    assert book(first, "order-1").body == answer.body
    assert count_runs(fleet, "order-1") == 1
