"""Prometheus metrics of the traffic between failure domains."""

from collections.abc import Callable, Iterable, Mapping

from prometheus_client.core import CounterMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from greengagestage.ids import FailureDomain

DomainCounts = Mapping[tuple[FailureDomain, FailureDomain, str], int]
"""Counts by source, destination and reason."""

_LABELS = ("source", "destination", "reason")


class DomainTrafficMetrics(Collector):
    """Attempts to send requests, and the bytes of their bodies, by pair of domains and reason."""

    def __init__(
        self, *, read_requests: Callable[[], DomainCounts], read_bytes: Callable[[], DomainCounts]
    ) -> None:
        self._families = (
            ("greengage_entry_domain_requests", "Attempts to send a request", read_requests),
            ("greengage_entry_domain_bytes", "Bytes of request and response bodies", read_bytes),
        )

    def collect(self) -> Iterable[Metric]:
        """Yield both metric families. The Prometheus registry calls this."""
        for name, text, read in self._families:
            family = CounterMetricFamily(name, text, labels=_LABELS)
            for labels, count in sorted(read().items()):
                family.add_metric(labels, count)
            yield family
