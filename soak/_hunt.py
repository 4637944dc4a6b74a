"""Runs many seeds as processes of their own."""

import signal
import subprocess
import sys
import time
from collections.abc import Iterable

import click

POLL_INTERVAL_S = 0.2


def hunt_seeds(seeds: Iterable[int], *, jobs: int, options: list[str]) -> int:
    """Run seeds with several jobs at once; return 0 if none has a finding."""
    waiting = list(seeds)
    running: dict[int, subprocess.Popen[bytes]] = {}
    failed: list[int] = []
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(128 + signal.SIGTERM))
    try:
        while waiting or running:
            while waiting and len(running) < jobs:
                seed = waiting.pop(0)
                command = [sys.executable, "-m", "soak", "run", "--seed", str(seed), *options]
                running[seed] = subprocess.Popen(command, start_new_session=True)
            time.sleep(POLL_INTERVAL_S)
            for seed in [seed for seed, process in running.items() if process.poll() is not None]:
                if running.pop(seed).returncode:
                    failed.append(seed)
    finally:
        for process in running.values():
            process.terminate()
        for process in running.values():
            process.wait()
    click.echo(f"seeds with findings: {failed or 'none'}")
    return 1 if failed else 0
