"""Estimates of the engine time that a prompt's prefill and decoding take."""

from greengagestage.catalog import Prompt

PREFILL_TOKENS_PER_S = 90_000.0
"""The operators' engine specifications give 85,200 and 101,000. The slowdown that is measured for
each upstream corrects the difference."""

ATTENTION_S_PER_PAIR = 0.23e-9
"""Attention time for each pair of a new token and a token before it. The operators' engine
specifications give 0.18 to 0.28 ms per million pairs."""

FIRST_EVENT_OVERHEAD_S = 0.012
"""Time for the connection, scheduling and the batch steps up to the first event on an idle
engine, without prefill."""


def estimate_prefill_s(*, new_tokens: int, cached_tokens: int) -> float:
    """Return the seconds to prefill new tokens that follow cached ones."""
    pairs = new_tokens * (cached_tokens + new_tokens / 2)
    return new_tokens / PREFILL_TOKENS_PER_S + pairs * ATTENTION_S_PER_PAIR


def estimate_prompt_prefill_s(prompt: Prompt, cached_tokens: int) -> float:
    """Return the seconds to prefill a prompt with a cached prefix.

    At least the last token is always computed.
    """
    cached = min(cached_tokens, max(prompt.tokens - 1, 0))
    return estimate_prefill_s(new_tokens=prompt.tokens - cached, cached_tokens=cached)


EXPECTED_OUTPUT_SHARE = 0.35
"""Expected output length as a share of the maximum that the caller allows. On both deployments,
half of the answers use less than 0.3 of it and nine in ten less than 0.55."""

DECODE_S_PER_TOKEN = 0.02e-3
DECODE_S_PER_PAIR = 8e-9
"""Time that one more request adds to each batch step. The operators' engine specifications give
0.015 to 0.022 ms, and 0.004 to 0.008 ms for each thousand tokens of its context."""


def estimate_decode_s(prompt: Prompt) -> float:
    """Return the seconds that decoding a prompt's expected output adds to its engine's steps."""
    tokens = EXPECTED_OUTPUT_SHARE * prompt.output_tokens
    return tokens * (DECODE_S_PER_TOKEN + prompt.tokens * DECODE_S_PER_PAIR)
