"""Prometheus metrics of an entry process."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from greengagestage.ids import ClassName, WorkspaceId
from greengagestage.results import ResultCode

from ._forecast_errors import ForecastErrors
from ._histograms import Histogram, observe
from ._prompt_sizes import PromptSizes

OTHER_WORKSPACES = WorkspaceId("other")
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Timing(Enum):
    """The durations measured for each request."""

    FIRST_TOKEN = "first_token"
    INTER_TOKEN = "inter_token"
    ANSWER = "answer"
    QUEUE_WAIT = "queue_wait"


_HELP = {
    Timing.FIRST_TOKEN: "Time from the request's arrival to the answer's first token",
    Timing.INTER_TOKEN: "Time between two pieces of an answer",
    Timing.ANSWER: "Time from the request's arrival to the answer's end",
    Timing.QUEUE_WAIT: "Time from the request's arrival to its first dispatch",
}


@dataclass(frozen=True, slots=True, kw_only=True)
class LabelledGauge:
    """A value of a gauge with labels; all values of one name have the same labels."""

    name: str
    labels: Mapping[str, str]
    value: float


Timings = dict[Timing, Histogram]
"""One histogram for each timing, for one label value."""


class RequestTimer:
    """Records the timings of one request, by class and by workspace."""

    __slots__ = ("_targets",)

    def __init__(self, *targets: Timings) -> None:
        self._targets = {timing: tuple(target[timing] for target in targets) for timing in Timing}

    def observe(self, timing: Timing, value_s: float) -> None:
        """Record one duration in seconds."""
        observe(self._targets[timing], value_s)


class EntryMetrics(Collector):
    """Histograms per class and per workspace, and counts per result code.

    At most ``workspace_labels`` workspaces get their own label value; the others share
    ``OTHER_WORKSPACES``.

    Args:
        read_gauges: Returns gauges by name.
        read_labelled_gauges: Returns gauges that have labels.
        collectors: Further collectors, whose metrics are rendered with these.

    Attributes:
        forecast_errors: Errors of the forecasts of first events, by route.
        prompt_sizes: Sizes of prompts by how their requests ended.
    """

    def __init__(
        self,
        *,
        workspace_labels: int,
        read_gauges: Callable[[], Mapping[str, float]] = dict,
        read_labelled_gauges: Callable[[], Iterable[LabelledGauge]] = tuple,
        collectors: Iterable[Collector] = (),
    ) -> None:
        self._workspace_labels = workspace_labels
        self._read_gauges = read_gauges
        self._read_labelled_gauges = read_labelled_gauges
        self._classes: dict[ClassName, Timings] = {}
        self._workspaces: dict[WorkspaceId, Timings] = {}
        self._results: Counter[tuple[ResultCode, ClassName]] = Counter()
        self.forecast_errors = ForecastErrors()
        self.prompt_sizes = PromptSizes()
        self._registry = CollectorRegistry()
        for collector in (self, *collectors):
            self._registry.register(collector)

    def create_request_timer(
        self, service_class: ClassName, workspace: WorkspaceId
    ) -> RequestTimer:
        """Create the timer of a request."""
        return RequestTimer(self._get_class(service_class), self._get_workspace(workspace))

    def count_result(self, code: ResultCode, service_class: ClassName) -> None:
        """Count a final result code. The class is empty for requests that failed validation."""
        self._results[code, service_class] += 1

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def collect(self) -> Iterable[Metric]:
        """Yield all metric families. The Prometheus registry calls this."""
        yield from self._collect_timings("class", self._classes.items())
        yield from self._collect_timings("workspace", self._workspaces.items())
        results = CounterMetricFamily(
            "greengage_entry_requests", "Final verdicts", labels=["code", "name", "class"]
        )
        for (code, service_class), count in self._results.items():
            results.add_metric([str(code.value), code.name, service_class], count)
        yield results
        yield from self.forecast_errors.collect()
        yield from self.prompt_sizes.collect()
        for name, value in self._read_gauges().items():
            yield GaugeMetricFamily(f"greengage_entry_{name}", name.replace("_", " "), value)
        yield from self._collect_labelled_gauges()

    def _collect_labelled_gauges(self) -> Iterable[Metric]:
        families: dict[str, GaugeMetricFamily] = {}
        for gauge in self._read_labelled_gauges():
            family = families.get(gauge.name)
            if family is None:
                family = families[gauge.name] = GaugeMetricFamily(
                    f"greengage_entry_{gauge.name}",
                    gauge.name.replace("_", " "),
                    labels=list(gauge.labels),
                )
            family.add_metric(list(gauge.labels.values()), gauge.value)
        yield from families.values()

    def _collect_timings(
        self, label: str, timings: Iterable[tuple[str, Timings]]
    ) -> Iterable[Metric]:
        timings = list(timings)
        for timing in Timing:
            family = HistogramMetricFamily(
                f"greengage_entry_{timing.value}_by_{label}_seconds", _HELP[timing], labels=[label]
            )
            for name, target in timings:
                histogram = target[timing]
                family.add_metric([name], histogram.list_buckets(), histogram.sum_s)
            yield family

    def _get_class(self, service_class: ClassName) -> Timings:
        return self._classes.setdefault(service_class, _create_timings())

    def _get_workspace(self, workspace: WorkspaceId) -> Timings:
        timings = self._workspaces.get(workspace)
        if timings is None:
            is_full = len(self._workspaces) >= self._workspace_labels
            label = OTHER_WORKSPACES if is_full else workspace
            timings = self._workspaces.setdefault(label, _create_timings())
        return timings


def _create_timings() -> Timings:
    return {timing: Histogram() for timing in Timing}
