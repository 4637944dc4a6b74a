"""Tests of the metric of prompt sizes."""

from greengagestage.ids import ClassName
from greengagestage.results import ResultCode
from greengagestage.telemetry import EntryMetrics


# Guards against metrics that cannot tell whether large requests are refused more often.
def test_prompt_sizes_are_exposed_by_class_and_verdict() -> None:
    metrics = EntryMetrics(workspace_labels=1)
    metrics.prompt_sizes.observe(ResultCode.DELIVERED, ClassName("review"), 900)
    metrics.prompt_sizes.observe(ResultCode.QUEUE_FULL, ClassName("review"), 40_000)
    text = metrics.render().decode()
    name = "greengage_entry_prompt_tokens_bucket"
    assert f'{name}{{class="review",le="1000.0",verdict="delivered"}} 1.0' in text
    assert f'{name}{{class="review",le="32000.0",verdict="not_run"}} 0.0' in text
    assert f'{name}{{class="review",le="64000.0",verdict="not_run"}} 1.0' in text
