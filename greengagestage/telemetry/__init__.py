"""Metrics and logs."""

from ._histograms import LATENCY_BOUNDS_S, Histogram
from ._logs import log_current_fault, log_fault, start_logging
from ._metrics import METRICS_CONTENT_TYPE, EntryMetrics, RequestTimer, Timing

__all__ = [
    "LATENCY_BOUNDS_S",
    "METRICS_CONTENT_TYPE",
    "EntryMetrics",
    "Histogram",
    "RequestTimer",
    "Timing",
    "log_current_fault",
    "log_fault",
    "start_logging",
]
