"""Compares three ways to continue a preempted answer: held KV cache, second prefill, or rerun.

Long answers are interrupted after some tokens and continued after a pause, alternately on the same
engine and on another one, while short requests keep both engines and their prefix caches busy.
"""

import http.client
import random
import statistics
import sys
import time
from enum import Enum
from pathlib import Path
from urllib.parse import urlsplit

import msgspec
from msgspec import Struct

from standins._fleet import Fleet
from standins._fleet_shape import (
    COOPERATIVE_CLASSES,
    MODEL,
    EngineShape,
    FleetShape,
    build_workspace_key,
)
from standins._load_plan import ClassMix, LoadShape, Sender
from standins._load_results import LoadResult
from standins._output import VOCABULARY, compute_output
from standins._processes import ChildProcess
from standins._summary import compute_quantile
from standins._web_calls import send_request
from standins.load import LoadJob

from ._comparison import Spread, compute_spread

ENGINES = ("engine-1", "engine-2")
ENGINE_OPTIONS = ("--step-base-ms", "6", "--prefill-us", "60", "--cache-tokens", "6000")
LONG_REQUESTS = 12
LONG_PROMPT_WORDS = 1600
LONG_OUTPUT_TOKENS = 100
INTERRUPT_AFTER_TOKENS = (20, 80)
PAUSE_S = 0.4
HOLD_MS = 10_000
SHORT_RATE_PER_S = 12.0
SHORT_DURATION_S = 60.0
SENDERS = 6
TIMEOUT_S = 30.0
MS_PER_S = 1e3
LOW_PRIORITY = "2"


class Continuation(Enum):
    """How a preempted answer is continued.

    Attributes:
        HELD: The engine holds the KV cache, which is imported if another engine continues.
        RESUMED: The prompt and the delivered tokens are prefilled again.
        RERUN: The request starts again from its first token.
    """

    HELD = "held"
    RESUMED = "resumed"
    RERUN = "rerun"


class RetentionSample(Struct, frozen=True, kw_only=True):
    """The result of one way to continue with one seed.

    Attributes:
        extra_prefill_tokens: Prompt tokens that were prefilled again for all long answers.
        extra_output_tokens: Output tokens that were generated again for all long answers.
        gap_ms: Median time from the continuation to its first new token.
        short_prefill_tokens: Mean prefill of a short request, the cost of a smaller cache.
        short_first_token_ms: 95th percentile of the short requests' time to the first token.
        wrong: Number of long answers whose text differed from the expected one.
    """

    continuation: Continuation
    seed: int
    extra_prefill_tokens: int
    extra_output_tokens: int
    gap_ms: float
    short_prefill_tokens: float
    short_first_token_ms: float
    wrong: int


class RetentionStats(Struct, frozen=True, kw_only=True):
    """The results of one way to continue over all seeds."""

    continuation: Continuation
    extra_prefill_tokens: Spread
    extra_output_tokens: Spread
    gap_ms: Spread
    short_prefill_tokens: Spread
    short_first_token_ms: Spread
    wrong: int


def measure_retention(*, seeds: range, directory: Path) -> list[RetentionSample]:
    """Measure every way to continue with every seed, one after the other."""
    return [
        _measure_continuation(continuation, seed, directory / f"{continuation.value}-{seed}")
        for seed in seeds
        for continuation in Continuation
    ]


def summarize_retention(samples: list[RetentionSample]) -> list[RetentionStats]:
    """Compute the statistics of each way to continue over all seeds."""
    stats = []
    for continuation in Continuation:
        matching = [sample for sample in samples if sample.continuation is continuation]
        stats.append(
            RetentionStats(
                continuation=continuation,
                extra_prefill_tokens=compute_spread(s.extra_prefill_tokens for s in matching),
                extra_output_tokens=compute_spread(s.extra_output_tokens for s in matching),
                gap_ms=compute_spread(s.gap_ms for s in matching),
                short_prefill_tokens=compute_spread(s.short_prefill_tokens for s in matching),
                short_first_token_ms=compute_spread(s.short_first_token_ms for s in matching),
                wrong=sum(s.wrong for s in matching),
            )
        )
    return stats


class _LongAnswer:
    """A long request that is sent directly to an engine and continued once."""

    def __init__(self, *, seed: int, number: int) -> None:
        rng = random.Random(seed * 1000 + number)
        words = " ".join(str(rng.randrange(10_000)) for _ in range(LONG_PROMPT_WORDS))
        self.name = f"long-{number}"
        self.prompt = f"review {seed}-{number} OUTPUT-TOKENS-{LONG_OUTPUT_TOKENS} {words}"
        self.interrupt_after_tokens = rng.randint(*INTERRUPT_AFTER_TOKENS)
        self.token_ids: list[int] = []
        self.gap_ms = 0.0

    @property
    def text(self) -> str:
        """The received text."""
        return "".join(VOCABULARY[token_id] for token_id in self.token_ids)

    def run(self, continuation: Continuation, first_url: str, second_url: str) -> None:
        """Run the first part of the answer at the first URL and the rest at the second one."""
        connection, response = self._send_request(first_url, "a")
        self._read_tokens(response, until=self.interrupt_after_tokens)
        handle = self._export_kv_cache(first_url) if continuation is Continuation.HELD else None
        connection.close()
        send_request("DELETE", f"{first_url}/v1/attempts/{self.name}.a")
        time.sleep(PAUSE_S)
        if handle is not None and second_url != first_url:
            send_request("POST", f"{second_url}/kv/import", {"handle": handle, "source": first_url})
        if continuation is Continuation.RERUN:
            self.token_ids = []
        started_s = time.monotonic()
        connection, response = self._send_request(second_url, "b")
        self._read_tokens(response, until=len(self.token_ids) + 1)
        self.gap_ms = (time.monotonic() - started_s) * MS_PER_S
        if handle is not None:
            send_request("DELETE", f"{first_url}/kv/{handle}")
        self._read_tokens(response, until=None)
        connection.close()

    def _export_kv_cache(self, engine_url: str) -> str:
        export = {"attempt_id": f"{self.name}.a", "hold_ms": HOLD_MS}
        answer = send_request("POST", f"{engine_url}/kv/export", export).decode(dict[str, object])
        return str(answer["handle"])

    def _send_request(
        self, engine_url: str, attempt_suffix: str
    ) -> tuple[http.client.HTTPConnection, http.client.HTTPResponse]:
        parts = urlsplit(engine_url)
        connection = http.client.HTTPConnection(str(parts.hostname), parts.port, timeout=TIMEOUT_S)
        body: dict[str, object] = {"model": MODEL, "prompt": self.prompt, "stream": True}
        if self.token_ids:
            body["resume"] = {"token_ids": self.token_ids}
        headers = {
            "X-Request-Id": self.name,
            "X-Attempt-Id": f"{self.name}.{attempt_suffix}",
            "X-Priority": LOW_PRIORITY,
        }
        connection.request("POST", "/v1/completions", msgspec.json.encode(body), headers)
        return connection, connection.getresponse()

    def _read_tokens(self, response: http.client.HTTPResponse, *, until: int | None) -> None:
        """Read tokens to the end of the answer, or until ``until`` tokens have been received."""
        while line := response.readline():
            if not line.startswith(b"data: {"):
                continue
            self.token_ids += msgspec.json.decode(line[6:])["choices"][0]["token_ids"]
            if until is not None and len(self.token_ids) >= until:
                return


def _measure_continuation(
    continuation: Continuation, seed: int, directory: Path
) -> RetentionSample:
    with Fleet(shape=_build_shape(), directory=directory) as fleet:
        fleet.start_upstreams()
        urls = [fleet.url(name) for name in ENGINES]
        load = _start_short_requests(fleet, urls, seed)
        answers = [_LongAnswer(seed=seed, number=number) for number in range(LONG_REQUESTS)]
        for number, answer in enumerate(answers):
            first_url = urls[number // 2 % 2]
            answer.run(continuation, first_url, urls[(number // 2 + number) % 2])
        load.wait()
        runs = fleet.read_engine_ledgers()
    result = msgspec.json.decode((directory / "short.json").read_bytes(), type=LoadResult)
    long_runs = [run for run in runs if run.request_id]
    short_runs = [run for run in runs if not run.request_id]
    first_prefill = sum(run.prefilled for run in long_runs if run.attempt_id.endswith(".a"))
    return RetentionSample(
        continuation=continuation,
        seed=seed,
        extra_prefill_tokens=sum(run.prefilled for run in long_runs) - first_prefill,
        extra_output_tokens=sum(run.tokens for run in long_runs)
        - LONG_OUTPUT_TOKENS * LONG_REQUESTS,
        gap_ms=statistics.median(answer.gap_ms for answer in answers),
        short_prefill_tokens=statistics.fmean(run.prefilled for run in short_runs),
        short_first_token_ms=MS_PER_S
        * compute_quantile((r.first_token_s or SHORT_DURATION_S for r in result.results), 0.95),
        wrong=sum(answer.text != compute_output(answer.prompt) for answer in answers),
    )


def _start_short_requests(fleet: Fleet, urls: list[str], seed: int) -> ChildProcess:
    mix = ClassMix(
        service_class=str(COOPERATIVE_CLASSES[0].name),
        rate_per_s=SHORT_RATE_PER_S,
        prompt_tokens=(256, 1024),
        output_tokens=(12, 48),
    )
    shape = LoadShape(
        seed=seed,
        duration_s=SHORT_DURATION_S / 2,
        model=str(MODEL),
        classes=(mix,),
        senders=tuple(
            Sender(workspace=f"w{number}", key=build_workspace_key("w"))
            for number in range(SENDERS)
        ),
    )
    job = fleet.directory / "short-job.json"
    job.write_bytes(msgspec.json.encode(LoadJob(entries=tuple(urls), shape=shape)))
    command = [sys.executable, "-m", "standins.load", "--job", str(job)]
    command += ["--result", str(fleet.directory / "short.json")]
    load = ChildProcess(name="short", command=command, directory=fleet.directory, url="")
    fleet.start_process(load)
    return load


def _build_shape() -> FleetShape:
    return FleetShape(
        engines=tuple(
            EngineShape(name=name, failure_domain="fd-1", options=ENGINE_OPTIONS)
            for name in ENGINES
        ),
        services=(),
        hosts=(),
        classes=COOPERATIVE_CLASSES,
        workspaces={},
    )
