"""The run of a case: its time limit, its record and its exit status."""

import asyncio
import os
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .clients import trace
from .servers import Run

LIMIT_S = 110.0
COULD_NOT_RUN = 2

began_s = time.monotonic()
record: list[str] = []


def note(text: str) -> None:
    """Add a line to the record."""
    record.append(f"{time.monotonic() - began_s:7.3f} {text}")


def note_requests(runs: list[Run]) -> None:
    """Add what was sent, answered and run, a line for each."""
    for sent in trace:
        end = f"{sent.end} at {sent.end_s - began_s:.3f}" if sent.end else "open at the end"
        start = f"{sent.at_s - began_s:7.3f} sent {sent.attempt} {sent.request}"
        record.append(f"{start} to {sent.host}: {end}")
    for run in runs:
        what = "ran" if run.began else "did not run"
        record.append(f"{run.at_s - began_s:7.3f} {run.server} {what} {run.request}")


def main(play: Callable[[Path], Awaitable[int]], folder: Path) -> None:
    """Run a case, write its record and end the process.

    A case that fails itself or takes too long could not run. The loop is left as it is: its open
    tasks end with the process.
    """
    status = COULD_NOT_RUN
    with tempfile.TemporaryDirectory() as directory:
        try:
            playing = asyncio.wait_for(play(Path(directory)), LIMIT_S)
            status = asyncio.new_event_loop().run_until_complete(playing)
        except Exception:
            note(f"could not run: {traceback.format_exc(limit=0).strip()}")
            traceback.print_exc()
    path = Path(os.environ.get("RECORD", folder / "record.txt"))
    path.write_text("\n".join(record) + f"\nexit {status}\n")
    sys.stdout.flush()
    os._exit(status)
