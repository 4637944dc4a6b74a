"""A record of every run of a stand-in, which tests and benchmarks read to check what ran."""

from enum import Enum
from pathlib import Path

import msgspec
from msgspec import Struct


class RunOutcome(Enum):
    """How a run ended, or that it is still running."""

    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    CUT = "cut"


class Run(Struct, kw_only=True):
    """One attempt that a stand-in started.

    ``tokens`` counts the output tokens that this run generated; ``text`` is the whole answer so
    far, including the tokens that the run was resumed from, which ``resumed_from`` counts.
    ``prefilled`` counts the prompt and resumed tokens that were computed because they were not
    in the cache.
    """

    request_id: str
    attempt_id: str
    idempotency_key: str = ""
    workspace: str = ""
    tokens: int = 0
    text: str = ""
    outcome: RunOutcome = RunOutcome.RUNNING
    resumed_from: int = 0
    prefilled: int = 0
    method: str = "POST"
    path: str = ""


class LedgerPage(Struct, kw_only=True):
    """The body of ``GET /_standin/ledger``."""

    runs: list[Run]


class Ledger:
    """All runs of one process, in the order of their start."""

    def __init__(self) -> None:
        self._runs: list[Run] = []

    def add(self, run: Run) -> Run:
        """Record the start of a run."""
        self._runs.append(run)
        return run

    def build_page(self) -> LedgerPage:
        """Return all runs."""
        return LedgerPage(runs=self._runs)

    def append_to(self, path: Path) -> None:
        """Add all runs to a file, so that they survive this and later crashes of the process."""
        runs = self._runs
        if path.exists():
            runs = msgspec.json.decode(path.read_bytes(), type=LedgerPage).runs + runs
        path.write_bytes(msgspec.json.encode(LedgerPage(runs=runs)))
