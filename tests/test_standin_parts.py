"""The components of the stand-ins, tested in one process."""

import os
import sys
from pathlib import Path
from typing import Any

import msgspec
import pytest

from standins._batch import Batch, Sequence, StepCosts
from standins._engine import Engine, EngineSettings
from standins._lagging_load import LaggingLoad
from standins._ledger import LedgerPage, Run
from standins._output import VOCABULARY, analyze_prompt, compute_output, decode_tokens, pick_token
from standins._prefix_cache import PrefixCache
from standins._row_tables import RowTables


class _RecordingSink:
    def __init__(self) -> None:
        self.token_ids: list[int] = []
        self.finished = False

    def start(self, sequence: Sequence) -> None:
        sequence.uncached_tokens = sequence.context_tokens

    def add_token(self, sequence: Sequence, token_id: int) -> None:
        self.token_ids.append(token_id)

    def finish(self, sequence: Sequence) -> None:
        self.finished = True


def _build_sequence(
    priority: int, resumed: tuple[int, ...] = ()
) -> tuple[Sequence, _RecordingSink]:
    sink = _RecordingSink()
    prompt = analyze_prompt("a prompt OUTPUT-TOKENS-6")
    sequence = Sequence(
        attempt_id=f"a{priority}",
        priority=priority,
        prompt=prompt,
        resumed_token_ids=resumed,
        max_output_tokens=prompt.output_tokens,
        sink=sink,
    )
    return sequence, sink


def _run_until_idle(batch: Batch) -> None:
    while batch.plan_step_s() is not None:
        batch.complete_step()


def test_resumed_sequence_produces_the_rest_of_the_same_output() -> None:
    batch = Batch(slots=2, costs=StepCosts())
    complete, complete_sink = _build_sequence(0)
    batch.add(complete)
    _run_until_idle(batch)
    first = tuple(complete_sink.token_ids[:4])
    resumed, resumed_sink = _build_sequence(0, resumed=first)
    batch.add(resumed)
    _run_until_idle(batch)
    assert [*first, *resumed_sink.token_ids] == complete_sink.token_ids
    assert decode_tokens(complete_sink.token_ids) == compute_output("a prompt OUTPUT-TOKENS-6")
    assert resumed_sink.finished


def test_higher_priority_takes_the_free_slot_first() -> None:
    batch = Batch(slots=1, costs=StepCosts())
    low, _ = _build_sequence(5)
    high, _ = _build_sequence(0)
    batch.add(low)
    batch.add(high)
    batch.plan_step_s()
    assert batch.running == [high]


def test_step_takes_longer_with_a_larger_batch() -> None:
    durations = []
    for size in (1, 4):
        batch = Batch(slots=8, costs=StepCosts())
        for priority in range(size):
            batch.add(_build_sequence(priority)[0])
        batch.plan_step_s()
        batch.complete_step()
        durations.append(batch.plan_step_s() or 0.0)
    assert durations[0] < durations[1]


def test_vocabulary_is_multibyte_and_token_choice_deterministic() -> None:
    assert any(len(text.encode()) > len(text) for text in VOCABULARY)
    assert pick_token(7, 3) == pick_token(7, 3)


def test_cache_evicts_least_recently_used_prefixes_and_delays_events() -> None:
    cache = PrefixCache(capacity_tokens=32, event_lag_s=1.0, gap_share=0.0, seed=0)
    first, second = analyze_prompt("a" * 128), analyze_prompt("b" * 128)
    cache.store(first, 0.0)
    assert cache.match_prefix(first) == 32
    cache.store(second, 0.5)
    assert cache.match_prefix(first) == 0
    assert [event.kind for event in cache.list_events(0, 1.0)[0]] == ["stored", "stored"]
    events, next_seq = cache.list_events(2, 2.0)
    assert [event.kind for event in events] == ["stored", "stored", "evicted", "evicted"]
    assert next_seq == 6


def test_load_report_lags_behind() -> None:
    load = LaggingLoad(slots=4, lag_s=1.0)
    load.record(running=3, waiting=1, now_s=10.0)
    assert load.report(10.5).running == 0
    assert load.report(11.0).running == 3


def build_row(key: str, **fields: object) -> dict[str, object]:
    return {"Table": "t", "part": "", "Key": key, **fields}


def transact(tables: RowTables, **entries: object) -> tuple[int, dict[str, Any]]:
    reply = tables.transact(msgspec.json.encode(entries))
    return reply.status, msgspec.json.decode(reply.body)


def test_transaction_changes_all_rows_or_none() -> None:
    tables = RowTables()
    absent = [build_row("a", SchemaVersion=0)]
    status, body = transact(tables, ExpectedRevision=absent, Puts=[build_row("a", Value="MQ==")])
    assert (status, body["SchemaVersion"]) == (200, 1)
    puts = [build_row("b", Value="Mg=="), build_row("a", Value="Mg==")]
    status, body = transact(tables, ExpectedRevision=absent, Puts=puts)
    assert status == 412
    assert [(row["Key"], row["Value"], row["SchemaVersion"]) for row in body["Rows"]] == [
        ("a", "MQ==", 1)
    ]
    assert [row.key for row in tables.list_rows("t")] == ["a"]


def test_revisions_never_repeat_after_a_delete() -> None:
    tables = RowTables()
    first = transact(tables, Puts=[build_row("a", Value="MQ==")])[1]["SchemaVersion"]
    transact(tables, Remove=[build_row("a")])
    assert transact(tables, Puts=[build_row("a", Value="MQ==")])[1]["SchemaVersion"] > first
    assert [row.removed for row in tables.list_changes("t", 0)] == [False]


def test_key_range_is_read_in_order_and_in_pages() -> None:
    tables = RowTables()
    for key in ("b", "a/2", "a/1", "a/3"):
        tables.put("t", key, b"x")
    reply = tables.read({"Table": "t", "From": "a/", "To": "a0", "Limit": "2"})
    page = msgspec.json.decode(reply.body)
    assert [row["Key"] for row in page["Rows"]] == ["a/1", "a/2"]
    assert page["HasMore"]


def _crash_engine(ledger_file: Path, attempt_id: str) -> None:
    engine = Engine(settings=EngineSettings(models=("small",), ledger_file=ledger_file))
    engine.ledger.add(Run(request_id="r", attempt_id=attempt_id))
    with pytest.raises(SystemExit):
        engine.crash()


def test_runs_survive_every_crash_of_a_restarted_engine(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(os, "_exit", sys.exit)
    ledger_file = tmp_path / "engine.ledger"
    for attempt_id in ("a1", "a2", "a3"):
        _crash_engine(ledger_file, attempt_id)
    page = msgspec.json.decode(ledger_file.read_bytes(), type=LedgerPage)
    assert [run.attempt_id for run in page.runs] == ["a1", "a2", "a3"]
