"""Removes each guard from a copy of the source tree and runs the tests that must then fail.

``python -m bench.guards`` checks all guards, ``python -m bench.guards NAME ...`` only the named
ones. A guard is proved if its tests pass with it and fail without it, in each of several runs. Any
other guard is reported in capitals, and the exit code is 1.
"""

import shutil
import subprocess
import sys
import tempfile
from enum import Enum
from pathlib import Path

import click

from ._guard_table import GUARDS, Guard

ROOT = Path(__file__).resolve().parent.parent
COPIED_PATHS = (
    "greengagestage",
    "standins",
    "tests",
    "bench",
    "examples",
    "docs",
    "pyproject.toml",
    "KNOWN-RED.txt",
)
TEST_TIMEOUT_S = 240
RUNS = 2
"""Number of runs of a guard's tests with it, and as many without it, so that a test that fails now
and then is not taken for one that detects the removal."""


class Proof(Enum):
    """What the runs of a guard's tests show.

    Attributes:
        PROVED: The tests pass with the guard, and fail or time out without it.
        UNPROVED: The tests do not fail in every run without the guard.
        BROKEN: The tests do not pass in every run with the guard, or none is selected.
    """

    PROVED = "fails without"
    UNPROVED = "UNPROVED"
    BROKEN = "FAILS WITH"


class _TestResult(Enum):
    """The result of one run of a guard's tests. ``ERROR``: pytest could not run them."""

    PASSED = "passed"
    FAILED = "failed"
    ERROR = "error"


def copy_project(target: Path) -> None:
    """Copy the files that the tests need."""
    for name in COPIED_PATHS:
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(source, target / name, ignore=shutil.ignore_patterns("__pycache__"))
        else:
            shutil.copy(source, target / name)


def remove_guard(guard: Guard, tree: Path) -> None:
    """Replace a guard's source code.

    Raises:
        ValueError: The source code does not occur exactly once in the module.
    """
    module = tree / guard.file
    source = module.read_text()
    if source.count(guard.text) != 1:
        raise ValueError(f"{guard.name}: its text must occur exactly once in {guard.file}")
    module.write_text(source.replace(guard.text, guard.without))


def check_guard(guard: Guard) -> Proof:
    """Run a guard's tests in copies of the tree with and without it."""
    with_guard = (run_tests(guard, removed=False) for _ in range(RUNS))
    if any(result is not _TestResult.PASSED for result in with_guard):
        return Proof.BROKEN
    without_guard = (run_tests(guard, removed=True) for _ in range(RUNS))
    if any(result is not _TestResult.FAILED for result in without_guard):
        return Proof.UNPROVED
    return Proof.PROVED


def run_tests(guard: Guard, *, removed: bool) -> _TestResult:
    """Run a guard's tests in a copy of the tree; tests that time out have failed."""
    with tempfile.TemporaryDirectory() as directory:
        tree = Path(directory)
        copy_project(tree)
        if removed:
            remove_guard(guard, tree)
        command = [sys.executable, "-m", "pytest", "-x", "-p", "no:cacheprovider", *guard.tests]
        try:
            completed = subprocess.run(
                command, cwd=tree, capture_output=True, check=False, timeout=TEST_TIMEOUT_S
            )
        except subprocess.TimeoutExpired:
            return _TestResult.FAILED
    match completed.returncode:
        case 0:
            return _TestResult.PASSED
        case 1:
            return _TestResult.FAILED
        case _:
            return _TestResult.ERROR


@click.command()
@click.argument("names", nargs=-1)
def main(names: tuple[str, ...]) -> None:
    """Check that tests fail when a guard is removed."""
    unproved = 0
    for guard in GUARDS:
        if names and guard.name not in names:
            continue
        proof = check_guard(guard)
        unproved += proof is not Proof.PROVED
        click.echo(f"{proof.value:14} {guard.name}: {guard.promise}")
    sys.exit(1 if unproved else 0)


if __name__ == "__main__":
    main()
