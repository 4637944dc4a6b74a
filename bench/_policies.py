"""The policies under comparison."""

from enum import Enum

POLICY_VARIABLE = "GREENGAGE_BENCH_POLICY"


class PolicyName(Enum):
    """A policy under comparison."""

    GREENGAGE = "greengage"
    ROUND_ROBIN = "round_robin"
    LEAST_IN_FLIGHT = "least_in_flight"
