"""Histogram of the errors of forecasts, by route."""

from bisect import bisect_left
from collections.abc import Iterable
from itertools import accumulate

from prometheus_client.core import HistogramMetricFamily

from greengagestage.ids import RouteName

RATIO_BOUNDS = (0.1, 0.25, 0.5, 0.7, 0.85, 1.0, 1.2, 1.4, 2.0, 4.0, 10.0)

MIN_EXPECTED_S = 0.001
"""Shorter expected times count as this long."""


class ForecastErrors:
    """Counts the ratios of the observed to the expected time to the first event of prompts."""

    def __init__(self) -> None:
        self._counts: dict[RouteName, list[int]] = {}
        self._sums: dict[RouteName, float] = {}

    def observe(self, route: RouteName, *, observed_s: float, expected_s: float) -> None:
        """Record one first event; both times are counted from the sending to the upstream."""
        ratio = observed_s / max(expected_s, MIN_EXPECTED_S)
        counts = self._counts.setdefault(route, [0] * (len(RATIO_BOUNDS) + 1))
        counts[bisect_left(RATIO_BOUNDS, ratio)] += 1
        self._sums[route] = self._sums.get(route, 0.0) + ratio

    def collect(self) -> Iterable[HistogramMetricFamily]:
        """Yield the histogram; none before the first event."""
        if not self._counts:
            return
        family = HistogramMetricFamily(
            "greengage_entry_forecast_ratio",
            "Observed divided by expected time to the first event, by route",
            labels=["route"],
        )
        names = [str(bound) for bound in RATIO_BOUNDS] + ["+Inf"]
        for route, counts in self._counts.items():
            buckets = list(zip(names, map(float, accumulate(counts)), strict=True))
            family.add_metric([route], buckets, self._sums[route])
        yield family
