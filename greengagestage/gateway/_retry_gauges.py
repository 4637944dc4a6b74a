"""Gauges of the retry budget, by service."""

from collections.abc import Iterable, Iterator

from greengagestage.routing import RetryUsage
from greengagestage.telemetry import LabelledGauge


def build_retry_gauges(usages: Iterable[RetryUsage]) -> Iterator[LabelledGauge]:
    """Yield the gauges of what a host has used of its part of the budget."""
    for usage in usages:
        labels = {"service": usage.service}
        yield LabelledGauge(name="retries_used", labels=labels, value=usage.used)
        yield LabelledGauge(name="retries_allowed", labels=labels, value=usage.allowance)
        yield LabelledGauge(name="retries_denied", labels=labels, value=usage.denied)
