"""Which routes of a service can share engines with long prompts, and which cannot.

A stream pauses while its engine prefills another prompt. Routes whose prompts take a large part of
the pause that the strictest route allows are tolerant: they are kept on engines of their own. All
other routes are sensitive.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

import xxhash

from greengagestage.catalog import Route

TOLERANT_PROMPT_SHARE = 1 / 3
"""Share of the strictest pause, without the batch's steps, that prefilling a whole prompt takes on
a tolerant route. Two or three such prompts at once make the pause too long."""

PRIOR_GAP_RATIO = 2.0
"""Until its first prompt, a route is taken to be tolerant if it allows pauses this many times the
strictest: the operator expects them to be interrupted."""

MEMORY_S = 20.0
"""Time constant with which requests are forgotten."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteTraffic:
    """Decayed sums over a route's recent requests, which hosts add up.

    Attributes:
        prompts: Number of prompts.
        whole_prefill_s: Time to prefill them without any cached tokens.
        prefill_s: Time to prefill the tokens that no other request shares.
        prefill_squares_s2: Squares of these times.
        streams: Number of completed streams.
        stream_s: Time from sending these to their end.
    """

    prompts: float = 0.0
    whole_prefill_s: float = 0.0
    prefill_s: float = 0.0
    prefill_squares_s2: float = 0.0
    streams: float = 0.0
    stream_s: float = 0.0

    @property
    def concurrency(self) -> float:
        """Mean number of the route's streams at a time."""
        return self.stream_s / MEMORY_S

    def __add__(self, other: "RouteTraffic") -> "RouteTraffic":
        return RouteTraffic(
            prompts=self.prompts + other.prompts,
            whole_prefill_s=self.whole_prefill_s + other.whole_prefill_s,
            prefill_s=self.prefill_s + other.prefill_s,
            prefill_squares_s2=self.prefill_squares_s2 + other.prefill_squares_s2,
            streams=self.streams + other.streams,
            stream_s=self.stream_s + other.stream_s,
        )

    def scale(self, factor: float) -> "RouteTraffic":
        """Return the sums multiplied by a factor."""
        return RouteTraffic(
            prompts=self.prompts * factor,
            whole_prefill_s=self.whole_prefill_s * factor,
            prefill_s=self.prefill_s * factor,
            prefill_squares_s2=self.prefill_squares_s2 * factor,
            streams=self.streams * factor,
            stream_s=self.stream_s * factor,
        )


def is_tolerant(
    gap_s: float | None, strictest_s: float | None, *, step_s: float, whole_prefill_s: float | None
) -> bool:
    """Whether a route's prompts are kept away from the strictest streams.

    Args:
        gap_s: Target for the pause between events of the route; None if it has none.
        strictest_s: Shortest such target of all routes to the same service.
        step_s: Time between two events of a stream without any prefill.
        whole_prefill_s: Time to prefill a usual prompt of the route without any cached tokens;
            None before its first prompt.
    """
    if gap_s is None:
        return True
    if strictest_s is None or gap_s <= strictest_s:
        return False
    if whole_prefill_s is None:
        return gap_s >= PRIOR_GAP_RATIO * strictest_s
    return whole_prefill_s > TOLERANT_PROMPT_SHARE * max(strictest_s - step_s, 0.0)


def hash_route(route: Route) -> int:
    """Return the number by which hosts identify a route to each other."""
    return xxhash.xxh32_intdigest(route.name.encode())


class TrafficMeter:
    """Sums the traffic of each route that reaches this host."""

    def __init__(self) -> None:
        self._traffic: dict[int, RouteTraffic] = {}
        self._updated_s = 0.0

    def record_prompt(
        self, route: int, *, whole_prefill_s: float, prefill_s: float, now_s: float
    ) -> None:
        """Count a caller's prompt; see ``RouteTraffic`` for the times."""
        self._add(
            route,
            RouteTraffic(
                prompts=1.0,
                whole_prefill_s=whole_prefill_s,
                prefill_s=prefill_s,
                prefill_squares_s2=prefill_s**2,
            ),
            now_s,
        )

    def record_stream(self, route: int, duration_s: float, now_s: float) -> None:
        """Count a completed stream."""
        self._add(route, RouteTraffic(streams=1.0, stream_s=duration_s), now_s)

    def measure(self, now_s: float) -> Mapping[int, RouteTraffic]:
        """Return the current sums by route."""
        self._decay(now_s)
        return dict(self._traffic)

    def _add(self, route: int, traffic: RouteTraffic, now_s: float) -> None:
        self._decay(now_s)
        self._traffic[route] = self._traffic.get(route, RouteTraffic()) + traffic

    def _decay(self, now_s: float) -> None:
        factor = math.exp(-max(now_s - self._updated_s, 0.0) / MEMORY_S)
        self._updated_s = now_s
        self._traffic = {route: each.scale(factor) for route, each in self._traffic.items()}
