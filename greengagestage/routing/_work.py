"""How long an engine takes to read a prompt and to make its answer."""

from greengagestage.catalog import Prompt

PREFILL_TOKENS_PER_S = 90_000.0
"""The operators' sheets give 85,200 and 101,000; each upstream's own pace corrects the rest."""

ATTENTION_S_PER_PAIR = 0.23e-9
"""Added for each pair of a new token and one before it: 0.18 to 0.28 ms a million pairs on the
operators' sheets."""

FIRST_EVENT_OVERHEAD_S = 0.012
"""Connection, scheduling and the steps of the first event, on an idle engine."""


def estimate_prefill_s(*, new_tokens: int, cached_tokens: int) -> float:
    """Return the seconds to read new tokens behind cached ones."""
    pairs = new_tokens * (cached_tokens + new_tokens / 2)
    return new_tokens / PREFILL_TOKENS_PER_S + pairs * ATTENTION_S_PER_PAIR


def estimate_prompt_prefill_s(prompt: Prompt, cached_tokens: int) -> float:
    """Return the seconds to read a prompt of which a beginning is cached; its end never is."""
    cached = min(cached_tokens, max(prompt.tokens - 1, 0))
    return estimate_prefill_s(new_tokens=prompt.tokens - cached, cached_tokens=cached)


OUTPUT_SHARE = 0.35
"""Part of the output that callers allow which they usually take: half of the answers on both
deployments take less than 0.3, nine in ten less than 0.55."""

DECODE_S_PER_TOKEN = 0.02e-3
DECODE_S_PER_PAIR = 8e-9
"""What one more request adds to a step: 0.015 to 0.022 ms, and 0.004 to 0.008 ms for each
thousand tokens of its context, on the operators' sheets."""


def estimate_decode_s(prompt: Prompt) -> float:
    """Return what a prompt's answer adds to the steps of its engine."""
    tokens = OUTPUT_SHARE * prompt.output_tokens
    return tokens * (DECODE_S_PER_TOKEN + prompt.tokens * DECODE_S_PER_PAIR)
