"""Tests of the learned speed of engines that the router has never seen."""

import random

import pytest

from greengagestage.ids import InstanceId
from greengagestage.routing import EngineModel, PrefillSamples

ENGINES = [InstanceId(f"i-{number}") for number in range(9)]


def learn(
    tokens_per_s: float, overhead_s: float, *, samples: int, noise_s: float = 0.0, seed: int = 1
) -> EngineModel:
    """Return a model after samples of lognormal prompts; noise only delays them."""
    numbers = random.Random(seed)
    model = EngineModel()
    for number in range(samples):
        tokens = min(numbers.lognormvariate(7.5, 1.2), 40_000)
        elapsed_s = overhead_s + tokens / tokens_per_s
        if numbers.random() < 0.3:
            elapsed_s += numbers.expovariate(1 / noise_s) if noise_s else 0.0
        model.observe(ENGINES[number % len(ENGINES)], tokens, elapsed_s, now_s=number / 50)
    return model


@pytest.mark.parametrize("tokens_per_ms", [20, 52, 90, 200])
@pytest.mark.parametrize("overhead_ms", [1, 27, 60])
def test_the_speed_of_unknown_engines_is_learned(tokens_per_ms: int, overhead_ms: int) -> None:
    model = learn(tokens_per_ms * 1_000, overhead_ms / 1_000, samples=300)
    for tokens in (500, 4_000, 15_000):
        actual_s = overhead_ms / 1_000 + tokens / (tokens_per_ms * 1_000)
        forecast_s = model.speed.overhead_s + tokens * model.speed.s_per_token
        assert forecast_s == pytest.approx(actual_s, rel=0.15, abs=0.015)


def test_unreported_work_of_other_hosts_hardly_changes_the_speed() -> None:
    model = learn(52_000, 0.027, samples=600, noise_s=0.15)
    assert 1 / model.speed.s_per_token == pytest.approx(52_000, rel=0.25)


def test_one_slow_engine_does_not_stand_for_all() -> None:
    """Its samples move the forecast for all engines by less than a fifth of the way."""
    model = EngineModel()
    for number in range(40):
        model.observe(ENGINES[0], 4_000, 1.0, now_s=float(number) / 10)
    assert model.speed.overhead_s + 4_000 * model.speed.s_per_token < 0.2


def test_samples_of_other_hosts_count_like_own_ones() -> None:
    teacher = learn(30_000, 0.02, samples=300)
    pupil = EngineModel()
    pupil.set_peer_samples(teacher.measure(6.0))
    assert pupil.speed.s_per_token == pytest.approx(teacher.speed.s_per_token, rel=0.05)
    pupil.set_peer_samples(PrefillSamples())
    assert pupil.speed.s_per_token == pytest.approx(EngineModel().speed.s_per_token)
