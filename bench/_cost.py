"""Measures the latency and CPU time that the router and a bare relay add in the same run."""

import os
import statistics
import sys
from pathlib import Path

import msgspec
from msgspec import Struct

from standins._fleet import Fleet
from standins._fleet_shape import (
    COOPERATIVE_CLASSES,
    MODEL,
    EngineShape,
    FleetShape,
    HostShape,
    build_workspace_key,
)
from standins._load_plan import ClassMix, LoadShape, Sender
from standins._load_results import LoadResult, Verdict
from standins._processes import ChildProcess
from standins.load import LoadJob

from ._comparison import Spread, compute_spread
from ._cpu import read_cpu_s
from ._policies import POLICY_VARIABLE, PolicyName

SHORT_ANSWER_TOKENS = 4
LONG_ANSWER_TOKENS = 100
PROMPT_TOKENS = 192
REQUESTS_PER_S = 40.0
WORKSPACE = "cost"
RELAY = "relay"
US_PER_S = 1e6
MS_PER_S = 1e3


class Cost(Struct, frozen=True, kw_only=True):
    """The cost of one program; each spread is over the rounds."""

    name: str
    cpu_us_per_request: Spread
    cpu_us_per_chunk: Spread
    added_first_token_ms: Spread


class CostReport(Struct, frozen=True, kw_only=True):
    """The costs of the router and the relay, measured in the same run."""

    rounds: int
    round_s: float
    relay: Cost
    router: Cost


class _RoundCost(Struct, frozen=True, kw_only=True):
    cpu_us_per_request: float
    cpu_us_per_chunk: float
    added_first_token_ms: float


class _LoadSample(Struct, frozen=True, kw_only=True):
    cpu_s: float
    requests: int
    chunks: int
    first_token_s: float


def measure_cost(*, rounds: int, round_s: float, directory: Path) -> CostReport:
    """Measure the same requests sent directly, through the relay and through the router."""
    os.environ[POLICY_VARIABLE] = PolicyName.GREENGAGE.value
    measured: dict[str, list[_RoundCost]] = {"relay": [], "router": []}
    with Fleet(shape=_build_shape(), directory=directory) as fleet:
        fleet.start()
        engine = fleet.url("engine-1")
        relay = ChildProcess(
            name=RELAY,
            command=[sys.executable, "-m", "bench._relay", "--upstream", engine],
            directory=directory,
        )
        fleet.start_process(relay)
        relay.wait_for_announcement()
        entry = fleet.process("entry-host-1")
        for number in range(rounds):
            direct = _run_load(engine, None, SHORT_ANSWER_TOKENS, number, round_s, directory)
            for name, process in (("relay", relay), ("router", entry)):
                measured[name].append(_measure_round(process, direct, number, round_s, directory))
    return CostReport(
        rounds=rounds,
        round_s=round_s,
        relay=_summarize("relay", measured["relay"]),
        router=_summarize("router", measured["router"]),
    )


def _measure_round(
    process: ChildProcess, direct: _LoadSample, number: int, round_s: float, directory: Path
) -> _RoundCost:
    """Derive the costs per request and per chunk from the costs of short and long answers."""
    short, long = (
        _run_load(process.url, process.pid, tokens, number, round_s, directory)
        for tokens in (SHORT_ANSWER_TOKENS, LONG_ANSWER_TOKENS)
    )
    cpu_per_short = short.cpu_s / short.requests
    cpu_per_long = long.cpu_s / long.requests
    chunks_per_short = short.chunks / short.requests
    chunks_per_long = long.chunks / long.requests
    per_chunk_s = (cpu_per_long - cpu_per_short) / (chunks_per_long - chunks_per_short)
    return _RoundCost(
        cpu_us_per_request=(cpu_per_short - per_chunk_s * chunks_per_short) * US_PER_S,
        cpu_us_per_chunk=per_chunk_s * US_PER_S,
        added_first_token_ms=(short.first_token_s - direct.first_token_s) * MS_PER_S,
    )


def _run_load(
    url: str, pid: int | None, tokens: int, seed: int, round_s: float, directory: Path
) -> _LoadSample:
    job_file, result_file = directory / "cost-job.json", directory / "cost-result.json"
    job = LoadJob(entries=(url,), shape=_build_load(tokens, seed, round_s))
    job_file.write_bytes(msgspec.json.encode(job))
    command = [sys.executable, "-m", "standins.load", "--job", str(job_file)]
    load = ChildProcess(
        name="cost-load",
        command=[*command, "--result", str(result_file)],
        directory=directory,
        url="",
    )
    before_s = read_cpu_s(pid) if pid is not None else 0.0
    load.start()
    load.wait()
    after_s = read_cpu_s(pid) if pid is not None else 0.0
    result = msgspec.json.decode(result_file.read_bytes(), type=LoadResult)
    delivered = [r for r in result.results if r.verdict is Verdict.DELIVERED]
    return _LoadSample(
        cpu_s=after_s - before_s,
        requests=len(delivered),
        chunks=sum(r.tokens for r in delivered),
        first_token_s=statistics.median(r.first_token_s or 0.0 for r in delivered),
    )


def _build_load(tokens: int, seed: int, round_s: float) -> LoadShape:
    mix = ClassMix(
        service_class=str(COOPERATIVE_CLASSES[0].name),
        rate_per_s=REQUESTS_PER_S,
        prompt_tokens=(PROMPT_TOKENS, PROMPT_TOKENS),
        output_tokens=(tokens, tokens),
    )
    return LoadShape(
        seed=seed,
        duration_s=round_s,
        model=str(MODEL),
        classes=(mix,),
        senders=(Sender(workspace=WORKSPACE, key=build_workspace_key(WORKSPACE)),),
    )


def _build_shape() -> FleetShape:
    options = ("--step-base-ms", "2", "--sequence-ms", "0", "--context-us", "0")
    return FleetShape(
        engines=(
            EngineShape(
                name="engine-1",
                failure_domain="fd-1",
                slots=64,
                options=(*options, "--prefill-us", "0"),
            ),
        ),
        services=(),
        hosts=(HostShape(name="host-1", failure_domain="fd-1"),),
        classes=COOPERATIVE_CLASSES,
        workspaces={WORKSPACE: 1.0},
        entry_module="bench.entry",
    )


def _summarize(name: str, rounds: list[_RoundCost]) -> Cost:
    return Cost(
        name=name,
        cpu_us_per_request=compute_spread(round_cost.cpu_us_per_request for round_cost in rounds),
        cpu_us_per_chunk=compute_spread(round_cost.cpu_us_per_chunk for round_cost in rounds),
        added_first_token_ms=compute_spread(
            round_cost.added_first_token_ms for round_cost in rounds
        ),
    )
