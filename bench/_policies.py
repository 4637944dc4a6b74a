"""Names of the compared policies."""

from enum import Enum

POLICY_VARIABLE = "GREENGAGE_BENCH_POLICY"


class PolicyName(Enum):
    """A compared policy."""

    GREENGAGE = "greengage"
    ROUND_ROBIN = "round_robin"
    LEAST_IN_FLIGHT = "least_in_flight"
