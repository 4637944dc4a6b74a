"""Computes the work of a request and the request rate of a load level."""

import math

from standins._batch import StepCosts

from ._deployments import ENGINE_COSTS, ENGINE_SLOTS, Deployment, Traffic

MS_PER_S = 1e3
US_PER_S = 1e6


def compute_mean_length(bounds: tuple[int, int]) -> float:
    """Return the mean of the log-uniform distribution between two bounds."""
    shortest, longest = bounds
    if shortest == longest:
        return float(shortest)
    return (longest - shortest) / math.log(longest / shortest)


def compute_request_work_s(traffic: Traffic, costs: StepCosts, slots: int) -> float:
    """Return the engine time of a mean request in a full batch without prefix-cache hits."""
    prompt = compute_mean_length(traffic.prompt_tokens)
    output = compute_mean_length(traffic.output_tokens)
    context = slots * (prompt + output / 2)
    step_s = (costs.base_ms + costs.sequence_ms * slots) / MS_PER_S
    step_s += costs.context_us * context / US_PER_S
    return prompt * costs.prefill_us / US_PER_S + output * step_s / slots


def compute_rate_per_s(deployment: Deployment, traffic: Traffic, level: float) -> float:
    """Return the request rate of one class at a load level, where 1.0 is the engines' capacity."""
    offered_work = level * deployment.engines * traffic.work_share
    return offered_work / compute_request_work_s(traffic, ENGINE_COSTS, ENGINE_SLOTS)
