"""Histogram of prompt sizes, by route and by how the requests ended."""

from collections.abc import Iterable

from prometheus_client import Histogram
from prometheus_client.metrics_core import Metric

from greengagestage.ids import ClassName
from greengagestage.results import CODE_DETAILS, ResultCode

TOKEN_BOUNDS = (500, 1_000, 2_000, 4_000, 8_000, 16_000, 32_000, 64_000, 128_000)


class PromptSizes:
    """Counts the sizes of the prompts that were delivered, refused, or lost.

    The share that is delivered of each bucket shows whether the size of a request decides if it is
    served.
    """

    def __init__(self) -> None:
        self._histogram = Histogram(
            "greengage_entry_prompt_tokens",
            "Tokens of prompts, by class and by verdict",
            ("class", "verdict"),
            buckets=TOKEN_BOUNDS,
            registry=None,
        )

    def observe(self, code: ResultCode, service_class: ClassName, tokens: int) -> None:
        """Record the prompt of a request that has ended."""
        verdict = CODE_DETAILS[code].verdict
        self._histogram.labels(service_class, verdict.value).observe(tokens)

    def collect(self) -> Iterable[Metric]:
        """Yield the histogram."""
        return self._histogram.collect()
