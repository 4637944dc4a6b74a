"""What the requests of each route send and receive, share, and take between failure domains."""

import math
from collections import Counter
from dataclasses import dataclass

from greengagestage.catalog import Prompt
from greengagestage.ids import FailureDomain, PromptPartId

BYTES_PER_TOKEN = 4.0
"""Bytes assumed for a token, until the requests of a route have been seen."""

OBSERVATION_WEIGHT = 0.05
"""Weight of the latest request in the moving average of a route's bytes."""

REPEAT_MEMORY_S = 20.0
"""Time constant with which the earlier requests for a prompt part are forgotten."""

MIN_REPEAT_WEIGHT = 0.02
"""Least weight of the latest request in the mean rate of earlier requests for its parts."""

MIN_OBSERVED_S = 5.0
"""Time for which requests are only counted at first: their parts cannot have been seen before."""

MAX_PARTS = 4_096
"""Maximum number of prompt parts tracked; the least recently used go first."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Crossing:
    """Where a request came from and went to.

    Attributes:
        route: Number by which hosts identify its route.
        reason: Why it left its domain; ``local`` if it did not.
    """

    route: int
    source: FailureDomain
    destination: FailureDomain
    reason: str


class DomainTraffic:
    """Learns the traffic of each route, and counts it by domain.

    Attributes:
        requests: Number of attempts to send a request, by source, destination and reason.
        transferred_bytes: Bytes of the bodies that these sent and received.
    """

    def __init__(self) -> None:
        self.requests: Counter[tuple[FailureDomain, FailureDomain, str]] = Counter()
        self.transferred_bytes: Counter[tuple[FailureDomain, FailureDomain, str]] = Counter()
        self._mean_bytes: dict[int, float] = {}
        self._repeats: dict[int, tuple[int, float]] = {}
        self._parts: dict[PromptPartId, tuple[float, float]] = {}
        self._began_s: dict[int, float] = {}

    def record_attempt(self, crossing: Crossing, body_bytes: int, *, answered: bool) -> None:
        """Count an attempt that has been sent, with the bytes of both bodies.

        Args:
            answered: Whether the answer is complete, so that its bytes are usual for the route.
        """
        key = (crossing.source, crossing.destination, crossing.reason)
        self.requests[key] += 1
        self.transferred_bytes[key] += body_bytes
        if not answered:
            return
        mean = self._mean_bytes.setdefault(crossing.route, float(body_bytes))
        self._mean_bytes[crossing.route] = mean + OBSERVATION_WEIGHT * (body_bytes - mean)

    def record_prompt(self, route: int, prompt: Prompt, now_s: float) -> None:
        """Count a caller's prompt, and how often its shared parts were requested before."""
        key = prompt.affinity_key
        if key is None or not prompt.shared_parts:
            return
        earlier, updated_s = self._parts.pop(key, (0.0, now_s))
        earlier *= math.exp(-max(now_s - updated_s, 0.0) / REPEAT_MEMORY_S)
        self._parts[key] = (earlier + 1.0, now_s)
        if len(self._parts) > MAX_PARTS:
            del self._parts[next(iter(self._parts))]
        observed_s = now_s - self._began_s.setdefault(route, now_s)
        if observed_s < MIN_OBSERVED_S:
            return
        per_s = earlier / (REPEAT_MEMORY_S * (1.0 - math.exp(-observed_s / REPEAT_MEMORY_S)))
        prompts, mean = self._repeats.get(route, (0, 0.0))
        weight = max(MIN_REPEAT_WEIGHT, 1.0 / (prompts + 1))
        self._repeats[route] = (prompts + 1, mean + weight * (per_s - mean))

    def estimate_bytes(self, route: int, prompt: Prompt) -> float:
        """Return the bytes that a request sends and receives."""
        return self._mean_bytes.get(route, BYTES_PER_TOKEN * prompt.tokens)

    def estimate_repeats_per_s(self, route: int) -> float:
        """Return how often this host's callers request the shared parts of a usual prompt.

        It is 0 until that has been observed for a while.
        """
        _, mean = self._repeats.get(route, (0, 0.0))
        return mean


def estimate_redundant_share(repeats_per_s: float, own_share: float, retention_s: float) -> float:
    """Return the share of prompts whose shared parts only other domains have cached.

    Requests for a part are assumed to arrive at random times.

    Args:
        repeats_per_s: Requests per second for the same parts in all domains.
        own_share: Share of these that come from the own domain.
        retention_s: Time for which an engine keeps a part after its last use.
    """
    expected = repeats_per_s * retention_s
    return math.exp(-own_share * expected) - math.exp(-expected)
