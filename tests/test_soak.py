"""Short seeded runs of the soak, and its end by a signal."""

import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

pytestmark = pytest.mark.process

RUN_LIMIT_S = 120.0
ENDED_LIMIT_S = 20.0


def build_command(directory: Path, *options: str) -> list[str]:
    return [sys.executable, "-m", "soak", "run", "--directory", str(directory), *options]


@pytest.mark.parametrize("seed", [1, 4])
def test_no_rule_is_broken_under_faults(tmp_path: Path, seed: int) -> None:
    """Seed 1 showed streams with two software versions, seed 4 also answers given up as silent."""
    command = build_command(tmp_path / "run", "--seed", str(seed), "--seconds", "10")
    result = subprocess.run(command, capture_output=True, text=True, timeout=RUN_LIMIT_S)
    assert result.returncode == 0, result.stdout + result.stderr


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupted_run_ends_all_its_processes(tmp_path: Path, number: signal.Signals) -> None:
    """A soak that leaves hosts behind disturbs all later runs on the machine."""
    command = build_command(tmp_path / "run", "--seed", "1", "--calm")
    process = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    try:
        wait_until(lambda: len(list_children(process.pid)) == 4)
        children = list_children(process.pid)
        process.send_signal(number)
        assert process.wait(ENDED_LIMIT_S) != 0
        wait_until(lambda: not any(Path(f"/proc/{child}").exists() for child in children))
    finally:
        process.kill()
        process.wait()


def test_an_interrupted_hunt_ends_its_runs(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "soak", "hunt", "--seeds", "1001-1002", "--jobs", "2"]
    process = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    try:
        wait_until(lambda: sum(len(list_children(x)) for x in list_children(process.pid)) == 8)
        runs = list_children(process.pid)
        hosts = [child for run in runs for child in list_children(run)]
        process.send_signal(signal.SIGTERM)
        assert process.wait(ENDED_LIMIT_S) != 0
        wait_until(lambda: not any(Path(f"/proc/{pid}").exists() for pid in (*runs, *hosts)))
    finally:
        process.kill()
        process.wait()


def list_children(pid: int) -> list[int]:
    """Return the ids of a process's children: a store and three hosts."""
    tasks = Path(f"/proc/{pid}/task/{pid}/children")
    return [int(child) for child in tasks.read_text().split()] if tasks.exists() else []


def wait_until(condition) -> None:
    end_s = time.monotonic() + ENDED_LIMIT_S
    while not condition():
        assert time.monotonic() < end_s, "the condition did not hold in time"
        time.sleep(0.05)
