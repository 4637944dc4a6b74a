"""Tests of the pacing of requests to upstreams that name a limit, on simulated time."""

from bisect import bisect_left
from random import Random

import pytest

from greengagestage.http1 import ResponseHead
from greengagestage.ids import AttemptId
from greengagestage.platform import names_limit, names_no_limit, read_limit_per_s
from greengagestage.routing import Placement, Refused, Router
from greengagestage.routing._request_pacer import RequestPacer

from .catalog_builders import build_job, build_router, build_short_prompt, build_upstream

WINDOW_S = 4.0


def measure_allowance(limit_per_s: float) -> float:
    """Return how many requests the operators' rules allow in the window."""
    return 1.5 * limit_per_s * WINDOW_S + 5


def play_hosts(random: Random, hosts: int, limit_per_s: float, duration_s: float) -> list[float]:
    """Return the times of all requests of hosts that send whenever they may, from time 0 on."""
    times = []
    for _ in range(hosts):
        pacer = RequestPacer(rate_per_s=limit_per_s, draw=random.random)
        now_s = 0.0
        while (now_s := now_s + pacer.measure_wait_s(hosts, now_s) + 1e-6) < duration_s:
            pacer.use_slot(hosts, now_s)
            times.append(now_s)
    return sorted(times)


def count_most_in_window(times: list[float]) -> int:
    return max(bisect_left(times, t + WINDOW_S) - i for i, t in enumerate(times))


# Guards against hosts that each keep to a limit and exceed it together.
@pytest.mark.parametrize("hosts", [1, 8, 84, 371])
@pytest.mark.parametrize("limit_per_s", [0.5, 1.0, 2.8, 20.0])
def test_all_hosts_together_stay_within_a_limit_and_use_half_of_it(
    hosts: int, limit_per_s: float
) -> None:
    sent = 0
    for seed in range(10):
        times = play_hosts(Random(seed), hosts, limit_per_s, 60.0)
        assert count_most_in_window(times) <= measure_allowance(limit_per_s)
        sent += len(times)
    assert sent >= 0.5 * limit_per_s * 600.0


# Guards against a burst of all hosts after a quiet time.
@pytest.mark.parametrize("hosts", [1, 8, 84, 371])
@pytest.mark.parametrize("limit_per_s", [0.5, 2.8, 20.0])
def test_unused_slots_are_not_saved_for_a_burst(hosts: int, limit_per_s: float) -> None:
    for seed in range(10):
        random = Random(seed)
        pacers = [RequestPacer(rate_per_s=limit_per_s, draw=random.random) for _ in range(hosts)]
        for pacer in pacers:
            pacer.measure_wait_s(hosts, 0.0)
        sent = 0
        for step in range(int(WINDOW_S * 50)):
            now_s = 100.0 + step / 50
            for pacer in pacers:
                if pacer.measure_wait_s(hosts, now_s) == 0.0:
                    pacer.use_slot(hosts, now_s)
                    sent += 1
        assert sent <= measure_allowance(limit_per_s)


@pytest.mark.parametrize("limit_per_s", [0.0, 1e-9])
def test_an_upstream_that_takes_nothing_is_asked_seldom(limit_per_s: float) -> None:
    times = play_hosts(Random(1), 8, limit_per_s, 300.0)
    assert 10 <= len(times) <= 40
    assert count_most_in_window(times) <= measure_allowance(limit_per_s)


def test_the_slots_follow_the_number_of_hosts() -> None:
    pacer = RequestPacer(rate_per_s=10.0, draw=lambda: 0.5)
    alone_s = pacer.measure_wait_s(1, 0.0)
    assert pacer.measure_wait_s(4, 0.0) == pytest.approx(4 * alone_s)
    assert pacer.measure_wait_s(None, 0.0) == pytest.approx(16 * alone_s)


# Guards against a rate that changes with each answer and gives a new slot each time.
@pytest.mark.parametrize("hosts", [1, 8])
def test_a_changing_rate_gives_no_additional_slots(hosts: int) -> None:
    for seed in range(10):
        random = Random(seed)
        pacers = [RequestPacer(rate_per_s=3.0, draw=random.random) for _ in range(hosts)]
        times = []
        for step in range(2_000):
            now_s = step / 100
            for pacer in pacers:
                pacer.rate_per_s = 2.8 + 0.4 * random.random()
                if pacer.measure_wait_s(hosts, now_s) == 0.0:
                    pacer.use_slot(hosts, now_s)
                    times.append(now_s)
        assert count_most_in_window(times) <= measure_allowance(2.8)


def place(router: Router, number: int, now_s: float) -> Placement | Refused:
    placed = router.place(
        build_job(number, now_s=now_s, prompt=build_short_prompt(f"s{number}")), now_s
    )
    assert isinstance(placed, Placement | Refused)
    return placed


def test_other_upstreams_serve_what_a_limited_one_does_not_take() -> None:
    router = build_router()
    router.hosts = 8
    limited = build_upstream(0)
    router.update_upstreams([limited, build_upstream(1)], 0.0)
    assert router.record_limit(limited.incarnation, 1.0, 0.0)
    assert not router.record_limit(limited.incarnation, 1.0, 0.1)
    placements = [place(router, number, 1.0 + number / 50) for number in range(100)]
    chosen = [each.upstream.instance for each in placements if isinstance(each, Placement)]
    assert len(chosen) == 100
    assert chosen.count(limited.instance) <= 1


# Guards against an old answer that ends a limit which a newer one has named.
def test_an_answer_to_an_earlier_request_does_not_end_a_limit() -> None:
    router = build_router()
    upstream = build_upstream(0)
    router.update_upstreams([upstream], 0.0)
    router.record_limit(upstream.incarnation, 1.0, 5.0)
    assert not router.end_limit(upstream.incarnation, 4.9)
    assert router.end_limit(upstream.incarnation, 5.1)
    assert not router.end_limit(upstream.incarnation, 5.2)
    assert isinstance(place(router, 1, 5.3), Placement)


# Guards against a limit that is forgotten while the registry does not list the upstream.
def test_a_limit_outlives_a_missing_entry_and_not_the_incarnation() -> None:
    router = build_router()
    router.hosts = 1
    upstream = build_upstream(0, started_ms=1)
    router.update_upstreams([upstream], 0.0)
    router.record_limit(upstream.incarnation, 0.1, 0.0)
    router.update_upstreams([], 1.0)
    router.update_upstreams([upstream], 2.0)
    assert not router.record_limit(upstream.incarnation, 0.1, 2.0)
    restarted = build_upstream(0, started_ms=2)
    router.update_upstreams([restarted], 3.0)
    assert router.record_limit(restarted.incarnation, 0.1, 3.0)


def build_head(status: int = 200, **headers: str) -> ResponseHead:
    names = {"limit": b"server-limit", "attempt": b"greengagestage-attempt-id"}
    return ResponseHead(
        status=status, headers=[(names[key], value.encode()) for key, value in headers.items()]
    )


@pytest.mark.parametrize(
    ("text", "limit_per_s"),
    [("3", 3.0), ("2.8", 2.8), (" .5 ", 0.5), ("0", 0.0), ("-1", None), ("1e3", None), ("", None)]
    + [("nan", None), ("inf", None), ("3 4", None), ("9" * 400, None)],
)
def test_limits_are_decimal_numbers(text: str, limit_per_s: float | None) -> None:
    head = build_head(limit=text, attempt=AttemptId("a1"))
    assert names_limit(head)
    assert not names_no_limit(head)
    assert read_limit_per_s(head) == limit_per_s


@pytest.mark.parametrize(
    ("head", "ends"),
    [
        (build_head(attempt="a1"), True),
        (build_head(503, attempt="a1"), True),
        (build_head(), False),
        (build_head(421, attempt="a1"), False),
        (build_head(421, attempt="a1", limit="3"), False),
    ],
)
def test_only_an_answer_of_the_upstream_itself_ends_its_limit(
    head: ResponseHead, ends: bool
) -> None:
    assert names_no_limit(head) is ends
    assert not names_limit(head)


# Guards against callers that are told to stay away for longer than the upstream asks for.
@pytest.mark.parametrize("draw", [0.0, 0.999])
def test_callers_return_soon_after_the_next_slot_opens(draw: float) -> None:
    router = build_router(engines=0)
    router.hosts = 1
    router._draw = lambda: draw
    upstream = build_upstream(0)
    router.update_upstreams([upstream], 0.0)
    router.record_limit(upstream.incarnation, 2.0, 0.0)
    router.measure_pause_s(upstream.service, 0.0)  # sets the times of the slots
    placed = [place(router, number, 0.8) for number in range(3)]
    refused = placed[-1]
    assert isinstance(refused, Refused)
    assert 0 < refused.retry_after_s <= 1 / 2.0 + 0.5
