"""Metrics and structured logs."""

from ._domain_traffic import DomainTrafficMetrics
from ._histograms import LATENCY_BOUNDS_S, Histogram
from ._logs import (
    STANDARD_ERROR,
    log_current_exception,
    log_unexpected_failure,
    open_log,
    start_file_logging,
    start_stdout_logging,
)
from ._metrics import METRICS_CONTENT_TYPE, EntryMetrics, LabelledGauge, RequestTimer, Timing
from ._output import BoundedOutput

__all__ = [
    "BoundedOutput",
    "DomainTrafficMetrics",
    "EntryMetrics",
    "Histogram",
    "LATENCY_BOUNDS_S",
    "LabelledGauge",
    "METRICS_CONTENT_TYPE",
    "RequestTimer",
    "STANDARD_ERROR",
    "Timing",
    "log_current_exception",
    "log_unexpected_failure",
    "open_log",
    "start_file_logging",
    "start_stdout_logging",
]
